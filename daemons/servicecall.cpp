// Problem: a call such as a print order or a payment must run at most once, and a reported "not run" must be true.
// Approach: a call with an idempotency key is claimed in the intent ledger before its first byte is sent, on a new connection. Its outcome is
// then "not run" (nothing was sent, or the service refused it), "ran" (its reply arrived) or "unknown". An unknown outcome is never retried.
// Without a key a repeated call cannot be recognised, so the call is sent once and retried only if nothing of it was sent or it was refused.

#include "daemons/servicecall.h"

#include "daemons/attempt.h"
#include "kernel/hashing.h"
#include "kernel/upstreamanswer.h"
#include "net/logging.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
constexpr std::int64_t ConnectTimeoutMs = 1'000;
constexpr std::int64_t DefaultRetryAfterMs = 1'000;
constexpr std::int64_t ClaimTimeoutMs = 5'000;
constexpr std::int64_t RunningPollMs = 200;
constexpr unsigned FirstServerError = 500;
/** Recorded instead of a status when it is unknown whether the call ran. */
constexpr std::uint16_t UnknownOutcomeStatus = 0;

struct CallState
{
    GatewayContext &m_context;
    HttpExchange &m_exchange;
    ServiceCall m_call;
    std::string m_requestId;
    IntentOp m_claimOp;
    bool m_claimed = false;
    std::int64_t m_startedMs = 0;
};

struct CallResult
{
    RunOutcome m_outcome = RunOutcome::NotRun;
    AttemptEnd m_end = AttemptEnd::Neutral;
    Error m_error;
    HttpReply m_reply;
};

WorkRequest makeWorkRequest(CallState &state)
{
    WorkRequest work;
    work.m_id = state.m_context.m_nextRequest++;
    work.m_workspace = state.m_call.m_workspace;
    work.m_pool = state.m_call.m_service;
    work.m_deadlineMs = state.m_call.m_deadlineMs;
    const std::string text = state.m_call.m_method + " " + state.m_call.m_target + "\n" + state.m_call.m_body;
    work.m_fingerprint = hash64(text, hash64(state.m_call.m_workspace + "/" + state.m_call.m_service));
    work.m_query.m_workspace = work.m_workspace;
    return work;
}

HttpRequest makeServiceRequest(const CallState &state)
{
    HttpRequest request;
    request.m_method = state.m_call.m_method;
    request.m_target = state.m_call.m_target;
    request.m_body = state.m_call.m_body;
    request.m_headers.emplace_back("Content-Type", "application/json");
    request.m_headers.emplace_back("X-Request-Id", state.m_requestId);
    if (!state.m_call.m_idempotencyKey.empty()) {
        request.m_headers.emplace_back("Idempotency-Key", state.m_call.m_idempotencyKey);
    }
    return request;
}

/** Returns what a reply on a connection that is @p reused or new proves about the call. */
AnswerProof proveReply(const CallState &state, const HttpReply &reply, bool reused)
{
    constexpr unsigned FirstError = 400;
    AnswerClaims claims;
    claims.m_requestId = headerValue(reply.m_headers, "X-Request-Id");
    claims.m_success = reply.m_status < FirstError;
    claims.m_notRun = !headerValue(reply.m_headers, "X-Not-Run").empty();
    // These upstreams do not sign.
    claims.m_signed = true;
    return proveAnswer(claims, state.m_requestId, reused);
}

/** Returns the outcome of a call from a complete reply. */
CallResult classifyReply(const HttpReply &reply, AnswerProof proof)
{
    CallResult result;
    if (proof == AnswerProof::NotRun) {
        result.m_end = AttemptEnd::Refused;
        result.m_error = Error{ErrorCode::UpstreamRefused, std::string(headerValue(reply.m_headers, "X-Not-Run"))};
        return result;
    }
    if (proof != AnswerProof::Answered) {
        result.m_outcome = RunOutcome::Unknown;
        result.m_error = Error{ErrorCode::ProtocolViolation, "the reply belongs to another request"};
        return result;
    }
    result.m_outcome = RunOutcome::Ran;
    result.m_end = AttemptEnd::Finished;
    result.m_reply = reply;
    return result;
}

