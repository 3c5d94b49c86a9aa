// Problem: a client must receive its stream complete and without long pauses, although the upstream that generates it may fail at any time.
// Approach: complete events are forwarded as they arrive. A stream that breaks off is continued at another upstream after the last event, inside the same
// answer. A stream that cannot be continued is cut without its end, so that it cannot be taken for complete. Events that the client does not read yet are
// held by its exchange, so that the reading from the upstream never waits for a client. They are kept across attempts: an event counts as delivered once the
// exchange has accepted it, and the next attempt continues after the last one that is held.
// Ending it normally would hide the loss. Leaving the retry to the client would cost a connection and the time to notice the failure.

#include "daemons/entrystream.h"

#include "net/logging.h"

#include <utility>

namespace knapweedslip
{
namespace
{
constexpr unsigned Ok = 200;

awaitable<Result<Done>> sendHeader(EntryCall &call, const EntryAttempt &attempt, StreamState &state)
{
    state.m_headerSent = true;
    const HeaderFields headers = endToEndHeaders(attempt.headers());
    co_return co_await call.m_exchange.beginStream(attempt.status(), headers);
}

/** Hands @p events over to the client's exchange, after the header of the answer if these are the first. Does not wait for the client to read. */
awaitable<Result<Done>> deliverEvents(EntryCall &call, const EntryAttempt &attempt, StreamState &state, const EventBatch &events)
{
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
}

void bufferClientStream(EntryCall &call)
{
    call.m_exchange.bufferStream(call.m_context.m_clientBacklogs, [running = call.m_running](std::optional<BacklogCut> cut) {
        abortAttempt(*running, cut ? AbortCause::ClientCut : AbortCause::CallerLeft);
    });
}

awaitable<StreamAttemptResult> relayEvents(EntryCall &call, EntryAttempt &attempt, StreamState &state, std::string upstream, EventsAction onEvents)
{
    EntryMetrics &metrics = call.m_context.m_metrics;
    while (true) {
        const Result<std::string_view> piece = co_await attempt.stream().read(HttpStream::NoTimeout);
        if (failed(piece)) {
            logAttemptFailed(call, upstream, AttemptOutcome::MayHaveRun, describe(errorOf(piece)));
            attempt.handleMissingAnswer();
            co_return StreamAttemptResult::Failed;
        }
        if (valueOf(piece).empty()) {
            break;
        }
        const EventBatch events = state.m_reassembler.feed(valueOf(piece));
        state.m_events += events.m_events;
        if (events.m_events > 0) {
            metrics.m_events += static_cast<std::uint64_t>(events.m_events);
            if (call.m_firstEventMs < 0) {
                call.m_firstEventMs = steadyMs() - call.m_arrivedMs;
                metrics.m_firstEvent.add(static_cast<double>(call.m_firstEventMs));
            }
            onEvents(events.m_events);
            attempt.recordEvent();
            const Result<Done> sent = co_await deliverEvents(call, attempt, state, events);
            if (failed(sent)) {
                abortAttempt(*call.m_running, AbortCause::CallerLeft);
                co_return StreamAttemptResult::Failed;
            }
        }
        if (state.m_reassembler.state() == EventReassemblyState::Broken) {
            logAttemptFailed(call, upstream, AttemptOutcome::MayHaveRun, "an event is missing, cannot be read or does not end");
            co_return StreamAttemptResult::Failed;
        }
    }
    const bool hasBody = call.m_exchange.request().m_method != "HEAD";
    if (hasBody && !state.m_reassembler.endsStream(attempt.stream().endsWithConnection())) {
        const std::string what = state.m_reassembler.hasPartialEvent() ? "the answer ended inside an event" : "the answer ended without an event";
        logAttemptFailed(call, upstream, AttemptOutcome::MayHaveRun, what);
        attempt.handleMissingAnswer();
        co_return StreamAttemptResult::Failed;
    }
    attempt.recordFinished();
    attempt.finish();
    if (!state.m_headerSent) {
        const Result<Done> sent = co_await sendHeader(call, attempt, state);
        if (failed(sent)) {
            co_return StreamAttemptResult::Failed;
        }
    }
    co_return StreamAttemptResult::Final;
}

awaitable<StreamAttemptResult> readFailure(EntryAttempt &attempt, StreamState &state)
{
    HttpReply reply;
    reply.m_status = attempt.status();
    reply.m_headers = endToEndHeaders(attempt.headers());
    const Result<Done> read = co_await attempt.readBody(reply.m_body);
    if (failed(read)) {
        co_return StreamAttemptResult::Failed;
    }
    attempt.finish();
    if (attempt.proof() != AnswerProof::Answered) {
        co_return StreamAttemptResult::Failed;
    }
    attempt.learnFromAnswer();
    state.m_failure = std::move(reply);
    state.m_hasFailure = true;
    co_return StreamAttemptResult::Failed;
}

awaitable<void> endAnswer(EntryCall &call, const StreamState &state)
{
    const Result<Done> ended = co_await call.m_exchange.endStream();
    if (const std::optional<BacklogCut> cut = call.m_exchange.cut()) {
        logClientCut(call, *cut, state.m_reassembler.lastEventId());
    }
    logCallEnd(call, failed(ended) ? (call.m_exchange.cut() ? "client-cut" : "caller-left") : "answered", Ok, {});
    ++call.m_context.m_metrics.m_answered;
}

awaitable<void> giveUpStream(EntryCall &call, StreamState &state, RefusalReason reason, std::int64_t retryAfterMs)
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

bool isStreamOver(const EntryCall &call)
{
    const AbortCause cause = call.m_running->m_cause;
    return cause == AbortCause::CallerLeft || cause == AbortCause::TimeOver || cause == AbortCause::Stopping || call.m_exchange.callerDisconnected();
}

void logStreamResumed(EntryCall &call, const StreamState &state, const std::string &upstream)
{
    ++call.m_context.m_metrics.m_resumed;
    logEvent(LogEvent::StreamResumed,
             {{"request", call.m_caller.m_requestId}, {"group", upstream}, {"last_event", state.m_reassembler.lastEventId().value_or(-1)}});
}

bool isEventStream(const HeaderFields &headers)
{
    constexpr std::string_view EventStream = "text/event-stream";
    const std::string_view type = headerValue(headers, "Content-Type").substr(0, EventStream.size());
    return beast::iequals(beast::string_view(type.data(), type.size()), beast::string_view(EventStream.data(), EventStream.size()));
}
}
