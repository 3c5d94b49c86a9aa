#pragma once

#include "daemons/entrycontext.h"

namespace knapweedslip
{
/** Keeps the serving groups while this daemon leads: gives the keeper's orders and probes, and returns their answers to it. */
awaitable<void> keepReplicas(EntryContext &context);
}
