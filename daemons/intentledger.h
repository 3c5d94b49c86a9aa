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
 * A gateway's client of the intent ledger. Collects the operations that wait for the same shard and writes them together on the control
 * thread. apply() and applyInBackground() may be called from any thread.
 */
class IntentLedger
{
public:
    /** @param writesPerSecond this gateway's share of the writes per second that the store can take. */
    IntentLedger(Node &node, std::string owner, double writesPerSecond);

    /**
     * Applies @p op and returns its result. Fails with StoreUnavailable if too many operations wait or the store did not respond within @p timeoutMs. A claim
     * is then released in the background, so that the outcome "not run" stays true.
     */
    awaitable<Result<IntentResult>> apply(IntentOp op, std::int64_t timeoutMs);
    /** Applies @p op in the background and retries until the store has accepted it. */
    void applyInBackground(IntentOp op);

    /** Returns the name that claims of this gateway are recorded under, "name/incarnation". */
    const std::string &owner() const;
    /** Returns the number of operations that wait for the store. */
    std::size_t pending() const;
    std::uint64_t writes() const;
    std::uint64_t operations() const;

private:
    struct PendingOp
    {
        IntentOp m_op;
        std::shared_ptr<OneShot<IntentResult>> m_waiter;
        std::int64_t m_deadlineMs = 0;
    };
    using Batch = std::vector<PendingOp>;

    void enqueue(PendingOp pending);
    awaitable<void> runShard(std::size_t shard);
    /** Waits until this gateway may write again. Operations that arrive in the meantime go into the same write. */
    awaitable<void> waitForWriteSlot();
    /** Writes @p batch and answers its waiters. Returns false if it must be tried again. */
    awaitable<bool> commit(std::size_t shard, Batch &batch);
    static std::vector<IntentOp> collectOps(const Batch &batch);
    /** Answers the waiters whose time is over with a timeout and turns their claims into releases. */
    void expireWaiters(Batch &batch, std::int64_t nowMs);

    Node &m_node;
    std::string m_owner;
    double m_msPerWrite;
    double m_nextWriteMs = 0.0;
    std::array<Batch, IntentShards> m_pending;
    std::array<bool, IntentShards> m_writerRunning{};
    std::atomic<std::size_t> m_pendingCount{0};
    std::atomic<std::uint64_t> m_writes{0};
    std::atomic<std::uint64_t> m_operations{0};
};
}
