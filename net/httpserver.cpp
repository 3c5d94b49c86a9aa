// Problem: serve many connections on several threads, with complete and streamed responses, and stop without truncating any response.
// Approach: one coroutine per connection, bound to one thread, with Beast for the protocol. Stopping closes the listener and lets each
// connection finish its request.
// Closing the connections when stopping would truncate responses, and one thread per connection would cost memory for each idle caller.

#include "net/httpserver.h"

#include "net/metrics.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace knapweedslip
{
namespace
{
constexpr std::int64_t WriteTimeoutMs = 30'000;
/** Longest size line of a chunk, and what else of a body is buffered until it can be used, in bytes. */
constexpr std::size_t MaxBufferedBodyBytes = 16 * 1024;
/** A connection keeps a read buffer of at most this size between requests, in bytes. */
constexpr std::size_t MaxIdleBufferBytes = 4 * 1024;
/** Time after which a client should come back that was refused because all clients together hold too much, in ms. */
constexpr std::int64_t IngressRetryMs = 1'000;
/** Pause before the next connection is accepted after the process could open no more descriptors, in ms. */
constexpr std::int64_t AcceptPauseMs = 20;

template<typename Message>
void setFields(Message &message, const HeaderFields &headers)
{
    for (const std::pair<std::string, std::string> &field : headers) {
        message.insert(field.first, field.second);
    }
}

HttpRequest toRequest(http::request<GrowingBody> message)
{
    HttpRequest request;
    request.m_method = std::string(message.method_string());
    request.m_target = std::string(message.target());
    request.m_headers = toFields(message);
    request.m_body = std::move(message.body());
    return request;
}

/**
 * Responds to a request that could not be read, or that is ended because all clients together hold too much (@p isEnded), if the caller can still read the
 * response. Returns false: the connection must close.
 */
awaitable<bool> refuseRequest(beast::tcp_stream &stream, boost::system::error_code error, bool isEnded)
{
    ErrorCode code = ErrorCode::MalformedRequest;
    std::int64_t retryAfterMs = 0;
    std::string detail = error.message();
    if (isEnded) {
        code = ErrorCode::Overloaded;
        retryAfterMs = IngressRetryMs;
        detail = "all clients together hold too much";
    } else if (error == http::error::body_limit) {
        code = ErrorCode::BodyTooLarge;
    } else if (error == http::error::header_limit) {
        code = ErrorCode::HeaderTooLarge;
    } else if (error == beast::error::timeout || error.category() != http::make_error_code(http::error::end_of_stream).category()
               || error == http::error::end_of_stream || error == http::error::partial_message) {
        co_return false;
    }
    HttpExchange exchange(stream, {}, []() {
        return true;
    });
    co_await exchange.respond(problemReply(Error{code, detail}, retryAfterMs));
    co_return false;
}

/**
 * Reads and discards what the caller still sends, for LingerMs at most. Closing a socket with unread bytes would reset the connection, possibly
 * before the caller has read the response.
 */
awaitable<void> lingerUntilClosed(beast::tcp_stream &stream)
{
    constexpr std::int64_t LingerMs = 500;
    std::array<char, 1024> discarded{};
    stream.expires_after(std::chrono::milliseconds(LingerMs));
    while (true) {
        const auto [error, size] = co_await stream.async_read_some(asio::buffer(discarded), UseTuple);
        if (error) {
            co_return;
        }
    }
}
}

IngressBudgetLimits defaultIngressBudgetLimits()
{
    constexpr std::size_t MiB = 1024 * 1024;
    constexpr std::size_t MemoryParts = 8;
    constexpr std::size_t LeastBytes = 16 * MiB;
    constexpr std::size_t MostBytes = 48 * MiB;
    constexpr rlim_t MostDescriptors = 1'000'000;
    const long pages = ::sysconf(_SC_PHYS_PAGES);
    const long pageBytes = ::sysconf(_SC_PAGESIZE);
    const std::size_t memory = pages > 0 && pageBytes > 0 ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageBytes) : 0;
    rlimit descriptors{};
    const bool isKnown = ::getrlimit(RLIMIT_NOFILE, &descriptors) == 0;
    const rlim_t most = isKnown ? std::min(descriptors.rlim_cur, MostDescriptors) : 1'024;
    return {std::clamp(memory / MemoryParts, LeastBytes, MostBytes), static_cast<std::size_t>(most / 4 * 3)};
}

