// Problem: most writes to the store only renew values. A daemon that gets its updates from another one must receive all other writes.
// Approach: the mirror holds for each key the revision of its last actual change. A follower sends the revision up to which it is complete
// and gets the keys that changed later. Removals are remembered in a bounded list; a follower that is further behind gets a snapshot.
// A log of all events is several times as long and needs a read position for each follower.

#include "kernel/storemirror.h"

#include <algorithm>

namespace knapweedslip
{
bool StoreMirror::isNewer(const StoreItem &item) const
{
    const auto existing = m_entries.find(item.m_key);
    return existing == m_entries.end() || item.m_revision > existing->second.m_item.m_revision;
}

void StoreMirror::put(const StoreItem &item, bool changed)
{
    if (item.m_deleted) {
        if (m_entries.erase(item.m_key) > 0) {
            addTombstone(item.m_key, item.m_revision);
        }
        return;
    }
    Entry &entry = m_entries[item.m_key];
    if (changed || entry.m_changeRevision == 0) {
        entry.m_changeRevision = item.m_revision;
        m_lastChangeRevision = std::max(m_lastChangeRevision, item.m_revision);
    }
    entry.m_item = item;
}

void StoreMirror::addTombstone(const std::string &key, std::uint64_t revision)
{
    StoreItem tombstone;
    tombstone.m_key = key;
    tombstone.m_revision = revision;
    tombstone.m_deleted = true;
    m_lastChangeRevision = std::max(m_lastChangeRevision, revision);
    m_tombstones.push_back(std::move(tombstone));
    if (m_tombstones.size() > MaxTombstones) {
        m_removalsKnownAfter = std::max(m_removalsKnownAfter, m_tombstones.front().m_revision);
        m_tombstones.pop_front();
    }
}

void StoreMirror::markCompleteTo(std::uint64_t revision)
{
    m_completeRevision = std::max(m_completeRevision, revision);
}

void StoreMirror::resetTo(std::uint64_t revision)
{
    m_tombstones.clear();
    m_removalsKnownAfter = revision;
    m_completeRevision = revision;
}

std::uint64_t StoreMirror::completeRevision() const
{
    return m_completeRevision;
}

std::map<std::string, std::uint64_t> StoreMirror::revisions() const
{
    std::map<std::string, std::uint64_t> revisions;
    for (const std::pair<const std::string, Entry> &entry : m_entries) {
        revisions.emplace(entry.first, entry.second.m_item.m_revision);
    }
    return revisions;
}

StoreUpdates StoreMirror::updatesSince(std::uint64_t revision) const
{
    StoreUpdates updates;
    updates.m_completeRevision = m_completeRevision;
    updates.m_isSnapshot = revision < m_removalsKnownAfter;
    for (const std::pair<const std::string, Entry> &entry : m_entries) {
        if (updates.m_isSnapshot || entry.second.m_changeRevision > revision) {
            updates.m_items.push_back(entry.second.m_item);
        }
    }
    if (!updates.m_isSnapshot) {
        std::copy_if(m_tombstones.begin(), m_tombstones.end(), std::back_inserter(updates.m_items), [revision](const StoreItem &tombstone) {
            return tombstone.m_revision > revision;
        });
    }
    std::stable_sort(updates.m_items.begin(), updates.m_items.end(), [](const StoreItem &a, const StoreItem &b) {
        return a.m_revision < b.m_revision;
    });
    return updates;
}

bool StoreMirror::hasUpdates(std::uint64_t revision) const
{
    return m_lastChangeRevision > revision || revision < m_removalsKnownAfter;
}
}
