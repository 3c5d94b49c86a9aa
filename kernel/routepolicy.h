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
/** Random numbers of one scheduler; seeded by its creator. */
using Random = std::mt19937_64;

/** Changing state of one upstream as one gateway sees it. */
struct UpstreamState
{
    std::shared_ptr<const Upstream> m_info;
    /** Requests of this gateway that run there. */
    int m_running = 0;
    /** Requests of other gateways, from the engine's last report. */
    int m_othersRunning = 0;
    std::int64_t m_reportedAtMs = -1;
    /** Requests of this gateway that the upstream bears now; follows ramp and latency. */
    double m_limit = 1.0;
    /** Since when it is warm, or -1. */
    std::int64_t m_warmSinceMs = -1;
    /** It is in the table in force. */
    bool m_present = false;
    /** No new work until then: a member may be lost. Ends early with a newer generation. */
    std::int64_t m_doubtUntilMs = -1;
    /** Turned cold until then whatever the table says: while the table says warm, no gateway holds a grant. */
    std::int64_t m_coldUntilMs = -1;
    bool m_leaving = false;
    /** Highest generation that any of this news is about; it may be ahead of the table. */
    std::uint64_t m_newsGeneration = 0;
    /** Set apart until then for a request that must run by itself. */
    std::int64_t m_setApartUntilMs = -1;
    /** Place in the pool's list of available upstreams, or -1. */
    int m_availableAt = -1;
};

/** One request's needs, as a policy sees them. */
struct RouteQuery
{
    std::string m_workspace;
    /** Hashes of growing prefixes of the prompt, shortest first. */
    std::vector<std::uint64_t> m_prefixes;
    /** Upstreams that already failed this request. */
    std::vector<std::string> m_excluded;
};

/**
 * Which upstream holds which prompt prefix, as far as this gateway knows. Bounded; the oldest entries are forgotten first.
 * Entries come from own dispatches and from late cache events, and may be wrong.
 */
struct PrefixMap
{
    static constexpr std::size_t MaxEntries = 65'536;
    std::unordered_map<std::uint64_t, std::uint32_t> m_holders;
    std::deque<std::uint64_t> m_order;
};

void rememberPrefix(PrefixMap &map, std::uint64_t prefix, std::uint32_t upstream);

/** What a route policy may read, and the generator it may draw from. */
struct RouteContext
{
    const std::vector<UpstreamState> *m_upstreams = nullptr;
    /** Indexes of the upstreams of the pool that can take a request now. */
    const std::vector<std::uint32_t> *m_available = nullptr;
    const PrefixMap *m_prefixes = nullptr;
    Random *m_random = nullptr;
    /** Position of the round robin; policies may advance it. */
    std::uint64_t *m_turn = nullptr;
};

inline constexpr std::uint32_t NoUpstreamIndex = UINT32_MAX;

/** Chooses one of the available upstreams. A policy is a plug-in; its cost must not grow with the number of upstreams. */
struct RoutePolicy
{
    const char *m_name = nullptr;
    const char *m_help = nullptr;
    /** Returns an index into m_upstreams, or NoUpstreamIndex. */
    std::uint32_t (*m_choose)(const RouteContext &context, const RouteQuery &query) = nullptr;
};

/** The table says warm and news says cold: nobody holds a grant for it. */
bool turnedCold(const UpstreamState &upstream, std::int64_t nowMs);
/** New work may go there, as far as its condition goes. */
bool inCondition(const UpstreamState &upstream, std::int64_t nowMs);

/** Load of @p upstream relative to what it bears; below 1 while there is room. */
double relativeLoad(const UpstreamState &upstream);
}
