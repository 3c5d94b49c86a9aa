// Problem: a route limits on how many upstreams one request may run, and an upstream may run a request without ever answering.
// Approach: every attempt that was sent counts, unless the upstream answered that it did not run it.
// Counting only attempts that returned an event would let a request run on any number of upstreams, one after another, if each of them hangs.

#include "kernel/attempttally.h"

namespace knapweedslip
{
void countAttempt(AttemptTally &tally, AttemptFate fate)
{
    tally.m_runs += fate == AttemptFate::MayHaveRun ? 1 : 0;
}

bool mayMove(const AttemptTally &tally, const CallRoute &route)
{
    return route.m_resumable && tally.m_runs < route.m_maxAttempts;
}
}
