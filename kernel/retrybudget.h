#pragma once

#include <string>
#include <unordered_map>

namespace knapweedslip
{
/**
 * Bounds retries to a fraction of first attempts, by workspace. Each first attempt earns a part of a retry; each retry spends a whole
 * one. Memory: one number per workspace.
 */
class RetryBudget
{
public:
    /** @param ratio retries earned per first attempt, @param burst retries that may be saved up. */
    RetryBudget(double ratio, double burst);
    void earn(const std::string &workspace);
    /** True and spends one if the budget holds one. */
    bool spend(const std::string &workspace);

private:
    double m_ratio;
    double m_burst;
    std::unordered_map<std::string, double> m_tokens;
};
}
