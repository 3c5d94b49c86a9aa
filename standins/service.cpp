// Problem: tests of paid calls need a service that shows how often each call ran.
// Approach: record every call before its response is sent. PUT /standin/faults injects faults: {"lose_answers":n, "slow_ms":n, "leaving":bool,
// "refuse":bool, "crash":ms, "turn_cold":ms}.

#include "net/jsonfields.h"
#include "standins/history.h"
#include "standins/serve.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

namespace knapweedslip::standin
{
namespace json = boost::json;

namespace
{
struct Service
{
    std::string m_vm;
    std::string m_bootId;
    std::int64_t m_workMs = 5;
    std::int64_t m_slowMs = 0;
    /** Number of calls, other than GET, that run but get no response. */
    std::int64_t m_responsesToDrop = 0;
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
    const json::object object = parseJsonObject(body);
    service.m_responsesToDrop = integerField(object, "lose_answers", service.m_responsesToDrop);
    service.m_slowMs = integerField(object, "slow_ms", service.m_slowMs);
    service.m_leaving = boolField(object, "leaving", service.m_leaving);
    service.m_refuse = boolField(object, "refuse", service.m_refuse);
    if (object.if_contains("turn_cold") != nullptr) {
        service.m_coldUntilMs = steadyMs() + integerField(object, "turn_cold");
    }
    if (object.if_contains("crash") != nullptr) {
        service.m_downUntilMs = steadyMs() + integerField(object, "crash");
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
        reply.m_headers.emplace_back("X-Request-Id", std::string(headerValue(request.m_headers, "X-Request-Id")));
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
    if (service.m_responsesToDrop > 0 && request.m_method != "GET") {
        --service.m_responsesToDrop;
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
    std::vector<std::shared_ptr<HttpServer>> servers;
    const bool listens = listenOn(
        threads,
        listen,
        [&service](HttpExchange &exchange) {
            return serve(service, exchange);
        },
        servers);
    if (!listens) {
        return 2;
    }
    runUntilSignal(threads);
    return 0;
}
}

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for a service VM, with fault injection");
    knapweedslip::standin::Service service;
    std::string listen;
    std::int64_t coldMs = 0;
    app.add_option("--listen", listen, "ip:port")->required();
    app.add_option("--vm", service.m_vm, "name of the VM")->required();
    app.add_option("--work-ms", service.m_workMs, "time that a call takes");
    app.add_option("--cold-ms", coldMs, "time for which the service is cold after its start");
    CLI11_PARSE(app, argc, argv);
    return knapweedslip::standin::run(service, listen, coldMs);
}
