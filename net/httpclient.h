#pragma once

#include "net/http.h"

#include <memory>
#include <mutex>
#include <vector>

namespace knapweedslip
{
/** A connection to one address, bound to one context. */
struct HttpConnection
{
    explicit HttpConnection(beast::tcp_stream stream)
        : m_stream(std::move(stream))
    {
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::string m_address;
    /** Identity of the engine process behind it, once asked; a process keeps its connections to itself. */
    std::string m_bootId;
    /** Until when the stream's own time limit holds; it is moved on only now and then, since each move costs a system call. */
    std::int64_t m_limitMs = 0;
    /** It was used before and may have been closed by the other side meanwhile. */
    bool m_reused = false;
};

using HttpConnectionPtr = std::unique_ptr<HttpConnection>;

/**
 * Idle connections by address and thread: a connection is used only on the context that made it. It comes back only after its answer was
 * read to the end. Safe for several threads.
 */
class ConnectionPool
{
public:
    static constexpr std::size_t MaxIdlePerAddress = 64;

    /** An idle connection whose process is @p bootId (any, when empty), or null. */
    HttpConnectionPtr take(const asio::any_io_executor &executor, const std::string &address, const std::string &bootId);
    void give(HttpConnectionPtr connection);

private:
    using Place = std::pair<const asio::execution_context *, std::string>;

    std::mutex m_mutex;
    std::map<Place, std::vector<HttpConnectionPtr>> m_idle;
};

/** Connects within @p timeoutMs. Fails with ConnectFailed: nothing was sent. */
awaitable<Result<HttpConnectionPtr>> httpConnect(std::string address, std::int64_t timeoutMs);

/** Sends @p request and reads the whole answer, both within @p timeoutMs. After an error the connection must not be used again. */
awaitable<Result<HttpReply>> httpExchange(HttpConnection &connection, const HttpRequest &request, std::int64_t timeoutMs);

/** One exchange over a pooled connection. A reused connection that turns out closed is replaced once when the request may be repeated. */
awaitable<Result<HttpReply>> httpCall(ConnectionPool &pool, std::string address, HttpRequest request, std::int64_t timeoutMs);

/** An answer that is read piece by piece. */
class HttpStream
{
public:
    explicit HttpStream(HttpConnection &connection);

    /** Sends the request and reads the header of the answer. */
    awaitable<Result<Done>> open(const HttpRequest &request, std::int64_t timeoutMs);
    unsigned status() const;
    std::string header(std::string_view name) const;
    /**
     * The next piece of the body; empty at its proper end. Fails with Timeout when the other side is silent for @p timeoutMs to 1.25 times
     * that, or with ConnectionLost.
     */
    awaitable<Result<std::string>> read(std::int64_t timeoutMs);
    /** The body was read to its end, so the connection may be used again. */
    bool finished() const;

private:
    static constexpr std::size_t PieceBytes = 8 * 1024;

    HttpConnection &m_connection;
    http::response_parser<http::buffer_body> m_parser;
    std::vector<char> m_piece;
};

/** Splits a stream of server-sent events into the data of each event. */
class EventSplitter
{
public:
    /** Adds @p text and returns the data of the events that are complete now. */
    std::vector<std::string> feed(std::string_view text);

private:
    std::string m_rest;
};
}
