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
constexpr std::int64_t RunMs = 20'000;
constexpr std::int64_t GiveUpMs = 1'500;
constexpr std::uint64_t Keys = 6;

/** Where claims are recorded. Only InStore is correct; the others show that the test detects what is missing in them. */
enum class Ledger {
    InStore,
    /** Each gateway keeps its claims in memory. */
    InGateway,
    /** Like InStore, but a write whose outcome is unknown counts as not done, and the claim is not released. */
    ForgetsUnclear,
};

/** Simulates gateways that claim, run and record paid calls, with faults of the gateways and of the store. */
struct PaidWorld
{
    VirtualTime m_time;
    std::mt19937_64 m_random;
    Ledger m_ledger;
    standin::KvStore m_store;
    bool m_storeDown = false;
    struct Gateway
    {
        std::uint64_t m_life = 1;
        std::set<std::string> m_known;
    };
    std::vector<Gateway> m_gateways;
    HistoryEvents m_history;
    std::uint64_t m_nextNonce = 0;
    std::uint64_t m_sends = 0;

    PaidWorld(std::uint64_t seed, Ledger ledger)
        : m_random(seed)
        , m_ledger(ledger)
        , m_gateways(4)
    {
        for (std::uint64_t key = 0; key < Keys; ++key) {
            for (int send = 0; send < 5; ++send) {
                m_time.after(static_cast<std::int64_t>(m_random() % 8'000), [this, key]() {
                    callerSends("k" + std::to_string(key), 3);
                });
            }
        }
        for (std::int64_t at = 0; at < RunMs; at += 400) {
            m_time.after(at, [this]() {
                fault();
            });
        }
    }

    void note(HistoryKind kind, const std::string &subject, const std::string &place, const std::string &key = {})
    {
        m_history.push_back(HistoryEvent{m_time.nowMs(), kind, subject, place, key, 0, false});
    }

    void fault()
    {
        if (m_random() % 3 == 0) {
            m_storeDown = !m_storeDown;
        }
        if (m_random() % 4 == 0) {
            // The gateway crashes, and its successor starts with empty memory.
            Gateway &gateway = m_gateways[m_random() % m_gateways.size()];
            ++gateway.m_life;
            gateway.m_known.clear();
        }
    }

    struct Send
    {
        std::size_t m_gateway = 0;
        std::uint64_t m_life = 0;
        std::string m_name;
        std::string m_key;
        IntentOp m_claim;
        std::int64_t m_giveUpMs = 0;
        int m_resends = 0;
    };

    bool alive(const Send &send) const
    {
        return m_gateways[send.m_gateway].m_life == send.m_life;
    }

    void callerSends(const std::string &key, int resends)
    {
        Send send;
        send.m_gateway = m_random() % m_gateways.size();
        send.m_life = m_gateways[send.m_gateway].m_life;
        send.m_key = key;
        send.m_name = key + "#" + std::to_string(++m_sends);
        send.m_resends = resends;
        send.m_giveUpMs = m_time.nowMs() + GiveUpMs;
        send.m_claim.m_key = intentKey("w", key);
        send.m_claim.m_nonce = ++m_nextNonce;
        send.m_claim.m_owner = std::to_string(send.m_gateway) + "/" + std::to_string(send.m_life);
        note(HistoryKind::Invoke, send.m_name, key);
        if (m_ledger == Ledger::InGateway) {
            if (m_gateways[send.m_gateway].m_known.insert(key).second) {
                dispatch(send);
            }
            return;
        }
        commit(send, send.m_claim, [this, send](const IntentResult *result) {
            claimed(send, result);
        });
    }

