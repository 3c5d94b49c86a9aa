#pragma once

#include "kernel/callconfig.h"

#include <cstdint>

namespace knapweedslip
{
/** What the time of a request in a slot of a replica depends on. */
struct SlotTimeQuery
{
    std::int64_t m_promptTokens = 0;
    double m_answerTokens = 0.0;
    /** Factor on all published times: the pace of the model. */
    double m_pace = 1.0;
    /** Part of the time to the first event that is not published, see FirstEventBias. */
    double m_biasMs = 0.0;
};

/** Returns how long a pass takes while a replica runs @p occupancy requests and prefills the prompts of those that replace them, in ms, at a pace of 1. */
double loadedPassMs(const EngineTiming &engines, double occupancy);

/** Returns the expected time of a request in a slot of a replica that runs @p occupancy requests, in ms: from its send to the end of its answer. */
double slotTimeMs(const EngineTiming &engines, double occupancy, const SlotTimeQuery &query);

/**
 * Returns the mean number of requests that a replica may run so that nearly all first events come within @p latencyTargetMs: requests arrive at random,
 * so that at times a replica runs more than the mean. At least half of the slots: where not even that many requests are answered in time, refusing more of
 * them helps nobody.
 */
double targetOccupancy(const EngineTiming &engines, double latencyTargetMs, const SlotTimeQuery &query);
}
