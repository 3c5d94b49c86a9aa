#pragma once

#include <cstdint>
#include <string_view>

namespace knapweedslip
{
/** 64-bit XXH3 hash of @p text. Equal on every daemon, so it may be sent and stored. */
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/** Rendezvous weight of @p node for @p key: the node with the highest weight owns the key. */
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);
}
