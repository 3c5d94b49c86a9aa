// Problem: the limits of a single request bound nothing in sum. A few hundred clients that stop just short of the end of a long body held more memory than the
// VM has.
// Approach: one account of what all connections hold. When it is spent, requests that have stopped arriving are ended first, then those that hold most, so that
// short requests of ordinary clients are always read.
// Refusing whatever arrives next would let clients that never finish keep all others out.

#include "kernel/ingressbudget.h"

namespace knapweedslip
{
namespace
{
/** Requests that hold no more than this are short: the longest header and a few KB of body. */
constexpr std::size_t ShortRequestBytes = 64 * 1024;
/** One of these parts of the limit is left to short requests. */
constexpr std::size_t LongRequestParts = 4;
}

void IngressBudget::setLimits(const IngressBudgetLimits &limits)
{
    m_limits = limits;
}

ConnectionId IngressBudget::open(std::int64_t nowMs)
{
    const ConnectionId id = m_next++;
    Connection &connection = m_connections[id];
    connection.m_sinceMs = nowMs;
    connection.m_receivedMs = nowMs;
    ++m_open;
    return id;
}

void IngressBudget::close(ConnectionId connection)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end()) {
        return;
    }
    if (!found->second.m_ended) {
        m_bytes -= found->second.m_bytes;
        --m_open;
    }
    m_connections.erase(found);
}

bool IngressBudget::setPhase(ConnectionId connection, ConnectionPhase phase, std::int64_t nowMs)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end() || found->second.m_ended) {
        return false;
    }
    if (phase != ConnectionPhase::Reading) {
        found->second.m_sinceMs = nowMs;
    }
    found->second.m_phase = phase;
    return true;
}

void IngressBudget::hold(ConnectionId connection, std::size_t bytes, std::int64_t nowMs)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end()) {
        return;
    }
    if (!found->second.m_ended) {
        m_bytes = m_bytes - found->second.m_bytes + bytes;
    }
    found->second.m_bytes = bytes;
    found->second.m_receivedMs = nowMs;
}

IngressBudget::ConnectionMap::iterator IngressBudget::largestHolder(std::int64_t nowMs)
{
    auto best = m_connections.end();
    const auto hasStopped = [nowMs](const Connection &connection) {
        return connection.m_phase == ConnectionPhase::Idle || nowMs - connection.m_receivedMs >= StoppedMs;
    };
    for (auto it = m_connections.begin(); it != m_connections.end(); ++it) {
        const Connection &connection = it->second;
        if (connection.m_ended || connection.m_phase == ConnectionPhase::Serving || connection.m_bytes == 0) {
            continue;
        }
        const bool isBetter = best == m_connections.end() || hasStopped(connection) != hasStopped(best->second)
                                  ? best == m_connections.end() || hasStopped(connection)
                                  : (hasStopped(connection) ? connection.m_receivedMs < best->second.m_receivedMs : connection.m_bytes > best->second.m_bytes);
        if (isBetter) {
            best = it;
        }
    }
    return best;
}

IngressBudget::ConnectionMap::iterator IngressBudget::longestWithoutRequest()
{
    auto best = m_connections.end();
    for (auto it = m_connections.begin(); it != m_connections.end(); ++it) {
        const bool mayEnd = !it->second.m_ended && it->second.m_phase != ConnectionPhase::Serving;
        if (mayEnd && (best == m_connections.end() || it->second.m_sinceMs < best->second.m_sinceMs)) {
            best = it;
        }
    }
    return best;
}

void IngressBudget::end(ConnectionMap::iterator connection, std::vector<ConnectionId> &ended)
{
    connection->second.m_ended = true;
    m_bytes -= connection->second.m_bytes;
    --m_open;
    ended.push_back(connection->first);
}

std::vector<ConnectionId> IngressBudget::chooseEnded(ConnectionId cause, std::int64_t nowMs)
{
    std::vector<ConnectionId> ended;
    while (m_limits.m_maxConnections > 0 && m_open > m_limits.m_maxConnections) {
        const auto chosen = longestWithoutRequest();
        if (chosen == m_connections.end()) {
            break;
        }
        end(chosen, ended);
    }
    // Short requests may use what long ones leave, so that long requests that are being served do not keep them out.
    const auto causing = m_connections.find(cause);
    const bool isShort = causing != m_connections.end() && causing->second.m_bytes <= ShortRequestBytes;
    const std::size_t maxBytes = isShort ? m_limits.m_maxBytes : m_limits.m_maxBytes / LongRequestParts * (LongRequestParts - 1);
    while (m_limits.m_maxBytes > 0 && m_bytes > maxBytes) {
        auto chosen = largestHolder(nowMs);
        if (chosen == m_connections.end()) {
            // All that is held belongs to requests that are being served.
            chosen = m_connections.find(cause);
        }
        if (chosen == m_connections.end() || chosen->second.m_ended || chosen->second.m_phase == ConnectionPhase::Serving) {
            break;
        }
        end(chosen, ended);
    }
    return ended;
}

std::size_t IngressBudget::bytes() const
{
    return m_bytes;
}

std::size_t IngressBudget::connections() const
{
    return m_open;
}
}
