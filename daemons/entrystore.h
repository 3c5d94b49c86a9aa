#pragma once

#include "daemons/entrycontext.h"

namespace knapweedslip
{
/** Follows the platform's store: configuration, zones out of service, upstreams, daemons. Runs until the daemon stops. */
awaitable<void> followStore(EntryContext &context);

/** Keeps this daemon's entry among the daemons alive under a lease. */
awaitable<void> keepPresence(EntryContext &context);

/** Takes the leadership when nobody has it, and holds it under a lease. */
awaitable<void> campaign(EntryContext &context);

/** Gives up presence and leadership before a planned stop. */
awaitable<void> leaveDeployment(EntryContext &context);
}
