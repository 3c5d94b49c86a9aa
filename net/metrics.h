#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace knapweedslip
{
/** A latency histogram with logarithmic bins from 0.05 ms to 100 s. Thread-safe. */
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &) = delete;
    LatencyHistogram &operator=(const LatencyHistogram &) = delete;

    void add(double ms);
    std::uint64_t count() const;
    /** Returns the upper edge, in ms, of the bin that contains quantile @p q (0 to 1), or 0 if the histogram is empty. */
    double quantile(double q) const;
    /** Returns the histogram in the text format of Prometheus: cumulative buckets, sum and count. */
    std::string expose(const std::string &name, const std::string &help) const;

private:
    struct Bins;
    std::unique_ptr<Bins> m_bins;
};

/** A counter that only increases. */
struct Counter
{
    std::string m_name;
    std::string m_help;
    std::atomic<std::uint64_t> m_value{0};
};

/** Returns one counter, or one gauge if @p gauge is set, in the text format of Prometheus. */
std::string exposeMetric(const std::string &name, const std::string &help, double value, bool gauge);
}
