// Guards against requests that end one upstream after another (incident BUDGET), and against refusing the requests that merely ran beside them.

#include "kernel/crashledger.h"
#include "kernel/hashing.h"
#include "kernel/requestfingerprint.h"
#include "net/crashcodec.h"
#include "net/loadreportcodec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <iostream>
#include <random>
#include <utility>

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

TEST_CASE("crash observations merge to the same result in any order", "[entry][crash]")
{
    rc::prop("any order, any repetition", []() {
        std::vector<CrashObservation> observations;
        const int count = *rc::gen::inRange(0, 30);
        for (int i = 0; i < count; ++i) {
            observations.push_back({*rc::gen::inRange<std::uint64_t>(1, 4), *rc::gen::inRange<std::uint64_t>(1, 6), 0, *rc::gen::arbitrary<bool>()});
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
/** What happens to daemons and messages while a request that ends upstreams comes again and again. */
struct CrashCourse
{
    const char *m_name;
    /** Share of the datagrams that are lost. */
    double m_datagramsLost;
    bool m_storeDown;
    /** All processes are killed at once, one second after the third end. */
    bool m_allRestart;
    /** Every 50 ms some process is killed. */
    bool m_someRestart;
    /** The ledgers are not used: every send is allowed. */
    bool m_ignoreLedger;
    /** Only a daemon's own observations count. */
    bool m_shareNothing;
};

struct CrashCourseResult
{
    int m_upstreamsEnded = 0;
    /** Sends later than contactMs after the third end. */
    int m_laterSends = 0;
    int m_innocentsRefused = 0;
    /** Most ends that happened under one innocent request. */
    int m_mostInnocentEnds = 0;
    /** Time from the third end until the last send: all daemons know from then on. */
    std::int64_t m_lastSendMs = 0;
    std::size_t m_observations = 0;
    std::uint64_t m_storeWrites = 0;
    std::uint64_t m_datagramBytes = 0;
};

/** A deployment in virtual time: upstreams with 25 requests each, one request that ends whatever runs it, daemons that tell each other. */
class CrashDeployment
{
public:
    static constexpr std::int64_t StepMs = 10;
    static constexpr std::int64_t EndMs = 20'000;
    static constexpr std::int64_t PrefillMs = 60;
    static constexpr std::int64_t RunMs = 1'500;
    static constexpr std::int64_t RestartMs = 2'000;
    static constexpr int MaxAttempts = 3;
    static constexpr int Upstreams = 12;
    static constexpr int InnocentsPerUpstream = 25;
    static constexpr std::int64_t MaxViewLagMs = 1'200;

    CrashDeployment(int daemons, const CrashCourse &course, std::int64_t contactMs, unsigned seed)
        : m_course(course)
        , m_contactMs(contactMs)
        , m_random(seed)
        , m_ledgers(static_cast<std::size_t>(daemons))
        , m_applied(static_cast<std::size_t>(daemons), 0)
        , m_storedVersion(static_cast<std::size_t>(daemons), 0)
        , m_storedAtMs(static_cast<std::size_t>(daemons), -1'000)
        , m_toldVersion(static_cast<std::size_t>(daemons), 0)
        , m_repeats(static_cast<std::size_t>(daemons), 0)
        , m_toldAtMs(static_cast<std::size_t>(daemons), -1'000)
    {
        for (int i = 0; i < daemons; ++i) {
            m_viewLagMs.push_back(static_cast<std::int64_t>(m_random() % MaxViewLagMs));
        }
        for (int i = 0; i < Upstreams; ++i) {
            m_upstreams.push_back({static_cast<std::uint64_t>(i) + 1, 0});
        }
        m_nextLifetime = Upstreams + 1;
    }

    CrashCourseResult run()
    {
        for (m_nowMs = 0; m_nowMs < EndMs; m_nowMs += StepMs) {
            fillUpstreams();
            if (m_nowMs >= 1'000 && m_nowMs % 300 == 0) {
                startAttempt(newRequest(Cause, anyDaemon()));
            }
            advanceRequests();
            for (const Request &request : std::exchange(m_waiting, {})) {
                if (m_nowMs < request.m_notBeforeMs) {
                    m_waiting.push_back(request);
                } else {
                    startAttempt(request);
                }
            }
            restartDaemons();
            exchange();
        }
        for (const CrashLedger &ledger : m_ledgers) {
            m_result.m_observations = std::max(m_result.m_observations, ledger.size());
        }
        return m_result;
    }

private:
    struct Upstream
    {
        std::uint64_t m_lifetime;
        std::int64_t m_upAtMs;
    };
    struct Request
    {
        std::uint64_t m_fingerprint = 0;
        std::size_t m_daemon = 0;
        int m_attempts = 0;
        int m_ends = 0;
        bool m_suspect = false;
        bool m_cameBack = false;
        bool m_undecided = false;
        std::int64_t m_notBeforeMs = 0;
        std::size_t m_upstream = 0;
        std::int64_t m_sentMs = 0;
    };

    std::size_t anyDaemon()
    {
        return m_random() % m_ledgers.size();
    }

    static Request newRequest(std::uint64_t fingerprint, std::size_t daemon)
    {
        Request request;
        request.m_fingerprint = fingerprint;
        request.m_daemon = daemon;
        return request;
    }

    bool isCause(const Request &request) const
    {
        return request.m_fingerprint == Cause;
    }

    /** Sends the request to an upstream that is up, unless its daemon blocks it or its attempts are spent. */
    void startAttempt(Request request)
    {
        CrashLedger &ledger = m_ledgers[request.m_daemon];
        if (request.m_attempts == MaxAttempts && !isCause(request) && !request.m_cameBack) {
            // The client comes back once, to any daemon.
            const int ends = request.m_ends;
            request = newRequest(request.m_fingerprint, anyDaemon());
            request.m_ends = ends;
            request.m_cameBack = true;
            m_waiting.push_back(request);
            return;
        }
        if (request.m_attempts == MaxAttempts) {
            return;
        }
        const CrashVerdict verdict = m_course.m_ignoreLedger ? CrashVerdict::MaySend : ledger.verdict(request.m_fingerprint, m_nowMs);
        if (verdict == CrashVerdict::Poison) {
            m_result.m_innocentsRefused += isCause(request) ? 0 : 1;
            return;
        }
        if (verdict == CrashVerdict::Undecided) {
            request.m_undecided = true;
            m_waiting.push_back(request);
            return;
        }
        if (request.m_undecided) {
            constexpr unsigned SpreadMs = 1'000;
            request.m_undecided = false;
            request.m_notBeforeMs = m_nowMs + static_cast<std::int64_t>(m_random() % SpreadMs);
            m_waiting.push_back(request);
            return;
        }
        std::vector<std::size_t> up;
        for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
            if (m_upstreams[i].m_upAtMs <= m_nowMs) {
                up.push_back(i);
            }
        }
        if (up.empty()) {
            return;
        }
        request.m_upstream = up[m_random() % up.size()];
        if (request.m_suspect || ledger.upstreamsEnded(request.m_fingerprint) > 0) {
            request.m_upstream = *std::max_element(up.begin(), up.end(), [&](std::size_t a, std::size_t b) {
                const std::uint64_t partKey = partingKey(request.m_fingerprint, ledger.upstreamsEnded(request.m_fingerprint));
                return hash64(std::to_string(a), partKey) < hash64(std::to_string(b), partKey);
            });
        }
        ++request.m_attempts;
        request.m_sentMs = m_nowMs;
        if (isCause(request) && m_thirdEndMs >= 0) {
            m_result.m_lastSendMs = m_nowMs - m_thirdEndMs;
            m_result.m_laterSends += m_result.m_lastSendMs > m_contactMs ? 1 : 0;
        }
        m_running.push_back(request);
    }

    void fillUpstreams()
    {
        std::vector<int> running(m_upstreams.size(), 0);
        for (const Request &request : m_running) {
            ++running[request.m_upstream];
        }
        for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
            while (m_upstreams[i].m_upAtMs <= m_nowMs && running[i] < InnocentsPerUpstream) {
                Request request = newRequest(m_nextRequest++, anyDaemon());
                request.m_attempts = 1;
                request.m_upstream = i;
                // At the start the requests are spread over their run.
                request.m_sentMs = m_nowMs == 0 ? -static_cast<std::int64_t>(m_random() % RunMs) : m_nowMs;
                m_running.push_back(request);
                ++running[i];
            }
        }
    }

    void advanceRequests()
    {
        std::set<std::size_t> ending;
        std::vector<Request> going;
        for (const Request &request : m_running) {
            if (isCause(request) && m_nowMs - request.m_sentMs >= PrefillMs) {
                ending.insert(request.m_upstream);
            }
        }
        std::vector<Request> broken;
        for (Request &request : m_running) {
            if (ending.count(request.m_upstream) > 0) {
                broken.push_back(request);
            } else if (m_nowMs - request.m_sentMs >= RunMs) {
                m_ledgers[request.m_daemon].recordFinish(request.m_fingerprint, m_nowMs);
            } else {
                going.push_back(request);
            }
        }
        m_running = std::move(going);
        std::map<std::size_t, std::uint64_t> ended;
        for (const std::size_t upstream : ending) {
            ended[upstream] = m_upstreams[upstream].m_lifetime;
            m_upstreams[upstream] = {m_nextLifetime++, m_nowMs + RestartMs};
            ++m_result.m_upstreamsEnded;
            m_thirdEndMs = m_result.m_upstreamsEnded == 3 ? m_nowMs : m_thirdEndMs;
        }
        for (Request &request : broken) {
            constexpr std::int64_t WindowMs = 1'000;
            if (m_nowMs - request.m_sentMs - PrefillMs <= WindowMs) {
                m_ledgers[request.m_daemon].recordEnd(request.m_fingerprint, ended.at(request.m_upstream), m_nowMs);
                request.m_suspect = true;
                ++request.m_ends;
                if (!isCause(request)) {
                    m_result.m_mostInnocentEnds = std::max(m_result.m_mostInnocentEnds, request.m_ends);
                }
            }
        }
        for (const Request &request : broken) {
            startAttempt(request);
        }
    }

    void restart(std::size_t daemon)
    {
        m_ledgers[daemon] = CrashLedger();
        m_applied[daemon] = 0;
        m_storedVersion[daemon] = 0;
        readStore(daemon, 0);
        const auto ofDaemon = [daemon](const Request &request) {
            return request.m_daemon == daemon;
        };
        std::erase_if(m_running, ofDaemon);
        std::erase_if(m_waiting, ofDaemon);
        m_toldVersion[daemon] = 0;
    }

    void restartDaemons()
    {
        if (m_course.m_allRestart && m_thirdEndMs >= 0 && m_nowMs == m_thirdEndMs + 1'000) {
            for (std::size_t i = 0; i < m_ledgers.size(); ++i) {
                restart(i);
            }
        }
        if (m_course.m_someRestart && m_nowMs % 50 == 0) {
            restart(anyDaemon());
        }
    }

    /** Applies what was written up to @p lagMs ago. */
    void readStore(std::size_t daemon, std::int64_t lagMs)
    {
        while (m_applied[daemon] < m_writes.size() && m_writes[m_applied[daemon]].m_atMs <= m_nowMs - lagMs) {
            const StoreWrite &write = m_writes[m_applied[daemon]++];
            std::vector<CrashObservation> observations = write.m_observations;
            for (CrashObservation &observation : observations) {
                observation.m_ageMs += m_nowMs - write.m_atMs;
            }
            m_ledgers[daemon].merge(observations, write.m_daemon == daemon && m_storedVersion[daemon] == 0, m_nowMs);
        }
    }

    void exchange()
    {
        if (m_course.m_shareNothing || m_course.m_ignoreLedger) {
            return;
        }
        std::bernoulli_distribution lost(m_course.m_datagramsLost);
        for (std::size_t i = 0; i < m_ledgers.size(); ++i) {
            CrashLedger &ledger = m_ledgers[i];
            m_repeats[i] = ledger.ownVersion() != m_toldVersion[i] ? 8 : m_repeats[i];
            m_toldVersion[i] = ledger.ownVersion();
            const std::int64_t pauseMs = m_repeats[i] > 5 ? 250 : 1'500;
            if (m_repeats[i] > 0 && m_nowMs - m_toldAtMs[i] >= pauseMs) {
                --m_repeats[i];
                m_toldAtMs[i] = m_nowMs;
                const std::vector<CrashObservation> told = ledger.ownObservations(32, 10'000, m_nowMs);
                for (std::size_t other = 0; !told.empty() && other < m_ledgers.size(); ++other) {
                    m_result.m_datagramBytes += 30 * told.size();
                    if (other != i && !lost(m_random)) {
                        m_ledgers[other].merge(told, false, m_nowMs);
                    }
                }
            }
            if (m_course.m_storeDown) {
                continue;
            }
            if (ledger.ownVersion() != m_storedVersion[i] && m_nowMs - m_storedAtMs[i] >= 500) {
                m_writes.push_back({m_nowMs, i, ledger.ownObservations(CrashLedger::MaxOwn, CrashLedger::RetentionMs, m_nowMs)});
                m_storedVersion[i] = ledger.ownVersion();
                m_storedAtMs[i] = m_nowMs;
                ++m_result.m_storeWrites;
            }
            readStore(i, m_viewLagMs[i]);
        }
    }

    struct StoreWrite
    {
        std::int64_t m_atMs;
        std::size_t m_daemon;
        std::vector<CrashObservation> m_observations;
    };

    CrashCourse m_course;
    std::int64_t m_contactMs;
    std::mt19937 m_random;
    std::vector<CrashLedger> m_ledgers;
    std::vector<std::size_t> m_applied;
    std::vector<std::uint64_t> m_storedVersion;
    std::vector<std::int64_t> m_storedAtMs;
    std::vector<std::uint64_t> m_toldVersion;
    std::vector<int> m_repeats;
    std::vector<std::int64_t> m_toldAtMs;
    std::vector<std::int64_t> m_viewLagMs;
    std::vector<StoreWrite> m_writes;
    std::vector<Upstream> m_upstreams;
    std::uint64_t m_nextLifetime = 0;
    std::uint64_t m_nextRequest = 1'000;
    std::vector<Request> m_running;
    /** Requests of which it is undecided whether they may be sent, and those that come back. */
    std::vector<Request> m_waiting;
    std::int64_t m_nowMs = 0;
    std::int64_t m_thirdEndMs = -1;
    CrashCourseResult m_result;
};

const std::vector<CrashCourse> &crashCourses()
{
    static const std::vector<CrashCourse> courses{
        {"nothing is lost", 0.0, false, false, false, false, false},
        {"half of the datagrams are lost", 0.5, false, false, false, false, false},
        {"all datagrams are lost", 1.0, false, false, false, false, false},
        {"the store is down, half of the datagrams are lost", 0.5, true, false, false, false, false},
        {"all daemons restart, half of the datagrams are lost", 0.5, false, true, false, false, false},
        {"daemons are killed one after the other, a tenth of the datagrams is lost", 0.1, false, false, true, false, false},
    };
    return courses;
}

const CrashCourse KillsAndLosses{"daemons are killed one after the other, half of the datagrams are lost", 0.5, false, false, true, false, false};

/** The operators' bound by which all daemons have to know. */
std::int64_t contactMs(int daemons)
{
    return daemons <= 8 ? 3'000 : 4'000;
}

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
    const CrashCourse ignored{"no account", 0.0, false, false, false, true, false};
    const CrashCourse unshared{"an account that is not shared", 0.0, false, false, false, false, true};
    CHECK(CrashDeployment(8, ignored, contactMs(8), 1).run().m_laterSends > 3);
    CHECK(CrashDeployment(90, unshared, contactMs(90), 1).run().m_laterSends > 3);
}

// Prints the figures of docs/MEASUREMENTS.md.
TEST_CASE("figures of requests that end upstreams", "[.][crashfigures]")
{
    std::vector<CrashCourse> courses = crashCourses();
    courses.push_back(KillsAndLosses);
    courses.insert(courses.begin(), {"no account (before)", 0.0, false, false, false, true, false});
    for (const CrashCourse &course : courses) {
        for (const int daemons : {8, 90, 410}) {
            CrashCourseResult worst;
            for (unsigned seed = 1; seed <= 10; ++seed) {
                const CrashCourseResult result = CrashDeployment(daemons, course, contactMs(daemons), seed).run();
                worst.m_upstreamsEnded = std::max(worst.m_upstreamsEnded, result.m_upstreamsEnded);
                worst.m_laterSends = std::max(worst.m_laterSends, result.m_laterSends);
                worst.m_innocentsRefused += result.m_innocentsRefused;
                worst.m_mostInnocentEnds = std::max(worst.m_mostInnocentEnds, result.m_mostInnocentEnds);
                worst.m_lastSendMs = std::max(worst.m_lastSendMs, result.m_lastSendMs);
                worst.m_observations = std::max(worst.m_observations, result.m_observations);
                worst.m_storeWrites = std::max(worst.m_storeWrites, result.m_storeWrites);
                worst.m_datagramBytes = std::max(worst.m_datagramBytes, result.m_datagramBytes);
            }
            std::cout << "| " << course.m_name << " | " << daemons << " | " << worst.m_upstreamsEnded << " | " << worst.m_laterSends << " | "
                      << worst.m_innocentsRefused << " | " << worst.m_mostInnocentEnds << " | " << worst.m_lastSendMs << " | " << worst.m_observations << " | "
                      << worst.m_storeWrites << " | " << worst.m_datagramBytes / static_cast<std::uint64_t>(daemons) << " |\n";
        }
    }
}