    /** Applies @p op as a gateway does: read, apply, compare-and-swap. Calls @p done with the result, or with null after the timeout. */
    void commit(const Send &send, const IntentOp &op, const std::function<void(const IntentResult *)> &done)
    {
        if (!alive(send)) {
            return;
        }
        const bool late = op.m_kind == IntentOpKind::Begin && m_time.nowMs() > send.m_giveUpMs;
        if (late) {
            done(nullptr);
            return;
        }
        const auto again = [this, send, op, done]() {
            m_time.after(50 + static_cast<std::int64_t>(m_random() % 100), [this, send, op, done]() {
                commit(send, op, done);
            });
        };
        if (m_storeDown) {
            again();
            return;
        }
        const std::string key = intentShardKey(intentShardOf(op.m_key));
        const std::string held = m_store.m_entries[key].m_value;
        const std::uint64_t index = m_store.m_entries[key].m_modifyIndex;
        wire::IntentShardT shard;
        decodeIntentShard(held, shard);
        const IntentBatch batch = applyIntents(shard, {op}, 1'000);
        const IntentResult result = batch.m_results.front();
        if (!batch.m_changed) {
            done(&result);
            return;
        }
        const std::string value = encodeIntentShard(batch.m_next);
        m_time.after(static_cast<std::int64_t>(m_random() % 30), [this, send, key, value, index, result, again, done]() {
            write(send, key, value, index, result, again, done);
        });
    }

    void write(const Send &send,
               const std::string &key,
               const std::string &value,
               std::uint64_t index,
               const IntentResult &result,
               const std::function<void()> &again,
               const std::function<void(const IntentResult *)> &done)
    {
        if (!alive(send)) {
            return;
        }
        switch (m_random() % 8) {
        case 0:
            // The write is lost.
            unclear(again, done);
            return;
        case 1:
            // The write takes effect, and its answer is lost.
            standin::kvPut(m_store, key, value, index);
            unclear(again, done);
            return;
        case 2:
            // The write takes effect much later, unless the shard has been written by then.
            m_time.after(500 + static_cast<std::int64_t>(m_random() % 3'000), [this, key, value, index]() {
                standin::kvPut(m_store, key, value, index);
            });
            unclear(again, done);
            return;
        default:
            if (standin::kvPut(m_store, key, value, index)) {
                done(&result);
            } else {
                again();
            }
            return;
        }
    }

    void unclear(const std::function<void()> &again, const std::function<void(const IntentResult *)> &done)
    {
        if (m_ledger == Ledger::ForgetsUnclear) {
            done(nullptr);
            return;
        }
        again();
    }

    void claimed(const Send &send, const IntentResult *result)
    {
        if (result == nullptr) {
            note(HistoryKind::Answer, send.m_name, "not-run");
            if (m_ledger == Ledger::InStore) {
                record(send, IntentOpKind::Release);
            } else {
                // Dispatches the request although it is unknown whether the claim was written.
                dispatch(send);
                return;
            }
            resend(send);
            return;
        }
        switch (result->m_outcome) {
        case IntentOutcome::Started:
            m_time.after(static_cast<std::int64_t>(m_random() % 200), [this, send]() {
                if (alive(send)) {
                    dispatch(send);
                }
            });
            break;
        case IntentOutcome::Finished:
            note(HistoryKind::Answer, send.m_name, "ran");
            break;
        default:
            note(HistoryKind::Answer, send.m_name, "unknown");
            resend(send);
            break;
        }
    }

    void dispatch(const Send &send)
    {
        switch (m_random() % 4) {
        case 0:
            // The upstream refuses the request before running it.
            note(HistoryKind::Answer, send.m_name, "not-run");
            record(send, IntentOpKind::Release);
            resend(send);
            break;
        case 1:
            // The request runs, and its answer is lost.
            note(HistoryKind::Run, send.m_name, "vm", send.m_key);
            note(HistoryKind::Answer, send.m_name, "unknown");
            resend(send);
            break;
        default:
            note(HistoryKind::Run, send.m_name, "vm", send.m_key);
            note(HistoryKind::Answer, send.m_name, "ran");
            record(send, IntentOpKind::Finish);
            break;
        }
    }

    void record(const Send &send, IntentOpKind kind)
    {
        if (m_ledger == Ledger::InGateway) {
            return;
        }
        IntentOp op = send.m_claim;
        op.m_kind = kind;
        commit(send, op, [](const IntentResult *) {});
    }

    void resend(const Send &send)
    {
        if (send.m_resends > 0) {
            m_time.after(static_cast<std::int64_t>(m_random() % 1'000), [this, send]() {
                callerSends(send.m_key, send.m_resends - 1);
            });
        }
    }
};

Violations runPaid(std::uint64_t seed, Ledger ledger, std::size_t *runs = nullptr)
{
    PaidWorld world(seed, ledger);
    world.m_time.run(RunMs);
    Violations violations = checkAtMostOnce(world.m_history);
    const Violations notRun = checkNotRun(world.m_history);
    violations.insert(violations.end(), notRun.begin(), notRun.end());
    if (runs != nullptr) {
        for (const HistoryEvent &event : world.m_history) {
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
        const Violations violations = runPaid(seed, Ledger::InStore);
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
        runPaid(seed, Ledger::InStore, &runs);
    }
    CHECK(runs > 50 * Keys / 2);
}

TEST_CASE("the guarantee for paid calls fails if claims are not stored or writes of unknown outcome are ignored", "[promise][paid]")
{
    for (const Ledger ledger : {Ledger::InGateway, Ledger::ForgetsUnclear}) {
        std::size_t broken = 0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            broken += runPaid(seed, ledger).empty() ? 0 : 1;
        }
        CHECK(broken > 0);
    }
}
