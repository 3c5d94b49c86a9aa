#pragma once

#include "kernel/sharedlimitmembers.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace knapweedslip
{
/** A change of the registrations in the store. */
struct RegistrationChange
{
    std::int64_t m_atMs = 0;
    std::string m_daemon;
    bool m_registered = false;
};

/** One daemon of DaemonFleet. */
struct FleetDaemon
{
    /** Time from the start of a process until it has read the store and is registered, in ms. */
    static constexpr std::int64_t StartMs = 200;

    FleetDaemon(const std::string &name, std::int64_t windowMs, std::int64_t maxViewAgeMs)
        : m_name(name)
        , m_members(name, windowMs, maxViewAgeMs)
    {
    }

    /** Returns the time as of which the daemon knows all registrations: it reads the whole store when it starts, and hears of changes later. */
    std::int64_t viewTimeMs(std::int64_t nowMs) const
    {
        const std::int64_t heardMs = (m_cutOffMs < 0 ? nowMs : std::min(nowMs, m_cutOffMs)) - m_viewLagMs;
        return std::max(heardMs, m_startedMs + StartMs);
    }

    std::string m_name;
    /** Differs from that of the process which had the name before. */
    int m_process = 0;
    std::int64_t m_startedMs = 0;
    bool m_running = true;
    /** The process has given up its registration and serves on until it is killed. */
    bool m_stopping = false;
    /** How late the daemon hears of changes. */
    std::int64_t m_viewLagMs = 0;
    /** Time at which it lost the store; -1 if it has not. */
    std::int64_t m_cutOffMs = -1;
    /** Number of registration changes in its view. */
    std::size_t m_appliedChanges = 0;
    /** The daemons that are registered in its view. */
    std::set<std::string> m_listed;
    SharedLimitMembers m_members;
};

/** All daemons of a deployment and their registrations in the store, in virtual time. The daemons' views of each other are late. */
class DaemonFleet
{
public:
    /** Time to live of a daemon's registration, in ms. */
    static constexpr std::int64_t RegistrationTtlMs = 4'000;
    /** The daemons hear of changes up to this late, in ms. */
    static constexpr std::int64_t MaxViewLagMs = 1'200;

    /** @param windowMs window of the limit that the daemons share. @param maxViewAgeMs see SharedLimitMembers. */
    DaemonFleet(int daemons, std::int64_t windowMs, unsigned seed, std::int64_t maxViewAgeMs = SharedLimitMembers::DefaultMaxViewAgeMs)
        : m_random(seed)
        , m_windowMs(windowMs)
        , m_maxViewAgeMs(maxViewAgeMs)
    {
        for (int i = 0; i < daemons; ++i) {
            start("daemon-" + std::to_string(i), 0);
        }
    }

    /** Starts a process, in place of the one with its name if there is one. It reads the store and is registered a moment later. */
    void start(const std::string &name, std::int64_t nowMs)
    {
        FleetDaemon daemon(name, m_windowMs, m_maxViewAgeMs);
        daemon.m_process = ++m_processes;
        daemon.m_startedMs = nowMs;
        daemon.m_viewLagMs = static_cast<std::int64_t>(m_random() % MaxViewLagMs);
        m_daemons.insert_or_assign(name, std::move(daemon));
        m_planned.push_back({nowMs + FleetDaemon::StartMs, name, true});
    }

    /** Kills a process. Its registration lapses later. */
    void kill(const std::string &name, std::int64_t nowMs)
    {
        m_daemons.at(name).m_running = false;
        m_planned.push_back({nowMs + RegistrationTtlMs, name, false});
    }

    /** Tells a process to stop: it gives up its registration at once and serves on. */
    void stop(const std::string &name, std::int64_t nowMs)
    {
        m_daemons.at(name).m_stopping = true;
        m_daemons.at(name).m_members.withdraw();
        m_planned.push_back({nowMs, name, false});
    }

    /** Cuts a daemon off from the store: its view ages and its registration lapses, but it reaches clients and upstreams. */
    void cutOff(const std::string &name, std::int64_t nowMs)
    {
        m_daemons.at(name).m_cutOffMs = nowMs;
        m_planned.push_back({nowMs + RegistrationTtlMs, name, false});
    }

    /** Removes all registrations, as an outage of the store may, and adds them again one by one. */
    void lapseAll(std::int64_t nowMs)
    {
        std::int64_t backMs = nowMs;
        for (const std::pair<const std::string, FleetDaemon> &entry : m_daemons) {
            m_planned.push_back({nowMs, entry.first, false});
            backMs += 20;
            m_planned.push_back({backMs, entry.first, true});
        }
    }

    std::string anyRunning()
    {
        std::vector<std::string> running;
        for (const std::pair<const std::string, FleetDaemon> &entry : m_daemons) {
            if (entry.second.m_running && !entry.second.m_stopping) {
                running.push_back(entry.first);
            }
        }
        return running.at(m_random() % running.size());
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> names;
        for (const std::pair<const std::string, FleetDaemon> &entry : m_daemons) {
            names.push_back(entry.first);
        }
        return names;
    }

    /** Brings registrations and views up to @p nowMs, and calls @p act for every process that serves. */
    void step(std::int64_t nowMs, const std::function<void(FleetDaemon &)> &act)
    {
        std::stable_sort(m_planned.begin(), m_planned.end(), [](const RegistrationChange &a, const RegistrationChange &b) {
            return a.m_atMs < b.m_atMs;
        });
        while (!m_planned.empty() && m_planned.front().m_atMs <= nowMs) {
            m_changes.push_back(m_planned.front());
            m_planned.pop_front();
        }
        for (std::pair<const std::string, FleetDaemon> &entry : m_daemons) {
            FleetDaemon &daemon = entry.second;
            if (daemon.m_running && nowMs >= daemon.m_startedMs + FleetDaemon::StartMs) {
                applyChanges(daemon, nowMs);
                act(daemon);
            }
        }
    }

    std::mt19937 &random()
    {
        return m_random;
    }

private:
    void applyChanges(FleetDaemon &daemon, std::int64_t nowMs)
    {
        const std::int64_t viewMs = daemon.viewTimeMs(nowMs);
        while (daemon.m_appliedChanges < m_changes.size() && m_changes[daemon.m_appliedChanges].m_atMs <= viewMs) {
            const RegistrationChange &change = m_changes[daemon.m_appliedChanges];
            if (change.m_registered) {
                daemon.m_listed.insert(change.m_daemon);
                daemon.m_members.add(change.m_daemon, nowMs);
            } else {
                daemon.m_listed.erase(change.m_daemon);
                daemon.m_members.remove(change.m_daemon, nowMs);
            }
            ++daemon.m_appliedChanges;
        }
    }

    std::mt19937 m_random;
    std::int64_t m_windowMs;
    std::int64_t m_maxViewAgeMs;
    int m_processes = 0;
    std::map<std::string, FleetDaemon> m_daemons;
    /** Changes of the registrations to come, and those that the store has. */
    std::deque<RegistrationChange> m_planned;
    std::vector<RegistrationChange> m_changes;
};

/** What happens to the daemons around a certain moment. */
struct FleetCourse
{
    const char *m_name;
    /** Called at each step; @p sinceMs is the time since the moment, negative before it. */
    void (*m_act)(DaemonFleet &fleet, std::int64_t nowMs, std::int64_t sinceMs);
};

/** Returns the courses that every limit shared by all daemons has to bear. */
inline const std::vector<FleetCourse> &fleetCourses()
{
    static const std::vector<FleetCourse> all{
        {"nothing happens", [](DaemonFleet &, std::int64_t, std::int64_t) {}},
        {"every daemon restarts at once",
         [](DaemonFleet &fleet, std::int64_t nowMs, std::int64_t sinceMs) {
             if (sinceMs == 300) {
                 for (const std::string &name : fleet.names()) {
                     fleet.start(name, nowMs);
                 }
             }
         }},
        {"one daemon after the other restarts",
         [](DaemonFleet &fleet, std::int64_t nowMs, std::int64_t sinceMs) {
             if (sinceMs >= 0 && sinceMs % 50 == 0) {
                 fleet.start(fleet.anyRunning(), nowMs);
             }
         }},
        {"half of the daemons stop at once",
         [](DaemonFleet &fleet, std::int64_t nowMs, std::int64_t sinceMs) {
             for (std::size_t i = 0; sinceMs == 300 && i < fleet.names().size() / 2; ++i) {
                 fleet.stop(fleet.anyRunning(), nowMs);
             }
         }},
        {"half of the daemons are killed at once",
         [](DaemonFleet &fleet, std::int64_t nowMs, std::int64_t sinceMs) {
             for (std::size_t i = 0; sinceMs == 300 && i < fleet.names().size() / 2; ++i) {
                 fleet.kill(fleet.anyRunning(), nowMs);
             }
         }},
        {"half of the daemons lose the store",
         [](DaemonFleet &fleet, std::int64_t nowMs, std::int64_t sinceMs) {
             const std::vector<std::string> names = fleet.names();
             for (std::size_t i = 0; sinceMs == 300 && i < names.size() / 2; ++i) {
                 fleet.cutOff(names[i], nowMs);
             }
         }},
        {"as many daemons again are added at once",
         [](DaemonFleet &fleet, std::int64_t nowMs, std::int64_t sinceMs) {
             const std::size_t count = fleet.names().size();
             for (std::size_t i = 0; sinceMs == 100 && i < count; ++i) {
                 fleet.start("added-" + std::to_string(i), nowMs);
             }
         }},
        {"daemons come and go",
         [](DaemonFleet &fleet, std::int64_t nowMs, std::int64_t sinceMs) {
             if (sinceMs >= -4'000 && sinceMs % 100 == 0) {
                 fleet.start("new-" + std::to_string(sinceMs), nowMs);
                 fleet.stop(fleet.anyRunning(), nowMs);
             }
         }},
        {"all registrations lapse",
         [](DaemonFleet &fleet, std::int64_t nowMs, std::int64_t sinceMs) {
             if (sinceMs == -500) {
                 fleet.lapseAll(nowMs);
             }
         }},
    };
    return all;
}
}
