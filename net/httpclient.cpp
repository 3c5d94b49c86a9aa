// Problem: a response must never be matched to another request, and a request reported as not run must not have reached the server.
// Approach: a connection carries one exchange at a time and returns to the pool only after the response was read to its end, so an unread
// response cannot be matched to the next request. Errors before the first byte was sent have another code than those after it.
// If a connection were kept after a timeout, the late response would be taken for that of the next request.

#include "net/httpclient.h"

#include <charconv>
#include <sys/socket.h>

namespace knapweedslip
{
namespace
{
/** A timeout may be exceeded by its length divided by this, so that the timer need not be set for each read. */
constexpr std::int64_t DeadlineSlackDivisor = 4;
/** Bodies up to this size, in bytes, fit the smallest socket buffers, so writing them does not wait for the peer to read. */
constexpr std::size_t ShortBodyBytes = 8 * 1024;

/** Longest head of a response, in bytes. */
constexpr std::uint32_t MaxHeadBytes = 8 * 1024;

/** Returns whether an idle connection is still open and has no unexpected bytes to read. */
bool isOpenAndIdle(HttpConnection &connection)
{
    if (connection.m_buffer.size() > 0) {
        return false;
    }
    char byte = 0;
    const ssize_t received = ::recv(connection.m_stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

using RequestMessage = http::request<http::span_body<const char>>;

/** Returns the message that sends @p request with @p body, which is not copied and must stay valid. */
RequestMessage toMessage(const HttpConnection &connection, const HttpRequest &request, const std::string &body)
{
    RequestMessage message(http::string_to_verb(request.m_method), request.m_target, 11);
    if (message.method() == http::verb::unknown) {
        message.method_string(request.m_method);
    }
    if (headerValue(request.m_headers, "Host").empty()) {
        message.set(http::field::host, connection.m_address);
    }
    for (const std::pair<std::string, std::string> &field : request.m_headers) {
        message.insert(field.first, field.second);
    }
    message.body() = {body.data(), body.size()};
    message.prepare_payload();
    return message;
}

Error toError(const boost::system::error_code &error)
{
    if (error == beast::error::timeout) {
        return Error{ErrorCode::Timeout, "no answer in time"};
    }
    if (error == http::error::body_limit || error == http::error::header_limit || error == http::error::buffer_overflow) {
        return Error{ErrorCode::ProtocolViolation, "the answer is too long"};
    }
    return Error{ErrorCode::ConnectionLost, error.message()};
}
}

namespace
{
bool isWithinKeepAlive(const HttpConnection &connection, std::int64_t nowMs)
{
    return connection.m_keepAliveMs == 0 || nowMs - connection.m_idleSinceMs + ConnectionPool::KeepAliveMarginMs < connection.m_keepAliveMs;
}
}

bool ConnectionPool::has(const asio::any_io_executor &executor, const std::string &address, const std::string &bootId)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_idle.find(PoolKey(&executor.context(), address));
    // The last one has been idle for the shortest time.
    return it != m_idle.end() && !it->second.empty() && it->second.back()->m_bootId == bootId && isWithinKeepAlive(*it->second.back(), steadyMs());
}

HttpConnectionPtr ConnectionPool::take(const asio::any_io_executor &executor, const std::string &address, const std::string &bootId)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_idle.find(PoolKey(&executor.context(), address));
    if (it == m_idle.end()) {
        return nullptr;
    }
    std::vector<HttpConnectionPtr> &idle = it->second;
    const std::int64_t nowMs = steadyMs();
    while (!idle.empty()) {
        HttpConnectionPtr connection = std::move(idle.back());
        idle.pop_back();
        if (isWithinKeepAlive(*connection, nowMs) && (bootId.empty() || connection->m_bootId == bootId) && isOpenAndIdle(*connection)) {
            return connection;
        }
    }
    return nullptr;
}

void recordKeepAlive(HttpConnection &connection, const HeaderFields &headers)
{
    constexpr std::string_view Field = "timeout=";
    constexpr std::int64_t MsPerSecond = 1'000;
    const std::string_view value = headerValue(headers, "Keep-Alive");
    const std::size_t start = value.find(Field);
    if (start == std::string_view::npos) {
        return;
    }
    std::int64_t seconds = 0;
    const std::from_chars_result parsed = std::from_chars(value.data() + start + Field.size(), value.data() + value.size(), seconds);
    if (parsed.ec == std::errc()) {
        connection.m_keepAliveMs = seconds * MsPerSecond;
    }
}

void ConnectionPool::give(HttpConnectionPtr connection)
{
    connection->m_reused = true;
    connection->m_idleSinceMs = steadyMs();
    // The timer is disabled below, so the next exchange must set a new deadline.
    connection->m_deadlineMs = 0;
    connection->m_stream.expires_never();
    const PoolKey poolKey(&connection->m_stream.get_executor().context(), connection->m_address);
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<HttpConnectionPtr> &idle = m_idle[poolKey];
    if (idle.size() < MaxIdlePerAddress) {
        idle.push_back(std::move(connection));
    }
}

awaitable<Result<HttpConnectionPtr>> httpConnect(std::string address, std::int64_t timeoutMs)
{
    const Result<Tcp::endpoint> endpoint = parseEndpoint(address);
    if (failed(endpoint)) {
        co_return errorOf(endpoint);
    }
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    HttpConnectionPtr connection = std::make_unique<HttpConnection>(beast::tcp_stream(executor));
    connection->m_address = address;
    connection->m_stream.expires_after(std::chrono::milliseconds(timeoutMs));
    const auto [error] = co_await connection->m_stream.async_connect(valueOf(endpoint), UseTuple);
    if (error) {
        co_return Error{ErrorCode::ConnectFailed, address + ": " + error.message()};
    }
    boost::system::error_code ignored;
    connection->m_stream.socket().set_option(Tcp::no_delay(true), ignored);
    co_return std::move(connection);
}

bool isConnectionRefused(const Error &error)
{
    const boost::system::error_code refused = asio::error::connection_refused;
    return error.m_code == ErrorCode::ConnectFailed && error.m_detail.find(refused.message()) != std::string::npos;
}

namespace
{
/** Reads until the buffer holds the head of a response, or too much for one. Fails with ProtocolViolation if the name of a field in it is invalid. */
awaitable<Result<Done>> bufferHead(HttpConnection &connection)
{
    constexpr std::string_view EndOfHead = "\r\n\r\n";
    constexpr std::size_t MaxReadBytes = 64 * 1024;
    std::size_t searched = 0;
    while (true) {
        const std::string_view bytes(static_cast<const char *>(connection.m_buffer.data().data()), connection.m_buffer.size());
        const std::size_t end = bytes.find(EndOfHead, searched);
        if (end != std::string_view::npos) {
            if (hasInvalidFieldName(bytes.substr(0, end))) {
                co_return Error{ErrorCode::ProtocolViolation, "a field of the answer has an invalid name"};
            }
            co_return Done{};
        }
        if (bytes.size() > MaxHeadBytes) {
            // The parser tells that the head is too long.
            co_return Done{};
        }
        searched = bytes.size() - std::min(bytes.size(), EndOfHead.size() - 1);
        const std::size_t wanted = beast::read_size(connection.m_buffer, MaxReadBytes);
        const auto [error, size] = co_await connection.m_stream.async_read_some(connection.m_buffer.prepare(wanted), UseTuple);
        if (error) {
            co_return toError(error);
        }
        connection.m_buffer.commit(size);
    }
}

/** Reads the head of a response. The parser alone would take a line that begins with a blank for a part of the line before it. */
template<typename Parser>
awaitable<Result<Done>> readHead(HttpConnection &connection, Parser &parser)
{
    parser.header_limit(MaxHeadBytes);
    const Result<Done> buffered = co_await bufferHead(connection);
    if (failed(buffered)) {
        co_return buffered;
    }
    const auto [error, size] = co_await http::async_read_header(connection.m_stream, connection.m_buffer, parser, UseTuple);
    if (error) {
        co_return toError(error);
    }
    if (!isFinalStatus(parser.get().result_int())) {
        co_return Error{ErrorCode::ProtocolViolation, "the answer has the status " + std::to_string(parser.get().result_int())};
    }
    co_return Done{};
}

/** Reads one complete response, within the time that is set for the connection. */
awaitable<Result<HttpReply>> readReply(HttpConnection &connection, const std::string &method, std::size_t maxBodyBytes)
{
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxBodyBytes);
    if (method == "HEAD") {
        parser.skip(true);
    }
    const Result<Done> head = co_await readHead(connection, parser);
    if (failed(head)) {
        co_return errorOf(head);
    }
    const auto [error, size] = co_await http::async_read(connection.m_stream, connection.m_buffer, parser, UseTuple);
    if (error) {
        co_return toError(error);
    }
    HttpReply reply;
    reply.m_status = parser.get().result_int();
    reply.m_headers = toFields(parser.get());
    reply.m_body = std::move(parser.get().body());
    recordKeepAlive(connection, reply.m_headers);
    connection.m_closing = !parser.get().keep_alive();
    co_return reply;
}
}

