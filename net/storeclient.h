#pragma once

#include "kernel/documents.h"
#include "net/httpclient.h"

#include <string>
#include <vector>

namespace knapweedslip
{
/** The platform's store and VM list, spoken to by Consul's HTTP API. */
struct StoreClient
{
    std::string m_address;
    std::int64_t m_timeoutMs = 2'000;
    ConnectionPool m_pool;
};

/** Answer to a read of one key. */
struct StoreValue
{
    bool m_found = false;
    std::uint64_t m_modifyIndex = 0;
    std::string m_value;
};

enum class CasOutcome {
    Written,
    /** Someone else wrote first; nothing was changed. */
    Conflict,
};

/**
 * All documents below @p prefix as of the returned index. Waits up to @p waitMs for an index above @p sinceIndex; 0 returns at once.
 * Costs one call of the store.
 */
awaitable<Result<DocumentDelta>> storeWatch(StoreClient &store, std::string prefix, std::uint64_t sinceIndex, std::int64_t waitMs);

awaitable<Result<StoreValue>> storeRead(StoreClient &store, std::string key);

/**
 * Writes @p value if the key's index is still @p modifyIndex (0: the key must not be there).
 * Fails with ConnectFailed or StoreUnavailable when it certainly was not written, with StoreUnclear when it may have been.
 */
awaitable<Result<CasOutcome>> storeWrite(StoreClient &store, std::string key, std::string value, std::uint64_t modifyIndex);

/** Creates a lease of @p ttlMs and returns its id. */
awaitable<Result<std::string>> storeCreateSession(StoreClient &store, std::string name, std::int64_t ttlMs);
/** Renews a lease; NotFound when it has lapsed. */
awaitable<Result<Done>> storeRenewSession(StoreClient &store, std::string session);
/** Ends a lease and frees what it holds. */
awaitable<Result<Done>> storeDestroySession(StoreClient &store, std::string session);
/** Takes @p key under the lease; false when another lease holds it. */
awaitable<Result<bool>> storeAcquire(StoreClient &store, std::string key, std::string value, std::string session);
awaitable<Result<Done>> storeRelease(StoreClient &store, std::string key, std::string session);

/** One VM of the platform's list, which lags behind reality. */
struct ListedVm
{
    std::string m_vm;
    std::string m_address;
    std::string m_availabilityZone;
    std::string m_domain;
    bool m_leaving = false;
};

awaitable<Result<std::vector<ListedVm>>> storeListVms(StoreClient &store);
}
