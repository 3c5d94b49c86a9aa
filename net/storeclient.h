#pragma once

#include "kernel/documents.h"
#include "net/httpclient.h"

#include <string>
#include <vector>

namespace knapweedslip
{
/** Client of the platform's store and VM list, which have Consul's HTTP API. */
struct StoreClient
{
    std::string m_address;
    /** Timeout of one call in ms, in addition to the time that a watch waits. */
    std::int64_t m_timeoutMs = 2'000;
    ConnectionPool m_pool;
};

/** Result of reading one key. */
struct StoreValue
{
    bool m_found = false;
    std::uint64_t m_modifyIndex = 0;
    std::string m_value;
};

/** Result of a write that depends on the key's index (compare and set). */
enum class CasOutcome {
    Written,
    /** The key's index is another one; nothing was changed. */
    Conflict,
};

/**
 * Returns all documents below @p prefix as of the returned index. Waits up to @p waitMs for an index above @p sinceIndex; with 0 it
 * returns at once. Costs one call to the store.
 */
awaitable<Result<DocumentDelta>> storeWatch(StoreClient &store, std::string prefix, std::uint64_t sinceIndex, std::int64_t waitMs);

/** Returns the value of @p key; m_found is false when the key does not exist. */
awaitable<Result<StoreValue>> storeRead(StoreClient &store, std::string key);

/**
 * Writes @p value if the key's index is still @p modifyIndex (0: the key must not exist).
 * Returns an error ConnectFailed when nothing was written, and StoreUnclear when the write may have taken effect.
 */
awaitable<Result<CasOutcome>> storeWrite(StoreClient &store, std::string key, std::string value, std::uint64_t modifyIndex);

/** Creates a session that expires after @p ttlMs without renewal, and returns its id. On expiry its keys are released and can be acquired at once. */
awaitable<Result<std::string>> storeCreateSession(StoreClient &store, std::string name, std::int64_t ttlMs);
/** Renews a session. Returns an error NotFound when it has expired. */
awaitable<Result<Done>> storeRenewSession(StoreClient &store, std::string session);
/** Ends a session and releases the keys it holds. */
awaitable<Result<Done>> storeDestroySession(StoreClient &store, std::string session);
/** Acquires @p key for @p session and writes @p value. Returns false when another session holds the key. */
awaitable<Result<bool>> storeAcquire(StoreClient &store, std::string key, std::string value, std::string session);
/** Releases @p key, so that other sessions may acquire it. */
awaitable<Result<Done>> storeRelease(StoreClient &store, std::string key, std::string session);

/** A VM in the platform's list. The list is updated late: a VM may have failed or left already. */
struct ListedVm
{
    std::string m_vm;
    std::string m_address;
    std::string m_availabilityZone;
    /** Fabric domain. */
    std::string m_domain;
    /** The platform has announced that this VM will stop. */
    bool m_leaving = false;
};

awaitable<Result<std::vector<ListedVm>>> storeListVms(StoreClient &store);
}
