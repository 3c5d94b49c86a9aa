// Pattern: streams with prompts of very different lengths share replicas with the streams of other gateways. A replica fails, or is only busy with
// prefill.

#include "autotests/entryfixtures.h"
#include "kernel/hashing.h"
#include "kernel/loadreport.h"
#include "kernel/replicachoice.h"

#include <catch2/catch.hpp>

using namespace knapweedslip;

namespace
{
TrackedReplica group(const std::string &model, std::uint64_t epoch, const std::string &zone = "a")
{
    TrackedReplica replica;
    replica.m_ref = {replicaName(model, epoch), epoch};
    replica.m_model = model;
    replica.m_head = "engine-" + std::to_string(epoch);
    replica.m_address = "127.0.0.1:1";
    replica.m_availabilityZone = zone;
    replica.m_listed = true;
    return replica;
}

ReplicaSelector selectorWith(const std::vector<TrackedReplica> &replicas)
{
    ReplicaSelector selector;
    selector.setService(engineServiceFixture());
    selector.setReplicas(replicas);
    return selector;
}

/** Returns the longest pass of a working replica of "big", in ms: all slots are in use, and every step prefills a full chunk. */
double longestPass()
{
    return longestPauseMs(*engineServiceFixture().m_engines, {}, 1.0);
}
}

