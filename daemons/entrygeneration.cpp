// Problem: a generation must reach a replica of its model that can begin it in time, and must go on although that replica may fail at any moment.
// Approach: a request waits for a short time for a replica that is expected to be in time, and is refused at once if there is none. If the replica falls
// silent or the connection breaks, the stream is continued at another replica (entrystream.h).
// Sending each request at once would fill the queues of slow replicas, in which it may wait for longer than its client does.

#include "daemons/entryadmission.h"
#include "daemons/entrystream.h"

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

awaitable<StreamAttemptResult> tryReplica(EntryCall &call, StreamState &state, const TrackedReplica &chosen)
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
            co_return StreamAttemptResult::NotRun;
        }
        state.m_mayHaveRun = true;
        co_return StreamAttemptResult::Failed;
    }
    if (attempt.proof() == AnswerProof::NotRun) {
        constexpr unsigned Misdirected = 421;
        const bool isFull = attempt.status() != Misdirected;
        const WithheldReason reason = isFull ? WithheldReason::Full : WithheldReason::Unreachable;
        context.m_availability.withhold(head, replica.m_epoch, reason, isFull ? FullMs : UnreachableMs, steadyMs());
        attempt.handleRefusal();
        state.m_wasRefused = true;
        logAttemptFailed(call, head, AttemptOutcome::NotRun, "refused with status " + std::to_string(attempt.status()));
        co_return StreamAttemptResult::NotRun;
    }
    state.m_mayHaveRun = true;
    if (attempt.status() != Ok || attempt.proof() != AnswerProof::Answered) {
        logAttemptFailed(call, head, AttemptOutcome::MayHaveRun, "answered with status " + std::to_string(attempt.status()));
        co_return co_await readFailure(attempt, state);
    }
    attempt.learnFromAnswer();
    context.m_availability.recordAccepted(head);
    const auto recordEvents = [&call, &state, &registration](int events) {
        if (state.m_events == events) {
            recordFirstEvent(call);
        }
        registration.event(events);
    };
    const StreamAttemptResult end = co_await relayEvents(call, attempt, state, replica.m_name, recordEvents);
    if (end == StreamAttemptResult::Final && !call.m_caller.m_lastEventId && call.m_sends == 1) {
        recordAnswerLength(call, state.m_events);
    }
    co_return end;
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
awaitable<void> giveUpWithoutReplica(EntryCall &call, StreamState &state)
{
    const std::int64_t nowMs = steadyMs();
    const std::int64_t untilMs = turnedAwayUntilMs(call, nowMs);
    if (timeLeftMs(call) <= 0) {
        co_await giveUpStream(call, state, overdueReason(call), NoReplicaRetryMs);
    } else if (untilMs > nowMs) {
        co_await giveUpStream(call, state, RefusalReason::TurnedAway, spreadOwnReturnMs(call.m_context, untilMs - nowMs));
    } else {
        co_await giveUpStream(call, state, state.m_wasRefused ? RefusalReason::Overloaded : RefusalReason::NoUpstream, NoReplicaRetryMs);
    }
}

/**
 * Waits until a replica can take the request and returns it. Returns null if the request must be given up: its time is over, its client left, it has
 * waited for too long, or its first event would come too late.
 */
awaitable<const TrackedReplica *> waitForReplica(EntryCall &call, const StreamState &state)
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
    StreamState state(call.m_caller.m_lastEventId);
    const CallRoute &route = *call.m_admission.m_route;
    bufferClientStream(call);
    if (co_await admitGeneration(call) == AdmissionOutcome::Refused) {
        co_await giveUpStream(call, state, timeLeftMs(call) <= 0 ? overdueReason(call) : RefusalReason::Overloaded, overloadRetryMs(call.m_context));
        co_return;
    }
    while (true) {
        if (co_await waitForCrashVerdict(call) == CrashVerdict::Poison) {
            co_await giveUpStream(call, state, RefusalReason::PoisonRequest, poisonRetryAfterMs(call));
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
            co_await giveUpStream(call, state, RefusalReason::AttemptsSpent, NoReplicaRetryMs);
            co_return;
        }
        if (call.m_sends > 0 && state.m_headerSent) {
            logStreamResumed(call, state, chosen->m_ref.m_name);
        }
        const StreamAttemptResult end = co_await tryReplica(call, state, *chosen);
        if (end == StreamAttemptResult::Final) {
            co_await endAnswer(call, state);
            co_return;
        }
        countAttempt(state.m_attempts, end == StreamAttemptResult::NotRun ? AttemptOutcome::NotRun : AttemptOutcome::MayHaveRun);
        if (isStreamOver(call)) {
            co_await giveUpStream(call, state, overdueReason(call), 0);
            co_return;
        }
        if (end == StreamAttemptResult::Failed && !mayTryAnotherUpstream(state.m_attempts, route)) {
            co_await giveUpStream(call, state, RefusalReason::OutcomeUnknown, 0);
            co_return;
        }
        ++call.m_context.m_metrics.m_resent;
    }
}
}
