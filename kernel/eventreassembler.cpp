// Problem: an upstream may stop in the middle of an event and another upstream may continue the stream, but the client must receive each
// event once, complete and in order.
// Approach: bytes are buffered until an event is complete. Events that the client already has are dropped, and a gap ends the attempt. What was read and
// what was delivered are two positions; the next attempt continues after the second.
// Forwarding bytes as they arrive would join part of an event of one attempt with an event of the next attempt.

#include "kernel/eventreassembler.h"

#include <charconv>

namespace knapweedslip
{
std::size_t completeEventLength(std::string_view text, EventScan &scan)
{
    while (scan.m_examined < text.size()) {
        const std::size_t end = text.find('\n', scan.m_examined);
        if (end == std::string_view::npos) {
            scan.m_examined = text.size();
            return 0;
        }
        const std::size_t line = scan.m_lineStart;
        const bool emptyLine = end == line || (end == line + 1 && text[line] == '\r');
        scan = {end + 1, end + 1};
        if (emptyLine) {
            return end + 1;
        }
    }
    return 0;
}

bool endsInsideEvent(std::string_view text)
{
    EventScan scan;
    for (std::size_t length = completeEventLength(text, scan); length > 0; length = completeEventLength(text, scan)) {
        text.remove_prefix(length);
        scan = {};
    }
    return !text.empty();
}

std::optional<std::int64_t> parseEventId(std::string_view event)
{
    constexpr std::string_view Field = "id:";
    for (std::size_t line = 0; line < event.size();) {
        const std::size_t end = event.find('\n', line);
        const std::size_t length = (end == std::string_view::npos ? event.size() : end) - line;
        std::string_view text = event.substr(line, length);
        if (text.compare(0, Field.size(), Field) == 0) {
            text.remove_prefix(Field.size());
            if (!text.empty() && text.front() == ' ') {
                text.remove_prefix(1);
            }
            std::int64_t number = 0;
            const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), number);
            return parsed.ec == std::errc() ? std::optional<std::int64_t>(number) : std::nullopt;
        }
        if (end == std::string_view::npos) {
            break;
        }
        line = end + 1;
    }
    return std::nullopt;
}

EventReassembler::EventReassembler(std::optional<std::int64_t> lastEventId)
    : m_deliveredId(lastEventId)
    , m_readId(lastEventId)
{
}

void EventReassembler::startAttempt()
{
    m_partialEvent.clear();
    m_scan = {};
    m_readId = m_deliveredId;
    m_hasNewEvents = false;
    m_state = EventReassemblyState::Good;
}

EventBatch EventReassembler::feed(std::string_view bytes)
{
    EventBatch batch;
    if (m_state == EventReassemblyState::Broken) {
        return batch;
    }
    m_partialEvent.append(bytes);
    std::string_view left = m_partialEvent;
    for (std::size_t length = completeEventLength(left, m_scan); length > 0; length = completeEventLength(left, m_scan)) {
        const std::string_view event = left.substr(0, length);
        left.remove_prefix(length);
        m_scan = {};
        const std::optional<std::int64_t> number = parseEventId(event);
        if (!number || (m_readId && *number > *m_readId + 1)) {
            m_state = EventReassemblyState::Broken;
            break;
        }
        if (m_readId && *number <= *m_readId) {
            continue;
        }
        m_readId = number;
        m_hasNewEvents = true;
        batch.m_bytes.append(event);
        batch.m_lastEventId = *number;
        ++batch.m_events;
    }
    m_partialEvent.erase(0, m_partialEvent.size() - left.size());
    if (m_partialEvent.size() > MaxEventBytes) {
        m_state = EventReassemblyState::Broken;
    }
    return batch;
}

void EventReassembler::recordDelivered(const EventBatch &batch)
{
    if (batch.m_events > 0) {
        m_deliveredId = batch.m_lastEventId;
    }
}

bool EventReassembler::endsStream(bool endsWithConnection) const
{
    const bool hasEvents = m_deliveredId.has_value() && (m_hasNewEvents || !endsWithConnection);
    return m_state == EventReassemblyState::Good && m_partialEvent.empty() && hasEvents;
}

EventReassemblyState EventReassembler::state() const
{
    return m_state;
}

bool EventReassembler::hasPartialEvent() const
{
    return !m_partialEvent.empty();
}

std::optional<std::int64_t> EventReassembler::lastEventId() const
{
    return m_deliveredId;
}
}
