// Problem: a short call must be answered once and in time though an upstream may be full, slow, dark or lie; some calls may run only once.
// Approach: least loaded upstream first. What certainly did not run goes to another at once; what may have run goes to another only when it
// may be repeated, within the route's attempts and the budget that all daemons share.
// Repeating after any error pays twice for a print run; repeating after none loses answers that the next upstream would give.

#include "daemons/entrycall.h"

#include "net/logging.h"

namespace knapweedslip
{
namespace
{
/** A repeatable call is tried elsewhere when it has no answer after this part of the time for which an answer is on time. */
constexpr double TryPart = 1.6;
/** A connection that was idle for longer may have been dropped unseen; what may run only once must not meet that, in ms. */
constexpr std::int64_t OnceFreshMs = 1'500;
/** When a client should come back while no upstream takes its call, in ms: a refused call's wait at a full upstream. */
constexpr std::int64_t RetryAfterMs = 120;
constexpr unsigned FirstServerError = 500;

/** How one attempt ended, for what comes next. */
enum class TryEnd {
    /** The client has its final answer. */
    Final,
    NotRun,
    /** It may have run and given nothing that can be passed on. */
    Unknown,
    /** It ran and failed; the answer is kept in case it is the last. */
    Failed,
};

struct CallState
{
    std::set<std::string> m_tried;
    int m_runs = 0;
    /** An attempt may have run. */
    bool m_unknown = false;
    HttpReply m_failure;
    bool m_hasFailure = false;
};

awaitable<void> passOn(EntryCall &call, HttpReply reply, const char *outcome)
{
    const unsigned status = reply.m_status;
    reply.m_headers = endToEndHeaders(reply.m_headers);
    const Result<Done> sent = co_await call.m_exchange.respond(std::move(reply));
    logCallEnd(call, failed(sent) ? "caller-left" : outcome, status, {});
    ++call.m_context.m_metrics.m_answered;
}

awaitable<bool> readBody(EntryAttempt &attempt, std::string &body)
{
    while (true) {
        const Result<std::string_view> piece = co_await attempt.stream().read(HttpStream::NoTimeout);
        if (failed(piece)) {
            co_return false;
        }
        if (valueOf(piece).empty()) {
            co_return true;
        }
        body.append(valueOf(piece));
    }
}

awaitable<TryEnd> tryOnce(EntryCall &call, CallState &state, const BookedUpstream &chosen, bool repeatable)
{
    const std::string service = call.m_service->m_name;
    const std::string upstream = chosen.m_id;
    const std::string address = chosen.m_address;
    logCallSent(call, upstream, {}, 0.0);
    if (repeatable) {
        call.m_running->m_tryEndMs = steadyMs() + static_cast<std::int64_t>(TryPart * static_cast<double>(call.m_verdict.m_route->m_latencyTargetMs));
    }
    call.m_context.m_services.begin(service, upstream);
    EntryAttempt attempt(call);
    AttemptTarget target{upstream, address};
    const AttemptOpen opened = co_await attempt.open(std::move(target), std::nullopt, repeatable ? 0 : OnceFreshMs);
    const std::int64_t nowMs = steadyMs();
    if (opened != AttemptOpen::Answered) {
        call.m_context.m_services.end(service, upstream, CallEnd::Lost, -1, nowMs);
        logAttemptFailed(call, upstream, attempt.error());
        co_return opened == AttemptOpen::NotSent ? TryEnd::NotRun : TryEnd::Unknown;
    }
    HttpReply reply;
    const bool whole = co_await readBody(attempt, reply.m_body);
    if (attempt.answer().m_notRun) {
        call.m_context.m_services.end(service, upstream, CallEnd::Refused, attempt.answer().m_load, steadyMs());
        logAttemptFailed(call, upstream, "refused with status " + std::to_string(attempt.status()));
        attempt.finish();
        co_return TryEnd::NotRun;
    }
    if (!whole || !attempt.genuine()) {
        call.m_context.m_services.end(service, upstream, CallEnd::Lost, -1, steadyMs());
        logAttemptFailed(call, upstream, whole ? "not this request's answer" : "the answer broke off");
        co_return TryEnd::Unknown;
    }
    reply.m_status = attempt.status();
    reply.m_headers = attempt.headers();
    attempt.finish();
    const bool failure = reply.m_status >= FirstServerError;
    call.m_context.m_services.end(service, upstream, failure ? CallEnd::Failed : CallEnd::Answered, attempt.answer().m_load, steadyMs());
    if (failure && repeatable) {
        state.m_failure = std::move(reply);
        state.m_hasFailure = true;
        co_return TryEnd::Failed;
    }
    co_await passOn(call, std::move(reply), "answered");
    co_return TryEnd::Final;
}

/** No further attempt: the best that can be said now. */
awaitable<void> giveUp(EntryCall &call, CallState &state, RefusalReason reason)
{
    if (state.m_hasFailure) {
        co_await passOn(call, std::move(state.m_failure), "failed");
    } else if (call.m_exchange.callerLeft()) {
        logCallEnd(call, "caller-left", 0, {});
        call.m_exchange.abort();
    } else if (state.m_unknown) {
        co_await refuseCall(call, timeLeftMs(call) <= 0 ? RefusalReason::TimeOver : RefusalReason::OutcomeUnknown, 0);
    } else {
        co_await refuseCall(call, reason, RetryAfterMs);
    }
}
}

awaitable<void> relayServiceCall(EntryCall &call)
{
    const CallRoute &route = *call.m_verdict.m_route;
    const bool repeatable = route.m_kind == CallKind::Idempotent;
    CallState state;
    while (true) {
        call.m_running->m_tryEndMs = 0;
        if (call.m_exchange.callerLeft() || timeLeftMs(call) <= 0) {
            co_await giveUp(call, state, RefusalReason::NoTime);
            co_return;
        }
        const std::int64_t nowMs = steadyMs();
        const BookedUpstream *chosen =
            call.m_context.m_services.choose(call.m_service->m_name, call.m_context.m_settings.m_availabilityZone, state.m_tried, nowMs);
        if (chosen == nullptr) {
            co_await giveUp(call, state, RefusalReason::NoUpstream);
            co_return;
        }
        if (!passColdGate(call.m_context, chosen->m_id, chosen->m_coldUntilMs, call.m_service->m_coldPerSecond, nowMs)) {
            state.m_tried.insert(chosen->m_id);
            continue;
        }
        if (call.m_sends > 0 && !budgetOf(call.m_context, call.m_service->m_name).trySpend(nowMs)) {
            co_await giveUp(call, state, RefusalReason::AttemptsSpent);
            co_return;
        }
        state.m_tried.insert(chosen->m_id);
        const TryEnd end = co_await tryOnce(call, state, *chosen, repeatable);
        if (end == TryEnd::Final) {
            co_return;
        }
        if (end == TryEnd::Unknown || end == TryEnd::Failed) {
            ++state.m_runs;
            state.m_unknown = state.m_unknown || end == TryEnd::Unknown;
            if (!repeatable || state.m_runs >= route.m_maxAttempts) {
                co_await giveUp(call, state, RefusalReason::AttemptsSpent);
                co_return;
            }
        }
        ++call.m_context.m_metrics.m_resent;
    }
}
}
