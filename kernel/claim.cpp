// Problem: a controller may be paused for longer than its lease and wake up believing that it still holds it.
// Approach: the lease counts from when the renewal was sent, ends earlier here than in the store, and is checked before each order;
// a new holder waits until orders of the old one are dead, for engines that ignore fencing numbers.
// Counting from the renewal's answer would overlap with the next holder by the answer's delay.

#include "kernel/claim.h"

namespace knapweedslip
{
bool claimValid(const Claim &claim, const ClaimTimes &times, std::int64_t nowMs)
{
    return claim.m_held && nowMs < claim.m_renewedAtMs + times.m_ttlMs - times.m_marginMs;
}

bool mayOrder(const Claim &claim, const ClaimTimes &times, std::uint64_t fence, std::int64_t nowMs)
{
    // An order may have waited in this process while another controller held the domain and gave it back.
    const bool sameTurn = claim.m_fence == fence;
    return sameTurn && claimValid(claim, times, nowMs) && nowMs >= claim.m_acquiredAtMs + times.m_orderLifeMs;
}
}
