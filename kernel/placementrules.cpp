// Problem: a group that lost a member is down until it is complete again. The choice of VMs decides how long that takes and how many groups are
// affected.
// Approach: three rules, registered by name. 'dissolve' is the baseline: it dissolves a broken group and forms a new one. 'spare' replaces the lost
// member by a spare VM. 'regroup' does the same, and when there are not enough spares it completes the group that misses the fewest members with
// members of the group that misses the most, so that as few accelerators as possible are idle in broken groups.
// Waiting for the lost VM would keep all other members idle until it returns.

#include "kernel/placement.h"
#include "kernel/registry.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
std::size_t missingMembers(const GroupRecord &group, const Plan &plan)
{
    const ModelPlan *model = findModel(plan, group.m_model);
    const std::size_t size = model == nullptr ? 0 : static_cast<std::size_t>(model->m_groupVms);
    return size > group.m_members.size() ? size - group.m_members.size() : 0;
}

/** Removes and returns a spare that already has the weights of @p group in memory, or else the first spare. @p spares must not be empty. */
MemberRecord takeSpare(std::vector<VmState> &spares, const GroupRecord &group)
{
    const std::string weights = group.m_model + "@" + group.m_version;
    auto it = std::find_if(spares.begin(), spares.end(), [&](const VmState &vm) {
        return vm.m_loaded == weights;
    });
    if (it == spares.end()) {
        it = spares.begin();
    }
    MemberRecord member{it->m_vm, it->m_address, it->m_bootId};
    spares.erase(it);
    return member;
}

void dissolve(DomainRecord &record, std::vector<VmState> &spares, const PlacementInput &input)
{
    for (const GroupRecord &group : record.m_groups) {
        if (missingMembers(group, *input.m_plan) == 0) {
            continue;
        }
        for (const MemberRecord &member : group.m_members) {
            const auto vm = std::find_if(input.m_vms.begin(), input.m_vms.end(), [&](const VmState &state) {
                return state.m_vm == member.m_vm;
            });
            spares.push_back(*vm);
        }
    }
    const auto broken = std::remove_if(record.m_groups.begin(), record.m_groups.end(), [&](const GroupRecord &group) {
        return missingMembers(group, *input.m_plan) > 0;
    });
    record.m_groups.erase(broken, record.m_groups.end());
}

std::vector<GroupRecord *> brokenGroups(DomainRecord &record, const Plan &plan)
{
    std::vector<GroupRecord *> broken;
    for (GroupRecord &group : record.m_groups) {
        if (missingMembers(group, plan) > 0) {
            broken.push_back(&group);
        }
    }
    std::stable_sort(broken.begin(), broken.end(), [&](const GroupRecord *a, const GroupRecord *b) {
        return missingMembers(*a, plan) < missingMembers(*b, plan);
    });
    return broken;
}

bool holdsWeights(const VmState &vm, const GroupRecord &group)
{
    return vm.m_loaded == group.m_model + "@" + group.m_version;
}

/** Completes broken groups from spares, groups with the fewest missing members first. If @p loadedOnly is set, uses only spares that need no load. */
void completeFromSpares(DomainRecord &record, std::vector<VmState> &spares, const PlacementInput &input, bool loadedOnly)
{
    for (GroupRecord *group : brokenGroups(record, *input.m_plan)) {
        const std::size_t missing = missingMembers(*group, *input.m_plan);
        const std::ptrdiff_t fitting = std::count_if(spares.begin(), spares.end(), [&](const VmState &vm) {
            return !loadedOnly || holdsWeights(vm, *group);
        });
        if (missing > static_cast<std::size_t>(fitting)) {
            continue;
        }
        for (std::size_t i = 0; i < missing; ++i) {
            group->m_members.push_back(takeSpare(spares, *group));
        }
        group->m_generation = ++record.m_lastGeneration;
        group->m_phase = GroupPhase::Forming;
    }
}

void repairFromSpares(DomainRecord &record, std::vector<VmState> &spares, const PlacementInput &input)
{
    completeFromSpares(record, spares, input, false);
}

void moveMember(GroupRecord &from, GroupRecord &to)
{
    to.m_members.push_back(from.m_members.back());
    from.m_members.pop_back();
}

/** Completes the groups that miss the fewest members with members of those that miss the most, as long as that yields a complete group. */
void completeFromOtherGroups(DomainRecord &record, std::vector<VmState> &spares, const PlacementInput &input)
{
    std::vector<GroupRecord *> broken = brokenGroups(record, *input.m_plan);
    std::size_t last = broken.size();
    for (std::size_t first = 0; first + 1 < last; ++first) {
        GroupRecord &target = *broken[first];
        std::size_t missing = missingMembers(target, *input.m_plan);
        std::size_t found = spares.size();
        for (std::size_t i = first + 1; i < last; ++i) {
            found += broken[i]->m_members.size();
        }
        if (found < missing) {
            break;
        }
        const auto loadedSpare = [&]() {
            return std::any_of(spares.begin(), spares.end(), [&](const VmState &vm) {
                return holdsWeights(vm, target);
            });
        };
        for (; missing > 0 && loadedSpare(); --missing) {
            target.m_members.push_back(takeSpare(spares, target));
        }
        while (missing > 0 && last > first + 1) {
            GroupRecord &donor = *broken[last - 1];
            if (donor.m_members.empty()) {
                --last;
                continue;
            }
            moveMember(donor, target);
            donor.m_generation = ++record.m_lastGeneration;
            --missing;
        }
        for (; missing > 0; --missing) {
            target.m_members.push_back(takeSpare(spares, target));
        }
        target.m_generation = ++record.m_lastGeneration;
        target.m_phase = GroupPhase::Forming;
    }
}

void regroup(DomainRecord &record, std::vector<VmState> &spares, const PlacementInput &input)
{
    // A spare that must load the weights keeps its group down longer than a member of another broken group that has them in memory.
    completeFromSpares(record, spares, input, true);
    completeFromOtherGroups(record, spares, input);
    completeFromSpares(record, spares, input, false);
}

const Registration<PlacementRule> Dissolve({"dissolve", "dissolve a broken group and form a new one (baseline)", dissolve});
const Registration<PlacementRule> Spare({"spare", "replace a lost member by a spare VM", repairFromSpares});
const Registration<PlacementRule> Regroup({"regroup", "as 'spare', then complete broken groups with members of other broken groups", regroup});
}
}
