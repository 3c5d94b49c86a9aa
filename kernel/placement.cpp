// Problem: keep as many serving groups complete as the VMs allow, although members can crash, turn cold, leave and restart at any time.
// Approach: compare the record with the reports of the engines, mark groups that lost a member as broken, let the configured rule repair them, form
// new groups from the remaining VMs, and send an order to every engine whose report differs from the record.
// Reacting to single events would go wrong when an event is lost. Comparing states does not depend on events.

#include "kernel/placement.h"

#include "kernel/hashing.h"

#include <algorithm>
#include <set>

namespace knapweedslip
{
namespace
{
const VmState *findVm(const std::vector<VmState> &vms, const std::string &name)
{
    const auto it = std::find_if(vms.begin(), vms.end(), [&](const VmState &vm) {
        return vm.m_vm == name;
    });
    return it == vms.end() ? nullptr : &*it;
}

std::string weightsName(const GroupRecord &group)
{
    return group.m_model + "@" + group.m_version;
}

/** Returns true if the engine process that joined as @p member is still running. */
bool isMemberAlive(const MemberRecord &member, const PlacementInput &input)
{
    const VmState *vm = findVm(input.m_vms, member.m_vm);
    return vm != nullptr && vm->m_alive && vm->m_bootId == member.m_bootId;
}

/** Returns true if the member is alive and may stay in its group. */
bool canMemberStay(const MemberRecord &member, const PlacementInput &input)
{
    return isMemberAlive(member, input) && isAvailable(*findVm(input.m_vms, member.m_vm), *input.m_plan);
}

/**
 * Returns true if @p group can be dissolved: it is in a phase without requests, or it is draining, has finished its requests, and all gateways know
 * that it takes no new ones.
 */
bool isDrained(const GroupRecord &group, const PlacementInput &input)
{
    if (group.m_phase == GroupPhase::Cold || group.m_phase == GroupPhase::Warm) {
        return false;
    }
    if (group.m_phase != GroupPhase::Draining || group.m_members.empty()) {
        return true;
    }
    const VmState *first = findVm(input.m_vms, group.m_members.front().m_vm);
    return first == nullptr || first->m_idleMs >= DrainIdleMs;
}

bool memberJoined(const GroupRecord &group, const MemberRecord &member, const PlacementInput &input)
{
    const VmState *vm = findVm(input.m_vms, member.m_vm);
    return vm != nullptr && vm->m_group == group.m_id && vm->m_generation == group.m_generation && !vm->m_loading && vm->m_loaded == weightsName(group);
}

bool anyMember(const GroupRecord &group, const PlacementInput &input, bool (*test)(const VmState &))
{
    return std::any_of(group.m_members.begin(), group.m_members.end(), [&](const MemberRecord &member) {
        const VmState *vm = findVm(input.m_vms, member.m_vm);
        return vm != nullptr && test(*vm);
    });
}

std::string chooseColdHolder(const GroupRecord &group, const PlacementInput &input)
{
    std::string holder;
    std::uint64_t best = 0;
    for (const std::string &gateway : input.m_gateways) {
        const std::uint64_t weight = rendezvousWeight(group.m_id, gateway);
        if (holder.empty() || weight > best) {
            holder = gateway;
            best = weight;
        }
    }
    return holder;
}

/** Sets the phase of a complete group from the reports of its members. */
void updatePhase(GroupRecord &group, const PlacementInput &input)
{
    const bool joined = std::all_of(group.m_members.begin(), group.m_members.end(), [&](const MemberRecord &member) {
        return memberJoined(group, member, input);
    });
    if (!joined) {
        group.m_phase = GroupPhase::Forming;
        group.m_coldHolder.clear();
        return;
    }
    const bool cold = anyMember(group, input, [](const VmState &vm) {
        return vm.m_cold;
    });
    group.m_phase = cold ? GroupPhase::Cold : GroupPhase::Warm;
    if (!cold) {
        group.m_coldHolder.clear();
        return;
    }
    const bool holderLives = std::find(input.m_gateways.begin(), input.m_gateways.end(), group.m_coldHolder) != input.m_gateways.end();
    if (!holderLives) {
        group.m_coldHolder = chooseColdHolder(group, input);
    }
}

void markBroken(DomainRecord &record, GroupRecord &group)
{
    group.m_phase = GroupPhase::Broken;
    group.m_coldHolder.clear();
    group.m_generation = ++record.m_lastGeneration;
}

void dropLostMembers(DomainRecord &record, const PlacementInput &input)
{
    for (GroupRecord &group : record.m_groups) {
        const bool allAlive = std::all_of(group.m_members.begin(), group.m_members.end(), [&](const MemberRecord &member) {
            return isMemberAlive(member, input);
        });
        const bool allMayStay = std::all_of(group.m_members.begin(), group.m_members.end(), [&](const MemberRecord &member) {
            return canMemberStay(member, input);
        });
        if (allMayStay) {
            continue;
        }
        if (allAlive && !isDrained(group, input)) {
            group.m_phase = GroupPhase::Draining;
            group.m_coldHolder.clear();
            continue;
        }
        const auto lost = std::remove_if(group.m_members.begin(), group.m_members.end(), [&](const MemberRecord &member) {
            return !canMemberStay(member, input);
        });
        group.m_members.erase(lost, group.m_members.end());
        markBroken(record, group);
    }
}

void dropUnwantedGroups(DomainRecord &record, const PlacementInput &input)
{
    std::map<std::string, int> left = input.m_wanted;
    const auto unwanted = std::remove_if(record.m_groups.begin(), record.m_groups.end(), [&](GroupRecord &group) {
        const ModelPlan *model = findModel(*input.m_plan, group.m_model);
        const bool stillWanted = model != nullptr && model->m_version == group.m_version && left[group.m_model]-- > 0;
        if (stillWanted || isDrained(group, input)) {
            return !stillWanted;
        }
        group.m_phase = GroupPhase::Draining;
        group.m_coldHolder.clear();
        return false;
    });
    record.m_groups.erase(unwanted, record.m_groups.end());
}

std::vector<VmState> findSpares(const DomainRecord &record, const PlacementInput &input)
{
    std::set<std::string> used;
    for (const GroupRecord &group : record.m_groups) {
        for (const MemberRecord &member : group.m_members) {
            used.insert(member.m_vm);
        }
    }
    std::vector<VmState> spares;
    for (const VmState &vm : input.m_vms) {
        if (isAvailable(vm, *input.m_plan) && used.count(vm.m_vm) == 0) {
            spares.push_back(vm);
        }
    }
    std::sort(spares.begin(), spares.end(), [](const VmState &a, const VmState &b) {
        return a.m_vm < b.m_vm;
    });
    return spares;
}

std::string freeGroupId(const DomainRecord &record, const std::string &model)
{
    for (int number = 1;; ++number) {
        std::string id = record.m_domain + "/" + model + "/" + std::to_string(number);
        const bool taken = std::any_of(record.m_groups.begin(), record.m_groups.end(), [&](const GroupRecord &group) {
            return group.m_id == id;
        });
        if (!taken) {
            return id;
        }
    }
}

void formNewGroups(DomainRecord &record, std::vector<VmState> &spares, const PlacementInput &input)
{
    for (const ModelPlan &model : input.m_plan->m_models) {
        const auto wanted = input.m_wanted.find(model.m_name);
        int missing = wanted == input.m_wanted.end() ? 0 : wanted->second;
        for (const GroupRecord &group : record.m_groups) {
            missing -= group.m_model == model.m_name ? 1 : 0;
        }
        const std::size_t size = static_cast<std::size_t>(model.m_groupVms);
        // VMs that already have the weights in memory come first, since they need no load.
        std::stable_partition(spares.begin(), spares.end(), [&model](const VmState &vm) {
            return vm.m_loaded == model.m_name + "@" + model.m_version;
        });
        for (; missing > 0 && spares.size() >= size; --missing) {
            GroupRecord group;
            group.m_id = freeGroupId(record, model.m_name);
            group.m_generation = ++record.m_lastGeneration;
            group.m_model = model.m_name;
            group.m_version = model.m_version;
            for (std::size_t i = 0; i < size; ++i) {
                group.m_members.push_back({spares[i].m_vm, spares[i].m_address, spares[i].m_bootId});
            }
            spares.erase(spares.begin(), spares.begin() + static_cast<std::ptrdiff_t>(size));
            record.m_groups.push_back(std::move(group));
        }
    }
}

void updateGroup(GroupRecord &group, const PlacementInput &input)
{
    if (group.m_phase == GroupPhase::Draining) {
        return;
    }
    const ModelPlan *model = findModel(*input.m_plan, group.m_model);
    const bool complete = model != nullptr && group.m_members.size() == static_cast<std::size_t>(model->m_groupVms);
    if (!complete) {
        group.m_phase = GroupPhase::Broken;
        group.m_coldHolder.clear();
        return;
    }
    updatePhase(group, input);
}

Order makeJoinOrder(const GroupRecord &group, std::size_t rank, const PlacementInput &input)
{
    Order order;
    order.m_kind = OrderKind::Join;
    order.m_vm = group.m_members[rank].m_vm;
    order.m_address = group.m_members[rank].m_address;
    order.m_bootId = group.m_members[rank].m_bootId;
    order.m_fence = input.m_record.m_fence;
    order.m_group = group.m_id;
    order.m_generation = group.m_generation;
    order.m_rank = static_cast<int>(rank);
    order.m_loaded = weightsName(group);
    for (const MemberRecord &member : group.m_members) {
        order.m_peerAddresses.push_back(member.m_address);
    }
    return order;
}

struct GroupOrders
{
    std::vector<Order> m_orders;
    int m_loads = 0;
};

GroupOrders makeJoinOrders(const GroupRecord &group, const PlacementInput &input)
{
    GroupOrders orders;
    for (std::size_t rank = 0; rank < group.m_members.size(); ++rank) {
        const VmState *vm = findVm(input.m_vms, group.m_members[rank].m_vm);
        const bool joined = vm != nullptr && vm->m_group == group.m_id && vm->m_generation == group.m_generation;
        if (vm == nullptr || !vm->m_alive || joined) {
            continue;
        }
        orders.m_loads += vm->m_loaded == weightsName(group) ? 0 : 1;
        orders.m_orders.push_back(makeJoinOrder(group, rank, input));
    }
    return orders;
}

/**
 * Appends the join orders of complete groups, groups with the fewest loads first. Once the number of loads allowed at the same time is reached, groups
 * that need a load must wait. The group that reaches the number may exceed it.
 */
void orderJoins(const DomainRecord &record, const PlacementInput &input, std::vector<Order> &orders)
{
    std::vector<GroupOrders> groups;
    for (const GroupRecord &group : record.m_groups) {
        if (group.m_phase == GroupPhase::Forming) {
            groups.push_back(makeJoinOrders(group, input));
        }
    }
    std::stable_sort(groups.begin(), groups.end(), [](const GroupOrders &a, const GroupOrders &b) {
        return a.m_loads < b.m_loads;
    });
    const std::ptrdiff_t loading = std::count_if(input.m_vms.begin(), input.m_vms.end(), [](const VmState &vm) {
        return vm.m_loading;
    });
    int allowed = input.m_maxLoads - static_cast<int>(loading);
    for (const GroupOrders &group : groups) {
        if (group.m_loads > 0 && allowed <= 0) {
            continue;
        }
        allowed -= group.m_loads;
        orders.insert(orders.end(), group.m_orders.begin(), group.m_orders.end());
    }
}

void orderReleases(const DomainRecord &record, const PlacementInput &input, std::vector<Order> &orders)
{
    for (const VmState &vm : input.m_vms) {
        const bool member = std::any_of(record.m_groups.begin(), record.m_groups.end(), [&](const GroupRecord &group) {
            return std::any_of(group.m_members.begin(), group.m_members.end(), [&](const MemberRecord &m) {
                return m.m_vm == vm.m_vm;
            });
        });
        if (vm.m_alive && !vm.m_group.empty() && !member) {
            Order order;
            order.m_kind = OrderKind::Release;
            order.m_vm = vm.m_vm;
            order.m_address = vm.m_address;
            order.m_bootId = vm.m_bootId;
            order.m_fence = input.m_record.m_fence;
            orders.push_back(std::move(order));
        }
    }
}
}

bool isAvailable(const VmState &vm, const Plan &plan)
{
    const bool drained = std::find(plan.m_drainedVms.begin(), plan.m_drainedVms.end(), vm.m_vm) != plan.m_drainedVms.end();
    return vm.m_alive && !vm.m_leaving && !drained;
}

PlacementResult placeDomain(const PlacementRule &rule, const PlacementInput &input)
{
    PlacementResult result;
    result.m_record = input.m_record;
    dropUnwantedGroups(result.m_record, input);
    dropLostMembers(result.m_record, input);
    std::vector<VmState> spares = findSpares(result.m_record, input);
    rule.m_repair(result.m_record, spares, input);
    formNewGroups(result.m_record, spares, input);
    for (GroupRecord &group : result.m_record.m_groups) {
        updateGroup(group, input);
    }
    result.m_changed = encodeDomainRecord(result.m_record) != encodeDomainRecord(input.m_record);
    if (!result.m_changed) {
        orderReleases(result.m_record, input, result.m_orders);
        orderJoins(result.m_record, input, result.m_orders);
    }
    return result;
}

std::map<std::string, std::map<std::string, int>> distributeGroups(const Plan &plan, const std::vector<DomainCapacity> &domains)
{
    std::map<std::string, std::map<std::string, int>> shares;
    std::vector<DomainCapacity> free = domains;
    std::map<std::string, int> zoneGroups;
    for (const ModelPlan &model : plan.m_models) {
        for (int group = 0; group < model.m_groups; ++group) {
            // Of the domains that have enough free VMs, takes one in the zone with the fewest groups, so that models are spread over zones. Of several
            // such domains, takes the one with the most free VMs.
            const auto best = std::min_element(free.begin(), free.end(), [&](const DomainCapacity &a, const DomainCapacity &b) {
                const bool aFits = a.m_vms >= model.m_groupVms;
                const bool bFits = b.m_vms >= model.m_groupVms;
                if (aFits != bFits) {
                    return aFits;
                }
                const int aGroups = zoneGroups[a.m_availabilityZone];
                const int bGroups = zoneGroups[b.m_availabilityZone];
                if (aGroups != bGroups) {
                    return aGroups < bGroups;
                }
                return a.m_vms != b.m_vms ? a.m_vms > b.m_vms : a.m_domain < b.m_domain;
            });
            if (best == free.end() || best->m_vms < model.m_groupVms) {
                break;
            }
            best->m_vms -= model.m_groupVms;
            ++zoneGroups[best->m_availabilityZone];
            ++shares[best->m_domain][model.m_name];
        }
    }
    return shares;
}
}
