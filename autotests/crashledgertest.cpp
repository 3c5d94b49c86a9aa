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
        ledger.recordSurvived(step.m_request, nowMs);
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
    CHECK(ledger.remainingMs(ledger.judge(Cause, 1'000), 1'000) == CrashLedger::RetentionMs - 1'000);
    ledger.recordEnd(Cause, 101, 3'000);
    ledger.recordEnd(Cause, 102, 3'000);
    CHECK(ledger.verdict(Cause, 3'000) == CrashVerdict::Undecided);
    CHECK(ledger.verdict(Cause, 3'000 + CrashLedger::SettleMs) == CrashVerdict::Poison);
    ledger.recordSurvived(Cause, 4'000);
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
            ledger.recordSurvived(Cause, 1'000);
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

namespace
{
struct PartStep
{
    /** 'e': the upstream ended under the request, 'u': it does not answer, 'l': it lives, 's': the request survived. */
    char m_kind;
    CrashSuspects m_request;
    std::uint64_t m_upstream;
    std::int64_t m_atMs;
};

using PartSteps = std::vector<PartStep>;

constexpr std::uint64_t BadPart = 0xbad;
constexpr std::uint64_t SharedPart = 0xa;
constexpr std::uint64_t OtherPart = 0xb;
constexpr std::int64_t PartRunMs = 100;

/** Returns @p count ends 200 ms apart, each under another request with @p parts. */
PartSteps endsUnder(const std::vector<std::uint64_t> &parts, std::uint64_t count, char kind = 'e', std::int64_t firstMs = 1'000)
{
    PartSteps steps;
    for (std::uint64_t i = 0; i < count; ++i) {
        const std::int64_t atMs = firstMs + 200 * static_cast<std::int64_t>(i);
        const std::uint64_t upstream = static_cast<std::uint64_t>(firstMs) + i;
        steps.push_back({kind, {1'000 + upstream, parts}, upstream, atMs});
    }
    return steps;
}

/** The same ends, at each of which a sound request with @p parts was too. */
PartSteps beside(PartSteps ends, const std::vector<std::uint64_t> &parts)
{
    const PartSteps bad = ends;
    for (const PartStep &end : bad) {
        ends.push_back({end.m_kind, {5'000 + end.m_upstream, parts}, end.m_upstream, end.m_atMs});
    }
    return ends;
}

/** Returns @p times moments, 2 s apart, at each of which nine upstreams were lost under requests with SharedPart. */
PartSteps lostTogether(int times)
{
    PartSteps steps;
    for (int time = 0; time < times; ++time) {
        for (std::uint64_t i = 0; i < 9; ++i) {
            const std::uint64_t upstream = 100 + 10 * static_cast<std::uint64_t>(time) + i;
            steps.push_back({'e', {1'000 + upstream, {SharedPart, 0x100 + i % 3}}, upstream, 1'000 + 2'000 * time + static_cast<std::int64_t>(i)});
        }
    }
    return steps;
}

PartSteps operator+(PartSteps steps, const PartSteps &more)
{
    steps.insert(steps.end(), more.begin(), more.end());
    return steps;
}

struct PartRow
{
    const char *m_name;
    PartSteps m_steps;
    /** The parts of a request that has not come before, and the verdicts on it right after the steps and once all has settled. */
    std::vector<std::uint64_t> m_parts;
    CrashVerdict m_verdict;
    CrashVerdict m_settled;
};

const std::vector<PartRow> &partRows()
{
    const CrashSuspects sound(1, {SharedPart});
    const CrashSuspects bad(1, {BadPart});
    static const std::vector<PartRow> rows{
        {"nothing happened", {}, {BadPart}, CrashVerdict::MaySend, CrashVerdict::MaySend},
        {"four ends under the part", endsUnder({BadPart}, 4), {BadPart}, CrashVerdict::MaySend, CrashVerdict::MaySend},
        {"five ends under the part", endsUnder({SharedPart, BadPart}, 5), {SharedPart, BadPart}, CrashVerdict::Undecided, CrashVerdict::Poison},
        {"the part comes first", endsUnder({BadPart, SharedPart}, 5), {BadPart, SharedPart}, CrashVerdict::Undecided, CrashVerdict::Poison},
        {"a sound request shares the other part", endsUnder({SharedPart, BadPart}, 5), {SharedPart}, CrashVerdict::MaySend, CrashVerdict::MaySend},
        {"the part is without the one that was at each end",
         endsUnder({SharedPart, BadPart}, 5),
         {OtherPart, BadPart},
         CrashVerdict::MaySend,
         CrashVerdict::MaySend},
        {"the part is without the one that was at each end, which survives",
         endsUnder({SharedPart, BadPart}, 5) + PartSteps{{'s', sound, 0, 3'000}},
         {OtherPart, BadPart},
         CrashVerdict::Undecided,
         CrashVerdict::Poison},
        {"a sound request with another part was at each end",
         beside(endsUnder({BadPart}, 5), {OtherPart}),
         {BadPart},
         CrashVerdict::MaySend,
         CrashVerdict::MaySend},
        {"such a one, which survives",
         beside(endsUnder({BadPart}, 5), {OtherPart}) + PartSteps{{'s', {1, {OtherPart}}, 0, 3'000}},
         {BadPart},
         CrashVerdict::Undecided,
         CrashVerdict::Poison},
        {"a sound request with another part was at nine of ten ends",
         beside(endsUnder({BadPart}, 9), {OtherPart}) + endsUnder({BadPart}, 1, 'e', 9'000),
         {OtherPart},
         CrashVerdict::MaySend,
         CrashVerdict::MaySend},
        {"two parts that always come together", endsUnder({OtherPart, BadPart}, 5), {OtherPart, BadPart}, CrashVerdict::Undecided, CrashVerdict::Poison},
        {"one of two parts that always came together", endsUnder({OtherPart, BadPart}, 5), {OtherPart}, CrashVerdict::MaySend, CrashVerdict::MaySend},
        {"one of them, at a further end without the other",
         endsUnder({OtherPart, BadPart}, 5) + endsUnder({BadPart}, 1, 'e', 5'000),
         {BadPart},
         CrashVerdict::Undecided,
         CrashVerdict::Poison},
        {"a part that also survives",
         endsUnder({OtherPart, BadPart}, 5) + PartSteps{{'s', {1, {OtherPart}}, 0, 2'000}},
         {BadPart},
         CrashVerdict::Undecided,
         CrashVerdict::Poison},
        {"the part that all requests have", endsUnder({SharedPart}, 5), {SharedPart}, CrashVerdict::Undecided, CrashVerdict::Poison},
        {"the part that all requests have, one survives",
         endsUnder({SharedPart}, 5) + PartSteps{{'s', sound, 0, 2'000}},
         {SharedPart},
         CrashVerdict::MaySend,
         CrashVerdict::MaySend},
        {"upstreams were lost together", lostTogether(1), {SharedPart}, CrashVerdict::MaySend, CrashVerdict::MaySend},
        {"upstreams were lost together four times", lostTogether(4), {SharedPart}, CrashVerdict::MaySend, CrashVerdict::MaySend},
        {"it survived before", PartSteps{{'s', bad, 0, 500}} + endsUnder({BadPart}, 5), {BadPart}, CrashVerdict::Undecided, CrashVerdict::Poison},
        {"it survives afterwards", endsUnder({BadPart}, 5) + PartSteps{{'s', bad, 0, 5'000}}, {BadPart}, CrashVerdict::MaySend, CrashVerdict::MaySend},
        {"it survived after the first end",
         endsUnder({BadPart}, 1) + PartSteps{{'s', bad, 0, 1'001}} + endsUnder({BadPart}, 4, 'e', 2'000),
         {BadPart},
         CrashVerdict::MaySend,
         CrashVerdict::MaySend},
        {"five do not answer", endsUnder({BadPart}, 5, 'u'), {BadPart}, CrashVerdict::Undecided, CrashVerdict::MaySend},
        {"five do not answer and have ended", endsUnder({BadPart}, 5, 'u') + endsUnder({BadPart}, 5), {BadPart}, CrashVerdict::Undecided, CrashVerdict::Poison},
        {"five do not answer and live", endsUnder({BadPart}, 5, 'u') + endsUnder({BadPart}, 5, 'l'), {BadPart}, CrashVerdict::MaySend, CrashVerdict::MaySend},
        {"a sound part at five ends of the cause and at one more",
         endsUnder({OtherPart, BadPart}, 5) + endsUnder({OtherPart}, 1, 'e', 5'000) + endsUnder({BadPart}, 2, 'e', 6'000),
         {OtherPart},
         CrashVerdict::MaySend,
         CrashVerdict::MaySend},
    };
    return rows;
}
}

// Requests with one bad part, no two alike, were each new to the ledger and ended upstreams without limit (incident BUDGET of issue 34).
TEST_CASE("a part of prompts is poison when it is the likely cause of five ends, and the parts beside it are not", "[entry][crash]")
{
    for (const PartRow &row : partRows()) {
        CAPTURE(row.m_name);
        CrashLedger ledger;
        CrashLedger other;
        std::int64_t nowMs = 0;
        for (const PartStep &step : row.m_steps) {
            nowMs = std::max(nowMs, step.m_atMs);
            const CrashRun run{step.m_atMs - PartRunMs, step.m_atMs};
            if (step.m_kind == 'e') {
                ledger.recordEnd(step.m_request, step.m_upstream, run, step.m_atMs);
            } else if (step.m_kind == 'u') {
                ledger.recordUnconfirmed(step.m_request, step.m_upstream, run, step.m_atMs);
            } else if (step.m_kind == 'l') {
                ledger.recordLives(step.m_request, step.m_upstream, step.m_atMs);
            } else {
                ledger.recordSurvived(step.m_request, step.m_atMs);
            }
            // A daemon that has the observations from messages alone decides alike.
            other.merge(valueOf(decodeCrashes(encodeCrashes(ledger.ownObservations(1'000, CrashLedger::RetentionMs, step.m_atMs)))), false, step.m_atMs);
        }
        const CrashSuspects request(1, row.m_parts);
        const std::int64_t settledMs = nowMs + CrashLedger::MaxUnconfirmedMs + 1;
        for (CrashLedger *each : {&ledger, &other}) {
            CHECK(each->verdict(request, nowMs) == row.m_verdict);
            CHECK(each->verdict(request, settledMs) == row.m_settled);
            CHECK(each->verdict(request, nowMs + CrashLedger::RetentionMs + 1) == CrashVerdict::MaySend);
        }
        const CrashFinding finding = ledger.judge(request, nowMs);
        CHECK(finding.m_isPart == (finding.m_verdict != CrashVerdict::MaySend));
    }
}

// A request that is let in again while the part still counts would be refused once more, or end another upstream.
TEST_CASE("the time for which a part is refused ends when too few ends under it are kept", "[entry][crash]")
{
    CrashLedger ledger;
    for (std::uint64_t i = 0; i < 7; ++i) {
        const std::int64_t atMs = 1'000 * static_cast<std::int64_t>(i);
        ledger.recordEnd({100 + i, {BadPart}}, i, {atMs - PartRunMs, atMs}, atMs);
    }
    const CrashSuspects request(1, {BadPart});
    const std::int64_t nowMs = 6'000 + CrashLedger::SettleMs;
    const std::int64_t remainingMs = ledger.remainingMs(ledger.judge(request, nowMs), nowMs);
    CHECK(nowMs + remainingMs == 2'000 + CrashLedger::RetentionMs);
    CHECK(ledger.verdict(request, nowMs + remainingMs) == CrashVerdict::Poison);
    CHECK(ledger.verdict(request, nowMs + remainingMs + 1) == CrashVerdict::MaySend);
}

// A flood of requests with new parts must not push out what is known of the cause.
TEST_CASE("the crash ledger keeps the cause while many other parts come and are cleared", "[entry][crash]")
{
    CrashLedger ledger;
    for (std::uint64_t i = 0; i < 5; ++i) {
        const std::int64_t atMs = 200 * static_cast<std::int64_t>(i);
        ledger.recordEnd({100 + i, {BadPart}}, i, {atMs - PartRunMs, atMs}, atMs);
    }
    for (std::uint64_t i = 1'000; i < 1'000 + CrashLedger::MaxObservations; ++i) {
        const CrashSuspects request(1'000'000 + i, {2'000'000 + i, 3'000'000 + i});
        ledger.recordEnd(request, i, 2'000);
        ledger.recordSurvived(request, 2'001);
    }
    CHECK(ledger.size() == CrashLedger::MaxObservations);
    CHECK(ledger.verdict({1, {BadPart}}, 10'000) == CrashVerdict::Poison);
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
void checkCourse(const CrashCourse &course, unsigned seeds = 3)
{
    for (const int daemons : {8, 90, 410}) {
        for (unsigned seed = 1; seed <= seeds; ++seed) {
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

// Guards against incident BUDGET of issue 34: a part of prompts ended upstreams without limit, since each request with it was new to every daemon.
TEST_CASE("requests with a part that ends upstreams are sent at most three times more, and those that share other parts are not refused", "[entry][crash]")
{
    for (CrashCourse course : crashCourses()) {
        course.m_byPart = true;
        checkCourse(course, 1);
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
