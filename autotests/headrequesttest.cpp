// Pattern: HEAD requests between other requests on one connection, to this server and to upstreams. Their answers announce a body and have none.

#include "net/httpclient.h"
#include "net/httpserver.h"

#include <catch2/catch.hpp>

using namespace knapweedslip;

namespace
{
/** Answers each request with its path, or as a stream for paths that begin with "/stream". */
awaitable<void> answerWithPath(HttpExchange &exchange, std::shared_ptr<ClientBacklogs> backlogs)
{
    const std::string path = exchange.request().m_target;
    if (backlogs != nullptr) {
        exchange.bufferStream(backlogs, {});
    }
    if (!path.starts_with("/stream")) {
        HttpReply reply;
        reply.m_body = path;
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    co_await exchange.beginStream(200, {});
    co_await exchange.writeChunk(path);
    co_await exchange.endStream();
}

/** Sends @p request on @p connection and returns its body, or the error as text. */
awaitable<std::string> readStream(HttpConnection &connection, HttpRequest request)
{
    constexpr std::int64_t TimeoutMs = 1'000;
    HttpStream stream(connection);
    const Result<Done> opened = co_await stream.open(request, TimeoutMs);
    if (failed(opened)) {
        co_return describe(errorOf(opened));
    }
    std::string body;
    while (true) {
        const Result<std::string_view> piece = co_await stream.read(TimeoutMs);
        if (failed(piece)) {
            co_return describe(errorOf(piece));
        }
        if (valueOf(piece).empty()) {
            co_return stream.reusable() ? body : "not reusable";
        }
        body += valueOf(piece);
    }
}
}

// Guards against the body of an answer to HEAD that the client takes for its next answer, and against waiting for the body that such an answer announces
// (MIXED).
TEST_CASE("answers to HEAD have no body, so that the next answer on the connection is the right one", "[http][head]")
{
    const bool isBuffered = GENERATE(false, true);
    const std::string path = GENERATE(std::string("/plain"), std::string("/stream"));
    INFO(path << (isBuffered ? ", buffered" : ", unbuffered"));
    asio::io_context io(1);
    const std::shared_ptr<ClientBacklogs> backlogs = isBuffered ? std::make_shared<ClientBacklogs>() : nullptr;
    const HttpHandler handler = [&backlogs](HttpExchange &exchange) {
        return answerWithPath(exchange, backlogs);
    };
    Result<std::shared_ptr<HttpServer>> server = HttpServer::create({&io}, "127.0.0.1:0", handler);
    REQUIRE(!failed(server));
    std::vector<std::string> bodies;
    asio::co_spawn(
        io,
        [&]() -> awaitable<void> {
            Result<HttpConnectionPtr> connected = co_await httpConnect(valueOf(server)->address(), 1'000);
            REQUIRE(!failed(connected));
            for (const char *method : {"GET", "HEAD", "GET", "HEAD", "HEAD", "GET"}) {
                HttpRequest request;
                request.m_method = method;
                request.m_target = path + "/" + std::to_string(bodies.size());
                std::string body = co_await readStream(*valueOf(connected), request);
                bodies.push_back(std::move(body));
            }
            valueOf(server)->stopAccepting();
        },
        asio::detached);
    io.run_for(std::chrono::seconds(10));
    CHECK(bodies == std::vector<std::string>{path + "/0", "", path + "/2", "", "", path + "/5"});
}
