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
    /** The other side said that it closes it. */
    bool m_closing = false;
    /** Since when it is idle, and for how long the other side said it keeps it so; 0 when it did not say. */
    std::int64_t m_idleSinceMs = 0;
    std::int64_t m_keepAliveMs = 0;
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
    /** A connection is not used in the last part of the time for which the other side keeps it, in ms: a request may cross its close. */
    static constexpr std::int64_t KeepAliveMarginMs = 700;

    /**
     * An idle connection whose process is @p bootId (any, when empty), or null. One that was closed by the other side, that holds bytes
     * nobody asked for, or whose time is nearly over is dropped.
     */
    HttpConnectionPtr take(const asio::any_io_executor &executor, const std::string &address, const std::string &bootId);
    void give(HttpConnectionPtr connection);

private:
    using Place = std::pair<const asio::execution_context *, std::string>;

    std::mutex m_mutex;
    std::map<Place, std::vector<HttpConnectionPtr>> m_idle;
};

/** Connects within @p timeoutMs. Fails with ConnectFailed: nothing was sent. */
awaitable<Result<HttpConnectionPtr>> httpConnect(std::string address, std::int64_t timeoutMs);

/** Takes the time for which an answer says its connection is kept. */
void noteKeepAlive(HttpConnection &connection, const HeaderFields &headers);

/** Sends @p request and reads the whole answer, both within @p timeoutMs. After an error the connection must not be used again. */
awaitable<Result<HttpReply>> httpExchange(HttpConnection &connection, const HttpRequest &request, std::int64_t timeoutMs);

/** One exchange over a pooled connection. A reused connection that turns out closed is replaced once when the request may be repeated. */
awaitable<Result<HttpReply>> httpCall(ConnectionPool &pool, std::string address, HttpRequest request, std::int64_t timeoutMs);

/** An answer that is read piece by piece. */
class HttpStream
{
public:
    explicit HttpStream(HttpConnection &connection);

    /** Stands for "no time limit": the connection is closed from elsewhere when time is up. */
    static constexpr std::int64_t NoTimeout = 0;

    /** Sends the request and reads the header of the answer, also when that comes before a long body is sent. */
    awaitable<Result<Done>> open(const HttpRequest &request, std::int64_t timeoutMs);
    unsigned status() const;
    std::string header(std::string_view name) const;
    HeaderFields headers() const;
    /**
     * The next piece of the body, valid until the next call; empty at its proper end. Fails with Timeout when the other side is silent for
     * @p timeoutMs to 1.25 times that, or with ConnectionLost.
     */
    awaitable<Result<std::string_view>> read(std::int64_t timeoutMs);
    /** The body was read to its end. */
    bool finished() const;
    /** Request and answer went through to their ends, nothing else came and neither side closes, so the connection may be used again. */
    bool reusable() const;

private:
    static constexpr std::size_t PieceBytes = 8 * 1024;

    void setLimit(std::int64_t timeoutMs);

    HttpConnection &m_connection;
    http::response_parser<http::buffer_body> m_parser;
    std::vector<char> m_piece;
    /** The request is on its way; shared with the write of a long body, which may outlive this object. */
    std::shared_ptr<bool> m_sent = std::make_shared<bool>(false);
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
