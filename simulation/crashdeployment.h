#pragma once

#include "kernel/crashledger.h"
#include "kernel/hashing.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace knapweedslip
{
/** What happens to daemons and messages while a request that ends upstreams, or requests with such a part, come again and again. */
struct CrashCourse
{
    const char *m_name = "";
    /** Share of the datagrams that are lost. */
    double m_datagramsLost = 0.0;
    bool m_storeDown = false;
    /** All processes are killed at once, one second after the third end. */
    bool m_allRestart = false;
    /** Every 50 ms some process is killed. */
    bool m_someRestart = false;
    /** The ledgers are not used: every send is allowed. */
    bool m_ignoreLedger = false;
    /** Only a daemon's own observations count. */
    bool m_shareNothing = false;
    /** The cause is a part of prompts, in requests of which no two are alike. All requests share another part, and a third of them a further one. */
    bool m_byPart = false;
};

struct CrashCourseResult
{
    int m_upstreamsEnded = 0;
    /** Sends later than contactMs after the third end, the fifth one of a part. */
    int m_laterSends = 0;
    int m_innocentsRefused = 0;
    /** Most ends that happened under one innocent request. */
    int m_mostInnocentEnds = 0;
    /** Time from that end until the last send: all daemons know from then on. */
    std::int64_t m_lastSendMs = 0;
    std::size_t m_observations = 0;
    std::uint64_t m_storeWrites = 0;
    std::uint64_t m_datagramBytes = 0;
};

/** A deployment in virtual time: upstreams with 25 requests each, one request that ends whatever runs it, daemons that tell each other. */
class CrashDeployment
{
public:
    static constexpr std::uint64_t Cause = 1;
    static constexpr std::uint64_t CausePart = 2;
    static constexpr std::uint64_t SharedPart = 3;
    static constexpr std::uint64_t FirstGroupPart = 4;
    static constexpr std::uint64_t Groups = 3;
    static constexpr int EndsUntilRuleOfRequests = 3;
    static constexpr int EndsUntilRuleOfParts = 5;
    /** A request that has run for longer is not what ends the upstream. */
    static constexpr std::int64_t WindowMs = 1'000;
    static constexpr std::int64_t StepMs = 10;
    static constexpr std::int64_t EndMs = 20'000;
    /** From the arrival of a request until it begins to run; the cause ends the upstream then. */
    static constexpr std::int64_t PrefillMs = 60;
    static constexpr std::int64_t RunMs = 1'500;
    static constexpr std::int64_t RestartMs = 2'000;
    static constexpr int MaxAttempts = 3;
    static constexpr int Upstreams = 12;
    static constexpr int InnocentsPerUpstream = 25;
    /** How late a daemon sees what is stored, and the least time between two of its writes, in ms. */
    static constexpr std::int64_t MaxViewLagMs = 1'200;
    static constexpr std::int64_t StorePauseMs = 500;
    /** Datagrams with the same observations, as daemons/entryloadreports.cpp sends them. */
    static constexpr int Repeats = 8;
    static constexpr std::int64_t NewPauseMs = 20;
    static constexpr int QuickRepeats = 3;
    static constexpr std::int64_t QuickPauseMs = 250;
    static constexpr std::int64_t SlowPauseMs = 1'500;

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
                startAttempt(newCause());
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
        CrashSuspects m_suspects;
        bool m_isCause = false;
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

    static Request newRequest(CrashSuspects suspects, std::size_t daemon)
    {
        Request request;
        request.m_suspects = std::move(suspects);
        request.m_daemon = daemon;
        return request;
    }

    Request newCause()
    {
        Request request = newRequest(Cause, anyDaemon());
        if (m_course.m_byPart) {
            const std::uint64_t fingerprint = m_nextRequest++;
            request.m_suspects = {fingerprint, {SharedPart, CausePart, FirstGroupPart + fingerprint % Groups}};
        }
        request.m_isCause = true;
        return request;
    }

    Request newInnocent()
    {
        const std::uint64_t fingerprint = m_nextRequest++;
        const std::vector<std::uint64_t> parts{SharedPart, FirstGroupPart + fingerprint % Groups};
        return newRequest({fingerprint, m_course.m_byPart ? parts : std::vector<std::uint64_t>()}, anyDaemon());
    }

    static bool isCause(const Request &request)
    {
        return request.m_isCause;
    }

    /** Sends the request to an upstream that is up, unless its daemon blocks it or its attempts are spent. */
    void startAttempt(Request request)
    {
        CrashLedger &ledger = m_ledgers[request.m_daemon];
        if (request.m_attempts == MaxAttempts && !isCause(request) && !request.m_cameBack) {
            // The client comes back once, to any daemon.
            const int ends = request.m_ends;
            request = newRequest(request.m_suspects, anyDaemon());
            request.m_ends = ends;
            request.m_cameBack = true;
            m_waiting.push_back(request);
            return;
        }
        if (request.m_attempts == MaxAttempts) {
            return;
        }
        const CrashVerdict verdict = m_course.m_ignoreLedger ? CrashVerdict::MaySend : ledger.verdict(request.m_suspects, m_nowMs);
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
        if (request.m_suspect || ledger.upstreamsEnded(request.m_suspects.m_request) > 0) {
            request.m_upstream = *std::max_element(up.begin(), up.end(), [&](std::size_t a, std::size_t b) {
                const std::uint64_t partKey = partingKey(request.m_suspects.m_request, ledger.upstreamsEnded(request.m_suspects.m_request));
                return hash64(std::to_string(a), partKey) < hash64(std::to_string(b), partKey);
            });
        }
        ++request.m_attempts;
        request.m_sentMs = m_nowMs;
        if (isCause(request) && m_ruleEndMs >= 0) {
            m_result.m_lastSendMs = m_nowMs - m_ruleEndMs;
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
                Request request = newInnocent();
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
                m_ledgers[request.m_daemon].recordSurvived(request.m_suspects, m_nowMs);
            } else {
                if (m_nowMs - request.m_sentMs - PrefillMs > WindowMs) {
                    m_ledgers[request.m_daemon].recordSurvived(request.m_suspects, m_nowMs);
                }
                going.push_back(request);
            }
        }
        m_running = std::move(going);
        std::map<std::size_t, std::uint64_t> ended;
        for (const std::size_t upstream : ending) {
            ended[upstream] = m_upstreams[upstream].m_lifetime;
            m_upstreams[upstream] = {m_nextLifetime++, m_nowMs + RestartMs};
            ++m_result.m_upstreamsEnded;
            m_ruleEndMs = m_result.m_upstreamsEnded == (m_course.m_byPart ? EndsUntilRuleOfParts : EndsUntilRuleOfRequests) ? m_nowMs : m_ruleEndMs;
        }
        for (Request &request : broken) {
            if (m_nowMs - request.m_sentMs - PrefillMs <= WindowMs) {
                m_ledgers[request.m_daemon].recordEnd(request.m_suspects, ended.at(request.m_upstream), {request.m_sentMs, m_nowMs}, m_nowMs);
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
        if (m_course.m_allRestart && m_ruleEndMs >= 0 && m_nowMs == m_ruleEndMs + 1'000) {
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
            const bool isNew = ledger.ownVersion() != m_toldVersion[i];
            m_repeats[i] = isNew ? Repeats : m_repeats[i];
            const std::int64_t repeatPauseMs = m_repeats[i] > Repeats - QuickRepeats ? QuickPauseMs : SlowPauseMs;
            if (m_repeats[i] > 0 && m_nowMs - m_toldAtMs[i] >= (isNew ? NewPauseMs : repeatPauseMs)) {
                --m_repeats[i];
                m_toldVersion[i] = ledger.ownVersion();
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
            if (ledger.ownVersion() != m_storedVersion[i] && m_nowMs - m_storedAtMs[i] >= StorePauseMs) {
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
    std::int64_t m_ruleEndMs = -1;
    CrashCourseResult m_result;
};

/** Returns the courses that the account of ends has to bear. */
inline const std::vector<CrashCourse> &crashCourses()
{
    static const std::vector<CrashCourse> courses{
        {.m_name = "nothing is lost"},
        {.m_name = "half of the datagrams are lost", .m_datagramsLost = 0.5},
        {.m_name = "all datagrams are lost", .m_datagramsLost = 1.0},
        {.m_name = "the store is down, half of the datagrams are lost", .m_datagramsLost = 0.5, .m_storeDown = true},
        {.m_name = "all daemons restart, half of the datagrams are lost", .m_datagramsLost = 0.5, .m_allRestart = true},
        {.m_name = "daemons are killed one after the other, a tenth of the datagrams is lost", .m_datagramsLost = 0.1, .m_someRestart = true},
    };
    return courses;
}

/** Kills and losses at once: what a killed daemon saw may be known to few. */
inline const CrashCourse KillsAndLosses{
    .m_name = "daemons are killed one after the other, half of the datagrams are lost", .m_datagramsLost = 0.5, .m_someRestart = true};

/** The operators' bound by which all daemons have to know. */
inline std::int64_t contactMs(int daemons)
{
    return daemons <= 8 ? 3'000 : 4'000;
}
}
