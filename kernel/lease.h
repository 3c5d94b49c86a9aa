#pragma once

#include <cstdint>

namespace knapweedslip
{
/** Time limits of a controller's lease on a fabric domain. */
struct LeaseTimes
{
    /** Lifetime of the lease in the store after its last renewal. */
    std::int64_t m_ttlMs = 6'000;
    /** The holder stops sending orders this long before the lease may expire in the store. */
    std::int64_t m_marginMs = 2'000;
    /** Longest time that an order may be in transit. A new holder waits this long before its first order, since engines may not check fencing tokens. */
    std::int64_t m_orderLifeMs = 1'000;
};

/** A controller's view of its own lease. */
struct Lease
{
    bool m_held = false;
    /** Fencing token: increases with each change of holder. */
    std::uint64_t m_fence = 0;
    std::int64_t m_acquiredAtMs = 0;
    /** Time at which the last successful renewal was sent, not answered. */
    std::int64_t m_renewedAtMs = 0;
};

/** Returns true if the lease cannot have expired in the store at @p nowMs. */
bool isLeaseValid(const Lease &lease, const LeaseTimes &times, std::int64_t nowMs);

/**
 * Returns true if the holder may send an order that was decided under fencing token @p fence: the lease is valid and still has that token, and no
 * order of an earlier holder can still be in transit.
 */
bool maySendOrder(const Lease &lease, const LeaseTimes &times, std::uint64_t fence, std::int64_t nowMs);
}
