// Problem: a short call must be answered once and in time although an upstream may be full, slow, unresponsive or give a wrong answer. Some calls
// may run only once.
// Approach: the least loaded upstream comes first. A call that certainly did not run is sent to another upstream at once. A call that may have run
// is sent to another one only if it may be repeated, within the route's attempts and the resend budget that all daemons share.
// A streamed answer is forwarded event by event (entrystream.h), since only its events tell whether it ended early.
// Retrying after every error would pay for some work twice, such as a print run. Never retrying would lose answers that the next upstream would
// give.

#include "daemons/entrystream.h"

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

/** The upstream for the next attempt, or why there is none. */
struct UpstreamChoice
{
    TrackedUpstream m_upstream;
    /** None if there is one. */
    RefusalReason m_reason = RefusalReason::None;
    std::int64_t m_retryAfterMs = RetryAfterMs;
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
    case AbortCause::ClientCut:
        return CallOutcome::Abandoned;
    default:
        return CallOutcome::Unreachable;
    }
}

/** Limits the time of an attempt whose request may be sent to another upstream; a route without a latency target sets no limit. */
void limitAttempt(EntryCall &call)
{
    const double targetMs = static_cast<double>(call.m_admission.m_route->m_latencyTargetMs);
    if (targetMs > 0.0) {
        call.m_running->m_attemptDeadlineMs = steadyMs() + static_cast<std::int64_t>(AttemptTimeoutFactor * targetMs);
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

/** Reads the answer to its end. Fails also if it is a series of events that ends with its connection and inside an event. */
awaitable<Result<Done>> readWholeAnswer(EntryAttempt &attempt, std::string &body)
{
    const Result<Done> read = co_await attempt.readBody(body);
    if (!failed(read) && attempt.stream().endsWithConnection() && isEventStream(attempt.headers()) && endsInsideEvent(body)) {
        attempt.handleMissingAnswer();
        co_return Error{ErrorCode::ConnectionLost, "the answer ended inside an event"};
    }
    co_return read;
}

awaitable<AttemptResult> tryOnce(EntryCall &call, CallState &state, const TrackedUpstream &chosen, bool repeatable)
{
    const std::string service = call.m_service->m_name;
    const std::string upstream = chosen.m_id;
    const std::string address = chosen.m_address;
    logCallSent(call, upstream, {}, 0.0, chosen.m_coldUntilMs);
    if (repeatable) {
        limitAttempt(call);
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
    const Result<Done> read = co_await readWholeAnswer(attempt, reply.m_body);
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
                         failed(read) ? describe(errorOf(read))
                                      : "the answer is not signed, was altered, belongs to another request, or has a status of \"not run\" alone");
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

/** Chooses the upstream for the next attempt, once it is known that the request may be sent, and spends what the attempt costs. */
awaitable<UpstreamChoice> chooseUpstream(EntryCall &call, std::set<std::string> &tried)
{
    EntryContext &context = call.m_context;
    const std::string &service = call.m_service->m_name;
    UpstreamChoice choice;
    if (co_await waitForCrashVerdict(call) == CrashVerdict::Poison) {
        choice.m_reason = RefusalReason::PoisonRequest;
        co_return choice;
    }
    if (call.m_exchange.callerDisconnected() || timeLeftMs(call) <= 0) {
        choice.m_reason = context.m_endsNow ? RefusalReason::Draining : RefusalReason::NoTime;
        co_return choice;
    }
    const std::int64_t nowMs = steadyMs();
    while (const TrackedUpstream *chosen =
               context.m_upstreamSelector.choose(context.m_availability, service, context.m_settings.m_availabilityZone, tried, nowMs)) {
        if (!allowColdRequest(context, chosen->m_id, chosen->m_coldUntilMs, call.m_service->m_coldRequestsPerSecond, nowMs)) {
            tried.insert(chosen->m_id);
            continue;
        }
        if (call.m_sends > 0 && !resendBudget(context, service).trySpend(nowMs)) {
            choice.m_reason = RefusalReason::AttemptsSpent;
            co_return choice;
        }
        tried.insert(chosen->m_id);
        choice.m_upstream = *chosen;
        co_return choice;
    }
    const Withheld first = context.m_upstreamSelector.shortage(context.m_availability, service, nowMs).first();
    choice.m_reason = first.m_reason == WithheldReason::TurnedAway ? RefusalReason::TurnedAway : RefusalReason::NoUpstream;
    if (choice.m_reason == RefusalReason::TurnedAway) {
        choice.m_retryAfterMs = spreadOwnReturnMs(context, first.m_untilMs - nowMs);
    }
    co_return choice;
}

/** Serves one attempt at a call whose answer should be a series of events. */
awaitable<AttemptResult> tryStream(EntryCall &call, StreamState &state, const TrackedUpstream &chosen)
{
    EntryContext &context = call.m_context;
    const CallRoute &route = *call.m_admission.m_route;
    const std::string service = call.m_service->m_name;
    const std::string upstream = chosen.m_id;
    const auto recordEnd = [&context, &service, &upstream](CallOutcome outcome, int load) {
        context.m_upstreamSelector.end(context.m_availability, service, upstream, outcome, load, steadyMs());
    };
    logCallSent(call, upstream, {}, 0.0, chosen.m_coldUntilMs);
    AttemptCounter attemptsWithThis = state.m_attempts;
    countAttempt(attemptsWithThis, AttemptOutcome::MayHaveRun);
    if (mayTryAnotherUpstream(attemptsWithThis, route)) {
        limitAttempt(call);
    }
    context.m_upstreamSelector.begin(context.m_availability, service, upstream, steadyMs());
    EntryAttempt attempt(call);
    state.m_reassembler.startAttempt();
    AttemptTarget target{upstream, chosen.m_address};
    const OpenResult opened = co_await attempt.open(std::move(target), state.m_reassembler.lastEventId(), route.m_resumable ? 0 : NonRepeatableMaxIdleMs);
    if (opened != OpenResult::Answered) {
        const bool isSent = opened != OpenResult::NotSent;
        recordEnd(isSent ? outcomeWithoutAnswer(call) : CallOutcome::Unreachable, -1);
        logAttemptFailed(call, upstream, isSent ? AttemptOutcome::MayHaveRun : AttemptOutcome::NotRun, attempt.error());
        state.m_mayHaveRun = state.m_mayHaveRun || isSent;
        co_return isSent ? AttemptResult::Unknown : AttemptResult::NotRun;
    }
    if (attempt.proof() == AnswerProof::NotRun) {
        std::string body;
        const Result<Done> read = co_await attempt.readBody(body);
        attempt.handleRefusal();
        recordEnd(CallOutcome::Refused, attempt.answer().m_load);
        logAttemptFailed(call, upstream, AttemptOutcome::NotRun, "refused with status " + std::to_string(attempt.status()));
        if (!failed(read)) {
            attempt.finish();
        }
        co_return AttemptResult::NotRun;
    }
    state.m_mayHaveRun = true;
    const bool isAnswer = attempt.proof() == AnswerProof::Answered;
    if (!isAnswer || attempt.status() >= FirstServerError) {
        logAttemptFailed(call, upstream, AttemptOutcome::MayHaveRun, "answered with status " + std::to_string(attempt.status()));
        co_await readFailure(attempt, state);
        recordEnd(isAnswer ? CallOutcome::Failed : outcomeWithoutAnswer(call), attempt.answer().m_load);
        co_return isAnswer ? AttemptResult::Failed : AttemptResult::Unknown;
    }
    if (isEventStream(attempt.headers())) {
        attempt.learnFromAnswer();
        const auto endLimit = [&call](int) {
            call.m_running->m_attemptDeadlineMs = 0;
        };
        const StreamAttemptResult end = co_await relayEvents(call, attempt, state, upstream, endLimit);
        const bool isFinal = end == StreamAttemptResult::Final;
        recordEnd(isFinal ? CallOutcome::Answered : outcomeWithoutAnswer(call), attempt.answer().m_load);
        if (isFinal) {
            co_await endAnswer(call, state);
        }
        co_return isFinal ? AttemptResult::Final : AttemptResult::Unknown;
    }
    HttpReply reply;
    const Result<Done> read = co_await attempt.readBody(reply.m_body);
    if (failed(read) || state.m_headerSent) {
        recordEnd(failed(read) ? outcomeWithoutAnswer(call) : CallOutcome::Spoiled, -1);
        logAttemptFailed(call, upstream, AttemptOutcome::MayHaveRun, failed(read) ? describe(errorOf(read)) : "the stream goes on without events");
        co_return AttemptResult::Unknown;
    }
    attempt.learnFromAnswer();
    reply.m_status = attempt.status();
    reply.m_headers = attempt.headers();
    attempt.recordFinished();
    attempt.finish();
    recordEnd(CallOutcome::Answered, attempt.answer().m_load);
    co_await forwardReply(call, std::move(reply), "answered");
    co_return AttemptResult::Final;
}
}

awaitable<void> relayServiceCall(EntryCall &call)
{
    const CallRoute &route = *call.m_admission.m_route;
    const bool repeatable = route.m_kind == CallKind::Idempotent;
    call.m_exchange.bufferStream(call.m_context.m_clientBacklogs, {});
    CallState state;
    while (true) {
        call.m_running->m_attemptDeadlineMs = 0;
        const UpstreamChoice choice = co_await chooseUpstream(call, state.m_tried);
        if (choice.m_reason != RefusalReason::None) {
            co_await giveUp(call, state, choice.m_reason, choice.m_retryAfterMs);
            co_return;
        }
        const AttemptResult end = co_await tryOnce(call, state, choice.m_upstream, repeatable);
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

awaitable<void> relayServiceStream(EntryCall &call)
{
    StreamState state(call.m_caller.m_lastEventId);
    std::set<std::string> tried;
    bufferClientStream(call);
    while (true) {
        call.m_running->m_attemptDeadlineMs = 0;
        const UpstreamChoice choice = co_await chooseUpstream(call, tried);
        if (choice.m_reason != RefusalReason::None) {
            const bool isOverdue = state.m_mayHaveRun && timeLeftMs(call) <= 0;
            const bool isPoison = choice.m_reason == RefusalReason::PoisonRequest;
            co_await giveUpStream(call, state, isOverdue ? overdueReason(call) : choice.m_reason, isPoison ? poisonRetryAfterMs(call) : choice.m_retryAfterMs);
            co_return;
        }
        if (state.m_headerSent) {
            logStreamResumed(call, state, choice.m_upstream.m_id);
        }
        const AttemptResult end = co_await tryStream(call, state, choice.m_upstream);
        if (end == AttemptResult::Final) {
            co_return;
        }
        countAttempt(state.m_attempts, end == AttemptResult::NotRun ? AttemptOutcome::NotRun : AttemptOutcome::MayHaveRun);
        if (isStreamOver(call)) {
            co_await giveUpStream(call, state, overdueReason(call), 0);
            co_return;
        }
        if (end != AttemptResult::NotRun && !mayTryAnotherUpstream(state.m_attempts, *call.m_admission.m_route)) {
            co_await giveUpStream(call, state, RefusalReason::OutcomeUnknown, 0);
            co_return;
        }
        ++call.m_context.m_metrics.m_resent;
    }
}
}
