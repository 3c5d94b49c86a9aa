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
    const auto held = m_held.find(item.m_key);
    return held == m_held.end() || item.m_revision > held->second.m_item.m_revision;
}

void StoreMirror::put(const StoreItem &item, bool changed)
{
    if (item.m_deleted) {
        if (m_held.erase(item.m_key) > 0) {
            bury(item.m_key, item.m_revision);
        }
        return;
    }
    Held &held = m_held[item.m_key];
    if (changed || held.m_changedAt == 0) {
        held.m_changedAt = item.m_revision;
        m_lastChange = std::max(m_lastChange, item.m_revision);
    }
    held.m_item = item;
}

void StoreMirror::bury(const std::string &key, std::uint64_t revision)
{
    StoreItem tombstone;
    tombstone.m_key = key;
    tombstone.m_revision = revision;
    tombstone.m_deleted = true;
    m_lastChange = std::max(m_lastChange, revision);
    m_tombstones.push_back(std::move(tombstone));
    if (m_tombstones.size() > MaxTombstones) {
        m_removalsFrom = std::max(m_removalsFrom, m_tombstones.front().m_revision);
        m_tombstones.pop_front();
    }
}

void StoreMirror::completeTo(std::uint64_t revision)
{
    m_at = std::max(m_at, revision);
}

void StoreMirror::restart(std::uint64_t revision)
{
    m_tombstones.clear();
    m_removalsFrom = revision;
    m_at = revision;
}

std::uint64_t StoreMirror::at() const
{
    return m_at;
}

std::map<std::string, std::uint64_t> StoreMirror::revisions() const
{
    std::map<std::string, std::uint64_t> revisions;
    for (const std::pair<const std::string, Held> &entry : m_held) {
        revisions.emplace(entry.first, entry.second.m_item.m_revision);
    }
    return revisions;
}

StoreNews StoreMirror::since(std::uint64_t revision) const
{
    StoreNews news;
    news.m_at = m_at;
    news.m_whole = revision < m_removalsFrom;
    for (const std::pair<const std::string, Held> &entry : m_held) {
        if (news.m_whole || entry.second.m_changedAt > revision) {
            news.m_items.push_back(entry.second.m_item);
        }
    }
    if (!news.m_whole) {
        std::copy_if(m_tombstones.begin(), m_tombstones.end(), std::back_inserter(news.m_items), [revision](const StoreItem &tombstone) {
            return tombstone.m_revision > revision;
        });
    }
    std::stable_sort(news.m_items.begin(), news.m_items.end(), [](const StoreItem &a, const StoreItem &b) {
        return a.m_revision < b.m_revision;
    });
    return news;
}

bool StoreMirror::hasNews(std::uint64_t revision) const
{
    return m_lastChange > revision || revision < m_removalsFrom;
}
}
