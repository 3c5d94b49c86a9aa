// Problem: paid actions need a plain service that shows how often each was run.
// Approach: every call is recorded before its answer is sent; faults: {"lose_answers":n, "slow_ms":n, "leaving":bool, "refuse":bool,
// "crash":ms, "turn_cold":ms}.

#include "net/httpserver.h"
#include "net/iothreads.h"
#include "standins/history.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include <csignal>
#include <iostream>

namespace knapweedslip::standin {
namespace json = boost::json;

namespace {
struct Service {
    std::string m_vm;
    std::string m_bootId;
    std::int64_t m_workMs = 5;
    std::int64_t m_slowMs = 0;
    std::int64_t m_loseAnswers = 0;
    std::int64_t m_downUntilMs = 0;
    std::int64_t m_coldUntilMs = 0;
    bool m_leaving = false;
    bool m_refuse = false;
    int m_running = 0;
    std::uint64_t m_runs = 0;
    History m_history;
};

std::string quote(std::string_view text)
{
    return json::serialize(json::value(json::string(text)));
}

void setFaults(Service &service, const std::string &body)
{
    boost::system::error_code error;
    const json::value value = json::parse(body, error);
    if (error || !value.is_object()) {
        return;
    }
    const json::object &object = value.as_object();
    const auto number = [&](const char *key, std::int64_t fallback) {
        const json::value *found = object.if_contains(key);
        return found == nullptr ? fallback : found->to_number<std::int64_t>();
    };
    service.m_loseAnswers = number("lose_answers", service.m_loseAnswers);
    service.m_slowMs = number("slow_ms", service.m_slowMs);
    if (const json::value *leaving = object.if_contains("leaving")) {
        service.m_leaving = leaving->as_bool();
    }
    if (const json::value *refuse = object.if_contains("refuse")) {
        service.m_refuse = refuse->as_bool();
    }
    if (object.if_contains("turn_cold") != nullptr) {
        service.m_coldUntilMs = steadyMs() + number("turn_cold", 0);
    }
    if (object.if_contains("crash") != nullptr) {
        service.m_downUntilMs = steadyMs() + number("crash", 0);
        service.m_bootId = service.m_vm + "-" + toHex(randomId());
        service.m_running = 0;
    }
}

HttpReply status(const Service &service)
{
    json::object object;
    object["vm"] = service.m_vm;
    object["boot_id"] = service.m_bootId;
    object["cold"] = steadyMs() < service.m_coldUntilMs;
    object["leaving"] = service.m_leaving;
    object["running"] = service.m_running;
    return jsonReply(200, json::serialize(object));
}

awaitable<void> serveCall(Service &service, HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    if (service.m_leaving || service.m_refuse) {
        HttpReply reply = jsonReply(503, R"({"error":"refused"})");
        reply.m_headers.emplace_back("X-Not-Run", service.m_leaving ? "leaving" : "refused");
        reply.m_headers.emplace_back("X-Engine-Leaving", service.m_leaving ? "1" : "0");
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    const std::string bootId = service.m_bootId;
    ++service.m_running;
    const std::uint64_t run = ++service.m_runs;
    record(service.m_history,
           "run",
           "\"vm\":" + quote(service.m_vm) + ",\"method\":" + quote(request.m_method) + ",\"key\":" + quote(headerValue(request.m_headers, "Idempotency-Key"))
               + ",\"request\":" + quote(headerValue(request.m_headers, "X-Request-Id")) + ",\"running\":" + std::to_string(service.m_running)
               + ",\"cold\":" + (steadyMs() < service.m_coldUntilMs ? "true" : "false"));
    co_await sleepFor(service.m_workMs + service.m_slowMs);
    if (bootId != service.m_bootId) {
        exchange.abort();
        co_return;
    }
    --service.m_running;
    if (service.m_loseAnswers > 0 && request.m_method != "GET") {
        --service.m_loseAnswers;
        exchange.abort();
        co_return;
    }
    HttpReply reply = jsonReply(200, json::serialize(json::object{{"vm", service.m_vm}, {"run", run}, {"echo", request.m_body}}));
    reply.m_headers.emplace_back("X-Request-Id", std::string(headerValue(request.m_headers, "X-Request-Id")));
    reply.m_headers.emplace_back("X-Engine-Boot", bootId);
    reply.m_headers.emplace_back("X-Engine-Running", std::to_string(service.m_running));
    reply.m_headers.emplace_back("X-Engine-Cold", steadyMs() < service.m_coldUntilMs ? "1" : "0");
    co_await exchange.respond(std::move(reply));
}

awaitable<void> serve(Service &service, HttpExchange &exchange)
{
    const std::string path(pathOf(exchange.request().m_target));
    if (path == "/standin/faults") {
        setFaults(service, exchange.request().m_body);
        co_await exchange.respond(jsonReply(200, "{}"));
    } else if (path == "/standin/history") {
        co_await exchange.respond(jsonReply(200, dumpHistory(service.m_history)));
    } else if (steadyMs() < service.m_downUntilMs) {
        exchange.abort();
    } else if (path == "/control/status") {
        co_await exchange.respond(status(service));
    } else {
        co_await serveCall(service, exchange);
    }
}
}

int run(Service &service, const std::string &listen, std::int64_t coldMs)
{
    service.m_bootId = service.m_vm + "-" + toHex(randomId());
    service.m_coldUntilMs = steadyMs() + coldMs;
    IoThreads threads(0);
    Result<std::shared_ptr<HttpServer>> server = HttpServer::create({&threads.control()}, listen, [&service](HttpExchange &exchange) {
        return serve(service, exchange);
    });
    if (failed(server)) {
        std::cerr << describe(errorOf(server)) << "\n";
        return 2;
    }
    asio::signal_set signals(threads.control(), SIGTERM, SIGINT);
    signals.async_wait([&threads](const boost::system::error_code &, int) {
        threads.stop();
    });
    threads.run();
    return 0;
}
}

int main(int argc, char **argv)
{
    CLI::App app("Stand-in of a plain service VM with faults on request");
    knapweedslip::standin::Service service;
    std::string listen;
    std::int64_t coldMs = 0;
    app.add_option("--listen", listen, "ip:port")->required();
    app.add_option("--vm", service.m_vm, "name of the VM")->required();
    app.add_option("--work-ms", service.m_workMs, "time a call takes");
    app.add_option("--cold-ms", coldMs, "how long the service is cold after its start");
    CLI11_PARSE(app, argc, argv);
    return knapweedslip::standin::run(service, listen, coldMs);
}