HttpExchange::HttpExchange(beast::tcp_stream &stream, HttpRequest request, std::function<bool()> shouldClose)
    : m_stream(stream)
    , m_request(std::make_shared<const HttpRequest>(std::move(request)))
    , m_shouldClose(std::move(shouldClose))
{
}

HttpExchange::~HttpExchange()
{
    if (m_watch != nullptr) {
        m_watch->m_finished = true;
    }
    if (m_writer != nullptr) {
        m_writer->detach();
    }
}

bool HttpExchange::closesAfterResponse()
{
    if (m_shouldClose && m_shouldClose()) {
        m_reusable = false;
    }
    return !m_reusable;
}

bool HttpExchange::sendsBody() const
{
    return m_request->m_method != "HEAD";
}

void HttpExchange::onCallerDisconnect(std::function<void()> action)
{
    m_watch = std::make_shared<CallerWatch>();
    m_watch->m_action = std::move(action);
    Tcp::socket &socket = m_stream.socket();
    socket.async_wait(Tcp::socket::wait_read, [watch = m_watch, &socket](const boost::system::error_code &error) {
        if (error || watch->m_finished) {
            return;
        }
        char byte = 0;
        const ssize_t received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        // If there are bytes to read, the caller is still connected and has pipelined its next request.
        if (received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) {
            watch->m_disconnected = true;
            watch->m_action();
            if (watch->m_writer != nullptr) {
                watch->m_writer->clientLeft();
            }
        }
    });
}

void HttpExchange::bufferStream(std::shared_ptr<ClientBacklogs> backlogs, StreamWriter::FailedAction onFailed)
{
    m_writer = std::make_shared<StreamWriter>(m_stream, std::move(backlogs), std::move(onFailed));
    if (m_watch != nullptr) {
        m_watch->m_writer = m_writer;
    }
}

awaitable<bool> HttpExchange::drain()
{
    if (m_writer == nullptr) {
        co_return true;
    }
    co_return co_await m_writer->drain();
}

std::optional<BacklogCut> HttpExchange::cut() const
{
    return m_writer == nullptr ? std::nullopt : m_writer->cut();
}

bool HttpExchange::callerDisconnected() const
{
    return (m_watch != nullptr && m_watch->m_disconnected) || (m_writer != nullptr && m_writer->hasFailed());
}

Error HttpExchange::writeError() const
{
    return {ErrorCode::ConnectionLost, m_writer->cut() ? "the client reads too slowly" : "the client left"};
}

Result<Done> HttpExchange::writeBuffered(const std::array<std::string_view, 3> &parts, bool isComplete)
{
    if (!m_writer->write(parts, isComplete)) {
        m_reusable = false;
        return writeError();
    }
    return Done{};
}

Result<Done> HttpExchange::writeBufferedHeader(const http::response_header<> &header, std::string_view body, bool isComplete)
{
    std::ostringstream text;
    text << header;
    const std::string headerText = text.str();
    return writeBuffered({headerText, body, {}}, isComplete);
}

Result<Done> HttpExchange::writeBufferedChunk(std::string_view text)
{
    std::array<char, 24> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return writeBuffered({std::string_view(size.data(), static_cast<std::size_t>(length)), text, "\r\n"});
}

Result<Done> HttpExchange::writeBufferedEnd()
{
    return writeBuffered({"0\r\n\r\n", {}, {}});
}

awaitable<Result<Done>> HttpExchange::drainBuffered()
{
    // With the co_await in the condition, g++ 12 generates a program that traps when it resumes here.
    const bool isDrained = co_await m_writer->drain();
    if (isDrained) {
        co_return Done{};
    }
    m_reusable = false;
    co_return writeError();
}

const HttpRequest &HttpExchange::request() const
{
    return *m_request;
}

std::shared_ptr<const std::string> HttpExchange::body() const
{
    return {m_request, &m_request->m_body};
}

