// Problem: a limit holds for all daemons together, but they cannot coordinate on each event, come and go at any time, and learn of each other late.
// Approach: whole-number shares by rank, a proof of how current a view is, and a waiting time after each change that covers the oldest view in use.
// A plain division by the number of daemons exceeds the limit when a share is less than one event, and whenever a daemon starts again, stops,
// or sees too few others. One holder for each limit needs an election, and nobody uses the limit until the successor of a lost holder is known.

#include "kernel/sharedlimitmembers.h"

#include "kernel/hashing.h"

#include <algorithm>
#include <utility>

namespace knapweedslip
{
SharedLimitMembers::SharedLimitMembers(std::string self, std::int64_t windowMs)
    : m_self(std::move(self))
    , m_windowMs(windowMs)
{
}

void SharedLimitMembers::add(const std::string &daemon, std::int64_t nowMs)
{
    if (m_countedUntilMs.emplace(daemon, -1).second) {
        ++m_version;
    } else {
        m_countedUntilMs[daemon] = -1;
    }
    if (daemon == m_self && m_listedSinceMs < 0) {
        m_listedSinceMs = nowMs;
    }
}

void SharedLimitMembers::remove(const std::string &daemon, std::int64_t nowMs)
{
    const auto found = m_countedUntilMs.find(daemon);
    if (found == m_countedUntilMs.end() || found->second >= 0) {
        return;
    }
    found->second = nowMs + MaxViewAgeMs + m_windowMs;
    m_nextExpiryMs = m_nextExpiryMs < 0 ? found->second : std::min(m_nextExpiryMs, found->second);
    if (daemon == m_self) {
        m_listedSinceMs = -1;
    }
}

void SharedLimitMembers::withdraw()
{
    m_withdrawn = true;
}

bool SharedLimitMembers::mayUseShare(std::int64_t viewMs, std::int64_t nowMs) const
{
    const bool isCurrent = viewMs >= 0 && nowMs - viewMs <= MaxViewAgeMs;
    return !m_withdrawn && isCurrent && m_listedSinceMs >= 0 && nowMs - m_listedSinceMs >= MaxViewAgeMs + m_windowMs;
}

int SharedLimitMembers::count(std::int64_t nowMs)
{
    removeExpired(nowMs);
    return std::max(1, static_cast<int>(m_countedUntilMs.size()));
}

std::int64_t SharedLimitMembers::share(std::int64_t limit, std::string_view key, std::int64_t nowMs)
{
    const std::int64_t daemons = count(nowMs);
    const std::uint64_t ownWeight = rendezvousWeight(key, m_self);
    const std::int64_t rank = std::count_if(m_countedUntilMs.begin(), m_countedUntilMs.end(), [this, key, ownWeight](const auto &entry) {
        const std::uint64_t weight = rendezvousWeight(key, entry.first);
        return weight > ownWeight || (weight == ownWeight && entry.first < m_self);
    });
    return rank < limit ? (limit - rank - 1) / daemons + 1 : 0;
}

std::uint64_t SharedLimitMembers::version(std::int64_t nowMs)
{
    removeExpired(nowMs);
    return m_version;
}

void SharedLimitMembers::removeExpired(std::int64_t nowMs)
{
    if (m_nextExpiryMs < 0 || nowMs < m_nextExpiryMs) {
        return;
    }
    m_nextExpiryMs = -1;
    for (auto it = m_countedUntilMs.begin(); it != m_countedUntilMs.end();) {
        if (it->second >= 0 && it->second <= nowMs) {
            it = m_countedUntilMs.erase(it);
            ++m_version;
            continue;
        }
        if (it->second >= 0) {
            m_nextExpiryMs = m_nextExpiryMs < 0 ? it->second : std::min(m_nextExpiryMs, it->second);
        }
        ++it;
    }
}
}
