// Tests in virtual time that orders which are carried out late, from any term of leadership, neither open a group whose members were given away nor keep
// engines out of service.

#include "simulation/enginecluster.h"

#include <catch2/catch.hpp>

using namespace knapweedslip;

namespace
{
/** How the term ends in which the late orders were sent. */
enum class TermEnd {
    /** The leader is killed and another daemon leads. */
    Killed,
    /** The leader is paused before it sends what it has decided, and another daemon leads. */
    Paused,
    /** The leader loses its term and leads again. */
    Returns,
    /** The term goes on. */
    None,
};

inline constexpr EnumNames<4> TermEndNames{"killed", "paused", "returns", "none"};

void endTerm(SimulatedCluster &cluster, TermEnd end)
{
    switch (end) {
    case TermEnd::Killed:
        cluster.newLeader();
        break;
    case TermEnd::Paused:
        cluster.pauseLeader();
        break;
    case TermEnd::Returns:
        cluster.returnOfLeader();
        break;
    case TermEnd::None:
        break;
    }
}

std::string firstViolation(const SimulatedCluster &cluster)
{
    return cluster.m_violations.empty() ? std::string() : cluster.m_violations.front();
}

int servingReplicas(const SimulatedCluster &cluster)
{
    return cluster.servingReplicas("big") + cluster.servingReplicas("small");
}

/** Carries out each held order of @p kind that would change the state of its engine, at the moments at which it does. */
void carryOutWhenFit(SimulatedCluster &cluster, EngineOrderKind kind)
{
    for (std::size_t i = 0; i < cluster.m_held.size();) {
        const EngineOrder &order = cluster.m_held[i].m_order;
        if (order.m_kind == kind && cluster.wouldAct(order)) {
            cluster.carryOutHeld(i);
        } else {
            ++i;
        }
    }
}

/** Holds the first order of @p kind to each engine. */
std::function<bool(const EngineOrder &)> holdFirst(EngineOrderKind kind)
{
    const std::shared_ptr<std::set<std::string>> held = std::make_shared<std::set<std::string>>();
    return [held, kind](const EngineOrder &order) {
        return order.m_kind == kind && held->insert(order.m_engine).second;
    };
}

struct TermRow
{
    TermEnd m_end;
    bool m_enforcesFencing;
};

const std::vector<TermRow> TermRows{{TermEnd::Killed, false},
                                    {TermEnd::Killed, true},
                                    {TermEnd::Paused, false},
                                    {TermEnd::Paused, true},
                                    {TermEnd::Returns, false},
                                    {TermEnd::Returns, true},
                                    {TermEnd::None, false},
                                    {TermEnd::None, true}};
}

#define CAPTURE_ROW(row) INFO("term " << enumName(TermEndNames, (row).m_end) << ", fencing " << (row).m_enforcesFencing)