awaitable<Result<Done>> HttpExchange::respond(HttpReply reply)
{
    m_answered = true;
    http::response<http::string_body> message(static_cast<http::status>(reply.m_status), 11);
    setFields(message, reply.m_headers);
    message.body() = std::move(reply.m_body);
    message.prepare_payload();
    if (!sendsBody() && message.body().empty()) {
        // An upstream's answer to HEAD was read without its body, whose length is not known.
        message.erase(http::field::content_length);
    }
    message.keep_alive(!closesAfterResponse());
    if (m_writer != nullptr) {
        const Result<Done> written = writeBufferedHeader(message.base(), sendsBody() ? std::string_view(message.body()) : std::string_view(), true);
        if (failed(written)) {
            co_return written;
        }
        // What is left of it is held by the writer.
        message.body() = std::string();
        co_return co_await drainBuffered();
    }
    m_stream.expires_after(std::chrono::milliseconds(WriteTimeoutMs));
    http::response_serializer<http::string_body> serializer(message);
    serializer.split(!sendsBody());
    boost::system::error_code error;
    if (sendsBody()) {
        std::tie(error, std::ignore) = co_await http::async_write(m_stream, serializer, UseTuple);
    } else {
        std::tie(error, std::ignore) = co_await http::async_write_header(m_stream, serializer, UseTuple);
    }
    if (error) {
        m_reusable = false;
        co_return Error{ErrorCode::ConnectionLost, error.message()};
    }
    co_return Done{};
}

awaitable<Result<Done>> HttpExchange::beginStream(unsigned status, const HeaderFields &headers)
{
    m_answered = true;
    http::response<http::empty_body> message(static_cast<http::status>(status), 11);
    setFields(message, headers);
    message.chunked(true);
    message.keep_alive(!closesAfterResponse());
    if (m_writer != nullptr) {
        co_return writeBufferedHeader(message.base(), {}, false);
    }
    http::response_serializer<http::empty_body> serializer(message);
    extendDeadline();
    const auto [error, size] = co_await http::async_write_header(m_stream, serializer, UseTuple);
    if (error) {
        m_reusable = false;
        co_return Error{ErrorCode::ConnectionLost, error.message()};
    }
    co_return Done{};
}

void HttpExchange::extendDeadline()
{
    // Setting the timer costs a system call, so it is extended only when less than half of the timeout is left.
    const std::int64_t nowMs = steadyMs();
    if (m_deadlineMs < nowMs + WriteTimeoutMs / 2) {
        m_deadlineMs = nowMs + WriteTimeoutMs;
        m_stream.expires_after(std::chrono::milliseconds(WriteTimeoutMs));
    }
}

awaitable<Result<Done>> HttpExchange::writeChunk(std::string_view text)
{
    if (!sendsBody()) {
        co_return Done{};
    }
    if (m_writer != nullptr) {
        co_return writeBufferedChunk(text);
    }
    extendDeadline();
    const auto [error, size] = co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(text.data(), text.size())), UseTuple);
    if (error) {
        m_reusable = false;
        co_return Error{ErrorCode::ConnectionLost, error.message()};
    }
    co_return Done{};
}

awaitable<Result<Done>> HttpExchange::endStream()
{
    if (m_writer != nullptr) {
        const Result<Done> ended = sendsBody() ? writeBufferedEnd() : Result<Done>(Done{});
        if (failed(ended)) {
            co_return ended;
        }
        co_return co_await drainBuffered();
    }
    if (!sendsBody()) {
        co_return Done{};
    }
    m_stream.expires_after(std::chrono::milliseconds(WriteTimeoutMs));
    const auto [error, size] = co_await asio::async_write(m_stream, http::make_chunk_last(), UseTuple);
    if (error) {
        m_reusable = false;
        co_return Error{ErrorCode::ConnectionLost, error.message()};
    }
    co_return Done{};
}

void HttpExchange::abort()
{
    m_answered = true;
    m_reusable = false;
    if (m_writer != nullptr) {
        m_writer->detach();
    }
    boost::system::error_code ignored;
    m_stream.socket().close(ignored);
}

bool HttpExchange::answered() const
{
    return m_answered;
}

