#pragma once

#include "kernel/callconfig.h"

#include <map>
#include <string>
#include <vector>

namespace knapweedslip
{
/** The engines of one fabric domain, counted by the model that each is assigned to. */
struct LayoutDomain
{
    std::string m_domain;
    std::string m_availabilityZone;
    /** Engines assigned to each model: the weights are stored there or are being loaded. */
    std::map<std::string, int> m_assigned;
    /** Engines that are not assigned to a model. */
    int m_unassigned = 0;
};

/** Unassigned engines to assign to each model: counts by domain, then by model. */
using LayoutPlan = std::map<std::string, std::map<std::string, int>>;

/**
 * Returns the expected number of complete replicas of @p size engines among @p engines after the usual loss of engines. Engines are lost
 * independently of each other.
 */
double expectedReplicas(int engines, int size);

/**
 * Divides the unassigned engines of each domain among the models. Large replicas get spares in the same domain, the number of replicas
 * follows the share of the work of each model (@p demand, by model; any scale), and the replicas of a model are spread over availability
 * zones. A model that @p demand lacks counts with its configured share. The same input gives the same plan on every daemon.
 * Computes the utility once per round for each allocation of each domain and for each pair of domains with equal engines.
 */
LayoutPlan planLayout(const std::vector<ServedModel> &models, const std::vector<LayoutDomain> &domains, const std::map<std::string, double> &demand);
}
