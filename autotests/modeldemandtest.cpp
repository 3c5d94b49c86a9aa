// Tests the average demand of each model, and that engines without a model are divided by it.

#include "kernel/modeldemand.h"
#include "autotests/entryfixtures.h"
#include "simulation/enginecluster.h"

#include <catch2/catch.hpp>

using namespace knapweedslip;

namespace
{
constexpr std::int64_t SampleMs = 50;

/** Records @p slots from @p fromMs on until @p untilMs. */
void recordFor(ModelDemand &demand, const std::map<std::string, double> &slots, std::int64_t fromMs, std::int64_t untilMs)
{
    for (std::int64_t nowMs = fromMs; nowMs <= untilMs; nowMs += SampleMs) {
        demand.record(slots, nowMs);
    }
}

const std::vector<ServedModel> &models()
{
    static const CallService service = engineServiceFixture();
    return service.m_engines->m_models;
}

int engineCount(const SimulatedCluster &cluster, const std::string &model)
{
    int count = 0;
    for (const std::pair<const std::string, FakeEngine> &entry : cluster.m_engines) {
        const FakeEngine &engine = entry.second;
        count += !engine.m_dead && engine.m_successor.empty() && replicaModel(engine.m_entry.m_replica.m_name) == model;
    }
    return count;
}
}

// Guards against a new leader that takes the demand for low because its average starts at 0, and that divides engines by a single large request.
TEST_CASE("the demand of a new leader is known after 3 s, and the configured shares count until then", "[entry][demand]")
{
    ModelDemand demand;
    recordFor(demand, {{"big", 20.0}, {"small", 60.0}}, 100'000, 102'900);
    CHECK(demand.slots().empty());
    CHECK(demand.shares(models()).empty());
    recordFor(demand, {{"big", 20.0}, {"small", 60.0}}, 102'950, 103'100);
    CHECK(demand.slots().at("big") == Approx(20.0));
    CHECK(demand.slots().at("small") == Approx(60.0));
    demand.reset();
    CHECK(demand.slots().empty());
}

// Guards against engines that follow a burst of a second (customers send three times their usual traffic at once).
TEST_CASE("the average follows a change of the demand with a time constant of 10 s", "[entry][demand]")
{
    struct Row
    {
        const char *m_description;
        std::int64_t m_afterMs;
        double m_expected;
    };
    for (const Row &row : std::vector<Row>{{"a second later", 1'000, 21.9}, {"one time constant later", 10'000, 32.6}, {"a minute later", 60'000, 39.95}}) {
        CAPTURE(row.m_description);
        ModelDemand demand;
        recordFor(demand, {{"big", 20.0}}, 0, 100'000);
        recordFor(demand, {{"big", 40.0}}, 100'050, 100'000 + row.m_afterMs);
        CHECK(demand.slots().at("big") == Approx(row.m_expected).margin(0.1));
    }
}

// Guards against replicas of a model that nobody asks for at the moment being given up, and against division by a demand of 0.
TEST_CASE("shares add up to 1 and a model without requests keeps a part of its configured share", "[entry][demand]")
{
    ModelDemand demand;
    recordFor(demand, {{"big", 30.0}, {"unknown", 30.0}}, 0, 20'000);
    const std::map<std::string, double> shares = demand.shares(models());
    REQUIRE(shares.size() == 2);
    CHECK(shares.at("small") == Approx(0.043));
    CHECK(shares.at("big") == Approx(0.957));
    recordFor(demand, {}, 20'050, 120'000);
    CHECK(demand.shares(models()).empty());
}

// Guards against missing load reports (a leader that is cut off for a while) whose last value counts for all of the time.
TEST_CASE("a sample counts for no longer than load reports are valid", "[entry][demand]")
{
    ModelDemand demand;
    recordFor(demand, {{"big", 20.0}}, 0, 30'000);
    demand.record({{"big", 200.0}}, 90'000);
    CHECK(demand.slots().at("big") < 45.0);
}

// Answers the load of two customers with uneven demand: engines that come back without weights are divided by what is asked for, not by the configuration.
TEST_CASE("engines without a model are assigned by the demand, or by the configured shares while there is none", "[entry][demand][keeper]")
{
    struct Row
    {
        const char *m_description;
        std::map<std::string, double> m_shares;
        int m_leastBig;
        int m_mostBig;
    };
    const std::vector<Row> rows{
        {"no demand", {}, 24, 36}, {"mostly big", {{"big", 0.9}, {"small", 0.1}}, 37, 54}, {"mostly small", {{"big", 0.1}, {"small", 0.9}}, 0, 23}};
    for (const Row &row : rows) {
        CAPTURE(row.m_description);
        SimulatedCluster cluster(1, 6, 9);
        cluster.m_reconciler->setDemand({row.m_shares, {}, {}});
        cluster.run(5'000);
        CHECK(cluster.m_violations.empty());
        CHECK(engineCount(cluster, "big") + engineCount(cluster, "small") == 54);
        CHECK(engineCount(cluster, "big") >= row.m_leastBig);
        CHECK(engineCount(cluster, "big") <= row.m_mostBig);
        // Engines that have their weights stay with their model, whatever the demand.
        const int before = engineCount(cluster, "big");
        cluster.m_reconciler->setDemand({{{"big", 0.5}, {"small", 0.5}}, {}, {}});
        cluster.run(10'000);
        CHECK(engineCount(cluster, "big") == before);
    }
}

// Guards against demand that was measured in an earlier term: the leader measures anew, and the configured shares count until then.
TEST_CASE("a new term begins without demand", "[entry][demand][keeper]")
{
    SimulatedCluster cluster(1, 6, 9);
    cluster.m_reconciler->setDemand({{{"big", 0.9}, {"small", 0.1}}, {}, {}});
    cluster.returnOfLeader();
    cluster.run(5'000);
    CHECK(cluster.servingReplicas("big") == 6);
    CHECK(cluster.servingReplicas("small") == 9);
}
