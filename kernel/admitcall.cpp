// Problem: every daemon must reject a revoked key within seconds, even while it cannot reach the store, and a daemon that has not yet read
// a new route or key must not report it as unknown.
// Approach: each decision depends on how long ago the configuration was last known to be current. Above one age no key is accepted; above a
// second, shorter age a missing route or key is answered with 503, so that the client tries again, and not with 404 or 401.
// Serving the last known configuration forever would accept revoked keys, and refusing everything after one failed read of the store would
// turn a short outage of the store into one of the service.

#include "kernel/admitcall.h"

#include <algorithm>

namespace knapweedslip
{
unsigned refusalStatus(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::UnknownRoute:
        return 404;
    case RefusalReason::UnknownKey:
        return 401;
    case RefusalReason::OutcomeUnknown:
        return 502;
    case RefusalReason::TimeOver:
        return 504;
    case RefusalReason::None:
    case RefusalReason::NoConfiguration:
    case RefusalReason::StaleKeys:
    case RefusalReason::NoTime:
    case RefusalReason::NoUpstream:
    case RefusalReason::Overloaded:
    case RefusalReason::AttemptsSpent:
    case RefusalReason::Draining:
        return 503;
    }
    return 503;
}

RefusalReason reasonAfterDispatch(RefusalReason reason, bool mayHaveRun)
{
    constexpr unsigned NotExecutedStatus = 503;
    return mayHaveRun && refusalStatus(reason) == NotExecutedStatus ? RefusalReason::OutcomeUnknown : reason;
}

bool acceptsDuringShutdown(const ShutdownDeadlines &stop, CallKind kind, std::int64_t nowMs, std::int64_t callEndMs)
{
    return nowMs < stop.m_acceptUntilMs || (kind != CallKind::Streaming && callEndMs < stop.m_endMs);
}

CallAdmission admitCall(const CallConfig *config, const ConfigAge &age, const ConfigAgeLimits &limits, const CallRequest &query)
{
    CallAdmission verdict;
    if (config == nullptr) {
        verdict.m_reason = RefusalReason::NoConfiguration;
        return verdict;
    }
    const bool canDeny = age.m_ageMs >= 0 && age.m_ageMs <= limits.m_maxDenialAgeMs;
    verdict.m_route = findRoute(*config, query.m_host, query.m_path);
    if (verdict.m_route == nullptr) {
        verdict.m_reason = canDeny ? RefusalReason::UnknownRoute : RefusalReason::NoConfiguration;
        return verdict;
    }
    verdict.m_priority = verdict.m_route->m_priority;
    if (!verdict.m_route->m_public && !config->m_workspaces.empty()) {
        if (age.m_ageMs < 0 || age.m_ageMs > limits.m_maxKeyAgeMs) {
            verdict.m_reason = RefusalReason::StaleKeys;
            return verdict;
        }
        verdict.m_workspace = findWorkspace(*config, query.m_key);
        if (verdict.m_workspace == nullptr) {
            verdict.m_reason = canDeny ? RefusalReason::UnknownKey : RefusalReason::StaleKeys;
            return verdict;
        }
        verdict.m_priority = verdict.m_workspace->m_priority.value_or(verdict.m_priority);
    }
    verdict.m_timeLimitMs = verdict.m_route->m_timeoutMs;
    if (query.m_timeLeftMs >= 0) {
        verdict.m_timeLimitMs = verdict.m_timeLimitMs > 0 ? std::min(verdict.m_timeLimitMs, query.m_timeLeftMs) : query.m_timeLeftMs;
    }
    if (verdict.m_timeLimitMs <= 0) {
        verdict.m_reason = RefusalReason::NoTime;
    }
    return verdict;
}
}
