// Pattern: callers resend paid calls through any gateway, gateways crash, and the store is slow, unreachable, loses answers and applies
// writes late.

#include "kernel/intents.h"
#include "standins/kvstore.h"
#include "tools/historycheck.h"
#include "tools/virtualtime.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <functional>
#include <memory>
#include <random>
#include <set>

using namespace knapweedslip;

namespace
{
constexpr std::int64_t SimulatedMs = 20'000;
constexpr std::int64_t GiveUpMs = 1'500;
constexpr std::uint64_t Keys = 6;

/** Where claims are recorded. Only InStore is correct; the others show that the test detects what is missing in them. */
enum class LedgerKind {
    InStore,
    /** Each gateway keeps its claims in memory. */
    InGatewayMemory,
    /** Like InStore, but a write whose outcome is unknown counts as not done, and the claim is not released. */
    IgnoresUnclearWrites,
};

/** Simulates gateways that claim, run and record paid calls, with faults of the gateways and of the store. */
struct PaidCallSimulation
{
    VirtualTime m_time;
    std::mt19937_64 m_random;
    LedgerKind m_ledger;
    standin::KvStore m_store;
    bool m_storeDown = false;
    struct Gateway
    {
        std::uint64_t m_incarnation = 1;
        std::set<std::string> m_knownKeys;
    };
    std::vector<Gateway> m_gateways;
    HistoryEvents m_history;
    std::uint64_t m_nextNonce = 0;
    std::uint64_t m_attempts = 0;

    PaidCallSimulation(std::uint64_t seed, LedgerKind ledger)
        : m_random(seed)
        , m_ledger(ledger)
        , m_gateways(4)
    {
        for (std::uint64_t key = 0; key < Keys; ++key) {
            for (int attempt = 0; attempt < 5; ++attempt) {
                m_time.after(static_cast<std::int64_t>(m_random() % 8'000), [this, key]() {
                    startAttempt("k" + std::to_string(key), 3);
                });
            }
        }
        for (std::int64_t at = 0; at < SimulatedMs; at += 400) {
            m_time.after(at, [this]() {
                injectFault();
            });
        }
    }

    void addEvent(HistoryKind kind, const std::string &subject, const std::string &place, const std::string &key = {})
    {
        m_history.push_back(HistoryEvent{m_time.nowMs(), kind, subject, place, key, 0, false});
    }

    void injectFault()
    {
        if (m_random() % 3 == 0) {
            m_storeDown = !m_storeDown;
        }
        if (m_random() % 4 == 0) {
            // The gateway crashes, and its successor starts with empty memory.
            Gateway &gateway = m_gateways[m_random() % m_gateways.size()];
            ++gateway.m_incarnation;
            gateway.m_knownKeys.clear();
        }
    }

    struct Attempt
    {
        std::size_t m_gateway = 0;
        std::uint64_t m_incarnation = 0;
        std::string m_name;
        std::string m_key;
        IntentOp m_claim;
        std::int64_t m_giveUpMs = 0;
        int m_resends = 0;
    };

    bool isAlive(const Attempt &attempt) const
    {
        return m_gateways[attempt.m_gateway].m_incarnation == attempt.m_incarnation;
    }

    void startAttempt(const std::string &key, int resends)
    {
        Attempt attempt;
        attempt.m_gateway = m_random() % m_gateways.size();
        attempt.m_incarnation = m_gateways[attempt.m_gateway].m_incarnation;
        attempt.m_key = key;
        attempt.m_name = key + "#" + std::to_string(++m_attempts);
        attempt.m_resends = resends;
        attempt.m_giveUpMs = m_time.nowMs() + GiveUpMs;
        attempt.m_claim.m_key = intentKey("w", key);
        attempt.m_claim.m_nonce = ++m_nextNonce;
        attempt.m_claim.m_owner = std::to_string(attempt.m_gateway) + "/" + std::to_string(attempt.m_incarnation);
        addEvent(HistoryKind::Invoke, attempt.m_name, key);
        if (m_ledger == LedgerKind::InGatewayMemory) {
            if (m_gateways[attempt.m_gateway].m_knownKeys.insert(key).second) {
                dispatch(attempt);
            }
            return;
        }
        commit(attempt, attempt.m_claim, [this, attempt](const IntentResult *result) {
            onClaimResult(attempt, result);
        });
    }

