#pragma once

#include "net/asio.h"
#include "net/keys.h"
#include "net/peercodec.h"

#include <functional>
#include <memory>
#include <string>

namespace knapweedslip
{
/** Counters of one daemon's traffic with all its peers. */
struct PeerTraffic
{
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_receivedBytes = 0;
    std::uint64_t m_sentMessages = 0;
    /** Received frames that were too long or had a wrong signature. */
    std::uint64_t m_rejectedFrames = 0;
};

/**
 * A connection between two daemons that carries frames. A frame is a 32-bit payload length in network byte order, an HMAC-SHA-256 and the
 * FlatBuffers payload. The listening side first sends a nonce of 16 random bytes. The HMAC covers the nonce, the direction, the frame's
 * number and the payload, so that a frame cannot be replayed on another connection, in the other direction or at another position.
 */
struct PeerConnection
{
    explicit PeerConnection(Tcp::socket socket)
        : m_socket(std::move(socket))
    {
    }

    Tcp::socket m_socket;
    std::string m_nonce;
    /** 'c' on the connecting side, 's' on the listening side. */
    char m_side = 'c';
    /** Frames sent and received so far; the number of the next frame in each direction. */
    std::uint64_t m_sentFrames = 0;
    std::uint64_t m_receivedFrames = 0;
};

/** Largest payload of a frame that is accepted. */
inline constexpr std::size_t MaxPeerFrameBytes = 16 * 1024 * 1024;

/** Closes a socket after a timeout, so that pending operations on it fail. Must be used on the socket's thread. */
class SocketDeadline
{
public:
    SocketDeadline(Tcp::socket &socket, std::int64_t timeoutMs);
    ~SocketDeadline();
    SocketDeadline(const SocketDeadline &) = delete;
    SocketDeadline &operator=(const SocketDeadline &) = delete;

private:
    /** Points to null after this object is destroyed, because the timer's handler may still be queued then. */
    std::shared_ptr<Tcp::socket *> m_socket;
    asio::steady_timer m_timer;
};

/** Connects to @p address (ip:port) and reads the nonce. */
awaitable<Result<std::unique_ptr<PeerConnection>>> peerConnect(std::string address, std::int64_t timeoutMs);
/** Makes a connection from an accepted socket and sends the nonce. */
awaitable<Result<std::unique_ptr<PeerConnection>>> peerAccept(Tcp::socket socket);
/** Sends one frame and counts it in @p traffic. */
awaitable<Result<Done>> peerSend(PeerConnection &connection, const Secret &secret, const PeerMessage &message, PeerTraffic &traffic);
/** Receives one frame. Returns an error Unauthorized when its signature is wrong; the connection must be closed after any error. */
awaitable<Result<PeerMessage>> peerReceive(PeerConnection &connection, const Secret &secret, PeerTraffic &traffic);
}
