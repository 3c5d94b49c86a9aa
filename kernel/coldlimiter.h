#pragma once

#include "kernel/sharedlimitmembers.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace knapweedslip
{
/**
 * Limits the requests of this daemon to upstreams that are cold, so that all daemons together send each of them at most the requests per second that it can
 * take, in any second. Of many daemons only some may send to one upstream, different ones for each upstream.
 *
 * Memory: one entry for each upstream that was cold within the last window, and one time for each request in it.
 */
class ColdLimiter
{
public:
    /** Length of the window, in ms: a second, and the longest time from the decision to the sending, while a connection is made (150 ms). */
    static constexpr std::int64_t WindowMs = 1'200;

    /**
     * Returns whether a request may be sent to @p upstream at @p nowMs, and if so counts it.
     * @param members the daemons that share the limit, for a window of WindowMs; their list is complete as of @p viewMs.
     * @param perSecond requests per second that the upstream can take from all daemons together. At least one is allowed, unless this is 0.
     */
    bool trySend(SharedLimitMembers &members, const std::string &upstream, double perSecond, std::int64_t viewMs, std::int64_t nowMs);
    /**
     * Returns how long after @p nowMs trySend() should be tried again for @p upstream, in ms: until the oldest request leaves the window, but at most
     * MaxRetryMs, since the share may grow.
     */
    std::int64_t retryMs(const std::string &upstream, std::int64_t nowMs) const;
    static constexpr std::int64_t MaxRetryMs = 100;
    /** Forgets the upstreams to which nothing was sent within the last window. */
    void removeIdle(std::int64_t nowMs);

private:
    struct Upstream
    {
        /** Times of the requests within the last window. */
        std::deque<std::int64_t> m_sentMs;
        /** This daemon's share of the limit, and for which limit and list of daemons it was computed. */
        std::int64_t m_share = 0;
        std::int64_t m_limit = -1;
        std::uint64_t m_membersVersion = 0;
    };

    static void removeOld(Upstream &upstream, std::int64_t nowMs);

    std::map<std::string, Upstream> m_upstreams;
};
}
