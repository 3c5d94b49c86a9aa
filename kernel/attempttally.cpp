// Problem: a route limits the upstreams on which one request may run, and an upstream may run a request without giving any sign of it.
// Approach: every attempt that was sent counts, unless the upstream itself said that it did not run it.
// Counting only attempts that gave an event lets a request run on one upstream after the other while each of them hangs.

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
