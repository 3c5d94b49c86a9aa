#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace knapweedslip
{
/** Limits on all connections of clients of one server together. 0 is no limit. */
struct IngressBudgetLimits
{
    /** Bytes that are held of requests, read completely or not. */
    std::size_t m_maxBytes = 0;
    /** Number of open connections. */
    std::size_t m_maxConnections = 0;
};

/** What a connection of a client waits for. */
enum class ConnectionPhase {
    /** The first byte of the next request. */
    Idle,
    /** The rest of a request. */
    Reading,
    /** The response to a request that was read completely. */
    Serving,
};

/** Number of a connection in an IngressBudget. */
using ConnectionId = std::uint64_t;

/**
 * Bounds what the connections of clients hold together, and chooses which connections to end when a limit is exceeded. Requests that were read completely
 * are never chosen, since they may run. Uses no sockets and no clock; callers pass the time and end the connections. Takes one pass over the connections
 * for each one that it chooses. Memory: one entry for each connection.
 */
class IngressBudget
{
public:
    /** A connection in the phase Reading that has received nothing for this long has stopped, in ms. */
    static constexpr std::int64_t StoppedMs = 1'000;

    void setLimits(const IngressBudgetLimits &limits);

    /** Adds a connection in the phase Idle. */
    ConnectionId open(std::int64_t nowMs);
    /** Removes @p connection and what it holds. */
    void close(ConnectionId connection);
    /** Sets the phase of @p connection. A connection that was chosen to be ended keeps its phase; false is returned then. */
    bool setPhase(ConnectionId connection, ConnectionPhase phase, std::int64_t nowMs);
    /** Records that @p connection has received bytes and now holds @p bytes. */
    void hold(ConnectionId connection, std::size_t bytes, std::int64_t nowMs);

    /**
     * Returns the connections to end because of @p cause, which has just been opened or has received bytes, so that the limits hold again; @p cause may be
     * among them. First come those that are idle or have stopped in the middle of a request, the longest ago first, then those that hold most; with too many
     * connections, those that have been without a complete request for longest. Each connection is returned once; its bytes no longer count.
     */
    std::vector<ConnectionId> chooseEnded(ConnectionId cause, std::int64_t nowMs);

    /** Returns the bytes that are held, and the number of connections, without those that were chosen to be ended. */
    std::size_t bytes() const;
    std::size_t connections() const;

private:
    struct Connection
    {
        ConnectionPhase m_phase = ConnectionPhase::Idle;
        std::size_t m_bytes = 0;
        /** When the last request was complete, or the connection was opened. */
        std::int64_t m_sinceMs = 0;
        /** When the last bytes arrived. */
        std::int64_t m_receivedMs = 0;
        bool m_ended = false;
    };

    using ConnectionMap = std::map<ConnectionId, Connection>;

    /** Returns the connection to end because too many bytes are held, or null. */
    ConnectionMap::iterator largestHolder(std::int64_t nowMs);
    /** Returns the connection to end because too many are open, or null. */
    ConnectionMap::iterator longestWithoutRequest();
    void end(ConnectionMap::iterator connection, std::vector<ConnectionId> &ended);

    IngressBudgetLimits m_limits;
    ConnectionMap m_connections;
    std::size_t m_bytes = 0;
    std::size_t m_open = 0;
    ConnectionId m_next = 1;
};
}
