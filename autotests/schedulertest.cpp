#include "autotests/fixtures.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <set>

using namespace knapweedslip;
using namespace knapweedslip::test;

namespace
{
int dispatchCount(const Actions &actions)
{
    return static_cast<int>(std::count_if(actions.begin(), actions.end(), [](const Action &action) {
        return action.m_kind == ActionKind::Dispatch;
    }));
}

const Action *findAction(const Actions &actions, std::uint64_t id)
{
    const auto it = std::find_if(actions.begin(), actions.end(), [id](const Action &action) {
        return action.m_requestId == id;
    });
    return it == actions.end() ? nullptr : &*it;
}
}

TEST_CASE("requests fill the limit, then wait until a slot is free", "[scheduler]")
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler();
    Actions actions;
    scheduler->setTable(RouteTableBuilder().model("m").workspace("w").upstream("u", 2).build(), 0, actions);
    for (std::uint64_t id = 1; id <= 3; ++id) {
        scheduler->addRequest(makeRequest(id), 0, actions);
    }
    REQUIRE(dispatchCount(actions) == 2);
    REQUIRE(scheduler->waiting() == 1);
    scheduler->finish(1, AttemptEnd::Finished, 10, actions);
    CHECK(dispatchCount(actions) == 3);
    CHECK(scheduler->waiting() == 0);
}

TEST_CASE("which upstreams accept new work", "[scheduler]")
{
    struct Row
    {
        const char *m_name;
        GroupPhase m_phase;
        const char *m_holder;
        std::vector<ReportKind> m_reports;
        int m_dispatched;
    };
    const std::vector<Row> rows{
        {"warm", GroupPhase::Warm, "", {}, 4},
        {"cold, own grant", GroupPhase::Cold, "g1", {}, 1},
        {"cold, another's grant", GroupPhase::Cold, "g2", {}, 0},
        {"cold, no grant", GroupPhase::Cold, "", {}, 0},
        {"turned cold unseen by the table", GroupPhase::Warm, "", {ReportKind::Cold}, 0},
        {"turned cold and recovered", GroupPhase::Warm, "", {ReportKind::Cold, ReportKind::Recovered}, 1},
        {"in doubt", GroupPhase::Warm, "", {ReportKind::Doubt}, 0},
        {"leaving", GroupPhase::Warm, "", {ReportKind::Leaving}, 0},
        {"set apart by a peer", GroupPhase::Warm, "", {ReportKind::SetApart}, 0},
    };
    for (const Row &row : rows) {
        INFO(row.m_name);
        const std::unique_ptr<Scheduler> scheduler = makeScheduler();
        Actions actions;
        scheduler->setTable(RouteTableBuilder().model("m").workspace("w").upstream("u", 4, row.m_phase, row.m_holder).build(), 0, actions);
        for (const ReportKind kind : row.m_reports) {
            scheduler->report({"u", 1, kind}, 0, actions);
        }
        for (std::uint64_t id = 1; id <= 6; ++id) {
            scheduler->addRequest(makeRequest(id), 0, actions);
        }
        CHECK(dispatchCount(actions) == row.m_dispatched);
        CHECK(scheduler->mayDispatch("u", 1, 0) == (row.m_dispatched > 0 || row.m_reports == std::vector<ReportKind>{ReportKind::SetApart}));
    }
}

TEST_CASE("a report that is ahead of the table still applies when the table catches up", "[scheduler]")
{
    for (const ReportKind kind : {ReportKind::Cold, ReportKind::Doubt, ReportKind::Leaving}) {
        const std::unique_ptr<Scheduler> scheduler = makeScheduler();
        Actions actions;
        scheduler->setTable(RouteTableBuilder().model("m").workspace("w").upstream("u").build(), 0, actions);
        scheduler->report({"u", 2, kind}, 10, actions);
        scheduler->setTable(RouteTableBuilder().model("m").workspace("w").upstream("u", 4, GroupPhase::Warm, {}, "z1", 2).build(), 20, actions);
        CHECK_FALSE(scheduler->mayDispatch("u", 2, 20));
        scheduler->setTable(RouteTableBuilder().model("m").workspace("w").upstream("u", 4, GroupPhase::Warm, {}, "z1", 3).build(), 30, actions);
        CHECK(scheduler->mayDispatch("u", 3, 30));
    }
}

