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
    case RefusalReason::PoisonRequest:
        return 429;
    case RefusalReason::None:
    case RefusalReason::NoConfiguration:
    case RefusalReason::StaleKeys:
    case RefusalReason::NoTime:
    case RefusalReason::NoUpstream:
    case RefusalReason::Overloaded:
    case RefusalReason::AttemptsSpent:
    case RefusalReason::Draining:
    case RefusalReason::TurnedAway:
        return 503;
    }
    return 503;
}

RefusalReason reasonAfterDispatch(RefusalReason reason, bool mayHaveRun)
{
    const unsigned status = refusalStatus(reason);
    const bool promisesNotRun = status == 429 || status == 503;
    return mayHaveRun && promisesNotRun ? RefusalReason::OutcomeUnknown : reason;
}

ShutdownDeadlines planShutdown(std::int64_t nowMs, std::int64_t graceMs)
{
    // The balancer needs two failed polls, a second apart, to send clients elsewhere.
    constexpr std::int64_t AcceptMs = 2'600;
    constexpr double EndFraction = 0.9;
    constexpr double ExitFraction = 0.96;
    const auto fraction = [graceMs](double share) {
        return static_cast<std::int64_t>(share * static_cast<double>(graceMs));
    };
    const std::int64_t endMs = fraction(EndFraction);
    // What is accepted last has as much time as the accepting took.
    return {nowMs + std::min(AcceptMs, endMs / 2), nowMs + endMs, nowMs + fraction(ExitFraction)};
}

bool acceptsDuringShutdown(const ShutdownDeadlines &deadlines, CallKind kind, std::int64_t nowMs, std::int64_t callEndMs)
{
    return nowMs < deadlines.m_acceptUntilMs || (kind != CallKind::Streaming && callEndMs < deadlines.m_endMs);
}

CallAdmission admitCall(const CallConfig *config, const ConfigAge &age, const ConfigAgeLimits &limits, const CallRequest &request)
{
    CallAdmission admission;
    if (config == nullptr) {
        admission.m_reason = RefusalReason::NoConfiguration;
        return admission;
    }
    const bool canDeny = age.m_ageMs >= 0 && age.m_ageMs <= limits.m_maxDenialAgeMs;
    admission.m_route = findRoute(*config, request.m_host, request.m_path);
    if (admission.m_route == nullptr) {
        admission.m_reason = canDeny ? RefusalReason::UnknownRoute : RefusalReason::NoConfiguration;
        return admission;
    }
    admission.m_priority = admission.m_route->m_priority;
    if (!admission.m_route->m_public && config->m_requiresKeys) {
        if (age.m_ageMs < 0 || age.m_ageMs > limits.m_maxKeyAgeMs) {
            admission.m_reason = RefusalReason::StaleKeys;
            return admission;
        }
        admission.m_workspace = findWorkspace(*config, request.m_key);
        if (admission.m_workspace == nullptr) {
            admission.m_reason = canDeny ? RefusalReason::UnknownKey : RefusalReason::StaleKeys;
            return admission;
        }
        admission.m_priority = admission.m_workspace->m_priority.value_or(admission.m_priority);
    }
    admission.m_timeLimitMs = admission.m_route->m_timeoutMs;
    if (request.m_timeLeftMs >= 0) {
        admission.m_timeLimitMs = admission.m_timeLimitMs > 0 ? std::min(admission.m_timeLimitMs, request.m_timeLeftMs) : request.m_timeLeftMs;
    }
    if (admission.m_timeLimitMs <= 0) {
        admission.m_reason = RefusalReason::NoTime;
    }
    return admission;
}
}
