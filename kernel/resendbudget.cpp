// Problem: resends are limited in total over all daemons and in sliding windows, but daemons cannot coordinate on every request.
// Approach: each daemon keeps to its own share of the limit, so the total holds without any messages. Daemons that left are counted for a
// while, and a process that has just started uses less.
// A shared counter would cost a message per resend, and would be wrong while daemons cannot reach each other.

#include "kernel/resendbudget.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
constexpr std::int64_t SliceMs = 100;
}

void ResendBudget::setLimits(const ResendLimits &limits, int daemons, std::int64_t nowMs)
{
    m_startedMs = m_startedMs.value_or(nowMs);
    m_limits = limits;
    m_daemons = std::max(daemons, 1);
}

ResendBudget::Slice &ResendBudget::slice(std::int64_t nowMs)
{
    while (!m_slices.empty() && nowMs - m_slices.front().m_startMs >= m_limits.m_windowMs + SliceMs) {
        m_requests -= m_slices.front().m_requests;
        m_resends -= m_slices.front().m_resends;
        m_slices.pop_front();
    }
    const std::int64_t startMs = nowMs - nowMs % SliceMs;
    if (m_slices.empty() || m_slices.back().m_startMs != startMs) {
        m_slices.push_back({startMs, 0, 0});
    }
    return m_slices.back();
}

void ResendBudget::request(std::int64_t nowMs)
{
    ++slice(nowMs).m_requests;
    ++m_requests;
}

double ResendBudget::available(std::int64_t nowMs)
{
    slice(nowMs);
    if (!m_startedMs || nowMs - *m_startedMs < m_limits.m_windowMs) {
        return (1.0 - m_limits.m_usedFraction) * m_limits.m_ratio * m_requests - m_resends;
    }
    return m_limits.m_usedFraction * (m_limits.m_ratio * m_requests + m_limits.m_extra / m_daemons) - m_resends;
}

bool ResendBudget::trySpend(std::int64_t nowMs)
{
    if (available(nowMs) < 1.0) {
        return false;
    }
    ++slice(nowMs).m_resends;
    ++m_resends;
    return true;
}
}
