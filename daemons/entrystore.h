#pragma once

#include "daemons/entrycontext.h"

namespace knapweedslip
{
/** Keeps the configuration, evacuated zones, upstreams and daemons in line with the platform's store. Runs until the daemon stops. */
awaitable<void> followStore(EntryContext &context);

/** Registers this daemon in the store under a lease and renews it. Runs until the daemon stops, then ends the lease. */
awaitable<void> maintainRegistration(EntryContext &context);

/** Acquires the leadership when no daemon holds it, and renews its lease. Runs until the daemon stops. */
awaitable<void> runLeaderElection(EntryContext &context);

/** Gives up the leadership before a planned stop. */
awaitable<void> releaseLeadership(EntryContext &context);
}
