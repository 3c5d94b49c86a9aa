// Problem: a paid call must run at most once, although callers may resend it through any gateway at any time, gateways crash, answers of
// the store get lost, and the store takes only hundreds of writes per second.
// Approach: the idempotency key is claimed in the store before the first byte of the call is sent. Keys are hashed into shards, and each
// shard is one value that is written by compare-and-swap, so a gateway writes all claims that wait for a shard at once. Each claim has a
// nonce, so a batch can be applied again after a write whose outcome is unknown.
// One write per claim and one per result would limit the paid calls to half the store's write rate. Assigning each key to one gateway
// without the store fails when two gateways both believe that they own it.

#include "kernel/intents.h"

#include "kernel/hashing.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
constexpr std::uint64_t LowSeed = 1;
constexpr std::uint64_t HighSeed = 2;
/** Encoded size of one intent in bytes without its owner and body; includes padding and offsets. */
constexpr std::size_t EntryBytes = 96;

std::unique_ptr<wire::IntentT> *findIntent(wire::IntentShardT &shard, const IntentKey &key)
{
    for (std::unique_ptr<wire::IntentT> &intent : shard.intents) {
        if (intent->key == key.m_low && intent->key_high == key.m_high) {
            return &intent;
        }
    }
    return nullptr;
}

std::size_t sizeOf(const wire::IntentT &intent)
{
    return EntryBytes + intent.owner.size() + intent.body.size();
}

std::size_t sizeOf(const wire::IntentShardT &shard)
{
    std::size_t bytes = 0;
    for (const std::unique_ptr<wire::IntentT> &intent : shard.intents) {
        bytes += sizeOf(*intent);
    }
    return bytes;
}

bool removeExpired(wire::IntentShardT &shard, std::uint64_t nowUnixS)
{
    const auto old = std::remove_if(shard.intents.begin(), shard.intents.end(), [nowUnixS](const std::unique_ptr<wire::IntentT> &intent) {
        return intent->started_unix_s + IntentLifetimeS < nowUnixS;
    });
    const bool any = old != shard.intents.end();
    shard.intents.erase(old, shard.intents.end());
    return any;
}

void setStarted(wire::IntentT &intent, const IntentOp &op, std::uint64_t nowUnixS)
{
    intent.key = op.m_key.m_low;
    intent.key_high = op.m_key.m_high;
    intent.fingerprint = op.m_fingerprint;
    intent.nonce = op.m_nonce;
    intent.owner = op.m_owner;
    intent.state = wire::IntentState::Started;
    intent.started_unix_s = nowUnixS;
}

IntentResult makeResult(const wire::IntentT &intent, IntentOutcome outcome)
{
    return IntentResult{outcome, intent.owner, intent.status, intent.body_kept, intent.body};
}

struct OpResult
{
    IntentResult m_result;
    bool m_changed = false;
};

OpResult begin(wire::IntentShardT &shard, const IntentOp &op, std::uint64_t nowUnixS)
{
    std::unique_ptr<wire::IntentT> *found = findIntent(shard, op.m_key);
    if (found == nullptr) {
        if (sizeOf(shard) + EntryBytes + op.m_owner.size() + MaxKeptBodyBytes > MaxIntentShardBytes) {
            return {IntentResult{IntentOutcome::Full, {}, 0, false, {}}, false};
        }
        std::unique_ptr<wire::IntentT> intent = std::make_unique<wire::IntentT>();
        setStarted(*intent, op, nowUnixS);
        shard.intents.push_back(std::move(intent));
        return {makeResult(*shard.intents.back(), IntentOutcome::Started), true};
    }
    wire::IntentT &existing = **found;
    if (existing.fingerprint != op.m_fingerprint) {
        return {makeResult(existing, IntentOutcome::KeyReused), false};
    }
    switch (existing.state) {
    case wire::IntentState::Finished:
        return {makeResult(existing, IntentOutcome::Finished), false};
    case wire::IntentState::Started:
        return {makeResult(existing, existing.nonce == op.m_nonce ? IntentOutcome::Started : IntentOutcome::Running), false};
    case wire::IntentState::NotRun:
        break;
    }
    if (existing.nonce == op.m_nonce) {
        // This attempt was released before; a claim of it that arrives late must not take effect.
        return {makeResult(existing, IntentOutcome::Running), false};
    }
    setStarted(existing, op, nowUnixS);
    return {makeResult(existing, IntentOutcome::Started), true};
}

