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

/** State of a key-value store with compare-and-swap and sessions that behaves as Consul's documentation describes. The caller passes the time. */
struct KvStore
{
    std::uint64_t m_index = 1;
    std::map<std::string, KvEntry> m_entries;
    std::map<std::string, KvSession> m_sessions;
    std::uint64_t m_nextSession = 1;
};

/** Returns the highest modify index of the keys that start with @p prefix, at least 1. */
std::uint64_t kvPrefixIndex(const KvStore &store, const std::string &prefix);
/** Writes if the key's modify index is @p cas (0: the key is absent; nullopt: always). Returns whether it wrote. */
bool kvPut(KvStore &store, const std::string &key, const std::string &value, std::optional<std::uint64_t> cas);
/** Creates a session and returns its id. */
std::string kvCreateSession(KvStore &store, std::int64_t ttlMs, std::int64_t nowMs);
/** Returns false when there is no such session. */
bool kvRenewSession(KvStore &store, const std::string &session, std::int64_t nowMs);
/** Ends a session and releases its keys. */
void kvDestroySession(KvStore &store, const std::string &session);
/** Ends all expired sessions. */
void kvExpireSessions(KvStore &store, std::int64_t nowMs);
/** Writes the key and locks it for @p session. Returns false when the session is unknown or another one holds the key. */
bool kvAcquire(KvStore &store, const std::string &key, const std::string &value, const std::string &session);
/** Unlocks the key. Returns false when @p session does not hold it. */
bool kvRelease(KvStore &store, const std::string &key, const std::string &session);
}
