// Problem: the placement rules must be compared by group downtime and idle accelerators over hours of failures.
// Approach: simulate one fabric domain in steps of one second, with the real placement code and engines that load, warm up, fail and return at
// random times.

#include "kernel/placement.h"
#include "kernel/registry.h"
#include "tools/experiment.h"

#include <random>

namespace knapweedslip
{
namespace
{
constexpr int GroupVms = 4;
constexpr int Groups = 4;
constexpr int Spares = 2;
constexpr int RunSeconds = 6 * 3'600;
constexpr int LoadSeconds = 60;
constexpr int ColdSeconds = 30;
constexpr int MaxLoads = 4;
/** Mean seconds between failures of one VM and until its return, and the fraction of failures that hit up to four VMs of the domain. */
constexpr double MeanUpSeconds = 4.0 * 3'600.0;
constexpr double MeanDownSeconds = 1'200.0;
constexpr double RackFailureFraction = 0.1;

/** Times in s since the start of the run: end of loading, of the cold phase and of a failure, and start of the next failure. */
struct EngineTimes
{
    int m_loadedAt = 0;
    int m_warmAt = 0;
    int m_upAt = 0;
    int m_downAt = 0;
};

struct DomainSimulation
{
    Plan m_plan;
    PlacementInput m_input;
    std::vector<EngineTimes> m_times;
    std::mt19937_64 m_random;

    explicit DomainSimulation(std::uint64_t seed)
        : m_random(seed)
    {
        ModelPlan model;
        model.m_name = "m";
        model.m_version = "1";
        model.m_groupVms = GroupVms;
        m_plan.m_models = {model};
        m_input.m_plan = &m_plan;
        m_input.m_wanted["m"] = Groups;
        m_input.m_gateways = {"g"};
        m_input.m_maxLoads = MaxLoads;
        m_input.m_record.m_domain = "d";
        for (int i = 0; i < GroupVms * Groups + Spares; ++i) {
            VmState vm;
            vm.m_vm = "v" + std::to_string(100 + i);
            vm.m_bootId = vm.m_vm;
            vm.m_alive = true;
            m_input.m_vms.push_back(vm);
            m_times.push_back({0, 0, 0, drawSeconds(MeanUpSeconds)});
        }
    }

    int drawSeconds(double mean)
    {
        return 1 + static_cast<int>(std::exponential_distribution<double>(1.0 / mean)(m_random));
    }

    void stopVm(std::size_t i, int now)
    {
        m_input.m_vms[i].m_alive = false;
        m_times[i].m_upAt = now + drawSeconds(MeanDownSeconds);
        m_times[i].m_downAt = m_times[i].m_upAt + drawSeconds(MeanUpSeconds);
    }

    void restartVm(std::size_t i)
    {
        VmState &vm = m_input.m_vms[i];
        vm.m_alive = true;
        vm.m_bootId = vm.m_vm + "-" + std::to_string(m_random());
        vm.m_group.clear();
        vm.m_generation = 0;
        vm.m_loaded.clear();
    }

    void advance(int now)
    {
        for (std::size_t i = 0; i < m_input.m_vms.size(); ++i) {
            VmState &vm = m_input.m_vms[i];
            if (vm.m_alive && now >= m_times[i].m_downAt) {
                const bool rack = std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < RackFailureFraction;
                for (std::size_t j = i; j < std::min(m_input.m_vms.size(), i + (rack ? 4 : 1)); ++j) {
                    stopVm(j, now);
                }
            } else if (!vm.m_alive && now >= m_times[i].m_upAt) {
                restartVm(i);
            }
            vm.m_loading = vm.m_alive && now < m_times[i].m_loadedAt;
            vm.m_cold = vm.m_alive && now < m_times[i].m_warmAt;
        }
    }

    void applyOrders(const std::vector<Order> &orders, int now)
    {
        for (const Order &order : orders) {
            for (std::size_t i = 0; i < m_input.m_vms.size(); ++i) {
                VmState &vm = m_input.m_vms[i];
                if (vm.m_vm != order.m_vm) {
                    continue;
                }
                vm.m_group = order.m_kind == OrderKind::Join ? order.m_group : std::string();
                vm.m_generation = order.m_generation;
                if (order.m_kind == OrderKind::Join && vm.m_loaded != order.m_loaded) {
                    vm.m_loaded = order.m_loaded;
                    m_times[i].m_loadedAt = now + LoadSeconds;
                }
                m_times[i].m_warmAt = std::max(now, m_times[i].m_loadedAt) + ColdSeconds;
            }
        }
    }
};

std::vector<std::string> placementVariants()
{
    return {"dissolve", "spare", "regroup"};
}

Figures runPlacement(const std::string &variant, std::uint64_t seed)
{
    const Result<PlacementRule> rule = findPlugin<PlacementRule>(variant);
    DomainSimulation run(seed);
    double downtime = 0.0;
    double stranded = 0.0;
    for (int now = 0; now < RunSeconds; ++now) {
        run.advance(now);
        const PlacementResult result = placeDomain(valueOf(rule), run.m_input);
        run.m_input.m_record = result.m_record;
        run.applyOrders(result.m_orders, now);
        int warm = 0;
        for (const GroupRecord &group : result.m_record.m_groups) {
            warm += group.m_phase == GroupPhase::Warm ? 1 : 0;
        }
        int alive = 0;
        for (const VmState &vm : run.m_input.m_vms) {
            alive += vm.m_alive ? 1 : 0;
        }
        downtime += Groups - warm;
        stranded += std::max(0, alive - warm * GroupVms);
    }
    constexpr double SecondsPerHour = 3'600.0;
    return {{"group_downtime_s_per_hour", downtime / RunSeconds * SecondsPerHour}, {"stranded_accelerator_s_per_hour", stranded / RunSeconds * SecondsPerHour}};
}

const Registration<Experiment>
    Placement({"placement", "group downtime and stranded accelerators over hours of failures, by rule", placementVariants, runPlacement});
}
}
