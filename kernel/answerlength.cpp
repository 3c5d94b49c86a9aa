// Problem: the work of a request depends mostly on the length of its answer, which nobody knows before it has run.
// Approach: the weighted geometric mean of the client's estimate and the mean of the route. Lengths and errors of estimates are ratios, so they are
// combined on a logarithmic scale.
// The estimate alone would take a request for ten times its work now and then, and the mean alone would treat all requests alike.

#include "kernel/answerlength.h"

#include <algorithm>
#include <cmath>

namespace knapweedslip
{
namespace
{
/** Weight of an answer in the moving mean of its route. */
constexpr double Smoothing = 0.05;
/** Weight of the client's estimate: its errors are about half as wide as the spread of the lengths themselves. */
constexpr double HintWeight = 0.75;
}

void AnswerLength::record(const std::string &route, std::int64_t tokens)
{
    const double length = static_cast<double>(std::max<std::int64_t>(tokens, 1));
    const auto [entry, isNew] = m_meanByRoute.try_emplace(route, length);
    if (!isNew) {
        entry->second += Smoothing * (length - entry->second);
    }
}

double AnswerLength::expectedTokens(const std::string &route, const AnswerLengthHints &hints, std::int64_t meanTokens) const
{
    const auto found = m_meanByRoute.find(route);
    const double mean = std::max(1.0, found == m_meanByRoute.end() ? static_cast<double>(meanTokens) : found->second);
    const double hint = static_cast<double>(hints.m_hintTokens);
    const double expected = hint > 0.0 ? std::exp(HintWeight * std::log(hint) + (1.0 - HintWeight) * std::log(mean)) : mean;
    return hints.m_maxTokens > 0 ? std::clamp(expected, 1.0, static_cast<double>(hints.m_maxTokens)) : std::max(1.0, expected);
}
}
