// Problem: what is held for clients that read slowly must be bounded in sum, but a slow client must not cost another one its stream.
// Approach: the age of the oldest bytes that are held for a client tells how far it is behind. When the total is spent, the client that is furthest behind is
// cut, of those that hold at least the mean. The time since a client last took anything would spare clients that take a few bytes now and then and hold all
// they can. The number of bytes alone would cut clients of fast streams first.

#include "kernel/clientbacklog.h"

#include <algorithm>

namespace knapweedslip
{
void ClientBacklog::setLimits(const ClientBacklogLimits &limits)
{
    m_limits = limits;
}

BacklogId ClientBacklog::open(bool isComplete)
{
    const BacklogId id = m_next++;
    m_clients[id].m_isComplete = isComplete;
    return id;
}

void ClientBacklog::close(BacklogId client)
{
    const auto found = m_clients.find(client);
    if (found == m_clients.end()) {
        return;
    }
    m_bytes -= found->second.m_bytes;
    m_clients.erase(found);
}

void ClientBacklog::hold(BacklogId client, std::size_t bytes, std::int64_t nowMs)
{
    const auto found = m_clients.find(client);
    if (found == m_clients.end() || bytes == 0) {
        return;
    }
    std::deque<Piece> &pieces = found->second.m_pieces;
    if (pieces.empty() || nowMs - pieces.back().m_addedMs >= AgeStepMs) {
        pieces.push_back({nowMs, 0});
    }
    pieces.back().m_bytes += bytes;
    found->second.m_bytes += bytes;
    m_bytes += bytes;
}

void ClientBacklog::release(BacklogId client, std::size_t bytes)
{
    const auto found = m_clients.find(client);
    if (found == m_clients.end()) {
        return;
    }
    std::deque<Piece> &pieces = found->second.m_pieces;
    while (bytes > 0 && !pieces.empty()) {
        const std::size_t taken = std::min(bytes, pieces.front().m_bytes);
        pieces.front().m_bytes -= taken;
        found->second.m_bytes -= taken;
        m_bytes -= taken;
        bytes -= taken;
        if (pieces.front().m_bytes == 0) {
            pieces.pop_front();
        }
    }
}

std::optional<BacklogId> ClientBacklog::slowest() const
{
    std::size_t holders = 0;
    for (const std::pair<const BacklogId, Client> &client : m_clients) {
        holders += client.second.m_bytes > 0 ? 1 : 0;
    }
    auto best = m_clients.end();
    for (auto it = m_clients.begin(); it != m_clients.end(); ++it) {
        const Client &client = it->second;
        if (client.m_bytes == 0 || client.m_bytes * holders < m_bytes) {
            continue;
        }
        if (best == m_clients.end() || client.m_pieces.front().m_addedMs < best->second.m_pieces.front().m_addedMs) {
            best = it;
        }
    }
    return best == m_clients.end() ? std::nullopt : std::optional<BacklogId>(best->first);
}

std::optional<ClientBacklog::Cut> ClientBacklog::chooseCut(BacklogId cause)
{
    std::optional<Cut> cut;
    const auto found = m_clients.find(cause);
    const bool isBounded = m_limits.m_maxClientBytes > 0 && found != m_clients.end() && !found->second.m_isComplete;
    if (isBounded && found->second.m_bytes > m_limits.m_maxClientBytes) {
        cut = Cut{cause, BacklogCut::ClientFull};
    } else if (m_limits.m_maxTotalBytes > 0 && m_bytes > m_limits.m_maxTotalBytes) {
        const std::optional<BacklogId> chosen = slowest();
        cut = chosen ? std::optional<Cut>(Cut{*chosen, BacklogCut::TotalSpent}) : std::nullopt;
    }
    if (cut) {
        close(cut->m_client);
    }
    return cut;
}

std::size_t ClientBacklog::bytes() const
{
    return m_bytes;
}
}
