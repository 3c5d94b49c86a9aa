#pragma once

#include "kernel/callconfig.h"

namespace knapweedslip
{
/** How one attempt of a generation ended, as far as the upstream's work is concerned. */
enum class AttemptFate {
    /** Nothing was sent, or the upstream said that it did not run it. */
    NotRun,
    /** It was sent: it ran, or may have. */
    MayHaveRun,
};

/** What the attempts of one client's request have used up. */
struct AttemptTally
{
    int m_runs = 0;
};

/** Counts an attempt that ended with @p fate. */
void countAttempt(AttemptTally &tally, AttemptFate fate);

/** Whether the request may be sent to another upstream after what @p tally holds. */
bool mayMove(const AttemptTally &tally, const CallRoute &route);
}
