#pragma once

#include "net/asio.h"
#include "net/keys.h"
#include "net/peercodec.h"

#include <functional>
#include <memory>
#include <string>

namespace knapweedslip
{
/** Counts of one daemon's peer traffic. */
struct PeerTraffic
{
    std::uint64_t m_sentBytes = 0;
    std::uint64_t m_receivedBytes = 0;
    std::uint64_t m_sentMessages = 0;
    std::uint64_t m_rejected = 0;
};

/**
 * One framed connection between daemons. A frame is a 32-bit length in network order, an HMAC-SHA-256 and the FlatBuffers payload. The
 * listening side opens with 16 random bytes; the HMAC covers them, the direction and the frame's number, so that a frame cannot be
 * replayed on another connection or in another place.
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
    std::uint64_t m_sent = 0;
    std::uint64_t m_received = 0;
};

inline constexpr std::size_t MaxPeerFrameBytes = 16 * 1024 * 1024;

/** Closes a socket when time is up, which ends whatever waits on it. Used on the socket's own thread. */
class SocketDeadline
{
public:
    SocketDeadline(Tcp::socket &socket, std::int64_t timeoutMs);
    ~SocketDeadline();
    SocketDeadline(const SocketDeadline &) = delete;
    SocketDeadline &operator=(const SocketDeadline &) = delete;

private:
    /** Null once this object is gone, though the timer's handler may still be queued. */
    std::shared_ptr<Tcp::socket *> m_socket;
    asio::steady_timer m_timer;
};

/** Connects and reads the listening side's nonce. */
awaitable<Result<std::unique_ptr<PeerConnection>>> peerConnect(std::string address, std::int64_t timeoutMs);
/** Takes an accepted socket and sends the nonce. */
awaitable<Result<std::unique_ptr<PeerConnection>>> peerAccept(Tcp::socket socket);
awaitable<Result<Done>> peerSend(PeerConnection &connection, const Secret &secret, const PeerMessage &message, PeerTraffic &traffic);
/** Unauthorized when the signature is wrong; the connection must then be closed. */
awaitable<Result<PeerMessage>> peerReceive(PeerConnection &connection, const Secret &secret, PeerTraffic &traffic);
}
