#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace knapweedslip
{
/**
 * The shard of @p workspace: @p size of @p upstreams, chosen by rendezvous weight. Two workspaces share few upstreams, and a change of
 * one upstream changes at most one place of a shard. After the shuffle sharding page of Grafana Loki.
 */
std::vector<std::string> shardOf(const std::string &workspace, const std::vector<std::string> &upstreams, std::size_t size);
}
