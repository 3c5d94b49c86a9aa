// Tests in virtual time that spare engines are moved to the model that is short, and that no fault on the way costs a serving group or an engine.

#include "kernel/replicamoves.h"
#include "kernel/modeldemand.h"
#include "simulation/enginecluster.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace knapweedslip;

namespace
{
/** Slots of a replica that may be occupied so that first events come in time. */
constexpr double SlotsPerReplica = 20.0;
constexpr std::int64_t LoadMs = 12'000;

/**
 * Three domains of nine engines, each in a zone of its own. d0: three small groups. d1: a big and a small group and a spare of each. d2: two big groups and a
 * spare. The leader measures what is offered.
 */
struct MovingCluster
{
    explicit MovingCluster(unsigned seed, bool enforcesFencing = true, int domains = 3)
        : m_cluster(seed, domains, 9, enforcesFencing)
    {
        m_cluster.run(5'000);
        m_cluster.setServing();
        m_cluster.m_loadMs = LoadMs;
        m_cluster.m_keptModels = 2;
        m_cluster.m_beforeTick = [this]() {
            beforeTick();
        };
    }

    void beforeTick()
    {
        const std::vector<ServedModel> models = engineServiceFixture().m_engines->m_models;
        m_demand.record(m_offered, m_cluster.m_time.nowMs());
        m_cluster.m_reconciler->setDemand({m_demand.shares(models), m_demand.slots(), {{"big", SlotsPerReplica}, {"small", SlotsPerReplica}}});
        const std::ptrdiff_t loading = std::count_if(m_cluster.m_engines.begin(), m_cluster.m_engines.end(), [](const auto &entry) {
            return !entry.second.m_dead && !entry.second.m_loadingModel.empty();
        });
        m_mostLoads = std::max(m_mostLoads, loading);
        if (m_eachTick) {
            m_eachTick();
        }
    }

    /** Another daemon leads, which has measured nothing. */
    void newLeader()
    {
        m_demand.reset();
        m_cluster.newLeader();
    }

    void runFor(std::int64_t durationMs)
    {
        m_cluster.run(m_cluster.m_time.nowMs() + durationMs);
    }

    /** Runs until a move has begun, at most for @p limitMs, and returns whether one has. */
    bool runUntilMove(std::int64_t limitMs)
    {
        const std::int64_t endMs = m_cluster.m_time.nowMs() + limitMs;
        const int before = count(MoveState::Begun);
        while (m_cluster.m_time.nowMs() < endMs && count(MoveState::Begun) == before) {
            runFor(20);
        }
        return count(MoveState::Begun) > before;
    }

    int count(MoveState state) const
    {
        return static_cast<int>(std::count_if(m_cluster.m_moves.begin(), m_cluster.m_moves.end(), [state](const MoveEvent &event) {
            return event.m_state == state;
        }));
    }

    /** Ends two members of the big group of d1, so that its three other engines are spares without a group. Returns the ended ones. */
    std::vector<std::string> breakBigGroup()
    {
        std::vector<std::string> ended;
        for (const std::pair<const std::string, FakeEngine> &entry : m_cluster.m_engines) {
            const bool isMember = entry.second.m_entry.m_domain == "d1" && entry.second.m_members.size() == 4;
            if (isMember && ended.size() < 2) {
                ended.push_back(entry.first);
            }
        }
        for (const std::string &id : ended) {
            m_cluster.kill(id);
        }
        return ended;
    }

    std::string firstViolation() const
    {
        return m_cluster.m_violations.empty() ? std::string() : m_cluster.m_violations.front();
    }

    SimulatedCluster m_cluster;
    ModelDemand m_demand;
    std::map<std::string, double> m_offered{{"big", 14.0}, {"small", 35.0}};
    /** Most engines that loaded weights at the same time. */
    std::ptrdiff_t m_mostLoads = 0;
    std::function<void()> m_eachTick;
};

/** Demand at which the small model is above 0.8 of its four groups' capacity and the big one below 0.6 of its two groups'. */
const std::map<std::string, double> SmallIsShort{{"big", 14.0}, {"small", 70.0}};
/** The leader begins no moves earlier in its term. */
constexpr std::int64_t TermPauseMs = MoveHistory::PauseMs + 1'000;
/** The demand is averaged over 10 s and has to be uneven for 3 s. */
constexpr std::int64_t MoveBeginsWithinMs = 15'000;
/** Loads, warm-up (1,600 ms), opening (300 ms) and the ticks and reports between them. */
constexpr std::int64_t MoveServesWithinMs = LoadMs + 1'600 + 300 + 600;
}

// Answers a demand for one model that doubles, while an engine of it restarts and two of the other model have died: the idle engines serve it in one load time.
TEST_CASE("spares serve the model whose demand doubles while engines come and go", "[entry][moves][keeper]")
{
    MovingCluster moving(1);
    SimulatedCluster &cluster = moving.m_cluster;
    moving.runFor(TermPauseMs);
    moving.breakBigGroup();
    moving.runFor(10'000);
    CHECK(moving.count(MoveState::Begun) == 0);
    REQUIRE(cluster.servingReplicas("big") == 2);
    REQUIRE(cluster.servingReplicas("small") == 4);
    moving.m_offered = SmallIsShort;
    cluster.restart("e100");
    moving.runFor(1'000);
    REQUIRE(moving.runUntilMove(MoveBeginsWithinMs));
    CHECK(cluster.m_moves.back().m_move.m_domain == "d1");
    CHECK(cluster.m_moves.back().m_move.m_from == "big");
    CHECK(cluster.m_moves.back().m_move.m_engines.size() == 3);
    moving.runFor(MoveServesWithinMs);
    CHECK(moving.count(MoveState::Joined) == 1);
    CHECK(cluster.servingReplicas("small") == 5);
    // The moved engine that the new group does not need is a spare of its new model, so that it can join within 200 ms.
    CHECK(std::count_if(cluster.m_engines.begin(),
                        cluster.m_engines.end(),
                        [](const auto &entry) {
                            return entry.second.m_entry.m_domain == "d1" && !entry.second.m_dead
                                   && replicaModel(entry.second.m_entry.m_replica.m_name) == "small";
                        })
          == 7);
    CHECK(cluster.servingReplicas("big") == 2);
    moving.runFor(60'000);
    CHECK(cluster.m_moves.size() == 2);
    CHECK(moving.firstViolation() == "");
}

// Guards against moves at each burst: they cost loads and take the spares that repair groups.
TEST_CASE("demand that swings quickly moves nothing", "[entry][moves][keeper]")
{
    const std::int64_t halfPeriodMs = GENERATE(500, 1'000, 2'000);
    MovingCluster moving(1);
    moving.m_offered = {{"big", 22.5}, {"small", 45.0}};
    moving.runFor(TermPauseMs);
    moving.breakBigGroup();
    moving.runFor(10'000);
    for (int swing = 0; swing < 30; ++swing) {
        moving.m_offered =
            swing % 2 == 0 ? std::map<std::string, double>{{"big", 5.0}, {"small", 80.0}} : std::map<std::string, double>{{"big", 40.0}, {"small", 10.0}};
        moving.runFor(halfPeriodMs);
    }
    CHECK(moving.m_cluster.m_moves.empty());
    CHECK(moving.firstViolation() == "");
}

// Guards against a spare that is taken from a group which then cannot replace a lost member.
TEST_CASE("no move takes the last spare of a domain that has a group of the model", "[entry][moves][keeper]")
{
    // Of eight big engines in two groups and one spare of a domain, two die: one group and three spares remain, as many as a small group needs.
    MovingCluster moving(1, true, 6);
    SimulatedCluster &cluster = moving.m_cluster;
    const std::string head = cluster.headOf("big");
    const std::vector<std::string> members = cluster.m_engines.at(head).m_members;
    moving.runFor(TermPauseMs);
    cluster.kill(members.at(1));
    cluster.kill(members.at(2));
    moving.m_offered = {{"big", 10.0}, {"small", 300.0}};
    moving.runFor(40'000);
    CHECK(cluster.servingReplicas("big") == 5);
    CHECK(cluster.m_moves.empty());
}

// Guards against moves that are begun for the loss of a zone and leave the returning engines without use, and against more loads than the weight store takes.
TEST_CASE("a zone that leaves and comes back cold during a move gets its groups back", "[entry][moves][keeper]")
{
    const bool movesDuringOutage = GENERATE(false, true);
    MovingCluster moving(1);
    SimulatedCluster &cluster = moving.m_cluster;
    moving.runFor(TermPauseMs);
    if (movesDuringOutage) {
        moving.breakBigGroup();
        moving.runFor(5'000);
    }
    std::vector<std::string> zone;
    for (const std::pair<const std::string, FakeEngine> &entry : cluster.m_engines) {
        if (entry.second.m_entry.m_domain == "d0") {
            zone.push_back(entry.first);
        }
    }
    for (const std::string &id : zone) {
        cluster.kill(id);
    }
    moving.runFor(8'000);
    CHECK(moving.count(MoveState::Begun) == (movesDuringOutage ? 1 : 0));
    for (const std::string &id : zone) {
        cluster.m_engines.at(id).m_entry.m_stagedModels.clear();
        cluster.restart(id);
    }
    // Nine loads, of which six run at once, after those of the move.
    moving.runFor(3 * LoadMs + MoveServesWithinMs);
    CHECK(moving.count(MoveState::Joined) == (movesDuringOutage ? 1 : 0));
    CHECK(cluster.servingReplicas("big") >= (movesDuringOutage ? 2 : 3));
    CHECK(cluster.servingReplicas("big") + cluster.servingReplicas("small") == 7);
    CHECK(moving.m_mostLoads <= 6);
    CHECK(moving.firstViolation() == "");
}

// Guards against engines that a dead leader left with the weights of both models, and against its orders that are carried out under its successor.
TEST_CASE("the successor of a leader that ends in the middle of a move finishes it", "[entry][moves][keeper][late]")
{
    enum class End {
        Killed,
        Paused,
        Returns,
    };
    struct Row
    {
        End m_end;
        /** Time from the begin of the move to the end of the leader. */
        std::int64_t m_afterMs;
    };
    const bool enforcesFencing = GENERATE(false, true);
    const Row row = GENERATE(values<Row>({{End::Killed, 100},
                                          {End::Killed, LoadMs / 2},
                                          {End::Killed, LoadMs + 100},
                                          {End::Paused, LoadMs / 2},
                                          {End::Paused, LoadMs - 360},
                                          {End::Returns, LoadMs / 2},
                                          {End::Returns, LoadMs + 100}}));
    INFO("fencing " << enforcesFencing << ", end " << static_cast<int>(row.m_end) << " after " << row.m_afterMs);
    MovingCluster moving(1, enforcesFencing);
    SimulatedCluster &cluster = moving.m_cluster;
    cluster.m_lateLoadsAct = true;
    moving.runFor(TermPauseMs);
    moving.breakBigGroup();
    moving.runFor(5'000);
    moving.m_offered = SmallIsShort;
    // The first order to load weights to one of the engines gets no answer and is carried out late.
    bool isHeld = false;
    cluster.m_holds = [&isHeld](const EngineOrder &order) {
        const bool holds = !isHeld && order.m_kind == EngineOrderKind::Stage;
        isHeld = isHeld || holds;
        return holds;
    };
    REQUIRE(moving.runUntilMove(MoveBeginsWithinMs));
    moving.runFor(row.m_afterMs);
    moving.m_demand.reset();
    if (row.m_end == End::Killed) {
        cluster.newLeader();
    } else if (row.m_end == End::Paused) {
        cluster.pauseLeader();
    } else {
        cluster.returnOfLeader();
    }
    moving.runFor(3'000);
    while (!cluster.m_held.empty()) {
        cluster.carryOutHeld(0);
    }
    int leastBig = 2;
    moving.m_eachTick = [&cluster, &leastBig]() {
        leastBig = std::min(leastBig, cluster.servingReplicas("big"));
    };
    moving.runFor(MoveHistory::PauseMs + MoveServesWithinMs + LoadMs);
    CHECK(cluster.servingReplicas("small") == 5);
    CHECK(leastBig == 2);
    CHECK(moving.firstViolation() == "");
    if (row.m_end == End::Returns) {
        CHECK(moving.count(MoveState::Begun) == moving.count(MoveState::Joined) + moving.count(MoveState::TermEnded));
    }
}

// Guards against a daemon that leads again and assigns engines as it knew them before another leader moved them: after the death of a member, the rest of the
// group would wait as spares of the other model.
TEST_CASE("a daemon that leads again learns which engines were moved meanwhile", "[entry][moves][keeper][late]")
{
    const bool enforcesFencing = GENERATE(false, true);
    MovingCluster moving(1, enforcesFencing);
    SimulatedCluster &cluster = moving.m_cluster;
    moving.breakBigGroup();
    moving.runFor(5'000);
    std::unique_ptr<ReplicaReconciler> former = std::move(cluster.m_reconciler);
    moving.newLeader();
    moving.m_offered = SmallIsShort;
    REQUIRE(moving.runUntilMove(TermPauseMs));
    const std::vector<std::string> moved = cluster.m_moves.back().m_move.m_engines;
    moving.runFor(MoveServesWithinMs);
    REQUIRE(cluster.servingReplicas("small") == 5);
    cluster.m_reconciler = std::move(former);
    moving.m_demand.reset();
    cluster.returnOfLeader();
    moving.runFor(5'000);
    cluster.kill(moved.front());
    moving.runFor(5'000);
    CHECK(cluster.servingReplicas("small") == 5);
    CHECK(cluster.servingReplicas("big") == 2);
    CHECK(moving.firstViolation() == "");
}

// Guards against a fault in a move that costs the model that gives a group, or that keeps the loads of others waiting for good.
TEST_CASE("a move ends when a load fails or an engine is lost, and its engines serve their model again", "[entry][moves][keeper]")
{
    enum class Fault {
        LoadRefused,
        LoadNeverEnds,
        EngineDies,
        EngineRestarts,
        EngineLeaves,
        /** The engines that died come back and need the engines that are being moved for their group. */
        GroupReturns,
    };
    struct Row
    {
        const char *m_description;
        Fault m_fault;
        MoveState m_state;
        /** Engines of the former big group that are left. */
        int m_left;
    };
    const Row row = GENERATE(values<Row>({{"load refused", Fault::LoadRefused, MoveState::LoadFailed, 5},
                                          {"load never ends", Fault::LoadNeverEnds, MoveState::LoadFailed, 5},
                                          {"engine dies", Fault::EngineDies, MoveState::EngineLost, 4},
                                          {"engine restarts", Fault::EngineRestarts, MoveState::EngineLost, 5},
                                          {"engine leaves", Fault::EngineLeaves, MoveState::EngineLost, 4},
                                          {"group returns", Fault::GroupReturns, MoveState::EngineNeeded, 5}}));
    CAPTURE(row.m_description);
    MovingCluster moving(1);
    SimulatedCluster &cluster = moving.m_cluster;
    moving.runFor(TermPauseMs);
    const std::vector<std::string> ended = moving.breakBigGroup();
    moving.runFor(5'000);
    moving.m_offered = SmallIsShort;
    if (row.m_fault == Fault::LoadNeverEnds) {
        cluster.m_loadMs = 10'000'000;
    }
    REQUIRE(moving.runUntilMove(MoveBeginsWithinMs));
    const std::string engine = cluster.m_moves.back().m_move.m_engines.at(1);
    std::int64_t waitMs = 2'000;
    moving.runFor(1'000);
    if (row.m_fault == Fault::LoadRefused) {
        // The load has begun; the engine says so when it is asked about it again.
        cluster.m_engines.at(engine).m_refusesLoads = true;
        cluster.m_engines.at(engine).m_loadingModel.clear();
        waitMs = LoadMs;
    } else if (row.m_fault == Fault::LoadNeverEnds) {
        // Three times the configured time.
        waitMs = 3 * LoadMs;
    } else if (row.m_fault == Fault::EngineDies) {
        cluster.kill(engine);
    } else if (row.m_fault == Fault::EngineRestarts) {
        cluster.restart(engine);
    } else if (row.m_fault == Fault::EngineLeaves) {
        cluster.leave(engine);
    } else if (row.m_fault == Fault::GroupReturns) {
        cluster.restart(ended.at(0));
        cluster.restart(ended.at(1));
    }
    moving.runFor(waitMs);
    REQUIRE(cluster.m_moves.size() == 2);
    CHECK(enumName(MoveStateNames, cluster.m_moves.back().m_state) == enumName(MoveStateNames, row.m_state));
    CHECK(cluster.servingReplicas("small") == 4);
    // No further move.
    moving.m_offered = {};
    moving.m_demand.reset();
    // Loads of the move that have ended or are given up do not hold up others: six of the nine engines of a zone that comes back cold load at once.
    moving.runFor(LoadMs);
    cluster.m_loadMs = LoadMs;
    moving.m_mostLoads = 0;
    for (std::pair<const std::string, FakeEngine> &entry : cluster.m_engines) {
        entry.second.m_loadingModel.clear();
        if (entry.second.m_entry.m_domain == "d0") {
            cluster.kill(entry.first);
        }
    }
    moving.runFor(8'000);
    for (std::pair<const std::string, FakeEngine> &entry : cluster.m_engines) {
        if (entry.second.m_entry.m_domain == "d0") {
            entry.second.m_entry.m_stagedModels.clear();
            cluster.restart(entry.first);
        }
    }
    moving.runFor(6'000);
    CHECK(moving.m_mostLoads == 6);
    // The engines that died come back, and the big group forms again.
    if (row.m_fault != Fault::GroupReturns) {
        cluster.restart(ended.at(0));
        cluster.restart(ended.at(1));
    }
    moving.runFor(4'000);
    CHECK(cluster.servingReplicas("big") == 3);
    CHECK(cluster.servingReplicas("small") == 1);
    CHECK(moving.firstViolation() == "");
}

// Guards against a combination of the faults above: no engine is in two groups and no group opens without all members.
TEST_CASE("moves keep the rules under random faults, late orders and changes of the leader", "[entry][moves][keeper][late]")
{
    const bool enforcesFencing = GENERATE(true, false);
    constexpr unsigned Seeds = 25;
    int begun = 0;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        INFO("fencing " << enforcesFencing << ", seed " << seed);
        MovingCluster moving(seed, enforcesFencing);
        SimulatedCluster &cluster = moving.m_cluster;
        cluster.m_lateLoadsAct = true;
        cluster.m_mayOpenAfterLeaving = true;
        cluster.m_closeKeepsOpening = seed % 2 == 0;
        cluster.m_keptModels = 1 + seed % 2;
        cluster.m_loadMs = 4'000;
        const auto happens = [&cluster](double share) {
            return std::uniform_real_distribution<double>()(cluster.m_random) < share;
        };
        moving.m_eachTick = [&cluster, happens]() {
            for (std::size_t i = 0; i < cluster.m_held.size();) {
                if (cluster.wouldAct(cluster.m_held[i].m_order) && happens(0.05)) {
                    cluster.carryOutHeld(i);
                } else {
                    ++i;
                }
            }
        };
        moving.breakBigGroup();
        std::vector<std::string> ids;
        for (const std::pair<const std::string, FakeEngine> &entry : cluster.m_engines) {
            ids.push_back(entry.first);
        }
        for (int term = 0; term < 3; ++term) {
            moving.m_offered =
                seed % 3 == 0 ? std::map<std::string, double>{{"big", 200.0}, {"small", 5.0}} : std::map<std::string, double>{{"big", 5.0}, {"small", 200.0}};
            moving.runFor(TermPauseMs);
            cluster.m_holds = [happens](const EngineOrder &) {
                return happens(0.2);
            };
            for (int step = 0; step < 6; ++step) {
                moving.runFor(200 + static_cast<std::int64_t>(cluster.m_random() % 3'000));
                const std::string &victim = ids[cluster.m_random() % ids.size()];
                if (cluster.m_random() % 3 == 0) {
                    cluster.kill(victim);
                } else {
                    cluster.restart(victim);
                }
            }
            cluster.m_holds = {};
            moving.m_demand.reset();
            if (term == 0) {
                moving.newLeader();
            } else if (term == 1) {
                cluster.pauseLeader();
            } else {
                cluster.returnOfLeader();
            }
        }
        moving.runFor(16'000);
        begun += moving.count(MoveState::Begun);
        CHECK(moving.firstViolation() == "");
        CHECK(cluster.servingReplicas("big") + cluster.servingReplicas("small") >= 2);
    }
    CHECK(begun >= 10);
}

// Guards against a threshold that is not the one of the page (docs/design/overload.md, part E).
TEST_CASE("a move needs a model that is short and another that has plenty", "[entry][moves]")
{
    struct Row
    {
        const char *m_description;
        ModelSupply m_from;
        ModelSupply m_to;
        std::int64_t m_lastsMs;
        bool m_allowed;
    };
    const std::vector<Row> rows{{"above 0.8, at once", {20, 20, 2, 2}, {33, 20, 2, 2}, 0, true},
                                {"not above 0.8", {20, 20, 2, 2}, {29, 20, 2, 2}, 60'000, false},
                                {"1.5 times for 3 s", {10, 20, 2, 2}, {15, 20, 2, 2}, 3'000, true},
                                {"1.5 times for less", {10, 20, 2, 2}, {15, 20, 2, 2}, 2'900, false},
                                {"the other has no plenty", {24, 20, 2, 2}, {60, 20, 2, 2}, 60'000, false},
                                {"a group is being formed", {20, 20, 2, 2}, {33, 20, 2, 3}, 0, false},
                                {"no group to serve with", {0, 20, 0, 1}, {60, 20, 2, 2}, 60'000, false},
                                {"no groups at all", {20, 20, 2, 2}, {1, 20, 0, 0}, 0, true},
                                {"no demand", {0, 20, 2, 2}, {0, 20, 2, 2}, 60'000, false}};
    for (const Row &row : rows) {
        CAPTURE(row.m_description);
        MoveConditions conditions;
        conditions.update({{"from", row.m_from}, {"to", row.m_to}}, 1'000);
        conditions.update({{"from", row.m_from}, {"to", row.m_to}}, 1'000 + row.m_lastsMs);
        CHECK(conditions.allows("from", "to", 1'000 + row.m_lastsMs) == row.m_allowed);
        CHECK_FALSE(conditions.allows("to", "from", 1'000 + row.m_lastsMs));
    }
}

// Guards against engines that are moved back and forth, and against loads that fail and are begun again at once.
TEST_CASE("engines are not moved back within 30 s, and a failed move is not repeated within 30 s", "[entry][moves]")
{
    struct Row
    {
        const char *m_description;
        MoveState m_state;
        std::string m_from;
        std::string m_to;
        std::string m_domain;
        std::int64_t m_afterMs;
        bool m_allowed;
    };
    const std::vector<Row> rows{{"back", MoveState::Joined, "small", "big", "d0", 29'999, false},
                                {"back later", MoveState::Joined, "small", "big", "d0", 30'000, true},
                                {"again", MoveState::Joined, "big", "small", "d0", 0, true},
                                {"again after a failure", MoveState::LoadFailed, "big", "small", "d0", 29'999, false},
                                {"another domain", MoveState::LoadFailed, "big", "small", "d1", 0, true}};
    for (const Row &row : rows) {
        CAPTURE(row.m_description);
        MoveHistory history;
        history.record({"d0", "big", "small", {}, 0}, row.m_state, 5'000);
        CHECK(history.allows(row.m_domain, row.m_from, row.m_to, 5'000 + row.m_afterMs) == row.m_allowed);
    }
}
