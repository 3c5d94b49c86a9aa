// Problem: a route limits the number of upstreams on which one request may run, and an upstream may run a request without ever answering.
// Approach: every attempt that was sent counts, unless the upstream answered that it did not run it.
// Counting only attempts that returned an event would let a request run on any number of upstreams, one after another, if each of them hangs.

#include "kernel/attemptcounter.h"

namespace knapweedslip
{
void countAttempt(AttemptCounter &counter, AttemptOutcome outcome)
{
    counter.m_runs += outcome == AttemptOutcome::MayHaveRun ? 1 : 0;
}

bool mayTryAnotherUpstream(const AttemptCounter &counter, const CallRoute &route)
{
    return route.m_resumable && counter.m_runs < route.m_maxAttempts;
}
}
