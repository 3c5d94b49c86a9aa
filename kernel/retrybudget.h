#pragma once

#include <string>
#include <unordered_map>

namespace knapweedslip
{
/**
 * Bounds the retries of each workspace to a fraction of its first attempts. Each first attempt earns a fraction of a retry, and each
 * retry spends one. Memory: one number per workspace.
 */
class RetryBudget
{
public:
    /** @p ratio is the number of retries earned per first attempt, @p burst the number of retries that can be saved up. */
    RetryBudget(double ratio, double burst);
    /** Must be called for each first attempt. */
    void earn(const std::string &workspace);
    /** Spends one retry and returns true, or returns false if less than one is left. */
    bool spend(const std::string &workspace);

private:
    double m_ratio;
    double m_burst;
    std::unordered_map<std::string, double> m_tokens;
};
}
