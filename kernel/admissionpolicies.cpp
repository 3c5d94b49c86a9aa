// Problem: beyond capacity, requests that have waited too long take slots from requests that could still finish in time, and goodput
// collapses.
// Approach: estimate the wait in the workspace's own flow from the slots, the mean service time and the workspace's share. Refuse
// immediately a request that cannot finish in time, and return the estimated wait as the retry time. The estimate is only a mean, so a few
// admitted requests wait longer.
// Bounding the queue's length alone does not help, because the right length depends on service time and deadline.

#include "kernel/admission.h"
#include "kernel/registry.h"

#include <algorithm>
#include <cmath>

namespace knapweedslip
{
namespace
{
constexpr std::size_t MaxFifoLength = 256;

/** Returns the expected wait, in ms, behind @p ahead requests when @p share of the slots serves them. */
double expectedWaitMs(const AdmissionQuery &query, std::size_t ahead, double share)
{
    const double slots = std::max(1.0, query.m_slots);
    return (static_cast<double>(ahead) + 1.0) * query.m_serviceMs / (slots * std::max(0.01, share));
}

AdmissionDecision admitByDeadline(const AdmissionQuery &query)
{
    AdmissionDecision decision;
    // The share assumes that all other workspaces keep waiting. The wait behind all requests of the pool is an upper bound.
    const double own = expectedWaitMs(query, query.m_waitingInWorkspace, query.m_share);
    const double all = expectedWaitMs(query, query.m_waitingInPool, 1.0);
    const double wait = std::min(own, all);
    decision.m_waitMs = static_cast<std::int64_t>(std::ceil(wait));
    decision.m_deadlineUnreachable = static_cast<double>(query.m_nowMs) + wait + query.m_serviceMs > static_cast<double>(query.m_deadlineMs);
    decision.m_admitted = !decision.m_deadlineUnreachable && query.m_waitingInWorkspace < query.m_maxQueued;
    return decision;
}

AdmissionDecision admitBounded(const AdmissionQuery &query)
{
    AdmissionDecision decision;
    decision.m_waitMs = static_cast<std::int64_t>(expectedWaitMs(query, query.m_waitingInPool, 1.0));
    decision.m_admitted = query.m_waitingInPool < MaxFifoLength;
    return decision;
}

AdmissionDecision admitAll(const AdmissionQuery &)
{
    return {};
}

const Registration<AdmissionPolicy>
    FairDeadline({"fair-deadline", "fair shares; requests that cannot finish in time are refused at once", admitByDeadline, true, true});
const Registration<AdmissionPolicy> FifoBounded({"fifo-bounded", "one FIFO queue of bounded length (baseline)", admitBounded, false, false});
const Registration<AdmissionPolicy> FifoUnbounded({"fifo-unbounded", "one FIFO queue without a bound (baseline)", admitAll, false, false});
}
}
