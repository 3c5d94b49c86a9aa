// Problem: serve many connections on several threads, with complete and streamed responses, and stop without truncating any response.
// Approach: one coroutine per connection, bound to one thread, with Beast for the protocol. Stopping closes the listener and lets each
// connection finish its request.
// Closing the connections when stopping would truncate responses, and one thread per connection would cost memory for each idle caller.

#include "net/httpserver.h"

#include <array>
#include <sys/socket.h>

namespace knapweedslip
{
namespace
{
constexpr std::int64_t WriteTimeoutMs = 30'000;
/** Longest size line of a chunk, and what else of a body is buffered until it can be used, in bytes. */
constexpr std::size_t MaxBufferedBodyBytes = 64 * 1024;

template<typename Message>
void setFields(Message &message, const HeaderFields &headers)
{
    for (const std::pair<std::string, std::string> &field : headers) {
        message.insert(field.first, field.second);
    }
}

HttpRequest toRequest(const http::request<http::string_body> &message)
{
    HttpRequest request;
    request.m_method = std::string(message.method_string());
    request.m_target = std::string(message.target());
    request.m_headers = toFields(message);
    request.m_body = message.body();
    return request;
}

/** Responds to a request that could not be read, if the caller can still read the response. Returns false: the connection must close. */
awaitable<bool> refuseRequest(beast::tcp_stream &stream, boost::system::error_code error)
{
    ErrorCode code = ErrorCode::MalformedRequest;
    if (error == http::error::body_limit) {
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
    co_await exchange.respond(problemReply(Error{code, error.message()}));
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

HttpExchange::HttpExchange(beast::tcp_stream &stream, HttpRequest request, std::function<bool()> shouldClose)
    : m_stream(stream)
    , m_request(std::move(request))
    , m_shouldClose(std::move(shouldClose))
{
}

HttpExchange::~HttpExchange()
{
    if (m_watch != nullptr) {
        m_watch->m_finished = true;
    }
}

bool HttpExchange::closesAfterResponse()
{
    if (m_shouldClose && m_shouldClose()) {
        m_reusable = false;
    }
    return !m_reusable;
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
        }
    });
}

bool HttpExchange::callerDisconnected() const
{
    return m_watch != nullptr && m_watch->m_disconnected;
}

const HttpRequest &HttpExchange::request() const
{
    return m_request;
}

awaitable<Result<Done>> HttpExchange::respond(HttpReply reply)
{
    m_answered = true;
    http::response<http::string_body> message(static_cast<http::status>(reply.m_status), 11);
    setFields(message, reply.m_headers);
    message.body() = std::move(reply.m_body);
    message.prepare_payload();
    message.keep_alive(!closesAfterResponse());
    m_stream.expires_after(std::chrono::milliseconds(WriteTimeoutMs));
    const auto [error, size] = co_await http::async_write(m_stream, message, UseTuple);
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

awaitable<void> HttpServer::acceptLoop()
{
    while (!m_stopping) {
        asio::io_context &context = *m_contexts[m_nextContext++ % m_contexts.size()];
        auto [error, socket] = co_await m_acceptor.async_accept(context, UseTuple);
        if (error) {
            if (m_stopping || !m_acceptor.is_open()) {
                co_return;
            }
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

awaitable<bool> HttpServer::readRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer, http::request_parser<http::string_body> &parser)
{
    constexpr std::size_t FirstReadBytes = 4 * 1024;
    const std::shared_ptr<const HttpServerLimits> limits = m_limits.current();
    parser.header_limit(static_cast<std::uint32_t>(limits->m_maxHeaderBytes));
    parser.body_limit(limits->m_maxBodyBytes);
    buffer.max_size(limits->m_maxHeaderBytes + MaxBufferedBodyBytes);
    if (buffer.size() == 0) {
        stream.expires_after(std::chrono::milliseconds(limits->m_idleTimeoutMs));
        const auto [error, size] = co_await stream.async_read_some(buffer.prepare(FirstReadBytes), UseTuple);
        if (error) {
            co_return false;
        }
        buffer.commit(size);
    }
    stream.expires_after(std::chrono::milliseconds(limits->m_headerTimeoutMs));
    const auto [headerError, headerSize] = co_await http::async_read_header(stream, buffer, parser, UseTuple);
    if (headerError) {
        co_return co_await refuseRequest(stream, headerError);
    }
    if (hasUnsupportedTransferCoding(parser.get().version(), toFields(parser.get()))) {
        co_return co_await refuseRequest(stream, http::make_error_code(http::error::bad_transfer_encoding));
    }
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
        co_await asio::async_write(stream, asio::buffer(Continue.data(), Continue.size()), UseTuple);
    }
    stream.expires_after(std::chrono::milliseconds(limits->m_idleTimeoutMs));
    const auto [bodyError, bodySize] = co_await http::async_read(stream, buffer, parser, UseTuple);
    if (bodyError) {
        co_return co_await refuseRequest(stream, bodyError);
    }
    stream.expires_never();
    co_return true;
}

awaitable<void> HttpServer::serve(Tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (!m_stopping) {
        http::request_parser<http::string_body> parser;
        const bool complete = co_await readRequest(stream, buffer, parser);
        if (!complete) {
            break;
        }
        const bool keepAlive = parser.get().keep_alive();
        HttpExchange exchange(stream, toRequest(parser.get()), [this, keepAlive]() {
            return !keepAlive || m_closeAfterResponses;
        });
        ++m_activeRequests;
        co_await m_handler(exchange);
        if (!exchange.answered()) {
            co_await exchange.respond(problemReply(Error{ErrorCode::NotFound, std::string(pathOf(exchange.request().m_target))}));
        }
        --m_activeRequests;
        if (!keepAlive || !exchange.reusable()) {
            break;
        }
    }
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    co_await lingerUntilClosed(stream);
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
