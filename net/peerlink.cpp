// Problem: only daemons of the same deployment may change each other's state, and they talk over plain TCP.
// Approach: each frame carries an HMAC over the connection's nonce, the direction, the frame's number and the payload.
// If the secret were only checked when a connection opens, anyone who can inject bytes later could impersonate the peer.

#include "net/peerlink.h"

#include <array>

namespace knapweedslip
{
namespace
{
constexpr std::size_t NonceBytes = 16;
constexpr std::size_t MacBytes = 32;
constexpr std::size_t LengthBytes = 4;

std::string frameMac(const PeerConnection &connection, const Secret &secret, char side, std::uint64_t number, const std::string &payload)
{
    std::string text = connection.m_nonce;
    text += side;
    text += std::to_string(number);
    text += ':';
    text += payload;
    return hmacSha256(secret, text);
}

std::string lengthPrefix(std::size_t length)
{
    std::string prefix(LengthBytes, '\0');
    for (std::size_t i = 0; i < LengthBytes; ++i) {
        prefix[i] = static_cast<char>((length >> (8U * (LengthBytes - 1 - i))) & 0xFFU);
    }
    return prefix;
}

std::size_t parseLength(const std::string &prefix)
{
    std::size_t length = 0;
    for (const char byte : prefix) {
        length = (length << 8U) | static_cast<unsigned char>(byte);
    }
    return length;
}
}

SocketDeadline::SocketDeadline(Tcp::socket &socket, std::int64_t timeoutMs)
    : m_socket(std::make_shared<Tcp::socket *>(&socket))
    , m_timer(socket.get_executor(), std::chrono::milliseconds(timeoutMs))
{
    m_timer.async_wait([target = m_socket](const boost::system::error_code &error) {
        if (!error && *target != nullptr) {
            boost::system::error_code ignored;
            (*target)->close(ignored);
        }
    });
}

SocketDeadline::~SocketDeadline()
{
    *m_socket = nullptr;
}

awaitable<Result<std::unique_ptr<PeerConnection>>> peerConnect(std::string address, std::int64_t timeoutMs)
{
    const Result<Tcp::endpoint> endpoint = parseEndpoint(address);
    if (failed(endpoint)) {
        co_return errorOf(endpoint);
    }
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    std::unique_ptr<PeerConnection> connection = std::make_unique<PeerConnection>(Tcp::socket(executor));
    const SocketDeadline deadline(connection->m_socket, timeoutMs);
    const auto [connectError] = co_await connection->m_socket.async_connect(valueOf(endpoint), UseTuple);
    if (connectError) {
        co_return Error{ErrorCode::ConnectFailed, connectError.message()};
    }
    boost::system::error_code ignored;
    connection->m_socket.set_option(Tcp::no_delay(true), ignored);
    connection->m_nonce.resize(NonceBytes);
    const auto [readError, size] = co_await asio::async_read(connection->m_socket, asio::buffer(connection->m_nonce), UseTuple);
    if (readError) {
        co_return Error{ErrorCode::ConnectionLost, readError.message()};
    }
    co_return std::move(connection);
}

awaitable<Result<std::unique_ptr<PeerConnection>>> peerAccept(Tcp::socket socket)
{
    std::unique_ptr<PeerConnection> connection = std::make_unique<PeerConnection>(std::move(socket));
    connection->m_side = 's';
    boost::system::error_code ignored;
    connection->m_socket.set_option(Tcp::no_delay(true), ignored);
    for (std::size_t i = 0; i < NonceBytes; ++i) {
        connection->m_nonce += static_cast<char>(randomId() & 0xFFU);
    }
    const auto [error, size] = co_await asio::async_write(connection->m_socket, asio::buffer(connection->m_nonce), UseTuple);
    if (error) {
        co_return Error{ErrorCode::ConnectionLost, error.message()};
    }
    co_return std::move(connection);
}

awaitable<Result<Done>> peerSend(PeerConnection &connection, const Secret &secret, const PeerMessage &message, PeerTraffic &traffic)
{
    const std::string payload = encodePeerMessage(message);
    const std::string mac = frameMac(connection, secret, connection.m_side, connection.m_sentFrames++, payload);
    const std::string frame = lengthPrefix(payload.size()) + mac + payload;
    traffic.m_sentBytes += frame.size();
    ++traffic.m_sentMessages;
    const auto [error, size] = co_await asio::async_write(connection.m_socket, asio::buffer(frame), UseTuple);
    if (error) {
        co_return Error{ErrorCode::ConnectionLost, error.message()};
    }
    co_return Done{};
}

awaitable<Result<PeerMessage>> peerReceive(PeerConnection &connection, const Secret &secret, PeerTraffic &traffic)
{
    std::string header(LengthBytes + MacBytes, '\0');
    const auto [headerError, headerSize] = co_await asio::async_read(connection.m_socket, asio::buffer(header), UseTuple);
    if (headerError) {
        co_return Error{ErrorCode::ConnectionLost, headerError.message()};
    }
    const std::size_t length = parseLength(header.substr(0, LengthBytes));
    if (length > MaxPeerFrameBytes) {
        ++traffic.m_rejectedFrames;
        co_return Error{ErrorCode::ProtocolViolation, "peer frame is too long"};
    }
    std::string payload(length, '\0');
    const auto [error, size] = co_await asio::async_read(connection.m_socket, asio::buffer(payload), UseTuple);
    if (error) {
        co_return Error{ErrorCode::ConnectionLost, error.message()};
    }
    traffic.m_receivedBytes += header.size() + payload.size();
    const char peerSide = connection.m_side == 'c' ? 's' : 'c';
    const std::string expected = frameMac(connection, secret, peerSide, connection.m_receivedFrames++, payload);
    if (!equalSecrets(expected, std::string_view(header).substr(LengthBytes))) {
        ++traffic.m_rejectedFrames;
        co_return Error{ErrorCode::Unauthorized, "peer frame has a wrong signature"};
    }
    co_return decodePeerMessage(payload);
}
}
