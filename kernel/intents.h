#pragma once

#include "wire/intents_generated.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace knapweedslip
{
/** 128-bit identity of an idempotency key within a workspace. */
struct IntentKey
{
    std::uint64_t m_low = 0;
    std::uint64_t m_high = 0;
};

IntentKey intentKey(const std::string &workspace, const std::string &idempotencyKey);

inline constexpr std::size_t IntentShards = 64;
/** How long a key is remembered after it was first used, in s. */
inline constexpr std::uint64_t IntentLifetimeS = 6 * 60 * 60;
/** Bytes of one shard in the store; past that, new keys are refused as not run. */
inline constexpr std::size_t MaxIntentShardBytes = 384 * 1024;
/** Longest answer kept for a duplicate, in bytes. */
inline constexpr std::size_t MaxKeptBodyBytes = 2 * 1024;

std::size_t intentShardOf(const IntentKey &key);
std::string intentShardKey(std::size_t shard);

enum class IntentOpKind {
    /** Claims a key before the first byte goes out. */
    Begin,
    /** Records that the request ran, and its answer. */
    Finish,
    /** Records that the request did not run, so that the key may be used again. */
    Release,
};

/** One change of the ledger. Doing it twice is the same as doing it once. */
struct IntentOp
{
    IntentOpKind m_kind = IntentOpKind::Begin;
    IntentKey m_key;
    std::uint64_t m_fingerprint = 0;
    /** Identity of the attempt. */
    std::uint64_t m_nonce = 0;
    std::string m_owner;
    std::uint16_t m_status = 0;
    std::string m_body;
};

enum class IntentOutcome {
    /** This attempt owns the key and may be dispatched. */
    Started,
    /** Another attempt owns the key. */
    Running,
    /** It ran; status and answer are recorded. */
    Finished,
    /** The key was used with a different request. */
    KeyReused,
    /** The shard is full: not run. */
    Full,
    /** A Finish or Release is recorded. */
    Recorded,
    /** The store did not answer in time; a claim is being withdrawn. */
    GaveUp,
};

struct IntentResult
{
    IntentOutcome m_outcome = IntentOutcome::Full;
    std::string m_owner;
    std::uint16_t m_status = 0;
    bool m_bodyKept = false;
    std::string m_body;
};

/** Result of applying a batch: the value to be written by compare-and-swap, and what each operation comes to if that write succeeds. */
struct IntentBatch
{
    wire::IntentShardT m_next;
    bool m_changed = false;
    std::vector<IntentResult> m_results;
};

/**
 * Applies @p ops in order to a copy of @p shard. Pure: after a conflict or an unclear write the shard is read again and the same batch
 * applied again; an operation that took effect before is recognised by its nonce.
 */
IntentBatch applyIntents(const wire::IntentShardT &shard, const std::vector<IntentOp> &ops, std::uint64_t nowUnixS);

std::string encodeIntentShard(const wire::IntentShardT &shard);
/** An empty text is an empty shard; false when the bytes are not a shard. */
bool decodeIntentShard(const std::string &bytes, wire::IntentShardT &shard);
}