TEST_CASE("a replica that prefills long prompts is not silent", "[entry][book]")
{
    UpstreamAvailability availability;
    ReplicaSelector selector = selectorWith({group("big", 1)});
    const std::uint64_t writer = selector.begin(availability, *selector.find({"big.1", 1}), 1'000, 0);
    std::int64_t nowMs = 50;
    selector.event(availability, writer, 1, nowMs);
    // The prompts of another gateway make each pass as long as possible.
    for (int pass = 0; pass < 20; ++pass) {
        const std::int64_t nextMs = nowMs + static_cast<std::int64_t>(longestPass());
        for (; nowMs < nextMs; nowMs += 15) {
            CHECK(selector.findSilentReplicas(availability, nowMs).empty());
        }
        nowMs = nextMs;
        selector.event(availability, writer, 1, nowMs);
    }
}

TEST_CASE("a replica that stops is found silent within its longest pass and one supervision interval", "[entry][book]")
{
    UpstreamAvailability availability;
    ReplicaSelector selector = selectorWith({group("big", 1), group("big", 2)});
    const std::uint64_t writer = selector.begin(availability, *selector.find({"big.1", 1}), 1'000, 0);
    selector.event(availability, writer, 1, 40);
    const std::int64_t limitMs = 40 + static_cast<std::int64_t>(longestPass()) + ReplicaSelectorSettings().m_silenceToleranceMs;
    CHECK(selector.findSilentReplicas(availability, limitMs - 1).empty());
    const std::vector<ReplicaRef> silent = selector.findSilentReplicas(availability, limitMs + 15);
    REQUIRE(silent.size() == 1);
    CHECK(silent.front().m_epoch == 1);
    const TrackedReplica *chosen = selector.choose(availability, {"big", 100, "a"}, {}, limitMs + 15);
    REQUIRE(chosen != nullptr);
    CHECK(chosen->m_ref.m_epoch == 2);
}

TEST_CASE("an event seen by another gateway keeps a replica from being found silent", "[entry][book]")
{
    UpstreamAvailability availability;
    ReplicaSelector selector = selectorWith({group("big", 1)});
    selector.begin(availability, *selector.find({"big.1", 1}), 1'000, 0);
    PeerLoad peer;
    peer.m_progressMs = 1'000;
    selector.setPeerLoads({{1, peer}});
    CHECK(selector.findSilentReplicas(availability, 1'300).empty());
    CHECK(selector.findSilentReplicas(availability, 3'000).size() == 1);
}

TEST_CASE("a stream whose answer was lost is found stuck although its replica works", "[entry][book]")
{
    UpstreamAvailability availability;
    // An engine may run a request whose answer is lost on the way. The client disconnects after 2 s without an event.
    const bool decoding = GENERATE(false, true);
    ReplicaSelector selector = selectorWith({group("small", 1)});
    const std::uint64_t lost = selector.begin(availability, *selector.find({"small.1", 1}), 500, 0);
    const std::uint64_t other = selector.begin(availability, *selector.find({"small.1", 1}), 500, 0);
    if (decoding) {
        selector.event(availability, lost, 1, 40);
    }
    std::vector<std::uint64_t> stuck;
    std::int64_t nowMs = 40;
    for (; stuck.empty() && nowMs < 2'000; nowMs += 30) {
        selector.event(availability, other, 1, nowMs);
        stuck = selector.findStuckStreams(nowMs);
    }
    CHECK(stuck == std::vector<std::uint64_t>{lost});
    // Long before the client disconnects, but later than the longest pause of a working replica.
    CHECK(nowMs < 1'000);
    CHECK(nowMs > 400);
    CHECK(selector.findSilentReplicas(availability, nowMs).empty());
}

TEST_CASE("a stream in a queue that is longer than expected is not found stuck too early", "[entry][book]")
{
    UpstreamAvailability availability;
    // Other gateways fill the replica: the earlier stream continues its decode, and the later one waits for a slot.
    ReplicaSelector selector = selectorWith({group("small", 1)});
    const std::uint64_t earlier = selector.begin(availability, *selector.find({"small.1", 1}), 500, 0);
    selector.event(availability, earlier, 1, 40);
    const std::uint64_t queued = selector.begin(availability, *selector.find({"small.1", 1}), 500, 100);
    for (std::int64_t nowMs = 130; nowMs < 1'400; nowMs += 30) {
        CAPTURE(nowMs);
        selector.event(availability, earlier, 1, nowMs);
        REQUIRE(selector.findStuckStreams(nowMs).empty());
    }
    // By then its answer is taken for lost, since the client disconnects after 2 s.
    selector.event(availability, earlier, 1, 1'510);
    CHECK(selector.findStuckStreams(1'520) == std::vector<std::uint64_t>{queued});
}

TEST_CASE("a slow replica is not silent while it works at its own pace", "[entry][book]")
{
    UpstreamAvailability availability;
    ReplicaSelector selector = selectorWith({group("small", 1)});
    const std::uint64_t writer = selector.begin(availability, *selector.find({"small.1", 1}), 500, 0);
    std::int64_t nowMs = 100;
    for (int i = 0; i < 60; ++i) {
        selector.event(availability, writer, 1, nowMs);
        nowMs += 125;
    }
    CHECK(selector.find({"small.1", 1})->m_slowness > 2.0);
    CHECK(selector.findSilentReplicas(availability, nowMs + 300).empty());
}

TEST_CASE("a request goes to the replica whose first event is expected soonest", "[entry][book]")
{
    UpstreamAvailability availability;
    struct Row
    {
        const char *m_what;
        ReplicaLoad m_first;
        ReplicaLoad m_second;
        std::uint64_t m_epoch;
    };
    const Row row = GENERATE(values<Row>({
        {"all equal: the own zone", {}, {}, 2},
        {"a prompt waits at home", {0, 1, 0.0, 0}, {0, 1, 120.0, 4'000}, 1},
        {"all slots are taken at home", {4, 0, 0.0, 4'000}, {26, 4, 0.0, 30'000}, 1},
        {"a little more at home", {10, 0, 0.0, 9'000}, {12, 0, 0.0, 11'000}, 2},
    }));
    INFO(row.m_what);
    ReplicaSelector selector = selectorWith({group("big", 1, "b"), group("big", 2, "a")});
    selector.setPeerLoads({{1, PeerLoad{row.m_first, 0}}, {2, PeerLoad{row.m_second, 0}}});
    const TrackedReplica *chosen = selector.choose(availability, {"big", 1'000, "a"}, {}, 0);
    REQUIRE(chosen != nullptr);
    CHECK(chosen->m_ref.m_epoch == row.m_epoch);
}

TEST_CASE("the load of a stream is removed however the stream ends", "[entry][book]")
{
    UpstreamAvailability availability;
    ReplicaSelector selector = selectorWith({group("big", 1)});
    for (int i = 0; i < 50; ++i) {
        const std::uint64_t stream = selector.begin(availability, *selector.find({"big.1", 1}), 100 * i, i);
        if (i % 3 != 0) {
            selector.event(availability, stream, 1, i + 50);
        }
        selector.end(stream);
        selector.end(stream);
    }
    const TrackedReplica *replica = selector.find({"big.1", 1});
    REQUIRE(replica != nullptr);
    CHECK(replica->m_ownLoad.m_decoding == 0);
    CHECK(replica->m_ownLoad.m_waiting == 0);
    CHECK(replica->m_ownLoad.m_contextTokens == 0);
    CHECK(replica->m_ownLoad.m_pendingPrefillMs == Approx(0.0).margin(1e-6));
}

TEST_CASE("load reports of other daemons are summed and expire", "[entry][pulse]")
{
    LoadReportTable reports;
    DaemonLoadReport report;
    report.m_sender = "b";
    report.m_number = 1;
    report.m_groups = {{7, {2, 1, 300.0, 3'000}, 20, false}};
    reports.take(report, 1'000);
    report.m_sender = "c";
    report.m_groups = {{7, {1, 0, 0.0, 1'000}, 5, true}};
    reports.take(report, 1'010);
    const PeerLoadSummary view = reports.view(1'050);
    REQUIRE(view.m_loads.count(7) == 1);
    CHECK(view.m_loads.at(7).m_load.m_decoding == 3);
    CHECK(view.m_loads.at(7).m_load.m_waiting == 1);
    CHECK(view.m_loads.at(7).m_progressMs == 1'005);
    CHECK(view.m_silent == std::vector<std::uint64_t>{7});
    SECTION("a late report does not replace a newer one")
    {
        DaemonLoadReport old = report;
        old.m_sender = "b";
        old.m_number = 0;
        old.m_groups.clear();
        reports.take(old, 1'060);
        CHECK(reports.view(1'060).m_loads.at(7).m_load.m_decoding == 3);
    }
    SECTION("a report expires")
    {
        CHECK(reports.view(1'010 + LoadReportTable::ExpiryMs + 1).m_loads.empty());
    }
    SECTION("a restarted daemon is accepted again from number 1")
    {
        report.m_number = 1;
        report.m_groups.clear();
        reports.take(report, 1'010 + LoadReportTable::ExpiryMs + 1);
        CHECK(reports.countLiveSenders(1'010 + LoadReportTable::ExpiryMs + 2) == 1);
    }
}

// Guards against permits for cold replicas that are spent on requests which are then refused as too late.
TEST_CASE("a permit for a cold replica is taken only for a request that is sent", "[entry][book]")
{
    UpstreamAvailability availability;
    struct Row
    {
        const char *m_name;
        double m_maxExpectedMs;
        int m_permits;
        ReplicaChoiceOutcome m_outcome;
        int m_asked;
    };
    const std::vector<Row> rows{
        {"too late", 10.0, 2, ReplicaChoiceOutcome::TooLate, 0},
        {"in time", 10'000.0, 2, ReplicaChoiceOutcome::Chosen, 1},
        {"no permit for either replica", 10'000.0, 0, ReplicaChoiceOutcome::NoneAvailable, 2},
    };
    for (const Row &row : rows) {
        CAPTURE(row.m_name);
        ReplicaSelector selector = selectorWith({group("big", 1), group("big", 2)});
        selector.begin(availability, *selector.find({"big.1", 1}), 20'000, 0);
        selector.begin(availability, *selector.find({"big.2", 2}), 20'000, 0);
        int asked = 0;
        const ReplicaChoice choice = chooseReplica(
            selector,
            availability,
            {"big", 1'000, "a", row.m_maxExpectedMs},
            [&row, &asked](const TrackedReplica &) {
                return ++asked <= row.m_permits;
            },
            1);
        CHECK(choice.m_outcome == row.m_outcome);
        CHECK(asked == row.m_asked);
        CHECK((choice.m_replica != nullptr) == (row.m_outcome == ReplicaChoiceOutcome::Chosen));
    }
}

// Guards against innocent requests that follow the cause of an upstream's end from one upstream to the next (incident BUDGET).
TEST_CASE("requests under which upstreams ended part, and go to the next replica by hash if one is not available", "[entry][crash]")
{
    UpstreamAvailability availability;
    const std::function<bool(const TrackedReplica &)> always = [](const TrackedReplica &) {
        return true;
    };
    std::vector<TrackedReplica> groups;
    for (std::uint64_t epoch = 1; epoch <= 4; ++epoch) {
        groups.push_back(group("big", epoch));
    }
    ReplicaSelector selector = selectorWith(groups);
    std::map<ReplicaRef, int> chosen;
    constexpr int Requests = 400;
    for (std::uint64_t key = 0; key < Requests; ++key) {
        ReplicaQuery query{"big", 1'000, "a", 10'000.0};
        query.m_partByKey = hash64("request", key);
        const ReplicaChoice first = chooseReplica(selector, availability, query, always, 0);
        REQUIRE(first.m_outcome == ReplicaChoiceOutcome::Chosen);
        CHECK(chooseReplica(selector, availability, query, always, 0).m_replica == first.m_replica);
        ++chosen[first.m_replica->m_ref];
        const ReplicaRef denied = first.m_replica->m_ref;
        const ReplicaChoice second = chooseReplica(
            selector,
            availability,
            query,
            [&denied](const TrackedReplica &replica) {
                return !(replica.m_ref == denied);
            },
            0);
        REQUIRE(second.m_outcome == ReplicaChoiceOutcome::Chosen);
        CHECK_FALSE(second.m_replica->m_ref == denied);
    }
    CHECK(chosen.size() == groups.size());
    for (const std::pair<const ReplicaRef, int> &entry : chosen) {
        CHECK(entry.second < Requests / 2);
    }
    ReplicaQuery impossible{"big", 1'000, "a", 0.0};
    impossible.m_partByKey = 1;
    CHECK(chooseReplica(selector, availability, impossible, always, 0).m_outcome == ReplicaChoiceOutcome::TooLate);
}
