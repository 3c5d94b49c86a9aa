// Problem: a workspace whose requests crash upstreams must not be able to reach all of them.
// Approach: shuffle sharding. Each workspace gets a fixed pseudorandom subset of the upstreams, chosen by rendezvous hashing.
// With disjoint numbered shards, one workspace could take down all the workspaces that share its shard.

#include "kernel/sharding.h"

#include "kernel/hashing.h"

#include <algorithm>

namespace knapweedslip
{
std::vector<std::string> selectShard(const std::string &workspace, const std::vector<std::string> &upstreams, std::size_t size)
{
    std::vector<std::string> shard = upstreams;
    const std::size_t count = std::min(size, shard.size());
    const auto heavier = [&](const std::string &a, const std::string &b) {
        return rendezvousWeight(workspace, a) > rendezvousWeight(workspace, b);
    };
    std::partial_sort(shard.begin(), shard.begin() + static_cast<std::ptrdiff_t>(count), shard.end(), heavier);
    shard.resize(count);
    return shard;
}
}
