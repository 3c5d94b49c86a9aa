#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace knapweedslip
{
/** Latency histogram with logarithmic bins from 0.05 ms to 100 s; may be filled by several threads. */
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &) = delete;
    LatencyHistogram &operator=(const LatencyHistogram &) = delete;

    void add(double ms);
    std::uint64_t count() const;
    /** Upper edge in ms of the bin that holds quantile @p q (0 to 1); 0 when empty. */
    double quantile(double q) const;
    /** The usual text format: cumulative buckets, sum and count. */
    std::string expose(const std::string &name, const std::string &help) const;

private:
    struct Bins;
    std::unique_ptr<Bins> m_bins;
};

/** A count that only rises. */
struct Counter
{
    std::string m_name;
    std::string m_help;
    std::atomic<std::uint64_t> m_value{0};
};

/** "# HELP/# TYPE" and the value. */
std::string exposeCounter(const std::string &name, const std::string &help, double value, bool gauge);
}
