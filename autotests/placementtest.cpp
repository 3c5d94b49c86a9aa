#include "kernel/placement.h"
#include "kernel/lease.h"
#include "kernel/registry.h"
#include "kernel/serviceplacement.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace knapweedslip;

namespace
{
/** A fabric domain whose engines carry out orders at once. */
struct Domain
{
    Plan m_plan;
    PlacementInput m_input;
    PlacementRule m_rule;

    Domain(const std::string &rule, int vms, int groupVms, int groups)
        : m_rule(valueOf(findPlugin<PlacementRule>(rule)))
    {
        ModelPlan model;
        model.m_name = "m";
        model.m_version = "1";
        model.m_groupVms = groupVms;
        m_plan.m_models = {model};
        m_input.m_record.m_domain = "d";
        m_input.m_record.m_fence = 1;
        m_input.m_wanted["m"] = groups;
        m_input.m_gateways = {"g1", "g2"};
        m_input.m_maxLoads = 100;
        for (int i = 0; i < vms; ++i) {
            VmState vm;
            vm.m_vm = "v" + std::to_string(i);
            vm.m_bootId = vm.m_vm + "-1";
            vm.m_alive = true;
            m_input.m_vms.push_back(vm);
        }
    }

    VmState &vm(int i)
    {
        return m_input.m_vms[static_cast<std::size_t>(i)];
    }

    PlacementResult step()
    {
        m_input.m_plan = &m_plan;
        PlacementResult result = placeDomain(m_rule, m_input);
        m_input.m_record = result.m_record;
        for (const Order &order : result.m_orders) {
            const auto it = std::find_if(m_input.m_vms.begin(), m_input.m_vms.end(), [&](const VmState &state) {
                return state.m_vm == order.m_vm;
            });
            it->m_group = order.m_kind == OrderKind::Join ? order.m_group : std::string();
            it->m_generation = order.m_generation;
            it->m_loaded = order.m_kind == OrderKind::Join ? order.m_loaded : it->m_loaded;
        }
        return result;
    }

    void settle()
    {
        for (int i = 0; i < 10; ++i) {
            step();
        }
    }

    int count(GroupPhase phase) const
    {
        return static_cast<int>(std::count_if(m_input.m_record.m_groups.begin(), m_input.m_record.m_groups.end(), [phase](const GroupRecord &group) {
            return group.m_phase == phase;
        }));
    }
};
}

TEST_CASE("groups are formed, get their orders and become warm", "[placement]")
{
    Domain domain("regroup", 9, 4, 2);
    domain.settle();
    CHECK(domain.count(GroupPhase::Warm) == 2);
    CHECK(findDuplicateVm(domain.m_input.m_record).empty());
    const PlacementResult again = domain.step();
    CHECK_FALSE(again.m_changed);
    CHECK(again.m_orders.empty());
}

TEST_CASE("a group with a cold member is cold and one gateway has its cold grant", "[placement]")
{
    Domain domain("regroup", 4, 4, 1);
    domain.settle();
    domain.vm(2).m_cold = true;
    domain.step();
    const GroupRecord &group = domain.m_input.m_record.m_groups.front();
    CHECK(group.m_phase == GroupPhase::Cold);
    const std::string holder = group.m_coldHolder;
    CHECK((holder == "g1" || holder == "g2"));
    domain.m_input.m_gateways = {holder == "g1" ? "g2" : "g1"};
    domain.step();
    CHECK(domain.m_input.m_record.m_groups.front().m_coldHolder != holder);
    domain.vm(2).m_cold = false;
    domain.step();
    CHECK(domain.count(GroupPhase::Warm) == 1);
}

