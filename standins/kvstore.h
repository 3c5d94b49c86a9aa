#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace knapweedslip::standin
{
/** One key of the stand-in store. */
struct KvEntry
{
    std::string m_value;
    std::uint64_t m_modifyIndex = 0;
    std::string m_session;
};

struct KvSession
{
    std::int64_t m_ttlMs = 0;
    std::int64_t m_renewedMs = 0;
};

/** Key-value state with compare-and-swap and leases, as Consul's pages describe it. Time is passed in. */
struct KvStore
{
    std::uint64_t m_index = 1;
    std::map<std::string, KvEntry> m_entries;
    std::map<std::string, KvSession> m_sessions;
    std::uint64_t m_nextSession = 1;
};

/** Highest index of the keys below @p prefix, at least 1. */
std::uint64_t kvPrefixIndex(const KvStore &store, const std::string &prefix);
/** Writes if the index is still @p cas (0: absent; nothing: always). */
bool kvPut(KvStore &store, const std::string &key, const std::string &value, std::optional<std::uint64_t> cas);
std::string kvCreateSession(KvStore &store, std::int64_t ttlMs, std::int64_t nowMs);
bool kvRenewSession(KvStore &store, const std::string &session, std::int64_t nowMs);
/** Ends a session and frees its keys. */
void kvDestroySession(KvStore &store, const std::string &session);
/** Ends all sessions whose time is over. */
void kvExpireSessions(KvStore &store, std::int64_t nowMs);
bool kvAcquire(KvStore &store, const std::string &key, const std::string &value, const std::string &session);
bool kvRelease(KvStore &store, const std::string &key, const std::string &session);
}
