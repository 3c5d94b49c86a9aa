// Guards against a flood of an upstream that has just started: daemons that cannot coordinate on each request together sent more than it can take,
// because their shares did not add up to its limit.

#include "kernel/coldlimiter.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace knapweedslip;

namespace
{
/** Requests per second that the cold upstream can take from all daemons together. */
constexpr double PerSecond = 26.0;
/** Largest number of requests within a second that the platform tolerates: half as much again plus five. */
constexpr std::ptrdiff_t MaxPerSecond = 44;
constexpr std::int64_t StepMs = 5;
/** Time to live of a daemon's registration, in ms. */
constexpr std::int64_t RegistrationTtlMs = 4'000;
/** Longest time between the decision to send a request and its sending, in ms: a connection is made first. */
constexpr std::int64_t MaxConnectMs = 50;
/** The daemons' view of each other is up to this old, in ms. */
constexpr std::int64_t MaxViewLagMs = 1'200;
/** Time from the start of a process until it has read the store and is registered, in ms. */
constexpr std::int64_t StartMs = 200;
/** Time at which the upstream opens to all daemons. Everybody has been running for long by then. */
constexpr std::int64_t OpeningMs = 20'000;
constexpr std::int64_t EndMs = OpeningMs + 12'000;

/** A change of the registrations in the store. */
struct RegistrationChange
{
    std::int64_t m_atMs = 0;
    std::string m_daemon;
    bool m_registered = false;
};

/** A daemon that has a request for the cold upstream whenever it is asked. */
struct SendingDaemon
{
    std::string m_name;
    std::int64_t m_startedMs = 0;
    /** The process runs. */
    bool m_running = true;
    /** The process has given up its registration and serves on until it ends. */
    bool m_stopping = false;
    /** Age of its view; grows without limit from the time at which the daemon is cut off. */
    std::int64_t m_viewLagMs = 0;
    std::int64_t m_cutOffMs = -1;
    /** Number of registration changes in its view. */
    std::size_t m_appliedChanges = 0;
    SharedLimitMembers m_members{std::string(), ColdLimiter::WindowMs};
    ColdLimiter m_limiter;

    /** Returns the time as of which the daemon knows all registrations: it reads the whole store when it starts, and hears of changes later. */
    std::int64_t viewTimeMs(std::int64_t nowMs) const
    {
        const std::int64_t heardMs = (m_cutOffMs < 0 ? nowMs : std::min(nowMs, m_cutOffMs)) - m_viewLagMs;
        return std::max(heardMs, m_startedMs + StartMs);
    }

    bool trySend(std::int64_t nowMs)
    {
        return m_limiter.trySend(m_members, "upstream", PerSecond, viewTimeMs(nowMs), nowMs);
    }
};

/** All daemons of a deployment and their registrations, in virtual time. */
class Fleet
{
public:
    Fleet(int daemons, unsigned seed)
        : m_random(seed)
    {
        for (int i = 0; i < daemons; ++i) {
            start("daemon-" + std::to_string(i), 0);
        }
    }

    /** Starts a process; it reads the store and is registered a moment later. */
    void start(const std::string &name, std::int64_t nowMs)
    {
        SendingDaemon daemon;
        daemon.m_name = name;
        daemon.m_startedMs = nowMs;
        daemon.m_members = SharedLimitMembers(name, ColdLimiter::WindowMs);
        daemon.m_viewLagMs = static_cast<std::int64_t>(m_random() % MaxViewLagMs);
        m_daemons[name] = std::move(daemon);
        m_planned.push_back({nowMs + StartMs, name, true});
    }

    /** Kills a process. Its registration lapses later. */
    void kill(const std::string &name, std::int64_t nowMs)
    {
        m_daemons[name].m_running = false;
        m_planned.push_back({nowMs + RegistrationTtlMs, name, false});
    }

    /** Kills a process and starts it again at once; its registration stays. */
    void restart(const std::string &name, std::int64_t nowMs)
    {
        start(name, nowMs);
    }

    /** Tells a process to stop: it gives up its registration at once, and serves until it is killed. */
    void stop(const std::string &name, std::int64_t nowMs)
    {
        m_daemons[name].m_stopping = true;
        m_daemons[name].m_members.withdraw();
        m_planned.push_back({nowMs, name, false});
    }

