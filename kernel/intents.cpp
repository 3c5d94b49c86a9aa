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

bool forgetOld(wire::IntentShardT &shard, std::uint64_t nowUnixS)
{
    const auto old = std::remove_if(shard.intents.begin(), shard.intents.end(), [nowUnixS](const std::unique_ptr<wire::IntentT> &intent) {
        return intent->started_unix_s + IntentLifetimeS < nowUnixS;
    });
    const bool any = old != shard.intents.end();
    shard.intents.erase(old, shard.intents.end());
    return any;
}

void fillStarted(wire::IntentT &intent, const IntentOp &op, std::uint64_t nowUnixS)
{
    intent.key = op.m_key.m_low;
    intent.key_high = op.m_key.m_high;
    intent.fingerprint = op.m_fingerprint;
    intent.nonce = op.m_nonce;
    intent.owner = op.m_owner;
    intent.state = wire::IntentState::Started;
    intent.started_unix_s = nowUnixS;
}

IntentResult resultOf(const wire::IntentT &intent, IntentOutcome outcome)
{
    return IntentResult{outcome, intent.owner, intent.status, intent.body_kept, intent.body};
}

struct OpEffect
{
    IntentResult m_result;
    bool m_changed = false;
};

OpEffect begin(wire::IntentShardT &shard, const IntentOp &op, std::uint64_t nowUnixS)
{
    std::unique_ptr<wire::IntentT> *found = findIntent(shard, op.m_key);
    if (found == nullptr) {
        if (sizeOf(shard) + EntryBytes + op.m_owner.size() + MaxKeptBodyBytes > MaxIntentShardBytes) {
            return {IntentResult{IntentOutcome::Full, {}, 0, false, {}}, false};
        }
        std::unique_ptr<wire::IntentT> intent = std::make_unique<wire::IntentT>();
        fillStarted(*intent, op, nowUnixS);
        shard.intents.push_back(std::move(intent));
        return {resultOf(*shard.intents.back(), IntentOutcome::Started), true};
    }
    wire::IntentT &held = **found;
    if (held.fingerprint != op.m_fingerprint) {
        return {resultOf(held, IntentOutcome::KeyReused), false};
    }
    switch (held.state) {
    case wire::IntentState::Finished:
        return {resultOf(held, IntentOutcome::Finished), false};
    case wire::IntentState::Started:
        return {resultOf(held, held.nonce == op.m_nonce ? IntentOutcome::Started : IntentOutcome::Running), false};
    case wire::IntentState::NotRun:
        break;
    }
    if (held.nonce == op.m_nonce) {
        // This attempt was released before; a claim of it that arrives late must not take effect.
        return {resultOf(held, IntentOutcome::Running), false};
    }
    fillStarted(held, op, nowUnixS);
    return {resultOf(held, IntentOutcome::Started), true};
}

OpEffect finish(wire::IntentShardT &shard, const IntentOp &op)
{
    std::unique_ptr<wire::IntentT> *found = findIntent(shard, op.m_key);
    if (found == nullptr || (*found)->nonce != op.m_nonce || (*found)->state != wire::IntentState::Started) {
        return {IntentResult{IntentOutcome::Recorded, {}, 0, false, {}}, false};
    }
    wire::IntentT &held = **found;
    held.state = wire::IntentState::Finished;
    held.status = op.m_status;
    held.body_kept = op.m_body.size() <= MaxKeptBodyBytes;
    held.body = held.body_kept ? op.m_body : std::string();
    return {resultOf(held, IntentOutcome::Recorded), true};
}

OpEffect release(wire::IntentShardT &shard, const IntentOp &op, std::uint64_t nowUnixS)
{
    std::unique_ptr<wire::IntentT> *found = findIntent(shard, op.m_key);
    if (found == nullptr) {
        // The write of the claim may still be on its way. Writing an entry here raises the modify index of the shard, so that the late
        // write fails its compare-and-swap.
        shard.intents.push_back(std::make_unique<wire::IntentT>());
        found = &shard.intents.back();
        fillStarted(**found, op, nowUnixS);
    }
    wire::IntentT &held = **found;
    if (held.nonce != op.m_nonce || held.state != wire::IntentState::Started) {
        return {IntentResult{IntentOutcome::Recorded, {}, 0, false, {}}, false};
    }
    held.state = wire::IntentState::NotRun;
    return {resultOf(held, IntentOutcome::Recorded), true};
}
}

IntentKey intentKey(const std::string &workspace, const std::string &idempotencyKey)
{
    const std::string text = std::to_string(workspace.size()) + ":" + workspace + ":" + idempotencyKey;
    return IntentKey{hash64(text, LowSeed), hash64(text, HighSeed)};
}

std::size_t intentShardOf(const IntentKey &key)
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
        batch.m_next.intents.push_back(std::make_unique<wire::IntentT>(*intent));
    }
    forgetOld(batch.m_next, nowUnixS);
    for (const IntentOp &op : ops) {
        OpEffect effect;
        switch (op.m_kind) {
        case IntentOpKind::Begin:
            effect = begin(batch.m_next, op, nowUnixS);
            break;
        case IntentOpKind::Finish:
            effect = finish(batch.m_next, op);
            break;
        case IntentOpKind::Release:
            effect = release(batch.m_next, op, nowUnixS);
            break;
        }
        batch.m_changed = batch.m_changed || effect.m_changed;
        batch.m_results.push_back(std::move(effect.m_result));
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
