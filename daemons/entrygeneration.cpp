// Problem: a client must receive its stream complete and without long pauses, although the replica that generates it may fail at any time.
// Approach: complete events are forwarded as they arrive. If the replica falls silent or the connection breaks, the stream is continued at another
// replica after the last event, inside the same answer. A stream that cannot be continued is cut without its end, so that it cannot be taken for
// complete. Events that the client does not read yet are held by its exchange, so that the reading from the replica never waits for a client. They are kept
// across attempts: an event counts as delivered once the exchange has accepted it, and the next attempt continues after the last one that is held.
// Ending it normally would hide the loss. Leaving the retry to the client would cost a connection and the time to notice the failure.

#include "daemons/entryadmission.h"
#include "daemons/entrycall.h"

#include "kernel/attemptcounter.h"
#include "kernel/eventreassembler.h"
#include "kernel/replicachoice.h"
#include "net/logging.h"

#include <utility>

namespace knapweedslip
{
namespace
{
/** Interval between checks for an available replica while there is none, in ms. */
constexpr std::int64_t NoReplicaPollMs = 10;
/** Fraction of the latency target (the time in which the first event is on time) for which a new request waits for a replica before it is refused. */
constexpr double MaxHoldFraction = 0.11;
/** When a client should retry while no replica serves its model, in ms: the time in which a new replica is formed. */
constexpr std::int64_t NoReplicaRetryMs = 700;
/** How long a replica gets no requests if it cannot be reached or says that it is not open, in ms: the list of upstreams lags by about as much. */
constexpr std::int64_t UnreachableMs = 500;
/** How long a replica gets no requests if it refused one because it was full, in ms: about one pass. */
constexpr std::int64_t FullMs = 60;
/** A request is refused if its first event is expected later than this fraction of the latency target: half of all first events come later than expected. */
constexpr double MaxExpectedFraction = 0.8;
/** The same with overload admission, which leaves few requests to this check: a refusal costs more than an answer that is a little late. */
constexpr double MaxExpectedFractionWithAdmission = 0.95;
/** Longest expected time to the first event of a request that is late already, in ms: clients leave after 2 s without an event (client interface). */
constexpr double MaxExpectedLateMs = 1'400.0;
constexpr unsigned Ok = 200;

/** Result of one attempt. */
enum class AttemptResult {
    /** The answer is complete. */
    Final,
    /** Nothing ran, so that the attempt does not count against the route's limit. */
    NotRun,
    /** The request was sent and may have run. It may be continued elsewhere if its route allows that and attempts are left. */
    Failed,
};

struct GenerationState
{
    explicit GenerationState(std::optional<std::int64_t> lastEventId)
        : m_reassembler(lastEventId)
    {
    }

    EventReassembler m_reassembler;
    AttemptCounter m_attempts;
    /** An attempt was sent and not refused: the client must no longer be told that the request did not run. */
    bool m_mayHaveRun = false;
    bool m_headerSent = false;
    /** Events that arrived. */
    std::int64_t m_events = 0;
    /** A replica refused an attempt without running it. */
    bool m_refusedFull = false;
    /** An error answer of an engine, which is used if no later attempt succeeds. */
    HttpReply m_failure;
    bool m_hasFailure = false;
};

StreamDetails streamDetails(const EntryCall &call)
{
    return {static_cast<std::int64_t>(call.m_answerTokens), upstreamPriority(call)};
}

/** Counts an attempt in the replica selector as long as this object exists. */
class AttemptRegistration
{
public:
    AttemptRegistration(EntryCall &call, const TrackedReplica &replica)
        : m_replicaSelector(call.m_context.m_replicaSelector)
        , m_running(*call.m_running)
        , m_availability(call.m_context.m_availability)
        , m_number(m_replicaSelector.begin(m_availability, replica, call.m_caller.m_promptTokens, steadyMs(), streamDetails(call)))
    {
        m_running.m_replica = replica.m_ref;
        m_running.m_streamId = m_number;
    }
    ~AttemptRegistration()
    {
        m_replicaSelector.end(m_number);
        m_running.m_replica = {};
        m_running.m_streamId = 0;
        m_running.m_mayTryAnotherReplica = false;
    }
    AttemptRegistration(const AttemptRegistration &) = delete;
    AttemptRegistration &operator=(const AttemptRegistration &) = delete;

