#pragma once

#include <cstdint>
#include <deque>

namespace knapweedslip
{
/** Limits on resends (repeated attempts of client requests) by all daemons together, in any window of time. */
struct ResendLimits
{
    /** Resends allowed per client request. */
    double m_ratio = 0.0;
    /** Resends allowed per window in addition, for all daemons together. */
    double m_extra = 0.0;
    /** Length of the sliding window. */
    std::int64_t m_windowMs = 10'000;
    /**
     * Fraction of the limits that is used. The rest is a margin: a restarted daemon does not know what it spent before, and the daemons'
     * windows do not begin at the same time.
     */
    double m_usedFraction = 0.7;
};

/**
 * This daemon's share of the limit on resends: the ratio applied to its own requests, plus an equal share of the extra resends. The sum
 * over all daemons stays within the limit in every window, however unevenly clients are spread. Memory: one entry per 100 ms of the window.
 */
class ResendBudget
{
public:
    /** @param daemons number of daemons that share the limits, this one included. */
    void setLimits(const ResendLimits &limits, int daemons);
    /** Records the arrival of a client's request. */
    void request(std::int64_t nowMs);
    /** Returns whether a resend is allowed now, and if so records it. */
    bool trySpend(std::int64_t nowMs);
    /** Returns how many resends are allowed now; negative when more were spent than the current window allows. */
    double available(std::int64_t nowMs);

private:
    /** Requests and resends of one 100 ms interval. */
    struct Slice
    {
        std::int64_t m_startMs = 0;
        int m_requests = 0;
        int m_resends = 0;
    };

    /** Drops slices that are older than the window, and returns the slice of @p nowMs. */
    Slice &slice(std::int64_t nowMs);

    ResendLimits m_limits;
    int m_daemons = 1;
    std::deque<Slice> m_slices;
};
}
