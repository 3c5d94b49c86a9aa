// Problem: replicas of several sizes must be packed into fabric domains. A VM can quickly join only a replica of the model whose weights it
// has, and engines that are left over in a domain serve nobody.
// Approach: list the possible allocations of each domain, choose for each domain in turn the one with the highest total utility, and repeat
// until nothing changes. The utility is the demand-weighted sum of the logarithms of the replicas that are expected to remain after some
// engines were lost, both with all zones in service and with each single zone out of service.
// Maximizing the number of replicas would leave a large replica without spares. The loss of one engine would then take it out of service
// until a new VM has loaded the weights, since spares of one model cannot replace engines of another.

#include "kernel/replicalayout.h"

#include <algorithm>
#include <cmath>

namespace knapweedslip
{
namespace
{
/** Smallest gain that counts as an improvement. Sums of logarithms differ in their last digits. */
constexpr double MinGain = 1e-9;
/** Maximum number of improvement rounds. Each round is one pass over all domains. */
constexpr int MaxRounds = 4;
/** Weight of the case that one zone is out of service, which the system must tolerate (operators' pages); the rest is the case with all zones. */
constexpr double ZoneOutageWeight = 0.25;
/**
 * Fraction of the engines whose loss a layout must tolerate until new engines have loaded their weights (16 s, operators' configuration): two
 * engines in a domain of 37, the loss on an ordinary day in the largest deployments.
 */
constexpr double LossFraction = 2.0 / 37.0;
/** Fraction of a replica that is added inside the logarithm, so that it is finite and the first replica of a model gains most. */
constexpr double LogOffset = 0.05;

/** Numbers of unassigned engines of one domain that each model gets, in the order of the models. */
using Allocation = std::vector<int>;

/** Appends to @p allocations the ways to form replicas of the models from index @p next on with at most @p available engines. */
void listAllocations(const std::vector<ServedModel> &models,
                     const LayoutDomain &domain,
                     std::size_t next,
                     int available,
                     Allocation &allocation,
                     std::vector<Allocation> &allocations)
{
    if (next == models.size()) {
        allocations.push_back(allocation);
        return;
    }
    const ServedModel &model = models[next];
    const auto found = domain.m_assigned.find(model.m_name);
    const int assigned = found == domain.m_assigned.end() ? 0 : found->second;
    const int size = std::max(model.m_vmsPerReplica, 1);
    // First enough engines to complete the incomplete replica, then enough for further complete replicas.
    for (int use = 0; use <= available; use = use == 0 ? size - assigned % size : use + size) {
        allocation.push_back(use);
        listAllocations(models, domain, next + 1, available - use, allocation, allocations);
        allocation.pop_back();
    }
}

/** Possible allocations of one domain, and the one that is chosen so far. */
struct DomainChoice
{
    std::vector<Allocation> m_candidates;
    Allocation m_chosen;
};

/** Table of expectedReplicas() for each model and number of engines. */
class ExpectedReplicaTable
{
public:
    ExpectedReplicaTable(const std::vector<ServedModel> &models, int mostEngines)
    {
        for (const ServedModel &model : models) {
            std::vector<double> &row = m_rows.emplace_back();
            for (int engines = 0; engines <= mostEngines; ++engines) {
                row.push_back(expectedReplicas(engines, std::max(model.m_vmsPerReplica, 1)));
            }
        }
    }

