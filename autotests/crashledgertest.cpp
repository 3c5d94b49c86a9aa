// Guards against requests that end one upstream after another (incident BUDGET), and against refusing the requests that merely ran beside them.

#include "kernel/requestfingerprint.h"
#include "net/crashcodec.h"
#include "net/loadreportcodec.h"
#include "simulation/crashdeployment.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <array>
#include <random>

using namespace knapweedslip;

namespace
{
struct LedgerStep
{
    /** 'e': upstream ended under the request; 'f': the request finished. */
    char m_kind;
    std::uint64_t m_request;
    std::uint64_t m_upstream;
};

struct LedgerRow
{
    const char *m_name;
    std::vector<LedgerStep> m_steps;
    /** The requests that are poison once everything has settled. */
    std::set<std::uint64_t> m_poison;
};

constexpr std::uint64_t Cause = 1;

/** Returns @p count ends at each of which all @p requests ran, then @p last if it names a request. */
std::vector<LedgerStep> repeatedEnds(const std::vector<std::uint64_t> &requests, std::uint64_t count, LedgerStep last = {'e', 0, 0})
{
    std::vector<LedgerStep> steps;
    for (std::uint64_t i = 0; i < count; ++i) {
        for (const std::uint64_t request : requests) {
            steps.push_back({'e', request, 10 + i});
        }
    }
    if (last.m_request != 0) {
        steps.push_back(last);
    }
    return steps;
}

const std::vector<LedgerRow> &ledgerRows()
{
    static const std::vector<LedgerRow> rows{
        {"nothing happened", {}, {}},
        {"two ends", {{'e', 1, 10}, {'e', 1, 11}}, {}},
        {"three ends", {{'e', 1, 10}, {'e', 1, 11}, {'e', 1, 12}}, {1}},
        {"one end seen three times", {{'e', 1, 10}, {'e', 1, 10}, {'e', 1, 10}}, {}},
        {"another request was at two of three ends", {{'e', 1, 10}, {'e', 2, 10}, {'e', 1, 11}, {'e', 2, 11}, {'e', 1, 12}}, {1}},
        {"another request was at all three ends", {{'e', 1, 10}, {'e', 2, 10}, {'e', 1, 11}, {'e', 2, 11}, {'e', 1, 12}, {'e', 2, 12}}, {}},
        {"of two at all three ends one finishes", {{'e', 1, 10}, {'e', 2, 10}, {'e', 1, 11}, {'e', 2, 11}, {'e', 1, 12}, {'e', 2, 12}, {'f', 2, 0}}, {1}},
        {"of two at all three ends one is at a fourth",
         {{'e', 1, 10}, {'e', 2, 10}, {'e', 1, 11}, {'e', 2, 11}, {'e', 1, 12}, {'e', 2, 12}, {'e', 1, 13}},
         {1}},
        {"two requests at the same five ends", repeatedEnds({1, 2}, 5), {}},
        {"two requests at the same six ends", repeatedEnds({1, 2}, 6), {1, 2}},
        {"a request at six of seven ends of another", repeatedEnds({1, 2}, 6, {'e', 1, 16}), {1}},
        {"the request finishes after three ends", {{'e', 1, 10}, {'e', 1, 11}, {'e', 1, 12}, {'f', 1, 0}}, {}},
        {"three ends after the request finished", {{'e', 1, 9}, {'f', 1, 0}, {'e', 1, 10}, {'e', 1, 11}, {'e', 1, 12}}, {1}},
        {"a late report of an end before the finish", {{'e', 1, 9}, {'f', 1, 0}, {'e', 1, 9}, {'e', 1, 10}, {'e', 1, 11}}, {}},
    };
    return rows;
}

std::set<std::uint64_t> poisonOf(CrashLedger &ledger, std::int64_t nowMs)
{
    std::set<std::uint64_t> poison;
    for (const std::uint64_t request : {1, 2}) {
        if (ledger.verdict(request, nowMs) == CrashVerdict::Poison) {
            poison.insert(request);
        }
    }
    return poison;
}

void apply(CrashLedger &ledger, const LedgerStep &step, std::int64_t nowMs)
{
    if (step.m_kind == 'e') {
        ledger.recordEnd(step.m_request, step.m_upstream, nowMs);
    } else {
        ledger.recordFinish(step.m_request, nowMs);
    }
}
}

