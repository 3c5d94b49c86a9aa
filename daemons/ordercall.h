#pragma once

#include "kernel/engineorders.h"
#include "net/httpclient.h"

namespace knapweedslip
{
/**
 * Sends @p order to its engine over a connection of @p pool, or a new one, and reads the response. The pool must be used for nothing else: then it holds
 * only connections to engines that name the order in their response, so that a late copy of an earlier response is recognised. Fails with
 * ProtocolViolation if it cannot be told whether the response is that to @p order; the engine may have carried it out then.
 */
awaitable<Result<HttpReply>> orderCall(ConnectionPool &pool, const EngineOrder &order, std::int64_t timeoutMs);
}
