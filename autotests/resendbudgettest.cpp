// Pattern: many requests are resent at the same time by daemons that cannot coordinate.

#include "kernel/resendbudget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

using namespace knapweedslip;

TEST_CASE("resends of all daemons stay within the limit in every window", "[entry][budget]")
{
    const int daemons = GENERATE(1, 8, 90);
    const ResendLimits limits{0.2, 134.0, 10'000};
    for (unsigned seed = 1; seed <= 10; ++seed) {
        std::mt19937 random(seed);
        std::vector<ResendBudget> budgets(static_cast<std::size_t>(daemons));
        for (ResendBudget &budget : budgets) {
            budget.setLimits(limits, daemons);
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
        budget.setLimits(limits, 8);
        while (budget.trySpend(1'000 + daemon)) {
            ++spent;
        }
    }
    CHECK(spent <= 134);
}
