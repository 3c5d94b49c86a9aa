#pragma once

#include "kernel/intents.h"
#include "net/node.h"
#include "net/oneshot.h"

#include <array>
#include <deque>
#include <memory>
#include <string>

namespace knapweedslip
{
/**
 * The intent ledger as one gateway uses it: collects the operations that wait for a shard and writes them together. Works on the control
 * thread; apply() may be called from any thread.
 */
class IntentLedger
{
public:
    /** @param writesPerSecond this gateway's part of the writes that the store takes. */
    IntentLedger(Node &node, std::string owner, double writesPerSecond);

    /**
     * Carries out @p op and returns what it came to. Fails with StoreUnavailable when the store did not answer within @p timeoutMs; a
     * claim is then withdrawn in the background, so "not run" stays true.
     */
    awaitable<Result<IntentResult>> apply(IntentOp op, std::int64_t timeoutMs);
    /** Carries out @p op in the background until the store takes it. */
    void applyLater(IntentOp op);

    const std::string &owner() const;
    /** Operations that wait for the store. */
    std::size_t pending() const;
    std::uint64_t writes() const;
    std::uint64_t operations() const;

private:
    struct Pending
    {
        IntentOp m_op;
        std::shared_ptr<OneShot<IntentResult>> m_waiter;
        std::int64_t m_giveUpMs = 0;
    };
    using Batch = std::vector<Pending>;

    void enqueue(Pending pending);
    awaitable<void> runShard(std::size_t shard);
    /** Waits for this gateway's next turn to write; what arrives meanwhile goes into the same write. */
    awaitable<void> waitForTurn();
    awaitable<bool> commit(std::size_t shard, Batch &batch);
    static std::vector<IntentOp> opsOf(const Batch &batch);
    void withdraw(Batch &batch, std::int64_t nowMs);

    Node &m_node;
    std::string m_owner;
    double m_msPerWrite;
    double m_nextTurnMs = 0.0;
    std::array<Batch, IntentShards> m_pending;
    std::array<bool, IntentShards> m_busy{};
    std::atomic<std::size_t> m_pendingCount{0};
    std::atomic<std::uint64_t> m_writes{0};
    std::atomic<std::uint64_t> m_operations{0};
};
}
