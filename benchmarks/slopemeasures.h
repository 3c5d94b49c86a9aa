#pragma once

#include "benchmarks/capacitymodel.h"

#include <string>
#include <utility>
#include <vector>

namespace knapweedslip
{
/** Values measured at several sizes and the straight line through them. */
struct Fit
{
    std::vector<std::pair<double, double>> m_points;
    double m_slope = 0.0;
    double m_base = 0.0;
    /** Largest distance of a point from the line, relative to the point. */
    double m_spread = 0.0;
};

/** Least squares. */
Fit fitLine(std::vector<std::pair<double, double>> points);

/** Adds the slopes that can be measured inside one process, and prints each fit. */
void measureSlopes(Slopes &slopes);
}
