// Problem: replicas of several sizes must be packed into fabric domains, and a VM can quickly join only a replica of the model whose weights
// it has; what is left over in a domain serves nobody.
// Approach: list the ways to fill each domain, take for each domain in turn the way that raises the total utility most, and go round again
// until nothing changes. Utility is the demand-weighted logarithm of replicas, less a little for replicas of one model in one zone.
// Giving every domain the same mix leaves engines over in each of them, and spares of one model cannot help the other.

#include "kernel/replicalayout.h"

#include <algorithm>
#include <cmath>

namespace knapweedslip
{
namespace
{
/** A change that gains less is none: sums of logarithms differ in their last digits. */
constexpr double MinGain = 1e-9;
/** Rounds of improvement; each round costs one pass over all domains. */
constexpr int MaxRounds = 4;
/** Cost of an uneven spread over zones, against the logarithm of replicas; only breaks ties. */
constexpr double ZoneWeight = 0.02;
/** Worth of a spare engine, against the logarithm of replicas; only breaks ties. */
constexpr double SpareWeight = 0.0005;
/** Stands for "a part of a replica" in the logarithm, so that a model without any replica weighs most. */
constexpr double NoReplica = 0.05;

/** One way to use the empty engines of a domain: how many for each model. */
using Way = std::vector<int>;

void listWays(const std::vector<ServedModel> &models, const LayoutDomain &domain, std::size_t next, int left, Way &way, std::vector<Way> &ways)
{
    if (next == models.size()) {
        ways.push_back(way);
        return;
    }
    const ServedModel &model = models[next];
    const auto kept = domain.m_kept.find(model.m_name);
    const int have = kept == domain.m_kept.end() ? 0 : kept->second;
    const int size = std::max(model.m_size, 1);
    // Enough to fill up the replica that is begun, then whole replicas.
    for (int use = 0; use <= left; use = use == 0 ? size - have % size : use + size) {
        way.push_back(use);
        listWays(models, domain, next + 1, left - use, way, ways);
        way.pop_back();
    }
}

struct Filling
{
    std::vector<Way> m_ways;
    Way m_chosen;
};

/** Replicas by model, and by model and zone. */
struct Totals
{
    std::vector<int> m_replicas;
    std::vector<std::map<std::string, int>> m_byZone;
    int m_spares = 0;
};

Totals count(const std::vector<ServedModel> &models, const std::vector<LayoutDomain> &domains, const std::vector<Filling> &fillings)
{
    Totals totals;
    totals.m_replicas.resize(models.size());
    totals.m_byZone.resize(models.size());
    for (std::size_t d = 0; d < domains.size(); ++d) {
        int used = 0;
        for (std::size_t m = 0; m < models.size(); ++m) {
            const auto kept = domains[d].m_kept.find(models[m].m_name);
            const int have = (kept == domains[d].m_kept.end() ? 0 : kept->second) + fillings[d].m_chosen[m];
            const int replicas = have / std::max(models[m].m_size, 1);
            totals.m_replicas[m] += replicas;
            totals.m_byZone[m][domains[d].m_availabilityZone] += replicas;
            totals.m_spares += have % std::max(models[m].m_size, 1);
            used += fillings[d].m_chosen[m];
        }
        totals.m_spares += domains[d].m_empty - used;
    }
    return totals;
}

double utility(const std::vector<ServedModel> &models, const Totals &totals, const std::map<std::string, double> &demand)
{
    double sum = SpareWeight * totals.m_spares;
    for (std::size_t m = 0; m < models.size(); ++m) {
        const auto wanted = demand.find(models[m].m_name);
        const double weight = wanted == demand.end() ? models[m].m_share : wanted->second;
        sum += weight * std::log(totals.m_replicas[m] + NoReplica);
        int most = 0;
        for (const std::pair<const std::string, int> &zone : totals.m_byZone[m]) {
            most = std::max(most, zone.second);
        }
        if (totals.m_replicas[m] > 0) {
            sum -= ZoneWeight * most / totals.m_replicas[m];
        }
    }
    return sum;
}

/** Two domains that could each be filled as the other change places when that is better: no change of one alone may be. */
bool swapChoices(const std::vector<ServedModel> &models,
                 const std::vector<LayoutDomain> &domains,
                 const std::map<std::string, double> &demand,
                 std::vector<Filling> &fillings)
{
    bool changed = false;
    double best = utility(models, count(models, domains, fillings), demand);
    for (std::size_t a = 0; a < domains.size(); ++a) {
        for (std::size_t b = a + 1; b < domains.size(); ++b) {
            const bool alike = domains[a].m_empty == domains[b].m_empty && domains[a].m_kept == domains[b].m_kept;
            if (!alike || fillings[a].m_chosen == fillings[b].m_chosen) {
                continue;
            }
            std::swap(fillings[a].m_chosen, fillings[b].m_chosen);
            const double value = utility(models, count(models, domains, fillings), demand);
            if (value > best + MinGain) {
                best = value;
                changed = true;
            } else {
                std::swap(fillings[a].m_chosen, fillings[b].m_chosen);
            }
        }
    }
    return changed;
}

/** What is over after the chosen way goes to the model of which most engines are there, as spares. */
void assignRest(const std::vector<ServedModel> &models, const LayoutDomain &domain, Way &chosen)
{
    int rest = domain.m_empty;
    std::size_t most = 0;
    int mostEngines = -1;
    for (std::size_t m = 0; m < models.size(); ++m) {
        rest -= chosen[m];
        const auto kept = domain.m_kept.find(models[m].m_name);
        const int have = (kept == domain.m_kept.end() ? 0 : kept->second) + chosen[m];
        if (have > mostEngines) {
            mostEngines = have;
            most = m;
        }
    }
    chosen[most] += rest;
}
}

std::map<std::string, int> replicasHeld(const std::vector<ServedModel> &models, const std::vector<LayoutDomain> &domains)
{
    std::map<std::string, int> held;
    for (const ServedModel &model : models) {
        int &sum = held[model.m_name];
        for (const LayoutDomain &domain : domains) {
            const auto kept = domain.m_kept.find(model.m_name);
            sum += kept == domain.m_kept.end() ? 0 : kept->second / std::max(model.m_size, 1);
        }
    }
    return held;
}

LayoutPlan planLayout(const std::vector<ServedModel> &models, const std::vector<LayoutDomain> &domains, const std::map<std::string, double> &demand)
{
    LayoutPlan plan;
    if (models.empty()) {
        return plan;
    }
    std::vector<Filling> fillings(domains.size());
    for (std::size_t d = 0; d < domains.size(); ++d) {
        Way way;
        listWays(models, domains[d], 0, domains[d].m_empty, way, fillings[d].m_ways);
        fillings[d].m_chosen.assign(models.size(), 0);
    }
    for (int round = 0; round < MaxRounds; ++round) {
        bool changed = false;
        for (std::size_t d = 0; d < domains.size(); ++d) {
            Way best = fillings[d].m_chosen;
            double bestUtility = utility(models, count(models, domains, fillings), demand);
            for (const Way &way : fillings[d].m_ways) {
                fillings[d].m_chosen = way;
                const double value = utility(models, count(models, domains, fillings), demand);
                if (value > bestUtility + MinGain) {
                    bestUtility = value;
                    best = way;
                    changed = true;
                }
            }
            fillings[d].m_chosen = best;
        }
        changed = swapChoices(models, domains, demand, fillings) || changed;
        if (!changed) {
            break;
        }
    }
    for (std::size_t d = 0; d < domains.size(); ++d) {
        if (domains[d].m_empty == 0) {
            continue;
        }
        assignRest(models, domains[d], fillings[d].m_chosen);
        for (std::size_t m = 0; m < models.size(); ++m) {
            plan[domains[d].m_domain][models[m].m_name] = fillings[d].m_chosen[m];
        }
    }
    return plan;
}
}