awaitable<Result<HttpReply>>
httpExchange(HttpConnection &connection, const HttpRequest &request, std::int64_t timeoutMs, std::size_t maxBodyBytes, MatchResponse match)
{
    const RequestMessage message = toMessage(connection, request, request.m_body);
    connection.m_stream.expires_after(std::chrono::milliseconds(timeoutMs));
    const auto [writeError, written] = co_await http::async_write(connection.m_stream, message, UseTuple);
    if (writeError) {
        co_return toError(writeError);
    }
    for (int skipped = 0;; ++skipped) {
        Result<HttpReply> reply = co_await readReply(connection, request.m_method, maxBodyBytes);
        if (failed(reply)) {
            co_return reply;
        }
        const ResponseMatch matched = match ? match(valueOf(reply), connection.m_reused) : ResponseMatch::Own;
        if (matched == ResponseMatch::Own || matched == ResponseMatch::OwnUnnamed) {
            connection.m_closing = connection.m_closing || skipped > 0 || matched == ResponseMatch::OwnUnnamed;
            co_return reply;
        }
        if (matched == ResponseMatch::Unknown) {
            co_return Error{ErrorCode::ProtocolViolation, "it cannot be told to which request the response belongs"};
        }
        if (connection.m_closing) {
            co_return Error{ErrorCode::ConnectionLost, "the connection ends with a response to another request"};
        }
        if (!connection.m_reused || skipped == MaxSkippedResponses) {
            co_return Error{ErrorCode::ProtocolViolation, "the response belongs to another request"};
        }
    }
}

