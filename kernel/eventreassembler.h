#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace knapweedslip
{
/** Complete events from the stream of one attempt. */
struct EventBatch
{
    /** The complete events, to be forwarded unchanged; empty if there are none. */
    std::string m_bytes;
    /** Number of events in m_bytes. */
    int m_events = 0;
    /** Id of the last event in m_bytes. */
    std::int64_t m_lastEventId = -1;
};

enum class EventReassemblyState {
    Good,
    /** An event is missing, has no valid id or does not end; the attempt must be ended. */
    Broken,
};

/** How far the text of an incomplete event was searched for its end. */
struct EventScan
{
    /** Start of the last line, which is not complete. */
    std::size_t m_lineStart = 0;
    /** What is before this was examined. */
    std::size_t m_examined = 0;
};

/**
 * Returns the length of the event at the start of @p text including its empty line, or 0 if it is incomplete. @p scan tells what an earlier call with the
 * beginning of @p text has examined, and is brought up to date.
 */
std::size_t completeEventLength(std::string_view text, EventScan &scan);

/** Returns whether @p text, a series of events, ends inside an event. */
bool endsInsideEvent(std::string_view text);

/**
 * Combines the server-sent events of several attempts into one stream: complete events only, each id once, in order. An event that an
 * attempt left incomplete is discarded. Memory: at most MaxEventBytes of one incomplete event. Each byte is examined once.
 *
 * Only recordDelivered() moves the point from which the next attempt continues: events that were read but not delivered, for whatever reason, are
 * requested again. Events that are held for the client in a queue that is kept across attempts count as delivered.
 */
class EventReassembler
{
public:
    /** Events that are longer than this count as unreadable. An event holds a few tokens. */
    static constexpr std::size_t MaxEventBytes = 256 * 1024;

    /** @param lastEventId id of the last event that the client has received; empty if it has received none. */
    explicit EventReassembler(std::optional<std::int64_t> lastEventId = std::nullopt);

    /** Starts a new attempt: discards what the previous one read and did not deliver, and clears Broken. */
    void startAttempt();
    /**
     * Adds bytes of the current attempt and returns the events to be forwarded now: all complete ones, also those before a place where the attempt turns
     * out to be Broken; none after it.
     */
    EventBatch feed(std::string_view bytes);
    /** Records that the events of @p batch were handed over to the client's connection, or to a queue that sends them before all later ones. */
    void recordDelivered(const EventBatch &batch);
    EventReassemblyState state() const;
    /** Returns whether the bytes of an incomplete event are buffered. */
    bool hasPartialEvent() const;
    /**
     * Returns whether an attempt whose answer has ended ended the stream with it. An answer without a length ends with its connection, and so does one whose
     * upstream has ended: without an event of its own it proves nothing. @p endsWithConnection tells whether this is such an answer.
     */
    bool endsStream(bool endsWithConnection) const;
    /** Returns the id of the last event that was delivered or that the client had before; empty if there is none. */
    std::optional<std::int64_t> lastEventId() const;

private:
    std::optional<std::int64_t> m_deliveredId;
    /** Id of the last event that the current attempt brought, or m_deliveredId. */
    std::optional<std::int64_t> m_readId;
    /** The current attempt brought an event that the client did not have. */
    bool m_hasNewEvents = false;
    std::string m_partialEvent;
    EventScan m_scan;
    EventReassemblyState m_state = EventReassemblyState::Good;
};

/** Returns the number in the first "id:" line of @p event, or nothing if there is no such line or no number in it. */
std::optional<std::int64_t> parseEventId(std::string_view event);
}