    /** Cuts a daemon off from the store: its view ages and its registration lapses, but it reaches the upstream. */
    void cutOff(const std::string &name, std::int64_t nowMs)
    {
        m_daemons[name].m_cutOffMs = nowMs;
        m_planned.push_back({nowMs + RegistrationTtlMs, name, false});
    }

    /** Removes all registrations, as an outage of the store may, and adds them again one by one. */
    void lapseAll(std::int64_t nowMs)
    {
        std::int64_t backMs = nowMs;
        for (const std::pair<const std::string, SendingDaemon> &entry : m_daemons) {
            m_planned.push_back({nowMs, entry.first, false});
            backMs += 20;
            m_planned.push_back({backMs, entry.first, true});
        }
    }

    std::string anyRunning()
    {
        std::vector<std::string> names;
        for (const std::pair<const std::string, SendingDaemon> &entry : m_daemons) {
            if (entry.second.m_running && !entry.second.m_stopping) {
                names.push_back(entry.first);
            }
        }
        return names.empty() ? std::string() : names[m_random() % names.size()];
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> names;
        for (const std::pair<const std::string, SendingDaemon> &entry : m_daemons) {
            names.push_back(entry.first);
        }
        return names;
    }

    /** Brings registrations and views up to @p nowMs, and lets every daemon send if the upstream is open. */
    void step(std::int64_t nowMs)
    {
        std::stable_sort(m_planned.begin(), m_planned.end(), [](const RegistrationChange &a, const RegistrationChange &b) {
            return a.m_atMs < b.m_atMs;
        });
        while (!m_planned.empty() && m_planned.front().m_atMs <= nowMs) {
            m_changes.push_back(m_planned.front());
            m_planned.pop_front();
        }
        for (std::pair<const std::string, SendingDaemon> &entry : m_daemons) {
            SendingDaemon &daemon = entry.second;
            if (!daemon.m_running || nowMs < daemon.m_startedMs + StartMs) {
                continue;
            }
            applyChanges(daemon, nowMs);
            if (nowMs >= OpeningMs && daemon.trySend(nowMs)) {
                m_sentMs.push_back(nowMs + static_cast<std::int64_t>(m_random() % MaxConnectMs));
            }
        }
    }

