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
};

enum class EventReassemblyState {
    Good,
    /** An event is missing, has no valid id or does not end; the attempt must be ended. */
    Broken,
};

/**
 * Combines the server-sent events of several attempts into one stream: complete events only, each id once, in order. An event that an
 * attempt left incomplete is discarded. Memory: at most MaxEventBytes of one incomplete event. Each byte is examined once.
 */
class EventReassembler
{
public:
    /** Events that are longer than this count as unreadable. An event holds a few tokens. */
    static constexpr std::size_t MaxEventBytes = 256 * 1024;

    /** @param lastEventId id of the last event that the client has received; empty if it has received none. */
    explicit EventReassembler(std::optional<std::int64_t> lastEventId = std::nullopt);

    /** Starts a new attempt: discards the incomplete event of the previous one and clears Broken. */
    void startAttempt();
    /** Adds bytes of the current attempt and returns the events to be forwarded now; none once the attempt is Broken. */
    EventBatch feed(std::string_view bytes);
    EventReassemblyState state() const;
    /** Returns whether the bytes of an incomplete event are buffered. */
    bool hasPartialEvent() const;
    /** Returns the id of the last event that was returned by feed() or that the client had before; empty if there is none. */
    std::optional<std::int64_t> lastEventId() const;

private:
    std::optional<std::int64_t> m_lastEventId;
    std::string m_partialEvent;
    /** Start of the last line in m_partialEvent, which is not complete. */
    std::size_t m_lineStart = 0;
    EventReassemblyState m_state = EventReassemblyState::Good;
};

/** Returns the number in the first "id:" line of @p event, or nothing if there is no such line or no number in it. */
std::optional<std::int64_t> parseEventId(std::string_view event);
}
