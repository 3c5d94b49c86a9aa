#pragma once

#include "daemons/gatewaycontext.h"

#include <string>

namespace knapweedslip
{
/**
 * Returns a connection to the process of @p upstream that is listed in the table. An idle connection was checked when it was opened and
 * closes when its process dies, so it cannot lead to a process that has started since. Opens a new connection if @p fresh is set.
 * On failure nothing of the request has been sent.
 */
awaitable<Result<HttpConnectionPtr>> connectUpstream(GatewayContext &context, const Upstream &upstream, bool fresh, std::int64_t timeoutMs);

/** Updates load and state of @p upstream from the headers of an engine's response. @p running is ignored if it is not a number. */
void applyEngineHeaders(GatewayContext &context, const Upstream &upstream, const std::string &running, bool cold, bool leaving);

/** Returns the outcome that the scheduler records for an attempt that ended with @p error. */
AttemptEnd toAttemptEnd(const Error &error);
}
