#pragma once

#include "net/httpserver.h"

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>

namespace knapweedslip::standin
{
/** One key of the hosting platform's store, or its removal. */
struct HostingStoreItem
{
    std::string m_key;
    std::string m_value;
    std::uint64_t m_revision = 0;
    std::uint64_t m_created = 0;
    std::uint64_t m_lease = 0;
    bool m_deleted = false;
};

struct HostingLease
{
    std::int64_t m_ttlMs = 0;
    std::int64_t m_endsMs = 0;
};

/** What a copy of the store holds. */
struct HostingStoreCopy
{
    std::uint64_t m_revision = 0;
    std::uint64_t m_nextLease = 1;
    std::map<std::string, HostingStoreItem> m_items;
    std::deque<HostingStoreItem> m_history;
    std::map<std::uint64_t, HostingLease> m_leases;
};

/** The hosting platform's store: items under one revision counter, their history, and leases. Times are of steadyMs(). */
struct HostingStore
{
    static constexpr std::size_t MaxHistory = 20'000;

    std::uint64_t m_revision = 1;
    std::uint64_t m_nextLease = 1;
    std::map<std::string, HostingStoreItem> m_items;
    /** The last changes, oldest first. */
    std::deque<HostingStoreItem> m_history;
    std::map<std::uint64_t, HostingLease> m_leases;
    /** All calls are answered with 503 until this time. */
    std::int64_t m_downUntilMs = 0;
    /** Calls at the second address are answered with 503 until this time: the store turns the daemons away that use it. */
    std::int64_t m_apartUntilMs = 0;
    /** Until this time, answers take m_slowMs longer, and this share of them is lost after the call was carried out. */
    std::int64_t m_troubledUntilMs = 0;
    std::int64_t m_slowMs = 0;
    double m_lostShare = 0.0;
    std::mt19937_64 m_random;
    /** The history before this revision was dropped. */
    std::uint64_t m_historyFrom = 0;
    /** Number of calls of each kind, and of bytes in their bodies, both ways. */
    std::map<std::string, std::uint64_t> m_calls;
    std::uint64_t m_bytes = 0;
    /** Rises each time that the store comes back from its copy. */
    std::uint64_t m_era = 1;
    HostingStoreCopy m_copy;
};

/** Makes the copy from which the store can come back. */
void hostingTakeCopy(HostingStore &store);
/**
 * Brings the store back from its copy: what was written since is gone, and revisions and ids of leases are given out again. Returns the operators' items that
 * the store held before.
 */
std::map<std::string, std::string> hostingRestoreCopy(HostingStore &store, std::int64_t nowMs);
/** Makes the operators' items equal to @p items. */
void hostingWriteAgain(HostingStore &store, const std::map<std::string, std::string> &items);

/** Writes @p key as a platform's own writer does, without conditions. */
void hostingPut(HostingStore &store, const std::string &key, const std::string &value);
/** Removes @p key if it exists. */
void hostingRemove(HostingStore &store, const std::string &key);
/** Drops the history of changes. */
void hostingForgetHistory(HostingStore &store);
/** Ends the leases that are over. Leases pause while the store is down. */
void hostingExpireLeases(HostingStore &store, std::int64_t nowMs);
/** Serves one call of the store's HTTP interface. */
awaitable<void> serveHostingStore(HostingStore &store, HttpExchange &exchange);
}
