// Problem: each gateway knows only its own part of the load on a replica, but choosing a replica and detecting a silent one need all of it.
// Approach: every daemon sends its load on each replica to the others several times a second. The last report of each daemon counts until it expires.
// Polling the engines instead would give older data and cost a call each time.

#include "kernel/pulse.h"

#include <algorithm>

namespace knapweedslip
{
void PulseBook::take(const DaemonPulse &pulse, std::int64_t nowMs)
{
    Held &held = m_held[pulse.m_sender];
    // A lower number means a late report, unless the sender has restarted and numbers its reports from the beginning again. That is taken to be so
    // if its last report has expired or the number is much lower.
    const bool stale = held.m_receivedMs > 0 && nowMs - held.m_receivedMs < LifeMs && pulse.m_number <= held.m_pulse.m_number
                       && held.m_pulse.m_number - pulse.m_number < static_cast<std::uint64_t>(LifeMs);
    if (!stale) {
        held.m_pulse = pulse;
        held.m_receivedMs = nowMs;
    }
    for (auto it = m_held.begin(); it != m_held.end();) {
        it = nowMs - it->second.m_receivedMs > LifeMs ? m_held.erase(it) : std::next(it);
    }
}

PeerView PulseBook::view(std::int64_t nowMs) const
{
    PeerView view;
    for (const std::pair<const std::string, Held> &entry : m_held) {
        const Held &held = entry.second;
        if (nowMs - held.m_receivedMs > LifeMs) {
            continue;
        }
        view.m_serving = view.m_serving || held.m_pulse.m_serving;
        for (const GroupPulse &group : held.m_pulse.m_groups) {
            PeerLoad &load = view.m_loads[group.m_epoch];
            const double ageMs = static_cast<double>(nowMs - held.m_receivedMs);
            // A working replica has continued its prefill since the report. Without this correction all gateways would take it for busy, send their
            // requests to the other replicas and overload those next.
            const double unreadMs = group.m_silent ? group.m_load.m_unreadMs : std::max(0.0, group.m_load.m_unreadMs - ageMs);
            const bool read = unreadMs <= 0.0;
            load.m_load.m_writing += group.m_load.m_writing + (read ? group.m_load.m_waiting : 0);
            load.m_load.m_waiting += read ? 0 : group.m_load.m_waiting;
            load.m_load.m_unreadMs += unreadMs;
            load.m_load.m_contextTokens += group.m_load.m_contextTokens;
            if (group.m_progressAgeMs >= 0) {
                load.m_progressMs = std::max(load.m_progressMs, held.m_receivedMs - group.m_progressAgeMs);
            }
            if (group.m_silent) {
                view.m_silent.push_back(group.m_epoch);
            }
        }
    }
    return view;
}

int PulseBook::heard(std::int64_t nowMs) const
{
    return static_cast<int>(std::count_if(m_held.begin(), m_held.end(), [nowMs](const std::pair<const std::string, Held> &entry) {
        return nowMs - entry.second.m_receivedMs <= LifeMs;
    }));
}

DaemonPulse makePulse(const std::string &sender, std::uint64_t number, bool serving, const ReplicaBook &book, std::int64_t nowMs)
{
    DaemonPulse pulse;
    pulse.m_sender = sender;
    pulse.m_number = number;
    pulse.m_serving = serving;
    for (const std::pair<const ReplicaRef, BookedReplica> &entry : book.replicas()) {
        const BookedReplica &replica = entry.second;
        const bool idle = replica.m_own.m_writing + replica.m_own.m_waiting == 0;
        // An idle replica is left out of the report when its last event is older than a report may be.
        if (idle && !replica.m_silent && (replica.m_progressMs < 0 || nowMs - replica.m_progressMs > PulseBook::LifeMs)) {
            continue;
        }
        GroupPulse group;
        group.m_epoch = entry.first.m_epoch;
        group.m_load = replica.m_own;
        group.m_progressAgeMs = replica.m_progressMs < 0 ? -1 : nowMs - replica.m_progressMs;
        group.m_silent = replica.m_silent;
        pulse.m_groups.push_back(group);
    }
    return pulse;
}
}
