#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace knapweedslip
{
/**
 * Returns the shard of @p workspace: up to @p size of @p upstreams, chosen by rendezvous hashing. Two workspaces share few upstreams, and
 * adding or removing one upstream changes at most one element of a shard. See "shuffle sharding" in the documentation of Grafana Loki.
 */
std::vector<std::string> selectShard(const std::string &workspace, const std::vector<std::string> &upstreams, std::size_t size);
}
