#pragma once

#include <map>
#include <string>

namespace knapweedslip
{
/**
 * Learns, for each model, the part of the time to the first event that the published timing of the engines does not include: time in the engine before
 * the first pass, and on the way. It is the running median of the observed minus the predicted time. Memory: one entry for each model.
 */
class FirstEventBias
{
public:
    /**
     * Records a stream of @p model whose first event came after @p observedMs and was predicted, without the bias, after @p predictedMs. Streams that
     * waited for a slot must be left out: their wait is not constant.
     */
    void record(const std::string &model, double predictedMs, double observedMs);
    /** Returns the learned part for @p model, in ms; 0 while nothing was recorded. */
    double biasMs(const std::string &model) const;
    /** Returns the learned part of all models. */
    std::map<std::string, double> all() const;

private:
    struct Median
    {
        double m_ms = 0.0;
        double m_stepMs = 0.0;
        bool m_lastUp = true;
    };

    std::map<std::string, Median> m_medians;
};
}
