// Problem: daemons must agree on owners, shards and fingerprints without exchanging messages.
// Approach: one seeded hash from xxHash, and rendezvous hashing on top of it.
// std::hash differs between builds, and consistent hashing with a ring of tokens moves more keys than needed when a node leaves.

#include "kernel/hashing.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace knapweedslip
{
std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    return hash64(node, hash64(key));
}
}