    void event(int events)
    {
        m_replicaSelector.event(m_availability, m_number, events, steadyMs());
    }

private:
    ReplicaSelector &m_replicaSelector;
    RunningCall &m_running;
    UpstreamAvailability &m_availability;
    std::uint64_t m_number;
};

awaitable<Result<Done>> sendHeader(EntryCall &call, const EntryAttempt &attempt, GenerationState &state)
{
    state.m_headerSent = true;
    const HeaderFields headers = endToEndHeaders(attempt.headers());
    co_return co_await call.m_exchange.beginStream(attempt.status(), headers);
}

/** Reads an error answer of an engine and keeps it in @p state. */
awaitable<AttemptResult> readFailure(EntryAttempt &attempt, GenerationState &state)
{
    HttpReply reply;
    reply.m_status = attempt.status();
    reply.m_headers = endToEndHeaders(attempt.headers());
    const Result<Done> read = co_await attempt.readBody(reply.m_body);
    if (failed(read)) {
        co_return AttemptResult::Failed;
    }
    attempt.finish();
    if (attempt.proof() != AnswerProof::Answered) {
        co_return AttemptResult::Failed;
    }
    attempt.learnFromAnswer();
    state.m_failure = std::move(reply);
    state.m_hasFailure = true;
    co_return AttemptResult::Failed;
}

/** Hands @p events over to the client's exchange, after the header of the answer if these are the first. Does not wait for the client to read. */
awaitable<Result<Done>> deliverEvents(EntryCall &call, const EntryAttempt &attempt, GenerationState &state, const EventBatch &events)
{
    EntryMetrics &metrics = call.m_context.m_metrics;
    metrics.m_events += static_cast<std::uint64_t>(events.m_events);
    if (call.m_firstEventMs < 0) {
        call.m_firstEventMs = steadyMs() - call.m_arrivedMs;
        metrics.m_firstEvent.add(static_cast<double>(call.m_firstEventMs));
        recordFirstEvent(call);
    }
    if (!state.m_headerSent) {
        const Result<Done> begun = co_await sendHeader(call, attempt, state);
        if (failed(begun)) {
            co_return errorOf(begun);
        }
    }
    const Result<Done> sent = co_await call.m_exchange.writeChunk(events.m_bytes);
    if (!failed(sent)) {
        state.m_reassembler.recordDelivered(events);
    }
    co_return sent;
}

/** Forwards the events of one attempt to the client. */
awaitable<AttemptResult> relayEvents(EntryCall &call, EntryAttempt &attempt, GenerationState &state, AttemptRegistration &registration)
{
    while (true) {
        const Result<std::string_view> piece = co_await attempt.stream().read(HttpStream::NoTimeout);
        if (failed(piece)) {
            logAttemptFailed(call, call.m_running->m_replica.m_name, AttemptOutcome::MayHaveRun, describe(errorOf(piece)));
            attempt.handleMissingAnswer();
            co_return AttemptResult::Failed;
        }
        if (valueOf(piece).empty()) {
            break;
        }
        const EventBatch events = state.m_reassembler.feed(valueOf(piece));
        state.m_events += events.m_events;
        if (events.m_events > 0) {
            registration.event(events.m_events);
            attempt.recordEvent();
            const Result<Done> sent = co_await deliverEvents(call, attempt, state, events);
            if (failed(sent)) {
                abortAttempt(*call.m_running, AbortCause::CallerLeft);
                co_return AttemptResult::Failed;
            }
        }
        if (state.m_reassembler.state() == EventReassemblyState::Broken) {
            logAttemptFailed(call, call.m_running->m_replica.m_name, AttemptOutcome::MayHaveRun, "an event is missing, cannot be read or does not end");
            co_return AttemptResult::Failed;
        }
    }
    if (!state.m_reassembler.endsStream(attempt.stream().endsWithConnection())) {
        const std::string what = state.m_reassembler.hasPartialEvent() ? "the answer ended inside an event" : "the answer ended without an event";
        logAttemptFailed(call, call.m_running->m_replica.m_name, AttemptOutcome::MayHaveRun, what);
        attempt.handleMissingAnswer();
        co_return AttemptResult::Failed;
    }
    attempt.recordFinished();
    attempt.finish();
    if (!call.m_caller.m_lastEventId && call.m_sends == 1) {
        recordAnswerLength(call, state.m_events);
    }
    if (!state.m_headerSent) {
        const Result<Done> sent = co_await sendHeader(call, attempt, state);
        if (failed(sent)) {
            co_return AttemptResult::Failed;
        }
    }
    co_return AttemptResult::Final;
}

/** Ends the client's stream once all of it was written. The attempt is over before, so that a client that reads slowly occupies no slot. */
awaitable<void> endAnswer(EntryCall &call, const GenerationState &state)
{
    const Result<Done> ended = co_await call.m_exchange.endStream();
    if (const std::optional<BacklogCut> cut = call.m_exchange.cut()) {
        logClientCut(call, *cut, state.m_reassembler.lastEventId());
    }
    logCallEnd(call, failed(ended) ? (call.m_exchange.cut() ? "client-cut" : "caller-left") : "answered", Ok, {});
    ++call.m_context.m_metrics.m_answered;
}

awaitable<AttemptResult> tryReplica(EntryCall &call, GenerationState &state, const TrackedReplica &chosen)
{
    EntryContext &context = call.m_context;
    const ReplicaRef replica = chosen.m_ref;
    const std::string head = chosen.m_head;
    AttemptTarget target{chosen.m_head, chosen.m_address};
    const double expectedMs = context.m_replicaSelector.expectedMs(chosen, call.m_caller.m_promptTokens);
    if (call.m_sends == 0) {
        call.m_expectedMs = static_cast<double>(steadyMs() - call.m_arrivedMs) + expectedMs;
    }
    logCallSent(call, head, replica.m_name, expectedMs, chosen.m_coldUntilMs);
    AttemptRegistration registration(call, chosen);
    AttemptCounter attemptsWithThis = state.m_attempts;
    countAttempt(attemptsWithThis, AttemptOutcome::MayHaveRun);
    call.m_running->m_mayTryAnotherReplica = mayTryAnotherUpstream(attemptsWithThis, *call.m_admission.m_route);
    EntryAttempt attempt(call);
    state.m_reassembler.startAttempt();
    const OpenResult opened = co_await attempt.open(std::move(target), state.m_reassembler.lastEventId(), 0);
    if (opened != OpenResult::Answered) {
        logAttemptFailed(call, head, opened == OpenResult::NotSent ? AttemptOutcome::NotRun : AttemptOutcome::MayHaveRun, attempt.error());
        if (call.m_running->m_cause == AbortCause::None) {
            context.m_availability.withhold(head, replica.m_epoch, WithheldReason::Unreachable, UnreachableMs, steadyMs());
        }
        if (opened == OpenResult::NotSent) {
            co_return AttemptResult::NotRun;
        }
        state.m_mayHaveRun = true;
        co_return AttemptResult::Failed;
    }
    if (attempt.proof() == AnswerProof::NotRun) {
        constexpr unsigned Misdirected = 421;
        const bool isFull = attempt.status() != Misdirected;
        const WithheldReason reason = isFull ? WithheldReason::Full : WithheldReason::Unreachable;
        context.m_availability.withhold(head, replica.m_epoch, reason, isFull ? FullMs : UnreachableMs, steadyMs());
        attempt.handleRefusal();
        state.m_refusedFull = true;
        logAttemptFailed(call, head, AttemptOutcome::NotRun, "refused with status " + std::to_string(attempt.status()));
        co_return AttemptResult::NotRun;
    }
    state.m_mayHaveRun = true;
    if (attempt.status() != Ok || attempt.proof() != AnswerProof::Answered) {
        logAttemptFailed(call, head, AttemptOutcome::MayHaveRun, "answered with status " + std::to_string(attempt.status()));
        co_return co_await readFailure(attempt, state);
    }
    attempt.learnFromAnswer();
    context.m_availability.recordAccepted(head);
    co_return co_await relayEvents(call, attempt, state, registration);
}

/** Ends the request without a further attempt, with the best answer that is still possible. */
awaitable<void> giveUp(EntryCall &call, GenerationState &state, RefusalReason reason, std::int64_t retryAfterMs)
{
    if (const std::optional<BacklogCut> cut = call.m_exchange.cut()) {
        logClientCut(call, *cut, state.m_reassembler.lastEventId());
        call.m_exchange.abort();
    } else if (call.m_exchange.callerDisconnected() || call.m_running->m_cause == AbortCause::CallerLeft) {
        logEvent(LogEvent::CallerLeft,
                 {{"request", call.m_caller.m_requestId},
                  {"last_event", state.m_reassembler.lastEventId().value_or(-1)},
                  {"sends", static_cast<std::int64_t>(call.m_sends)},
                  {"after_ms", steadyMs() - call.m_arrivedMs}});
        call.m_exchange.abort();
    } else if (state.m_headerSent) {
        ++call.m_context.m_metrics.m_cut;
        logEvent(LogEvent::StreamBroken,
                 {{"request", call.m_caller.m_requestId},
                  {"reason", std::string(enumName(RefusalReasonNames, reason))},
                  {"last_event", state.m_reassembler.lastEventId().value_or(-1)},
                  {"sends", static_cast<std::int64_t>(call.m_sends)},
                  {"after_ms", steadyMs() - call.m_arrivedMs}});
        // The client may continue after the last event that it gets.
        co_await call.m_exchange.drain();
        call.m_exchange.abort();
    } else if (state.m_hasFailure) {
        const unsigned status = state.m_failure.m_status;
        co_await call.m_exchange.respond(std::move(state.m_failure));
        logCallEnd(call, "failed", status, {});
    } else {
        co_await refuseCall(call, reasonAfterDispatch(reason, state.m_mayHaveRun), retryAfterMs);
    }
}

/** Returns when a replica of the request's model takes requests again, if all of them turn requests away; otherwise -1. */
std::int64_t turnedAwayUntilMs(const EntryCall &call, std::int64_t nowMs)
{
    const Withheld first = call.m_context.m_replicaSelector.shortage(call.m_context.m_availability, call.m_caller.m_model, nowMs).first();
    return first.m_reason == WithheldReason::TurnedAway ? first.m_untilMs : -1;
}

/** Returns the longest expected time to the first event with which the request is sent for the first time, in ms. */
double maxExpectedMs(const EntryCall &call)
{
    const double targetMs = static_cast<double>(call.m_admission.m_route->m_latencyTargetMs);
    if (targetMs <= 0.0) {
        return MaxExpectedLateMs;
    }
    if (call.m_context.m_settings.m_overloadAdmission) {
        return call.m_isLate ? MaxExpectedLateMs : MaxExpectedFractionWithAdmission * targetMs;
    }
    return MaxExpectedFraction * targetMs + call.m_context.m_replicaSelector.firstEventBias().biasMs(call.m_caller.m_model);
}

/** Ends the request because no replica takes it in time. */
awaitable<void> giveUpWithoutReplica(EntryCall &call, GenerationState &state)
{
    const std::int64_t nowMs = steadyMs();
    const std::int64_t untilMs = turnedAwayUntilMs(call, nowMs);
    if (timeLeftMs(call) <= 0) {
        co_await giveUp(call, state, overdueReason(call), NoReplicaRetryMs);
    } else if (untilMs > nowMs) {
        co_await giveUp(call, state, RefusalReason::TurnedAway, spreadOwnReturnMs(call.m_context, untilMs - nowMs));
    } else {
        co_await giveUp(call, state, state.m_refusedFull ? RefusalReason::Overloaded : RefusalReason::NoUpstream, NoReplicaRetryMs);
    }
}

/**
 * Waits until a replica can take the request and returns it. Returns null if the request must be given up: its time is over, its client left, it has
 * waited for too long, or its first event would come too late.
 */
awaitable<const TrackedReplica *> waitForReplica(EntryCall &call, const GenerationState &state)
{
    const double targetMs = static_cast<double>(call.m_admission.m_route->m_latencyTargetMs);
    const std::int64_t holdMs = static_cast<std::int64_t>(MaxHoldFraction * targetMs);
    EntryContext &context = call.m_context;
    ReplicaQuery query;
    query.m_model = call.m_caller.m_model;
    query.m_promptTokens = call.m_caller.m_promptTokens;
    query.m_answerTokens = static_cast<std::int64_t>(call.m_answerTokens);
    query.m_ownZone = context.m_settings.m_availabilityZone;
    query.m_isConnected = [&context](const TrackedReplica &replica) {
        return context.m_connections.has(context.m_io.get_executor(), replica.m_address, replica.m_head);
    };
    if (call.m_sends == 0) {
        query.m_maxExpectedMs = maxExpectedMs(call);
    }
    while (true) {
        const std::int64_t nowMs = steadyMs();
        const int upstreamsEnded = context.m_crashLedger.upstreamsEnded(call.m_suspects.m_request);
        if (call.m_mayEndUpstreams || upstreamsEnded > 0) {
            query.m_partByKey = partingKey(call.m_suspects.m_request, upstreamsEnded);
        }
        const auto takePermit = [&call, &context, nowMs](const TrackedReplica &replica) {
            return allowColdRequest(context, replica.m_head, replica.m_coldUntilMs, call.m_service->m_coldRequestsPerSecond, nowMs);
        };
        const ReplicaChoice choice = chooseReplica(context.m_replicaSelector, context.m_availability, query, takePermit, nowMs);
        if (choice.m_outcome != ReplicaChoiceOutcome::NoneAvailable) {
            co_return choice.m_replica;
        }
        const bool over = timeLeftMs(call) <= 0 || call.m_exchange.callerDisconnected();
        const std::int64_t holdUntilMs = call.m_arrivedMs + holdMs;
        const bool waitsInVain = nowMs >= holdUntilMs || turnedAwayUntilMs(call, nowMs) > holdUntilMs;
        if (over || (!state.m_headerSent && waitsInVain)) {
            co_return nullptr;
        }
        co_await sleepFor(NoReplicaPollMs);
    }
}
}

awaitable<void> relayGeneration(EntryCall &call)
{
    GenerationState state(call.m_caller.m_lastEventId);
    const CallRoute &route = *call.m_admission.m_route;
    call.m_exchange.bufferStream(call.m_context.m_clientBacklogs, [running = call.m_running](std::optional<BacklogCut> cut) {
        abortAttempt(*running, cut ? AbortCause::ClientCut : AbortCause::CallerLeft);
    });
    if (co_await admitGeneration(call) == AdmissionOutcome::Refused) {
        co_await giveUp(call, state, timeLeftMs(call) <= 0 ? overdueReason(call) : RefusalReason::Overloaded, overloadRetryMs(call.m_context));
        co_return;
    }
    while (true) {
        if (co_await waitForCrashVerdict(call) == CrashVerdict::Poison) {
            co_await giveUp(call, state, RefusalReason::PoisonRequest, poisonRetryAfterMs(call));
            co_return;
        }
        const TrackedReplica *chosen = co_await waitForReplica(call, state);
        if (chosen == nullptr) {
            co_await giveUpWithoutReplica(call, state);
            co_return;
        }
        if (judgeCrashes(call).m_verdict != CrashVerdict::MaySend && timeLeftMs(call) > 0 && !call.m_exchange.callerDisconnected()) {
            // Upstreams ended under the request while it waited.
            continue;
        }
        const bool paid = std::exchange(call.m_running->m_resendPaid, false);
        if (call.m_sends > 0 && !paid && !resendBudget(call.m_context, call.m_service->m_name).trySpend(steadyMs())) {
            co_await giveUp(call, state, RefusalReason::AttemptsSpent, NoReplicaRetryMs);
            co_return;
        }
        if (call.m_sends > 0 && state.m_headerSent) {
            ++call.m_context.m_metrics.m_resumed;
            logEvent(LogEvent::StreamResumed,
                     {{"request", call.m_caller.m_requestId}, {"group", chosen->m_ref.m_name}, {"last_event", state.m_reassembler.lastEventId().value_or(-1)}});
        }
        const AttemptResult end = co_await tryReplica(call, state, *chosen);
        if (end == AttemptResult::Final) {
            co_await endAnswer(call, state);
            co_return;
        }
        countAttempt(state.m_attempts, end == AttemptResult::NotRun ? AttemptOutcome::NotRun : AttemptOutcome::MayHaveRun);
        const AbortCause cause = call.m_running->m_cause;
        const bool isOver = cause == AbortCause::CallerLeft || cause == AbortCause::TimeOver || cause == AbortCause::Stopping;
        if (isOver || call.m_exchange.callerDisconnected()) {
            co_await giveUp(call, state, overdueReason(call), 0);
            co_return;
        }
        if (end == AttemptResult::Failed && !mayTryAnotherUpstream(state.m_attempts, route)) {
            co_await giveUp(call, state, RefusalReason::OutcomeUnknown, 0);
            co_return;
        }
        ++call.m_context.m_metrics.m_resent;
    }
}
}
