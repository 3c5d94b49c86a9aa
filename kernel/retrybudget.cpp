// Problem: when many upstreams fail at the same time, retries multiply the load on the remaining ones, and the system cannot recover.
// Approach: retries spend a budget that only first attempts fill, so the load is at most (1 + ratio) times what callers send.
// A limit per request is not enough: during an outage every request would still be sent several times.

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
