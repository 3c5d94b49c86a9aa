#pragma once

#include "daemons/callerapi.h"

namespace knapweedslip
{
/** Serves one completion from dispatch to the last byte, with as many attempts as it needs and the retry budget allows. */
awaitable<void> relayCompletion(GatewayContext &context, HttpExchange &exchange, CompletionCall call);
}
