#pragma once

#include "kernel/errors.h"

#include <map>
#include <string>
#include <vector>

namespace knapweedslip
{
/** Measured slopes by name. slopeTable() lists the names and units. */
using Slopes = std::map<std::string, double>;

/** Name, unit and meaning of a slope. */
struct SlopeRow
{
    const char *m_name;
    const char *m_unit;
    const char *m_meaning;
};

/** Returns all slopes that the model needs, in the order of the page. */
const std::vector<SlopeRow> &slopeTable();

/** One row of the capacity table. */
struct CapacityLine
{
    std::string m_role;
    std::string m_what;
    /** Value at the target size. */
    double m_value = 0.0;
    std::string m_unit;
    /** Budget from the requirements, or 0 when they set none. */
    double m_budget = 0.0;
    std::string m_mechanism;
};

/** Returns the rows of the capacity table at the target size, or InvalidArgument when a slope is missing. */
Result<std::vector<CapacityLine>> capacityLines(const Slopes &slopes);

/** Returns the capacity table in Markdown, as in docs/CAPACITY.md. */
std::string formatCapacity(const std::vector<CapacityLine> &lines);
/** Returns the table of slopes in Markdown, as in docs/CAPACITY.md. */
std::string formatSlopes(const Slopes &slopes);
/** Reads the slopes from the text of docs/CAPACITY.md; returns MalformedRequest when one is missing. */
Result<Slopes> parseSlopes(const std::string &page);
}
