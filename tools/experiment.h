#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace knapweedslip
{
/** Figures of one run: name of the figure to its value. */
using Figures = std::map<std::string, double>;

/** A measurement of a policy against its baselines in virtual time. An experiment is a plug-in. */
struct Experiment
{
    const char *m_name = nullptr;
    const char *m_help = nullptr;
    /** Names of the variants that are compared, the baseline first. */
    std::vector<std::string> (*m_variants)() = nullptr;
    /** One run of one variant with one seed. */
    Figures (*m_run)(const std::string &variant, std::uint64_t seed) = nullptr;
};

/** Value at quantile @p q of @p values, or 0 when there are none. */
double quantileOf(std::vector<double> values, double q);
}
