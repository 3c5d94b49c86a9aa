// Problem: a plain service that has just started must not be overloaded, and it drains like any other upstream.
// Approach: each of its VMs is a group with a single member in a record of the service, so that gateways treat both kinds of upstreams alike.
// If each gateway probed for itself, gateways would disagree on which VMs are cold, and eight gateways would send eight times the cold load.

#include "kernel/serviceplacement.h"

#include "kernel/hashing.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
GroupPhase phaseOf(const VmState &vm, const GroupRecord &group, const Plan &plan)
{
    if (!isAvailable(vm, plan)) {
        return GroupPhase::Draining;
    }
    const bool sameProcess = !group.m_members.empty() && group.m_members.front().m_bootId == vm.m_bootId;
    return vm.m_cold || !sameProcess ? GroupPhase::Cold : GroupPhase::Warm;
}

std::string coldHolderFor(const GroupRecord &group, const std::vector<std::string> &gateways)
{
    if (std::find(gateways.begin(), gateways.end(), group.m_coldHolder) != gateways.end()) {
        return group.m_coldHolder;
    }
    const auto best = std::max_element(gateways.begin(), gateways.end(), [&](const std::string &a, const std::string &b) {
        return rendezvousWeight(group.m_id, a) < rendezvousWeight(group.m_id, b);
    });
    return best == gateways.end() ? std::string() : *best;
}

GroupRecord placeVm(DomainRecord &record, const GroupRecord &old, const VmState &vm, const PlacementInput &input)
{
    GroupRecord group = old;
    if (!vm.m_alive) {
        group.m_phase = GroupPhase::Broken;
        group.m_members.clear();
        group.m_coldHolder.clear();
        return group;
    }
    group.m_phase = phaseOf(vm, old, *input.m_plan);
    const bool replaced = old.m_members.empty() || old.m_members.front().m_bootId != vm.m_bootId;
    if (replaced) {
        group.m_generation = ++record.m_lastGeneration;
    }
    group.m_members = {MemberRecord{vm.m_vm, vm.m_address, vm.m_bootId}};
    group.m_coldHolder = group.m_phase == GroupPhase::Cold ? coldHolderFor(group, input.m_gateways) : std::string();
    return group;
}
}

std::string serviceDomain(const std::string &name)
{
    return "service/" + name;
}

PlacementResult placeService(const ServicePlan &service, const PlacementInput &input)
{
    PlacementResult result;
    result.m_record = input.m_record;
    result.m_record.m_groups.clear();
    for (const VmState &vm : input.m_vms) {
        GroupRecord old;
        old.m_id = service.m_name + "/" + vm.m_vm;
        old.m_model = service.m_name;
        for (const GroupRecord &group : input.m_record.m_groups) {
            old = group.m_id == old.m_id ? group : old;
        }
        result.m_record.m_groups.push_back(placeVm(result.m_record, old, vm, input));
    }
    result.m_changed = encodeDomainRecord(result.m_record) != encodeDomainRecord(input.m_record);
    return result;
}
}
