#pragma once

#include "kernel/placement.h"

namespace knapweedslip
{
/** Name of the record that holds the VMs of service @p name. */
std::string serviceDomain(const std::string &name);

/**
 * Keeps the record of one plain service: a group of one for each of its VMs, with the same phases and cold grants as serving groups.
 * Gives no orders, since plain services take none.
 */
PlacementResult placeService(const ServicePlan &service, const PlacementInput &input);
}
