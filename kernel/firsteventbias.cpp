// Problem: engines take a constant time before the first event that no page publishes, more than twice what is published in calm. Requests were
// admitted and replicas taken for silent by a prediction that was always too low.
// Approach: a running median of the difference, which moves by a bounded step for each stream, up or down. The step halves when the direction changes.
// A mean would follow the few streams of a replica that stalls for seconds.

#include "kernel/firsteventbias.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
/** A few streams are enough to learn a part of 100 ms. */
constexpr double FirstStepMs = 32.0;
constexpr double MinStepMs = 1.0;
constexpr double StepFactor = 0.5;
}

void FirstEventBias::record(const std::string &model, double predictedMs, double observedMs)
{
    const auto [entry, isNew] = m_medians.try_emplace(model);
    Median &median = entry->second;
    if (isNew) {
        median.m_stepMs = FirstStepMs;
    }
    const bool up = observedMs - predictedMs > median.m_ms;
    if (up != median.m_lastUp) {
        median.m_stepMs = std::max(MinStepMs, median.m_stepMs * StepFactor);
    }
    median.m_lastUp = up;
    median.m_ms = std::max(0.0, median.m_ms + (up ? median.m_stepMs : -median.m_stepMs));
}

double FirstEventBias::biasMs(const std::string &model) const
{
    const auto found = m_medians.find(model);
    return found == m_medians.end() ? 0.0 : found->second.m_ms;
}

std::map<std::string, double> FirstEventBias::all() const
{
    std::map<std::string, double> bias;
    for (const std::pair<const std::string, Median> &entry : m_medians) {
        bias[entry.first] = entry.second.m_ms;
    }
    return bias;
}
}
