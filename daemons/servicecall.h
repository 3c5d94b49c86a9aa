#pragma once

#include "daemons/callerapi.h"

namespace knapweedslip
{
/** Serves one call of a plain service. Idempotent calls are retried; any other runs at most once. */
awaitable<void> relayServiceCall(GatewayContext &context, HttpExchange &exchange, ServiceCall call);
}
