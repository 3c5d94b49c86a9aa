// Problem: the store may be slow or down, and the reply to a write may be lost after the write took effect.
// Approach: each function makes one call to Consul's published API, and its errors say whether a write may have taken effect; callers then
// read the key again.
// If every failed write were treated as not done, actions would run twice and plans would be lost.

#include "net/storeclient.h"

#include "net/keys.h"

#include <boost/json.hpp>

namespace knapweedslip
{
namespace json = boost::json;

namespace
{
Error storeError(const Error &error)
{
    return error.m_code == ErrorCode::ConnectFailed ? error : Error{ErrorCode::StoreUnavailable, describe(error)};
}

Result<json::value> parseJson(const HttpReply &reply)
{
    boost::system::error_code error;
    json::value value = json::parse(reply.m_body, error);
    if (error) {
        return Error{ErrorCode::ProtocolViolation, "store: " + error.message()};
    }
    return value;
}

Result<Document> decodeEntry(const json::value &value)
{
    try {
        const json::value &encoded = value.at("Value");
        const Result<std::string> bytes = decodeBase64(encoded.is_null() ? std::string() : json::value_to<std::string>(encoded));
        if (failed(bytes)) {
            return errorOf(bytes);
        }
        return Document{json::value_to<std::string>(value.at("Key")), value.at("ModifyIndex").to_number<std::uint64_t>(), valueOf(bytes)};
    } catch (const std::exception &exception) {
        return Error{ErrorCode::ProtocolViolation, std::string("store: ") + exception.what()};
    }
}

Result<std::vector<Document>> decodeEntries(const HttpReply &reply)
{
    const Result<json::value> value = parseJson(reply);
    if (failed(value) || !valueOf(value).is_array()) {
        return failed(value) ? errorOf(value) : Error{ErrorCode::ProtocolViolation, "store: expected a JSON array"};
    }
    std::vector<Document> documents;
    for (const json::value &item : valueOf(value).as_array()) {
        Result<Document> document = decodeEntry(item);
        if (failed(document)) {
            return errorOf(document);
        }
        documents.push_back(std::move(valueOf(document)));
    }
    return documents;
}

awaitable<Result<HttpReply>> call(StoreClient &store, std::string method, std::string target, std::string body, std::int64_t timeoutMs)
{
    HttpRequest request;
    request.m_method = std::move(method);
    request.m_target = std::move(target);
    request.m_body = std::move(body);
    Result<HttpReply> reply = co_await httpCall(store.m_pool, store.m_address, std::move(request), timeoutMs);
    if (failed(reply)) {
        co_return storeError(errorOf(reply));
    }
    constexpr unsigned FirstServerError = 500;
    if (valueOf(reply).m_status >= FirstServerError) {
        co_return Error{ErrorCode::StoreUnavailable, "status " + std::to_string(valueOf(reply).m_status)};
    }
    co_return reply;
}

Result<Done> checkStatusOk(const Result<HttpReply> &reply)
{
    constexpr unsigned Ok = 200;
    if (failed(reply)) {
        return errorOf(reply);
    }
    if (valueOf(reply).m_status != Ok) {
        return Error{ErrorCode::NotFound, valueOf(reply).m_body};
    }
    return Done{};
}
}

awaitable<Result<DocumentDelta>> storeWatch(StoreClient &store, std::string prefix, std::uint64_t sinceIndex, std::int64_t waitMs)
{
    std::string target = "/v1/kv/" + prefix + "?recurse=true";
    if (waitMs > 0) {
        target += "&index=" + std::to_string(sinceIndex) + "&wait=" + std::to_string(waitMs) + "ms";
    }
    const Result<HttpReply> reply = co_await call(store, "GET", std::move(target), {}, store.m_timeoutMs + waitMs);
    if (failed(reply)) {
        co_return errorOf(reply);
    }
    DocumentDelta delta;
    delta.m_confirmationAgeMs = 0;
    delta.m_index = std::strtoull(std::string(headerValue(valueOf(reply).m_headers, "X-Consul-Index")).c_str(), nullptr, 10);
    constexpr unsigned NotFound = 404;
    if (valueOf(reply).m_status == NotFound) {
        co_return delta;
    }
    Result<std::vector<Document>> documents = decodeEntries(valueOf(reply));
    if (failed(documents)) {
        co_return errorOf(documents);
    }
    delta.m_documents = std::move(valueOf(documents));
    co_return delta;
}

awaitable<Result<StoreValue>> storeRead(StoreClient &store, std::string key)
{
    const Result<HttpReply> reply = co_await call(store, "GET", "/v1/kv/" + key, {}, store.m_timeoutMs);
    if (failed(reply)) {
        co_return errorOf(reply);
    }
    constexpr unsigned NotFound = 404;
    if (valueOf(reply).m_status == NotFound) {
        co_return StoreValue{};
    }
    const Result<std::vector<Document>> documents = decodeEntries(valueOf(reply));
    if (failed(documents) || valueOf(documents).empty()) {
        co_return failed(documents) ? errorOf(documents) : Error{ErrorCode::ProtocolViolation, "store: reply has no entry"};
    }
    const Document &document = valueOf(documents).front();
    co_return StoreValue{true, document.m_modifyIndex, document.m_value};
}

awaitable<Result<CasOutcome>> storeWrite(StoreClient &store, std::string key, std::string value, std::uint64_t modifyIndex)
{
    const std::string target = "/v1/kv/" + key + "?cas=" + std::to_string(modifyIndex);
    const Result<HttpReply> reply = co_await call(store, "PUT", target, std::move(value), store.m_timeoutMs);
    if (failed(reply)) {
        // The server may report an error although it has already forwarded the write.
        const bool nothingSent = errorOf(reply).m_code == ErrorCode::ConnectFailed;
        co_return Error{nothingSent ? ErrorCode::ConnectFailed : ErrorCode::StoreUnclear, describe(errorOf(reply))};
    }
    co_return valueOf(reply).m_body.compare(0, 4, "true") == 0 ? CasOutcome::Written : CasOutcome::Conflict;
}

awaitable<Result<std::string>> storeCreateSession(StoreClient &store, std::string name, std::int64_t ttlMs)
{
    const std::string body = json::serialize(json::object{{"Name", name}, {"TTL", std::to_string(ttlMs) + "ms"}, {"LockDelay", "0s"}, {"Behavior", "release"}});
    const Result<HttpReply> reply = co_await call(store, "PUT", "/v1/session/create", body, store.m_timeoutMs);
    if (failed(reply)) {
        co_return errorOf(reply);
    }
    const Result<json::value> value = parseJson(valueOf(reply));
    const json::value *id = failed(value) || !valueOf(value).is_object() ? nullptr : valueOf(value).as_object().if_contains("ID");
    if (id == nullptr || !id->is_string()) {
        co_return Error{ErrorCode::ProtocolViolation, "store: reply has no session id"};
    }
    co_return json::value_to<std::string>(*id);
}

awaitable<Result<Done>> storeRenewSession(StoreClient &store, std::string session)
{
    co_return checkStatusOk(co_await call(store, "PUT", "/v1/session/renew/" + session, {}, store.m_timeoutMs));
}

awaitable<Result<Done>> storeDestroySession(StoreClient &store, std::string session)
{
    co_return checkStatusOk(co_await call(store, "PUT", "/v1/session/destroy/" + session, {}, store.m_timeoutMs));
}

awaitable<Result<bool>> storeAcquire(StoreClient &store, std::string key, std::string value, std::string session)
{
    const Result<HttpReply> reply = co_await call(store, "PUT", "/v1/kv/" + key + "?acquire=" + session, std::move(value), store.m_timeoutMs);
    if (failed(reply)) {
        co_return errorOf(reply);
    }
    co_return valueOf(reply).m_body.compare(0, 4, "true") == 0;
}

awaitable<Result<Done>> storeRelease(StoreClient &store, std::string key, std::string session)
{
    co_return checkStatusOk(co_await call(store, "PUT", "/v1/kv/" + key + "?release=" + session, {}, store.m_timeoutMs));
}

awaitable<Result<std::vector<ListedVm>>> storeListVms(StoreClient &store)
{
    const Result<HttpReply> reply = co_await call(store, "GET", "/v1/catalog/service/engine", {}, store.m_timeoutMs);
    if (failed(reply)) {
        co_return errorOf(reply);
    }
    const Result<json::value> value = parseJson(valueOf(reply));
    if (failed(value)) {
        co_return errorOf(value);
    }
    try {
        std::vector<ListedVm> vms;
        for (const json::value &item : valueOf(value).as_array()) {
            const json::value &meta = item.at("ServiceMeta");
            ListedVm vm;
            vm.m_vm = json::value_to<std::string>(item.at("Node"));
            vm.m_address = json::value_to<std::string>(item.at("ServiceAddress")) + ":" + std::to_string(item.at("ServicePort").to_number<int>());
            vm.m_availabilityZone = json::value_to<std::string>(meta.at("availability_zone"));
            vm.m_domain = json::value_to<std::string>(meta.at("fabric_domain"));
            vm.m_leaving = json::value_to<std::string>(meta.at("state")) == "leaving";
            vms.push_back(std::move(vm));
        }
        co_return vms;
    } catch (const std::exception &exception) {
        co_return Error{ErrorCode::ProtocolViolation, std::string("VM list: ") + exception.what()};
    }
}
}
