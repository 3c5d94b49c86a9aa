#pragma once

#include "kernel/departures.h"

#include <cstdint>

namespace knapweedslip
{
/** The answer at an upstream's address to a request for the report of the upstream with that id. */
struct ProbeReply
{
    unsigned m_status = 0;
    /** Start time of the process that answered, as in UpstreamEntry; 0 if it did not say. */
    std::int64_t m_startedMs = 0;
};

/** What a probe of one lifetime of an upstream found. */
enum class ProbeResult {
    /** That lifetime answered. */
    Answered,
    /** That lifetime has ended: nothing listens there, another upstream answers, or a later lifetime of the same one does. */
    Gone,
    NoAnswer,
};

/**
 * Returns what @p reply tells of @p upstream: Answered or Gone. The id alone does not identify a lifetime, since an upstream may start again under its id
 * before the list shows it. Where either start time is unknown, the id decides.
 */
ProbeResult judgeProbeReply(const UpstreamLifetime &upstream, const ProbeReply &reply);
}
