#pragma once

#include "daemons/entrycall.h"

#include "kernel/attemptcounter.h"
#include "kernel/eventreassembler.h"

#include <functional>
#include <optional>
#include <string>

namespace knapweedslip
{
/** Result of one attempt at a streamed answer. */
enum class StreamAttemptResult {
    /** The answer is complete. */
    Final,
    /** Nothing ran, so that the attempt does not count against the route's limit. */
    NotRun,
    /** The request was sent and may have run. It may be continued elsewhere if its route allows that and attempts are left. */
    Failed,
};

/** The state of one client's stream, which is kept across attempts. */
struct StreamState
{
    explicit StreamState(std::optional<std::int64_t> lastEventId)
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
    /** An upstream refused an attempt without running it. */
    bool m_wasRefused = false;
    /** An error answer of an upstream, which is used if no later attempt succeeds. */
    HttpReply m_failure;
    bool m_hasFailure = false;
};

/** Called with the number of events that have just arrived, before they are forwarded. */
using EventsAction = std::function<void(int)>;

/** Makes the client's exchange hold events that the client does not read yet, and aborts the attempt when nothing more can be written. */
void bufferClientStream(EntryCall &call);

/**
 * Forwards the events of one attempt to the client, whose header was read and proves to be an answer of @p upstream. Complete events are forwarded as they
 * arrive; an answer that breaks off, also inside an event, is not Final.
 */
awaitable<StreamAttemptResult> relayEvents(EntryCall &call, EntryAttempt &attempt, StreamState &state, std::string upstream, EventsAction onEvents);

/** Reads an error answer of an upstream and keeps it in @p state. */
awaitable<StreamAttemptResult> readFailure(EntryAttempt &attempt, StreamState &state);

/** Ends the client's stream once all of it was written. The attempt is over before, so that a client that reads slowly occupies no slot. */
awaitable<void> endAnswer(EntryCall &call, const StreamState &state);

/** Ends the request without a further attempt, with the best answer that is still possible. */
awaitable<void> giveUpStream(EntryCall &call, StreamState &state, RefusalReason reason, std::int64_t retryAfterMs);

/** Returns whether the attempt that ended last was aborted for a reason that ends the whole request, or the client has left. */
bool isStreamOver(const EntryCall &call);

/** Logs that the stream goes on at @p upstream after the events that the client has. */
void logStreamResumed(EntryCall &call, const StreamState &state, const std::string &upstream);

/** Returns whether an answer with these @p headers is a series of events. */
bool isEventStream(const HeaderFields &headers);
}