// Guards against an open order of any term that is carried out after the group was closed, while its members are given away (TWO).
TEST_CASE("a late open order opens no group whose members join others", "[entry][keeper][late]")
{
    for (const TermRow &row : TermRows) {
        CAPTURE_ROW(row);
        SimulatedCluster cluster(5, 2, 9, row.m_enforcesFencing);
        cluster.m_holds = holdFirst(EngineOrderKind::Open);
        cluster.run(6'000);
        cluster.setServing();
        const int before = servingReplicas(cluster);
        REQUIRE(before >= 4);
        endTerm(cluster, row.m_end);
        cluster.m_holds = {};
        cluster.run(8'000);
        // The next join orders are not answered at first, so that the late order has the time to take effect.
        cluster.m_holds = holdFirst(EngineOrderKind::Join);
        cluster.m_beforeTick = [&cluster]() {
            carryOutWhenFit(cluster, EngineOrderKind::Open);
        };
        cluster.leave(cluster.m_engines.at(cluster.headOf("big")).m_members.at(2));
        cluster.run(16'000);
        CHECK(firstViolation(cluster) == "");
        CHECK(servingReplicas(cluster) >= before - 1);
    }
}

// Guards against two orders of an earlier term that put an adopted, serving group out of service for good: close puts its head back to ready, and nobody opened
// it again; leave takes a member out, so that the head accepts requests and finishes none.
TEST_CASE("a group that a late close or leave order of an earlier term put out of service serves again", "[entry][keeper][late]")
{
    struct Row
    {
        EngineOrderKind m_kind;
        /** Rank of the member that the leader cannot reach, so that it sends the order. */
        std::size_t m_unreachableRank;
    };
    const Row row = GENERATE(values<Row>({{EngineOrderKind::Close, 1}, {EngineOrderKind::Leave, 0}}));
    for (const TermRow &term : TermRows) {
        if (term.m_end == TermEnd::None) {
            continue;
        }
        INFO(enumName(EngineOrderKindNames, row.m_kind));
        CAPTURE_ROW(term);
        SimulatedCluster cluster(5, 1, 9, term.m_enforcesFencing);
        cluster.run(5'000);
        cluster.setServing();
        const int before = servingReplicas(cluster);
        const std::string unreachable = cluster.m_engines.at(cluster.headOf("big")).m_members.at(row.m_unreachableRank);
        cluster.m_holds = [&row](const EngineOrder &order) {
            return order.m_kind == row.m_kind;
        };
        cluster.m_engines.at(unreachable).m_unreachable = true;
        cluster.run(6'500);
        REQUIRE(!cluster.m_held.empty());
        cluster.m_engines.at(unreachable).m_unreachable = false;
        endTerm(cluster, term.m_end);
        cluster.m_holds = {};
        cluster.run(9'000);
        CHECK(servingReplicas(cluster) == before);
        carryOutWhenFit(cluster, row.m_kind);
        CHECK(servingReplicas(cluster) < before);
        cluster.run(12'000);
        CHECK(servingReplicas(cluster) == before);
        CHECK(firstViolation(cluster) == "");
    }
}

// Guards against a join order for a later group of an earlier term, carried out after the successor has opened the group that was found ready (TWO).
TEST_CASE("a late join order of an earlier term takes no engine out of an open group", "[entry][keeper][late]")
{
    for (const TermRow &row : TermRows) {
        CAPTURE_ROW(row);
        SimulatedCluster cluster(5, 1, 9, row.m_enforcesFencing);
        // While a group forms, a member cannot be reached. The group is given up for another one, whose join orders are held.
        std::string member;
        std::uint64_t givenUp = 0;
        cluster.m_beforeTick = [&cluster, &member, &givenUp]() {
            for (const std::pair<const std::string, FakeEngine> &entry : cluster.m_engines) {
                if (givenUp == 0 && entry.second.m_members.size() == 4) {
                    member = entry.second.m_members.back();
                    givenUp = entry.second.m_epoch;
                    cluster.m_engines.at(member).m_unreachable = cluster.m_engines.at(member).m_epoch == givenUp;
                }
            }
        };
        cluster.m_holds = [&givenUp](const EngineOrder &order) {
            return order.m_kind == EngineOrderKind::Join && givenUp > 0 && order.m_replica.m_epoch > givenUp;
        };
        cluster.run(5'000);
        REQUIRE(cluster.m_engines.at(member).m_unreachable);
        REQUIRE(!cluster.m_held.empty());
        cluster.m_engines.at(member).m_unreachable = false;
        endTerm(cluster, row.m_end);
        cluster.m_holds = {};
        cluster.m_beforeTick = [&cluster]() {
            const bool isOpen = !cluster.headOf("big").empty();
            if (isOpen) {
                carryOutWhenFit(cluster, EngineOrderKind::Join);
            }
        };
        cluster.run(12'000);
        CHECK(firstViolation(cluster) == "");
        CHECK(servingReplicas(cluster) >= 2);
    }
}

// Guards against a daemon that leads again and still believes that engines serve in no group, although another leader has opened theirs meanwhile (TWO).
TEST_CASE("a daemon that leads again believes nothing of its former term", "[entry][keeper][late]")
{
    const bool enforcesFencing = GENERATE(false, true);
    SimulatedCluster cluster(5, 1, 9, enforcesFencing);
    cluster.run(5'000);
    cluster.setServing();
    const std::string head = cluster.headOf("big");
    const std::vector<std::string> members = cluster.m_engines.at(head).m_members;
    // The group is closed and its members are free; their orders to join others are held.
    cluster.m_holds = [](const EngineOrder &order) {
        return order.m_kind == EngineOrderKind::Join;
    };
    cluster.m_engines.at(members.at(1)).m_unreachable = true;
    cluster.run(6'500);
    REQUIRE(cluster.headOf("big") != head);
    cluster.m_engines.at(members.at(1)).m_unreachable = false;
    cluster.m_held.clear();
    // Meanwhile another leader opens what it finds ready.
    std::unique_ptr<ReplicaReconciler> former = std::move(cluster.m_reconciler);
    cluster.newLeader();
    cluster.m_holds = {};
    cluster.run(10'000);
    cluster.m_reconciler = std::move(former);
    cluster.m_holds = [](const EngineOrder &order) {
        return order.m_kind == EngineOrderKind::Close;
    };
    cluster.returnOfLeader();
    cluster.run(12'000);
    cluster.m_holds = {};
    cluster.run(18'000);
    CHECK(firstViolation(cluster) == "");
    CHECK(cluster.servingReplicas("big") >= 1);
}

// Guards against a cure that costs service time where no order can be late: a closed group gives its members away with the answer to the close order.
TEST_CASE("members of a closed group are told to join others at once unless an earlier order may open it", "[entry][keeper][late]")
{
    struct Row
    {
        const char *m_description;
        TermEnd m_end;
        bool m_enforcesFencing;
        /** Round trips from the close order until all members have joined others: close, leave of the head, leave of the others, report, join. */
        int m_roundTrips;
    };
    constexpr std::int64_t RoundTripMs = 6;
    constexpr std::int64_t TickMs = 20;
    for (const Row &row : std::vector<Row>{{"same term", TermEnd::None, false, 2},
                                           {"same term, fencing", TermEnd::None, true, 2},
                                           {"another leader, fencing", TermEnd::Killed, true, 2},
                                           {"the same leader again, fencing", TermEnd::Returns, true, 2},
                                           {"another leader", TermEnd::Killed, false, 5},
                                           {"the same leader again", TermEnd::Returns, false, 5}}) {
        SimulatedCluster cluster(5, 1, 9, row.m_enforcesFencing);
        cluster.run(5'000);
        cluster.setServing();
        endTerm(cluster, row.m_end);
        cluster.run(7'000);
        const std::string head = cluster.headOf("big");
        std::vector<std::string> members = cluster.m_engines.at(head).m_members;
        const ReplicaRef replica = cluster.m_engines.at(head).m_entry.m_replica;
        std::int64_t closedMs = -1;
        std::int64_t joinedMs = -1;
        cluster.leave(members.back());
        members.pop_back();
        cluster.m_beforeTick = [&]() {
            const bool isOpen = cluster.m_engines.at(head).m_entry.m_phase == MemberPhase::Open;
            closedMs = closedMs < 0 && !isOpen ? cluster.m_time.nowMs() : closedMs;
            const bool haveJoined = std::all_of(members.begin(), members.end(), [&](const std::string &member) {
                return cluster.m_engines.at(member).m_epoch > replica.m_epoch;
            });
            joinedMs = joinedMs < 0 && haveJoined ? cluster.m_time.nowMs() : joinedMs;
        };
        cluster.run(9'000);
        INFO(row.m_description << ": closed at " << closedMs << ", all members have joined others at " << joinedMs);
        REQUIRE(closedMs >= 0);
        REQUIRE(joinedMs >= 0);
        CHECK(joinedMs - closedMs <= (row.m_roundTrips - 1) * (RoundTripMs + TickMs));
        CHECK(firstViolation(cluster) == "");
    }
}

// Guards against any combination of the above: each order that gets no answer is carried out at some moment at which it has an effect, however late.
TEST_CASE("no late order makes an engine serve in two groups under random faults and changes of the leader", "[entry][keeper][late]")
{
    const bool enforcesFencing = GENERATE(true, false);
    constexpr unsigned Seeds = 60;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        INFO("fencing " << enforcesFencing << ", seed " << seed);
        SimulatedCluster cluster(seed, 3, 9, enforcesFencing);
        cluster.m_closeKeepsOpening = seed % 2 == 0;
        cluster.m_mayOpenAfterLeaving = true;
        const double heldShare = 0.1 + 0.1 * (seed % 4);
        const auto happens = [&cluster](double share) {
            return std::uniform_real_distribution<double>()(cluster.m_random) < share;
        };
        cluster.m_holds = [happens, heldShare](const EngineOrder &) {
            return happens(heldShare);
        };
        cluster.m_beforeTick = [&cluster, happens]() {
            constexpr double ActShare = 0.05;
            for (std::size_t i = 0; i < cluster.m_held.size();) {
                if (cluster.wouldAct(cluster.m_held[i].m_order) && happens(ActShare)) {
                    cluster.carryOutHeld(i);
                } else {
                    ++i;
                }
            }
        };
        cluster.run(4'000);
        cluster.setServing();
        std::vector<std::string> ids;
        for (const std::pair<const std::string, FakeEngine> &entry : cluster.m_engines) {
            ids.push_back(entry.first);
        }
        std::vector<std::string> unreachable;
        for (int step = 0; step < 16; ++step) {
            const std::string &victim = ids[cluster.m_random() % ids.size()];
            switch (cluster.m_random() % 7) {
            case 0:
                cluster.restart(victim);
                break;
            case 1:
                cluster.newLeader();
                break;
            case 2:
                cluster.pauseLeader();
                break;
            case 3:
                cluster.returnOfLeader();
                break;
            case 4:
                for (const std::string &id : unreachable) {
                    cluster.m_engines.at(id).m_unreachable = false;
                }
                unreachable = cluster.m_engines.at(victim).m_members;
                unreachable.resize(std::min<std::size_t>(unreachable.size(), 1 + cluster.m_random() % 4));
                for (const std::string &id : unreachable) {
                    cluster.m_engines.at(id).m_unreachable = true;
                }
                break;
            default:
                cluster.leave(victim);
                break;
            }
            cluster.run(cluster.m_time.nowMs() + 200 + static_cast<std::int64_t>(cluster.m_random() % 1'500));
        }
        cluster.m_holds = {};
        for (const std::string &id : unreachable) {
            cluster.m_engines.at(id).m_unreachable = false;
        }
        cluster.run(cluster.m_time.nowMs() + 16'000);
        CHECK(firstViolation(cluster) == "");
        CHECK(servingReplicas(cluster) >= 2);
    }
}
