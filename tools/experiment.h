#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace knapweedslip
{
/** Results of one run: the value of each figure by its name. */
using Figures = std::map<std::string, double>;

/** Compares a policy with its baselines in virtual time. Experiments register themselves as plug-ins. */
struct Experiment
{
    const char *m_name = nullptr;
    const char *m_help = nullptr;
    /** Returns the names of the variants to compare, the baseline first. */
    std::vector<std::string> (*m_variants)() = nullptr;
    /** Runs one variant with one seed and returns its figures. */
    Figures (*m_run)(const std::string &variant, std::uint64_t seed) = nullptr;
};

/** Returns the value at quantile @p q (0 to 1) of @p values, or 0 when @p values is empty. */
double computeQuantile(std::vector<double> values, double q);
}
