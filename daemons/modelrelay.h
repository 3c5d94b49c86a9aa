#pragma once

#include "daemons/callerapi.h"

namespace knapweedslip
{
/** Serves one completion from dispatch to the last byte, over as many attempts as it takes and the budgets allow. */
awaitable<void> relayCompletion(GatewayContext &context, HttpExchange &exchange, CompletionCall call);
}
