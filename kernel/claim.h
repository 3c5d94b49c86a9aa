#pragma once

#include <cstdint>

namespace knapweedslip
{
/** Times of a lease on a fabric domain. */
struct ClaimTimes
{
    /** Lifetime of the lease in the store after its last renewal. */
    std::int64_t m_ttlMs = 6'000;
    /** The holder stops this long before the store may give the lease away. */
    std::int64_t m_marginMs = 2'000;
    /** Longest time an order may live in the network; a new holder waits it out where engines do not check fencing numbers. */
    std::int64_t m_orderLifeMs = 1'000;
};

/** A controller's own view of its lease. */
struct Claim
{
    bool m_held = false;
    /** Fencing number: rises with each change of holder. */
    std::uint64_t m_fence = 0;
    std::int64_t m_acquiredAtMs = 0;
    /** When the last successful renewal was sent (not answered). */
    std::int64_t m_renewedAtMs = 0;
};

/** The lease certainly has not lapsed in the store at @p nowMs. */
bool claimValid(const Claim &claim, const ClaimTimes &times, std::int64_t nowMs);

/**
 * The holder may give an order that was decided under fencing number @p fence now: the lease is valid, it is still that holder's turn,
 * and every order of an earlier turn is dead.
 */
bool mayOrder(const Claim &claim, const ClaimTimes &times, std::uint64_t fence, std::int64_t nowMs);
}
