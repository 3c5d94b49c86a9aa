// Problem: daemons must be tested against engines that start cold, crash, cut streams, respond late or with another request's id, and check or
// ignore fencing tokens.
// Approach: one object per VM serves the engine API and can be told to inject faults. Each token is a function of prompt and offset, so that a
// caller can check a response assembled from several engines.

#include "standins/enginevm.h"

#include "kernel/hashing.h"
#include "net/jsonfields.h"

#include <boost/json.hpp>

namespace knapweedslip::standin
{
namespace json = boost::json;

namespace
{
constexpr const char *PoisonMarker = "POISON";
constexpr std::uint64_t DefaultTokens = 16;
constexpr std::uint64_t MaxTokens = 100'000;
/** Number of tokens between two checks that all members respond. */
constexpr std::uint64_t TokensBetweenMemberChecks = 4;
constexpr std::int64_t MemberTimeoutMs = 300;

std::string tokenText(const std::string &prompt, std::uint64_t offset)
{
    return "w" + std::to_string(hash64(prompt, offset) % 1'000) + " ";
}

/** Returns @p text as a JSON string with quotes. */
std::string quote(const std::string &text)
{
    return json::serialize(json::value(text));
}
}

EngineVm::EngineVm(std::string vm, const EngineOptions &options, History &history)
    : m_vm(std::move(vm))
    , m_options(options)
    , m_history(history)
{
    startNewBoot();
}

void EngineVm::startNewBoot()
{
    m_bootId = m_vm + "-" + toHex(randomId());
    m_loaded.clear();
    m_group.clear();
    m_generation = 0;
    m_fencingToken = 0;
    m_peers.clear();
    m_running = 0;
}

bool EngineVm::isDown() const
{
    return steadyMs() < m_downUntilMs;
}

bool EngineVm::isLoading() const
{
    return steadyMs() < m_loadedAtMs;
}

bool EngineVm::isCold() const
{
    return steadyMs() < m_coldUntilMs;
}

void EngineVm::crash(const std::string &cause)
{
    record(m_history, "crash", "\"vm\":" + quote(m_vm) + ",\"cause\":" + quote(cause));
    m_downUntilMs = steadyMs() + m_options.m_restartMs;
    startNewBoot();
}

HttpReply EngineVm::status() const
{
    json::object object;
    object["vm"] = m_vm;
    object["boot_id"] = m_bootId;
    object["group"] = m_group;
    object["generation"] = m_generation;
    object["loaded"] = m_loaded;
    object["loading"] = isLoading();
    object["cold"] = isCold();
    object["leaving"] = m_faults.m_leaving;
    object["running"] = m_running;
    return jsonReply(200, json::serialize(object));
}

HttpReply EngineVm::makeRefusal(const std::string &reason) const
{
    HttpReply reply = jsonReply(503, json::serialize(json::object{{"error", reason}}));
    reply.m_headers.emplace_back("X-Not-Run", reason);
    reply.m_headers.emplace_back("X-Engine-Boot", m_bootId);
    if (m_faults.m_leaving) {
        reply.m_headers.emplace_back("X-Engine-Leaving", "1");
    }
    return reply;
}

void EngineVm::setFaults(const std::string &body)
{
    const json::object object = parseJsonObject(body);
    m_faults.m_frozen = boolField(object, "frozen", m_faults.m_frozen);
    m_faults.m_leaving = boolField(object, "leaving", m_faults.m_leaving);
    m_faults.m_wrongRequestId = boolField(object, "crossed", m_faults.m_wrongRequestId);
    m_faults.m_slowTokenMs = integerField(object, "slow_token_ms", m_faults.m_slowTokenMs);
    m_faults.m_cutAfter = integerField(object, "cut_after", m_faults.m_cutAfter);
    m_faults.m_skipAt = integerField(object, "skip_at", m_faults.m_skipAt);
    m_faults.m_repeatAt = integerField(object, "repeat_at", m_faults.m_repeatAt);
    if (object.if_contains("turn_cold") != nullptr) {
        m_coldUntilMs = steadyMs() + integerField(object, "turn_cold", 0);
    }
    if (object.if_contains("crash") != nullptr) {
        crash("fault");
        m_downUntilMs = steadyMs() + integerField(object, "crash", m_options.m_restartMs);
    }
}

awaitable<void> EngineVm::serve(HttpExchange &exchange)
{
    const std::string path(pathOf(exchange.request().m_target));
    if (path == "/standin/faults") {
        setFaults(exchange.request().m_body);
        co_await exchange.respond(jsonReply(200, "{}"));
        co_return;
    }
    if (path == "/standin/history") {
        co_await exchange.respond(jsonReply(200, dumpHistory(m_history)));
        co_return;
    }
    while (m_faults.m_frozen) {
        co_await sleepFor(10);
    }
    if (isDown()) {
        exchange.abort();
        co_return;
    }
    if (path == "/control/status") {
        co_await exchange.respond(status());
    } else if (path == "/control/order") {
        co_await serveOrder(exchange);
    } else if (path == "/v1/completions") {
        co_await serveCompletion(exchange);
    }
}

awaitable<void> EngineVm::serveOrder(HttpExchange &exchange)
{
    const json::object object = parseJsonObject(exchange.request().m_body);
    const std::uint64_t fencingToken = static_cast<std::uint64_t>(integerField(object, "fence", 0));
    const bool otherProcess = stringField(object, "boot_id") != m_bootId;
    if (otherProcess || (m_options.m_checkFencingToken && fencingToken < m_fencingToken)) {
        co_await exchange.respond(jsonReply(409, R"({"error":"old order"})"));
        co_return;
    }
    m_fencingToken = fencingToken;
    if (stringField(object, "kind") == "release") {
        m_group.clear();
        m_generation = 0;
        m_peers.clear();
        record(m_history, "released", "\"vm\":" + quote(m_vm));
        co_await exchange.respond(jsonReply(200, "{}"));
        co_return;
    }
    const std::string loaded = stringField(object, "loaded");
    const std::int64_t nowMs = steadyMs();
    if (loaded != m_loaded) {
        m_loadedAtMs = nowMs + m_options.m_loadMs;
    }
    m_coldUntilMs = std::max(nowMs, m_loadedAtMs) + m_options.m_coldMs;
    m_loaded = loaded;
    m_group = stringField(object, "group");
    m_generation = static_cast<std::uint64_t>(integerField(object, "generation", 0));
    m_rank = static_cast<int>(integerField(object, "rank", 0));
    m_peers.clear();
    if (const json::value *peers = object.if_contains("peers")) {
        for (const json::value &peer : peers->as_array()) {
            m_peers.push_back(json::value_to<std::string>(peer));
        }
    }
    record(m_history, "joined", "\"vm\":" + quote(m_vm) + ",\"group\":" + quote(m_group) + ",\"generation\":" + std::to_string(m_generation));
    co_await exchange.respond(jsonReply(200, "{}"));
}

awaitable<bool> EngineVm::membersRespond()
{
    const std::vector<std::string> peers = m_peers;
    const std::uint64_t generation = m_generation;
    for (const std::string &address : peers) {
        HttpRequest request;
        request.m_target = "/control/status";
        const Result<HttpReply> reply = co_await httpCall(m_pool, address, std::move(request), MemberTimeoutMs);
        if (failed(reply) || integerField(parseJsonObject(valueOf(reply).m_body), "generation", 0) != static_cast<std::int64_t>(generation)) {
            co_return false;
        }
    }
    co_return true;
}

awaitable<void> EngineVm::serveCompletion(HttpExchange &exchange)
{
    const HttpRequest request = exchange.request();
    const json::object object = parseJsonObject(request.m_body);
    const std::string requestId(headerValue(request.m_headers, "X-Request-Id"));
    const std::string generation(headerValue(request.m_headers, "X-Group-Generation"));
    if (m_faults.m_leaving || isLoading() || m_rank != 0 || generation != std::to_string(m_generation)) {
        co_await exchange.respond(makeRefusal(m_faults.m_leaving ? "leaving" : "not-this-group"));
        co_return;
    }
    if (m_running >= m_options.m_maxRequests) {
        co_await exchange.respond(makeRefusal("full"));
        co_return;
    }
    const std::string bootId = m_bootId;
    ++m_running;
    record(m_history,
           "run",
           "\"vm\":" + quote(m_vm) + ",\"request\":" + quote(requestId) + ",\"group\":" + quote(m_group) + ",\"generation\":" + generation
               + ",\"cold\":" + (isCold() ? "true" : "false") + ",\"running\":" + std::to_string(m_running));
    if (isCold() && m_running > m_options.m_coldRequests) {
        crash("cold overload");
        exchange.abort();
        co_return;
    }
    const std::string prompt = stringField(object, "prompt");
    if (prompt.find(PoisonMarker) != std::string::npos) {
        crash("poison");
        exchange.abort();
        co_return;
    }
    const std::string offset(headerValue(request.m_headers, "X-Resume-Offset"));
    const std::uint64_t count = std::min(MaxTokens, static_cast<std::uint64_t>(integerField(object, "max_tokens", DefaultTokens)));
    co_await streamTokens(exchange, requestId, prompt, std::strtoull(offset.c_str(), nullptr, 10), count);
    if (bootId == m_bootId) {
        --m_running;
    }
}

awaitable<void> EngineVm::streamTokens(HttpExchange &exchange, std::string requestId, std::string prompt, std::uint64_t offset, std::uint64_t count)
{
    const std::string bootId = m_bootId;
    const std::uint64_t generation = m_generation;
    co_await sleepFor(m_options.m_firstTokenMs);
    const bool complete = co_await membersRespond();
    if (bootId != m_bootId || !complete) {
        exchange.abort();
        co_return;
    }
    const HeaderFields headers{{"Content-Type", "text/event-stream"},
                               {"X-Engine-Boot", bootId},
                               {"X-Engine-Cold", isCold() ? "1" : "0"},
                               {"X-Engine-Leaving", m_faults.m_leaving ? "1" : "0"},
                               {"X-Engine-Running", std::to_string(m_running)}};
    Result<Done> sent = co_await exchange.beginStream(200, headers);
    const EngineFaults faults = m_faults;
    m_faults.m_cutAfter = -1;
    m_faults.m_skipAt = -1;
    m_faults.m_repeatAt = -1;
    m_faults.m_wrongRequestId = false;
    const std::string id = faults.m_wrongRequestId ? "someone-else" : requestId;
    std::int64_t offsetShift = 0;
    for (std::uint64_t k = offset; k < count && !failed(sent); ++k) {
        if (faults.m_cutAfter >= 0 && static_cast<std::int64_t>(k - offset) >= faults.m_cutAfter) {
            exchange.abort();
            co_return;
        }
        offsetShift += faults.m_skipAt == static_cast<std::int64_t>(k) ? 1 : 0;
        offsetShift -= faults.m_repeatAt == static_cast<std::int64_t>(k) ? 1 : 0;
        const std::uint64_t eventOffset = k + static_cast<std::uint64_t>(offsetShift);
        const std::string event = "data: {\"id\":" + quote(id) + ",\"generation\":" + std::to_string(generation) + ",\"offset\":" + std::to_string(eventOffset)
                                  + ",\"text\":" + quote(tokenText(prompt, eventOffset)) + "}\n\n";
        sent = co_await exchange.writeChunk(event);
        co_await sleepFor(m_options.m_tokenMs + m_faults.m_slowTokenMs);
        while (m_faults.m_frozen) {
            co_await sleepFor(10);
        }
        bool stillServing = bootId == m_bootId && !isDown();
        if (stillServing && (k + 1) % TokensBetweenMemberChecks == 0) {
            stillServing = co_await membersRespond();
        }
        if (!stillServing) {
            exchange.abort();
            co_return;
        }
    }
    if (failed(sent)) {
        co_return;
    }
    const std::string last =
        "data: {\"id\":" + quote(id) + ",\"generation\":" + std::to_string(generation) + ",\"offset\":" + std::to_string(count) + ",\"last\":true}\n\n";
    sent = co_await exchange.writeChunk(last);
    if (!failed(sent)) {
        co_await exchange.endStream();
    }
    record(m_history, "ran", "\"vm\":" + quote(m_vm) + ",\"request\":" + quote(requestId));
}
}