bool HttpExchange::reusable() const
{
    return m_reusable;
}

HttpServer::HttpServer(std::vector<asio::io_context *> contexts, HttpHandler handler, const HttpServerLimits &limits)
    : m_contexts(std::move(contexts))
    , m_acceptor(*m_contexts.front())
    , m_handler(std::move(handler))
{
    setLimits(limits);
}

void HttpServer::setLimits(const HttpServerLimits &limits)
{
    m_limits.publish(std::make_shared<const HttpServerLimits>(limits));
    const std::lock_guard<std::mutex> lock(m_ingressMutex);
    m_budget.setLimits(limits.m_budget);
}

void HttpServer::closeAfterResponses()
{
    m_closeAfterResponses = true;
}

Result<std::shared_ptr<HttpServer>>
HttpServer::create(std::vector<asio::io_context *> contexts, const std::string &address, HttpHandler handler, const HttpServerLimits &limits)
{
    const Result<Tcp::endpoint> endpoint = parseEndpoint(address);
    if (failed(endpoint)) {
        return errorOf(endpoint);
    }
    std::shared_ptr<HttpServer> server(new HttpServer(std::move(contexts), std::move(handler), limits));
    boost::system::error_code error;
    server->m_acceptor.open(valueOf(endpoint).protocol(), error);
    if (!error) {
        server->m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        server->m_acceptor.bind(valueOf(endpoint), error);
    }
    if (!error) {
        server->m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return Error{ErrorCode::Io, "cannot listen on " + address + ": " + error.message()};
    }
    asio::co_spawn(
        server->m_acceptor.get_executor(),
        [server]() {
            return server->acceptLoop();
        },
        asio::detached);
    return server;
}

/** The connection of one client. Its members are used only on its thread, except for the shared pointer that owns it. */
struct HttpServer::ClientConnection
{
    explicit ClientConnection(Tcp::socket socket)
        : m_stream(std::move(socket))
    {
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    ConnectionId m_id = 0;
    /** Bytes of the header of the request that is being read. */
    std::size_t m_headerBytes = 0;
    /** The connection ends because all clients together hold too much. */
    bool m_isEnded = false;
};

/** Counts a connection in the budget for as long as this object exists. */
struct HttpServer::Registration
{
    Registration(HttpServer &server, std::shared_ptr<ClientConnection> connection)
        : m_server(server)
        , m_connection(std::move(connection))
    {
        const std::lock_guard<std::mutex> lock(m_server.m_ingressMutex);
        m_connection->m_id = m_server.m_budget.open(steadyMs());
        m_server.m_clients[m_connection->m_id] = m_connection;
        m_server.endExcess(m_connection->m_id);
    }
    ~Registration()
    {
        const std::lock_guard<std::mutex> lock(m_server.m_ingressMutex);
        m_server.m_ingressCounts.m_endedRequests += m_connection->m_isEnded && m_connection->m_headerBytes > 0 ? 1 : 0;
        m_server.m_ingressCounts.m_endedIdle += m_connection->m_isEnded && m_connection->m_headerBytes == 0 ? 1 : 0;
        m_server.m_budget.close(m_connection->m_id);
        m_server.m_clients.erase(m_connection->m_id);
    }
    Registration(const Registration &) = delete;
    Registration &operator=(const Registration &) = delete;

    HttpServer &m_server;
    std::shared_ptr<ClientConnection> m_connection;
};

namespace
{
/** Counts a request that is being served for as long as this object exists. */
struct ActiveRequest
{
    explicit ActiveRequest(std::atomic<int> &count)
        : m_count(count)
    {
        ++m_count;
    }
    ~ActiveRequest()
    {
        --m_count;
    }
    ActiveRequest(const ActiveRequest &) = delete;
    ActiveRequest &operator=(const ActiveRequest &) = delete;

