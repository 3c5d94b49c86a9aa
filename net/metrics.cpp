// Problem: latencies span five orders of magnitude and are recorded by several threads.
// Approach: a Boost.Histogram with a logarithmic axis and thread-safe counts.
// A mean would hide the tail, and storing every sample would need unbounded memory.

#include "net/metrics.h"

#include <boost/histogram.hpp>

#include <sstream>

namespace knapweedslip
{
namespace histogram = boost::histogram;

namespace
{
constexpr unsigned BinCount = 120;
constexpr double LowestMs = 0.05;
constexpr double HighestMs = 100'000.0;
/** Number of bins that are combined into one bucket of the text format. */
constexpr int BinsPerBucket = 10;

using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Count = histogram::accumulators::count<std::uint64_t, true>;
using Storage = histogram::dense_storage<Count>;
}

struct LatencyHistogram::Bins
{
    histogram::histogram<std::tuple<LogAxis>, Storage> m_histogram = histogram::make_histogram_with(Storage(), LogAxis(BinCount, LowestMs, HighestMs));
    std::atomic<std::uint64_t> m_sumUs{0};
};

LatencyHistogram::LatencyHistogram()
    : m_bins(std::make_unique<Bins>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::add(double ms)
{
    m_bins->m_histogram(ms);
    m_bins->m_sumUs += static_cast<std::uint64_t>(ms * 1'000.0);
}

std::uint64_t LatencyHistogram::count() const
{
    std::uint64_t count = 0;
    for (int bin = -1; bin <= static_cast<int>(BinCount); ++bin) {
        count += m_bins->m_histogram.at(bin).value();
    }
    return count;
}

double LatencyHistogram::quantile(double q) const
{
    const double targetCount = q * static_cast<double>(count());
    double cumulativeCount = 0.0;
    for (int bin = -1; bin <= static_cast<int>(BinCount); ++bin) {
        cumulativeCount += static_cast<double>(m_bins->m_histogram.at(bin).value());
        if (cumulativeCount >= targetCount && cumulativeCount > 0.0) {
            return m_bins->m_histogram.axis().bin(bin).upper();
        }
    }
    return 0.0;
}

std::string LatencyHistogram::expose(const std::string &name, const std::string &help) const
{
    std::ostringstream out;
    out << "# HELP " << name << " " << help << "\n# TYPE " << name << " histogram\n";
    std::uint64_t cumulativeCount = m_bins->m_histogram.at(-1).value();
    for (int bin = 0; bin < static_cast<int>(BinCount); ++bin) {
        cumulativeCount += m_bins->m_histogram.at(bin).value();
        if ((bin + 1) % BinsPerBucket == 0) {
            out << name << "_bucket{le=\"" << m_bins->m_histogram.axis().bin(bin).upper() << "\"} " << cumulativeCount << "\n";
        }
    }
    const std::uint64_t total = count();
    out << name << "_bucket{le=\"+Inf\"} " << total << "\n";
    out << name << "_sum " << static_cast<double>(m_bins->m_sumUs) / 1'000.0 << "\n" << name << "_count " << total << "\n";
    return out.str();
}

std::string exposeMetric(const std::string &name, const std::string &help, double value, bool gauge)
{
    std::ostringstream out;
    out << "# HELP " << name << " " << help << "\n# TYPE " << name << (gauge ? " gauge\n" : " counter\n") << name << " " << value << "\n";
    return out.str();
}
}
