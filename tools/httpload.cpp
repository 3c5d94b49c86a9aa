// Problem: real processes must receive load at a fixed rate regardless of their response times, and every response must be checked.
// Approach: an open loop with exponentially distributed gaps. The expected text follows from the request, and every step is recorded in a history.
// A closed loop sends less while the system is slow and so hides the worst latencies.

#include "tools/httpload.h"

#include "kernel/hashing.h"
#include "net/httpclient.h"
#include "net/keys.h"
#include "net/metrics.h"
#include "tools/historycheck.h"

#include <boost/json.hpp>

#include <fstream>
#include <iostream>
#include <map>
#include <random>

namespace knapweedslip
{
namespace json = boost::json;

namespace
{
constexpr std::int64_t ConnectTimeoutMs = 2'000;
constexpr std::int64_t ResponseSlackMs = 5'000;
constexpr int MaxSendsPerCall = 16;

struct LoadState
{
    explicit LoadState(const HttpLoadOptions &options)
        : m_options(options)
        , m_random(options.m_seed)
    {
    }

    const HttpLoadOptions &m_options;
    /** Declared before m_pool, because the pool's connections must be destroyed first. */
    asio::io_context m_context{1};
    Secret m_key;
    std::mt19937_64 m_random;
    ConnectionPool m_pool;
    HistoryEvents m_history;
    std::map<std::string, int> m_outcomes;
    LatencyHistogram m_firstTokenTime;
    LatencyHistogram m_responseTime;
    int m_openRequests = 0;
    int m_wrongResponses = 0;
};

void addEvent(LoadState &state, HistoryKind kind, const std::string &subject, const std::string &place, const std::string &key = {})
{
    state.m_history.push_back(HistoryEvent{steadyMs(), kind, subject, place, key, 0, false});
}

HttpRequest completionRequest(const LoadState &state, const std::string &name)
{
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/v1/completions";
    request.m_headers.emplace_back("Authorization", "Bearer " + state.m_key.m_text);
    request.m_headers.emplace_back("Content-Type", "application/json");
    request.m_headers.emplace_back("X-Deadline-Ms", std::to_string(state.m_options.m_deadlineMs));
    json::object body;
    body["model"] = state.m_options.m_model;
    body["prompt"] = name;
    body["max_tokens"] = state.m_options.m_maxTokens;
    body["stream"] = true;
    request.m_body = json::serialize(body);
    return request;
}

/** Text and end of an event stream. */
struct StreamResult
{
    std::string m_text;
    bool m_done = false;
    bool m_error = false;
};

void applyEvent(const std::string &data, StreamResult &result)
{
    if (data == "[DONE]") {
        result.m_done = true;
        return;
    }
    boost::system::error_code error;
    const json::value value = json::parse(data, error);
    if (error || !value.is_object()) {
        return;
    }
    const json::value *choices = value.as_object().if_contains("choices");
    if (choices != nullptr && choices->is_array() && !choices->as_array().empty()) {
        result.m_text += json::value_to<std::string>(choices->at(0).at("text"));
    }
    result.m_error = result.m_error || value.as_object().if_contains("error") != nullptr;
}

void finishRequest(LoadState &state, const std::string &name, const std::string &outcome, const std::string &text)
{
    ++state.m_outcomes[outcome];
    addEvent(state, HistoryKind::Answer, name, outcome, text);
    --state.m_openRequests;
}

awaitable<void> sendCompletion(LoadState &state, std::string target, std::string name)
{
    const std::int64_t startedMs = steadyMs();
    addEvent(state, HistoryKind::Invoke, name, {}, target);
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    HttpConnectionPtr connection = state.m_pool.take(executor, target, {});
    if (connection == nullptr) {
        Result<HttpConnectionPtr> connected = co_await httpConnect(target, ConnectTimeoutMs);
        if (failed(connected)) {
            finishRequest(state, name, "not-reached", {});
            co_return;
        }
        connection = std::move(valueOf(connected));
    }
    HttpStream stream(*connection);
    const HttpRequest request = completionRequest(state, name);
    const std::int64_t timeoutMs = state.m_options.m_deadlineMs + ResponseSlackMs;
    const Result<Done> opened = co_await stream.open(request, timeoutMs);
    if (failed(opened)) {
        finishRequest(state, name, connection->m_reused ? "not-reached" : "cut", {});
        co_return;
    }
    constexpr unsigned Ok = 200;
    const bool streamed = stream.status() == Ok;
    EventSplitter splitter;
    StreamResult result;
    bool cut = false;
    while (!stream.finished()) {
        const Result<std::string_view> chunk = co_await stream.read(timeoutMs);
        cut = failed(chunk);
        if (cut) {
            break;
        }
        if (streamed && result.m_text.empty() && !valueOf(chunk).empty()) {
            state.m_firstTokenTime.add(static_cast<double>(steadyMs() - startedMs));
        }
        for (const std::string &data : splitter.feed(valueOf(chunk))) {
            applyEvent(data, result);
        }
        cut = splitter.isTooLong();
        if (cut) {
            break;
        }
    }
    if (!streamed) {
        finishRequest(state, name, "refused-" + std::to_string(stream.status()), {});
    } else if (result.m_done && !result.m_error) {
        const bool isCorrect = result.m_text == expectedText(name);
        state.m_wrongResponses += isCorrect ? 0 : 1;
        state.m_responseTime.add(static_cast<double>(steadyMs() - startedMs));
        finishRequest(state, name, "whole", result.m_text);
    } else if (cut) {
        finishRequest(state, name, "cut", result.m_text);
    } else {
        // An error event, or a regular end of the HTTP body without the final [DONE] event.
        finishRequest(state, name, result.m_error ? "broken" : "silently-cut", result.m_text);
    }
    if (stream.finished()) {
        state.m_pool.give(std::move(connection));
    }
}

awaitable<void> sendPaidCall(LoadState &state, std::string target, std::string key, int number)
{
    const std::string name = key + "#" + std::to_string(number);
    addEvent(state, HistoryKind::Invoke, name, key);
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/services/" + state.m_options.m_service + "/orders";
    request.m_headers.emplace_back("Authorization", "Bearer " + state.m_key.m_text);
    request.m_headers.emplace_back("Idempotency-Key", key);
    request.m_headers.emplace_back("X-Deadline-Ms", std::to_string(state.m_options.m_deadlineMs));
    request.m_body = R"({"order":")" + key + R"("})";
    const Result<HttpReply> reply = co_await httpCall(state.m_pool, target, std::move(request), state.m_options.m_deadlineMs + ResponseSlackMs);
    std::string outcome = "lost";
    std::string body;
    if (!failed(reply)) {
        outcome = std::string(headerValue(valueOf(reply).m_headers, "X-Run-Outcome"));
        body = valueOf(reply).m_body;
    }
    finishRequest(state, name, outcome, body);
}

awaitable<void> completionLoop(LoadState &state)
{
    const std::int64_t endMs = steadyMs() + state.m_options.m_seconds * 1'000LL;
    std::exponential_distribution<double> gap(state.m_options.m_rate / 1'000.0);
    double nextMs = static_cast<double>(steadyMs());
    for (std::uint64_t number = 0; steadyMs() < endMs; ++number) {
        const std::string name =
            "p" + std::to_string(state.m_options.m_seed) + "-" + std::to_string(number) + "|" + std::to_string(state.m_options.m_maxTokens);
        const std::string target = state.m_options.m_targets[state.m_random() % state.m_options.m_targets.size()];
        ++state.m_openRequests;
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        asio::co_spawn(executor, sendCompletion(state, target, name), asio::detached);
        nextMs += gap(state.m_random);
        const std::int64_t pause = static_cast<std::int64_t>(nextMs) - steadyMs();
        if (pause > 0) {
            co_await sleepFor(pause);
        }
    }
}

awaitable<void> sendPaidCallLater(LoadState &state, std::string key, int number, std::int64_t delayMs)
{
    co_await sleepFor(delayMs);
    const std::string target = state.m_options.m_targets[state.m_random() % state.m_options.m_targets.size()];
    co_await sendPaidCall(state, target, key, number);
}

awaitable<void> paidLoop(LoadState &state)
{
    const std::int64_t endMs = steadyMs() + state.m_options.m_seconds * 1'000LL;
    std::exponential_distribution<double> gap(state.m_options.m_rate / 1'000.0);
    constexpr std::uint64_t MaxResendDelayMs = 1'500;
    for (std::uint64_t number = 0; steadyMs() < endMs; ++number) {
        const std::string key = "k" + std::to_string(state.m_options.m_seed) + "-" + std::to_string(number);
        for (int send = 0; send < std::min(MaxSendsPerCall, state.m_options.m_sendsPerCall); ++send) {
            ++state.m_openRequests;
            const std::int64_t delayMs = send == 0 ? 0 : static_cast<std::int64_t>(state.m_random() % MaxResendDelayMs);
            const asio::any_io_executor executor = co_await asio::this_coro::executor;
            asio::co_spawn(executor, sendPaidCallLater(state, key, send, delayMs), asio::detached);
        }
        co_await sleepFor(std::max<std::int64_t>(1, static_cast<std::int64_t>(gap(state.m_random))));
    }
}

void writeReport(const LoadState &state)
{
    json::object ends;
    for (const std::pair<const std::string, int> &entry : state.m_outcomes) {
        ends[entry.first] = entry.second;
        std::cout << entry.first << " " << entry.second << "\n";
    }
    json::object report;
    report["ends"] = std::move(ends);
    report["wrong"] = state.m_wrongResponses;
    for (const double q : {0.5, 0.95, 0.99}) {
        const std::string name = std::to_string(static_cast<int>(q * 100.0));
        report["first_token_p" + name + "_ms"] = state.m_firstTokenTime.quantile(q);
        report["whole_p" + name + "_ms"] = state.m_responseTime.quantile(q);
    }
    std::cout << "first token p50 " << state.m_firstTokenTime.quantile(0.5) << " ms, p99 " << state.m_firstTokenTime.quantile(0.99) << " ms; whole p50 "
              << state.m_responseTime.quantile(0.5) << " ms, p99 " << state.m_responseTime.quantile(0.99) << " ms\n";
    if (!state.m_options.m_report.empty()) {
        std::ofstream(state.m_options.m_report) << json::serialize(report) << "\n";
    }
    if (!state.m_options.m_history.empty()) {
        std::ofstream(state.m_options.m_history) << encodeHistory(state.m_history);
    }
}

Result<Done> runLoad(LoadState &state, awaitable<void> (*loop)(LoadState &))
{
    Result<Secret> key = readSecret(state.m_options.m_keyFile);
    if (failed(key)) {
        return errorOf(key);
    }
    state.m_key = valueOf(key);
    asio::co_spawn(state.m_context, loop(state), asio::detached);
    state.m_context.run();
    writeReport(state);
    return Done{};
}
}

std::string expectedText(const std::string &request)
{
    const std::size_t bar = request.rfind('|');
    const std::uint64_t tokens = bar == std::string::npos ? 0 : std::strtoull(request.c_str() + bar + 1, nullptr, 10);
    std::string text;
    for (std::uint64_t k = 0; k < tokens; ++k) {
        text += "w" + std::to_string(hash64(request, k) % 1'000) + " ";
    }
    return text;
}

int loadCompletions(const HttpLoadOptions &options)
{
    LoadState state(options);
    const Result<Done> done = runLoad(state, completionLoop);
    if (failed(done)) {
        std::cerr << describe(errorOf(done)) << "\n";
        return 2;
    }
    if (state.m_wrongResponses > 0) {
        std::cerr << state.m_wrongResponses << " responses were wrong\n";
    }
    const int bad = state.m_wrongResponses + state.m_outcomes["broken"] + state.m_outcomes["silently-cut"];
    return bad > 0 || (state.m_outcomes["cut"] > 0 && !options.m_allowCut) ? 1 : 0;
}

int loadPaid(const HttpLoadOptions &options)
{
    LoadState state(options);
    const Result<Done> done = runLoad(state, paidLoop);
    if (failed(done)) {
        std::cerr << describe(errorOf(done)) << "\n";
        return 2;
    }
    return 0;
}
}
