// Problem: the configured share of each model is a guess, and the offered work changes by the second, whereas loading weights takes many seconds.
// Approach: an exponential average that counts each sample with the time since the one before, divided by the weight of all samples so far.
// An average that starts at 0 would show a new leader a demand that is too low for half a minute.

#include "kernel/modeldemand.h"

#include <algorithm>
#include <cmath>

namespace knapweedslip
{
namespace
{
/** A sample counts for at most this time, in ms: load reports that are missing for longer (LoadReportTable::ExpiryMs) show no demand. */
constexpr std::int64_t MaxSampleMs = 1'200;
/** Part of each share that is the configured one. */
constexpr double ConfiguredPart = 0.1;
/** Offered work below this is no demand that could be divided into shares, in slots: a tenth of one request at a time. */
constexpr double LeastSlots = 0.1;

double slotsOf(const std::map<std::string, double> &slots, const std::string &model)
{
    const auto found = slots.find(model);
    return found == slots.end() ? 0.0 : std::max(found->second, 0.0);
}
}

void ModelDemand::record(const std::map<std::string, double> &slots, std::int64_t nowMs)
{
    const std::int64_t elapsedMs = m_recordedMs < 0 ? 0 : std::clamp<std::int64_t>(nowMs - m_recordedMs, 0, MaxSampleMs);
    m_recordedMs = std::max(m_recordedMs, nowMs);
    m_measuredMs += static_cast<double>(elapsedMs);
    const double kept = std::exp(-static_cast<double>(elapsedMs) / TimeConstantMs);
    m_weight = m_weight * kept + (1.0 - kept);
    for (std::pair<const std::string, double> &sum : m_sums) {
        sum.second *= kept;
    }
    for (const std::pair<const std::string, double> &sample : slots) {
        m_sums[sample.first] += (1.0 - kept) * slotsOf(slots, sample.first);
    }
}

void ModelDemand::reset()
{
    *this = ModelDemand();
}

std::map<std::string, double> ModelDemand::slots() const
{
    std::map<std::string, double> averages;
    if (m_measuredMs < LeastMeasuredMs) {
        return averages;
    }
    for (const std::pair<const std::string, double> &sum : m_sums) {
        averages[sum.first] = sum.second / m_weight;
    }
    return averages;
}

std::map<std::string, double> ModelDemand::shares(const std::vector<ServedModel> &models) const
{
    const std::map<std::string, double> offered = slots();
    double total = 0.0;
    double configured = 0.0;
    for (const ServedModel &model : models) {
        total += slotsOf(offered, model.m_name);
        configured += model.m_workShare;
    }
    std::map<std::string, double> result;
    if (total < LeastSlots) {
        return result;
    }
    const double configuredPart = configured > 0.0 ? ConfiguredPart : 0.0;
    for (const ServedModel &model : models) {
        const double configuredShare = configured > 0.0 ? model.m_workShare / configured : 0.0;
        result[model.m_name] = (1.0 - configuredPart) * slotsOf(offered, model.m_name) / total + configuredPart * configuredShare;
    }
    return result;
}
}
