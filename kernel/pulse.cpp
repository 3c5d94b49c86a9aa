// Problem: each gateway sees only its own part of what runs on a group, but a good choice and a sure verdict need all of it.
// Approach: every daemon tells the others what it has on each group, many times a second; the last word of each counts for a short time.
// The engines' own reports come late, and cost a call each.

#include "kernel/pulse.h"

#include <algorithm>

namespace knapweedslip
{
void PulseBook::take(const DaemonPulse &pulse, std::int64_t nowMs)
{
    Held &held = m_held[pulse.m_sender];
    // A daemon that started anew counts from the beginning again; its old pulses are long forgotten by then.
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
            // A group that shows work has read on since then; whoever takes it for busy sends all to the others, and they are the busy ones next.
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
        // Nothing to say of a group on which nothing runs and whose last work is old.
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