TEST_CASE("each rule keeps the expected number of groups warm after VMs fail", "[placement]")
{
    struct Row
    {
        const char *m_rule;
        int m_vms;
        std::vector<int> m_dead;
        int m_warm;
    };
    const std::vector<Row> rows{
        {"dissolve", 9, {0}, 2},
        {"spare", 9, {0}, 2},
        {"regroup", 9, {0}, 2},
        {"spare", 8, {0, 4}, 0},
        {"regroup", 8, {0, 4}, 1},
        {"dissolve", 8, {0, 4}, 1},
        {"spare", 8, {0}, 1},
        {"regroup", 12, {0, 4, 8}, 2},
    };
    for (const Row &row : rows) {
        INFO(row.m_rule << " " << row.m_vms << " VMs, " << row.m_dead.size() << " dead");
        Domain domain(row.m_rule, row.m_vms, 4, row.m_vms / 4);
        domain.settle();
        REQUIRE(domain.count(GroupPhase::Warm) == row.m_vms / 4);
        for (const int dead : row.m_dead) {
            domain.vm(dead).m_alive = false;
        }
        const PlacementResult first = domain.step();
        CHECK(first.m_changed);
        domain.settle();
        CHECK(domain.count(GroupPhase::Warm) == row.m_warm);
        CHECK(findDuplicateVm(domain.m_input.m_record).empty());
        for (const int dead : row.m_dead) {
            domain.vm(dead).m_alive = true;
            domain.vm(dead).m_bootId += "x";
            domain.vm(dead).m_group.clear();
            domain.vm(dead).m_loaded.clear();
        }
        domain.settle();
        CHECK(domain.count(GroupPhase::Warm) == row.m_vms / 4);
    }
}

TEST_CASE("a restarted member counts as another process, and its group is formed again", "[placement]")
{
    Domain domain("regroup", 4, 4, 1);
    domain.settle();
    const std::uint64_t generation = domain.m_input.m_record.m_groups.front().m_generation;
    domain.vm(1).m_bootId = "v1-2";
    domain.vm(1).m_group.clear();
    domain.step();
    CHECK(domain.count(GroupPhase::Warm) == 0);
    domain.settle();
    CHECK(domain.count(GroupPhase::Warm) == 1);
    CHECK(domain.m_input.m_record.m_groups.front().m_generation > generation);
}

TEST_CASE("a group drains before a leaving or drained VM is removed from it", "[placement]")
{
    for (const bool leaving : {true, false}) {
        INFO((leaving ? "leaving" : "drained"));
        Domain domain("regroup", 5, 4, 1);
        domain.settle();
        if (leaving) {
            domain.vm(1).m_leaving = true;
        } else {
            domain.m_plan.m_drainedVms = {"v1"};
        }
        domain.step();
        REQUIRE(domain.count(GroupPhase::Draining) == 1);
        const std::uint64_t generation = domain.m_input.m_record.m_groups.front().m_generation;
        domain.vm(0).m_idleMs = DrainIdleMs - 1;
        domain.settle();
        CHECK(domain.count(GroupPhase::Draining) == 1);
        CHECK(domain.m_input.m_record.m_groups.front().m_generation == generation);
        domain.vm(0).m_idleMs = DrainIdleMs;
        domain.settle();
        CHECK(domain.count(GroupPhase::Warm) == 1);
        for (const MemberRecord &member : domain.m_input.m_record.m_groups.front().m_members) {
            CHECK(member.m_vm != "v1");
        }
    }
}

TEST_CASE("a group that is no longer wanted drains before it is dissolved", "[placement]")
{
    Domain domain("regroup", 8, 4, 2);
    domain.settle();
    domain.m_input.m_wanted["m"] = 1;
    domain.step();
    CHECK(domain.count(GroupPhase::Draining) == 1);
    CHECK(domain.count(GroupPhase::Warm) == 1);
    for (VmState &vm : domain.m_input.m_vms) {
        vm.m_idleMs = DrainIdleMs;
    }
    domain.settle();
    CHECK(domain.m_input.m_record.m_groups.size() == 1);
    CHECK(std::count_if(domain.m_input.m_vms.begin(),
                        domain.m_input.m_vms.end(),
                        [](const VmState &vm) {
                            return vm.m_group.empty();
                        })
          == 4);
}

