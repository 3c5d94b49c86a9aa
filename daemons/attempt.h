#pragma once

#include "daemons/gatewaycontext.h"

#include <string>

namespace knapweedslip
{
/**
 * A connection to @p upstream whose process is the one in the table: idle connections were checked when they were made, and a process
 * takes its connections with it when it dies, so nothing can reach a process that started since unseen.
 * Fails before anything of the request was sent.
 */
awaitable<Result<HttpConnectionPtr>> connectUpstream(GatewayContext &context, const Upstream &upstream, bool fresh, std::int64_t timeoutMs);

/** Reads the state that an engine tells in the header of its answer. */
void takeEngineNews(GatewayContext &context, const Upstream &upstream, const std::string &running, bool cold, bool leaving);

/** How an error on a connection ends an attempt at a model upstream. */
AttemptEnd attemptEndOf(const Error &error);
}
