// Problem: a limit holds for all daemons together, but they cannot coordinate on each event, come and go at any time, and learn of each other late.
// Approach: whole-number shares by rank, a proof of how current a view is, and a waiting time after each change that covers the oldest view in use.
// A plain division by the number of daemons exceeds the limit when a share is less than one event, and whenever a daemon starts again, stops,
// or sees too few others. One holder for each limit needs an election, and nobody uses the limit until the successor of a lost holder is known.

#include "kernel/sharedlimitmembers.h"

#include "kernel/hashing.h"

#include <algorithm>

namespace knapweedslip
{
SharedLimitMembers::SharedLimitMembers(std::string self, std::int64_t windowMs, std::int64_t maxViewAgeMs)
    : m_self(std::move(self))
    , m_windowMs(windowMs)
    , m_maxViewAgeMs(maxViewAgeMs)
{
}

void SharedLimitMembers::add(const std::string &daemon, std::int64_t nowMs)
{
    if (m_countedUntilMs.insert_or_assign(daemon, -1).second) {
        ++m_version;
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
    found->second = nowMs + m_maxViewAgeMs + m_windowMs;
    m_removed.emplace_back(found->second, daemon);
    if (daemon == m_self) {
        m_listedSinceMs = -1;
    }
}

void SharedLimitMembers::withdraw()
{
    m_withdrawn = true;
}

bool SharedLimitMembers::isCurrent(std::int64_t viewMs, std::int64_t nowMs) const
{
    return !m_withdrawn && m_listedSinceMs >= 0 && viewMs >= 0 && nowMs - viewMs <= m_maxViewAgeMs;
}

bool SharedLimitMembers::mayUseShare(std::int64_t viewMs, std::int64_t nowMs) const
{
    return isCurrent(viewMs, nowMs) && nowMs - m_listedSinceMs >= m_maxViewAgeMs + m_windowMs;
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
    while (!m_removed.empty() && m_removed.front().first <= nowMs) {
        const auto found = m_countedUntilMs.find(m_removed.front().second);
        if (found != m_countedUntilMs.end() && found->second == m_removed.front().first) {
            m_countedUntilMs.erase(found);
            ++m_version;
        }
        m_removed.pop_front();
    }
}
}