    /** Applies @p op as a gateway does: read, apply, compare-and-swap. Calls @p done with the result, or with null after the timeout. */
    void commit(const Attempt &attempt, const IntentOp &op, const std::function<void(const IntentResult *)> &done)
    {
        if (!isAlive(attempt)) {
            return;
        }
        const bool timedOut = op.m_kind == IntentOpKind::Begin && m_time.nowMs() > attempt.m_giveUpMs;
        if (timedOut) {
            done(nullptr);
            return;
        }
        const auto retry = [this, attempt, op, done]() {
            m_time.after(50 + static_cast<std::int64_t>(m_random() % 100), [this, attempt, op, done]() {
                commit(attempt, op, done);
            });
        };
        if (m_storeDown) {
            retry();
            return;
        }
        const std::string key = intentShardKey(intentShardIndex(op.m_key));
        const std::string stored = m_store.m_entries[key].m_value;
        const std::uint64_t index = m_store.m_entries[key].m_modifyIndex;
        wire::IntentShardT shard;
        decodeIntentShard(stored, shard);
        const IntentBatch batch = applyIntents(shard, {op}, 1'000);
        const IntentResult result = batch.m_results.front();
        if (!batch.m_changed) {
            done(&result);
            return;
        }
        const std::string value = encodeIntentShard(batch.m_updatedShard);
        m_time.after(static_cast<std::int64_t>(m_random() % 30), [this, attempt, key, value, index, result, retry, done]() {
            write(attempt, key, value, index, result, retry, done);
        });
    }

    void write(const Attempt &attempt,
               const std::string &key,
               const std::string &value,
               std::uint64_t index,
               const IntentResult &result,
               const std::function<void()> &retry,
               const std::function<void(const IntentResult *)> &done)
    {
        if (!isAlive(attempt)) {
            return;
        }
        switch (m_random() % 8) {
        case 0:
            // The write is lost.
            onUnclearWrite(retry, done);
            return;
        case 1:
            // The write takes effect, and its answer is lost.
            standin::kvPut(m_store, key, value, index);
            onUnclearWrite(retry, done);
            return;
        case 2:
            // The write takes effect much later, unless the shard has been written by then.
            m_time.after(500 + static_cast<std::int64_t>(m_random() % 3'000), [this, key, value, index]() {
                standin::kvPut(m_store, key, value, index);
            });
            onUnclearWrite(retry, done);
            return;
        default:
            if (standin::kvPut(m_store, key, value, index)) {
                done(&result);
            } else {
                retry();
            }
            return;
        }
    }

    void onUnclearWrite(const std::function<void()> &retry, const std::function<void(const IntentResult *)> &done)
    {
        if (m_ledger == LedgerKind::IgnoresUnclearWrites) {
            done(nullptr);
            return;
        }
        retry();
    }

    void onClaimResult(const Attempt &attempt, const IntentResult *result)
    {
        if (result == nullptr) {
            addEvent(HistoryKind::Answer, attempt.m_name, "not-run");
            if (m_ledger == LedgerKind::InStore) {
                recordOutcome(attempt, IntentOpKind::Release);
            } else {
                // Dispatches the request although it is unknown whether the claim was written.
                dispatch(attempt);
                return;
            }
            resend(attempt);
            return;
        }
        switch (result->m_outcome) {
        case IntentOutcome::Started:
            m_time.after(static_cast<std::int64_t>(m_random() % 200), [this, attempt]() {
                if (isAlive(attempt)) {
                    dispatch(attempt);
                }
            });
            break;
        case IntentOutcome::Finished:
            addEvent(HistoryKind::Answer, attempt.m_name, "ran");
            break;
        default:
            addEvent(HistoryKind::Answer, attempt.m_name, "unknown");
            resend(attempt);
            break;
        }
    }

    void dispatch(const Attempt &attempt)
    {
        switch (m_random() % 4) {
        case 0:
            // The upstream refuses the request before running it.
            addEvent(HistoryKind::Answer, attempt.m_name, "not-run");
            recordOutcome(attempt, IntentOpKind::Release);
            resend(attempt);
            break;
        case 1:
            // The request runs, and its answer is lost.
            addEvent(HistoryKind::Run, attempt.m_name, "vm", attempt.m_key);
            addEvent(HistoryKind::Answer, attempt.m_name, "unknown");
            resend(attempt);
            break;
        default:
            addEvent(HistoryKind::Run, attempt.m_name, "vm", attempt.m_key);
            addEvent(HistoryKind::Answer, attempt.m_name, "ran");
            recordOutcome(attempt, IntentOpKind::Finish);
            break;
        }
    }

    void recordOutcome(const Attempt &attempt, IntentOpKind kind)
    {
        if (m_ledger == LedgerKind::InGatewayMemory) {
            return;
        }
        IntentOp op = attempt.m_claim;
        op.m_kind = kind;
        commit(attempt, op, [](const IntentResult *) {});
    }

    void resend(const Attempt &attempt)
    {
        if (attempt.m_resends > 0) {
            m_time.after(static_cast<std::int64_t>(m_random() % 1'000), [this, attempt]() {
                startAttempt(attempt.m_key, attempt.m_resends - 1);
            });
        }
    }
};

Violations simulatePaidCalls(std::uint64_t seed, LedgerKind ledger, std::size_t *runs = nullptr)
{
    PaidCallSimulation simulation(seed, ledger);
    simulation.m_time.run(SimulatedMs);
    Violations violations = checkAtMostOnce(simulation.m_history);
    const Violations notRun = checkNotRun(simulation.m_history);
    violations.insert(violations.end(), notRun.begin(), notRun.end());
    if (runs != nullptr) {
        for (const HistoryEvent &event : simulation.m_history) {
            *runs += event.m_kind == HistoryKind::Run ? 1 : 0;
        }
    }
    return violations;
}
}

TEST_CASE("a paid call runs at most once, and a call reported as not run has not run", "[promise][paid]")
{
    rc::prop("gateways crash, the store is unreachable, loses answers and applies writes late", []() {
        const std::uint64_t seed = *rc::gen::arbitrary<std::uint64_t>();
        const Violations violations = simulatePaidCalls(seed, LedgerKind::InStore);
        for (const std::string &violation : violations) {
            RC_LOG() << violation << "\n";
        }
        RC_ASSERT(violations.empty());
    });
}

TEST_CASE("paid calls run despite the faults", "[promise][paid]")
{
    std::size_t runs = 0;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        simulatePaidCalls(seed, LedgerKind::InStore, &runs);
    }
    CHECK(runs > 50 * Keys / 2);
}

TEST_CASE("the guarantee for paid calls fails if claims are not stored or writes of unknown outcome are ignored", "[promise][paid]")
{
    for (const LedgerKind ledger : {LedgerKind::InGatewayMemory, LedgerKind::IgnoresUnclearWrites}) {
        std::size_t broken = 0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            broken += simulatePaidCalls(seed, ledger).empty() ? 0 : 1;
        }
        CHECK(broken > 0);
    }
}
