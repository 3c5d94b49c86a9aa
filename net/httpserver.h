#pragma once

#include "kernel/ingressbudget.h"
#include "net/http.h"
#include "net/snapshotcell.h"
#include "net/streamwriter.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace knapweedslip
{
/** Appends what arrives of a body to a string; see GrowingBody. The names of the functions are those that Beast's parser calls. */
class GrowingBodyReader
{
public:
    template<bool IsRequest, typename Fields>
    GrowingBodyReader(http::header<IsRequest, Fields> &, std::string &body)
        : m_body(body)
    {
    }

    void init(const boost::optional<std::uint64_t> &, boost::system::error_code &error)
    {
        error = {};
    }

    template<typename Buffers>
    std::size_t put(const Buffers &buffers, boost::system::error_code &error)
    {
        error = {};
        for (const asio::const_buffer buffer : beast::buffers_range_ref(buffers)) {
            m_body.append(static_cast<const char *>(buffer.data()), buffer.size());
        }
        return beast::buffer_bytes(buffers);
    }

    void finish(boost::system::error_code &error)
    {
        error = {};
    }

private:
    std::string &m_body;
};

/**
 * Body of a request that is read into a string. The string grows with what has arrived: a client that announces a long body and sends nothing costs
 * nothing.
 */
struct GrowingBody
{
    using value_type = std::string;
    using reader = GrowingBodyReader;
};

/** A request that is being served, and the functions to respond to it. May be used only on the connection's thread. */
class HttpExchange
{
public:
    /** @param shouldClose returns whether the connection must close after this response; called when the response begins. */
    HttpExchange(beast::tcp_stream &stream, HttpRequest request, std::function<bool()> shouldClose = {});
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    const HttpRequest &request() const;
    /** Returns the request's body. It stays valid for as long as the pointer is kept, also after this object is gone. */
    std::shared_ptr<const std::string> body() const;
    /** Sends a complete response. */
    awaitable<Result<Done>> respond(HttpReply reply);
    /** Sends the header of a chunked response. */
    awaitable<Result<Done>> beginStream(unsigned status, const HeaderFields &headers);
    awaitable<Result<Done>> writeChunk(std::string_view text);
    /** Ends a chunked response. Waits until all of it was written. */
    awaitable<Result<Done>> endStream();
    /**
     * Makes beginStream() and writeChunk() return at once: what the connection does not take is held within the limits of @p backlogs, as are complete
     * responses. @p onFailed, if not empty, is called once when nothing more can be written, also from within these functions. Must be called after
     * onCallerDisconnect() and before a response is begun.
     */
    void bufferStream(std::shared_ptr<ClientBacklogs> backlogs, StreamWriter::FailedAction onFailed);
    /** Waits until the connection has taken what is held. Returns false if it does not. */
    awaitable<bool> drain();
    /** Returns why the connection was reset if the caller read a buffered response too slowly, and nothing otherwise. */
    std::optional<BacklogCut> cut() const;
    /** Closes the connection at once, so that the caller cannot take a partly sent response for a complete one. */
    void abort();
    /** Calls @p action once if the caller closes the connection while this request is being served. */
    void onCallerDisconnect(std::function<void()> action);
    /** Returns whether the caller closed the connection, or nothing more can be written to it. Always false without onCallerDisconnect() or bufferStream(). */
    bool callerDisconnected() const;
    /** Returns whether a response was begun or the connection was aborted. */
    bool answered() const;
    /** Returns whether the connection can serve another request. */
    bool reusable() const;

private:
    /** State shared with the asynchronous wait for the caller to disconnect, which may end after the exchange. */
    struct CallerWatch
    {
        std::function<void()> m_action;
        /** Null unless the stream is buffered. */
        std::shared_ptr<StreamWriter> m_writer;
        bool m_finished = false;
        bool m_disconnected = false;
    };

    /** Returns whether the connection closes after this response. */
    bool closesAfterResponse();
    /** Returns whether the response has a body: that to a HEAD request ends with its header, whatever that announces. */
    bool sendsBody() const;

    beast::tcp_stream &m_stream;
    std::shared_ptr<const HttpRequest> m_request;
    std::function<bool()> m_shouldClose;
    std::shared_ptr<CallerWatch> m_watch;
    /** Null unless the stream is buffered. */
    std::shared_ptr<StreamWriter> m_writer;
    bool m_answered = false;
    bool m_reusable = true;
    /** Time at which the stream's write timer expires, in ms of steadyMs(). */
    std::int64_t m_deadlineMs = 0;

    void extendDeadline();
    /** Writes @p parts with m_writer. */
    Result<Done> writeBuffered(const std::array<std::string_view, 3> &parts, bool isComplete = false);
    /** Writes @p text as a chunk with m_writer. */
    Result<Done> writeBufferedChunk(std::string_view text);
    Result<Done> writeBufferedEnd();
    /** Writes the header of a response with m_writer, and @p body; @p isComplete if that is all of it. */
    Result<Done> writeBufferedHeader(const http::response_header<> &header, std::string_view body, bool isComplete);
    /** Waits until m_writer has written everything. */
    awaitable<Result<Done>> drainBuffered();
    Error writeError() const;
};

using HttpHandler = std::function<awaitable<void>(HttpExchange &)>;

struct HttpServerLimits
{
    std::size_t m_maxHeaderBytes = 16 * 1024;
    std::size_t m_maxBodyBytes = 4 * 1024 * 1024;
    /** Longest time from the first byte of a request to the end of its header. */
    std::int64_t m_headerTimeoutMs = 60'000;
    /** Longest time between two requests, and to read a body. */
    std::int64_t m_idleTimeoutMs = 60'000;
    /** Limits on all connections together. */
    IngressBudgetLimits m_budget;
};

/**
 * Returns the limits on all connections of clients for the VM that the process runs on: an eighth of its memory, at least 16 and at most 48 MiB, and three
 * quarters of the descriptors that the process may open.
 */
IngressBudgetLimits defaultIngressBudgetLimits();

/** What a server ended or refused because of the limits on all connections together. */
struct IngressCounts
{
    std::uint64_t m_endedRequests = 0;
    std::uint64_t m_endedIdle = 0;
    std::size_t m_bytes = 0;
    std::size_t m_connections = 0;
};

/** Returns @p counts in the text format of Prometheus. */
std::string ingressMetrics(const IngressCounts &counts);

/** Listens on one address and distributes the connections over the contexts in turn. Each context must be run by one thread. */
class HttpServer : public std::enable_shared_from_this<HttpServer>
{
public:
    /** Listens on @p address ("ip:port") and starts to accept. Fails with InvalidArgument or Io. */
    static Result<std::shared_ptr<HttpServer>>
    create(std::vector<asio::io_context *> contexts, const std::string &address, HttpHandler handler, const HttpServerLimits &limits = {});

    /** Sets the limits for requests that begin from now on. */
    void setLimits(const HttpServerLimits &limits);
    /** Closes each connection after its next response, which announces it. New connections are still accepted. */
    void closeAfterResponses();
    /** Stops accepting connections. Existing connections close after the request that they are serving. */
    void stopAccepting();
    /** Returns what the connections hold together, and how many were ended because of the limits on that. */
    IngressCounts ingressCounts() const;
    /** Returns the number of requests that are being served. */
    int activeRequests() const;
    /** Returns the address that it listens on, as "ip:port", or an empty string once it has stopped listening. */
    std::string address() const;

private:
    HttpServer(std::vector<asio::io_context *> contexts, HttpHandler handler, const HttpServerLimits &limits);
    awaitable<void> acceptLoop();
    awaitable<void> serve(Tcp::socket socket);
    /** The connection of one client. May be used only on the connection's thread. */
    struct ClientConnection;
    struct Registration;
    using RequestParser = http::request_parser<GrowingBody>;

    /** Waits for a request and reads it. Returns false if the connection must close. */
    awaitable<bool> readRequest(ClientConnection &connection, RequestParser &parser);
    /** Reads until the header of the request is complete. */
    awaitable<boost::system::error_code> readHeader(ClientConnection &connection, RequestParser &parser);
    /** Reads the rest of the request's body. */
    awaitable<boost::system::error_code> readBody(ClientConnection &connection, RequestParser &parser);
    /** Sets what @p connection waits for. Returns false if it is being ended. */
    bool setPhase(ClientConnection &connection, ConnectionPhase phase);
    /** Accounts for what @p connection holds, and ends connections if it is too much. Returns false if @p connection is being ended. */
    bool account(ClientConnection &connection, const RequestParser *parser);
    /** Ends connections that exceed the limits on all together because of @p cause. */
    void endExcess(ConnectionId cause);

    std::vector<asio::io_context *> m_contexts;
    std::size_t m_nextContext = 0;
    Tcp::acceptor m_acceptor;
    HttpHandler m_handler;
    SnapshotCell<HttpServerLimits> m_limits;
    std::atomic<bool> m_closeAfterResponses{false};
    std::atomic<int> m_activeRequests{0};
    std::atomic<bool> m_stopping{false};
    /** Guards the members below. */
    mutable std::mutex m_ingressMutex;
    IngressBudget m_budget;
    std::unordered_map<ConnectionId, std::weak_ptr<ClientConnection>> m_clients;
    IngressCounts m_ingressCounts;
};
}
