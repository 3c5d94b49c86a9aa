#pragma once

#include "net/http.h"
#include "net/snapshotcell.h"

#include <atomic>
#include <functional>
#include <memory>

namespace knapweedslip
{
/** One request being served on a connection, and the ways to answer it. Used on the connection's own thread only. */
class HttpExchange
{
public:
    /** @param closing whether the connection is to end with this answer, asked when the answer begins. */
    HttpExchange(beast::tcp_stream &stream, HttpRequest request, std::function<bool()> closing = {});
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    const HttpRequest &request() const;
    /** Sends a whole answer. */
    awaitable<Result<Done>> respond(HttpReply reply);
    /** Sends the header of a chunked answer. */
    awaitable<Result<Done>> beginStream(unsigned status, const HeaderFields &headers);
    awaitable<Result<Done>> writeChunk(std::string_view text);
    awaitable<Result<Done>> endStream();
    /** Drops the connection without the end of an answer, so that what was sent cannot be taken for whole. */
    void abort();
    /** Calls @p action once when the caller closes its side while this request is being served. */
    void whenCallerLeaves(std::function<void()> action);
    bool callerLeft() const;
    /** An answer was begun or the connection was dropped. */
    bool answered() const;
    /** The connection can serve another request. */
    bool reusable() const;

private:
    /** Shared with the wait for the caller's close, which may end after the exchange. */
    struct CallerWatch
    {
        std::function<void()> m_action;
        bool m_over = false;
        bool m_left = false;
    };

    bool closes();

    beast::tcp_stream &m_stream;
    HttpRequest m_request;
    std::function<bool()> m_closing;
    std::shared_ptr<CallerWatch> m_watch;
    bool m_answered = false;
    bool m_reusable = true;
    /** Until when the stream's time limit for writing holds. */
    std::int64_t m_limitMs = 0;

    void extendLimit();
};

using HttpHandler = std::function<awaitable<void>(HttpExchange &)>;

struct HttpServerLimits
{
    std::size_t m_maxHeaderBytes = 16 * 1024;
    std::size_t m_maxBodyBytes = 4 * 1024 * 1024;
    /** From the first byte of a request to the end of its header. */
    std::int64_t m_headerTimeoutMs = 60'000;
    /** Between two requests, and for a body. */
    std::int64_t m_idleTimeoutMs = 60'000;
};

/** Listens on one address and spreads its connections over contexts, each run by one thread. */
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    static Result<std::shared_ptr<HttpServer>>
    create(std::vector<asio::io_context *> contexts, const std::string &address, HttpHandler handler, const HttpServerLimits &limits = {});

    /** Holds for requests that begin from now on. */
    void setLimits(const HttpServerLimits &limits);
    /** Connections end with their next answer, which says so; new ones are still taken. */
    void closeAfterAnswers();
    /** Takes no more connections; those there are end after the request they serve. */
    void stopAccepting();
    /** Requests being served. */
    int active() const;
    std::string address() const;

private:
    HttpServer(std::vector<asio::io_context *> contexts, HttpHandler handler, const HttpServerLimits &limits);
    awaitable<void> acceptLoop();
    awaitable<void> serve(Tcp::socket socket);
    /** Waits for a request and reads it; false when the connection is to end. */
    awaitable<bool> readRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer, http::request_parser<http::string_body> &parser);

    std::vector<asio::io_context *> m_contexts;
    std::size_t m_nextContext = 0;
    Tcp::acceptor m_acceptor;
    HttpHandler m_handler;
    SnapshotCell<HttpServerLimits> m_limits;
    std::atomic<bool> m_closeAfterAnswers{false};
    std::atomic<int> m_active{0};
    std::atomic<bool> m_stopping{false};
};
}
