// Problem: a claim must be in the store before its request is sent, with few writes, and in spite of lost replies and outages of the store.
// Approach: writes are limited to this gateway's share of the store's rate. One writer for each shard takes all waiting operations, reads the
// shard, applies them and writes by compare-and-swap. It starts again after a conflict or a write whose outcome is unknown. A claim that no request
// waits for any longer is released, so that it cannot block its key.
// Dropping a claim after a write with an unknown outcome would leave a key that looks as if its request ran.

#include "daemons/intentledger.h"

#include "net/logging.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
constexpr std::int64_t RetryPauseMs = 50;
constexpr std::int64_t UnlimitedMs = 365LL * 24 * 60 * 60 * 1'000;
constexpr int MaxAttemptsPerCommit = 8;
constexpr std::size_t MaxPending = 50'000;
constexpr double MsPerSecond = 1'000.0;
/** Number of unused writes that can be saved up while few are needed. */
constexpr double BurstWrites = 10.0;
}

IntentLedger::IntentLedger(Node &node, std::string owner, double writesPerSecond)
    : m_node(node)
    , m_owner(std::move(owner))
    , m_msPerWrite(MsPerSecond / writesPerSecond)
{
}

const std::string &IntentLedger::owner() const
{
    return m_owner;
}

std::size_t IntentLedger::pending() const
{
    return m_pendingCount;
}

std::uint64_t IntentLedger::writes() const
{
    return m_writes;
}

std::uint64_t IntentLedger::operations() const
{
    return m_operations;
}

awaitable<Result<IntentResult>> IntentLedger::apply(IntentOp op, std::int64_t timeoutMs)
{
    if (m_pendingCount > MaxPending) {
        co_return Error{ErrorCode::StoreUnavailable, "too many operations wait for the store"};
    }
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const std::shared_ptr<OneShot<IntentResult>> waiter = std::make_shared<OneShot<IntentResult>>(executor);
    const std::int64_t deadlineMs = steadyMs() + timeoutMs;
    op.m_owner = m_owner;
    asio::post(m_node.context(), [this, pending = PendingOp{std::move(op), waiter, deadlineMs}]() {
        enqueue(pending);
    });
    // The writer always sets a result, which is a timeout after deadlineMs. Only the writer decides about the claim.
    const std::optional<IntentResult> result = co_await waiter->wait(UnlimitedMs);
    if (!result || result->m_outcome == IntentOutcome::TimedOut) {
        co_return Error{ErrorCode::StoreUnavailable, "the claim could not be recorded"};
    }
    co_return *result;
}

void IntentLedger::applyInBackground(IntentOp op)
{
    op.m_owner = m_owner;
    asio::post(m_node.context(), [this, pending = PendingOp{std::move(op), nullptr, steadyMs() + UnlimitedMs}]() {
        enqueue(pending);
    });
}

void IntentLedger::enqueue(PendingOp pending)
{
    const std::size_t shard = intentShardIndex(pending.m_op.m_key);
    m_pending[shard].push_back(std::move(pending));
    ++m_pendingCount;
    ++m_operations;
    if (!m_writerRunning[shard]) {
        m_writerRunning[shard] = true;
        asio::co_spawn(m_node.context(), runShard(shard), asio::detached);
    }
}

std::vector<IntentOp> IntentLedger::collectOps(const Batch &batch)
{
    std::vector<IntentOp> ops;
    for (const PendingOp &pending : batch) {
        ops.push_back(pending.m_op);
    }
    return ops;
}

void IntentLedger::expireWaiters(Batch &batch, std::int64_t nowMs)
{
    IntentResult timedOut;
    timedOut.m_outcome = IntentOutcome::TimedOut;
    for (PendingOp &pending : batch) {
        if (pending.m_waiter == nullptr || nowMs < pending.m_deadlineMs) {
            continue;
        }
        pending.m_waiter->set(timedOut);
        pending.m_waiter.reset();
        if (pending.m_op.m_kind == IntentOpKind::Begin) {
            pending.m_op.m_kind = IntentOpKind::Release;
        }
    }
}

awaitable<void> IntentLedger::waitForWriteSlot()
{
    const double nowMs = static_cast<double>(steadyMs());
    m_nextWriteMs = std::max(m_nextWriteMs, nowMs - BurstWrites * m_msPerWrite) + m_msPerWrite;
    const std::int64_t waitMs = static_cast<std::int64_t>(m_nextWriteMs - nowMs);
    if (waitMs > 0) {
        co_await sleepFor(waitMs);
    }
}

awaitable<void> IntentLedger::runShard(std::size_t shard)
{
    Batch batch;
    while (true) {
        co_await waitForWriteSlot();
        batch.insert(batch.end(), m_pending[shard].begin(), m_pending[shard].end());
        m_pending[shard].clear();
        expireWaiters(batch, steadyMs());
        if (batch.empty()) {
            break;
        }
        const std::size_t batchSize = batch.size();
        if (co_await commit(shard, batch)) {
            m_pendingCount -= batchSize;
            batch.clear();
        } else {
            co_await sleepFor(RetryPauseMs);
        }
    }
    m_writerRunning[shard] = false;
}

awaitable<bool> IntentLedger::commit(std::size_t shard, Batch &batch)
{
    const std::string key = intentShardKey(shard);
    for (int tries = 0; tries < MaxAttemptsPerCommit; ++tries) {
        const Result<StoreValue> stored = co_await storeRead(m_node.store(), key);
        if (failed(stored)) {
            co_return false;
        }
        wire::IntentShardT current;
        if (!decodeIntentShard(valueOf(stored).m_value, current)) {
            logEvent(LogEvent::PlanUnreadable, {{"key", key}});
            co_return false;
        }
        expireWaiters(batch, steadyMs());
        IntentBatch next = applyIntents(current, collectOps(batch), static_cast<std::uint64_t>(unixSeconds()));
        if (next.m_changed) {
            ++m_writes;
            const Result<CasOutcome> written = co_await storeWrite(m_node.store(), key, encodeIntentShard(next.m_updatedShard), valueOf(stored).m_modifyIndex);
            if (failed(written)) {
                logEvent(LogEvent::IntentUnclear, {{"key", key}, {"error", describe(errorOf(written))}});
                co_return false;
            }
            if (valueOf(written) == CasOutcome::Conflict) {
                continue;
            }
        }
        for (std::size_t i = 0; i < batch.size(); ++i) {
            if (batch[i].m_waiter != nullptr) {
                batch[i].m_waiter->set(next.m_results[i]);
            }
        }
        co_return true;
    }
    co_return false;
}
}