TEST_CASE("a request is poison when it is the likely cause of three ends", "[entry][crash]")
{
    for (const LedgerRow &row : ledgerRows()) {
        CAPTURE(row.m_name);
        CrashLedger ledger;
        std::int64_t nowMs = 1'000;
        for (const LedgerStep &step : row.m_steps) {
            apply(ledger, step, ++nowMs);
        }
        const std::int64_t settledMs = nowMs + CrashLedger::SettleMs;
        CHECK(poisonOf(ledger, settledMs) == row.m_poison);
        // A daemon that has the observations from messages alone decides alike, also when it gets them twice.
        CrashLedger other;
        const Result<std::vector<CrashObservation>> sent = decodeCrashes(encodeCrashes(ledger.ownObservations(100, 10'000, nowMs)));
        REQUIRE_FALSE(failed(sent));
        other.merge(valueOf(sent), false, nowMs);
        other.merge(valueOf(sent), false, nowMs + 5);
        CHECK(poisonOf(other, settledMs) == row.m_poison);
        CHECK(poisonOf(ledger, nowMs + CrashLedger::RetentionMs + 1).empty());
        CHECK(other.ownObservations(100, 10'000, nowMs).empty());
    }
}

TEST_CASE("nothing is decided while other observations of an end may be on their way", "[entry][crash]")
{
    CrashLedger ledger;
    for (std::uint64_t upstream = 1; upstream < CrashLedger::UpstreamsUntilPoison; ++upstream) {
        ledger.recordEnd(Cause, upstream, 0);
        CHECK(ledger.verdict(Cause, 0) == CrashVerdict::MaySend);
    }
    ledger.recordEnd(Cause, 100, 500);
    CHECK(ledger.verdict(Cause, 500) == CrashVerdict::Undecided);
    CHECK(ledger.verdict(Cause, 500 + CrashLedger::SettleMs) == CrashVerdict::Poison);
    CHECK(ledger.remainingMs(Cause, 1'000) == CrashLedger::RetentionMs - 1'000);
    ledger.recordEnd(Cause, 101, 3'000);
    ledger.recordEnd(Cause, 102, 3'000);
    CHECK(ledger.verdict(Cause, 3'000) == CrashVerdict::Undecided);
    CHECK(ledger.verdict(Cause, 3'000 + CrashLedger::SettleMs) == CrashVerdict::Poison);
    ledger.recordFinish(Cause, 4'000);
    CHECK(ledger.verdict(Cause, 4'000) == CrashVerdict::MaySend);
}

namespace
{
struct UnconfirmedRow
{
    const char *m_name;
    int m_ended;
    int m_unconfirmed;
    /** 'e': the upstreams that do not answer have ended; 'l': they live; 'f': the request finishes; '-': nothing more is known. */
    char m_then;
    CrashVerdict m_before;
    CrashVerdict m_after;
    CrashVerdict m_afterSettling;
};

constexpr std::array<UnconfirmedRow, 7> UnconfirmedRows{{
    {"two that do not answer", 0, 2, '-', CrashVerdict::MaySend, CrashVerdict::MaySend, CrashVerdict::MaySend},
    {"three that do not answer", 0, 3, '-', CrashVerdict::Undecided, CrashVerdict::Undecided, CrashVerdict::MaySend},
    {"three that have ended", 0, 3, 'e', CrashVerdict::Undecided, CrashVerdict::Undecided, CrashVerdict::Poison},
    {"three that live", 0, 3, 'l', CrashVerdict::Undecided, CrashVerdict::MaySend, CrashVerdict::MaySend},
    {"three that do not answer, and a finish", 0, 3, 'f', CrashVerdict::Undecided, CrashVerdict::MaySend, CrashVerdict::MaySend},
    {"two ended, one does not answer", 2, 1, 'e', CrashVerdict::Undecided, CrashVerdict::Undecided, CrashVerdict::Poison},
    {"three ended, one does not answer", 3, 1, '-', CrashVerdict::Undecided, CrashVerdict::Undecided, CrashVerdict::Poison},
}};
}

// A request was sent on for seconds while the upstreams that it had ended only did not answer (incident BUDGET of issue 31).
TEST_CASE("a request waits while upstreams under it do not answer, and is not refused for those that live", "[entry][crash]")
{
    for (const UnconfirmedRow &row : UnconfirmedRows) {
        CAPTURE(row.m_name);
        CrashLedger ledger;
        const int all = row.m_ended + row.m_unconfirmed;
        for (int upstream = 0; upstream < all; ++upstream) {
            if (upstream < row.m_ended) {
                ledger.recordEnd(Cause, static_cast<std::uint64_t>(upstream), 0);
            } else {
                ledger.recordUnconfirmed(Cause, static_cast<std::uint64_t>(upstream), {0, 0}, 0);
            }
        }
        // Another daemon, which has this from messages, decides alike.
        CrashLedger other;
        const auto share = [&ledger, &other](std::int64_t nowMs) {
            other.merge(valueOf(decodeCrashes(encodeCrashes(ledger.ownObservations(100, CrashLedger::RetentionMs, nowMs)))), false, nowMs);
        };
        share(0);
        CHECK(ledger.verdict(Cause, 0) == row.m_before);
        CHECK(other.verdict(Cause, 0) == row.m_before);
        for (int upstream = row.m_ended; upstream < all; ++upstream) {
            if (row.m_then == 'e') {
                ledger.recordEnd(Cause, static_cast<std::uint64_t>(upstream), 1'000);
            } else if (row.m_then == 'l') {
                ledger.recordLives(Cause, static_cast<std::uint64_t>(upstream), 1'000);
            }
        }
        if (row.m_then == 'f') {
            ledger.recordFinish(Cause, 1'000);
        }
        share(1'000);
        CHECK(ledger.verdict(Cause, 1'000) == row.m_after);
        CHECK(other.verdict(Cause, 1'000) == row.m_after);
        const std::int64_t settledMs = 1'000 + CrashLedger::MaxUnconfirmedMs;
        CHECK(ledger.verdict(Cause, settledMs) == row.m_afterSettling);
        CHECK(other.verdict(Cause, settledMs) == row.m_afterSettling);
    }
}

namespace
{
struct RunsRow
{
    const char *m_name;
    /** When the request was sent to each upstream that ended, and when the attempt there ended, in ms. */
    std::vector<CrashRun> m_runs;
    CrashVerdict m_verdict;
};

const std::vector<RunsRow> &runsRows()
{
    static const std::vector<RunsRow> rows{
        {"sent to three one after the other", {{0, 100}, {100, 200}, {200, 300}}, CrashVerdict::Poison},
        {"at three that were lost together", {{50, 100}, {60, 101}, {90, 102}}, CrashVerdict::MaySend},
        {"at many that were lost together", std::vector<CrashRun>(30, {50, 100}), CrashVerdict::MaySend},
        {"sent again once after that", {{50, 100}, {60, 101}, {90, 102}, {500, 600}}, CrashVerdict::Poison},
        {"two lost together, sent again once after that", {{50, 100}, {60, 101}, {500, 600}}, CrashVerdict::MaySend},
        {"copies that overlap", {{0, 300}, {200, 500}, {400, 700}, {600, 900}, {800, 1'100}}, CrashVerdict::Poison},
    };
    return rows;
}
}

// A request that many callers sent at once was refused when all upstreams were lost at one moment for another reason.
TEST_CASE("a request is not refused because upstreams under it were lost together", "[entry][crash]")
{
    for (const RunsRow &row : runsRows()) {
        CAPTURE(row.m_name);
        CrashLedger ledger;
        std::uint64_t upstream = 10;
        std::int64_t nowMs = 0;
        for (const CrashRun &run : row.m_runs) {
            nowMs = std::max(nowMs, run.m_endedMs + 5);
            ledger.recordEnd(Cause, ++upstream, run, run.m_endedMs + 5);
        }
        CrashLedger other;
        other.merge(valueOf(decodeCrashes(encodeCrashes(ledger.ownObservations(100, CrashLedger::RetentionMs, nowMs)))), false, nowMs);
        CHECK(ledger.verdict(Cause, nowMs) == CrashVerdict::Undecided);
        CHECK(ledger.verdict(Cause, nowMs + CrashLedger::SettleMs) == row.m_verdict);
        CHECK(other.verdict(Cause, nowMs + CrashLedger::SettleMs) == row.m_verdict);
        const bool waits = row.m_verdict == CrashVerdict::MaySend && row.m_runs.size() >= CrashLedger::UpstreamsUntilPoison;
        const CrashVerdict delayed = ledger.verdict(Cause, nowMs + CrashLedger::SettleMs, 500);
        CHECK(delayed == (waits ? CrashVerdict::Undecided : row.m_verdict));
        CHECK(ledger.verdict(Cause, nowMs + CrashLedger::SettleMs + 500, 500) == row.m_verdict);
    }
}

TEST_CASE("crash observations merge to the same result in any order", "[entry][crash]")
{
    rc::prop("any order, any repetition", []() {
        std::vector<CrashObservation> observations;
        const int count = *rc::gen::inRange(0, 30);
        for (int i = 0; i < count; ++i) {
            observations.push_back(
                {*rc::gen::inRange<std::uint64_t>(1, 4), *rc::gen::inRange<std::uint64_t>(1, 6), 0, *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>()});
        }
        std::vector<CrashObservation> shuffled = observations;
        shuffled.insert(shuffled.end(), observations.begin(), observations.end());
        std::mt19937 random(*rc::gen::arbitrary<unsigned>());
        std::shuffle(shuffled.begin(), shuffled.end(), random);
        CrashLedger once;
        CrashLedger twice;
        once.merge(observations, false, 0);
        for (const CrashObservation &observation : shuffled) {
            twice.merge({observation}, false, 0);
        }
        for (std::uint64_t request = 1; request < 4; ++request) {
            RC_ASSERT(once.upstreamsEnded(request) == twice.upstreamsEnded(request));
            RC_ASSERT(once.verdict(request, CrashLedger::SettleMs) == twice.verdict(request, CrashLedger::SettleMs));
        }
    });
}

TEST_CASE("the crash ledger keeps a bounded number of observations, the latest", "[entry][crash]")
{
    CrashLedger ledger;
    const std::uint64_t count = 2 * CrashLedger::MaxObservations;
    for (std::uint64_t i = 0; i < count; ++i) {
        ledger.recordEnd(i, i, static_cast<std::int64_t>(i) / 100);
    }
    CHECK(ledger.size() == CrashLedger::MaxObservations);
    CHECK(ledger.upstreamsEnded(0) == 0);
    CHECK(ledger.upstreamsEnded(count - 1) == 1);
    const std::vector<CrashObservation> own = ledger.ownObservations(count, CrashLedger::RetentionMs, 0);
    CHECK(own.size() == CrashLedger::MaxOwn);
    CHECK(encodeCrashes(own).size() < 16 * 1024);
}

TEST_CASE("a process publishes what its predecessor had stored", "[entry][crash]")
{
    CrashLedger ledger;
    ledger.merge({{1, 10, 100, false}}, true, 1'000);
    ledger.recordEnd(1, 11, 2'000);
    CHECK(ledger.ownObservations(10, 10'000, 2'000).size() == 2);
    const std::uint64_t version = ledger.ownVersion();
    ledger.merge({{1, 10, 100, false}}, true, 3'000);
    CHECK(ledger.ownVersion() == version);
}

TEST_CASE("malformed crash observations are rejected or read without a crash", "[entry][crash][fuzz]")
{
    const std::string good = encodeCrashes({{1, 2, 3, true}, {4, 5, 6, false}});
    for (std::size_t length = 0; length < good.size(); ++length) {
        CHECK(failed(decodeCrashes(good.substr(0, length))));
    }
    DaemonLoadReport report;
    report.m_crashes = {{1, 2, 3, true}};
    const std::string bytes = encodeLoadReport(report);
    const Result<DaemonLoadReport> decoded = decodeLoadReport(bytes.data(), bytes.size());
    REQUIRE_FALSE(failed(decoded));
    REQUIRE(valueOf(decoded).m_crashes.size() == 1);
    CHECK(valueOf(decoded).m_crashes[0].m_refuted);
}

TEST_CASE("requests have the same fingerprint only if workspace, target and body are equal", "[entry][crash]")
{
    const std::uint64_t fingerprint = requestFingerprint("w", "/a", "b");
    CHECK(fingerprint == requestFingerprint("w", "/a", "b"));
    CHECK(fingerprint != requestFingerprint("v", "/a", "b"));
    CHECK(fingerprint != requestFingerprint("w", "/ab", ""));
    CHECK(fingerprint != requestFingerprint("w/a", "", "b"));
    CHECK(fingerprint != requestFingerprint("w", "/a", "c"));
    CHECK(upstreamLifetime("i-1", 5) != upstreamLifetime("i-1", 6));
}

namespace
{
void checkCourse(const CrashCourse &course)
{
    for (const int daemons : {8, 90, 410}) {
        for (unsigned seed = 1; seed <= 3; ++seed) {
            CAPTURE(daemons, course.m_name, seed);
            const CrashCourseResult result = CrashDeployment(daemons, course, contactMs(daemons), seed).run();
            CHECK(result.m_upstreamsEnded >= 3);
            CHECK(result.m_laterSends <= 3);
            CHECK(result.m_innocentsRefused == 0);
            CHECK(result.m_observations <= CrashLedger::MaxObservations);
        }
    }
}
}

// Guards against incident BUDGET: a request that ends upstreams was sent on without limit, since no daemon kept or passed on what it had seen.
TEST_CASE("a request that ends upstreams is sent at most three times more by all daemons together, and no other is refused for it", "[entry][crash]")
{
    for (const CrashCourse &course : crashCourses()) {
        checkCourse(course);
    }
}

// Guards against innocent requests that are refused because the observation of the cause was lost together with the daemon that made it.
TEST_CASE("no innocent request is refused while daemons are killed twenty times a second and half of their datagrams are lost", "[entry][crash]")
{
    checkCourse(KillsAndLosses);
}

TEST_CASE("the check of requests that end upstreams finds daemons that keep or share no account", "[entry][crash]")
{
    const CrashCourse ignored{.m_name = "no account", .m_ignoreLedger = true};
    const CrashCourse unshared{.m_name = "an account that is not shared", .m_shareNothing = true};
    CHECK(CrashDeployment(8, ignored, contactMs(8), 1).run().m_laterSends > 3);
    CHECK(CrashDeployment(90, unshared, contactMs(90), 1).run().m_laterSends > 3);
}