awaitable<Result<HttpReply>>
httpCall(ConnectionPool &pool, std::string address, HttpRequest request, std::int64_t timeoutMs, std::size_t maxBodyBytes, MatchResponse match)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    HttpConnectionPtr connection = pool.take(executor, address, {});
    if (connection != nullptr) {
        const Result<HttpReply> reply = co_await httpExchange(*connection, request, timeoutMs, maxBodyBytes, match);
        if (!failed(reply)) {
            if (!connection->m_closing) {
                pool.give(std::move(connection));
            }
            co_return reply;
        }
        const bool repeatable = request.m_method == "GET" || request.m_method == "HEAD";
        if (!repeatable || errorOf(reply).m_code != ErrorCode::ConnectionLost) {
            co_return reply;
        }
    }
    Result<HttpConnectionPtr> fresh = co_await httpConnect(address, timeoutMs);
    if (failed(fresh)) {
        co_return errorOf(fresh);
    }
    connection = std::move(valueOf(fresh));
    const Result<HttpReply> reply = co_await httpExchange(*connection, request, timeoutMs, maxBodyBytes, match);
    if (!failed(reply) && !connection->m_closing) {
        pool.give(std::move(connection));
    }
    co_return reply;
}

HttpStream::HttpStream(HttpConnection &connection)
    : m_connection(connection)
    , m_readBuffer(ReadBufferBytes)
{
    resetParser();
}

void HttpStream::extendDeadline(std::int64_t timeoutMs)
{
    const std::int64_t nowMs = steadyMs();
    if (timeoutMs != NoTimeout && m_connection.m_deadlineMs < nowMs + timeoutMs) {
        m_connection.m_deadlineMs = nowMs + timeoutMs + timeoutMs / DeadlineSlackDivisor;
        m_connection.m_stream.expires_after(std::chrono::milliseconds(m_connection.m_deadlineMs - nowMs));
    }
}

awaitable<Result<Done>> HttpStream::open(const HttpRequest &request, std::int64_t timeoutMs, std::shared_ptr<const std::string> body)
{
    if (body == nullptr) {
        body = std::make_shared<const std::string>(request.m_body);
    }
    m_isHead = request.m_method == "HEAD";
    resetParser();
    const std::shared_ptr<RequestMessage> message = std::make_shared<RequestMessage>(toMessage(m_connection, request, *body));
    extendDeadline(timeoutMs);
    if (body->size() <= ShortBodyBytes) {
        const auto [writeError, written] = co_await http::async_write(m_connection.m_stream, *message, UseTuple);
        if (writeError) {
            co_return toError(writeError);
        }
        *m_requestWrite = RequestWrite::Done;
    } else {
        // The server may respond before it has read a long body; reading that response must not wait for the write.
        http::async_write(m_connection.m_stream, *message, [message, body, state = m_requestWrite](const boost::system::error_code &error, std::size_t) {
            *state = error ? RequestWrite::Failed : RequestWrite::Done;
        });
    }
    co_return co_await readHeader();
}

