#pragma once

#include "kernel/routetable.h"

#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedslip
{
/** Random number generator of one scheduler, seeded from its settings. */
using Random = std::mt19937_64;

/** State of one upstream as one gateway knows it. */
struct UpstreamState
{
    std::shared_ptr<const Upstream> m_info;
    /** Running requests of this gateway. */
    int m_running = 0;
    /** Running requests of other gateways, from the engine's last load report. */
    int m_othersRunning = 0;
    /** Time of the last load report, or -1. */
    std::int64_t m_reportedAtMs = -1;
    /** Limit on the requests of this gateway, raised by finished requests and lowered by refusals. */
    double m_limit = 1.0;
    /** Start of the ramp: the time at which the upstream last became warm, or -1. */
    std::int64_t m_warmSinceMs = -1;
    /** Number of gateways before this one in the division of its limit while that is raised. */
    std::int64_t m_rampRank = 0;
    /** Whether the current table has the upstream. */
    bool m_inTable = false;
    /** No new work until this time, because a member may have failed. A newer generation ends it early. */
    std::int64_t m_doubtUntilMs = -1;
    /** Reported cold until this time, whatever the table says. While the table says warm, no gateway holds the cold grant. */
    std::int64_t m_coldUntilMs = -1;
    /** Reported to be leaving service. */
    bool m_leaving = false;
    /** Highest generation that a report was about; it may be ahead of the table. */
    std::uint64_t m_reportGeneration = 0;
    /** Isolated until this time for a request that must run alone. */
    std::int64_t m_isolatedUntilMs = -1;
    /** Index in the pool's list of available upstreams, or -1. */
    int m_availableIndex = -1;
};

/** What a route policy knows about a request. */
struct RouteQuery
{
    std::string m_workspace;
    /** Hashes of prefixes of the prompt, shortest first. */
    std::vector<std::uint64_t> m_prefixes;
    /** Ids of the upstreams on which this request has already failed. */
    std::vector<std::string> m_excluded;
};

/**
 * Maps the hash of a prompt prefix to the upstream that last cached it. Holds at most MaxEntries; the oldest are dropped first.
 * Entries come from this gateway's dispatches and from delayed cache events, so they may be wrong.
 */
struct PrefixMap
{
    static constexpr std::size_t MaxEntries = 65'536;
    /** Index of the upstream by prefix hash; NoUpstreamIndex once it no longer caches the prefix. */
    std::unordered_map<std::uint64_t, std::uint32_t> m_holders;
    /** Prefix hashes in the order in which they were added. */
    std::deque<std::uint64_t> m_order;
};

/** Records that the upstream with index @p upstream caches @p prefix. */
void rememberPrefix(PrefixMap &map, std::uint64_t prefix, std::uint32_t upstream);

/** Input of a route policy, and the state that it may advance. */
struct RouteContext
{
    const std::vector<UpstreamState> *m_upstreams = nullptr;
    /** Indexes into m_upstreams of the pool's upstreams that can take a request now. */
    const std::vector<std::uint32_t> *m_available = nullptr;
    const PrefixMap *m_prefixes = nullptr;
    Random *m_random = nullptr;
    /** Position of the round robin in the pool; policies may advance it. */
    std::uint64_t *m_roundRobinPosition = nullptr;
};

inline constexpr std::uint32_t NoUpstreamIndex = UINT32_MAX;

/** Chooses one of the available upstreams. A policy is a plug-in; its cost must not grow with the number of upstreams. */
struct RoutePolicy
{
    const char *m_name = nullptr;
    const char *m_help = nullptr;
    /** Returns an index into m_upstreams of @p context, or NoUpstreamIndex if none is available. */
    std::uint32_t (*m_choose)(const RouteContext &context, const RouteQuery &query) = nullptr;
};

/** Returns true if the table says warm but a valid report says cold. No gateway holds a cold grant for such an upstream. */
bool isReportedCold(const UpstreamState &upstream, std::int64_t nowMs);
/**
 * Returns true if the upstream is in the table, is not leaving or reported cold, and is not considered to have failed. Isolation and limits are
 * not checked.
 */
bool acceptsNewWork(const UpstreamState &upstream, std::int64_t nowMs);

/** Returns the running requests of all gateways divided by the limit of @p upstream; below 1 while it has free slots. */
double relativeLoad(const UpstreamState &upstream);
}