awaitable<CallResult> sendOnce(CallState &state, const Upstream &upstream)
{
    CallResult result;
    Result<HttpConnectionPtr> connected = co_await connectUpstream(state.m_context, upstream, !state.m_call.m_idempotent, ConnectTimeoutMs);
    if (failed(connected)) {
        result.m_end = AttemptEnd::Unreachable;
        result.m_error = errorOf(connected);
        co_return result;
    }
    // The upstream may have left service while the key was claimed and the connection opened, so it is checked again before the request is sent.
    if (!state.m_context.m_dispatcher->mayDispatch(upstream)) {
        result.m_error = Error{ErrorCode::NoUpstream, "the upstream left service"};
        co_return result;
    }
    HttpConnectionPtr connection = std::move(valueOf(connected));
    const std::int64_t remainingMs = std::max<std::int64_t>(1, state.m_call.m_deadlineMs - steadyMs());
    const Result<HttpReply> reply = co_await httpExchange(*connection, makeServiceRequest(state), remainingMs, MaxAnswerBytes);
    if (failed(reply)) {
        result.m_outcome = RunOutcome::Unknown;
        result.m_error = errorOf(reply);
        const bool lost = errorOf(reply).m_code == ErrorCode::ConnectionLost;
        result.m_end = lost && !connection->m_reused ? AttemptEnd::UpstreamLost : AttemptEnd::Unreachable;
        co_return result;
    }
    const AnswerProof proof = proveReply(state, valueOf(reply), connection->m_reused);
    if (proof == AnswerProof::Answered || proof == AnswerProof::NotRun) {
        const HeaderFields &headers = valueOf(reply).m_headers;
        applyEngineHeaders(state.m_context,
                           upstream,
                           std::string(headerValue(headers, "X-Engine-Running")),
                           headerValue(headers, "X-Engine-Cold") == "1",
                           headerValue(headers, "X-Engine-Leaving") == "1");
    }
    result = classifyReply(valueOf(reply), proof);
    if (result.m_outcome == RunOutcome::Ran) {
        state.m_context.m_connections.give(std::move(connection));
    }
    co_return result;
}

awaitable<void> sendProblem(CallState &state, Error error, std::int64_t retryAfterMs, RunOutcome outcome)
{
    logEvent(outcome == RunOutcome::Unknown ? LogEvent::OutcomeUnknown : LogEvent::RequestRefused,
             {{"request", state.m_requestId}, {"workspace", state.m_call.m_workspace}, {"service", state.m_call.m_service}, {"error", describe(error)}});
    if (outcome == RunOutcome::Unknown) {
        ++state.m_context.m_metrics.m_unknownOutcomes;
    }
    co_await state.m_exchange.respond(problemWithOutcome(error, retryAfterMs, outcome));
}

HttpReply makeRanReply(const CallState &state, unsigned status, const std::string &body, bool replayed)
{
    HttpReply reply = jsonReply(status, body);
    reply.m_headers.emplace_back("X-Request-Id", state.m_requestId);
    reply.m_headers.emplace_back("X-Run-Outcome", "ran");
    if (replayed) {
        reply.m_headers.emplace_back("Idempotent-Replayed", "true");
    }
    return reply;
}

/** Returns true unless the owner of a claim, "name/incarnation", is known to be dead. Must be called on the control thread. */
bool mayOwnerBeAlive(const GatewayContext &context, const std::string &owner)
{
    if (owner == context.m_ledger->owner()) {
        return true;
    }
    const std::size_t slash = owner.rfind('/');
    const Membership &membership = context.m_node->membership();
    const std::string name = owner.substr(0, slash);
    const auto member = membership.m_members.find(name);
    const bool sameIncarnation =
        member != membership.m_members.end() && slash != std::string::npos && owner.substr(slash + 1) == std::to_string(member->second.m_incarnation);
    return sameIncarnation && isMemberAlive(membership, name, steadyMs());
}

