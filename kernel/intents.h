#pragma once

#include "wire/intents_generated.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace knapweedslip
{
/** 128-bit hash of a workspace and an idempotency key. Identifies an intent, the stored record of a paid call before, during and after its run. */
struct IntentKey
{
    std::uint64_t m_low = 0;
    std::uint64_t m_high = 0;
};

IntentKey intentKey(const std::string &workspace, const std::string &idempotencyKey);

/** Number of shards over which intents are distributed. */
inline constexpr std::size_t IntentShards = 64;
/** How long a key is remembered after it was last claimed, in s. */
inline constexpr std::uint64_t IntentLifetimeS = 6 * 60 * 60;
/** Maximum size of one shard in the store, in bytes. A claim of a new key that could make the shard larger is refused, and its request is not run. */
inline constexpr std::size_t MaxIntentShardBytes = 384 * 1024;
/** Longest response body that is stored and returned to duplicates, in bytes. */
inline constexpr std::size_t MaxKeptBodyBytes = 2 * 1024;

std::size_t intentShardIndex(const IntentKey &key);
/** Returns the key of @p shard in the store. */
std::string intentShardKey(std::size_t shard);

enum class IntentOpKind {
    /** Claims a key; must be recorded before the first byte of the call is sent. */
    Begin,
    /** Records that the request ran, and its response. */
    Finish,
    /** Records that the request did not run, so that the key may be used again. */
    Release,
};

/** One change to the stored intents. Applying it twice has the same effect as applying it once. */
struct IntentOp
{
    IntentOpKind m_kind = IntentOpKind::Begin;
    IntentKey m_key;
    /** Hash of the request, to detect that a key is reused for a different request. */
    std::uint64_t m_fingerprint = 0;
    /** Identifies the attempt. */
    std::uint64_t m_nonce = 0;
    /** The gateway that makes the attempt. */
    std::string m_owner;
    /** HTTP status of the response; used by Finish, as is m_body. */
    std::uint16_t m_status = 0;
    std::string m_body;
};

enum class IntentOutcome {
    /** This attempt owns the key and may be dispatched. */
    Started,
    /** Another attempt owns the key. */
    Running,
    /** The request ran, and its status is recorded, with its body unless that was too long. */
    Finished,
    /** The key was used for a different request. */
    KeyReused,
    /** The shard is full; the request was not run. */
    Full,
    /** The Finish or Release is recorded, or there was nothing to record. */
    Recorded,
    /** The store did not answer in time; a claim is being withdrawn in the background. Never returned by applyIntents(). */
    TimedOut,
};

struct IntentResult
{
    IntentOutcome m_outcome = IntentOutcome::Full;
    /** Owner of the recorded intent; the fields below describe its response. */
    std::string m_owner;
    std::uint16_t m_status = 0;
    /** False when the body was longer than MaxKeptBodyBytes, and when no response is recorded. */
    bool m_bodyKept = false;
    std::string m_body;
};

/** Result of applying a batch: the shard to be written by compare-and-swap, and one result per operation, valid once that write has succeeded. */
struct IntentBatch
{
    wire::IntentShardT m_updatedShard;
    /** False when no operation changed the shard, so that no write is needed. */
    bool m_changed = false;
    std::vector<IntentResult> m_results;
};

/**
 * Applies @p ops in order to a copy of @p shard, and removes expired intents from it. Has no side effects: after a conflict, or a write
 * whose outcome is unknown, the caller reads the shard again and applies the same batch again. An operation that already took effect is
 * recognized by its nonce.
 */
IntentBatch applyIntents(const wire::IntentShardT &shard, const std::vector<IntentOp> &ops, std::uint64_t nowUnixS);

std::string encodeIntentShard(const wire::IntentShardT &shard);
/** Decodes @p bytes into @p shard; an empty string is an empty shard. Returns false if @p bytes is not a valid shard. */
bool decodeIntentShard(const std::string &bytes, wire::IntentShardT &shard);
}
