// Problem: after the store came back from a copy, what is new has lower revisions than what is known.
// Approach: the era is the first part of every position. Positions of a later era follow all positions of an earlier one.
// A rule that accepts a lower revision would accept late answers and updates too.

#include "kernel/storeposition.h"

namespace knapweedslip
{
bool acceptStoreEra(std::uint64_t &known, std::optional<std::uint64_t> named)
{
    if (!named || *named > MaxStoreEra) {
        return true;
    }
    if (*named < known) {
        return false;
    }
    known = *named;
    return true;
}

std::uint64_t fencingToken(const StorePosition &position)
{
    return position.m_era * RevisionsPerEra + position.m_revision;
}
}
