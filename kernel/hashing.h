#pragma once

#include <cstdint>
#include <string_view>

namespace knapweedslip
{
/** Returns the 64-bit XXH3 hash of @p text. It is the same on every daemon, so it may be sent and stored. */
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/** Returns the rendezvous weight of @p node for @p key: the node with the highest weight owns the key. */
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);
}
