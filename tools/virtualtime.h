#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace knapweedslip
{
/** Event queue with a simulated clock, in ms. Events of the same time run in the order in which they were added. */
class VirtualTime
{
public:
    std::int64_t nowMs() const
    {
        return m_nowMs;
    }

    /** Schedules @p event for @p delayMs from now. */
    void after(std::int64_t delayMs, std::function<void()> event)
    {
        m_events.push(Event{m_nowMs + delayMs, m_nextSequenceNumber++, std::move(event)});
    }

    /** Runs all events up to and including @p untilMs and sets the clock to @p untilMs. */
    void run(std::int64_t untilMs)
    {
        while (!m_events.empty() && m_events.top().m_atMs <= untilMs) {
            const Event event = m_events.top();
            m_events.pop();
            m_nowMs = event.m_atMs;
            event.m_callback();
        }
        m_nowMs = untilMs;
    }

private:
    struct Event
    {
        std::int64_t m_atMs = 0;
        std::uint64_t m_sequenceNumber = 0;
        std::function<void()> m_callback;

        bool operator<(const Event &other) const
        {
            return m_atMs != other.m_atMs ? m_atMs > other.m_atMs : m_sequenceNumber > other.m_sequenceNumber;
        }
    };

    std::priority_queue<Event> m_events;
    std::int64_t m_nowMs = 0;
    std::uint64_t m_nextSequenceNumber = 0;
};
}
