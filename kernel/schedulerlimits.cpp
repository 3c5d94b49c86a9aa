// Problem: how many requests this gateway may send to an upstream depends on the table, the upstream's phase and cold grant, reports
// that are ahead of the table, the requests of other gateways, the ramp after warming, and the shares of workspaces.
// Approach: each of these has its own rule here, and the list of available upstreams is updated whenever one of them changes.
// Evaluating all of them on each choice would take time proportional to the number of upstreams.

#include "kernel/scheduler.h"

#include "kernel/hashing.h"

#include <algorithm>
#include <cmath>

namespace knapweedslip
{
namespace
{
/** The limit of an upstream that has become warm doubles after each step of this length. */
constexpr std::int64_t RampStepMs = 500;
constexpr int MaxRampSteps = 20;
/** Number of priority levels that raise a workspace's weight; each step towards priority 1 doubles it. */
constexpr int PrioritySteps = 3;
/** A flow exceeds its share when the number of its running requests is above this factor times its share, plus 1. */
constexpr double OverShareFactor = 2.0;
}

bool isReportedCold(const UpstreamState &upstream, std::int64_t nowMs)
{
    return upstream.m_info->m_phase == GroupPhase::Warm && nowMs < upstream.m_coldUntilMs;
}

bool acceptsNewWork(const UpstreamState &upstream, std::int64_t nowMs)
{
    return upstream.m_inTable && !isReportedCold(upstream, nowMs) && !upstream.m_leaving && nowMs >= upstream.m_doubtUntilMs;
}
void Scheduler::applyUpstream(const std::shared_ptr<const Upstream> &entry, std::int64_t nowMs)
{
    const auto [it, isNew] = m_indexById.try_emplace(entry->m_id, static_cast<std::uint32_t>(m_upstreams.size()));
    if (isNew) {
        m_upstreams.emplace_back();
        m_pools[entry->m_pool].m_members.push_back(it->second);
    }
    UpstreamState &state = m_upstreams[it->second];
    const bool sameGeneration = !isNew && state.m_info->m_generation == entry->m_generation;
    const bool samePhase = sameGeneration && state.m_info->m_phase == entry->m_phase;
    const bool justWarmed = !isNew && entry->m_phase == GroupPhase::Warm && (!sameGeneration || state.m_info->m_phase == GroupPhase::Cold);
    if (!sameGeneration) {
        state.m_othersRunning = 0;
    }
    // Reports may be ahead of the table after a store outage, so only a generation newer than the reported one clears them.
    if (entry->m_generation > state.m_reportGeneration) {
        state.m_doubtUntilMs = -1;
        state.m_coldUntilMs = -1;
        state.m_leaving = false;
    }
    if (!samePhase) {
        state.m_limit = entry->m_limit;
    }
    state.m_info = entry;
    state.m_inTable = true;
    if (justWarmed) {
        startRamp(state, nowMs);
    }
}

double Scheduler::concurrencyLimit(const UpstreamState &upstream, std::int64_t nowMs) const
{
    const Upstream &info = *upstream.m_info;
    if (info.m_phase == GroupPhase::Cold) {
        return info.m_coldHolder == m_settings.m_self ? info.m_coldLimit : 0.0;
    }
    const double share = std::max(1.0, static_cast<double>(info.m_limit) / m_settings.m_gateways);
    const double left = static_cast<double>(info.m_limit) - upstream.m_othersRunning;
    const double limit = std::min(std::max(share, left), upstream.m_limit);
    // Only while its limit is raised may a gateway have no part of an upstream.
    return upstream.m_warmSinceMs < 0 ? std::max(1.0, limit) : std::min(std::max(1.0, limit), rampLimit(upstream, nowMs));
}

void Scheduler::startRamp(UpstreamState &upstream, std::int64_t nowMs) const
{
    upstream.m_warmSinceMs = nowMs;
    const std::string &key = upstream.m_info->m_id;
    const std::uint64_t ownWeight = rendezvousWeight(key, m_settings.m_self);
    upstream.m_rampRank = std::count_if(m_settings.m_gatewayNames.begin(), m_settings.m_gatewayNames.end(), [this, &key, ownWeight](const std::string &name) {
        const std::uint64_t weight = rendezvousWeight(key, name);
        return weight > ownWeight || (weight == ownWeight && name < m_settings.m_self);
    });
}

double Scheduler::rampLimit(const UpstreamState &upstream, std::int64_t nowMs) const
{
    const int steps = static_cast<int>(std::min<std::int64_t>(MaxRampSteps, (nowMs - upstream.m_warmSinceMs) / RampStepMs));
    const std::int64_t coldLimit = upstream.m_info->m_coldLimit;
    if (m_settings.m_gatewayNames.empty()) {
        return std::ldexp(std::max(1.0, static_cast<double>(coldLimit) / m_settings.m_gateways), steps);
    }
    // Whole requests by rank: rounding up each gateway's part would exceed the limit when there are more gateways than requests.
    const std::int64_t total = coldLimit << steps;
    const std::int64_t part = upstream.m_rampRank < total ? (total - upstream.m_rampRank - 1) / m_settings.m_gateways + 1 : 0;
    return static_cast<double>(part);
}

bool Scheduler::canDispatchTo(const UpstreamState &upstream, std::int64_t nowMs) const
{
    return acceptsNewWork(upstream, nowMs) && nowMs >= upstream.m_isolatedUntilMs && upstream.m_running + 1 <= concurrencyLimit(upstream, nowMs);
}

void Scheduler::updateAvailability(std::uint32_t index, std::int64_t nowMs)
{
    UpstreamState &state = m_upstreams[index];
    std::vector<std::uint32_t> &available = m_pools[state.m_info->m_pool].m_available;
    const bool listed = state.m_availableIndex >= 0;
    const bool usable = canDispatchTo(state, nowMs);
    if (usable && !listed) {
        state.m_availableIndex = static_cast<int>(available.size());
        available.push_back(index);
    } else if (!usable && listed) {
        const std::uint32_t last = available.back();
        available[static_cast<std::size_t>(state.m_availableIndex)] = last;
        m_upstreams[last].m_availableIndex = state.m_availableIndex;
        available.pop_back();
        state.m_availableIndex = -1;
    }
}

int Scheduler::workspaceWeight(const std::string &workspace) const
{
    const WorkspacePlan *plan = findWorkspace(m_table->m_plan, workspace);
    if (plan == nullptr) {
        return 1;
    }
    const int steps = std::max(0, PrioritySteps + 1 - plan->m_priority);
    return plan->m_weight << std::min(PrioritySteps, steps);
}

int Scheduler::requestWeight(const WorkRequest &request) const
{
    return workspaceWeight(request.m_workspace);
}

bool Scheduler::exceedsShare(const Pool &pool, const WorkRequest &request) const
{
    if (!m_admission.m_fair || request.m_resumed || pool.m_runningByFlow.size() < 2) {
        return false;
    }
    const auto own = pool.m_runningByFlow.find(flowKey(request));
    if (own == pool.m_runningByFlow.end()) {
        return false;
    }
    int active = 0;
    for (const std::pair<const std::string, int> &flow : pool.m_runningByFlow) {
        active += workspaceWeight(flow.first);
    }
    // The counts of one gateway are small, so a flow exceeds its share only when it is well above it.
    const double share = pool.m_capacity / m_settings.m_gateways * requestWeight(request) / std::max(1, active);
    return own->second > OverShareFactor * share + 1.0;
}
}
