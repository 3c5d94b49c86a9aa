// Problem: callers reach any of several gateways and expect the same behaviour from each.
// Approach: the node holds the configuration and the peers. This program adds the server for callers and connects the scheduler, the intent
// ledger and the relays.

#include "daemons/gatewaycontext.h"
#include "daemons/modelrelay.h"
#include "daemons/servicecall.h"
#include "net/daemonmain.h"
#include "net/logging.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include <iostream>

namespace knapweedslip
{
namespace json = boost::json;

namespace
{
/** Retry-After for callers of a gateway that has no plan yet. */
constexpr std::int64_t NoPlanRetryAfterMs = 1'000;

HttpReply listModels(const GatewayTable &table)
{
    json::array models;
    for (const ModelPlan &model : table.m_routes->m_plan.m_models) {
        models.push_back(json::object{{"id", model.m_name}, {"object", "model"}, {"version", model.m_version}});
    }
    return jsonReply(200, json::serialize(json::object{{"object", "list"}, {"data", std::move(models)}}));
}

awaitable<void> serveCaller(GatewayContext &context, HttpExchange &exchange)
{
    const std::string path(pathOf(exchange.request().m_target));
    const std::shared_ptr<const GatewayTable> table = currentTable(context);
    if (table == nullptr) {
        co_await exchange.respond(problemWithOutcome(Error{ErrorCode::StaleConfiguration, "no plan yet"}, NoPlanRetryAfterMs, RunOutcome::NotRun));
        co_return;
    }
    if (path == "/v1/completions" || path == "/v1/chat/completions") {
        Result<CompletionCall> call = parseCompletion(context, *table, exchange.request());
        if (failed(call)) {
            co_await exchange.respond(problemReply(errorOf(call)));
            co_return;
        }
        co_await relayCompletion(context, exchange, std::move(valueOf(call)));
        co_return;
    }
    if (path.compare(0, 10, "/services/") == 0) {
        Result<ServiceCall> call = parseServiceCall(context, *table, exchange.request());
        if (failed(call)) {
            co_await exchange.respond(problemWithOutcome(errorOf(call), 0, RunOutcome::NotRun));
            co_return;
        }
        co_await relayServiceCall(context, exchange, std::move(valueOf(call)));
        co_return;
    }
    if (path == "/v1/models") {
        const Result<std::string> workspace = authenticate(*table, exchange.request());
        HttpReply reply = failed(workspace) ? problemReply(errorOf(workspace)) : listModels(*table);
        co_await exchange.respond(std::move(reply));
    }
}

void applyView(GatewayContext &context, const DocumentView &view)
{
    Result<std::shared_ptr<const RouteTable>> table = buildRouteTable(view);
    if (failed(table)) {
        logEvent(LogEvent::PlanUnreadable, {{"error", describe(errorOf(table))}});
        return;
    }
    context.m_table.publish(makeGatewayTable(valueOf(table)));
    context.m_dispatcher->setTable(valueOf(table));
}

void applyFreshness(GatewayContext &context, Freshness freshness)
{
    context.m_dispatcher->setAccepting(freshness != Freshness::Stale, ErrorCode::StaleConfiguration);
}

awaitable<void> tickLoop(GatewayContext &context)
{
    while (true) {
        co_await sleepFor(Scheduler::TickMs);
        context.m_dispatcher->setGateways(availableMembers(context.m_node->membership(), Role::Gateway, steadyMs()));
        context.m_dispatcher->tick();
        for (const UpstreamReport &report : context.m_dispatcher->isolatedUpstreams()) {
            context.m_node->report(report);
        }
    }
}

std::string gatewayMetrics(GatewayContext &context)
{
    const SchedulerCounters counters = context.m_dispatcher->counters();
    const GatewayMetrics &metrics = context.m_metrics;
    std::string text = metrics.m_firstTokenMs.expose("knapweedslip_first_token_ms", "Time to the first token");
    text += metrics.m_responseMs.expose("knapweedslip_request_ms", "Time to the end of an answer");
    const auto add = [&text](const char *name, const char *help, std::uint64_t value) {
        text += exposeMetric(name, help, static_cast<double>(value), false);
    };
    add("knapweedslip_answers_total", "Whole answers given", metrics.m_answered);
    add("knapweedslip_tokens_total", "Tokens relayed", metrics.m_tokens);
    add("knapweedslip_resumed_total", "Answers continued by another upstream", metrics.m_resumed);
    add("knapweedslip_broken_total", "Answers that ended in an error event", metrics.m_broken);
    add("knapweedslip_unknown_outcomes_total", "Calls whose outcome is not known", metrics.m_unknownOutcomes);
    add("knapweedslip_dispatched_total", "Attempts dispatched", counters.m_dispatched);
    add("knapweedslip_refused_total", "Requests refused", counters.m_refused);
    add("knapweedslip_queued_total", "Requests that had to wait", counters.m_queued);
    add("knapweedslip_retried_total", "Retries", counters.m_retried);
    add("knapweedslip_retries_denied_total", "Retries denied by the budget", counters.m_retriesDenied);
    add("knapweedslip_intent_operations_total", "Operations of the intent ledger", context.m_ledger->operations());
    add("knapweedslip_intent_writes_total", "Writes of the intent ledger", context.m_ledger->writes());
    return text;
}

SchedulerSettings schedulerSettings(const GatewaySettings &settings)
{
    constexpr double PerCent = 0.01;
    SchedulerSettings scheduler;
    scheduler.m_self = settings.m_common.m_name;
    scheduler.m_routePolicy = settings.m_routePolicy;
    scheduler.m_admissionPolicy = settings.m_admissionPolicy;
    scheduler.m_retryRatio = settings.m_retryPercent * PerCent;
    scheduler.m_seed = randomId();
    return scheduler;
}

NodeHooks gatewayHooks(GatewayContext &context, std::shared_ptr<HttpServer> &server)
{
    NodeHooks hooks;
    hooks.m_onView = [&context](const DocumentView &view) {
        applyView(context, view);
    };
    hooks.m_onReport = [&context](const UpstreamReport &report) {
        context.m_dispatcher->report(report);
    };
    hooks.m_onCrashRecord = [&context](const CrashRecord &record) {
        context.m_dispatcher->mergeCrashRecord(record);
    };
    hooks.m_crashRecords = [&context]() {
        return context.m_dispatcher->crashRecords();
    };
    hooks.m_onFreshness = [&context](Freshness freshness) {
        applyFreshness(context, freshness);
    };
    hooks.m_dump = [&context]() {
        return context.m_dispatcher->dump();
    };
    hooks.m_metrics = [&context, &server]() {
        return gatewayMetrics(context) + (server == nullptr ? std::string() : ingressMetrics(server->ingressCounts()));
    };
    hooks.m_onStopAccepting = [&server]() {
        server->stopAccepting();
    };
    hooks.m_isDrained = [&context, &server]() {
        return server->activeRequests() == 0 && context.m_ledger->pending() == 0;
    };
    return hooks;
}

int runGateway(const GatewaySettings &settings)
{
    Result<std::unique_ptr<Dispatcher>> dispatcher = Dispatcher::create(schedulerSettings(settings));
    if (failed(dispatcher)) {
        std::cerr << describe(errorOf(dispatcher)) << "\n";
        return ExitBadSettings;
    }
    IoThreads threads(settings.m_common.m_workerThreads);
    GatewayContext context;
    context.m_settings = settings;
    context.m_dispatcher = std::move(valueOf(dispatcher));
    context.m_dispatcher->setAccepting(false, ErrorCode::StaleConfiguration);
    std::shared_ptr<HttpServer> server;
    Node node(threads, settings.m_common, gatewayHooks(context, server));
    context.m_node = &node;
    const std::string incarnation = std::to_string(node.membership().m_self.m_incarnation);
    context.m_ledger = std::make_unique<IntentLedger>(node, settings.m_common.m_name + "/" + incarnation, settings.m_intentWritesPerSecond);
    HttpServerLimits limits;
    limits.m_maxBodyBytes = static_cast<std::size_t>(settings.m_maxBodyBytes);
    limits.m_budget = settings.m_ingress;
    Result<std::shared_ptr<HttpServer>> listening = HttpServer::create(
        threads.workers(),
        settings.m_common.m_listen,
        [&context](HttpExchange &exchange) {
            return serveCaller(context, exchange);
        },
        limits);
    if (failed(listening)) {
        logEvent(LogEvent::ListenFailed, {{"error", describe(errorOf(listening))}});
        return ExitCannotListen;
    }
    server = valueOf(listening);
    asio::co_spawn(threads.control(), tickLoop(context), asio::detached);
    return runNode(node);
}
}
}

int main(int argc, char **argv)
{
    using namespace knapweedslip;
    return daemonMain<GatewaySettings>(
        argc, argv, "knapweedslip-gateway", "Serves callers and routes their requests to upstreams", readGatewaySettings, runGateway);
}
