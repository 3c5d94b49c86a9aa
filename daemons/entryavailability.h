#pragma once

#include "daemons/entrycontext.h"
#include "platform/callheaders.h"

#include <string>

namespace knapweedslip
{
/** Records that @p upstream said in an answer that it will stop: it gets no new requests, and the leader replaces the replica that it serves in. */
void learnLeaving(EntryContext &context, const UpstreamLifetime &upstream, const std::string &requestId);

/** Records that another daemon found that a lifetime leaves: it gets no new requests, and the leader asks the upstream itself. */
void learnReport(EntryContext &context, const Departure &departure);

/** Records that @p lifetime, given as upstreamLifetime(), was found at @p observedMs to have ended: it gets no new requests. */
void learnEnded(EntryContext &context, std::uint64_t lifetime, std::int64_t observedMs);

/**
 * Records what @p upstream says of itself in @p answer. The caller has checked that the answer is the upstream's own and belongs to the request
 * @p requestId: late, altered and unsigned answers teach nothing.
 */
void learnFromAnswer(EntryContext &context, const UpstreamLifetime &upstream, const platform::ResponseHeaders &answer, const std::string &requestId);
}
