// Pattern: a client reads its stream late, in part or never, over a real connection. What it gets is the beginning of its stream, and all of it where it ends.

#include "net/httpserver.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace knapweedslip;

namespace
{
constexpr std::size_t Chunks = 400;
constexpr std::size_t ChunkBytes = 40'000;

std::string chunkText(std::size_t number)
{
    std::string text = "event " + std::to_string(number) + " ";
    text.resize(ChunkBytes, static_cast<char>('a' + number % 26));
    return text;
}

/** What the server and the client saw of one stream. */
struct StreamCourse
{
    /** All chunks were written before the client began to read. */
    bool m_isWrittenAtOnce = false;
    bool m_ended = false;
    std::optional<BacklogCut> m_cut;
    int m_failures = 0;
    std::size_t m_heldBytes = 0;
    std::size_t m_heldAfterwards = 0;
    std::string m_read;
    bool m_isComplete = false;
};

/** Reads what the server sends, after @p goOn was set. */
awaitable<void> readLate(asio::io_context &io, std::string address, const bool &goOn, bool leaves, StreamCourse &course)
{
    beast::tcp_stream stream(io);
    co_await stream.async_connect(valueOf(parseEndpoint(address)), UseTuple);
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    co_await asio::async_write(stream, asio::buffer(request), UseTuple);
    while (!goOn) {
        co_await sleepFor(5);
    }
    if (leaves) {
        stream.close();
        co_return;
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    const auto [error, size] = co_await http::async_read(stream, buffer, parser, UseTuple);
    course.m_isComplete = !error && parser.is_done();
    course.m_read = parser.get().body();
}

StreamCourse runStream(const ClientBacklogLimits &limits, bool leaves)
{
    asio::io_context io(1);
    StreamCourse course;
    bool goOn = false;
    const std::shared_ptr<ClientBacklogs> backlogs = std::make_shared<ClientBacklogs>();
    backlogs->setLimits(limits);
    const HttpHandler handler = [&](HttpExchange &exchange) -> awaitable<void> {
        exchange.onCallerDisconnect([]() {});
        exchange.bufferStream(backlogs, [&course](std::optional<BacklogCut>) {
            ++course.m_failures;
        });
        co_await exchange.beginStream(200, {});
        bool open = true;
        for (std::size_t number = 0; open && number < Chunks; ++number) {
            open = !failed(co_await exchange.writeChunk(chunkText(number)));
            course.m_heldBytes = std::max(course.m_heldBytes, backlogs->bytes());
        }
        course.m_isWrittenAtOnce = open && !goOn;
        goOn = true;
        course.m_ended = open && !failed(co_await exchange.endStream());
        course.m_cut = exchange.cut();
        course.m_heldAfterwards = backlogs->bytes();
        if (!course.m_ended) {
            exchange.abort();
        }
    };
    const Result<std::shared_ptr<HttpServer>> server = HttpServer::create({&io}, "127.0.0.1:0", handler);
    REQUIRE_FALSE(failed(server));
    asio::co_spawn(io, readLate(io, valueOf(server)->address(), goOn, leaves, course), [&io](const std::exception_ptr &) {
        // The server's handler ends within this time.
        const auto timer = std::make_shared<asio::steady_timer>(io, std::chrono::milliseconds(300));
        timer->async_wait([&io, timer](const boost::system::error_code &) {
            io.stop();
        });
    });
    io.run_for(std::chrono::seconds(30));
    return course;
}

std::string wholeStream()
{
    std::string text;
    for (std::size_t number = 0; number < Chunks; ++number) {
        text += chunkText(number);
    }
    return text;
}
}

// Guards against a client that stops the reading from its engine, and against events that are lost, sent twice or out of order.
TEST_CASE("a stream is accepted at once and delivered whole when the client reads it late", "[entry][backlog]")
{
    const StreamCourse course = runStream({0, 0}, false);
    CHECK(course.m_isWrittenAtOnce);
    CHECK(course.m_ended);
    CHECK(course.m_failures == 0);
    CHECK(course.m_heldBytes > 0);
    CHECK(course.m_heldAfterwards == 0);
    CHECK(course.m_isComplete);
    CHECK((course.m_read == wholeStream()));
}

// Guards against a cut stream that looks complete, and against memory that one client takes without a bound.
TEST_CASE("a client for which too much is held is cut and never gets the end of its stream", "[entry][backlog]")
{
    struct Row
    {
        const char *m_description;
        ClientBacklogLimits m_limits;
        BacklogCut m_cut;
    };
    const Row row = GENERATE(values<Row>({
        {"too much for one client", {100'000, 0}, BacklogCut::ClientFull},
        {"too much for all", {0, 100'000}, BacklogCut::TotalSpent},
    }));
    INFO(row.m_description);
    const StreamCourse course = runStream(row.m_limits, false);
    CHECK_FALSE(course.m_ended);
    REQUIRE(course.m_cut);
    CHECK(*course.m_cut == row.m_cut);
    CHECK(course.m_failures == 1);
    CHECK(course.m_heldBytes <= 100'000);
    CHECK(course.m_heldAfterwards == 0);
    CHECK_FALSE(course.m_isComplete);
}

// Guards against a request that goes on for a client that has left while much was held for it.
TEST_CASE("a client that leaves while bytes are held for it ends its stream", "[entry][backlog]")
{
    const StreamCourse course = runStream({0, 0}, true);
    CHECK(course.m_isWrittenAtOnce);
    CHECK_FALSE(course.m_ended);
    CHECK_FALSE(course.m_cut);
    CHECK(course.m_failures == 1);
    CHECK(course.m_heldAfterwards == 0);
}
