#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace knapweedslip
{
/** One key of the platform's store, or its removal. */
struct StoreItem
{
    std::string m_key;
    std::string m_value;
    std::uint64_t m_revision = 0;
    std::uint64_t m_lease = 0;
    bool m_deleted = false;
};

/** What a daemon that follows another one lacks. */
struct StoreNews
{
    /** Ordered by revision. */
    std::vector<StoreItem> m_items;
    /** Nothing that was accepted up to this revision is missing. */
    std::uint64_t m_at = 0;
    /** The items are all there is: keys that are not among them are gone. */
    bool m_whole = false;
};

/**
 * What one daemon holds of the store, kept so that it can also tell others. A key has a revision at which it last changed for good, beside the
 * one at which it was last written: renewals that say nothing new are not told. Memory: the store's content and MaxTombstones keys.
 */
class StoreMirror
{
public:
    /** Removals that are remembered; whoever is further behind gets everything. */
    static constexpr std::size_t MaxTombstones = 4'096;

    /** Whether @p item is newer than what is held under its key. */
    bool isNewer(const StoreItem &item) const;
    /** Takes a newer item; @p changed is false for one that only renews what is held. */
    void put(const StoreItem &item, bool changed);
    /** Nothing up to @p revision is missing any more. */
    void completeTo(std::uint64_t revision);
    /** Everything was read anew as of @p revision: removals before that are not known. */
    void restart(std::uint64_t revision);

    std::uint64_t at() const;
    /** Keys held, with the revision of their last writing. */
    std::map<std::string, std::uint64_t> revisions() const;
    /** What a daemon that is complete up to @p revision lacks. Costs one pass over the keys. */
    StoreNews since(std::uint64_t revision) const;
    /** Whether since() would tell a daemon that is complete up to @p revision anything. */
    bool hasNews(std::uint64_t revision) const;

private:
    struct Held
    {
        StoreItem m_item;
        std::uint64_t m_changedAt = 0;
    };

    void bury(const std::string &key, std::uint64_t revision);

    std::map<std::string, Held> m_held;
    std::deque<StoreItem> m_tombstones;
    /** Removals after this revision are all among m_tombstones. */
    std::uint64_t m_removalsFrom = 0;
    std::uint64_t m_at = 0;
    std::uint64_t m_lastChange = 0;
};
}