    double at(std::size_t model, int engines) const
    {
        return m_rows[model][static_cast<std::size_t>(engines)];
    }

private:
    std::vector<std::vector<double>> m_rows;
};

/** Expected replicas of each model, in total and by availability zone. */
struct Totals
{
    std::vector<double> m_replicas;
    std::vector<std::map<std::string, double>> m_byZone;
};

/** Returns the number of engines in @p domain that are assigned to @p model already. */
int assignedEngines(const ServedModel &model, const LayoutDomain &domain)
{
    const auto found = domain.m_assigned.find(model.m_name);
    return found == domain.m_assigned.end() ? 0 : found->second;
}

/** Returns the expected replicas with the chosen allocation of each domain. */
Totals sumReplicas(const std::vector<ServedModel> &models,
                   const std::vector<LayoutDomain> &domains,
                   const ExpectedReplicaTable &expectation,
                   const std::vector<DomainChoice> &choices)
{
    Totals totals;
    totals.m_replicas.resize(models.size());
    totals.m_byZone.resize(models.size());
    for (std::size_t d = 0; d < domains.size(); ++d) {
        for (std::size_t m = 0; m < models.size(); ++m) {
            const double replicas = expectation.at(m, assignedEngines(models[m], domains[d]) + choices[d].m_chosen[m]);
            totals.m_replicas[m] += replicas;
            totals.m_byZone[m][domains[d].m_availabilityZone] += replicas;
        }
    }
    return totals;
}

double utility(const std::vector<ServedModel> &models, const Totals &totals, const std::map<std::string, double> &demand)
{
    double sum = 0.0;
    for (std::size_t m = 0; m < models.size(); ++m) {
        const auto wanted = demand.find(models[m].m_name);
        const double weight = wanted == demand.end() ? models[m].m_workShare : wanted->second;
        double zoneOutage = 0.0;
        for (const std::pair<const std::string, double> &zone : totals.m_byZone[m]) {
            zoneOutage += std::log(std::max(totals.m_replicas[m] - zone.second, 0.0) + LogOffset);
        }
        const double zones = static_cast<double>(std::max<std::size_t>(totals.m_byZone[m].size(), 1));
        sum += weight * ((1.0 - ZoneOutageWeight) * std::log(totals.m_replicas[m] + LogOffset) + ZoneOutageWeight * zoneOutage / zones);
    }
    return sum;
}

/**
 * Swaps the allocations of two domains with equal engines where that raises the utility. Changing one domain at a time may miss such a gain.
 * Returns whether any were swapped.
 */
bool swapAllocations(const std::vector<ServedModel> &models,
                     const std::vector<LayoutDomain> &domains,
                     const ExpectedReplicaTable &expectation,
                     const std::map<std::string, double> &demand,
                     std::vector<DomainChoice> &choices)
{
    bool changed = false;
    double best = utility(models, sumReplicas(models, domains, expectation, choices), demand);
    for (std::size_t a = 0; a < domains.size(); ++a) {
        for (std::size_t b = a + 1; b < domains.size(); ++b) {
            const bool sameEngines = domains[a].m_unassigned == domains[b].m_unassigned && domains[a].m_assigned == domains[b].m_assigned;
            if (!sameEngines || choices[a].m_chosen == choices[b].m_chosen) {
                continue;
            }
            std::swap(choices[a].m_chosen, choices[b].m_chosen);
            const double value = utility(models, sumReplicas(models, domains, expectation, choices), demand);
            if (value > best + MinGain) {
                best = value;
                changed = true;
            } else {
                std::swap(choices[a].m_chosen, choices[b].m_chosen);
            }
        }
    }
    return changed;
}

/** Assigns the engines that @p allocation leaves over, one by one, to the model whose replicas in the domain gain most from a spare. */
void assignRemaining(const std::vector<ServedModel> &models, const LayoutDomain &domain, const ExpectedReplicaTable &expectation, Allocation &allocation)
{
    int remaining = domain.m_unassigned;
    for (const int used : allocation) {
        remaining -= used;
    }
    for (; remaining > 0; --remaining) {
        std::size_t best = 0;
        double bestGain = -1.0;
        for (std::size_t m = 0; m < models.size(); ++m) {
            const int assigned = assignedEngines(models[m], domain) + allocation[m];
            const double current = expectation.at(m, assigned);
            const double gain = models[m].m_workShare * (expectation.at(m, assigned + 1) - current) / (current + LogOffset);
            if (gain > bestGain) {
                bestGain = gain;
                best = m;
            }
        }
        ++allocation[best];
    }
}
}

double expectedReplicas(int engines, int size)
{
    const double meanLost = LossFraction * engines;
    double probability = std::exp(-meanLost);
    double expected = 0.0;
    for (int lost = 0; lost + size <= engines; ++lost) {
        const int replicas = (engines - lost) / size;
        expected += probability * replicas;
        probability *= meanLost / (lost + 1);
    }
    return expected;
}

LayoutPlan planLayout(const std::vector<ServedModel> &models, const std::vector<LayoutDomain> &domains, const std::map<std::string, double> &demand)
{
    LayoutPlan plan;
    if (models.empty()) {
        return plan;
    }
    int mostEngines = 0;
    for (const LayoutDomain &domain : domains) {
        int engines = domain.m_unassigned;
        for (const ServedModel &model : models) {
            engines += assignedEngines(model, domain);
        }
        mostEngines = std::max(mostEngines, engines);
    }
    const ExpectedReplicaTable expectation(models, mostEngines);
    std::vector<DomainChoice> choices(domains.size());
    for (std::size_t d = 0; d < domains.size(); ++d) {
        Allocation allocation;
        listAllocations(models, domains[d], 0, domains[d].m_unassigned, allocation, choices[d].m_candidates);
        for (Allocation &listed : choices[d].m_candidates) {
            assignRemaining(models, domains[d], expectation, listed);
        }
        choices[d].m_chosen = choices[d].m_candidates.front();
    }
    for (int round = 0; round < MaxRounds; ++round) {
        bool changed = false;
        for (std::size_t d = 0; d < domains.size(); ++d) {
            Allocation best = choices[d].m_chosen;
            double bestUtility = utility(models, sumReplicas(models, domains, expectation, choices), demand);
            for (const Allocation &allocation : choices[d].m_candidates) {
                choices[d].m_chosen = allocation;
                const double value = utility(models, sumReplicas(models, domains, expectation, choices), demand);
                if (value > bestUtility + MinGain) {
                    bestUtility = value;
                    best = allocation;
                    changed = true;
                }
            }
            choices[d].m_chosen = best;
        }
        changed = swapAllocations(models, domains, expectation, demand, choices) || changed;
        if (!changed) {
            break;
        }
    }
    for (std::size_t d = 0; d < domains.size(); ++d) {
        if (domains[d].m_unassigned == 0) {
            continue;
        }
        for (std::size_t m = 0; m < models.size(); ++m) {
            plan[domains[d].m_domain][models[m].m_name] = choices[d].m_chosen[m];
        }
    }
    return plan;
}
}
