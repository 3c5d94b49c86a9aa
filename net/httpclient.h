#pragma once

#include "kernel/eventreassembler.h"
#include "net/http.h"

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace knapweedslip
{
/** A connection to one address. It may be used only on the execution context that opened it. */
struct HttpConnection
{
    /** Longest part of a response that is buffered until it can be used, in bytes: a header, or the size line of a chunk. */
    static constexpr std::size_t MaxBufferedBytes = 64 * 1024;

    explicit HttpConnection(beast::tcp_stream stream)
        : m_stream(std::move(stream))
        , m_buffer(MaxBufferedBytes)
    {
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::string m_address;
    /** Identity of the process at the other end, once known. It cannot change, since a connection never passes to another process. */
    std::string m_bootId;
    /** Time at which the stream's timer expires, in ms of steadyMs(). The timer is not extended for each read, since that costs a system call. */
    std::int64_t m_deadlineMs = 0;
    /** It has been used before, so the peer may have closed it since. */
    bool m_reused = false;
    /** The peer announced that it will close the connection. */
    bool m_closing = false;
    /** Time since which it is idle, in ms of steadyMs(), and the idle time in ms that the peer allows; 0 if the peer did not announce one. */
    std::int64_t m_idleSinceMs = 0;
    std::int64_t m_keepAliveMs = 0;
};

using HttpConnectionPtr = std::unique_ptr<HttpConnection>;

/**
 * Holds idle connections by execution context and address: a connection is used only on the context that opened it. A connection may be
 * returned only after its response was read to the end. Thread-safe.
 */
class ConnectionPool
{
public:
    static constexpr std::size_t MaxIdlePerAddress = 64;
    /** A connection is not used within this time, in ms, before the peer closes it: a request could be sent while the close is on its way. */
    static constexpr std::int64_t KeepAliveMarginMs = 700;

    /**
     * Returns an idle connection to the process @p bootId (to any process if empty), or null. Closes connections that it finds unusable: those
     * to another process, those that the peer closed or is about to close, and those with unexpected bytes to read.
     */
    HttpConnectionPtr take(const asio::any_io_executor &executor, const std::string &address, const std::string &bootId);
    /** Returns whether take() would probably find a connection to the process @p bootId. Makes no system call. */
    bool has(const asio::any_io_executor &executor, const std::string &address, const std::string &bootId);
    /** Returns a connection to the pool. Closes it if the pool already holds MaxIdlePerAddress for its address and context. */
    void give(HttpConnectionPtr connection);

private:
    using PoolKey = std::pair<const asio::execution_context *, std::string>;

    std::mutex m_mutex;
    std::map<PoolKey, std::vector<HttpConnectionPtr>> m_idle;
};

/** Connects within @p timeoutMs. Fails with ConnectFailed, or with InvalidArgument for a bad address; nothing was sent then. */
awaitable<Result<HttpConnectionPtr>> httpConnect(std::string address, std::int64_t timeoutMs);

/** Returns whether @p error says that nothing listens at the address: the process that listened there has ended. */
bool isConnectionRefused(const Error &error);

/** Stores the idle timeout that a Keep-Alive field among @p headers announces for @p connection. */
void recordKeepAlive(HttpConnection &connection, const HeaderFields &headers);

/** Longest body of a response that is read as a whole, unless the caller sets another limit. The store's changes and other daemons' snapshots of it fit. */
inline constexpr std::size_t MaxResponseBytes = 64 * 1024 * 1024;

/** Longest answer of an upstream to an order or a request for its state: a report has a few hundred bytes. */
inline constexpr std::size_t MaxControlReplyBytes = 256 * 1024;
/** Longest answer of an upstream to a client's request that is read as a whole. */
inline constexpr std::size_t MaxAnswerBytes = 4 * 1024 * 1024;

/** To which request a response on a connection belongs. */
enum class ResponseMatch {
    /** To the one that was sent. */
    Own,
    /** To the one that was sent, but nothing would tell a second copy of it from the next response: the connection must not be used again. */
    OwnUnnamed,
    /** To an earlier one, such as a late second copy; the right one may follow. */
    Other,
    /** That cannot be told. */
    Unknown,
};

/** Returns to which request a response belongs; the second argument tells whether its connection carried other requests before. */
using MatchResponse = std::function<ResponseMatch(const HttpReply &, bool)>;

/** Responses to other requests that are dropped before the response to one request: more of them are no late copies. */
inline constexpr int MaxSkippedResponses = 4;

/**
 * Sends @p request and reads the complete response, both within @p timeoutMs. Fails with ProtocolViolation if its header or body is too long, at the
 * moment at which that is known. After an error the connection must not be used again. With @p match, responses to other requests are dropped, and the
 * connection then counts as closing; fails with ProtocolViolation if it cannot be told to which request the response belongs.
 */
awaitable<Result<HttpReply>> httpExchange(
    HttpConnection &connection, const HttpRequest &request, std::int64_t timeoutMs, std::size_t maxBodyBytes = MaxResponseBytes, MatchResponse match = nullptr);

/**
 * Sends @p request over a pooled or a new connection and reads the complete response. If a pooled connection is lost, a GET or HEAD request
 * is sent once more over a new connection.
 */
awaitable<Result<HttpReply>> httpCall(ConnectionPool &pool,
                                      std::string address,
                                      HttpRequest request,
                                      std::int64_t timeoutMs,
                                      std::size_t maxBodyBytes = MaxResponseBytes,
                                      MatchResponse match = nullptr);

/** A response whose body is read incrementally. */
class HttpStream
{
public:
    explicit HttpStream(HttpConnection &connection);

    /** Timeout value that sets no timeout; the caller closes the connection itself when its time has run out. */
    static constexpr std::int64_t NoTimeout = 0;

    /**
     * Sends the request and reads the header of the response, even if that arrives before a long request body is sent completely. The body is @p body if
     * that is set, which is shared and not copied, and that of @p request otherwise.
     */
    awaitable<Result<Done>> open(const HttpRequest &request, std::int64_t timeoutMs, std::shared_ptr<const std::string> body = nullptr);
    /**
     * Drops the answer whose header was read, which belongs to another request, and reads the header of the next one on the connection. Fails with
     * ProtocolViolation if the dropped answer is longer than @p maxBodyBytes, and with ConnectionLost if none can follow it.
     */
    awaitable<Result<Done>> skipResponse(std::size_t maxBodyBytes, std::int64_t timeoutMs);
    unsigned status() const;
    std::string header(std::string_view name) const;
    HeaderFields headers() const;
    /**
     * Returns the next bytes of the body, valid until the next call, or an empty view at the end of a complete body. Fails with Timeout if no
     * bytes arrive for @p timeoutMs (at most 1.25 times as long), or with ConnectionLost. An answer without a length that ends before the request is written
     * is not complete: a reset may show to the write alone, and the end of the connection then looks orderly to the read.
     */
    awaitable<Result<std::string_view>> read(std::int64_t timeoutMs);
    /** Returns whether the response has neither a length nor chunks, so that its body ends with the connection. */
    bool endsWithConnection() const;
    /** Returns whether the body was read to its end. */
    bool finished() const;
    /**
     * Returns whether the connection may be used again: request and response are complete, no further bytes were received, the response keeps the
     * connection open, and no answer was skipped.
     */
    bool reusable() const;

private:
    /** How far the request was written. */
    enum class RequestWrite {
        Running,
        Done,
        Failed,
    };

    static constexpr std::size_t ReadBufferBytes = 8 * 1024;

    using Parser = http::response_parser<http::buffer_body>;

    void extendDeadline(std::int64_t timeoutMs);
    void resetParser();
    awaitable<Result<Done>> readHeader();

    HttpConnection &m_connection;
    std::optional<Parser> m_parser;
    /** The request is a HEAD request, so that answers have no body whatever their headers say. */
    bool m_isHead = false;
    /** An answer to another request came on the connection. */
    bool m_skippedResponse = false;
    std::vector<char> m_readBuffer;
    /** Shared with the write of a long body, which may outlive this object. */
    std::shared_ptr<RequestWrite> m_requestWrite = std::make_shared<RequestWrite>(RequestWrite::Running);
};

/**
 * Splits a stream of server-sent events. Events that do not begin with a "data" field are skipped. Memory: at most EventReassembler::MaxEventBytes of one
 * incomplete event, and the text that is fed.
 */
class EventSplitter
{
public:
    /** Appends @p text and returns the data of the events that it completes; none once an event is too long. */
    std::vector<std::string> feed(std::string_view text);
    /** Returns whether an event did not end within EventReassembler::MaxEventBytes. */
    bool isTooLong() const;

private:
    std::string m_partialEvent;
    EventScan m_scan;
    bool m_isTooLong = false;
};
}
