// Problem: tests need a store that behaves as the platform documents its own, and no more than that.
// Approach: a map and an increasing index without any I/O, so that tests in virtual time can use it too.

#include "standins/kvstore.h"

#include <algorithm>

namespace knapweedslip::standin
{
std::uint64_t kvPrefixIndex(const KvStore &store, const std::string &prefix)
{
    std::uint64_t index = 1;
    for (auto it = store.m_entries.lower_bound(prefix); it != store.m_entries.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
        index = std::max(index, it->second.m_modifyIndex);
    }
    return index;
}

bool kvPut(KvStore &store, const std::string &key, const std::string &value, std::optional<std::uint64_t> cas)
{
    const auto it = store.m_entries.find(key);
    const std::uint64_t existing = it == store.m_entries.end() ? 0 : it->second.m_modifyIndex;
    if (cas && *cas != existing) {
        return false;
    }
    KvEntry &entry = store.m_entries[key];
    entry.m_value = value;
    entry.m_modifyIndex = ++store.m_index;
    return true;
}

std::string kvCreateSession(KvStore &store, std::int64_t ttlMs, std::int64_t nowMs)
{
    std::string id = "session-" + std::to_string(store.m_nextSession++);
    store.m_sessions[id] = KvSession{ttlMs, nowMs};
    return id;
}

bool kvRenewSession(KvStore &store, const std::string &session, std::int64_t nowMs)
{
    const auto it = store.m_sessions.find(session);
    if (it == store.m_sessions.end()) {
        return false;
    }
    it->second.m_renewedMs = nowMs;
    return true;
}

void kvDestroySession(KvStore &store, const std::string &session)
{
    store.m_sessions.erase(session);
    for (std::pair<const std::string, KvEntry> &entry : store.m_entries) {
        if (entry.second.m_session == session) {
            entry.second.m_session.clear();
            entry.second.m_modifyIndex = ++store.m_index;
        }
    }
}

void kvExpireSessions(KvStore &store, std::int64_t nowMs)
{
    std::vector<std::string> expired;
    for (const std::pair<const std::string, KvSession> &entry : store.m_sessions) {
        if (nowMs > entry.second.m_renewedMs + entry.second.m_ttlMs) {
            expired.push_back(entry.first);
        }
    }
    for (const std::string &session : expired) {
        kvDestroySession(store, session);
    }
}

bool kvAcquire(KvStore &store, const std::string &key, const std::string &value, const std::string &session)
{
    if (store.m_sessions.count(session) == 0) {
        return false;
    }
    KvEntry &entry = store.m_entries[key];
    if (!entry.m_session.empty() && entry.m_session != session) {
        return false;
    }
    entry.m_session = session;
    entry.m_value = value;
    entry.m_modifyIndex = ++store.m_index;
    return true;
}

bool kvRelease(KvStore &store, const std::string &key, const std::string &session)
{
    const auto it = store.m_entries.find(key);
    if (it == store.m_entries.end() || it->second.m_session != session) {
        return false;
    }
    it->second.m_session.clear();
    it->second.m_modifyIndex = ++store.m_index;
    return true;
}
}
