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
constexpr std::int64_t IsolationNoticeMs = 400;
}

void Scheduler::updateCrashRecords(const RunningRequest &running, AttemptEnd end, std::int64_t nowMs)
{
    const bool known = m_crashTracker.suspicionOf(running.m_request.m_fingerprint, nowMs) != CrashSuspicion::None;
    if (end == AttemptEnd::Finished && known) {
        m_crashTracker.clear(running.m_request.m_fingerprint, nowMs);
    }
    if (end == AttemptEnd::UpstreamLost) {
        m_crashTracker.recordCrash(running.m_request.m_fingerprint, running.m_isolated, nowMs);
    }
}

void Scheduler::chooseIsolatedUpstream(const std::string &name, Pool &pool, std::int64_t nowMs)
{
    std::uint64_t best = 0;
    pool.m_isolatedUpstream = NoUpstreamIndex;
    for (const std::uint32_t index : pool.m_members) {
        const UpstreamState &state = m_upstreams[index];
        const bool warm = state.m_inTable && state.m_info->m_phase == GroupPhase::Warm;
        if (!warm || !acceptsNewWork(state, nowMs) || nowMs < state.m_isolatedUntilMs) {
            continue;
        }
        // The weight includes the name of this gateway, so that two gateways rarely choose the same upstream.
        const std::uint64_t weight = rendezvousWeight(name + m_settings.m_self, state.m_info->m_id);
        if (pool.m_isolatedUpstream == NoUpstreamIndex || weight > best) {
            pool.m_isolatedUpstream = index;
            best = weight;
        }
    }
    pool.m_isolatedSinceMs = nowMs;
}

void Scheduler::runSuspects(Pool &pool, std::int64_t nowMs, Actions &actions)
{
    const bool busy = pool.m_isolatedUpstream != NoUpstreamIndex && m_upstreams[pool.m_isolatedUpstream].m_running > 0;
    if (pool.m_suspects.empty() && !busy) {
        if (pool.m_isolatedUpstream != NoUpstreamIndex) {
            m_upstreams[pool.m_isolatedUpstream].m_isolatedUntilMs = -1;
            updateAvailability(pool.m_isolatedUpstream, nowMs);
        }
        pool.m_isolatedUpstream = NoUpstreamIndex;
        return;
    }
    // The upstream may have failed, been replaced or turned cold since it was chosen.
    const bool lost =
        pool.m_isolatedUpstream != NoUpstreamIndex
        && (!acceptsNewWork(m_upstreams[pool.m_isolatedUpstream], nowMs) || m_upstreams[pool.m_isolatedUpstream].m_info->m_phase != GroupPhase::Warm);
    if (pool.m_isolatedUpstream == NoUpstreamIndex || lost) {
        if (pool.m_suspects.empty()) {
            return;
        }
        chooseIsolatedUpstream(m_waiting[pool.m_suspects.front()].m_pool, pool, nowMs);
    }
    if (pool.m_isolatedUpstream == NoUpstreamIndex) {
        return;
    }
    UpstreamState &state = m_upstreams[pool.m_isolatedUpstream];
    state.m_isolatedUntilMs = nowMs + IsolationMs;
    updateAvailability(pool.m_isolatedUpstream, nowMs);
    const bool settled = nowMs >= pool.m_isolatedSinceMs + IsolationNoticeMs && state.m_othersRunning == 0;
    if (pool.m_suspects.empty() || state.m_running > 0 || !settled) {
        return;
    }
    const std::uint64_t id = pool.m_suspects.front();
    pool.m_suspects.pop_front();
    const WorkRequest request = m_waiting[id];
    m_waiting.erase(id);
    start(pool, pool.m_isolatedUpstream, request, true, nowMs, actions);
}

std::vector<UpstreamReport> Scheduler::isolatedUpstreams() const
{
    std::vector<UpstreamReport> reports;
    for (const std::pair<const std::string, Pool> &entry : m_pools) {
        if (entry.second.m_isolatedUpstream != NoUpstreamIndex) {
            const Upstream &info = *m_upstreams[entry.second.m_isolatedUpstream].m_info;
            reports.push_back({info.m_id, info.m_generation, ReportKind::SetApart});
        }
    }
    return reports;
}
}
