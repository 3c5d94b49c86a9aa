#pragma once

#include "kernel/enumnames.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace knapweedslip
{
/** Limits on the bytes that are held for clients until their connections take them. 0 is no limit. */
struct ClientBacklogLimits
{
    /** For one client's stream. */
    std::size_t m_maxClientBytes = 0;
    /** For all clients together. */
    std::size_t m_maxTotalBytes = 0;
};

/** Why a client is cut. */
enum class BacklogCut {
    /** More was held for it than one client may have. */
    ClientFull,
    /** More was held for all clients than they may have together, and it was the slowest. */
    TotalSpent,
};

inline constexpr EnumNames<2> BacklogCutNames{"client-full", "total-spent"};

/** Number of a client in a ClientBacklog. */
using BacklogId = std::uint64_t;

/**
 * Accounts for the bytes that are held for clients that read slowly, and decides which client is cut when a limit is exceeded. Uses no sockets and no clock.
 * Memory: one entry for each open client, and one for each AgeStepMs in which bytes were added that it has not taken. A decision takes one pass over the
 * clients.
 */
class ClientBacklog
{
public:
    /** Bytes that are added within this time of each other count as equally old, in ms. */
    static constexpr std::int64_t AgeStepMs = 100;

    struct Cut
    {
        BacklogId m_client = 0;
        BacklogCut m_reason = BacklogCut::ClientFull;
    };

    void setLimits(const ClientBacklogLimits &limits);

    /** Adds a client. A client whose complete answer is held (@p isComplete) is not subject to the limit for one client: the answer's own limit applies. */
    BacklogId open(bool isComplete);
    /** Removes @p client and what it holds. Does nothing if it was removed. */
    void close(BacklogId client);
    /** Records that @p bytes more are held for @p client. */
    void hold(BacklogId client, std::size_t bytes, std::int64_t nowMs);
    /** Records that the connection of @p client took the oldest @p bytes that were held. */
    void release(BacklogId client, std::size_t bytes);

    /**
     * Returns the client to cut after bytes were held for @p cause, and removes it; nothing if the limits hold. Must be called until it returns nothing. If the
     * total is exceeded, it is the client whose oldest bytes have waited for longest, of those for which at least the mean is held: a client that is a little
     * behind is not cut for others, as that would free next to nothing.
     */
    std::optional<Cut> chooseCut(BacklogId cause);

    /** Returns the bytes that are held for all clients. */
    std::size_t bytes() const;

private:
    struct Piece
    {
        std::int64_t m_addedMs = 0;
        std::size_t m_bytes = 0;
    };

    struct Client
    {
        bool m_isComplete = false;
        std::size_t m_bytes = 0;
        /** What is held, the oldest first. */
        std::deque<Piece> m_pieces;
    };

    std::optional<BacklogId> slowest() const;

    ClientBacklogLimits m_limits;
    std::map<BacklogId, Client> m_clients;
    std::size_t m_bytes = 0;
    BacklogId m_next = 1;
};
}