    std::atomic<int> &m_count;
};
}

awaitable<void> HttpServer::acceptLoop()
{
    while (!m_stopping) {
        asio::io_context &context = *m_contexts[m_nextContext++ % m_contexts.size()];
        auto [error, socket] = co_await m_acceptor.async_accept(context, UseTuple);
        if (error) {
            if (m_stopping || !m_acceptor.is_open()) {
                co_return;
            }
            // Without a pause this loop would take the whole processor while no descriptor is free.
            co_await sleepFor(AcceptPauseMs);
            continue;
        }
        const asio::any_io_executor executor = socket.get_executor();
        asio::co_spawn(
            executor,
            [self = shared_from_this(), moved = std::make_shared<Tcp::socket>(std::move(socket))]() {
                return self->serve(std::move(*moved));
            },
            asio::detached);
    }
}

void HttpServer::endExcess(ConnectionId cause)
{
    for (const ConnectionId id : m_budget.chooseEnded(cause, steadyMs())) {
        const std::shared_ptr<ClientConnection> connection = m_clients[id].lock();
        if (connection == nullptr) {
            continue;
        }
        const auto end = [connection]() {
            connection->m_isEnded = true;
            connection->m_stream.cancel();
        };
        if (id == cause) {
            connection->m_isEnded = true;
        } else {
            asio::post(connection->m_stream.get_executor(), end);
        }
    }
}

bool HttpServer::setPhase(ClientConnection &connection, ConnectionPhase phase)
{
    const std::lock_guard<std::mutex> lock(m_ingressMutex);
    return m_budget.setPhase(connection.m_id, phase, steadyMs()) && !connection.m_isEnded;
}

bool HttpServer::account(ClientConnection &connection, const RequestParser *parser)
{
    // The fields of the header are kept twice: by the parser and in the request. An idle connection keeps a small buffer that does not count.
    const std::size_t bytes = parser == nullptr ? 0 : connection.m_buffer.capacity() + 2 * connection.m_headerBytes + parser->get().body().capacity();
    const std::lock_guard<std::mutex> lock(m_ingressMutex);
    m_budget.hold(connection.m_id, bytes, steadyMs());
    endExcess(connection.m_id);
    return !connection.m_isEnded;
}

awaitable<boost::system::error_code> HttpServer::readHeader(ClientConnection &connection, RequestParser &parser)
{
    std::size_t headerBytes = 0;
    while (!parser.is_header_done()) {
        const auto [error, size] = co_await http::async_read_some(connection.m_stream, connection.m_buffer, parser, UseTuple);
        if (error) {
            co_return error;
        }
        headerBytes += size;
        if (!account(connection, &parser)) {
            co_return asio::error::operation_aborted;
        }
    }
    connection.m_headerBytes = headerBytes;
    co_return boost::system::error_code();
}

awaitable<boost::system::error_code> HttpServer::readBody(ClientConnection &connection, RequestParser &parser)
{
    while (!parser.is_done()) {
        const auto [error, size] = co_await http::async_read_some(connection.m_stream, connection.m_buffer, parser, UseTuple);
        if (error) {
            co_return error;
        }
        if (!account(connection, &parser)) {
            co_return asio::error::operation_aborted;
        }
    }
    co_return boost::system::error_code();
}

awaitable<bool> HttpServer::readRequest(ClientConnection &connection, RequestParser &parser)
{
    constexpr std::size_t FirstReadBytes = 4 * 1024;
    beast::tcp_stream &stream = connection.m_stream;
    beast::flat_buffer &buffer = connection.m_buffer;
    const std::shared_ptr<const HttpServerLimits> limits = m_limits.current();
    parser.header_limit(static_cast<std::uint32_t>(limits->m_maxHeaderBytes));
    parser.body_limit(limits->m_maxBodyBytes);
    buffer.max_size(limits->m_maxHeaderBytes + MaxBufferedBodyBytes);
    if (buffer.size() == 0) {
        if (buffer.capacity() > MaxIdleBufferBytes) {
            buffer.shrink_to_fit();
        }
        connection.m_headerBytes = 0;
        if (!account(connection, nullptr) || !setPhase(connection, ConnectionPhase::Idle)) {
            co_return false;
        }
        stream.expires_after(std::chrono::milliseconds(limits->m_idleTimeoutMs));
        const auto [error, size] = co_await stream.async_read_some(buffer.prepare(FirstReadBytes), UseTuple);
        if (error) {
            co_return false;
        }
        buffer.commit(size);
    }
    if (!setPhase(connection, ConnectionPhase::Reading)) {
        co_return false;
    }
    stream.expires_after(std::chrono::milliseconds(limits->m_headerTimeoutMs));
    const boost::system::error_code headerError = co_await readHeader(connection, parser);
    if (headerError) {
        co_return co_await refuseRequest(stream, headerError, connection.m_isEnded);
    }
    if (hasUnsupportedTransferCoding(parser.get().version(), toFields(parser.get()))) {
        co_return co_await refuseRequest(stream, http::make_error_code(http::error::bad_transfer_encoding), false);
    }
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(stream, asio::buffer(Continue.data(), Continue.size()), UseTuple);
    }
    stream.expires_after(std::chrono::milliseconds(limits->m_idleTimeoutMs));
    boost::system::error_code bodyError = asio::error::operation_aborted;
    if (account(connection, &parser)) {
        bodyError = co_await readBody(connection, parser);
    }
    if (bodyError || !setPhase(connection, ConnectionPhase::Serving)) {
        // What has arrived is freed before the response is written, which the client may not read.
        parser.release();
        account(connection, &parser);
        co_return co_await refuseRequest(stream, bodyError, connection.m_isEnded);
    }
    stream.expires_never();
    co_return true;
}

