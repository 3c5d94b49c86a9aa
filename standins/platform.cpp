// Problem: the daemons need the platform's store and VM list to run.
// Approach: serve the calls of Consul's HTTP API that they use from a KvStore. PUT /standin/faults injects faults:
// {"down":bool, "slow_ms":n, "lose_answers":n, "vm_list_lag_ms":n}.

#include "net/jsonfields.h"
#include "net/keys.h"
#include "standins/kvstore.h"
#include "standins/serve.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include <deque>

namespace knapweedslip::standin
{
namespace json = boost::json;

namespace
{
constexpr std::int64_t WatchPollMs = 5;
constexpr std::int64_t DefaultWaitMs = 300'000;
constexpr std::int64_t ExpireIntervalMs = 20;

struct Faults
{
    bool m_down = false;
    std::int64_t m_slowMs = 0;
    /** Number of writes that take effect but get no response. */
    std::int64_t m_responsesToDrop = 0;
    std::int64_t m_listDelayMs = 0;
};

struct ListChange
{
    std::int64_t m_atMs = 0;
    std::string m_list;
};

struct Platform
{
    KvStore m_store;
    Faults m_faults;
    /** Changes of the VM list that are not visible yet. */
    std::deque<ListChange> m_listChanges;
    std::string m_list = "[]";
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
};

json::object entryObject(const std::string &key, const KvEntry &entry)
{
    json::object object;
    object["Key"] = key;
    object["ModifyIndex"] = entry.m_modifyIndex;
    object["Value"] = encodeBase64(entry.m_value);
    if (!entry.m_session.empty()) {
        object["Session"] = entry.m_session;
    }
    return object;
}

HttpReply readKeys(const Platform &platform, const std::string &key, bool recurse)
{
    json::array array;
    std::uint64_t index = 1;
    if (recurse) {
        index = kvPrefixIndex(platform.m_store, key);
        for (auto it = platform.m_store.m_entries.lower_bound(key); it != platform.m_store.m_entries.end(); ++it) {
            if (it->first.compare(0, key.size(), key) != 0) {
                break;
            }
            array.push_back(entryObject(it->first, it->second));
        }
    } else {
        const auto it = platform.m_store.m_entries.find(key);
        if (it != platform.m_store.m_entries.end()) {
            index = it->second.m_modifyIndex;
            array.push_back(entryObject(key, it->second));
        }
    }
    HttpReply reply = array.empty() ? jsonReply(404, "") : jsonReply(200, json::serialize(array));
    reply.m_headers.emplace_back("X-Consul-Index", std::to_string(index));
    return reply;
}

awaitable<HttpReply> serveRead(Platform &platform, const std::string &target, const std::string &key)
{
    ++platform.m_reads;
    const bool recurse = !queryValue(target, "recurse").empty();
    const std::string since = queryValue(target, "index");
    if (!since.empty()) {
        const std::uint64_t index = std::strtoull(since.c_str(), nullptr, 10);
        const std::string wait = queryValue(target, "wait");
        const std::int64_t deadlineMs = steadyMs() + (wait.empty() ? DefaultWaitMs : std::strtoll(wait.c_str(), nullptr, 10));
        while (kvPrefixIndex(platform.m_store, key) <= index && steadyMs() < deadlineMs && !platform.m_faults.m_down) {
            co_await sleepFor(WatchPollMs);
        }
    }
    co_return readKeys(platform, key, recurse);
}

HttpReply serveWrite(Platform &platform, const HttpRequest &request, const std::string &key)
{
    ++platform.m_writes;
    const std::string cas = queryValue(request.m_target, "cas");
    const std::string acquire = queryValue(request.m_target, "acquire");
    const std::string release = queryValue(request.m_target, "release");
    bool done = false;
    if (!acquire.empty()) {
        done = kvAcquire(platform.m_store, key, request.m_body, acquire);
    } else if (!release.empty()) {
        done = kvRelease(platform.m_store, key, release);
    } else {
        const std::optional<std::uint64_t> index = cas.empty() ? std::nullopt : std::optional<std::uint64_t>(std::strtoull(cas.c_str(), nullptr, 10));
        done = kvPut(platform.m_store, key, request.m_body, index);
    }
    return jsonReply(200, done ? "true" : "false");
}

HttpReply serveSession(Platform &platform, const HttpRequest &request, const std::string &call)
{
    ++platform.m_writes;
    const std::size_t slash = call.find('/');
    const std::string id = slash == std::string::npos ? std::string() : call.substr(slash + 1);
    if (call == "create") {
        boost::system::error_code error;
        const json::value body = json::parse(request.m_body, error);
        const json::value *ttl = error || !body.is_object() ? nullptr : body.as_object().if_contains("TTL");
        const std::int64_t ttlMs = ttl == nullptr ? DefaultWaitMs : std::strtoll(json::value_to<std::string>(*ttl).c_str(), nullptr, 10);
        return jsonReply(200, json::serialize(json::object{{"ID", kvCreateSession(platform.m_store, ttlMs, steadyMs())}}));
    }
    if (call.compare(0, 6, "renew/") == 0) {
        const bool renewed = kvRenewSession(platform.m_store, id, steadyMs());
        return jsonReply(renewed ? 200 : 404, renewed ? "[]" : "no such session");
    }
    kvDestroySession(platform.m_store, id);
    return jsonReply(200, "true");
}

HttpReply serveList(Platform &platform)
{
    ++platform.m_reads;
    while (!platform.m_listChanges.empty() && platform.m_listChanges.front().m_atMs <= steadyMs()) {
        platform.m_list = platform.m_listChanges.front().m_list;
        platform.m_listChanges.pop_front();
    }
    return jsonReply(200, platform.m_list);
}

void setFaults(Faults &faults, const std::string &body)
{
    const json::object object = parseJsonObject(body);
    faults.m_down = boolField(object, "down", faults.m_down);
    faults.m_slowMs = integerField(object, "slow_ms", faults.m_slowMs);
    faults.m_responsesToDrop = integerField(object, "lose_answers", faults.m_responsesToDrop);
    faults.m_listDelayMs = integerField(object, "vm_list_lag_ms", faults.m_listDelayMs);
}

HttpReply counts(const Platform &platform)
{
    return jsonReply(200, json::serialize(json::object{{"reads", platform.m_reads}, {"writes", platform.m_writes}}));
}

awaitable<bool> serveControl(Platform &platform, HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    if (request.m_target == "/standin/faults") {
        setFaults(platform.m_faults, request.m_body);
        co_await exchange.respond(jsonReply(200, "{}"));
        co_return true;
    }
    if (request.m_target == "/standin/vms") {
        platform.m_listChanges.push_back({steadyMs() + platform.m_faults.m_listDelayMs, request.m_body});
        co_await exchange.respond(jsonReply(200, "{}"));
        co_return true;
    }
    if (request.m_target == "/standin/counts") {
        co_await exchange.respond(counts(platform));
        co_return true;
    }
    co_return false;
}

awaitable<void> serve(Platform &platform, HttpExchange &exchange)
{
    if (co_await serveControl(platform, exchange)) {
        co_return;
    }
    if (platform.m_faults.m_slowMs > 0) {
        co_await sleepFor(platform.m_faults.m_slowMs);
    }
    if (platform.m_faults.m_down) {
        exchange.abort();
        co_return;
    }
    const HttpRequest &request = exchange.request();
    const std::string path(pathOf(request.m_target));
    HttpReply reply = jsonReply(404, "");
    if (path.compare(0, 7, "/v1/kv/") == 0) {
        const std::string key = path.substr(7);
        if (request.m_method == "GET") {
            reply = co_await serveRead(platform, request.m_target, key);
        } else {
            reply = serveWrite(platform, request, key);
        }
    } else if (path.compare(0, 12, "/v1/session/") == 0) {
        reply = serveSession(platform, request, path.substr(12));
    } else if (path == "/v1/catalog/service/engine") {
        reply = serveList(platform);
    }
    const bool write = request.m_method == "PUT";
    if (platform.m_faults.m_down || (write && platform.m_faults.m_responsesToDrop > 0)) {
        platform.m_faults.m_responsesToDrop -= write && platform.m_faults.m_responsesToDrop > 0 ? 1 : 0;
        exchange.abort();
        co_return;
    }
    co_await exchange.respond(std::move(reply));
}

awaitable<void> expireLoop(Platform &platform)
{
    while (true) {
        kvExpireSessions(platform.m_store, steadyMs());
        co_await sleepFor(ExpireIntervalMs);
    }
}
}

int run(const std::string &listen)
{
    IoThreads threads(0);
    Platform platform;
    std::vector<std::shared_ptr<HttpServer>> servers;
    const bool listens = listenOn(
        threads,
        listen,
        [&platform](HttpExchange &exchange) {
            return serve(platform, exchange);
        },
        servers);
    if (!listens) {
        return 2;
    }
    asio::co_spawn(threads.control(), expireLoop(platform), asio::detached);
    runUntilSignal(threads);
    return 0;
}
}

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for the platform: key-value store with compare-and-swap, sessions and watches, and the list of VMs");
    std::string listen;
    app.add_option("--listen", listen, "ip:port")->required();
    CLI11_PARSE(app, argc, argv);
    return knapweedslip::standin::run(listen);
}
