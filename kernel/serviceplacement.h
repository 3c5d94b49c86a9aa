#pragma once

#include "kernel/placement.h"

namespace knapweedslip
{
/** Returns the domain name of the record that holds the VMs of service @p name. */
std::string serviceDomain(const std::string &name);

/**
 * Updates the record of one plain service: one group with a single member for each of its VMs, with the same phases and cold grants as serving
 * groups. Returns no orders, since plain services take none.
 */
PlacementResult placeService(const ServicePlan &service, const PlacementInput &input);
}