OpResult finish(wire::IntentShardT &shard, const IntentOp &op)
{
    std::unique_ptr<wire::IntentT> *found = findIntent(shard, op.m_key);
    if (found == nullptr || (*found)->nonce != op.m_nonce || (*found)->state != wire::IntentState::Started) {
        return {IntentResult{IntentOutcome::Recorded, {}, 0, false, {}}, false};
    }
    wire::IntentT &existing = **found;
    existing.state = wire::IntentState::Finished;
    existing.status = op.m_status;
    existing.body_kept = op.m_body.size() <= MaxKeptBodyBytes;
    existing.body = existing.body_kept ? op.m_body : std::string();
    return {makeResult(existing, IntentOutcome::Recorded), true};
}

OpResult release(wire::IntentShardT &shard, const IntentOp &op, std::uint64_t nowUnixS)
{
    std::unique_ptr<wire::IntentT> *found = findIntent(shard, op.m_key);
    if (found == nullptr) {
        // The write of the claim may still be in transit. Writing an entry here raises the modify index of the shard, so that the late
        // write fails its compare-and-swap.
        shard.intents.push_back(std::make_unique<wire::IntentT>());
        found = &shard.intents.back();
        setStarted(**found, op, nowUnixS);
    }
    wire::IntentT &existing = **found;
    if (existing.nonce != op.m_nonce || existing.state != wire::IntentState::Started) {
        return {IntentResult{IntentOutcome::Recorded, {}, 0, false, {}}, false};
    }
    existing.state = wire::IntentState::NotRun;
    return {makeResult(existing, IntentOutcome::Recorded), true};
}
}

IntentKey intentKey(const std::string &workspace, const std::string &idempotencyKey)
{
    const std::string text = std::to_string(workspace.size()) + ":" + workspace + ":" + idempotencyKey;
    return IntentKey{hash64(text, LowSeed), hash64(text, HighSeed)};
}

std::size_t intentShardIndex(const IntentKey &key)
{
    return static_cast<std::size_t>(key.m_high % IntentShards);
}

std::string intentShardKey(std::size_t shard)
{
    return "knapweedslip/intents/" + std::to_string(shard);
}

IntentBatch applyIntents(const wire::IntentShardT &shard, const std::vector<IntentOp> &ops, std::uint64_t nowUnixS)
{
    IntentBatch batch;
    for (const std::unique_ptr<wire::IntentT> &intent : shard.intents) {
        batch.m_updatedShard.intents.push_back(std::make_unique<wire::IntentT>(*intent));
    }
    removeExpired(batch.m_updatedShard, nowUnixS);
    for (const IntentOp &op : ops) {
        OpResult opResult;
        switch (op.m_kind) {
        case IntentOpKind::Begin:
            opResult = begin(batch.m_updatedShard, op, nowUnixS);
            break;
        case IntentOpKind::Finish:
            opResult = finish(batch.m_updatedShard, op);
            break;
        case IntentOpKind::Release:
            opResult = release(batch.m_updatedShard, op, nowUnixS);
            break;
        }
        batch.m_changed = batch.m_changed || opResult.m_changed;
        batch.m_results.push_back(std::move(opResult.m_result));
    }
    return batch;
}

std::string encodeIntentShard(const wire::IntentShardT &shard)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::IntentShard::Pack(builder, &shard));
    return std::string(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
}

bool decodeIntentShard(const std::string &bytes, wire::IntentShardT &shard)
{
    shard.intents.clear();
    if (bytes.empty()) {
        return true;
    }
    const std::uint8_t *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<wire::IntentShard>(nullptr)) {
        return false;
    }
    flatbuffers::GetRoot<wire::IntentShard>(data)->UnPackTo(&shard);
    return true;
}
}
