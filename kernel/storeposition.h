#pragma once

#include <cstdint>
#include <optional>

namespace knapweedslip
{
/**
 * A state of the platform's store, or the time of a write to it. The store counts revisions. When it comes back from an older copy of itself, it begins
 * another era and gives out revisions again, so that a revision alone orders nothing: positions are compared as a whole.
 */
struct StorePosition
{
    std::uint64_t m_era = 0;
    std::uint64_t m_revision = 0;

    friend bool operator==(const StorePosition &, const StorePosition &) = default;
    friend bool operator<(const StorePosition &a, const StorePosition &b)
    {
        return a.m_era != b.m_era ? a.m_era < b.m_era : a.m_revision < b.m_revision;
    }
    friend bool operator>(const StorePosition &a, const StorePosition &b)
    {
        return b < a;
    }
    friend bool operator<=(const StorePosition &a, const StorePosition &b)
    {
        return !(b < a);
    }
    friend bool operator>=(const StorePosition &a, const StorePosition &b)
    {
        return !(a < b);
    }
};

/** Eras beyond this are not believed: fencing tokens and epochs have to stay exact as JSON numbers. */
inline constexpr std::uint64_t MaxStoreEra = 65'535;

/**
 * Takes in the era that an answer of the store names, if it names a readable one, and returns whether the answer may be used. An answer of an earlier era
 * than @p known is late: what it says was lost. An answer without an era changes nothing.
 */
bool acceptStoreEra(std::uint64_t &known, std::optional<std::uint64_t> named);

/**
 * Returns the fencing token of a term that began at @p position. Tokens rise with positions within an era, and from one era to the next as long as the store
 * lost less than RevisionsPerEra revisions.
 */
std::uint64_t fencingToken(const StorePosition &position);

/** More revisions than the store can lose with the seconds by which a copy is older. */
inline constexpr std::uint64_t RevisionsPerEra = 1ULL << 20U;
}
