#pragma once

#include "kernel/errors.h"

#include <map>
#include <string>
#include <vector>

namespace knapweedslip
{
/** Measured slopes by name; the names and units are listed in slopeTable(). */
using Slopes = std::map<std::string, double>;

/** One slope: what it is and in which unit. */
struct SlopeRow
{
    const char *m_name;
    const char *m_unit;
    const char *m_meaning;
};

const std::vector<SlopeRow> &slopeTable();

/** One line of the capacity page. */
struct CapacityLine
{
    std::string m_role;
    std::string m_what;
    /** Value at the target size. */
    double m_value = 0.0;
    std::string m_unit;
    /** Budget from the letter, or 0 when the letter sets none. */
    double m_budget = 0.0;
    std::string m_mechanism;
};

/** Every line of the page at the target size, from the slopes alone. Missing slopes are an error. */
Result<std::vector<CapacityLine>> capacityLines(const Slopes &slopes);

/** The table as it stands in docs/CAPACITY.md. */
std::string formatCapacity(const std::vector<CapacityLine> &lines);
std::string formatSlopes(const Slopes &slopes);
/** Reads the slopes back from the page. */
Result<Slopes> parseSlopes(const std::string &page);
}
