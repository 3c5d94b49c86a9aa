// Pattern: many requests are resent at the same time by daemons that cannot coordinate.

#include "kernel/resendbudget.h"
#include "simulation/daemonfleet.h"

#include <catch2/catch.hpp>
#include <numeric>

using namespace knapweedslip;

namespace
{
/**
 * Returns the largest fraction of the limit that was used in any window of @p windowSteps steps. The platform counts the requests of the window itself, of the
 * one half a window earlier or of the one before, whichever has most.
 */
double worstShare(const std::vector<int> &requests, const std::vector<int> &resends, const ResendLimits &limits, std::size_t windowSteps)
{
    const auto sum = [windowSteps](const std::vector<int> &counts, std::size_t start) {
        const auto first = counts.begin() + static_cast<std::ptrdiff_t>(start);
        return std::accumulate(first, first + static_cast<std::ptrdiff_t>(windowSteps), 0);
    };
    double worst = 0.0;
    for (std::size_t start = windowSteps; start + windowSteps <= resends.size(); ++start) {
        const int counted = std::max({sum(requests, start), sum(requests, start - windowSteps / 2), sum(requests, start - windowSteps)});
        worst = std::max(worst, sum(resends, start) / (limits.m_ratio * counted + limits.m_extra));
    }
    return worst;
}
}

TEST_CASE("resends of all daemons stay within the limit in every window", "[entry][budget]")
{
    const int daemons = GENERATE(1, 8, 90);
    const ResendLimits limits{0.2, 134.0, 10'000};
    for (unsigned seed = 1; seed <= 10; ++seed) {
        std::mt19937 random(seed);
        std::vector<ResendBudget> budgets(static_cast<std::size_t>(daemons));
        for (ResendBudget &budget : budgets) {
            budget.setLimits(limits, daemons, -limits.m_windowMs);
        }
        std::vector<std::int64_t> requests;
        std::vector<std::int64_t> resends;
        for (std::int64_t nowMs = 0; nowMs < 40'000; nowMs += 5) {
            // Clients are spread unevenly over the daemons, and each daemon resends as often as it is allowed to.
            ResendBudget &budget = budgets[std::min<std::size_t>(random() % budgets.size(), random() % budgets.size())];
            if (random() % 2 == 0) {
                budget.request(nowMs);
                requests.push_back(nowMs);
            }
            for (int i = 0; i < 5; ++i) {
                ResendBudget &sender = budgets[random() % budgets.size()];
                if (sender.trySpend(nowMs)) {
                    resends.push_back(nowMs);
                }
            }
        }
        for (std::int64_t start = 0; start + 10'000 <= 40'000; start += 250) {
            const auto countInWindow = [start](const std::vector<std::int64_t> &times) {
                return std::count_if(times.begin(), times.end(), [start](std::int64_t at) {
                    return at >= start && at < start + 10'000;
                });
            };
            INFO("seed " << seed << ", window from " << start);
            CHECK(static_cast<double>(countInWindow(resends)) <= limits.m_ratio * static_cast<double>(countInWindow(requests)) + limits.m_extra);
        }
    }
}

TEST_CASE("resends stay within the limit when one daemon restarts", "[entry][budget]")
{
    // One daemon of eight spends its whole budget, crashes, and spends a whole budget again after its restart.
    const ResendLimits limits{0.2, 134.0, 10'000};
    int spent = 0;
    for (int daemon = 0; daemon < 9; ++daemon) {
        ResendBudget budget;
        // The ninth is the restarted process; the others have been running for longer than the window.
        budget.setLimits(limits, 8, daemon == 8 ? 0 : -limits.m_windowMs);
        while (budget.trySpend(1'000 + daemon)) {
            ++spent;
        }
    }
    CHECK(spent <= 134);
    CHECK(spent >= 80);
}

// Guards against shares of the resend limit that add up to more than it: a daemon that sees few others divided by too little, and a process that
// starts again forgot what it had spent.
TEST_CASE("resends stay within the limit while daemons come and go", "[entry][budget]")
{
    constexpr std::int64_t StepMs = 100;
    constexpr std::int64_t WindowMs = 10'000;
    // As in the entry daemon.
    constexpr std::int64_t MaxViewAgeMs = 5'000;
    constexpr std::int64_t MomentMs = 24'000;
    constexpr std::int64_t EndMs = MomentMs + 28'000;
    struct Row
    {
        int m_daemons;
        /** Requests per second of each daemon. */
        int m_requestsPerSecond;
        double m_extra;
    };
    // The last row has few requests, so that nearly all resends are of the part that the daemons divide.
    for (const Row &row : std::vector<Row>{{8, 20, 134.0}, {79, 6, 288.0}, {90, 6, 289.0}, {410, 6, 1'500.0}, {8, 1, 134.0}}) {
        const ResendLimits limits{0.2, row.m_extra, WindowMs};
        for (const FleetCourse &course : fleetCourses()) {
            CAPTURE(row.m_daemons, row.m_requestsPerSecond, course.m_name);
            DaemonFleet fleet(row.m_daemons, WindowMs, 7, MaxViewAgeMs);
            std::map<int, ResendBudget> budgets;
            std::vector<int> requests;
            std::vector<int> resends;
            for (std::int64_t nowMs = 0; nowMs < EndMs; nowMs += StepMs) {
                course.m_act(fleet, nowMs, nowMs - MomentMs);
                requests.push_back(0);
                resends.push_back(0);
                fleet.step(nowMs, [&](FleetDaemon &daemon) {
                    ResendBudget &budget = budgets[daemon.m_process];
                    ResendLimits current = limits;
                    current.m_extra = daemon.m_members.isCurrent(daemon.viewTimeMs(nowMs), nowMs) ? limits.m_extra : 0.0;
                    budget.setLimits(current, daemon.m_members.count(nowMs), nowMs);
                    const unsigned thousandths = static_cast<unsigned>(row.m_requestsPerSecond * StepMs);
                    const unsigned arrivals = thousandths / 1'000 + (fleet.random()() % 1'000 < thousandths % 1'000 ? 1 : 0);
                    for (unsigned i = 0; i < arrivals; ++i) {
                        budget.request(nowMs);
                        ++requests.back();
                    }
                    // Nothing fails at first, and everything from shortly before the moment on.
                    while (nowMs > MomentMs - 1'000 && budget.trySpend(nowMs)) {
                        ++resends.back();
                    }
                });
            }
            CHECK(worstShare(requests, resends, limits, WindowMs / StepMs) <= 1.0);
        }
    }
}
