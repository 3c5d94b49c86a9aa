// Problem: replicas of several sizes must be packed into fabric domains, and a VM can quickly join only a replica of the model whose weights
// it has; what is left over in a domain serves nobody.
// Approach: list the ways to fill each domain, take for each domain in turn the way that raises the total utility most, and go round again
// until nothing changes. Utility is the demand-weighted logarithm of the replicas that are expected to stand after some engines were lost, with
// all zones and with each zone out of service.
// Counting the replicas that can be formed leaves a large one without spares: the loss of one engine takes it out until a new VM has loaded,
// and spares of one model cannot help the other.

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
/** Weight of a day on which one zone is out of service, which the system has to bear (operators' pages), against one on which none is. */
constexpr double ZoneOutWeight = 0.25;
/**
 * Part of the engines that a layout is to bear the loss of before new ones have loaded their weights (16 s, operators' configuration): two
 * engines of a domain of 37, which is what an ordinary day of the largest deployments takes.
 */
constexpr double LossPart = 2.0 / 37.0;
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

/** Expected replicas by number of engines, for each model. */
class Expectation
{
public:
    Expectation(const std::vector<ServedModel> &models, int mostEngines)
    {
        for (const ServedModel &model : models) {
            std::vector<double> &row = m_rows.emplace_back();
            for (int engines = 0; engines <= mostEngines; ++engines) {
                row.push_back(expectedReplicas(engines, std::max(model.m_size, 1)));
            }
        }
    }

    double of(std::size_t model, int engines) const
    {
        return m_rows[model][static_cast<std::size_t>(engines)];
    }

private:
    std::vector<std::vector<double>> m_rows;
};

/** Expected replicas by model, and by model and zone. */
struct Totals
{
    std::vector<double> m_replicas;
    std::vector<std::map<std::string, double>> m_byZone;
};

int keptFor(const ServedModel &model, const LayoutDomain &domain)
{
    const auto kept = domain.m_kept.find(model.m_name);
    return kept == domain.m_kept.end() ? 0 : kept->second;
}

Totals
count(const std::vector<ServedModel> &models, const std::vector<LayoutDomain> &domains, const Expectation &expectation, const std::vector<Filling> &fillings)
{
    Totals totals;
    totals.m_replicas.resize(models.size());
    totals.m_byZone.resize(models.size());
    for (std::size_t d = 0; d < domains.size(); ++d) {
        for (std::size_t m = 0; m < models.size(); ++m) {
            const double replicas = expectation.of(m, keptFor(models[m], domains[d]) + fillings[d].m_chosen[m]);
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
        const double weight = wanted == demand.end() ? models[m].m_share : wanted->second;
        double zoneOut = 0.0;
        for (const std::pair<const std::string, double> &zone : totals.m_byZone[m]) {
            zoneOut += std::log(std::max(totals.m_replicas[m] - zone.second, 0.0) + NoReplica);
        }
        const double zones = static_cast<double>(std::max<std::size_t>(totals.m_byZone[m].size(), 1));
        sum += weight * ((1.0 - ZoneOutWeight) * std::log(totals.m_replicas[m] + NoReplica) + ZoneOutWeight * zoneOut / zones);
    }
    return sum;
}

/** Two domains that could each be filled as the other change places when that is better: no change of one alone may be. */
bool swapChoices(const std::vector<ServedModel> &models,
                 const std::vector<LayoutDomain> &domains,
                 const Expectation &expectation,
                 const std::map<std::string, double> &demand,
                 std::vector<Filling> &fillings)
{
    bool changed = false;
    double best = utility(models, count(models, domains, expectation, fillings), demand);
    for (std::size_t a = 0; a < domains.size(); ++a) {
        for (std::size_t b = a + 1; b < domains.size(); ++b) {
            const bool alike = domains[a].m_empty == domains[b].m_empty && domains[a].m_kept == domains[b].m_kept;
            if (!alike || fillings[a].m_chosen == fillings[b].m_chosen) {
                continue;
            }
            std::swap(fillings[a].m_chosen, fillings[b].m_chosen);
            const double value = utility(models, count(models, domains, expectation, fillings), demand);
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

/** What a way leaves over goes, one by one, to the model whose replicas in the domain gain most by a spare. */
void assignRest(const std::vector<ServedModel> &models, const LayoutDomain &domain, const Expectation &expectation, Way &way)
{
    int rest = domain.m_empty;
    for (const int used : way) {
        rest -= used;
    }
    for (; rest > 0; --rest) {
        std::size_t best = 0;
        double bestGain = -1.0;
        for (std::size_t m = 0; m < models.size(); ++m) {
            const int have = keptFor(models[m], domain) + way[m];
            const double now = expectation.of(m, have);
            const double gain = models[m].m_share * (expectation.of(m, have + 1) - now) / (now + NoReplica);
            if (gain > bestGain) {
                bestGain = gain;
                best = m;
            }
        }
        ++way[best];
    }
}
}

double expectedReplicas(int engines, int size)
{
    const double meanLost = LossPart * engines;
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
        int engines = domain.m_empty;
        for (const ServedModel &model : models) {
            engines += keptFor(model, domain);
        }
        mostEngines = std::max(mostEngines, engines);
    }
    const Expectation expectation(models, mostEngines);
    std::vector<Filling> fillings(domains.size());
    for (std::size_t d = 0; d < domains.size(); ++d) {
        Way way;
        listWays(models, domains[d], 0, domains[d].m_empty, way, fillings[d].m_ways);
        for (Way &listed : fillings[d].m_ways) {
            assignRest(models, domains[d], expectation, listed);
        }
        fillings[d].m_chosen = fillings[d].m_ways.front();
    }
    for (int round = 0; round < MaxRounds; ++round) {
        bool changed = false;
        for (std::size_t d = 0; d < domains.size(); ++d) {
            Way best = fillings[d].m_chosen;
            double bestUtility = utility(models, count(models, domains, expectation, fillings), demand);
            for (const Way &way : fillings[d].m_ways) {
                fillings[d].m_chosen = way;
                const double value = utility(models, count(models, domains, expectation, fillings), demand);
                if (value > bestUtility + MinGain) {
                    bestUtility = value;
                    best = way;
                    changed = true;
                }
            }
            fillings[d].m_chosen = best;
        }
        changed = swapChoices(models, domains, expectation, demand, fillings) || changed;
        if (!changed) {
            break;
        }
    }
    for (std::size_t d = 0; d < domains.size(); ++d) {
        if (domains[d].m_empty == 0) {
            continue;
        }
        for (std::size_t m = 0; m < models.size(); ++m) {
            plan[domains[d].m_domain][models[m].m_name] = fillings[d].m_chosen[m];
        }
    }
    return plan;
}
}
