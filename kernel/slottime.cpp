// Problem: admission has to know how many requests the replicas of a model can run before first events come late, and for how long each request
// takes one of these places.
// Approach: both follow from the published timing of the engines. A replica in a steady state prefills one prompt for each answer that it completes, which
// lengthens every pass.
// A fixed number of requests for each replica would be too high for a short latency target and too low for a long one.

#include "kernel/slottime.h"

#include "kernel/latencymodel.h"

#include <algorithm>
#include <cmath>

namespace knapweedslip
{
namespace
{
/** A request arrives in the middle of a pass on average and has its first event at the end of the next one. */
constexpr double PassesToFirstEvent = 1.5;
/** Requests of a replica exceed the mean by this many standard deviations of a Poisson distribution seldom enough that few wait for a slot. */
constexpr double SlotDeviations = 2.0;
/** A first event may be late only if the replica runs more requests than the mean and this many standard deviations. */
constexpr double LatencyDeviations = 1.0;
/** Fraction of the latency target that the expected first event may take; the rest is for what varies from one request to the next. */
constexpr double LatencyFraction = 0.9;

double firstEventMs(const EngineTiming &engines, double occupancy, const SlotTimeQuery &query)
{
    return query.m_biasMs + query.m_pace * (PassesToFirstEvent * loadedPassMs(engines, occupancy) + prefillMs(engines, query.m_promptTokens));
}
}

double loadedPassMs(const EngineTiming &engines, double occupancy)
{
    const double context = occupancy * (static_cast<double>(engines.m_meanPromptTokens) + static_cast<double>(engines.m_meanAnswerTokens) / 2.0) / 1'000.0;
    const double stepMs = engines.m_stepMs + occupancy * engines.m_stepMsPerRequest + context * engines.m_stepMsPerThousandTokens;
    const double answerMs = std::max(1.0, static_cast<double>(engines.m_meanAnswerTokens) * stepMs);
    const double prefillShare = occupancy * prefillMs(engines, engines.m_meanPromptTokens) / answerMs;
    return stepMs * engines.m_stepsPerPass * (1.0 + prefillShare);
}

double slotTimeMs(const EngineTiming &engines, double occupancy, const SlotTimeQuery &query)
{
    const double passes = query.m_answerTokens / std::max(engines.m_stepsPerPass, 1);
    return firstEventMs(engines, occupancy, query) + query.m_pace * passes * loadedPassMs(engines, occupancy);
}

double targetOccupancy(const EngineTiming &engines, double latencyTargetMs, const SlotTimeQuery &query)
{
    int occupancy = std::max(1, engines.m_slots / 2);
    for (int next = occupancy + 1; next <= engines.m_slots; ++next) {
        const double deviation = std::sqrt(static_cast<double>(next));
        const bool fits = next + SlotDeviations * deviation <= engines.m_slots;
        if (!fits || firstEventMs(engines, next + LatencyDeviations * deviation, query) > LatencyFraction * latencyTargetMs) {
            break;
        }
        occupancy = next;
    }
    return occupancy;
}
}
