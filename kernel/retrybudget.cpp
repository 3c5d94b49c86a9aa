// Problem: when many upstreams fail at once, retries multiply the load on those left, and the system cannot get up again.
// Approach: retries are paid from a budget that only first attempts fill, so load is at most (1 + ratio) times what callers send.
// A limit per request alone still lets every request of a failing period be sent several times.

#include "kernel/retrybudget.h"

#include <algorithm>

namespace knapweedslip
{
RetryBudget::RetryBudget(double ratio, double burst)
    : m_ratio(ratio)
    , m_burst(burst)
{
}

void RetryBudget::earn(const std::string &workspace)
{
    double &tokens = m_tokens.try_emplace(workspace, m_burst).first->second;
    tokens = std::min(m_burst, tokens + m_ratio);
}

bool RetryBudget::spend(const std::string &workspace)
{
    double &tokens = m_tokens.try_emplace(workspace, m_burst).first->second;
    if (tokens < 1.0) {
        return false;
    }
    tokens -= 1.0;
    return true;
}
}
