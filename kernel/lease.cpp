// Problem: a controller may be paused for longer than its lease lasts and resume while it still assumes that it holds the lease.
// Approach: the lease is counted from the time at which the renewal was sent, ends earlier here than in the store, and is checked before each order.
// For engines that ignore fencing tokens, a new holder waits until no order of the previous holder can be in transit.
// Counting from the answer to the renewal would overlap with the next holder by the delay of that answer.

#include "kernel/lease.h"

namespace knapweedslip
{
bool isLeaseValid(const Lease &lease, const LeaseTimes &times, std::int64_t nowMs)
{
    return lease.m_held && nowMs < lease.m_renewedAtMs + times.m_ttlMs - times.m_marginMs;
}

bool maySendOrder(const Lease &lease, const LeaseTimes &times, std::uint64_t fence, std::int64_t nowMs)
{
    // The order may have waited in this process while another controller acquired and released the lease.
    const bool sameToken = lease.m_fence == fence;
    return sameToken && isLeaseValid(lease, times, nowMs) && nowMs >= lease.m_acquiredAtMs + times.m_orderLifeMs;
}
}
