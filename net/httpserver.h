#pragma once

#include "net/http.h"

#include <atomic>
#include <functional>
#include <memory>

namespace knapweedslip
{
/** One request being served on a connection, and the ways to answer it. Used on the connection's own thread only. */
class HttpExchange
{
public:
    HttpExchange(beast::tcp_stream &stream, HttpRequest request);

    const HttpRequest &request() const;
    /** Sends a whole answer. */
    awaitable<Result<Done>> respond(HttpReply reply);
    /** Sends the header of a chunked answer. */
    awaitable<Result<Done>> beginStream(unsigned status, const HeaderFields &headers);
    awaitable<Result<Done>> writeChunk(std::string_view text);
    awaitable<Result<Done>> endStream();
    /** Drops the connection without an answer, as a crash would. */
    void abort();
    /** An answer was begun or the connection was dropped. */
    bool answered() const;
    /** The connection can serve another request. */
    bool reusable() const;

private:
    beast::tcp_stream &m_stream;
    HttpRequest m_request;
    bool m_answered = false;
    bool m_reusable = true;
    /** Until when the stream's time limit for writing holds. */
    std::int64_t m_limitMs = 0;

    void extendLimit();
};

using HttpHandler = std::function<awaitable<void>(HttpExchange &)>;

struct HttpServerLimits
{
    std::size_t m_maxBodyBytes = 4 * 1024 * 1024;
    std::int64_t m_idleTimeoutMs = 60'000;
};

/** Listens on one address and spreads its connections over contexts, each run by one thread. */
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    static Result<std::shared_ptr<HttpServer>>
    create(std::vector<asio::io_context *> contexts, const std::string &address, HttpHandler handler, const HttpServerLimits &limits = {});

    /** Takes no more connections; those there are end after the request they serve. */
    void stopAccepting();
    /** Requests being served. */
    int active() const;
    std::string address() const;

private:
    HttpServer(std::vector<asio::io_context *> contexts, HttpHandler handler, const HttpServerLimits &limits);
    awaitable<void> acceptLoop();
    awaitable<void> serve(Tcp::socket socket);

    std::vector<asio::io_context *> m_contexts;
    std::size_t m_nextContext = 0;
    Tcp::acceptor m_acceptor;
    HttpHandler m_handler;
    HttpServerLimits m_limits;
    std::atomic<int> m_active{0};
    std::atomic<bool> m_stopping{false};
};
}
