#pragma once

#include "benchmarks/capacitymodel.h"

#include <string>
#include <utility>
#include <vector>

namespace knapweedslip
{
/** Values measured at several sizes and the line fitted to them. */
struct Fit
{
    /** Size and measured value. */
    std::vector<std::pair<double, double>> m_points;
    double m_slope = 0.0;
    double m_intercept = 0.0;
    /** Largest deviation of a point from the line, relative to the point's value. */
    double m_maxDeviation = 0.0;
};

/** Fits a line to @p points by least squares. */
Fit fitLine(std::vector<std::pair<double, double>> points);

/** Measures the slopes that need only one process, adds them to @p slopes and prints each fit. */
void measureSlopes(Slopes &slopes);
}
