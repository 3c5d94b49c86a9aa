// Problem: past capacity, requests that wait too long take slots from requests that could still be in time, and goodput collapses.
// Approach: estimate the wait of the workspace's own line from slots, service time and its share; refuse at once what cannot finish,
// with the time when the line will be short enough. A few requests above the estimate are let in, since it is only a mean.
// Bounding the queue's length alone does not help: the right length depends on service time and deadline.

#include "kernel/admission.h"
#include "kernel/registry.h"

#include <algorithm>
#include <cmath>

namespace knapweedslip
{
namespace
{
constexpr std::size_t FifoBound = 256;

double expectedWaitMs(const AdmissionQuery &query, std::size_t ahead, double share)
{
    const double slots = std::max(1.0, query.m_slots);
    return (static_cast<double>(ahead) + 1.0) * query.m_serviceMs / (slots * std::max(0.01, share));
}

AdmissionVerdict admitByDeadline(const AdmissionQuery &query)
{
    AdmissionVerdict verdict;
    // The line's share is what it gets if all others wait too, and the whole line bounds its wait from above.
    const double own = expectedWaitMs(query, query.m_waitingWorkspace, query.m_share);
    const double all = expectedWaitMs(query, query.m_waitingAll, 1.0);
    const double wait = std::min(own, all);
    verdict.m_waitMs = static_cast<std::int64_t>(std::ceil(wait));
    verdict.m_deadlineUnreachable = static_cast<double>(query.m_nowMs) + wait + query.m_serviceMs > static_cast<double>(query.m_deadlineMs);
    verdict.m_admitted = !verdict.m_deadlineUnreachable && query.m_waitingWorkspace < query.m_maxQueued;
    return verdict;
}

AdmissionVerdict admitBounded(const AdmissionQuery &query)
{
    AdmissionVerdict verdict;
    verdict.m_waitMs = static_cast<std::int64_t>(expectedWaitMs(query, query.m_waitingAll, 1.0));
    verdict.m_admitted = query.m_waitingAll < FifoBound;
    return verdict;
}

AdmissionVerdict admitAll(const AdmissionQuery &)
{
    return {};
}

const Registration<AdmissionPolicy> FairDeadline({"fair-deadline", "fair shares; what cannot be in time is refused at once", admitByDeadline, true, true});
const Registration<AdmissionPolicy> FifoBounded({"fifo-bounded", "one line of bounded length (baseline)", admitBounded, false, false});
const Registration<AdmissionPolicy> FifoUnbounded({"fifo-unbounded", "one line without a bound (baseline)", admitAll, false, false});
}
}