    /** Returns the largest number of requests that were sent within any second. */
    std::ptrdiff_t mostPerSecond()
    {
        std::sort(m_sentMs.begin(), m_sentMs.end());
        std::ptrdiff_t most = 0;
        for (auto first = m_sentMs.begin(); first != m_sentMs.end(); ++first) {
            most = std::max(most, std::lower_bound(first, m_sentMs.end(), *first + 1'000) - first);
        }
        return most;
    }

    std::size_t sent() const
    {
        return m_sentMs.size();
    }

private:
    void applyChanges(SendingDaemon &daemon, std::int64_t nowMs)
    {
        const std::int64_t viewMs = daemon.viewTimeMs(nowMs);
        while (daemon.m_appliedChanges < m_changes.size() && m_changes[daemon.m_appliedChanges].m_atMs <= viewMs) {
            const RegistrationChange &change = m_changes[daemon.m_appliedChanges];
            if (change.m_registered) {
                daemon.m_members.add(change.m_daemon, nowMs);
            } else {
                daemon.m_members.remove(change.m_daemon, nowMs);
            }
            ++daemon.m_appliedChanges;
        }
    }

    std::mt19937 m_random;
    std::map<std::string, SendingDaemon> m_daemons;
    /** Changes of the registrations to come, and those that the store has. */
    std::deque<RegistrationChange> m_planned;
    std::vector<RegistrationChange> m_changes;
    std::vector<std::int64_t> m_sentMs;
};

/** What happens to the daemons while the upstream is cold. */
struct Course
{
    const char *m_name;
    void (*m_act)(Fleet &fleet, std::int64_t sinceOpeningMs);
};

const std::vector<Course> &courses()
{
    static const std::vector<Course> all{
        {"nothing happens", [](Fleet &, std::int64_t) {}},
        {"every daemon restarts at once",
         [](Fleet &fleet, std::int64_t ms) {
             if (ms == 300) {
                 for (const std::string &name : fleet.names()) {
                     fleet.restart(name, OpeningMs + ms);
                 }
             }
         }},
        {"one daemon after the other restarts",
         [](Fleet &fleet, std::int64_t ms) {
             if (ms >= 0 && ms % 50 == 0) {
                 fleet.restart(fleet.anyRunning(), OpeningMs + ms);
             }
         }},
        {"half of the daemons stop at once",
         [](Fleet &fleet, std::int64_t ms) {
             for (std::size_t i = 0; ms == 300 && i < fleet.names().size() / 2; ++i) {
                 fleet.stop(fleet.anyRunning(), OpeningMs + ms);
             }
         }},
        {"half of the daemons are killed at once",
         [](Fleet &fleet, std::int64_t ms) {
             for (std::size_t i = 0; ms == 300 && i < fleet.names().size() / 2; ++i) {
                 fleet.kill(fleet.anyRunning(), OpeningMs + ms);
             }
         }},
        {"half of the daemons lose the store",
         [](Fleet &fleet, std::int64_t ms) {
             const std::vector<std::string> names = fleet.names();
             for (std::size_t i = 0; ms == 300 && i < names.size() / 2; ++i) {
                 fleet.cutOff(names[i], OpeningMs + ms);
             }
         }},
        {"as many daemons again are added at once",
         [](Fleet &fleet, std::int64_t ms) {
             const std::size_t count = fleet.names().size();
             for (std::size_t i = 0; ms == 100 && i < count; ++i) {
                 fleet.start("added-" + std::to_string(i), OpeningMs + ms);
             }
         }},
        {"daemons come and go",
         [](Fleet &fleet, std::int64_t ms) {
             if (ms >= -4'000 && ms % 100 == 0) {
                 fleet.start("new-" + std::to_string(ms), OpeningMs + ms);
                 fleet.stop(fleet.anyRunning(), OpeningMs + ms);
             }
         }},
        {"all registrations lapse",
         [](Fleet &fleet, std::int64_t ms) {
             if (ms == -500) {
                 fleet.lapseAll(OpeningMs + ms);
             }
         }},
    };
    return all;
}
}

// Guards against the flood of a cold upstream at its opening (incident FAILBACK): each daemon could send one request at once, however many daemons
// there were.
TEST_CASE("a cold upstream that opens to all daemons gets no more than its limit from them together", "[entry][cold]")
{
    for (const int daemons : {1, 8, 79, 90, 410}) {
        for (const Course &course : courses()) {
            CAPTURE(daemons, course.m_name);
            Fleet fleet(daemons, 7);
            for (std::int64_t nowMs = 0; nowMs < EndMs; nowMs += StepMs) {
                course.m_act(fleet, nowMs - OpeningMs);
                fleet.step(nowMs);
            }
            CHECK(fleet.mostPerSecond() <= MaxPerSecond);
        }
    }
}

// Guards against a limit that leaves a cold upstream idle although callers wait.
TEST_CASE("a cold upstream gets most of what it can take when every daemon has requests", "[entry][cold]")
{
    const int daemons = GENERATE(1, 8, 79, 90, 410);
    Fleet fleet(daemons, 7);
    for (std::int64_t nowMs = 0; nowMs < EndMs; nowMs += StepMs) {
        fleet.step(nowMs);
    }
    CHECK(static_cast<double>(fleet.sent()) >= 0.75 * PerSecond * static_cast<double>(EndMs - OpeningMs) / 1'000.0);
}

TEST_CASE("requests to a cold upstream stay within its limit over all daemons", "[entry][cold]")
{
    const int daemons = GENERATE(1, 7, 8);
    Fleet fleet(daemons, 1);
    for (std::int64_t nowMs = 0; nowMs < OpeningMs + 6'000; nowMs += StepMs) {
        fleet.step(nowMs);
    }
    CHECK(static_cast<double>(fleet.mostPerSecond()) <= PerSecond * 1.5 + 5.0);
    CHECK(fleet.sent() > 60);
}
