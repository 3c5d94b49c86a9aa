#pragma once

#include <cstdint>
#include <deque>

namespace knapweedslip
{
/** Bound on requests that are sent once more, over all daemons together, in any window. */
struct ResendLimits
{
    /** Resends for each request of clients. */
    double m_ratio = 0.0;
    /** Resends that are allowed besides, in a window, for all daemons. */
    double m_extra = 0.0;
    std::int64_t m_windowMs = 10'000;
    /** Part that is used: a daemon that started anew has forgotten what it spent, and windows do not begin at the same moment. */
    double m_usedPart = 0.7;
};

/**
 * This daemon's part of the bound: the ratio of its own requests, and an equal part of what is allowed besides. The sum over all
 * daemons keeps the bound in every window, however unevenly clients are spread. Memory: one entry for each 100 ms of the window.
 */
class WindowBudget
{
public:
    void setLimits(const ResendLimits &limits, int daemons);
    /** A client's request came. */
    void request(std::int64_t nowMs);
    /** True, and counted, when one more may be sent. */
    bool trySpend(std::int64_t nowMs);
    /** Resends that are left now. */
    double left(std::int64_t nowMs);

private:
    struct Slice
    {
        std::int64_t m_startMs = 0;
        int m_requests = 0;
        int m_resends = 0;
    };

    Slice &slice(std::int64_t nowMs);

    ResendLimits m_limits;
    int m_daemons = 1;
    std::deque<Slice> m_slices;
};

/** Bound on the requests to a cold upstream, as this daemon's part of a sum over all daemons. */
class ColdGate
{
public:
    /** @param perSecond what one upstream bears, for all daemons together. */
    void setLimits(double perSecond, int daemons);
    /** True, and counted, when one more may be sent at @p nowMs. */
    bool trySend(std::int64_t nowMs);

private:
    double m_perSecond = 0.0;
    double m_tokens = 0.0;
    std::int64_t m_filledMs = -1;
};
}
