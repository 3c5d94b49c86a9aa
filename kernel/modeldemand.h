#pragma once

#include "kernel/callconfig.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace knapweedslip
{
/**
 * Averages the work that clients offer for each model, as the leader measures it, over about TimeConstantMs. The average starts with the first samples instead
 * of at 0, so that a new leader does not take the demand for low. Memory: one number for each model.
 */
class ModelDemand
{
public:
    static constexpr double TimeConstantMs = 10'000.0;
    /** The average of a shorter time than this is not used: single large requests would dominate it. */
    static constexpr double LeastMeasuredMs = 3'000.0;

    /** Records that the work offered to all daemons at @p nowMs is @p slots, by model. A model that @p slots lacks is offered none. */
    void record(const std::map<std::string, double> &slots, std::int64_t nowMs);
    /** Forgets all samples. */
    void reset();
    /** Returns the average offered work in slots, by model; empty until enough was measured. */
    std::map<std::string, double> slots() const;
    /**
     * Returns the share of each of @p models in the offered work. The shares add up to 1. A part of each is the configured share, so that a model without
     * requests keeps replicas for the next one. Empty while nothing is offered or too little was measured.
     */
    std::map<std::string, double> shares(const std::vector<ServedModel> &models) const;

private:
    /** Weighted sums of the samples; m_weight is the weight of all samples. */
    std::map<std::string, double> m_sums;
    double m_weight = 0.0;
    double m_measuredMs = 0.0;
    std::int64_t m_recordedMs = -1;
};
}
