#pragma once

#include "kernel/callconfig.h"

namespace knapweedslip
{
/** Whether an attempt may have run on its upstream. */
enum class AttemptOutcome {
    /** The attempt was not sent, or the upstream answered that it did not run it. */
    NotRun,
    /** The attempt was sent, so it ran or may have run. */
    MayHaveRun,
};

/** Counts the attempts of one client request that ran or may have run. */
struct AttemptCounter
{
    int m_runs = 0;
};

/** Counts an attempt that ended with @p outcome. */
void countAttempt(AttemptCounter &counter, AttemptOutcome outcome);

/** Returns whether the request may be sent to another upstream: the route allows it, and its limit on attempts is not reached. */
bool mayTryAnotherUpstream(const AttemptCounter &counter, const CallRoute &route);
}
