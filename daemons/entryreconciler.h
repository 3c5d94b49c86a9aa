#pragma once

#include "daemons/entrycontext.h"

namespace knapweedslip
{
/** While this daemon leads, sends the reconciler's orders and probes to the engines and passes the answers back. Runs until the daemon stops. */
awaitable<void> runReconciler(EntryContext &context);
}
