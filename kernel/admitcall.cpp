// Problem: a key that was taken away must be refused within seconds by every daemon, also by one that is cut off from the store; and a route
// that was just added must not be denied by a daemon that has not heard of it.
// Approach: whatever is decided rests on the age of the proof that the configuration is current: too old for keys, nothing keyed runs; not
// quite new, nothing is denied for good.
// Serving the last known configuration for ever breaks the first rule, and stopping at the first lost answer serves nobody.

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

RefusalReason truthfulReason(RefusalReason reason, bool mayHaveRun)
{
    constexpr unsigned NotRunStatus = 503;
    return mayHaveRun && refusalStatus(reason) == NotRunStatus ? RefusalReason::OutcomeUnknown : reason;
}

bool takenWhileStopping(const StopTimes &stop, CallKind kind, std::int64_t nowMs, std::int64_t callEndMs)
{
    return nowMs < stop.m_takeUntilMs || (kind != CallKind::Streaming && callEndMs < stop.m_endMs);
}

CallVerdict admitCall(const CallConfig *config, const ConfigAge &age, const CurrencyLimits &limits, const CallQuery &query)
{
    CallVerdict verdict;
    if (config == nullptr) {
        verdict.m_reason = RefusalReason::NoConfiguration;
        return verdict;
    }
    const bool mayDeny = age.m_proofAgeMs >= 0 && age.m_proofAgeMs <= limits.m_denyMs;
    verdict.m_route = findRoute(*config, query.m_host, query.m_path);
    if (verdict.m_route == nullptr) {
        verdict.m_reason = mayDeny ? RefusalReason::UnknownRoute : RefusalReason::NoConfiguration;
        return verdict;
    }
    verdict.m_priority = verdict.m_route->m_priority;
    if (!verdict.m_route->m_public && !config->m_workspaces.empty()) {
        if (age.m_proofAgeMs < 0 || age.m_proofAgeMs > limits.m_keyMs) {
            verdict.m_reason = RefusalReason::StaleKeys;
            return verdict;
        }
        verdict.m_workspace = findWorkspace(*config, query.m_key);
        if (verdict.m_workspace == nullptr) {
            verdict.m_reason = mayDeny ? RefusalReason::UnknownKey : RefusalReason::StaleKeys;
            return verdict;
        }
        verdict.m_priority = verdict.m_workspace->m_priority.value_or(verdict.m_priority);
    }
    verdict.m_timeMs = verdict.m_route->m_timeoutMs;
    if (query.m_timeLeftMs >= 0) {
        verdict.m_timeMs = verdict.m_timeMs > 0 ? std::min(verdict.m_timeMs, query.m_timeLeftMs) : query.m_timeLeftMs;
    }
    if (verdict.m_timeMs <= 0) {
        verdict.m_reason = RefusalReason::NoTime;
    }
    return verdict;
}
}
