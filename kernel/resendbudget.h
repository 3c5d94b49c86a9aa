#pragma once

#include <cstdint>
#include <deque>
#include <optional>

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
     * Fraction of the limits that is used. The rest is left for processes that have just started, which do not know what their predecessors
     * spent.
     */
    double m_usedFraction = 0.7;
};

/**
 * This daemon's share of the limit on resends: the ratio applied to its own requests, plus an equal share of the extra resends. The sum
 * over all daemons stays within the limit in every window, however unevenly clients are spread.
 *
 * A process may have had a predecessor that spent its whole share just before the process started. So in its first window a process uses only
 * the fraction that the others leave, and of the ratio only: then the sum holds however often processes start again.
 *
 * Memory: one entry per 100 ms of the window.
 */
class ResendBudget
{
public:
    /**
     * @param daemons number of daemons that share the limits, this one included, and those that left within the last window. The process
     * counts as started at the first call.
     */
    void setLimits(const ResendLimits &limits, int daemons, std::int64_t nowMs);
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
    /** When the process started; empty before the first call of setLimits(). */
    std::optional<std::int64_t> m_startedMs;
    std::deque<Slice> m_slices;
    /** Sums over m_slices. */
    int m_requests = 0;
    int m_resends = 0;
};
}