TEST_CASE("a cold report still applies after a later table that says warm", "[scheduler]")
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler();
    Actions actions;
    scheduler->setTable(RouteTableBuilder().model("m").workspace("w").upstream("u", 4, GroupPhase::Cold, "g1").build(), 0, actions);
    scheduler->report({"u", 1, ReportKind::Cold}, 10, actions);
    CHECK(scheduler->mayDispatch("u", 1, 10));
    scheduler->setTable(RouteTableBuilder().model("m").workspace("w").upstream("u").build(), 20, actions);
    CHECK_FALSE(scheduler->mayDispatch("u", 1, 20));
    scheduler->report({"u", 1, ReportKind::Recovered}, 30, actions);
    CHECK(scheduler->mayDispatch("u", 1, 30));
}

TEST_CASE("a suspect does not run on an upstream that was replaced after it was isolated", "[scheduler]")
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler();
    Actions actions;
    scheduler->setTable(RouteTableBuilder().model("m").workspace("w").upstream("u").build(), 0, actions);
    scheduler->crashTracker().recordCrash(1, false, 0);
    scheduler->addRequest(makeRequest(1), 0, actions);
    scheduler->setTable(RouteTableBuilder().model("m").workspace("w").upstream("u", 4, GroupPhase::Cold, "g2", "z1", 2).build(), 10, actions);
    for (std::int64_t now = 20; now < 1'000; now += 50) {
        scheduler->tick(now, actions);
    }
    CHECK(dispatchCount(actions) == 0);
}

TEST_CASE("queued and retried requests are not sent to a zone that went out of service", "[scheduler]")
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler();
    Actions actions;
    const RouteTableBuilder both =
        RouteTableBuilder().model("m").workspace("w").upstream("out", 1, GroupPhase::Warm, {}, "z1").upstream("in", 1, GroupPhase::Warm, {}, "z2");
    scheduler->setTable(both.build(), 0, actions);
    for (std::uint64_t id = 1; id <= 6; ++id) {
        scheduler->addRequest(makeRequest(id), 0, actions);
    }
    REQUIRE(dispatchCount(actions) == 2);
    RouteTableBuilder one = RouteTableBuilder().model("m").workspace("w").upstream("in", 1, GroupPhase::Warm, {}, "z2");
    one.m_table.m_generations["out"] = 1;
    scheduler->setTable(one.build(), 10, actions);
    CHECK(scheduler->mayRelayResponses("out", 1, 10));
    CHECK_FALSE(scheduler->mayDispatch("out", 1, 10));
    actions.clear();
    for (std::uint64_t id = 1; id <= 2; ++id) {
        scheduler->finish(id, AttemptEnd::Finished, 20, actions);
    }
    scheduler->retry(makeRequest(9), 20, actions);
    for (const Action &action : actions) {
        REQUIRE(action.m_kind == ActionKind::Dispatch);
        CHECK(action.m_upstream->m_id == "in");
    }
}

TEST_CASE("responses of a replaced or doubted generation may not be forwarded", "[scheduler]")
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler();
    Actions actions;
    scheduler->setTable(RouteTableBuilder().model("m").upstream("u").build(), 0, actions);
    CHECK(scheduler->mayRelayResponses("u", 1, 0));
    CHECK_FALSE(scheduler->mayRelayResponses("u", 2, 0));
    scheduler->report({"u", 1, ReportKind::Doubt}, 0, actions);
    CHECK_FALSE(scheduler->mayRelayResponses("u", 1, 1));
    scheduler->setTable(RouteTableBuilder().model("m").upstream("u", 4, GroupPhase::Warm, {}, "z1", 2).build(), 2, actions);
    CHECK(scheduler->mayRelayResponses("u", 2, 2));
    CHECK_FALSE(scheduler->mayRelayResponses("u", 1, 2));
    scheduler->setTable(RouteTableBuilder().model("m").build(), 3, actions);
    CHECK_FALSE(scheduler->mayRelayResponses("u", 2, 3));
}