void HttpStream::resetParser()
{
    m_parser.emplace();
    m_parser->body_limit(boost::none);
    m_parser->skip(m_isHead);
}

awaitable<Result<Done>> HttpStream::readHeader()
{
    co_return co_await readHead(m_connection, *m_parser);
}

awaitable<Result<Done>> HttpStream::skipResponse(std::size_t maxBodyBytes, std::int64_t timeoutMs)
{
    m_skippedResponse = true;
    if (m_parser->need_eof()) {
        co_return Error{ErrorCode::ConnectionLost, "an answer to another request ends with the connection"};
    }
    std::size_t dropped = 0;
    for (bool atEnd = false; !atEnd;) {
        const Result<std::string_view> piece = co_await read(timeoutMs);
        if (failed(piece)) {
            co_return errorOf(piece);
        }
        dropped += valueOf(piece).size();
        if (dropped > maxBodyBytes) {
            co_return Error{ErrorCode::ProtocolViolation, "an answer to another request is too long"};
        }
        atEnd = valueOf(piece).empty();
    }
    if (!m_parser->get().keep_alive()) {
        co_return Error{ErrorCode::ConnectionLost, "the connection ends with an answer to another request"};
    }
    resetParser();
    co_return co_await readHeader();
}

unsigned HttpStream::status() const
{
    return m_parser->get().result_int();
}

std::string HttpStream::header(std::string_view name) const
{
    return std::string(m_parser->get()[beast::string_view(name.data(), name.size())]);
}

HeaderFields HttpStream::headers() const
{
    return toFields(m_parser->get());
}

awaitable<Result<std::string_view>> HttpStream::read(std::int64_t timeoutMs)
{
    while (!m_parser->is_done()) {
        m_parser->get().body().data = m_readBuffer.data();
        m_parser->get().body().size = m_readBuffer.size();
        extendDeadline(timeoutMs);
        auto [error, size] = co_await http::async_read_some(m_connection.m_stream, m_connection.m_buffer, *m_parser, UseTuple);
        if (error && error != http::error::need_buffer) {
            co_return toError(error);
        }
        const std::size_t received = m_readBuffer.size() - m_parser->get().body().size;
        if (received > 0) {
            co_return std::string_view(m_readBuffer.data(), received);
        }
    }
    if (m_parser->need_eof() && *m_requestWrite != RequestWrite::Done) {
        co_return Error{ErrorCode::ConnectionLost, "the connection ended before the request was written"};
    }
    co_return std::string_view();
}

bool HttpStream::endsWithConnection() const
{
    return m_parser->need_eof();
}

bool HttpStream::finished() const
{
    return m_parser->is_done();
}

bool HttpStream::reusable() const
{
    return !m_skippedResponse && m_parser->is_done() && *m_requestWrite == RequestWrite::Done && m_parser->get().keep_alive()
           && m_connection.m_buffer.size() == 0;
}

std::vector<std::string> EventSplitter::feed(std::string_view text)
{
    constexpr std::string_view DataPrefix = "data:";
    std::vector<std::string> events;
    if (m_isTooLong) {
        return events;
    }
    m_partialEvent += text;
    std::string_view left = m_partialEvent;
    for (std::size_t length = completeEventLength(left, m_scan); length > 0; length = completeEventLength(left, m_scan)) {
        std::string_view block = left.substr(0, length);
        left.remove_prefix(length);
        m_scan = {};
        if (block.compare(0, DataPrefix.size(), DataPrefix) == 0) {
            block.remove_prefix(std::min(block.size(), block.find_first_not_of(' ', DataPrefix.size())));
            events.emplace_back(block.substr(0, block.find_last_not_of("\r\n") + 1));
        }
    }
    m_partialEvent.erase(0, m_partialEvent.size() - left.size());
    if (m_partialEvent.size() > EventReassembler::MaxEventBytes) {
        m_isTooLong = true;
        m_partialEvent = {};
    }
    return events;
}

bool EventSplitter::isTooLong() const
{
    return m_isTooLong;
}
}
