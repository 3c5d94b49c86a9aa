#pragma once

#include "daemons/callerapi.h"

namespace knapweedslip
{
/** Serves one call of a plain service. An idempotent call may be retried after it ran; any other call runs at most once. */
awaitable<void> relayServiceCall(GatewayContext &context, HttpExchange &exchange, ServiceCall call);
}
