#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace knapweedslip
{
/** Whole events cut from the bytes of one attempt. */
struct EventPiece
{
    /** One or more whole events, to be passed on unchanged. */
    std::string m_bytes;
    int m_events = 0;
};

enum class EventJoinState {
    Good,
    /** An event is missing or its number cannot be read: this attempt must not be continued. */
    Broken,
};

/**
 * Joins the numbered events of several attempts to one answer: whole events only, each number once, in order. An attempt that was cut in
 * the middle of an event leaves nothing behind. Memory: the bytes of one unfinished event.
 */
class EventJoin
{
public:
    /** @param lastId number of the last event that the client already has; absent when it has none. */
    explicit EventJoin(std::optional<std::int64_t> lastId = std::nullopt);

    /** A new attempt begins: what is left of the one before is dropped. */
    void restart();
    /** Takes bytes of the current attempt and returns the events that are to be passed on now. */
    EventPiece feed(std::string_view bytes);
    EventJoinState state() const;
    /** Bytes of an unfinished event are held. */
    bool insideEvent() const;
    /** Number of the last event passed on or known to the client. */
    std::optional<std::int64_t> lastId() const;

private:
    std::optional<std::int64_t> m_lastId;
    std::string m_rest;
    EventJoinState m_state = EventJoinState::Good;
};

/** The number in the "id:" line of an event, or nothing. */
std::optional<std::int64_t> eventNumber(std::string_view event);
}
