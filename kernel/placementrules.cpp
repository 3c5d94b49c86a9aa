// Problem: when a member dies the group is down until it is whole again; which VMs to take decides how long and for how many groups.
// Approach: three rules, registered by name. 'dissolve' is the baseline: a broken group is given up and formed anew. 'spare' puts a
// spare VM in the lost member's place. 'regroup' does so too, and when spares run out it completes the group that misses fewest
// members with the members of the one that misses most, so that as few accelerators as possible idle in broken groups.
// Waiting for the lost VM itself keeps every other member idle for as long as the VM is away.

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

/** Takes a spare that already holds the group's weights, else the first one. */
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

/** Completes broken groups from spares, those with fewest missing members first; @p loadedOnly: only from spares that need no load. */
void fill(DomainRecord &record, std::vector<VmState> &spares, const PlacementInput &input, bool loadedOnly)
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

void fillFromSpares(DomainRecord &record, std::vector<VmState> &spares, const PlacementInput &input)
{
    fill(record, spares, input, false);
}

void moveMember(GroupRecord &from, GroupRecord &to)
{
    to.m_members.push_back(from.m_members.back());
    from.m_members.pop_back();
}

/** Completes the broken groups that miss fewest members with members of those that miss most, as long as that makes a whole group. */
void combine(DomainRecord &record, std::vector<VmState> &spares, const PlacementInput &input)
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
    // A spare that must load keeps its group down longer than a member that another broken group has loaded.
    fill(record, spares, input, true);
    combine(record, spares, input);
    fill(record, spares, input, false);
}

const Registration<PlacementRule> Dissolve({"dissolve", "give a broken group up and form it anew (baseline)", dissolve});
const Registration<PlacementRule> Spare({"spare", "put a spare VM in the lost member's place", fillFromSpares});
const Registration<PlacementRule> Regroup({"regroup", "as 'spare', then complete broken groups from each other", regroup});
}
}