TEST_CASE("a request that cannot meet its deadline is refused immediately with a retry time", "[scheduler]")
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler();
    Actions actions;
    scheduler->setTable(RouteTableBuilder().model("m").workspace("w").upstream("u", 1).build(), 0, actions);
    scheduler->addRequest(makeRequest(1), 0, actions);
    for (std::uint64_t id = 2; id < 60; ++id) {
        scheduler->addRequest(makeRequest(id, "w", 1'000), 0, actions);
    }
    const auto refused = std::find_if(actions.begin(), actions.end(), [](const Action &action) {
        return action.m_kind == ActionKind::Refuse;
    });
    REQUIRE(refused != actions.end());
    CHECK(refused->m_error == ErrorCode::DeadlineUnreachable);
    CHECK(refused->m_retryAfterMs >= 1'000);
    CHECK(scheduler->waiting() < 10);
}

TEST_CASE("a waiting request is refused as soon as it can no longer finish in time", "[scheduler]")
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler();
    Actions actions;
    scheduler->setTable(RouteTableBuilder().model("m").workspace("w").upstream("u", 1).build(), 0, actions);
    scheduler->addRequest(makeRequest(1), 0, actions);
    scheduler->addRequest(makeRequest(2, "w", 1'000), 0, actions);
    REQUIRE(scheduler->waiting() == 1);
    scheduler->tick(850, actions);
    REQUIRE(findAction(actions, 2) != nullptr);
    CHECK(findAction(actions, 2)->m_kind == ActionKind::Refuse);
}

TEST_CASE("a scheduler that does not accept work refuses new requests and keeps running ones", "[scheduler]")
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler();
    Actions actions;
    scheduler->setTable(RouteTableBuilder().model("m").workspace("w").upstream("u").build(), 0, actions);
    scheduler->addRequest(makeRequest(1), 0, actions);
    scheduler->setAccepting(false, ErrorCode::StaleConfiguration);
    scheduler->addRequest(makeRequest(2), 0, actions);
    CHECK(findAction(actions, 2)->m_error == ErrorCode::StaleConfiguration);
    CHECK(scheduler->runningOn("u") == std::vector<std::uint64_t>{1});
}

TEST_CASE("the retry budget bounds retries to a fraction of first attempts", "[scheduler]")
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler();
    Actions actions;
    scheduler->setTable(RouteTableBuilder().model("m").workspace("w").upstream("u", 100'000).build(), 0, actions);
    std::uint64_t id = 0;
    for (int i = 0; i < 1'000; ++i) {
        WorkRequest request = makeRequest(++id);
        scheduler->addRequest(request, 0, actions);
        scheduler->finish(id, AttemptEnd::Neutral, 0, actions);
        request.m_id = ++id;
        request.m_attempt = 1;
        scheduler->retry(request, 0, actions);
        scheduler->finish(id, AttemptEnd::Neutral, 0, actions);
    }
    CHECK(scheduler->counters().m_retried <= 1'000 / 10 + 10);
    CHECK(scheduler->counters().m_retriesDenied >= 880);
}

TEST_CASE("a flow that cannot be dispatched does not block the others", "[scheduler]")
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler();
    Actions actions;
    scheduler->setTable(RouteTableBuilder().model("m").workspace("a").workspace("b").upstream("u", 1).upstream("v", 1).build(), 0, actions);
    WorkRequest first = makeRequest(1, "x");
    first.m_query.m_excluded = {"v"};
    scheduler->addRequest(first, 0, actions);
    WorkRequest blocked = makeRequest(2, "a");
    blocked.m_query.m_excluded = {"v"};
    scheduler->addRequest(blocked, 0, actions);
    actions.clear();
    scheduler->addRequest(makeRequest(3, "b"), 0, actions);
    REQUIRE(actions.size() == 1);
    CHECK(actions.front().m_requestId == 3);
    CHECK(actions.front().m_upstream->m_id == "v");
}

TEST_CASE("a flow is not charged for a request that cannot be dispatched", "[scheduler]")
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler();
    Actions actions;
    scheduler->setTable(RouteTableBuilder().model("m").workspace("a").workspace("b").upstream("u", 1).upstream("v", 1).build(), 0, actions);
    const auto addRequestForU = [&](std::uint64_t id, const std::string &workspace) {
        WorkRequest request = makeRequest(id, workspace);
        request.m_query.m_excluded = {"v"};
        scheduler->addRequest(request, 0, actions);
    };
    addRequestForU(1, "x");
    for (std::uint64_t id = 100; id < 105; ++id) {
        addRequestForU(id, "a");
    }
    // "v" is free, but all of these requests exclude it. Each tick tries the first one again.
    for (std::int64_t now = 50; now < 1'000; now += 50) {
        scheduler->tick(now, actions);
    }
    for (std::uint64_t id = 200; id < 205; ++id) {
        addRequestForU(id, "b");
    }
    std::uint64_t running = 1;
    int dispatchedForA = 0;
    for (int i = 0; i < 4; ++i) {
        actions.clear();
        scheduler->finish(running, AttemptEnd::Finished, 1'000, actions);
        REQUIRE(actions.size() == 1);
        running = actions.front().m_requestId;
        dispatchedForA += running < 200 ? 1 : 0;
    }
    CHECK(dispatchedForA == 2);
}

TEST_CASE("a suspect runs isolated and is refused after it crashes the isolated upstream", "[scheduler]")
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler();
    Actions actions;
    const std::shared_ptr<const RouteTable> table = RouteTableBuilder().model("m").workspace("w").upstream("a").upstream("b").upstream("c").build();
    scheduler->setTable(table, 0, actions);
    scheduler->addRequest(makeRequest(1), 0, actions);
    scheduler->finish(1, AttemptEnd::UpstreamLost, 10, actions);
    WorkRequest again = makeRequest(2);
    again.m_fingerprint = 1;
    actions.clear();
    scheduler->addRequest(again, 20, actions);
    REQUIRE(actions.empty());
    for (std::int64_t now = 30; now < 1'000; now += 50) {
        scheduler->tick(now, actions);
    }
    REQUIRE(findAction(actions, 2) != nullptr);
    CHECK(findAction(actions, 2)->m_isolated);
    for (std::uint64_t id = 100; id < 120; ++id) {
        scheduler->addRequest(makeRequest(id), 1'000, actions);
    }
    CHECK(scheduler->runningOn(findAction(actions, 2)->m_upstream->m_id).size() == 1);
    scheduler->finish(2, AttemptEnd::UpstreamLost, 1'010, actions);
    again.m_id = 3;
    actions.clear();
    scheduler->addRequest(again, 1'020, actions);
    REQUIRE(findAction(actions, 3) != nullptr);
    CHECK(findAction(actions, 3)->m_error == ErrorCode::PoisonRequest);
}

TEST_CASE("an innocent suspect is cleared when it finishes while isolated", "[scheduler]")
{
    const std::unique_ptr<Scheduler> scheduler = makeScheduler();
    Actions actions;
    scheduler->setTable(RouteTableBuilder().model("m").workspace("w").upstream("a").upstream("b").build(), 0, actions);
    scheduler->crashTracker().recordCrash(1, false, 0);
    scheduler->addRequest(makeRequest(1), 0, actions);
    for (std::int64_t now = 10; now < 1'000; now += 50) {
        scheduler->tick(now, actions);
    }
    REQUIRE(findAction(actions, 1) != nullptr);
    scheduler->finish(1, AttemptEnd::Finished, 1'000, actions);
    CHECK(scheduler->crashTracker().suspicionOf(1, 1'000) == CrashSuspicion::None);
    scheduler->crashTracker().merge(CrashRecord{1, 0, 1, 500, -1});
    CHECK(scheduler->crashTracker().suspicionOf(1, 1'000) == CrashSuspicion::None);
    CHECK(scheduler->isolatedUpstreams().size() <= 1);
    scheduler->tick(1'050, actions);
    CHECK(scheduler->isolatedUpstreams().empty());
}

TEST_CASE("the limit of an upstream that became warm is raised in steps", "[scheduler]")
{
    SchedulerSettings settings;
    settings.m_gateways = 4;
    const std::unique_ptr<Scheduler> scheduler = makeScheduler(settings);
    Actions actions;
    scheduler->setTable(RouteTableBuilder().model("m").workspace("w").upstream("u", 64, GroupPhase::Cold, "g2").build(), 0, actions);
    scheduler->setTable(RouteTableBuilder().model("m").workspace("w").upstream("u", 64, GroupPhase::Warm).build(), 100, actions);
    for (std::uint64_t id = 1; id <= 100; ++id) {
        scheduler->addRequest(makeRequest(id), 100, actions);
    }
    CHECK(dispatchCount(actions) == 1);
    scheduler->tick(1'150, actions);
    CHECK(dispatchCount(actions) == 4);
    scheduler->tick(20'000, actions);
    CHECK(dispatchCount(actions) == 64);
}

// Guards against a flood of an upstream that has just become warm: every gateway may send one request at once, however many gateways there are.
TEST_CASE("an upstream that has just become warm gets no more than it can take from all gateways", "[scheduler]")
{
    constexpr int Limit = 26;
    for (const int gateways : {8, 90, 410}) {
        CAPTURE(gateways);
        std::vector<std::string> names;
        for (int gateway = 0; gateway < gateways; ++gateway) {
            names.push_back("gateway-" + std::to_string(gateway));
        }
        int dispatched = 0;
        for (int gateway = 0; gateway < gateways; ++gateway) {
            SchedulerSettings settings;
            settings.m_self = names[static_cast<std::size_t>(gateway)];
            settings.m_gateways = gateways;
            settings.m_gatewayNames = names;
            const std::unique_ptr<Scheduler> scheduler = makeScheduler(settings);
            Actions actions;
            scheduler->setTable(RouteTableBuilder().model("m").workspace("w").upstream("u", Limit, GroupPhase::Cold, "another").build(), 0, actions);
            scheduler->setTable(RouteTableBuilder().model("m").workspace("w").upstream("u", Limit, GroupPhase::Warm).build(), 100, actions);
            scheduler->addRequest(makeRequest(1), 100, actions);
            dispatched += static_cast<int>(dispatchCount(actions));
        }
        CHECK(dispatched <= Limit);
        CHECK(dispatched > 0);
    }
}

// Guards against a gateway that never gets a part of an upstream that became warm, and against parts that are wrong once a gateway has gone.
TEST_CASE("every gateway soon has a part of an upstream that became warm", "[scheduler]")
{
    constexpr int Gateways = 410;
    std::vector<std::string> names;
    for (int gateway = 0; gateway < Gateways; ++gateway) {
        names.push_back("gateway-" + std::to_string(gateway));
    }
    const bool othersGo = GENERATE(false, true);
    int dispatched = 0;
    for (const std::string &name : names) {
        SchedulerSettings settings;
        settings.m_self = name;
        settings.m_gateways = Gateways;
        settings.m_gatewayNames = names;
        const std::unique_ptr<Scheduler> scheduler = makeScheduler(settings);
        Actions actions;
        scheduler->setTable(RouteTableBuilder().model("m").workspace("w").upstream("u", 26, GroupPhase::Cold, "another").build(), 0, actions);
        scheduler->setTable(RouteTableBuilder().model("m").workspace("w").upstream("u", 26, GroupPhase::Warm).build(), 100, actions);
        scheduler->addRequest(makeRequest(1), 100, actions);
        if (othersGo) {
            scheduler->setGateways({name});
            scheduler->tick(150, actions);
        } else {
            scheduler->tick(6'000, actions);
        }
        dispatched += static_cast<int>(dispatchCount(actions));
    }
    CHECK(dispatched == Gateways);
}

TEST_CASE("the list of available upstreams agrees with a scan of all of them", "[scheduler]")
{
    rc::prop("list of available upstreams against a scan", []() {
        const std::uint64_t seed = *rc::gen::arbitrary<std::uint64_t>();
        std::mt19937_64 random(seed);
        SchedulerSettings settings;
        settings.m_seed = seed;
        const std::unique_ptr<Scheduler> scheduler = makeScheduler(settings);
        Actions actions;
        std::set<std::uint64_t> running;
        std::uint64_t nextId = 0;
        std::int64_t now = 0;
        const int steps = *rc::gen::inRange(1, 150);
        for (int step = 0; step < steps; ++step) {
            now += static_cast<std::int64_t>(random() % 300);
            actions.clear();
            const std::string id(1, static_cast<char>('a' + random() % 6));
            switch (random() % 6) {
            case 0: {
                RouteTableBuilder maker = RouteTableBuilder().model("m").workspace("w");
                for (char name = 'a'; name < 'g'; ++name) {
                    if (random() % 4 != 0) {
                        const GroupPhase phase = random() % 3 == 0 ? GroupPhase::Cold : GroupPhase::Warm;
                        maker.upstream(std::string(1, name), 3, phase, random() % 2 == 0 ? "g1" : "g2", "z", 1 + random() % 3);
                    }
                }
                scheduler->setTable(maker.build(), now, actions);
                break;
            }
            case 1:
            case 2:
                scheduler->addRequest(makeRequest(++nextId), now, actions);
                break;
            case 3:
                if (!running.empty()) {
                    const std::uint64_t done = *running.begin();
                    running.erase(running.begin());
                    scheduler->finish(done, random() % 4 == 0 ? AttemptEnd::Refused : AttemptEnd::Finished, now, actions);
                }
                break;
            case 4:
                scheduler->report({id, 1 + random() % 3, static_cast<ReportKind>(random() % 5)}, now, actions);
                break;
            default:
                scheduler->tick(now, actions);
                break;
            }
            for (const Action &action : actions) {
                if (action.m_kind == ActionKind::Dispatch) {
                    running.insert(action.m_requestId);
                    RC_ASSERT(scheduler->mayDispatch(action.m_upstream->m_id, action.m_upstream->m_generation, now));
                }
            }
            Actions none;
            scheduler->tick(now, none);
            for (const Action &action : none) {
                if (action.m_kind == ActionKind::Dispatch) {
                    running.insert(action.m_requestId);
                }
            }
            int total = 0;
            for (const UpstreamState &state : scheduler->upstreams()) {
                const bool cold = state.m_info->m_phase == GroupPhase::Warm && now < state.m_coldUntilMs;
                const bool open = state.m_inTable && !cold && !state.m_leaving && now >= state.m_doubtUntilMs && now >= state.m_isolatedUntilMs;
                if (state.m_availableIndex >= 0) {
                    RC_ASSERT(open);
                }
                if (scheduler->waiting() > 0) {
                    RC_ASSERT(state.m_availableIndex < 0);
                }
                total += state.m_running;
            }
            RC_ASSERT(static_cast<std::size_t>(total) == running.size());
        }
    });
}
