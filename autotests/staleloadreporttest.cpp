// Pattern: many gateways send prompts to few replicas and get the load reports of each other only twice a second. If all of them chose the replica
// with the least reported load, they would choose the same one until the next reports arrive.

#include "autotests/entryfixtures.h"
#include "kernel/loadreport.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace knapweedslip;

namespace
{
constexpr int Gateways = 90;
constexpr std::int64_t ReportIntervalMs = 500;
constexpr std::int64_t SimulatedMs = 20'000;
/** A connection that has been idle for longer is closed by its engine, or about to be. */
constexpr std::int64_t ReusableMs = 300;

struct Course
{
    int m_groups = 8;
    double m_requestsPerMs = 0.075;
    /** Of several replicas that are about as good, one is chosen to which the gateway has an idle connection. */
    bool m_prefersConnected = true;
};

struct CourseResult
{
    /** Times that requests wait before their prefill starts, in ms, sorted. */
    std::vector<double> m_waits;
    int m_newConnections = 0;
};
/** Time from the first event of a stream to its end. */
constexpr std::int64_t DecodeMs = 1'000;

struct Gateway
{
    ReplicaSelector m_selector;
    LoadReportTable m_loadReports;
    /** Times since which connections are idle, by epoch of the replica, the last ones at the end. */
    std::map<std::uint64_t, std::vector<std::int64_t>> m_idle;
};

struct SimulatedStream
{
    int m_gateway = 0;
    std::uint64_t m_stream = 0;
    std::uint64_t m_epoch = 0;
    std::int64_t m_firstMs = 0;
    std::int64_t m_endMs = 0;
    bool m_began = false;
};

std::vector<TrackedReplica> groups(int count)
{
    std::vector<TrackedReplica> list;
    for (int i = 0; i < count; ++i) {
        TrackedReplica replica;
        replica.m_ref = {replicaName("big", static_cast<std::uint64_t>(i + 1)), static_cast<std::uint64_t>(i + 1)};
        replica.m_model = "big";
        replica.m_head = "engine-" + std::to_string(i);
        replica.m_availabilityZone = "a";
        replica.m_listed = true;
        list.push_back(replica);
    }
    return list;
}

bool hasConnection(const Gateway &gateway, std::uint64_t epoch, std::int64_t nowMs)
{
    const auto idle = gateway.m_idle.find(epoch);
    return idle != gateway.m_idle.end() && !idle->second.empty() && nowMs - idle->second.back() < ReusableMs;
}

CourseResult simulate(const Course &course, unsigned seed)
{
    std::mt19937 random(seed);
    UpstreamAvailability availability;
    std::vector<Gateway> gateways(Gateways);
    for (Gateway &gateway : gateways) {
        gateway.m_selector.setService(engineServiceFixture());
        gateway.m_selector.setRandomizeNearBest(true);
        gateway.m_selector.setReplicas(groups(course.m_groups));
    }
    const EngineTiming engines = *engineServiceFixture().m_engines;
    std::vector<double> busyUntil(static_cast<std::size_t>(course.m_groups), 0.0);
    std::vector<SimulatedStream> streams;
    CourseResult result;
    std::exponential_distribution<double> gap(course.m_requestsPerMs);
    std::lognormal_distribution<double> prompt(7.0, 0.7);
    double nextMs = 0.0;
    for (std::int64_t nowMs = 1; nowMs < SimulatedMs; ++nowMs) {
        for (int g = 0; g < Gateways; ++g) {
            if ((nowMs + g * ReportIntervalMs / Gateways) % ReportIntervalMs == 0) {
                const DaemonLoadReport report =
                    makeLoadReport("vm-" + std::to_string(g), static_cast<std::uint64_t>(nowMs), true, gateways[g].m_selector, nowMs);
                for (int other = 0; other < Gateways; ++other) {
                    if (other != g) {
                        gateways[other].m_loadReports.take(report, nowMs);
                    }
                }
            }
        }
        for (SimulatedStream &stream : streams) {
            if (!stream.m_began && nowMs >= stream.m_firstMs) {
                stream.m_began = true;
                gateways[stream.m_gateway].m_selector.event(availability, stream.m_stream, 1, nowMs);
            }
            if (nowMs >= stream.m_endMs) {
                gateways[stream.m_gateway].m_selector.end(stream.m_stream);
                gateways[stream.m_gateway].m_idle[stream.m_epoch].push_back(nowMs);
            }
        }
        std::erase_if(streams, [nowMs](const SimulatedStream &stream) {
            return nowMs >= stream.m_endMs;
        });
        for (; nextMs <= static_cast<double>(nowMs); nextMs += gap(random)) {
            const int g = static_cast<int>(random() % Gateways);
            const std::int64_t tokens = std::clamp<std::int64_t>(static_cast<std::int64_t>(prompt(random)), 30, 6'000);
            gateways[g].m_selector.setPeerLoads(gateways[g].m_loadReports.view(nowMs).m_loads);
            ReplicaQuery query{"big", tokens, "a"};
            if (course.m_prefersConnected) {
                query.m_isConnected = [&gateway = gateways[g], nowMs](const TrackedReplica &replica) {
                    return hasConnection(gateway, replica.m_ref.m_epoch, nowMs);
                };
            }
            const TrackedReplica *chosen = gateways[g].m_selector.choose(availability, query, {}, nowMs);
            REQUIRE(chosen != nullptr);
            const std::uint64_t epoch = chosen->m_ref.m_epoch;
            if (hasConnection(gateways[g], epoch, nowMs)) {
                gateways[g].m_idle[epoch].pop_back();
            } else {
                ++result.m_newConnections;
            }
            double &busy = busyUntil[chosen->m_ref.m_epoch - 1];
            result.m_waits.push_back(std::max(0.0, busy - static_cast<double>(nowMs)));
            busy = std::max(busy, static_cast<double>(nowMs)) + prefillMs(engines, tokens);
            const std::int64_t firstMs = static_cast<std::int64_t>(busy) + 60;
            streams.push_back({g, gateways[g].m_selector.begin(availability, *chosen, tokens, nowMs), epoch, firstMs, firstMs + DecodeMs, false});
        }
    }
    std::sort(result.m_waits.begin(), result.m_waits.end());
    return result;
}
}

TEST_CASE("gateways with outdated load reports do not all choose the same replica", "[entry][pulse]")
{
    constexpr double P95 = 0.95;
    for (const bool prefersConnected : {false, true}) {
        for (unsigned seed = 1; seed <= 3; ++seed) {
            const std::vector<double> waits = simulate({8, 0.075, prefersConnected}, seed).m_waits;
            const double p95 = waits[static_cast<std::size_t>(P95 * static_cast<double>(waits.size()))];
            CAPTURE(prefersConnected, seed, p95, waits.size());
            // A fifth of the target for the first event of the large model (300 ms, operators' configuration); prefill and two passes take about half of
            // that target. Choosing the best of three random replicas gave 81 to 96 ms, and the best of all replicas 237 to 243 ms.
            CHECK(p95 < 60.0);
        }
    }
}

// Pattern: 90 gateways spread 750 requests a second over 80 heads, so that each connection is idle for longer than its engine keeps it. Guards against a new
// connection for most requests, and against gateways that crowd onto the heads that they are connected to.
TEST_CASE("many gateways and many heads do not need a new connection for most requests, and nobody waits longer for it", "[entry][pulse]")
{
    constexpr double P95 = 0.95;
    for (unsigned seed = 1; seed <= 3; ++seed) {
        const CourseResult without = simulate({80, 0.75, false}, seed);
        const CourseResult with = simulate({80, 0.75, true}, seed);
        const auto p95 = [](const CourseResult &result) {
            return result.m_waits[static_cast<std::size_t>(P95 * static_cast<double>(result.m_waits.size()))];
        };
        CAPTURE(seed, without.m_waits.size(), without.m_newConnections, with.m_newConnections, p95(without), p95(with));
        CHECK(with.m_newConnections < without.m_newConnections / 2);
        CHECK(p95(with) < 60.0);
    }
}

TEST_CASE("the prefill in a load report is assumed to continue while the replica works", "[entry][pulse]")
{
    struct Row
    {
        std::int64_t m_ageMs;
        bool m_silent;
        double m_pendingPrefillMs;
        int m_waiting;
        int m_decoding;
    };
    const std::vector<Row> rows{{0, false, 100.0, 2, 1}, {60, false, 40.0, 2, 1}, {100, false, 0.0, 0, 3}, {400, true, 100.0, 2, 1}};
    for (const Row &row : rows) {
        CAPTURE(row.m_ageMs, row.m_silent);
        LoadReportTable reports;
        DaemonLoadReport report;
        report.m_sender = "vm-1";
        report.m_number = 1;
        report.m_groups = {{7, {1, 2, 100.0, 3'000}, 10, row.m_silent}};
        reports.take(report, 1'000);
        const ReplicaLoad load = reports.view(1'000 + row.m_ageMs).m_loads.at(7).m_load;
        CHECK(load.m_pendingPrefillMs == Approx(row.m_pendingPrefillMs));
        CHECK(load.m_waiting == row.m_waiting);
        CHECK(load.m_decoding == row.m_decoding);
    }
}
