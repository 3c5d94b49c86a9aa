#pragma once

#include "kernel/callconfig.h"

#include <map>
#include <string>
#include <vector>

namespace knapweedslip
{
/** The engines of one fabric domain, by the model that each is kept for. */
struct LayoutDomain
{
    std::string m_domain;
    std::string m_availabilityZone;
    /** Engines kept for each model: its weights lie there or are on their way. */
    std::map<std::string, int> m_kept;
    /** Engines without weights. */
    int m_empty = 0;
};

/** Engines without weights that are to be kept for each model, by domain. */
using LayoutPlan = std::map<std::string, std::map<std::string, int>>;

/** Replicas of @p size that are expected to stand among @p engines after a usual number of them was lost; the loss of each is independent. */
double expectedReplicas(int engines, int size);

/**
 * Shares the empty engines of each domain out between models. Large replicas get spares beside them, replicas follow the share of the work
 * that each model does (@p demand, by model; any scale), and the replicas of a model lie in different availability zones.
 * The same input gives the same plan on every daemon. Costs O(domains x ways to fill one domain), twice.
 */
LayoutPlan planLayout(const std::vector<ServedModel> &models, const std::vector<LayoutDomain> &domains, const std::map<std::string, double> &demand);
}
