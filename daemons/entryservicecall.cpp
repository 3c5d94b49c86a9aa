// Problem: a short call must be answered once and in time although an upstream may be full, slow, unresponsive or give a wrong answer. Some calls
// may run only once.
// Approach: the least loaded upstream comes first. A call that certainly did not run is sent to another upstream at once. A call that may have run
// is sent to another one only if it may be repeated, within the route's attempts and the resend budget that all daemons share.
// Retrying after every error would pay for some work twice, such as a print run. Never retrying would lose answers that the next upstream would
// give.

#include "daemons/entrycall.h"

#include "net/logging.h"

namespace knapweedslip
{
namespace
{
/** A repeatable call is sent to another upstream if it has no answer after the route's latency target times this factor. */
constexpr double AttemptTimeoutFactor = 1.6;
/** Longest idle time of a connection that a call which may run only once reuses, in ms: after that, it may have been closed unnoticed. */
constexpr std::int64_t NonRepeatableMaxIdleMs = 1'500;
/** When a client should retry while no upstream accepts its call, in ms: about the time that a refused call would wait at a full upstream. */
constexpr std::int64_t RetryAfterMs = 120;
constexpr unsigned FirstServerError = 500;

/** Result of one attempt. */
enum class AttemptResult {
    /** The client has its final answer. */
    Final,
    /** The call did not run. */
    NotRun,
    /** The call may have run, but gave no answer that can be forwarded. */
    Unknown,
    /** The call ran and failed; its answer is used if no later attempt succeeds. */
    Failed,
};

struct CallState
{
    std::set<std::string> m_tried;
    /** Attempts that ran or may have run. */
    int m_runs = 0;
    /** An attempt may have run without a usable answer. */
    bool m_unknown = false;
    HttpReply m_failure;
    bool m_hasFailure = false;
};

/** Returns what the end of an attempt without a usable answer tells of the upstream. */
CallOutcome outcomeWithoutAnswer(const EntryCall &call)
{
    switch (call.m_running->m_cause) {
    case AbortCause::None:
        return CallOutcome::Spoiled;
    case AbortCause::CallerLeft:
        return CallOutcome::Abandoned;
    default:
        return CallOutcome::Unreachable;
    }
}

/** Sends the answer of an upstream to the client and logs the end of the call with @p outcome. */
awaitable<void> forwardReply(EntryCall &call, HttpReply reply, const char *outcome)
{
    const unsigned status = reply.m_status;
    reply.m_headers = endToEndHeaders(reply.m_headers);
    const Result<Done> sent = co_await call.m_exchange.respond(std::move(reply));
    const std::optional<BacklogCut> cut = call.m_exchange.cut();
    if (cut) {
        logClientCut(call, *cut, std::nullopt);
    }
    logCallEnd(call, failed(sent) ? (cut ? "client-cut" : "caller-left") : outcome, status, {});
    ++call.m_context.m_metrics.m_answered;
}

awaitable<AttemptResult> tryOnce(EntryCall &call, CallState &state, const TrackedUpstream &chosen, bool repeatable)
{
    const std::string service = call.m_service->m_name;
    const std::string upstream = chosen.m_id;
    const std::string address = chosen.m_address;
    logCallSent(call, upstream, {}, 0.0, chosen.m_coldUntilMs);
    if (repeatable) {
        call.m_running->m_attemptDeadlineMs =
            steadyMs() + static_cast<std::int64_t>(AttemptTimeoutFactor * static_cast<double>(call.m_admission.m_route->m_latencyTargetMs));
    }
    EntryContext &context = call.m_context;
    context.m_upstreamSelector.begin(context.m_availability, service, upstream, steadyMs());
    EntryAttempt attempt(call);
    AttemptTarget target{upstream, address};
    const OpenResult opened = co_await attempt.open(std::move(target), std::nullopt, repeatable ? 0 : NonRepeatableMaxIdleMs);
    const std::int64_t nowMs = steadyMs();
    if (opened != OpenResult::Answered) {
        const CallOutcome outcome = opened == OpenResult::NotSent ? CallOutcome::Unreachable : outcomeWithoutAnswer(call);
        context.m_upstreamSelector.end(context.m_availability, service, upstream, outcome, -1, nowMs);
        logAttemptFailed(call, upstream, opened == OpenResult::NotSent ? AttemptOutcome::NotRun : AttemptOutcome::MayHaveRun, attempt.error());
        co_return opened == OpenResult::NotSent ? AttemptResult::NotRun : AttemptResult::Unknown;
    }
    HttpReply reply;
    const Result<Done> read = co_await attempt.readBody(reply.m_body);
    if (attempt.proof() == AnswerProof::NotRun) {
        if (!failed(read)) {
            attempt.handleRefusal();
        }
        context.m_upstreamSelector.end(context.m_availability, service, upstream, CallOutcome::Refused, attempt.answer().m_load, steadyMs());
        logAttemptFailed(call, upstream, AttemptOutcome::NotRun, "refused with status " + std::to_string(attempt.status()));
        attempt.finish();
        co_return AttemptResult::NotRun;
    }
    if (failed(read) || attempt.proof() != AnswerProof::Answered) {
        context.m_upstreamSelector.end(context.m_availability, service, upstream, outcomeWithoutAnswer(call), -1, steadyMs());
        logAttemptFailed(call,
                         upstream,
                         AttemptOutcome::MayHaveRun,
                         failed(read) ? describe(errorOf(read)) : "the answer is not signed, was altered, or belongs to another request");
        co_return AttemptResult::Unknown;
    }
    attempt.learnFromAnswer();
    reply.m_status = attempt.status();
    reply.m_headers = attempt.headers();
    attempt.recordFinished();
    attempt.finish();
    const bool failure = reply.m_status >= FirstServerError;
    context.m_upstreamSelector.end(
        context.m_availability, service, upstream, failure ? CallOutcome::Failed : CallOutcome::Answered, attempt.answer().m_load, steadyMs());
    if (failure && repeatable) {
        state.m_failure = std::move(reply);
        state.m_hasFailure = true;
        co_return AttemptResult::Failed;
    }
    co_await forwardReply(call, std::move(reply), "answered");
    co_return AttemptResult::Final;
}

/** Ends the call without a further attempt, with the best answer that is still possible. */
awaitable<void> giveUp(EntryCall &call, CallState &state, RefusalReason reason, std::int64_t retryAfterMs = RetryAfterMs)
{
    if (state.m_hasFailure) {
        co_await forwardReply(call, std::move(state.m_failure), "failed");
    } else if (call.m_exchange.callerDisconnected()) {
        logCallEnd(call, "caller-left", 0, {});
        call.m_exchange.abort();
    } else if (state.m_unknown) {
        co_await refuseCall(call, timeLeftMs(call) <= 0 ? reasonAfterDispatch(overdueReason(call), true) : RefusalReason::OutcomeUnknown, 0);
    } else {
        co_await refuseCall(call, reason, reason == RefusalReason::PoisonRequest ? poisonRetryAfterMs(call) : retryAfterMs);
    }
}

/** Ends the call because no upstream may be sent it now. */
awaitable<void> giveUpWithoutUpstream(EntryCall &call, CallState &state)
{
    const std::int64_t nowMs = steadyMs();
    const Withheld first = call.m_context.m_upstreamSelector.shortage(call.m_context.m_availability, call.m_service->m_name, nowMs).first();
    if (first.m_reason == WithheldReason::TurnedAway) {
        co_await giveUp(call, state, RefusalReason::TurnedAway, spreadOwnReturnMs(call.m_context, first.m_untilMs - nowMs));
    } else {
        co_await giveUp(call, state, RefusalReason::NoUpstream);
    }
}
}

awaitable<void> relayServiceCall(EntryCall &call)
{
    const CallRoute &route = *call.m_admission.m_route;
    const bool repeatable = route.m_kind == CallKind::Idempotent;
    const EntryContext &context = call.m_context;
    call.m_exchange.bufferStream(context.m_clientBacklogs, {});
    CallState state;
    while (true) {
        call.m_running->m_attemptDeadlineMs = 0;
        if (co_await waitForCrashVerdict(call) == CrashVerdict::Poison) {
            co_await giveUp(call, state, RefusalReason::PoisonRequest);
            co_return;
        }
        if (call.m_exchange.callerDisconnected() || timeLeftMs(call) <= 0) {
            co_await giveUp(call, state, context.m_endsNow ? RefusalReason::Draining : RefusalReason::NoTime);
            co_return;
        }
        const std::int64_t nowMs = steadyMs();
        const TrackedUpstream *chosen =
            context.m_upstreamSelector.choose(context.m_availability, call.m_service->m_name, context.m_settings.m_availabilityZone, state.m_tried, nowMs);
        if (chosen == nullptr) {
            co_await giveUpWithoutUpstream(call, state);
            co_return;
        }
        if (!allowColdRequest(call.m_context, chosen->m_id, chosen->m_coldUntilMs, call.m_service->m_coldRequestsPerSecond, nowMs)) {
            state.m_tried.insert(chosen->m_id);
            continue;
        }
        if (call.m_sends > 0 && !resendBudget(call.m_context, call.m_service->m_name).trySpend(nowMs)) {
            co_await giveUp(call, state, RefusalReason::AttemptsSpent);
            co_return;
        }
        state.m_tried.insert(chosen->m_id);
        const AttemptResult end = co_await tryOnce(call, state, *chosen, repeatable);
        if (end == AttemptResult::Final) {
            co_return;
        }
        if (end == AttemptResult::Unknown || end == AttemptResult::Failed) {
            ++state.m_runs;
            state.m_unknown = state.m_unknown || end == AttemptResult::Unknown;
            if (!repeatable || state.m_runs >= route.m_maxAttempts) {
                co_await giveUp(call, state, RefusalReason::AttemptsSpent);
                co_return;
            }
        }
        ++call.m_context.m_metrics.m_resent;
    }
}
}
