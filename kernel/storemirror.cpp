// Problem: most writes to the store only renew values. A daemon that gets its updates from another one must receive all other writes.
// Approach: the mirror holds for each key the position of its last actual change. A follower sends the position up to which it is complete
// and gets the keys that changed later. Removals are remembered in a bounded list; a follower that is further behind gets a snapshot.
// A log of all events is several times as long and needs a read position for each follower.

#include "kernel/storemirror.h"

#include <algorithm>

namespace knapweedslip
{
bool StoreMirror::isNewer(const StoreItem &item) const
{
    const auto existing = m_entries.find(item.m_key);
    return existing == m_entries.end() || item.m_position > existing->second.m_item.m_position;
}

void StoreMirror::put(const StoreItem &item, bool changed)
{
    if (item.m_deleted) {
        if (m_entries.erase(item.m_key) > 0) {
            addTombstone(item.m_key, item.m_position);
        }
        return;
    }
    Entry &entry = m_entries[item.m_key];
    if (changed || entry.m_changed == StorePosition()) {
        entry.m_changed = item.m_position;
        m_lastChanged = std::max(m_lastChanged, item.m_position);
    }
    entry.m_item = item;
}

void StoreMirror::keep(const StoreItem &item)
{
    const auto existing = m_entries.find(item.m_key);
    if (existing != m_entries.end()) {
        existing->second.m_item.m_position = item.m_position;
    }
}

void StoreMirror::addTombstone(const std::string &key, const StorePosition &position)
{
    StoreItem tombstone;
    tombstone.m_key = key;
    tombstone.m_position = position;
    tombstone.m_deleted = true;
    m_lastChanged = std::max(m_lastChanged, position);
    m_tombstones.push_back(std::move(tombstone));
    if (m_tombstones.size() > MaxTombstones) {
        m_removalsKnownAfter = std::max(m_removalsKnownAfter, m_tombstones.front().m_position);
        m_tombstones.pop_front();
    }
}

void StoreMirror::markCompleteTo(const StorePosition &position)
{
    m_completeTo = std::max(m_completeTo, position);
}

void StoreMirror::resetTo(const StorePosition &position)
{
    m_tombstones.clear();
    m_removalsKnownAfter = position;
    m_completeTo = position;
}

StorePosition StoreMirror::completeTo() const
{
    return m_completeTo;
}

std::map<std::string, StorePosition> StoreMirror::positions() const
{
    std::map<std::string, StorePosition> positions;
    for (const std::pair<const std::string, Entry> &entry : m_entries) {
        positions.emplace(entry.first, entry.second.m_item.m_position);
    }
    return positions;
}

StoreUpdates StoreMirror::updatesSince(const StorePosition &position) const
{
    StoreUpdates updates;
    updates.m_completeTo = m_completeTo;
    updates.m_isSnapshot = position < m_removalsKnownAfter;
    for (const std::pair<const std::string, Entry> &entry : m_entries) {
        if (updates.m_isSnapshot || entry.second.m_changed > position) {
            updates.m_items.push_back(entry.second.m_item);
        }
    }
    if (!updates.m_isSnapshot) {
        std::copy_if(m_tombstones.begin(), m_tombstones.end(), std::back_inserter(updates.m_items), [&position](const StoreItem &tombstone) {
            return tombstone.m_position > position;
        });
    }
    std::stable_sort(updates.m_items.begin(), updates.m_items.end(), [](const StoreItem &a, const StoreItem &b) {
        return a.m_position < b.m_position;
    });
    return updates;
}

bool StoreMirror::hasUpdates(const StorePosition &position) const
{
    return m_lastChanged > position || position < m_removalsKnownAfter;
}
}
