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
                const EventBatch batch = reassembler.feed(std::string_view(text).substr(at, piece));
                forwarded += batch.m_bytes;
                reassembler.recordDelivered(batch);
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

namespace
{
/** Where one attempt of a stream goes wrong. */
enum class StreamFault {
    None,
    /** The bytes of an event cannot be read. */
    Spoilt,
    /** An event is left out. */
    Gap,
    /** An event does not end. */
    Endless,
    /** The connection breaks at any byte. */
    Cut,
};

/** Returns the events from @p first on as an upstream sends them, with @p fault at the event @p at. */
std::string faultyText(int first, int last, StreamFault fault, int at)
{
    switch (fault) {
    case StreamFault::None:
        return eventsText(first, last);
    case StreamFault::Spoilt:
        return eventsText(first, at - 1) + "\x01?\xfe: #\n\x02\n\n" + eventsText(at + 1, last);
    case StreamFault::Gap:
        return eventsText(first, at - 1) + eventsText(at + 1, last);
    case StreamFault::Endless:
        return eventsText(first, at - 1) + "data: " + std::string(EventReassembler::MaxEventBytes + 1, 'x');
    case StreamFault::Cut:
        return eventsText(first, at - 1) + eventText(at).substr(0, 9);
    }
    return {};
}
}

// Guards against streams that end as complete although events are missing (rule ORDER): the sound events before a spoilt one in the same bytes were dropped,
// and the next upstream went on after them.
TEST_CASE("a stream has each event once and in order, wherever an attempt goes wrong and whatever the client's connection takes", "[entry][stream]")
{
    constexpr int Events = 24;
    const StreamFault fault = GENERATE(StreamFault::Spoilt, StreamFault::Gap, StreamFault::Endless, StreamFault::Cut);
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        EventReassembler reassembler;
        std::string delivered;
        for (int attempt = 0; attempt < 3; ++attempt) {
            reassembler.startAttempt();
            const int first = static_cast<int>(reassembler.lastEventId().value_or(-1)) + 1;
            const int at = std::min(Events - 1, first + 1 + static_cast<int>(random() % 5));
            const std::string text = faultyText(first, Events - 1, attempt < 2 ? fault : StreamFault::None, at);
            // The pieces of a connection end anywhere: most hold several events.
            const std::size_t pieceBytes = 1 + random() % 200;
            // In some attempts a batch is lost on its way to the client.
            const std::size_t lostBatch = random() % 8;
            std::size_t batches = 0;
            bool isLost = false;
            for (std::size_t start = 0; start < text.size() && !isLost && reassembler.state() == EventReassemblyState::Good; start += pieceBytes) {
                const EventBatch batch = reassembler.feed(std::string_view(text).substr(start, pieceBytes));
                isLost = attempt < 2 && batch.m_events > 0 && batches++ == lostBatch;
                if (!isLost) {
                    delivered += batch.m_bytes;
                    reassembler.recordDelivered(batch);
                }
            }
            INFO("seed " << seed << ", attempt " << attempt);
            CHECK(eventsText(0, Events - 1).rfind(delivered, 0) == 0);
        }
        INFO("seed " << seed);
        CHECK(delivered == eventsText(0, Events - 1));
        CHECK(reassembler.endsStream(false));
    }
}

// Guards against sound events that are dropped with the spoilt one after them.
TEST_CASE("events before a spoilt one in the same bytes are returned", "[entry][stream]")
{
    EventReassembler reassembler(5);
    const EventBatch batch = reassembler.feed(eventText(6) + eventText(7) + "\x01\n\n" + eventText(9));
    CHECK(batch.m_bytes == eventText(6) + eventText(7));
    CHECK(reassembler.state() == EventReassemblyState::Broken);
    CHECK(reassembler.lastEventId() == 5);
    reassembler.recordDelivered(batch);
    CHECK(reassembler.lastEventId() == 7);
}

// Guards against a resumed stream that ends as complete because the next upstream answered without an event and closed.
TEST_CASE("an answer ends a stream only where it ended between events and its end is its own", "[entry][stream]")
{
    struct Row
    {
        const char *m_description;
        std::optional<std::int64_t> m_lastEventId;
        std::string m_text;
        bool m_endsWithConnection;
        bool m_endsStream;
    };
    const Row row = GENERATE(values<Row>({
        {"events and an end", std::nullopt, eventsText(0, 3), false, true},
        {"events, ended with the connection", std::nullopt, eventsText(0, 3), true, true},
        {"no event of a new stream", std::nullopt, "", false, false},
        {"nothing was left of a resumed one", 5, "", false, true},
        {"resumed, and the connection closed after the header", 5, "", true, false},
        {"resumed with events that the client has, and closed", 5, eventsText(4, 5), true, false},
        {"resumed with the next event", 5, eventText(6), true, true},
        {"inside an event", 5, eventText(6) + "id: 7\nda", true, false},
        {"the text of an error", 5, "{\"title\":\"overloaded\"}", false, false},
        {"the text of an error with an empty line", 5, "overloaded\n\n", false, false},
        {"a whole head of another answer", 5, "HTTP/1.1 503 X\r\nNot-Executed: 1\r\n\r\n", false, false},
    }));
    CAPTURE(row.m_description);
    EventReassembler reassembler(row.m_lastEventId);
    reassembler.startAttempt();
    reassembler.recordDelivered(reassembler.feed(row.m_text));
    CHECK(reassembler.endsStream(row.m_endsWithConnection) == row.m_endsStream);
}

// Guards against an upstream that sends an event without end in chunks of a few bytes: searching all of it again for each chunk took up the daemon (issue 49).
TEST_CASE("no byte of an incomplete event is examined twice", "[events]")
{
    struct Row
    {
        const char *m_description;
        std::string m_first;
        std::string m_second;
        std::size_t m_length;
    };
    const std::vector<Row> rows{
        {"an end in what was examined is not seen", "id: 1", "\n\n: 1x", 0},
        {"an end in what is new", "id: 1", "id: 1\n\n", 7},
        {"an end that begins in what was examined", "id: 1\n", "id: 1\n\nid", 7},
        {"a line that ends with a carriage return", "id: 1\r\n\r", "id: 1\r\n\r\n", 9},
        {"a line that was examined in part", "id: 1\nda", "id: 1\ndata\n\n", 12},
    };
    for (const Row &row : rows) {
        CAPTURE(row.m_description);
        EventScan scan;
        CHECK(completeEventLength(row.m_first, scan) == 0);
        CHECK(scan.m_examined == row.m_first.size());
        CHECK(completeEventLength(row.m_second, scan) == row.m_length);
    }
}

// Guards against a series of events without a length that breaks off inside an event and is passed on as complete (ORDER, MIXED).
TEST_CASE("a series of events that ends inside an event is told from a whole one", "[events]")
{
    struct Row
    {
        const char *m_text;
        bool m_endsInside;
    };
    const Row row = GENERATE(values<Row>({
        {"", false},
        {"id: 1\ndata: a\n\n", false},
        {"id: 1\r\ndata: a\r\n\r\n", false},
        {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false},
        {"id: 1\ndata: a\n", true},
        {"id: 1\ndata: a\n\nid: 2\ndata: {\"t", true},
        {"id: 1\ndata: a\n\nid", true},
        {"id: 1\r\ndata: a\r\n\r", true},
    }));
    INFO(row.m_text);
    CHECK(endsInsideEvent(row.m_text) == row.m_endsInside);
}