/** Calls mayOwnerBeAlive() on the control thread, which owns the membership. Returns true if there is no result within ConnectTimeoutMs. */
awaitable<bool> mayOwnerBeAliveOnControlThread(GatewayContext &context, std::string owner)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const std::shared_ptr<OneShot<bool>> answer = std::make_shared<OneShot<bool>>(executor);
    asio::post(context.m_node->context(), [&context, owner, answer]() {
        answer->set(mayOwnerBeAlive(context, owner));
    });
    const std::optional<bool> isAlive = co_await answer->wait(ConnectTimeoutMs);
    co_return isAlive.value_or(true);
}

/** Claims the idempotency key. Returns false, after responding to the caller, if the call must not be dispatched. */
awaitable<bool> claimIdempotencyKey(CallState &state, std::uint64_t fingerprint)
{
    state.m_claimOp.m_key = intentKey(state.m_call.m_workspace, state.m_call.m_idempotencyKey);
    state.m_claimOp.m_fingerprint = fingerprint;
    state.m_claimOp.m_nonce = randomId();
    while (true) {
        const std::int64_t remainingMs = state.m_call.m_deadlineMs - steadyMs();
        const Result<IntentResult> result =
            co_await state.m_context.m_ledger->apply(state.m_claimOp, std::min(ClaimTimeoutMs, std::max<std::int64_t>(1, remainingMs)));
        if (failed(result)) {
            co_await sendProblem(state, errorOf(result), DefaultRetryAfterMs, RunOutcome::NotRun);
            co_return false;
        }
        const IntentResult &intent = valueOf(result);
        switch (intent.m_outcome) {
        case IntentOutcome::Started:
            state.m_claimed = true;
            co_return true;
        case IntentOutcome::Finished:
            if (intent.m_status == UnknownOutcomeStatus) {
                co_await sendProblem(state, Error{ErrorCode::OutcomeUnknown, "the reply of the service was lost"}, 0, RunOutcome::Unknown);
            } else if (intent.m_bodyKept) {
                co_await state.m_exchange.respond(makeRanReply(state, intent.m_status, intent.m_body, true));
            } else {
                co_await sendProblem(state, Error{ErrorCode::OutcomeNotKept, "status " + std::to_string(intent.m_status)}, 0, RunOutcome::Ran);
            }
            co_return false;
        case IntentOutcome::KeyReused:
            co_await sendProblem(state, Error{ErrorCode::KeyReused, "header Idempotency-Key"}, 0, RunOutcome::NotRun);
            co_return false;
        case IntentOutcome::Full:
        case IntentOutcome::TimedOut:
        case IntentOutcome::Recorded:
            co_await sendProblem(state, Error{ErrorCode::Overloaded, "the intent ledger is full"}, DefaultRetryAfterMs, RunOutcome::NotRun);
            co_return false;
        case IntentOutcome::Running:
            break;
        }
        if (!co_await mayOwnerBeAliveOnControlThread(state.m_context, intent.m_owner)) {
            co_await sendProblem(state, Error{ErrorCode::OutcomeUnknown, "the gateway that sent the call is no longer alive"}, 0, RunOutcome::Unknown);
            co_return false;
        }
        if (steadyMs() + RunningPollMs >= state.m_call.m_deadlineMs) {
            co_await sendProblem(state, Error{ErrorCode::AlreadyRunning, "the call has not finished yet"}, DefaultRetryAfterMs, RunOutcome::Unknown);
            co_return false;
        }
        co_await sleepFor(RunningPollMs);
    }
}

