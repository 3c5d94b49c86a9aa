// Pattern: attempts with the same idempotency key claim, finish and release it in any order.

#include "kernel/intents.h"

#include <catch2/catch.hpp>

using namespace knapweedslip;

namespace
{
IntentOp makeOp(IntentOpKind kind, std::uint64_t nonce, std::uint64_t fingerprint = 7, const std::string &key = "k")
{
    IntentOp result;
    result.m_kind = kind;
    result.m_key = intentKey("w", key);
    result.m_nonce = nonce;
    result.m_fingerprint = fingerprint;
    result.m_owner = "g" + std::to_string(nonce);
    result.m_status = 201;
    result.m_body = "done";
    return result;
}
}

TEST_CASE("the outcome of an operation depends on the operations before it", "[intents]")
{
    struct Row
    {
        const char *m_name;
        std::vector<IntentOp> m_ops;
        IntentOutcome m_last;
    };
    const IntentOpKind begin = IntentOpKind::Begin;
    const IntentOpKind finish = IntentOpKind::Finish;
    const IntentOpKind release = IntentOpKind::Release;
    const std::vector<Row> rows{
        {"first", {makeOp(begin, 1)}, IntentOutcome::Started},
        {"the same attempt again", {makeOp(begin, 1), makeOp(begin, 1)}, IntentOutcome::Started},
        {"another attempt", {makeOp(begin, 1), makeOp(begin, 2)}, IntentOutcome::Running},
        {"after the end", {makeOp(begin, 1), makeOp(finish, 1), makeOp(begin, 2)}, IntentOutcome::Finished},
        {"the same attempt after the end", {makeOp(begin, 1), makeOp(finish, 1), makeOp(begin, 1)}, IntentOutcome::Finished},
        {"after a release", {makeOp(begin, 1), makeOp(release, 1), makeOp(begin, 2)}, IntentOutcome::Started},
        {"a released attempt stays released", {makeOp(begin, 1), makeOp(release, 1), makeOp(begin, 1)}, IntentOutcome::Running},
        {"release before a lost claim", {makeOp(release, 1), makeOp(begin, 1)}, IntentOutcome::Running},
        {"another's release does nothing", {makeOp(begin, 1), makeOp(release, 2), makeOp(begin, 3)}, IntentOutcome::Running},
        {"a release after the end does nothing", {makeOp(begin, 1), makeOp(finish, 1), makeOp(release, 1), makeOp(begin, 2)}, IntentOutcome::Finished},
        {"another request under the key", {makeOp(begin, 1), makeOp(begin, 2, 8)}, IntentOutcome::KeyReused},
    };
    for (const Row &row : rows) {
        INFO(row.m_name);
        const IntentBatch batchResult = applyIntents({}, row.m_ops, 100);
        CHECK(batchResult.m_results.back().m_outcome == row.m_last);
        // Applies the same operations one at a time, and encodes and decodes the shard in between.
        std::string stored;
        IntentOutcome last = IntentOutcome::Full;
        for (const IntentOp &single : row.m_ops) {
            wire::IntentShardT shard;
            REQUIRE(decodeIntentShard(stored, shard));
            const IntentBatch batch = applyIntents(shard, {single}, 100);
            last = batch.m_results.back().m_outcome;
            stored = encodeIntentShard(batch.m_updatedShard);
        }
        CHECK(last == row.m_last);
    }
}

TEST_CASE("a stored response is returned to duplicates, and a long one is not stored", "[intents]")
{
    IntentOp end = makeOp(IntentOpKind::Finish, 1);
    IntentBatch batch = applyIntents({}, {makeOp(IntentOpKind::Begin, 1), end, makeOp(IntentOpKind::Begin, 2)}, 100);
    CHECK(batch.m_results.back().m_body == "done");
    CHECK(batch.m_results.back().m_status == 201);
    CHECK(batch.m_results.back().m_bodyKept);
    end.m_body = std::string(MaxKeptBodyBytes + 1, 'x');
    batch = applyIntents({}, {makeOp(IntentOpKind::Begin, 1), end, makeOp(IntentOpKind::Begin, 2)}, 100);
    CHECK(batch.m_results.back().m_outcome == IntentOutcome::Finished);
    CHECK_FALSE(batch.m_results.back().m_bodyKept);
}

TEST_CASE("a key expires after its lifetime and not before", "[intents]")
{
    const IntentBatch first = applyIntents({}, {makeOp(IntentOpKind::Begin, 1)}, 100);
    CHECK(applyIntents(first.m_updatedShard, {makeOp(IntentOpKind::Begin, 2)}, 100 + IntentLifetimeS).m_results[0].m_outcome == IntentOutcome::Running);
    CHECK(applyIntents(first.m_updatedShard, {makeOp(IntentOpKind::Begin, 2)}, 101 + IntentLifetimeS).m_results[0].m_outcome == IntentOutcome::Started);
}

TEST_CASE("a full shard refuses new keys and still has room for the responses of claimed ones", "[intents]")
{
    wire::IntentShardT shard;
    std::uint64_t nonce = 0;
    IntentOutcome outcome = IntentOutcome::Started;
    while (outcome == IntentOutcome::Started) {
        ++nonce;
        IntentOp end = makeOp(IntentOpKind::Finish, nonce, 7, std::to_string(nonce));
        end.m_body = std::string(MaxKeptBodyBytes, 'x');
        IntentBatch batch = applyIntents(shard, {makeOp(IntentOpKind::Begin, nonce, 7, std::to_string(nonce)), end}, 100);
        outcome = batch.m_results[0].m_outcome;
        shard = std::move(batch.m_updatedShard);
    }
    CHECK(outcome == IntentOutcome::Full);
    CHECK(encodeIntentShard(shard).size() <= MaxIntentShardBytes);
    CHECK(nonce > 100);
}

TEST_CASE("decoding rejects bytes that are not a valid shard", "[intents]")
{
    wire::IntentShardT shard;
    CHECK(decodeIntentShard("", shard));
    CHECK_FALSE(decodeIntentShard("abc", shard));
    std::string good = encodeIntentShard(applyIntents({}, {makeOp(IntentOpKind::Begin, 1)}, 100).m_updatedShard);
    CHECK(decodeIntentShard(good, shard));
    good.resize(good.size() / 2);
    CHECK_FALSE(decodeIntentShard(good, shard));
}
