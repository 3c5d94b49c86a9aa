// Problem: an upstream that has just started fails if all daemons together send it more requests in a second than it can take, and callers wait if
// they send it much less.
// Approach: each daemon has a whole number of requests in any window, by its rank for this upstream, and counts what it sent.
// A token bucket for each daemon adds its burst to the rate once for each daemon, which at 79 daemons is more than the whole limit.

#include "kernel/coldlimiter.h"

#include <algorithm>
#include <cmath>

namespace knapweedslip
{
bool ColdLimiter::trySend(SharedLimitMembers &members, const std::string &upstream, double perSecond, std::int64_t viewMs, std::int64_t nowMs)
{
    if (perSecond <= 0.0 || !members.mayUseShare(viewMs, nowMs)) {
        return false;
    }
    Upstream &state = m_upstreams[upstream];
    removeOld(state, nowMs);
    const std::int64_t limit = std::max<std::int64_t>(1, static_cast<std::int64_t>(std::floor(perSecond)));
    const std::uint64_t version = members.version(nowMs);
    if (state.m_limit != limit || state.m_membersVersion != version) {
        state.m_share = members.share(limit, upstream, nowMs);
        state.m_limit = limit;
        state.m_membersVersion = version;
    }
    if (static_cast<std::int64_t>(state.m_sentMs.size()) >= state.m_share) {
        return false;
    }
    state.m_sentMs.push_back(nowMs);
    return true;
}

std::int64_t ColdLimiter::retryMs(const std::string &upstream, std::int64_t nowMs) const
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end() || found->second.m_sentMs.empty()) {
        return MaxRetryMs;
    }
    return std::clamp(found->second.m_sentMs.front() + WindowMs - nowMs, std::int64_t(1), MaxRetryMs);
}

void ColdLimiter::removeIdle(std::int64_t nowMs)
{
    for (auto it = m_upstreams.begin(); it != m_upstreams.end();) {
        removeOld(it->second, nowMs);
        it = it->second.m_sentMs.empty() ? m_upstreams.erase(it) : std::next(it);
    }
}

void ColdLimiter::removeOld(Upstream &upstream, std::int64_t nowMs)
{
    while (!upstream.m_sentMs.empty() && nowMs - upstream.m_sentMs.front() >= WindowMs) {
        upstream.m_sentMs.pop_front();
    }
}
}
