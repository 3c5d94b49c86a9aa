// Problem: find a request that crashes upstreams without refusing the innocent requests that ran beside it.
// Approach: suspects wait for an isolated upstream. This gateway sends it no other work, tells its peers, waits until they know and the
// upstream is idle, and then runs one suspect at a time. The state and phase of the upstream are checked again before each run.
// If suspects ran beside other requests, each crash would make suspects of all of them.

#include "kernel/scheduler.h"

#include "kernel/hashing.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
/** Time within which the peers learn that an upstream has been isolated. */
constexpr std::int64_t SetApartSettleMs = 400;
}

void Scheduler::settleStrikes(const Running &running, AttemptEnd end, std::int64_t nowMs)
{
    const bool known = m_strikes.judge(running.m_request.m_fingerprint, nowMs) != Suspicion::None;
    if (end == AttemptEnd::Finished && known) {
        m_strikes.clear(running.m_request.m_fingerprint, nowMs);
    }
    if (end == AttemptEnd::UpstreamLost) {
        m_strikes.strike(running.m_request.m_fingerprint, running.m_alone, nowMs);
    }
}

void Scheduler::chooseSetApart(const std::string &name, Pool &pool, std::int64_t nowMs)
{
    std::uint64_t best = 0;
    pool.m_setApart = NoUpstreamIndex;
    for (const std::uint32_t index : pool.m_members) {
        const UpstreamState &state = m_upstreams[index];
        const bool warm = state.m_present && state.m_info->m_phase == GroupPhase::Warm;
        if (!warm || !inCondition(state, nowMs) || nowMs < state.m_setApartUntilMs) {
            continue;
        }
        // The weight includes the name of this gateway, so that two gateways rarely choose the same upstream.
        const std::uint64_t weight = rendezvousWeight(name + m_settings.m_self, state.m_info->m_id);
        if (pool.m_setApart == NoUpstreamIndex || weight > best) {
            pool.m_setApart = index;
            best = weight;
        }
    }
    pool.m_setApartSinceMs = nowMs;
}

void Scheduler::runSuspects(Pool &pool, std::int64_t nowMs, Actions &actions)
{
    const bool busy = pool.m_setApart != NoUpstreamIndex && m_upstreams[pool.m_setApart].m_running > 0;
    if (pool.m_suspects.empty() && !busy) {
        if (pool.m_setApart != NoUpstreamIndex) {
            m_upstreams[pool.m_setApart].m_setApartUntilMs = -1;
            refresh(pool.m_setApart, nowMs);
        }
        pool.m_setApart = NoUpstreamIndex;
        return;
    }
    // The upstream may have failed, been replaced or turned cold since it was chosen.
    const bool lost = pool.m_setApart != NoUpstreamIndex
                      && (!inCondition(m_upstreams[pool.m_setApart], nowMs) || m_upstreams[pool.m_setApart].m_info->m_phase != GroupPhase::Warm);
    if (pool.m_setApart == NoUpstreamIndex || lost) {
        if (pool.m_suspects.empty()) {
            return;
        }
        chooseSetApart(m_waiting[pool.m_suspects.front()].m_pool, pool, nowMs);
    }
    if (pool.m_setApart == NoUpstreamIndex) {
        return;
    }
    UpstreamState &state = m_upstreams[pool.m_setApart];
    state.m_setApartUntilMs = nowMs + SetApartMs;
    refresh(pool.m_setApart, nowMs);
    const bool settled = nowMs >= pool.m_setApartSinceMs + SetApartSettleMs && state.m_othersRunning == 0;
    if (pool.m_suspects.empty() || state.m_running > 0 || !settled) {
        return;
    }
    const std::uint64_t id = pool.m_suspects.front();
    pool.m_suspects.pop_front();
    const WorkRequest request = m_waiting[id];
    m_waiting.erase(id);
    start(pool, pool.m_setApart, request, true, nowMs, actions);
}

std::vector<UpstreamReport> Scheduler::setApart() const
{
    std::vector<UpstreamReport> reports;
    for (const std::pair<const std::string, Pool> &entry : m_pools) {
        if (entry.second.m_setApart != NoUpstreamIndex) {
            const Upstream &info = *m_upstreams[entry.second.m_setApart].m_info;
            reports.push_back({info.m_id, info.m_generation, ReportKind::SetApart});
        }
    }
    return reports;
}
}
