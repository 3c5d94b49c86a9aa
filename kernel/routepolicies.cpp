// Problem: choose an upstream quickly, with even load, and preferably one that caches the prompt's prefix.
// Approach: every policy samples from the list of available upstreams that the scheduler keeps up to date, so a choice costs the same
// for 50 and for 12,000 upstreams. 'prefix-affinity' chooses the holder of the longest known prefix unless it is much busier than the
// result of 'two-choices', which takes the less busy of two random upstreams. 'random' and 'round-robin' are the baselines.
// Scanning all upstreams for the least busy one takes time proportional to their number and makes all gateways choose the same one.

#include "kernel/registry.h"
#include "kernel/routepolicy.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
constexpr int MaxSamples = 8;
/** The holder of a prefix is chosen only if its relative load exceeds that of the alternative by no more than this. */
constexpr double AffinityLoadSlack = 0.35;

bool excluded(const RouteContext &context, const RouteQuery &query, std::uint32_t index)
{
    const std::string &id = (*context.m_upstreams)[index].m_info->m_id;
    return std::find(query.m_excluded.begin(), query.m_excluded.end(), id) != query.m_excluded.end();
}

/** Returns a random available upstream that is not excluded. May return NoUpstreamIndex although there is one. */
std::uint32_t sampleAvailable(const RouteContext &context, const RouteQuery &query)
{
    const std::vector<std::uint32_t> &available = *context.m_available;
    if (available.empty()) {
        return NoUpstreamIndex;
    }
    std::uniform_int_distribution<std::size_t> position(0, available.size() - 1);
    for (int i = 0; i < MaxSamples; ++i) {
        const std::uint32_t index = available[position(*context.m_random)];
        if (!excluded(context, query, index)) {
            return index;
        }
    }
    // Most of the available upstreams are excluded: check a bounded number in order.
    const std::size_t bound = std::min<std::size_t>(available.size(), MaxSamples * 2);
    for (std::size_t i = 0; i < bound; ++i) {
        if (!excluded(context, query, available[i])) {
            return available[i];
        }
    }
    return NoUpstreamIndex;
}

std::uint32_t chooseRandom(const RouteContext &context, const RouteQuery &query)
{
    return sampleAvailable(context, query);
}

std::uint32_t chooseRoundRobin(const RouteContext &context, const RouteQuery &query)
{
    const std::vector<std::uint32_t> &available = *context.m_available;
    for (int i = 0; i < MaxSamples && !available.empty(); ++i) {
        const std::uint32_t index = available[(*context.m_roundRobinPosition)++ % available.size()];
        if (!excluded(context, query, index)) {
            return index;
        }
    }
    return sampleAvailable(context, query);
}

std::uint32_t chooseOfTwo(const RouteContext &context, const RouteQuery &query)
{
    const std::uint32_t first = sampleAvailable(context, query);
    const std::uint32_t second = sampleAvailable(context, query);
    if (first == NoUpstreamIndex || second == NoUpstreamIndex) {
        return first;
    }
    const std::vector<UpstreamState> &upstreams = *context.m_upstreams;
    return relativeLoad(upstreams[second]) < relativeLoad(upstreams[first]) ? second : first;
}

std::uint32_t chooseByPrefix(const RouteContext &context, const RouteQuery &query)
{
    const std::uint32_t alternative = chooseOfTwo(context, query);
    if (alternative == NoUpstreamIndex) {
        return alternative;
    }
    const std::vector<UpstreamState> &upstreams = *context.m_upstreams;
    for (auto it = query.m_prefixes.rbegin(); it != query.m_prefixes.rend(); ++it) {
        const auto holder = context.m_prefixes->m_holders.find(*it);
        if (holder == context.m_prefixes->m_holders.end() || holder->second >= upstreams.size()) {
            continue;
        }
        const UpstreamState &candidate = upstreams[holder->second];
        const bool usable = candidate.m_availableIndex >= 0 && candidate.m_info->m_pool == upstreams[alternative].m_info->m_pool;
        if (usable && !excluded(context, query, holder->second) && relativeLoad(candidate) <= relativeLoad(upstreams[alternative]) + AffinityLoadSlack) {
            return holder->second;
        }
    }
    return alternative;
}

const Registration<RoutePolicy> RandomChoice({"random", "any available upstream (baseline)", chooseRandom});
const Registration<RoutePolicy> RoundRobin({"round-robin", "available upstreams in turn (baseline)", chooseRoundRobin});
const Registration<RoutePolicy> TwoChoices({"two-choices", "the less busy of two random upstreams", chooseOfTwo});
const Registration<RoutePolicy> PrefixAffinity({"prefix-affinity", "the holder of the longest cached prefix, bounded by load", chooseByPrefix});
}

double relativeLoad(const UpstreamState &upstream)
{
    return (upstream.m_running + upstream.m_othersRunning) / std::max(1.0, static_cast<double>(upstream.m_info->m_limit));
}

void rememberPrefix(PrefixMap &map, std::uint64_t prefix, std::uint32_t upstream)
{
    const bool fresh = map.m_holders.insert_or_assign(prefix, upstream).second;
    if (!fresh) {
        return;
    }
    map.m_order.push_back(prefix);
    if (map.m_order.size() > PrefixMap::MaxEntries) {
        map.m_holders.erase(map.m_order.front());
        map.m_order.pop_front();
    }
}
}