/** Records the outcome of a claimed call, or releases its key if the call did not run. */
void recordOutcome(CallState &state, const CallResult &result)
{
    if (!state.m_claimed) {
        return;
    }
    IntentOp op = state.m_claimOp;
    op.m_kind = result.m_outcome == RunOutcome::NotRun ? IntentOpKind::Release : IntentOpKind::Finish;
    if (result.m_outcome == RunOutcome::Ran) {
        op.m_status = static_cast<std::uint16_t>(result.m_reply.m_status);
        op.m_body = result.m_reply.m_body;
    } else {
        // An unknown outcome is recorded too, so that a repeat of the key is answered immediately instead of waiting for a result in vain.
        op.m_status = UnknownOutcomeStatus;
    }
    state.m_context.m_ledger->applyInBackground(std::move(op));
}

awaitable<void> sendRanReply(CallState &state, CallResult result)
{
    ++state.m_context.m_metrics.m_answered;
    state.m_context.m_metrics.m_responseMs.add(static_cast<double>(steadyMs() - state.m_startedMs));
    co_await state.m_exchange.respond(makeRanReply(state, result.m_reply.m_status, result.m_reply.m_body, false));
}

void reportFailure(CallState &state, const Upstream &upstream, const CallResult &result)
{
    logEvent(LogEvent::AttemptFailed, {{"request", state.m_requestId}, {"upstream", upstream.m_id}, {"error", describe(result.m_error)}});
    if (result.m_end == AttemptEnd::UpstreamLost || result.m_end == AttemptEnd::Unreachable) {
        reportUpstream(state.m_context, upstream, ReportKind::Doubt);
    }
}

/** Returns true if a call with this result may be sent again. */
bool mayRetry(const CallState &state, const CallResult &result)
{
    const bool serverError = result.m_outcome == RunOutcome::Ran && result.m_reply.m_status >= FirstServerError;
    return result.m_outcome == RunOutcome::NotRun || (state.m_call.m_idempotent && (result.m_outcome == RunOutcome::Unknown || serverError));
}
}

awaitable<void> relayServiceCall(GatewayContext &context, HttpExchange &exchange, ServiceCall call)
{
    CallState state{context, exchange, std::move(call), {}, {}, false, steadyMs()};
    state.m_requestId = context.m_settings.m_common.m_name + "-" + toHex(randomId());
    WorkRequest work = makeWorkRequest(state);
    const bool needsClaim = !state.m_call.m_idempotent && !state.m_call.m_idempotencyKey.empty();
    while (true) {
        const Action action = co_await context.m_dispatcher->submit(work);
        if (action.m_kind == ActionKind::Refuse) {
            recordOutcome(state, CallResult{});
            co_await sendProblem(state, Error{action.m_error, ""}, std::max(DefaultRetryAfterMs, action.m_retryAfterMs), RunOutcome::NotRun);
            co_return;
        }
        if (needsClaim && !state.m_claimed) {
            const bool claimed = co_await claimIdempotencyKey(state, work.m_fingerprint);
            if (!claimed) {
                context.m_dispatcher->finish(work.m_id, AttemptEnd::Neutral);
                co_return;
            }
        }
        CallResult result = co_await sendOnce(state, *action.m_upstream);
        context.m_dispatcher->finish(work.m_id, result.m_end);
        if (result.m_outcome == RunOutcome::Ran && !mayRetry(state, result)) {
            recordOutcome(state, result);
            co_await sendRanReply(state, std::move(result));
            co_return;
        }
        reportFailure(state, *action.m_upstream, result);
        if (!mayRetry(state, result)) {
            recordOutcome(state, result);
            co_await sendProblem(state, Error{ErrorCode::OutcomeUnknown, describe(result.m_error)}, 0, RunOutcome::Unknown);
            co_return;
        }
        work.m_id = context.m_nextRequest++;
        ++work.m_attempt;
        work.m_query.m_excluded.push_back(action.m_upstream->m_id);
    }
}
}
