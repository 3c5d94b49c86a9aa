// Guards against a flood of an upstream that has just started: daemons that cannot coordinate on each request together sent more than it can take,
// because their shares did not add up to its limit.

#include "kernel/coldlimiter.h"
#include "simulation/daemonfleet.h"

#include <catch2/catch.hpp>

using namespace knapweedslip;

namespace
{
/** Requests per second that the cold upstream can take from all daemons together. */
constexpr double PerSecond = 26.0;
/** The operators tolerate this many times as many, plus five in any second. */
constexpr double Overage = 1.5;
constexpr std::ptrdiff_t MaxPerSecond = 44;
constexpr std::int64_t StepMs = 10;
/** Longest time between the decision to send a request and its sending, in ms: a connection is made first. */
constexpr std::int64_t MaxConnectMs = 150;
/** Time at which the upstream opens to all daemons. Everybody has been running for long by then. */
constexpr std::int64_t OpeningMs = 9'000;
constexpr std::int64_t EndMs = OpeningMs + 12'000;

const FleetCourse &nothingHappens()
{
    return fleetCourses().front();
}

/** Returns the times at which the daemons send to a cold upstream, each as often as it is allowed to, in order. */
std::vector<std::int64_t> sendTimes(int daemons, const FleetCourse &course, std::int64_t endMs)
{
    DaemonFleet fleet(daemons, ColdLimiter::WindowMs, 7);
    std::map<int, ColdLimiter> limiters;
    std::vector<std::int64_t> sentMs;
    for (std::int64_t nowMs = 0; nowMs < endMs; nowMs += StepMs) {
        course.m_act(fleet, nowMs, nowMs - OpeningMs);
        fleet.step(nowMs, [&](FleetDaemon &daemon) {
            ColdLimiter &limiter = limiters[daemon.m_process];
            if (nowMs >= OpeningMs && limiter.trySend(daemon.m_members, "upstream", PerSecond * Overage, daemon.viewTimeMs(nowMs), nowMs)) {
                sentMs.push_back(nowMs + static_cast<std::int64_t>(fleet.random()() % MaxConnectMs));
            }
        });
    }
    std::sort(sentMs.begin(), sentMs.end());
    return sentMs;
}

/** Returns the largest number of the ordered times @p sentMs that are within any second. */
std::ptrdiff_t mostPerSecond(const std::vector<std::int64_t> &sentMs)
{
    std::ptrdiff_t most = 0;
    for (auto first = sentMs.begin(); first != sentMs.end(); ++first) {
        most = std::max(most, std::lower_bound(first, sentMs.end(), *first + 1'000) - first);
    }
    return most;
}
}

// Guards against the flood of a cold upstream at its opening (incident FAILBACK): each daemon could send one request at once, however many daemons
// there were.
TEST_CASE("a cold upstream that opens to all daemons gets no more than its limit from them together", "[entry][cold]")
{
    for (const int daemons : {1, 8, 79, 90, 410}) {
        for (const FleetCourse &course : fleetCourses()) {
            CAPTURE(daemons, course.m_name);
            CHECK(mostPerSecond(sendTimes(daemons, course, EndMs)) <= MaxPerSecond);
        }
    }
}

// Guards against a limit that leaves a cold upstream idle although callers wait.
TEST_CASE("a cold upstream gets most of what it can take when every daemon has requests", "[entry][cold]")
{
    const int daemons = GENERATE(1, 8, 79, 90, 410);
    const std::size_t sent = sendTimes(daemons, nothingHappens(), EndMs).size();
    CHECK(static_cast<double>(sent) >= 0.75 * PerSecond * static_cast<double>(EndMs - OpeningMs) / 1'000.0);
}

TEST_CASE("requests to a cold upstream stay within its limit over all daemons", "[entry][cold]")
{
    const int daemons = GENERATE(1, 7, 8);
    const std::vector<std::int64_t> sentMs = sendTimes(daemons, nothingHappens(), OpeningMs + 6'000);
    CHECK(static_cast<double>(mostPerSecond(sentMs)) <= PerSecond * 1.5 + 5.0);
    CHECK(sentMs.size() > 60);
}
