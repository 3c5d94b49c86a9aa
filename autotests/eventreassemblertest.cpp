// Pattern: streams are cut off at any byte, also inside an event, and another upstream continues them.

#include "kernel/eventreassembler.h"

#include <catch2/catch.hpp>
#include <random>

using namespace knapweedslip;

namespace
{
std::string eventText(int number)
{
    return "id: " + std::to_string(number) + "\ndata: token " + std::to_string(number) + "\n\n";
}

std::string eventsText(int first, int last)
{
    std::string text;
    for (int number = first; number <= last; ++number) {
        text += eventText(number);
    }
    return text;
}
}

TEST_CASE("events are forwarded complete, once and in order wherever the stream is cut off", "[entry][join]")
{
    constexpr int Events = 30;
    for (unsigned seed = 1; seed <= 300; ++seed) {
        std::mt19937 random(seed);
        EventReassembler reassembler;
        std::string forwarded;
        int done = 0;
        while (done < Events) {
            // Each attempt starts at the next event or up to two events earlier, and is cut off at any byte.
            reassembler.startAttempt();
            const int first = std::max(1, done + 1 - static_cast<int>(random() % 3));
            const std::string text = eventsText(first, Events);
            std::size_t left = random() % 4 == 0 ? text.size() : random() % (text.size() + 1);
            std::size_t at = 0;
            while (left > 0) {
                const std::size_t piece = std::min<std::size_t>(left, 1 + random() % 40);
                forwarded += reassembler.feed(std::string_view(text).substr(at, piece)).m_bytes;
                at += piece;
                left -= piece;
            }
            done = static_cast<int>(reassembler.lastEventId().value_or(0));
        }
        INFO("seed " << seed);
        CHECK(forwarded == eventsText(1, Events));
        CHECK(reassembler.state() == EventReassemblyState::Good);
    }
}

TEST_CASE("a gap or a missing event id breaks the attempt", "[entry][join]")
{
    struct Row
    {
        const char *m_description;
        std::optional<std::int64_t> m_lastEventId;
        std::string m_text;
        EventReassemblyState m_state;
        int m_events;
        bool m_hasPartialEvent;
    };
    const Row row = GENERATE(values<Row>({
        {"a gap", 5, eventText(7), EventReassemblyState::Broken, 0, true},
        {"no number", 5, "data: x\n\n", EventReassemblyState::Broken, 0, true},
        {"the next one", 5, eventText(6), EventReassemblyState::Good, 1, false},
        {"one the client has", 5, eventText(5), EventReassemblyState::Good, 0, false},
        {"half an event", 5, "id: 6\ndata: hal", EventReassemblyState::Good, 0, true},
        {"lines that end with CR LF", 5, "id: 6\r\ndata: x\r\n\r\n", EventReassemblyState::Good, 1, false},
    }));
    INFO(row.m_description);
    EventReassembler reassembler(row.m_lastEventId);
    const EventBatch piece = reassembler.feed(row.m_text);
    CHECK(reassembler.state() == row.m_state);
    CHECK(piece.m_events == row.m_events);
    if (row.m_state == EventReassemblyState::Good) {
        CHECK(reassembler.hasPartialEvent() == row.m_hasPartialEvent);
    }
}

// Guards against an upstream that sends bytes without end: they filled the memory, or took all of the processor since they were searched again and again.
TEST_CASE("an event that does not end breaks the attempt, and its bytes are bounded", "[entry][stream]")
{
    struct Row
    {
        const char *m_name;
        std::string m_piece;
    };
    const std::vector<Row> rows{
        {"no line end", std::string(8 * 1024, 'x')},
        {"lines without an empty one", "data: " + std::string(1'000, 'x') + "\n"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.m_name);
        EventReassembler reassembler;
        std::size_t fed = 0;
        while (reassembler.state() == EventReassemblyState::Good && fed < 10 * EventReassembler::MaxEventBytes) {
            CHECK(reassembler.feed(row.m_piece).m_events == 0);
            fed += row.m_piece.size();
        }
        CHECK(reassembler.state() == EventReassemblyState::Broken);
        CHECK(fed <= EventReassembler::MaxEventBytes + row.m_piece.size());
        // Another attempt goes on.
        reassembler.startAttempt();
        CHECK(reassembler.feed("id: 0\ndata: a\n\n").m_events == 1);
    }
}

TEST_CASE("events are recognised however their bytes are divided into pieces", "[entry][stream]")
{
    const std::string text = "id: 0\ndata: a\n\nid: 1\r\ndata: b\r\n\r\nid: 2\ndata: c\ndata: d\n\n";
    for (std::size_t size = 1; size <= text.size(); ++size) {
        EventReassembler reassembler;
        std::string forwarded;
        for (std::size_t start = 0; start < text.size(); start += size) {
            forwarded += reassembler.feed(std::string_view(text).substr(start, size)).m_bytes;
        }
        CHECK(forwarded == text);
        CHECK_FALSE(reassembler.hasPartialEvent());
    }
}
