#pragma once

#include "kernel/upstreamselector.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace knapweedslip
{
/** What the upstreams say and what happens to the daemons, in TalkativeUpstreams. */
struct TalkativeCourse
{
    const char *m_name = "";
    /** Upstreams, of TalkativeUpstreams::Upstreams, that begin to say that they leave, one each two seconds. */
    int m_leaving = 0;
    /** Upstreams that turn requests away for TurnAwayMs at the same time, again and again. */
    int m_turningAway = 0;
    /** Every second some process is replaced by a new one, which knows nothing. */
    bool m_someRestart = false;
    /** The list is not updated: upstreams that have ended stay in it, and new ones are not added. */
    bool m_listIsStale = false;
    /** The daemons read nothing of what the upstreams say. */
    bool m_ignoreWords = false;
};

struct TalkativeResult
{
    int m_requests = 0;
    /** Requests that reach an upstream later than DrainMs after an answer of it that says that it leaves, from the process that passed that on. */
    int m_sentAfterLeaving = 0;
    /** Most requests of one process that reach an upstream within the time that it gave, later than TurnAwayGraceMs after its answer. */
    int m_mostAfterTurnedAway = 0;
    /** Requests that a daemon gave up although an upstream had been free for FreeMs. */
    int m_refusedThoughFree = 0;
    int m_refused = 0;
    /** Refused requests whose time to retry is before the first upstream takes requests again. */
    int m_toldToReturnTooEarly = 0;
    /** Requests to upstreams that take none, and requests that reach a successor under the same id. */
    int m_wasted = 0;
    int m_sentToSuccessors = 0;
};

/** A plain service in virtual time: its upstreams say in their answers that they leave, or turn requests away, and many daemons send requests. */
class TalkativeUpstreams
{
public:
    static constexpr int Upstreams = 6;
    static constexpr std::int64_t StepMs = 10;
    static constexpr std::int64_t EndMs = 24'000;
    static constexpr std::int64_t DrainMs = 2'000;
    /** From the first word until an upstream ends, and from then until its successor of the same id is listed. */
    static constexpr std::int64_t StayMs = 4'000;
    static constexpr std::int64_t ReturnMs = 1'000;
    static constexpr std::int64_t TurnAwayMs = 4'000;
    static constexpr std::int64_t TurnAwayPauseMs = 2'000;
    static constexpr std::int64_t TurnAwayGraceMs = 500;
    static constexpr std::int64_t FreeMs = 100;
    static constexpr std::int64_t RunMs = 60;
    static constexpr std::int64_t TravelMs = 2;
    /** Requests per second of all daemons together. */
    static constexpr int RequestsPerSecond = 1'000;
    static constexpr int Slots = 40;

    TalkativeUpstreams(int daemons, const TalkativeCourse &course, unsigned seed)
        : m_course(course)
        , m_random(seed)
        , m_daemons(static_cast<std::size_t>(daemons))
        , m_upstreams(Upstreams)
    {
        for (int i = 0; i < Upstreams; ++i) {
            m_upstreams[static_cast<std::size_t>(i)].m_id = "upstream-" + std::to_string(i);
        }
        for (Daemon &daemon : m_daemons) {
            list(daemon, 0);
        }
    }

    TalkativeResult run()
    {
        for (std::int64_t nowMs = 0; nowMs < EndMs; nowMs += StepMs) {
            act(nowMs);
            deliverAnswers(nowMs);
            for (int i = 0; i < RequestsPerSecond * StepMs / 1'000; ++i) {
                ++m_result.m_requests;
                serve(m_random() % m_daemons.size(), {}, nowMs);
            }
        }
        return m_result;
    }

private:
    struct Upstream
    {
        std::string m_id;
        std::int64_t m_startedMs = 1;
        std::int64_t m_leavingMs = -1;
        std::int64_t m_turnAwayUntilMs = -1;
        /** Since when it has had a free slot and taken requests; -1 while it does not. */
        std::int64_t m_freeSinceMs = 0;
        bool m_ended = false;
        int m_running = 0;
    };

    struct Daemon
    {
        int m_process = 0;
        UpstreamAvailability m_availability;
        UpstreamSelector m_selector;
    };

    /** What a process was told by one lifetime of an upstream. */
    struct Told
    {
        std::int64_t m_leavingMs = -1;
        std::int64_t m_turnedAwayMs = -1;
        std::int64_t m_turnedAwayUntilMs = -1;
        int m_sentSince = 0;
    };

    struct Answer
    {
        std::size_t m_daemon = 0;
        int m_process = 0;
        std::size_t m_upstream = 0;
        std::int64_t m_startedMs = 0;
        std::int64_t m_arrivesMs = 0;
        bool m_refused = false;
        bool m_ran = false;
        bool m_leaving = false;
        std::int64_t m_retryAfterMs = 0;
        std::set<std::string> m_tried;
    };

    void list(Daemon &daemon, std::int64_t nowMs)
    {
        std::vector<TrackedUpstream> listed;
        for (const Upstream &upstream : m_upstreams) {
            if (upstream.m_ended && !m_course.m_listIsStale) {
                daemon.m_availability.markUnlisted(upstream.m_id, nowMs);
                continue;
            }
            UpstreamEntry entry;
            entry.m_id = upstream.m_id;
            entry.m_startedMs = upstream.m_startedMs;
            daemon.m_availability.observe(entry, nowMs);
            TrackedUpstream tracked;
            tracked.m_id = upstream.m_id;
            tracked.m_slots = Slots;
            listed.push_back(tracked);
        }
        daemon.m_selector.setUpstreams("service", listed);
    }

    void listForAll(std::int64_t nowMs)
    {
        for (Daemon &daemon : m_daemons) {
            list(daemon, nowMs);
        }
    }

    void act(std::int64_t nowMs)
    {
        for (int i = 0; i < Upstreams; ++i) {
            Upstream &upstream = m_upstreams[static_cast<std::size_t>(i)];
            const std::int64_t firstWordMs = 2'000 * (i + 1);
            if (i < m_course.m_leaving && nowMs == firstWordMs) {
                upstream.m_leavingMs = nowMs;
            } else if (i < m_course.m_leaving && nowMs == firstWordMs + StayMs) {
                upstream.m_ended = true;
                upstream.m_running = 0;
                listForAll(nowMs);
            } else if (i < m_course.m_leaving && nowMs == firstWordMs + StayMs + ReturnMs && !m_course.m_listIsStale) {
                upstream.m_ended = false;
                upstream.m_leavingMs = -1;
                upstream.m_startedMs = nowMs;
                listForAll(nowMs);
            }
            const bool turnsAway = i >= Upstreams - m_course.m_turningAway;
            if (turnsAway && nowMs % (TurnAwayMs + TurnAwayPauseMs) == TurnAwayPauseMs) {
                upstream.m_turnAwayUntilMs = nowMs + TurnAwayMs;
            }
            const bool isFree = !upstream.m_ended && upstream.m_leavingMs < 0 && upstream.m_turnAwayUntilMs <= nowMs && upstream.m_running < Slots;
            upstream.m_freeSinceMs = !isFree ? -1 : upstream.m_freeSinceMs < 0 ? nowMs : upstream.m_freeSinceMs;
        }
        if (m_course.m_someRestart && nowMs % 1'000 == 0) {
            Daemon &daemon = m_daemons[m_random() % m_daemons.size()];
            const int process = ++m_processes;
            daemon = Daemon();
            daemon.m_process = process;
            list(daemon, nowMs);
        }
    }

    void serve(std::size_t daemonIndex, std::set<std::string> tried, std::int64_t nowMs)
    {
        Daemon &daemon = m_daemons[daemonIndex];
        const TrackedUpstream *chosen = daemon.m_selector.choose(daemon.m_availability, "service", "zone", tried, nowMs);
        if (chosen == nullptr) {
            refuse(daemon, nowMs);
            return;
        }
        const std::string id = chosen->m_id;
        daemon.m_selector.begin(daemon.m_availability, "service", id, nowMs);
        tried.insert(id);
        for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
            if (m_upstreams[i].m_id == id) {
                arrive(daemonIndex, i, std::move(tried), nowMs);
                return;
            }
        }
    }

    void arrive(std::size_t daemonIndex, std::size_t upstreamIndex, std::set<std::string> tried, std::int64_t nowMs)
    {
        Upstream &upstream = m_upstreams[upstreamIndex];
        const int process = m_daemons[daemonIndex].m_process;
        Answer answer{
            daemonIndex, process, upstreamIndex, upstream.m_startedMs, nowMs + TravelMs, false, false, upstream.m_leavingMs >= 0, 0, std::move(tried)};
        Told &told = m_told[{process, daemonIndex, upstreamIndex, upstream.m_startedMs}];
        m_result.m_sentAfterLeaving += !upstream.m_ended && told.m_leavingMs >= 0 && nowMs > told.m_leavingMs + DrainMs ? 1 : 0;
        m_result.m_sentToSuccessors += !upstream.m_ended && upstream.m_startedMs > 1 ? 1 : 0;
        if (told.m_turnedAwayMs >= 0 && nowMs > told.m_turnedAwayMs + TurnAwayGraceMs && nowMs < told.m_turnedAwayUntilMs) {
            m_result.m_mostAfterTurnedAway = std::max(m_result.m_mostAfterTurnedAway, ++told.m_sentSince);
        }
        const bool turnsAway = upstream.m_turnAwayUntilMs > nowMs;
        if (upstream.m_ended) {
            answer.m_leaving = false;
        } else if (turnsAway || upstream.m_running >= Slots) {
            answer.m_refused = true;
            answer.m_retryAfterMs = turnsAway ? upstream.m_turnAwayUntilMs - nowMs : 0;
        } else {
            answer.m_ran = true;
            answer.m_arrivesMs = nowMs + RunMs;
            ++upstream.m_running;
        }
        m_result.m_wasted += answer.m_ran ? 0 : 1;
        m_answers.emplace(answer.m_arrivesMs, std::move(answer));
    }

    void deliverAnswers(std::int64_t nowMs)
    {
        while (!m_answers.empty() && m_answers.begin()->first <= nowMs) {
            const Answer answer = std::move(m_answers.extract(m_answers.begin()).mapped());
            Upstream &upstream = m_upstreams[answer.m_upstream];
            const bool sameLifetime = upstream.m_startedMs == answer.m_startedMs && !upstream.m_ended;
            upstream.m_running -= answer.m_ran && sameLifetime ? 1 : 0;
            Daemon &daemon = m_daemons[answer.m_daemon];
            if (daemon.m_process != answer.m_process) {
                continue;
            }
            learn(daemon, upstream, answer, nowMs);
            const CallOutcome outcome = answer.m_refused ? CallOutcome::Refused : answer.m_ran ? CallOutcome::Answered : CallOutcome::Unreachable;
            daemon.m_selector.end(daemon.m_availability, "service", upstream.m_id, outcome, -1, nowMs);
            if (!answer.m_ran) {
                serve(answer.m_daemon, answer.m_tried, nowMs);
            }
        }
    }

    void learn(Daemon &daemon, const Upstream &upstream, const Answer &answer, std::int64_t nowMs)
    {
        Told &told = m_told[{answer.m_process, answer.m_daemon, answer.m_upstream, answer.m_startedMs}];
        const UpstreamLifetime lifetime{upstream.m_id, answer.m_startedMs};
        if (answer.m_leaving && told.m_leavingMs < 0) {
            told.m_leavingMs = nowMs;
        }
        if (answer.m_retryAfterMs > 0 && nowMs >= told.m_turnedAwayUntilMs) {
            told.m_turnedAwayMs = nowMs;
            told.m_turnedAwayUntilMs = answer.m_arrivesMs - TravelMs + answer.m_retryAfterMs;
            told.m_sentSince = 0;
        }
        if (m_course.m_ignoreWords) {
            return;
        }
        if (answer.m_leaving) {
            daemon.m_availability.recordLeaving(lifetime, nowMs);
        }
        daemon.m_availability.recordTurnedAway(lifetime, answer.m_retryAfterMs, nowMs);
    }

    void refuse(const Daemon &daemon, std::int64_t nowMs)
    {
        ++m_result.m_refused;
        const Withheld first = daemon.m_selector.shortage(daemon.m_availability, "service", nowMs).first();
        bool isFree = false;
        std::int64_t firstReturnMs = EndMs;
        for (const Upstream &upstream : m_upstreams) {
            isFree = isFree || (upstream.m_freeSinceMs >= 0 && nowMs - upstream.m_freeSinceMs >= FreeMs);
            firstReturnMs = upstream.m_ended || upstream.m_leavingMs >= 0 ? firstReturnMs : std::min(firstReturnMs, upstream.m_turnAwayUntilMs);
        }
        m_result.m_refusedThoughFree += isFree ? 1 : 0;
        if (first.m_reason == WithheldReason::TurnedAway) {
            const std::int64_t returnMs = nowMs + spreadReturnMs(first.m_untilMs - nowMs, static_cast<double>(m_random() % 1'000) / 1'000.0);
            m_result.m_toldToReturnTooEarly += returnMs < firstReturnMs ? 1 : 0;
        }
    }

    struct ToldKey
    {
        int m_process = 0;
        std::size_t m_daemon = 0;
        std::size_t m_upstream = 0;
        std::int64_t m_startedMs = 0;
        auto operator<=>(const ToldKey &) const = default;
    };

    TalkativeCourse m_course;
    std::mt19937 m_random;
    int m_processes = 0;
    std::vector<Daemon> m_daemons;
    std::vector<Upstream> m_upstreams;
    std::multimap<std::int64_t, Answer> m_answers;
    std::map<ToldKey, Told> m_told;
    TalkativeResult m_result;
};
}
