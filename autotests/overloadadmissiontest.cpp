// Pattern: 63 daemons with very uneven numbers of clients share 18 replicas, know the load of the others only from reports that are some hundred ms old, and
// get three times the usual traffic for 20 s, in virtual time. If all requests are sent, nearly all of them wait until they are late.
// A simulation instead of processes: its result does not depend on the speed of the machine.

#include "kernel/answerlength.h"
#include "kernel/firsteventbias.h"
#include "kernel/loadreport.h"
#include "kernel/slottime.h"
#include "net/loadreportcodec.h"
#include "wire/pulse_generated.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <numeric>
#include <random>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>
#include <utility>

using namespace knapweedslip;

namespace
{
const std::string Model = "large";
constexpr int Daemons = 63;
constexpr int Replicas = 18;
constexpr double Pace = 0.6;
constexpr double UnpublishedMs = 120.0;
constexpr double LatencyTargetMs = 250.0;
constexpr double UpdateMs = 50.0;
constexpr std::size_t UpdatesPerReport = 7;
/** Clients leave after this time without an event (client interface). */
constexpr double PatienceMs = 2'000.0;
constexpr double BurstMs = 9'000.0;
constexpr double BurstEndMs = 29'000.0;
constexpr double EndMs = 36'000.0;
/** Slots, steps in a pass, base time of a step, its parts for each request and for 1,000 tokens, prefill, and mean lengths, see EngineTiming. */
const EngineTiming Engines{34, 0, 5, 6.07, 0.241, 0.00488, 46.0, 0.7, 2'048, 0.0, 1, 0, 841, 111, {}};

struct SimulatedDaemon
{
    OverloadAdmission m_admission;
    AnswerLength m_answerLength;
    FirstEventBias m_bias;
    LoadReportTable m_reports;
    PeerLoadSummary m_peers;
    std::array<int, Replicas> m_own{};
    double m_occupancy = 1.0;
    bool m_isDead = false;
};

struct SimulatedRequest
{
    int m_priority = 0;
    std::int64_t m_promptTokens = 0;
    std::int64_t m_answerTokens = 0;
    std::int64_t m_hintTokens = 0;
    double m_cameMs = 0.0;
    double m_inBurst = 0.0;
    std::size_t m_rank = 0;
    std::size_t m_daemon = 0;
    std::size_t m_replica = 0;
    double m_sentMs = -1.0;
    bool m_daemonEnded = false;
    bool m_hasBegun = false;
};

struct Simulation
{
    bool m_admits = true;
    std::mt19937 m_random{1};
    int m_refusedInCalm = 0;
    /** Answers that began in time, by the second in which the caller came first. */
    std::array<double, 40> m_inTime{};
    /** Requests of the callers that came in the burst, and those that were answered, by rank. */
    RankWork m_asked{};
    RankWork m_served{};
    double m_nowMs = 0.0;
    std::multimap<double, std::pair<void (Simulation::*)(std::size_t), std::size_t>> m_events;
    std::discrete_distribution<std::size_t> m_daemonOf;
    std::array<SimulatedDaemon, Daemons> m_daemons;
    std::vector<SimulatedRequest> m_requests;
    std::array<std::deque<std::size_t>, Replicas> m_queues;
    std::array<int, Replicas> m_running{};

    void run()
    {
        std::vector<double> weights;
        for (std::size_t index = 0; index < Daemons; ++index) {
            // Some daemons have no clients, and the others up to 200 times as many as the smallest one.
            weights.push_back(index % 9 == 0 ? 0.0 : std::pow(200.0, static_cast<double>(index * 37 % Daemons) / Daemons));
            m_events.insert({UpdateMs * static_cast<double>(index) / Daemons, {&Simulation::update, index}});
        }
        m_daemonOf = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
        m_events.insert({0.0, {&Simulation::callerComes, 0}});
        for (; m_events.begin()->first < EndMs + PatienceMs; m_events.erase(m_events.begin())) {
            m_nowMs = m_events.begin()->first;
            (this->*m_events.begin()->second.first)(m_events.begin()->second.second);
        }
    }

    /** Ends a third of the daemons, which start anew unless @p staysDead is 1. */
    void disturb(std::size_t staysDead)
    {
        for (std::size_t index = 1; index < Daemons; index += 3) {
            m_daemons[index] = SimulatedDaemon();
            m_daemons[index].m_isDead = staysDead == 1;
            for (SimulatedRequest &request : m_requests) {
                request.m_daemonEnded = request.m_daemonEnded || (request.m_sentMs >= 0.0 && request.m_daemon == index);
            }
        }
    }

    /** Does what updateAdmission() of a daemon does, and sends load reports. */
    void update(std::size_t index)
    {
        SimulatedDaemon &daemon = m_daemons[index];
        const std::int64_t nowMs = std::llround(m_nowMs);
        m_events.insert({m_nowMs + UpdateMs, {&Simulation::update, index}});
        daemon.m_peers = daemon.m_reports.view(nowMs);
        const RankWork own = daemon.m_admission.ownDemand(nowMs)[Model];
        daemon.m_occupancy = targetOccupancy(Engines, LatencyTargetMs, {Engines.m_meanPromptTokens, 0.0, Pace, daemon.m_bias.biasMs(Model)});
        ModelLoad load{Replicas * daemon.m_occupancy, std::accumulate(daemon.m_own.begin(), daemon.m_own.end(), 0.0), {}};
        for (const std::pair<const std::uint64_t, PeerLoad> &peer : daemon.m_peers.m_loads) {
            load.m_inFlight += peer.second.m_load.m_decoding;
        }
        std::transform(own.begin(), own.end(), daemon.m_peers.m_demand[modelKey(Model)].begin(), load.m_demand.begin(), std::plus<>());
        daemon.m_admission.update(Model, load, nowMs);
        if (daemon.m_isDead || (static_cast<std::size_t>(m_nowMs / UpdateMs) + index) % UpdatesPerReport != 0) {
            return;
        }
        DaemonLoadReport report;
        report.m_sender = std::to_string(index);
        report.m_number = static_cast<std::uint64_t>(nowMs);
        report.m_demand[modelKey(Model)] = own;
        for (std::size_t replica = 0; replica < Replicas; ++replica) {
            report.m_groups.push_back({replica, {daemon.m_own[replica], 0, 0.0, 0}, 0, false});
        }
        // A tenth of the reports are lost.
        for (std::size_t other = 0; other < Daemons; ++other) {
            if (other != index && std::uniform_real_distribution<double>()(m_random) >= 0.1) {
                m_daemons[other].m_reports.take(report, nowMs);
            }
        }
    }

    void callerComes(std::size_t)
    {
        const auto drawLength = [this](double mean) {
            return std::max<std::int64_t>(std::llround(std::lognormal_distribution<double>(std::log(mean) - 0.32, 0.8)(m_random)), 5);
        };
        SimulatedRequest request{std::discrete_distribution<int>({0.5, 0.3, 0.2})(m_random), drawLength(841.0)};
        request.m_answerTokens = drawLength(111.0);
        request.m_hintTokens = std::llround(static_cast<double>(request.m_answerTokens) * std::lognormal_distribution<double>(0.0, 0.4)(m_random));
        request.m_cameMs = m_nowMs;
        request.m_inBurst = m_nowMs >= BurstMs && m_nowMs < BurstEndMs ? 1.0 : 0.0;
        const double requestsPerMs = request.m_inBurst > 0.0 ? 0.909 : 0.303;
        m_events.insert({m_nowMs + std::exponential_distribution<double>(requestsPerMs)(m_random), {&Simulation::callerComes, 0}});
        m_requests.push_back(request);
        requestArrives(m_requests.size() - 1);
    }

    /** Does what admitGeneration() of a daemon does, except that it delays no request. Callers that are refused come back for 3 s. */
    void requestArrives(std::size_t index)
    {
        constexpr double ComeBackMs = 3'000.0;
        SimulatedRequest &request = m_requests[index];
        do {
            request.m_daemon = m_daemonOf(m_random);
        } while (m_daemons[request.m_daemon].m_isDead);
        SimulatedDaemon &daemon = m_daemons[request.m_daemon];
        SlotTimeQuery query{request.m_promptTokens, 0.0, Pace, daemon.m_bias.biasMs(Model)};
        const bool isLate = slotTimeMs(Engines, daemon.m_occupancy, query) > LatencyTargetMs - (m_nowMs - request.m_cameMs);
        query.m_answerTokens = daemon.m_answerLength.expectedTokens("", {request.m_hintTokens, 0}, Engines.m_meanAnswerTokens);
        const double slotMs = slotTimeMs(Engines, daemon.m_occupancy, query);
        const AdmissionRank rank{request.m_priority, requestSize(slotMs, daemon.m_admission.meanSlotMs(Model)), isLate};
        request.m_rank = rankIndex(rank);
        m_asked[request.m_rank] += request.m_inBurst;
        daemon.m_admission.offer(Model, rank, slotMs, std::llround(m_nowMs));
        if (!m_admits || daemon.m_admission.admit(Model, rank)) {
            send(index);
            return;
        }
        m_refusedInCalm += m_nowMs < BurstMs ? 1 : 0;
        if (m_nowMs - request.m_cameMs < ComeBackMs) {
            m_events.insert({m_nowMs + std::uniform_real_distribution<double>(1'000.0, 2'000.0)(m_random), {&Simulation::requestArrives, index}});
        }
    }

    /** Sends a request to the least loaded of three replicas. */
    void send(std::size_t index)
    {
        SimulatedRequest &request = m_requests[index];
        SimulatedDaemon &daemon = m_daemons[request.m_daemon];
        const auto loadOf = [&daemon](std::size_t replica) {
            return daemon.m_own[replica] + daemon.m_peers.m_loads[replica].m_load.m_decoding;
        };
        request.m_replica = m_random() % Replicas;
        for (const std::size_t other : {m_random() % Replicas, m_random() % Replicas}) {
            request.m_replica = loadOf(other) < loadOf(request.m_replica) ? other : request.m_replica;
        }
        ++daemon.m_own[request.m_replica];
        request.m_sentMs = m_nowMs;
        m_queues[request.m_replica].push_back(index);
        startNext(request.m_replica);
    }

    void startNext(std::size_t replica)
    {
        while (m_running[replica] < Engines.m_slots && !m_queues[replica].empty()) {
            const std::size_t index = m_queues[replica].front();
            const SimulatedRequest &request = m_requests[index];
            SimulatedDaemon &daemon = m_daemons[request.m_daemon];
            m_queues[replica].pop_front();
            if (request.m_daemonEnded || m_nowMs - request.m_sentMs > PatienceMs) {
                daemon.m_own[replica] -= request.m_daemonEnded ? 0 : 1;
                continue;
            }
            const double publishedMs = Pace * (1.5 * loadedPassMs(Engines, ++m_running[replica]) + prefillMs(Engines, request.m_promptTokens));
            if (m_nowMs == request.m_sentMs) {
                daemon.m_bias.record(Model, publishedMs, publishedMs + UnpublishedMs);
            }
            m_events.insert({m_nowMs + publishedMs + UnpublishedMs, {&Simulation::nextEvent, index}});
        }
    }

    void nextEvent(std::size_t index)
    {
        SimulatedRequest &request = m_requests[index];
        if (!std::exchange(request.m_hasBegun, true) && !request.m_daemonEnded && m_nowMs - request.m_cameMs <= LatencyTargetMs) {
            m_inTime[static_cast<std::size_t>(request.m_cameMs / 1'000.0)] += 1.0;
        }
        request.m_answerTokens -= Engines.m_stepsPerPass;
        if (!request.m_daemonEnded && request.m_answerTokens > 0) {
            m_events.insert({m_nowMs + Pace * loadedPassMs(Engines, m_running[request.m_replica]), {&Simulation::nextEvent, index}});
            return;
        }
        m_daemons[request.m_daemon].m_own[request.m_replica] -= request.m_daemonEnded ? 0 : 1;
        m_served[request.m_rank] += request.m_daemonEnded ? 0.0 : request.m_inBurst;
        --m_running[request.m_replica];
        startNext(request.m_replica);
    }

    /** Returns the answers in time to the callers that came between two times, in a second. */
    double inTimePerSecond(double fromMs, double toMs) const
    {
        const auto from = m_inTime.begin() + std::llround(fromMs / 1'000.0);
        return std::accumulate(from, from + std::llround((toMs - fromMs) / 1'000.0), 0.0) / (toMs - fromMs) * 1'000.0;
    }

    /** Returns the share of the requests in the burst that were answered, of the ranks that @p isChosen accepts. */
    double servedShare(const std::function<bool(const AdmissionRank &)> &isChosen) const
    {
        double asked = 0.0;
        double served = 0.0;
        for (std::size_t rank = 0; rank < AdmissionRankCount; ++rank) {
            asked += isChosen(rankAt(rank)) ? m_asked[rank] : 0.0;
            served += isChosen(rankAt(rank)) ? m_served[rank] : 0.0;
        }
        return asked > 0.0 ? served / asked : 1.0;
    }
};
}

// Guards against a burst that makes nearly all answers late, and against refusals that always hit the same callers. The bounds are the stated targets.
TEST_CASE("three times the usual traffic leaves nine tenths of the answers in time, whatever happens to a third of the daemons", "[admission]")
{
    // The daemons learn before CalmMs; service is to be back to normal at RecoveredMs.
    constexpr double CalmMs = 4'000.0;
    constexpr double DisturbanceMs = 19'000.0;
    constexpr double RecoveredMs = 31'000.0;
    constexpr double Target = 0.9;
    // The share of fewer requests than this is left to chance.
    constexpr double EnoughRequests = 50.0;
    const std::string disturbance = GENERATE(std::string("none"), std::string("killed"), std::string("restarted"));
    Simulation simulation;
    if (disturbance != "none") {
        simulation.m_events.insert({DisturbanceMs, {&Simulation::disturb, disturbance == "killed" ? 1 : 0}});
    }
    simulation.run();
    const double before = simulation.inTimePerSecond(CalmMs, BurstMs);
    const double during = simulation.inTimePerSecond(BurstMs, BurstEndMs);
    const double disturbed = simulation.inTimePerSecond(DisturbanceMs, DisturbanceMs + 2'000.0);
    const double after = simulation.inTimePerSecond(RecoveredMs, EndMs);
    const double overall = simulation.servedShare([](const AdmissionRank &) {
        return true;
    });
    CAPTURE(disturbance, before, during, disturbed, after, overall);
    CHECK(during >= Target * before);
    CHECK(after >= Target * before);
    CHECK(simulation.m_refusedInCalm == 0);
    // No size and no priority may be served less than a third as often as all requests, nor any rank whose requests may be in time.
    for (const RequestSize size : {RequestSize::Small, RequestSize::Medium, RequestSize::Large}) {
        const double share = simulation.servedShare([size](const AdmissionRank &rank) {
            return rank.m_size == size;
        });
        CAPTURE(enumName(RequestSizeNames, size), share);
        CHECK(share >= overall / 3.0);
    }
    for (std::size_t index = 0; index < AdmissionRankCount; ++index) {
        const AdmissionRank rank = rankAt(index);
        const double share = simulation.m_served[index] / std::max(simulation.m_asked[index], 1.0);
        CAPTURE(rank.m_priority, enumName(RequestSizeNames, rank.m_size), rank.m_late, simulation.m_asked[index], share);
        CHECK((rank.m_late || simulation.m_asked[index] < EnoughRequests || share >= overall / 3.0));
    }
    for (const int priority : {0, 1, 2}) {
        const double share = simulation.servedShare([priority](const AdmissionRank &rank) {
            return rank.m_priority == priority;
        });
        CAPTURE(priority, share);
        CHECK(share >= overall / 3.0);
    }
    // First requests only: whether a caller has to come back depends on its priority, and requests of callers that do are less often served.
    const auto firstShare = [&simulation](int priority) {
        return simulation.servedShare([priority](const AdmissionRank &rank) {
            return rank.m_priority == priority && !rank.m_late;
        });
    };
    CHECK(firstShare(0) >= firstShare(1));
    CHECK(firstShare(1) >= firstShare(2));
}

// Guards against a simulation in which the load would be no problem: sending everything misses the target.
TEST_CASE("three times the usual traffic makes most answers late if all requests are sent", "[admission]")
{
    constexpr double CalmMs = 4'000.0;
    Simulation simulation;
    simulation.m_admits = false;
    simulation.run();
    const double before = simulation.inTimePerSecond(CalmMs, BurstMs);
    const double during = simulation.inTimePerSecond(BurstMs, BurstEndMs);
    CAPTURE(before, during);
    CHECK(during < 0.5 * before);
}

TEST_CASE("ranks have an index of their own, and priorities beyond the lowest one count as that one", "[admission]")
{
    for (std::size_t index = 0; index < AdmissionRankCount; ++index) {
        CHECK(rankIndex(rankAt(index)) == index);
    }
    CHECK(rankIndex({9, RequestSize::Large, true}) == rankIndex({LowestAdmissionPriority, RequestSize::Large, true}));
    CHECK(rankIndex({-1, RequestSize::Small, false}) == 0);
    CHECK(requestSize(1.0, 0.0) == RequestSize::Large);
    CHECK(requestSize(100.0, 100.0) == RequestSize::Medium);
    CHECK(requestSize(20.0, 100.0) == RequestSize::Small);
}

// Guards against fractions that admit more than the capacity, leave some of it unused, starve a rank, or refuse the more valuable requests first.
TEST_CASE("the fractions use up the capacity, in the order of what a refusal costs, and starve no rank", "[admission]")
{
    rc::prop("any demand and capacity", []() {
        RankWork demand{};
        for (double &work : demand) {
            work = *rc::gen::inRange(0, 3) == 0 ? 0.0 : *rc::gen::inRange(0, 50'000) / 100.0;
        }
        const double total = std::accumulate(demand.begin(), demand.end(), 0.0);
        double timely = 0.0;
        for (std::size_t rank = 0; rank < AdmissionRankCount; ++rank) {
            timely += rankAt(rank).m_late ? 0.0 : demand[rank];
        }
        const double capacity = *rc::gen::inRange(0, 1'200'000) / 100.0;
        const RankWork fractions = admittedFractions(capacity, demand);
        const double admitted = std::inner_product(demand.begin(), demand.end(), fractions.begin(), 0.0);
        RC_ASSERT(std::abs(admitted - std::min(total, capacity)) <= 1e-6 * (1.0 + total));
        for (std::size_t a = 0; a < AdmissionRankCount; ++a) {
            RC_ASSERT(fractions[a] <= 1.0 + 1e-9);
            // Late requests get what the others leave.
            const double least = rankAt(a).m_late || timely <= 0.0 ? 0.0 : 0.6 * std::min(1.0, capacity / timely);
            RC_ASSERT((total <= capacity ? fractions[a] == 1.0 : fractions[a] >= least - 1e-9));
            for (std::size_t b = 0; b < AdmissionRankCount; ++b) {
                // What is certain to requests that may be in time goes before the order.
                const bool isCertain = rankAt(a).m_late && !rankAt(b).m_late;
                RC_ASSERT((isCertain || refusalCost(rankAt(a)) <= refusalCost(rankAt(b)) || demand[a] <= 0.0 || demand[b] <= 0.0
                           || fractions[a] >= fractions[b] - 1e-9));
            }
        }
    });
}

TEST_CASE("a daemon admits the computed fraction of each series of requests, and all of them when the load has gone", "[admission]")
{
    OverloadAdmission admission;
    CHECK(admission.admit("unknown", {}));
    CHECK_FALSE(admission.isOverloaded("unknown"));
    const AdmissionRank rank{1, RequestSize::Medium, false};
    ModelLoad load{100.0, 100.0, {}};
    load.m_demand[rankIndex(rank)] = 300.0;
    admission.update("m", load, 1'000);
    CHECK(admission.isOverloaded("m"));
    int admitted = 0;
    for (int request = 0; request < 3'000; ++request) {
        admitted += admission.admit("m", rank) ? 1 : 0;
    }
    CHECK(std::abs(admitted - 1'000) <= 1);
    admission.update("m", {100.0, 100.0, {}}, 1'050);
    CHECK_FALSE(admission.isOverloaded("m"));
    CHECK(admission.admit("m", rank));
    // No replica may get a request: the fractions stay numbers.
    load.m_capacitySlots = 0.0;
    admission.update("m", load, 1'100);
    CHECK(admission.fractions("m")[rankIndex(rank)] == Approx(0.0).margin(1e-6));
}

TEST_CASE("offered work is measured in slots and forgotten when no more is offered", "[admission]")
{
    DemandMeter meter;
    CHECK(meter.slots(0) == 0.0);
    for (std::int64_t nowMs = 1'000'000; nowMs < 1'004'000; nowMs += 10) {
        meter.add(500.0, nowMs);
    }
    // 100 requests a second that take 500 ms each.
    CHECK(meter.slots(1'004'000) == Approx(50.0).epsilon(0.03));
    CHECK(meter.slots(1'003'000) == Approx(50.0).epsilon(0.03));
    CHECK(meter.slots(1'010'000) < 0.01);
}

TEST_CASE("the demand in a load report is unchanged by encoding and decoding, within what the format can hold", "[admission][codec]")
{
    DaemonLoadReport report;
    report.m_sender = "vm-1";
    report.m_demand[modelKey("large")] = {0.01, 12.34, 0.001, 700.0, -1.0};
    report.m_demand[modelKey("small")][AdmissionRankCount - 1] = 3.5;
    const std::string bytes = encodeLoadReport(report);
    const Result<DaemonLoadReport> decoded = decodeLoadReport(bytes.data(), bytes.size());
    REQUIRE_FALSE(failed(decoded));
    REQUIRE(valueOf(decoded).m_demand.size() == 2);
    const RankWork &large = valueOf(decoded).m_demand.at(modelKey("large"));
    const RankWork expected{0.01, 12.34, 0.0, 655.35};
    for (std::size_t rank = 0; rank < AdmissionRankCount; ++rank) {
        CHECK(large[rank] == Approx(expected[rank]));
    }
    CHECK(valueOf(decoded).m_demand.at(modelKey("small"))[AdmissionRankCount - 1] == Approx(3.5));
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        // Must not read beyond the end.
        decodeLoadReport(std::string(bytes, 0, length).data(), length);
    }
}

// Guards against a write beyond the ranks that this version knows.
TEST_CASE("a rank in a load report that is not known is passed over", "[admission][codec]")
{
    flatbuffers::FlatBufferBuilder builder;
    const std::vector<wire::RankDemand> ranks{{AdmissionRankCount, 500}, {255, 500}, {2, 150}};
    const std::vector<flatbuffers::Offset<wire::ModelDemand>> models{wire::CreateModelDemand(builder, 7, builder.CreateVectorOfStructs(ranks)),
                                                                     wire::CreateModelDemand(builder, 8)};
    const flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::ModelDemand>>> demand = builder.CreateVector(models);
    wire::PulseBuilder pulse(builder);
    pulse.add_demand(demand);
    builder.Finish(pulse.Finish());
    const Result<DaemonLoadReport> decoded = decodeLoadReport(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
    REQUIRE_FALSE(failed(decoded));
    const RankWork expected{0.0, 0.0, 1.5};
    CHECK(valueOf(decoded).m_demand.at(7) == expected);
    CHECK(valueOf(decoded).m_demand.at(8) == RankWork{});
}
