// Problem: resends, and requests to cold upstreams, are limited in total over all daemons and in sliding windows, but daemons cannot
// coordinate on every request.
// Approach: each daemon keeps to its own share of the limit, so the total holds without any messages.
// A shared counter would cost a message per resend, and would be wrong while daemons cannot reach each other.

#include "kernel/windowbudget.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
constexpr std::int64_t SliceMs = 100;
constexpr double MsPerSecond = 1'000.0;
}

void WindowBudget::setLimits(const ResendLimits &limits, int daemons)
{
    m_limits = limits;
    m_daemons = std::max(daemons, 1);
}

WindowBudget::Slice &WindowBudget::slice(std::int64_t nowMs)
{
    while (!m_slices.empty() && nowMs - m_slices.front().m_startMs >= m_limits.m_windowMs + SliceMs) {
        m_slices.pop_front();
    }
    const std::int64_t startMs = nowMs - nowMs % SliceMs;
    if (m_slices.empty() || m_slices.back().m_startMs != startMs) {
        m_slices.push_back({startMs, 0, 0});
    }
    return m_slices.back();
}

void WindowBudget::request(std::int64_t nowMs)
{
    ++slice(nowMs).m_requests;
}

double WindowBudget::left(std::int64_t nowMs)
{
    slice(nowMs);
    int requests = 0;
    int resends = 0;
    for (const Slice &entry : m_slices) {
        requests += entry.m_requests;
        resends += entry.m_resends;
    }
    return m_limits.m_usedPart * (m_limits.m_ratio * requests + m_limits.m_extra / m_daemons) - resends;
}

bool WindowBudget::trySpend(std::int64_t nowMs)
{
    if (left(nowMs) < 1.0) {
        return false;
    }
    ++slice(nowMs).m_resends;
    return true;
}

void ColdGate::setLimits(double perSecond, int daemons)
{
    m_perSecond = perSecond / std::max(daemons, 1);
}

bool ColdGate::trySend(std::int64_t nowMs)
{
    // The bucket holds the requests of a quarter of a second, but at least one.
    const double most = std::max(1.0, m_perSecond / 4.0);
    if (m_filledMs < 0) {
        m_tokens = 1.0;
    } else {
        m_tokens = std::min(most, m_tokens + m_perSecond * static_cast<double>(nowMs - m_filledMs) / MsPerSecond);
    }
    m_filledMs = nowMs;
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}
}