TEST_CASE("the limit on concurrent weight loads is kept, the group with fewest loads comes first", "[placement]")
{
    Domain domain("regroup", 8, 4, 2);
    domain.m_input.m_maxLoads = 1;
    domain.step();
    for (int i = 4; i < 7; ++i) {
        domain.vm(i).m_loaded = "m@1";
    }
    const PlacementResult result = domain.step();
    REQUIRE(result.m_orders.size() == 4);
    CHECK(result.m_orders.front().m_group == domain.m_input.m_record.m_groups[1].m_id);
}

TEST_CASE("a lease is counted from the sending of the renewal and ends early", "[placement]")
{
    const LeaseTimes times{6'000, 2'000, 1'000};
    struct Row
    {
        Lease m_lease;
        std::uint64_t m_fence;
        std::int64_t m_now;
        bool m_valid;
        bool m_mayOrder;
    };
    const std::vector<Row> rows{
        {{true, 1, 0, 10'000}, 1, 13'999, true, true},
        {{true, 1, 0, 10'000}, 1, 14'000, false, false},
        {{true, 1, 10'000, 10'000}, 1, 10'999, true, false},
        {{true, 1, 10'000, 10'000}, 1, 11'000, true, true},
        {{false, 1, 0, 10'000}, 1, 10'000, false, false},
        {{true, 3, 0, 10'000}, 1, 11'000, true, false},
    };
    for (const Row &row : rows) {
        CHECK(isLeaseValid(row.m_lease, times, row.m_now) == row.m_valid);
        CHECK(maySendOrder(row.m_lease, times, row.m_fence, row.m_now) == row.m_mayOrder);
    }
}

TEST_CASE("service VMs are cold after a start, warm later, and drain before they leave", "[placement]")
{
    Domain domain("regroup", 2, 1, 0);
    ServicePlan service;
    service.m_name = "s";
    domain.m_input.m_plan = &domain.m_plan;
    const auto step = [&]() {
        domain.m_input.m_record = placeService(service, domain.m_input).m_record;
    };
    step();
    CHECK(domain.count(GroupPhase::Cold) == 2);
    CHECK_FALSE(domain.m_input.m_record.m_groups.front().m_coldHolder.empty());
    step();
    CHECK(domain.count(GroupPhase::Warm) == 2);
    domain.vm(0).m_leaving = true;
    const std::uint64_t generation = domain.m_input.m_record.m_groups.front().m_generation;
    step();
    CHECK(domain.count(GroupPhase::Draining) == 1);
    CHECK(domain.m_input.m_record.m_groups.front().m_generation == generation);
    domain.vm(0).m_leaving = false;
    domain.vm(0).m_bootId = "other";
    step();
    CHECK(domain.m_input.m_record.m_groups.front().m_phase == GroupPhase::Cold);
    CHECK(domain.m_input.m_record.m_groups.front().m_generation > generation);
    domain.vm(1).m_alive = false;
    step();
    CHECK(domain.count(GroupPhase::Broken) == 1);
}

TEST_CASE("groups are distributed over zones and fit their domains", "[placement]")
{
    Plan plan;
    ModelPlan model;
    model.m_name = "m";
    model.m_groupVms = 4;
    model.m_groups = 6;
    plan.m_models = {model};
    const std::map<std::string, std::map<std::string, int>> shares =
        distributeGroups(plan, {{"a", "z1", 9}, {"b", "z1", 9}, {"c", "z2", 9}, {"d", "z2", 3}, {"e", "z3", 9}});
    int total = 0;
    for (const std::pair<const std::string, std::map<std::string, int>> &share : shares) {
        CHECK(share.second.at("m") <= 2);
        total += share.second.at("m");
    }
    CHECK(total == 6);
    CHECK(shares.count("d") == 0);
    CHECK(shares.at("c").at("m") == 2);
    CHECK(shares.at("e").at("m") == 2);
}