awaitable<void> HttpServer::serve(Tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    const std::shared_ptr<ClientConnection> connection = std::make_shared<ClientConnection>(std::move(socket));
    const Registration registration(*this, connection);
    while (!m_stopping) {
        RequestParser parser;
        const bool complete = co_await readRequest(*connection, parser);
        if (!complete) {
            break;
        }
        const bool keepAlive = parser.get().keep_alive();
        HttpExchange exchange(connection->m_stream, toRequest(parser.release()), [this, keepAlive]() {
            return !keepAlive || m_closeAfterResponses;
        });
        const ActiveRequest active(m_activeRequests);
        co_await m_handler(exchange);
        if (!exchange.answered()) {
            co_await exchange.respond(problemReply(Error{ErrorCode::NotFound, std::string(pathOf(exchange.request().m_target))}));
        }
        if (!keepAlive || !exchange.reusable()) {
            break;
        }
    }
    connection->m_buffer.clear();
    connection->m_buffer.shrink_to_fit();
    account(*connection, nullptr);
    connection->m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    // A connection without a complete header is closed at once: its descriptor may be needed.
    if (!connection->m_isEnded || connection->m_headerBytes > 0) {
        setPhase(*connection, ConnectionPhase::Idle);
        co_await lingerUntilClosed(connection->m_stream);
    }
}

IngressCounts HttpServer::ingressCounts() const
{
    const std::lock_guard<std::mutex> lock(m_ingressMutex);
    IngressCounts counts = m_ingressCounts;
    counts.m_bytes = m_budget.bytes();
    counts.m_connections = m_budget.connections();
    return counts;
}

std::string ingressMetrics(const IngressCounts &counts)
{
    std::string text = exposeMetric("knapweedslip_ingress_bytes", "Bytes held of requests of clients", static_cast<double>(counts.m_bytes), true);
    text += exposeMetric("knapweedslip_client_connections", "Open connections of clients", static_cast<double>(counts.m_connections), true);
    text += exposeMetric("knapweedslip_ingress_ended_requests_total",
                         "Requests ended while they arrived because all clients together held too much",
                         static_cast<double>(counts.m_endedRequests),
                         false);
    text += exposeMetric("knapweedslip_ingress_ended_idle_total",
                         "Idle connections closed because too many were open or all clients together held too much",
                         static_cast<double>(counts.m_endedIdle),
                         false);
    return text;
}

void HttpServer::stopAccepting()
{
    m_stopping = true;
    asio::post(m_acceptor.get_executor(), [self = shared_from_this()]() {
        boost::system::error_code ignored;
        self->m_acceptor.close(ignored);
    });
}

int HttpServer::activeRequests() const
{
    return m_activeRequests;
}

std::string HttpServer::address() const
{
    boost::system::error_code error;
    const Tcp::endpoint endpoint = m_acceptor.local_endpoint(error);
    return error ? std::string() : endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}
}
