// Problem: tests of the entry daemon need the hosting platform's store as real processes see it.
// Approach: the published HTTP interface over one map. A watch polls the history, which is simple and fast enough for tests.

#include "standins/hostingstore.h"

#include "net/jsonfields.h"
#include "net/keys.h"
#include "platform/names.h"

#include <charconv>

namespace knapweedslip::standin
{
namespace json = boost::json;

namespace
{
constexpr std::size_t MaxItemsPerPage = 500;

std::uint64_t toNumber(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

bool hasPrefix(const std::string &key, const std::string &prefix)
{
    return key.compare(0, prefix.size(), prefix) == 0;
}

json::object toJson(const HostingStoreItem &item)
{
    if (item.m_deleted) {
        return json::object{{"key", item.m_key}, {"revision", item.m_revision}, {"deleted", true}};
    }
    return json::object{
        {"key", item.m_key}, {"value", encodeBase64(item.m_value)}, {"revision", item.m_revision}, {"created", item.m_created}, {"leaseId", item.m_lease}};
}

void remember(HostingStore &store, const HostingStoreItem &item)
{
    store.m_history.push_back(item);
    if (store.m_history.size() > HostingStore::MaxHistory) {
        store.m_history.pop_front();
    }
}

/** Writes or removes as part of the change with the store's current revision. */
void apply(HostingStore &store, HostingStoreItem item)
{
    item.m_revision = store.m_revision;
    if (item.m_deleted) {
        store.m_items.erase(item.m_key);
    } else {
        const auto found = store.m_items.find(item.m_key);
        item.m_created = found == store.m_items.end() ? store.m_revision : found->second.m_created;
        store.m_items[item.m_key] = item;
    }
    remember(store, item);
}

HttpReply readRange(const HostingStore &store, const std::string &prefix, const std::string &after)
{
    json::array entries;
    bool more = false;
    for (auto it = after.empty() ? store.m_items.lower_bound(prefix) : store.m_items.upper_bound(after); it != store.m_items.end(); ++it) {
        if (!hasPrefix(it->first, prefix)) {
            break;
        }
        if (entries.size() == MaxItemsPerPage) {
            more = true;
            break;
        }
        entries.push_back(toJson(it->second));
    }
    return jsonReply(200, json::serialize(json::object{{"entries", std::move(entries)}, {"hasMore", more}, {"at", store.m_revision}}));
}

json::array changesAfter(const HostingStore &store, const std::string &prefix, std::uint64_t after)
{
    json::array events;
    for (const HostingStoreItem &item : store.m_history) {
        if (item.m_revision > after && hasPrefix(item.m_key, prefix)) {
            events.push_back(toJson(item));
        }
    }
    return events;
}

awaitable<HttpReply> watch(HostingStore &store, std::string prefix, std::uint64_t after, std::int64_t waitMs)
{
    constexpr std::int64_t PollMs = 10;
    const std::int64_t untilMs = steadyMs() + waitMs;
    const std::uint64_t era = store.m_era;
    while (true) {
        if (store.m_era != era || steadyMs() < store.m_downUntilMs) {
            co_return jsonReply(503, "{}");
        }
        if (after > store.m_revision || after < store.m_historyFrom) {
            co_return jsonReply(410, "{}");
        }
        if (!store.m_history.empty() && store.m_history.front().m_revision > after + 1 && store.m_history.size() >= HostingStore::MaxHistory) {
            co_return jsonReply(410, "{}");
        }
        json::array events = changesAfter(store, prefix, after);
        if (!events.empty() || steadyMs() >= untilMs) {
            co_return jsonReply(200, json::serialize(json::object{{"events", std::move(events)}, {"at", store.m_revision}}));
        }
        co_await sleepFor(PollMs);
    }
}

const json::array &arrayOf(const json::object &object, const char *key)
{
    static const json::array none;
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_array() ? value->as_array() : none;
}

HttpReply commit(HostingStore &store, const std::string &body)
{
    const json::object object = parseJsonObject(body);
    for (const json::value &row : arrayOf(object, "precondition")) {
        const auto found = store.m_items.find(stringField(row.as_object(), "key"));
        const std::uint64_t revision = found == store.m_items.end() ? 0 : found->second.m_revision;
        if (revision != static_cast<std::uint64_t>(integerField(row.as_object(), "revision"))) {
            return jsonReply(412, R"({"entries":[]})");
        }
    }
    for (const json::value &row : arrayOf(object, "write")) {
        const std::uint64_t lease = static_cast<std::uint64_t>(integerField(row.as_object(), "leaseId"));
        if (lease != 0 && store.m_leases.count(lease) == 0) {
            return jsonReply(404, "{}");
        }
    }
    ++store.m_revision;
    for (const json::value &row : arrayOf(object, "write")) {
        HostingStoreItem item;
        item.m_key = stringField(row.as_object(), "key");
        const Result<std::string> value = decodeBase64(stringField(row.as_object(), "value"));
        item.m_value = failed(value) ? std::string() : valueOf(value);
        item.m_lease = static_cast<std::uint64_t>(integerField(row.as_object(), "leaseId"));
        apply(store, std::move(item));
    }
    for (const json::value &key : arrayOf(object, "delete")) {
        HostingStoreItem item;
        item.m_key = json::value_to<std::string>(key);
        item.m_deleted = true;
        apply(store, std::move(item));
    }
    return jsonReply(200, json::serialize(json::object{{"revision", store.m_revision}}));
}

HttpReply grantLease(HostingStore &store, const std::string &body)
{
    const std::int64_t ttlMs = integerField(parseJsonObject(body), "ttlMs");
    const std::uint64_t id = store.m_nextLease++;
    store.m_leases[id] = {ttlMs, steadyMs() + ttlMs};
    return jsonReply(200, json::serialize(json::object{{"leaseId", id}, {"ttlMs", ttlMs}}));
}

HttpReply renewLease(HostingStore &store, std::uint64_t id)
{
    const auto found = store.m_leases.find(id);
    if (found == store.m_leases.end()) {
        return jsonReply(404, "{}");
    }
    found->second.m_endsMs = steadyMs() + found->second.m_ttlMs;
    return jsonReply(200, json::serialize(json::object{{"ttlMs", found->second.m_ttlMs}}));
}

void endLease(HostingStore &store, std::uint64_t id)
{
    store.m_leases.erase(id);
    std::vector<std::string> keys;
    for (const std::pair<const std::string, HostingStoreItem> &entry : store.m_items) {
        if (entry.second.m_lease == id) {
            keys.push_back(entry.first);
        }
    }
    for (const std::string &key : keys) {
        hostingRemove(store, key);
    }
}
}

void hostingPut(HostingStore &store, const std::string &key, const std::string &value)
{
    ++store.m_revision;
    HostingStoreItem item;
    item.m_key = key;
    item.m_value = value;
    apply(store, std::move(item));
}

void hostingRemove(HostingStore &store, const std::string &key)
{
    if (store.m_items.count(key) == 0) {
        return;
    }
    ++store.m_revision;
    HostingStoreItem item;
    item.m_key = key;
    item.m_deleted = true;
    apply(store, std::move(item));
}

void hostingTakeCopy(HostingStore &store)
{
    store.m_copy = {store.m_revision, store.m_nextLease, store.m_items, store.m_history, store.m_leases};
}

namespace
{
std::map<std::string, std::string> operatorItems(const HostingStore &store)
{
    const std::string prefix = "op/";
    std::map<std::string, std::string> items;
    for (const std::pair<const std::string, HostingStoreItem> &item : store.m_items) {
        if (hasPrefix(item.first, prefix)) {
            items[item.first] = item.second.m_value;
        }
    }
    return items;
}
}

std::map<std::string, std::string> hostingRestoreCopy(HostingStore &store, std::int64_t nowMs)
{
    std::map<std::string, std::string> items = operatorItems(store);
    store.m_revision = store.m_copy.m_revision;
    store.m_nextLease = store.m_copy.m_nextLease;
    store.m_items = store.m_copy.m_items;
    store.m_history = store.m_copy.m_history;
    store.m_leases = store.m_copy.m_leases;
    for (std::pair<const std::uint64_t, HostingLease> &lease : store.m_leases) {
        lease.second.m_endsMs = nowMs + lease.second.m_ttlMs;
    }
    ++store.m_era;
    return items;
}

void hostingWriteAgain(HostingStore &store, const std::map<std::string, std::string> &items)
{
    for (const std::pair<const std::string, std::string> &old : operatorItems(store)) {
        if (items.count(old.first) == 0) {
            hostingRemove(store, old.first);
        }
    }
    for (const std::pair<const std::string, std::string> &item : items) {
        hostingPut(store, item.first, item.second);
    }
}

void hostingForgetHistory(HostingStore &store)
{
    store.m_history.clear();
    store.m_historyFrom = store.m_revision;
}

void hostingExpireLeases(HostingStore &store, std::int64_t nowMs)
{
    if (nowMs < store.m_downUntilMs) {
        return;
    }
    std::vector<std::uint64_t> over;
    for (const std::pair<const std::uint64_t, HostingLease> &lease : store.m_leases) {
        if (lease.second.m_endsMs <= nowMs) {
            over.push_back(lease.first);
        }
    }
    for (const std::uint64_t lease : over) {
        endLease(store, lease);
    }
}

awaitable<void> serveHostingStore(HostingStore &store, HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const std::string path(pathOf(request.m_target));
    const auto idAfter = [&path](const char *prefix) {
        return toNumber(std::string_view(path).substr(std::string_view(prefix).size()));
    };
    HttpReply reply;
    reply.m_status = 404;
    if (steadyMs() < store.m_downUntilMs) {
        reply.m_status = 503;
    } else if (path == platform::path::StoreRange) {
        reply = readRange(store, queryValue(request.m_target, "pathPrefix"), queryValue(request.m_target, "after"));
    } else if (path == platform::path::StoreWatch) {
        const std::uint64_t after = toNumber(queryValue(request.m_target, "after"));
        const std::int64_t waitMs = static_cast<std::int64_t>(toNumber(queryValue(request.m_target, "waitMs")));
        reply = co_await watch(store, queryValue(request.m_target, "pathPrefix"), after, waitMs);
    } else if (path == platform::path::StoreTransaction) {
        reply = commit(store, request.m_body);
    } else if (path == platform::path::StoreLease) {
        reply = grantLease(store, request.m_body);
    } else if (hasPrefix(path, platform::path::StoreLeaseRenew)) {
        reply = renewLease(store, idAfter(platform::path::StoreLeaseRenew));
    } else if (hasPrefix(path, platform::path::StoreLeaseEnd)) {
        endLease(store, idAfter(platform::path::StoreLeaseEnd));
        reply = jsonReply(200, "{}");
    }
    ++store.m_calls[hasPrefix(path, platform::path::StoreLeaseRenew) ? platform::path::StoreLeaseRenew : path];
    store.m_bytes += request.m_body.size() + reply.m_body.size();
    reply.m_headers.emplace_back(platform::header::StoreEra, std::to_string(store.m_era));
    if (steadyMs() < store.m_troubledUntilMs) {
        co_await sleepFor(store.m_slowMs);
        if (std::uniform_real_distribution<double>()(store.m_random) < store.m_lostShare) {
            exchange.abort();
            co_return;
        }
    }
    co_await exchange.respond(std::move(reply));
}
}
