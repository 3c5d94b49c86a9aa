#pragma once

#include "kernel/storeposition.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace knapweedslip
{
/** A key of the platform's store with its value, or its removal. */
struct StoreItem
{
    std::string m_key;
    std::string m_value;
    /** Position of the last write, or of the removal. */
    StorePosition m_position;
    /** Id of the lease that the key is attached to; 0 for none. */
    std::uint64_t m_lease = 0;
    bool m_deleted = false;
};

/** The changes that a daemon sends to one that gets its store updates from it. */
struct StoreUpdates
{
    /** Ordered by position; all are of the era of m_completeTo. */
    std::vector<StoreItem> m_items;
    /** With these changes the receiver has everything that the store accepted up to this position. */
    StorePosition m_completeTo;
    /** The items are the complete content of the store: keys that are not among them no longer exist. */
    bool m_isSnapshot = false;
};

/**
 * A daemon's copy of the store, from which it can also send updates to other daemons. For each key it holds the position of the last change
 * as well as that of the last write, so that writes that only renew a value are not sent. Memory: the store's content and MaxTombstones keys.
 */
class StoreMirror
{
public:
    /** Maximum number of removals that are remembered; a daemon that is further behind gets a snapshot. */
    static constexpr std::size_t MaxTombstones = 4'096;

    /** Returns whether @p item is newer than the stored item with its key. */
    bool isNewer(const StoreItem &item) const;
    /** Stores a newer item or removes its key. @p changed is false for an item that only renews the stored value. */
    void put(const StoreItem &item, bool changed);
    /** Records that the store holds @p item, which is older than the stored value of its key: that value stays. */
    void keep(const StoreItem &item);
    /** Records that the mirror contains every write up to @p position. */
    void markCompleteTo(const StorePosition &position);
    /** Records that the whole store was read again as of @p position: earlier removals are unknown. */
    void resetTo(const StorePosition &position);

    /** Returns the position up to which the mirror contains every write. */
    StorePosition completeTo() const;
    /** Returns the stored keys with the position of their last write. */
    std::map<std::string, StorePosition> positions() const;
    /** Returns the changes that a daemon complete up to @p position lacks. Iterates over all keys. */
    StoreUpdates updatesSince(const StorePosition &position) const;
    /** Returns whether updatesSince(@p position) would return any change or a snapshot. */
    bool hasUpdates(const StorePosition &position) const;

private:
    struct Entry
    {
        StoreItem m_item;
        /** Position of the last write that changed the value. */
        StorePosition m_changed;
    };

    void addTombstone(const std::string &key, const StorePosition &position);

    std::map<std::string, Entry> m_entries;
    /** The last removals, at most MaxTombstones, oldest first. */
    std::deque<StoreItem> m_tombstones;
    /** All removals after this position are in m_tombstones. */
    StorePosition m_removalsKnownAfter;
    /** The mirror contains every write up to this position. */
    StorePosition m_completeTo;
    /** Position of the last change or removal, not counting renewals. */
    StorePosition m_lastChanged;
};
}
