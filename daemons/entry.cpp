// Problem: on the hosting platform every entry VM must serve clients' requests, follow the store, and be able to become the leader.
// Approach: one small process. One thread makes all decisions, since the VM has only a fraction of a processor; a second thread writes the
// log. Each task is a coroutine that works on one shared state.
// Separate processes for gateway and controller would each need memory and a copy of the deployment's state on every one of these VMs.

#include "daemons/entryadmission.h"
#include "daemons/entrycall.h"
#include "daemons/entrycrashes.h"
#include "daemons/entryloadreports.h"
#include "daemons/entryreconciler.h"
#include "daemons/entryremovals.h"
#include "daemons/entrystore.h"
#include "daemons/entrystoreupdates.h"
#include "net/logging.h"
#include "platform/names.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <filesystem>
#include <iostream>

namespace knapweedslip
{
namespace
{
constexpr int ExitBadSettings = 2;
constexpr int ExitCannotListen = 4;
/** Interval between checks of the running requests, in ms: a fraction of the shortest silence that counts as a stall. */
constexpr std::int64_t SuperviseIntervalMs = 15;
/**
 * The daemon is ready while its configuration was confirmed to be current within this time, in ms: the balancer polls once a second and acts on
 * two failed polls.
 */
constexpr std::int64_t MaxReadyConfirmationAgeMs = 3'500;
/** Interval between checks of the settings file, in ms: it may change without a signal. */
constexpr std::int64_t SettingsPollMs = 1'000;

bool isReady(const EntryContext &context)
{
    const bool current = context.m_confirmedMs >= 0 && steadyMs() - context.m_confirmedMs < MaxReadyConfirmationAgeMs;
    return !context.m_stopping && context.m_config != nullptr && current;
}

awaitable<void> serveReadiness(EntryContext &context, HttpExchange &exchange)
{
    HttpReply reply;
    reply.m_status = pathOf(exchange.request().m_target) != platform::path::Ready ? 404 : isReady(context) ? 200 : 503;
    co_await exchange.respond(std::move(reply));
}

std::string metricsText(EntryContext &context)
{
    const EntryMetrics &metrics = context.m_metrics;
    std::string text = metrics.m_firstEvent.expose("knapweedslip_first_event_ms", "Time to the first event of a stream");
    text += metrics.m_answers.expose("knapweedslip_request_ms", "Time to the end of a request");
    const auto add = [&text](const char *name, const char *help, std::uint64_t value) {
        text += exposeMetric(name, help, static_cast<double>(value), false);
    };
    add("knapweedslip_requests_total", "Requests of clients", metrics.m_requests);
    add("knapweedslip_answers_total", "Answers of upstreams passed on", metrics.m_answered);
    add("knapweedslip_cut_total", "Streams cut before their end", metrics.m_cut);
    add("knapweedslip_resumed_total", "Streams continued at another group", metrics.m_resumed);
    add("knapweedslip_resent_total", "Requests sent once more", metrics.m_resent);
    add("knapweedslip_events_total", "Events passed on", metrics.m_events);
    add("knapweedslip_silences_total", "Groups found silent", metrics.m_silences);
    add("knapweedslip_cold_sent_total", "Requests sent to cold upstreams", metrics.m_coldSent);
    add("knapweedslip_cold_withheld_total", "Choices of a cold upstream that its rate limit did not allow", metrics.m_coldWithheld);
    add("knapweedslip_said_leaving_total", "Upstreams whose answers said that they leave", metrics.m_saidLeaving);
    add("knapweedslip_turned_away_total", "Times that an upstream began to turn requests away for a time that it gave", metrics.m_turnedAway);
    add("knapweedslip_retry_after_ignored_total", "Answers that gave that time in a form that is ignored", metrics.m_retryAfterIgnored);
    add("knapweedslip_other_answers_total", "Late answers to other requests that were dropped", metrics.m_otherAnswers);
    add("knapweedslip_upstreams_ended_total",
        "Upstreams that ended while a request of this daemon had just begun to run there",
        metrics.m_endChecks.at(static_cast<std::size_t>(EndCheckOutcome::Ended)));
    add("knapweedslip_orders_total", "Orders given to engines", metrics.m_orders);
    add("knapweedslip_probes_total", "Engines asked for a report", metrics.m_probes);
    add("knapweedslip_store_calls_total", "Calls to the platform's store", context.m_store.m_calls);
    add("knapweedslip_store_eras_unreadable_total", "Answers of the store whose era could not be read", context.m_store.m_unreadableEras);
    add("knapweedslip_news_served_total", "Questions of other daemons for the store's news", metrics.m_updatesServed);
    add("knapweedslip_news_asked_total", "Questions to other daemons for the store's news", metrics.m_updatesRequested);
    add("knapweedslip_log_lines_dropped_total", "Log lines dropped", droppedLogLines());
    for (std::size_t i = 0; i < metrics.m_refused.size(); ++i) {
        text += "knapweedslip_refused_total{reason=\"" + std::string(RefusalReasonNames.at(i)) + "\"} " + std::to_string(metrics.m_refused.at(i)) + "\n";
    }
    for (std::size_t i = 0; i < metrics.m_unanswered.size(); ++i) {
        text += "knapweedslip_unanswered_total{ended_by=\"" + std::string(AbortCauseNames.at(i)) + "\"} " + std::to_string(metrics.m_unanswered.at(i)) + "\n";
    }
    for (std::size_t i = 0; i < metrics.m_endChecks.size(); ++i) {
        text +=
            "knapweedslip_end_checks_total{outcome=\"" + std::string(EndCheckOutcomeNames.at(i)) + "\"} " + std::to_string(metrics.m_endChecks.at(i)) + "\n";
    }
    const auto withheld = context.m_availability.count(steadyMs());
    for (std::size_t i = 0; i < withheld.size(); ++i) {
        text += "knapweedslip_upstreams{withheld=\"" + std::string(WithheldReasonNames.at(i)) + "\"} " + std::to_string(withheld.at(i)) + "\n";
    }
    text += admissionMetrics(context);
    text += ingressMetrics(context.m_clientServer->ingressCounts());
    text += backlogMetrics(*context.m_clientBacklogs);
    const std::int64_t confirmationAgeMs = context.m_confirmedMs < 0 ? -1 : steadyMs() - context.m_confirmedMs;
    text += exposeMetric("knapweedslip_config_age_ms", "Age of the proof that the configuration is current", static_cast<double>(confirmationAgeMs), true);
    text += exposeMetric("knapweedslip_daemons", "Daemons that share the limits", static_cast<double>(context.m_coldMembers.count(steadyMs())), true);
    text += exposeMetric("knapweedslip_crash_observations",
                         "Observations of all daemons about requests under which upstreams ended",
                         static_cast<double>(context.m_crashLedger.size()),
                         true);
    text += exposeMetric("knapweedslip_running", "Requests being served", static_cast<double>(context.m_running.size()), true);
    return text;
}

awaitable<void> serveMetrics(EntryContext &context, HttpExchange &exchange)
{
    if (pathOf(exchange.request().m_target) == "/metrics") {
        HttpReply reply;
        reply.m_headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
        reply.m_body = metricsText(context);
        co_await exchange.respond(std::move(reply));
    }
}

awaitable<void> superviseLoop(EntryContext &context)
{
    while (true) {
        superviseCalls(context);
        co_await sleepFor(SuperviseIntervalMs);
    }
}

void reloadSettings(EntryContext &context, const std::string &path)
{
    std::variant<EntrySettings, Findings> read = readEntrySettings(path);
    if (const Findings *findings = std::get_if<Findings>(&read)) {
        logEvent(LogEvent::SettingsRejected, {{"findings", describe(*findings)}});
        return;
    }
    // Limits, the times for stops, address reuse and store calls, and the store's address can change while the process runs; other settings cannot.
    EntrySettings &settings = std::get<EntrySettings>(read);
    context.m_settings.m_configAgeLimits = settings.m_configAgeLimits;
    context.m_settings.m_resends = settings.m_resends;
    context.m_settings.m_coldShare = settings.m_coldShare;
    context.m_settings.m_enginesCheckFence = settings.m_enginesCheckFence;
    context.m_settings.m_overloadAdmission = settings.m_overloadAdmission;
    context.m_settings.m_ingress = settings.m_ingress;
    context.m_settings.m_clientBacklog = settings.m_clientBacklog;
    context.m_clientBacklogs->setLimits(settings.m_clientBacklog);
    context.m_settings.m_stopGraceMs = settings.m_stopGraceMs;
    context.m_settings.m_addressReuseMs = settings.m_addressReuseMs;
    context.m_settings.m_storeTimeoutMs = settings.m_storeTimeoutMs;
    context.m_store.m_address = settings.m_storeAddress;
    logEvent(LogEvent::SettingsReloaded);
}

awaitable<void> watchSettings(EntryContext &context, std::string path)
{
    std::error_code ignored;
    std::filesystem::file_time_type seen = std::filesystem::last_write_time(path, ignored);
    while (true) {
        co_await sleepFor(SettingsPollMs);
        const std::filesystem::file_time_type now = std::filesystem::last_write_time(path, ignored);
        if (now != seen) {
            seen = now;
            reloadSettings(context, path);
        }
    }
}

awaitable<void> stopGracefully(EntryContext &context, HttpServer &server)
{
    const std::int64_t startedMs = steadyMs();
    logEvent(LogEvent::ProcessStopping, {{"running", static_cast<std::int64_t>(context.m_running.size())}});
    context.m_stopping = true;
    context.m_coldMembers.withdraw();
    context.m_resendMembers.withdraw();
    refreshSelectors(context);
    const ShutdownDeadlines deadlines = planShutdown(startedMs, context.m_settings.m_stopGraceMs);
    context.m_shutdownDeadlines = deadlines;
    server.closeAfterResponses();
    co_await releaseLeadership(context);
    constexpr std::int64_t PollMs = 20;
    while (steadyMs() < deadlines.m_endMs && (steadyMs() < deadlines.m_acceptUntilMs || server.activeRequests() > 0)) {
        co_await sleepFor(PollMs);
    }
    if (server.activeRequests() > 0) {
        logEvent(LogEvent::DrainLimitReached, {{"running", static_cast<std::int64_t>(server.activeRequests())}});
        // Their clients read an answer instead of a closed connection.
        context.m_endsNow = true;
        while (steadyMs() < deadlines.m_exitMs && server.activeRequests() > 0) {
            co_await sleepFor(PollMs);
        }
    }
    logEvent(LogEvent::ProcessStopped, {{"took_ms", steadyMs() - startedMs}});
    context.m_io.stop();
}

awaitable<void> handleSignals(EntryContext &context, HttpServer &server, std::string path)
{
    asio::signal_set signals(context.m_io, SIGTERM, SIGINT, SIGHUP);
    while (true) {
        const auto [error, number] = co_await signals.async_wait(UseTuple);
        if (error) {
            co_return;
        }
        if (number == SIGHUP) {
            reloadSettings(context, path);
            continue;
        }
        co_await stopGracefully(context, server);
        co_return;
    }
}

awaitable<void> applyLimits(EntryContext &context, HttpServer &server)
{
    constexpr std::int64_t PollMs = 500;
    while (true) {
        if (context.m_config != nullptr) {
            const IngressLimits &limits = context.m_config->m_limits;
            IngressBudgetLimits budget = context.m_settings.m_ingress;
            // Two of the longest requests that the configuration allows always fit.
            budget.m_maxBytes = std::max(budget.m_maxBytes, 2 * limits.m_maxBodyBytes);
            server.setLimits({limits.m_maxHeaderBytes, limits.m_maxBodyBytes, limits.m_headerTimeoutMs, limits.m_idleTimeoutMs, budget});
        }
        co_await sleepFor(PollMs);
    }
}

/** Starts a server whose requests are answered by @p serve. Returns null if it cannot listen on @p address, and logs the error. */
std::shared_ptr<HttpServer>
listenOn(EntryContext &context, const std::string &address, awaitable<void> (*serve)(EntryContext &, HttpExchange &), const IngressBudgetLimits &budget = {})
{
    const HttpHandler handler = [&context, serve](HttpExchange &exchange) {
        return serve(context, exchange);
    };
    HttpServerLimits limits;
    limits.m_budget = budget;
    Result<std::shared_ptr<HttpServer>> server = HttpServer::create({&context.m_io}, address, handler, limits);
    if (failed(server)) {
        logEvent(LogEvent::ListenFailed, {{"error", describe(errorOf(server))}});
        return nullptr;
    }
    return valueOf(server);
}

int runEntry(const EntrySettings &settings, const std::string &path)
{
    asio::io_context io(1);
    EntryContext context(io, settings);
    context.m_clientBacklogs->setLimits(settings.m_clientBacklog);
    const std::shared_ptr<HttpServer> clients = listenOn(context, settings.m_listen, serveClient, settings.m_ingress);
    const std::shared_ptr<HttpServer> readiness = listenOn(context, settings.m_readinessListen, serveReadiness);
    if (clients == nullptr || readiness == nullptr) {
        return ExitCannotListen;
    }
    context.m_clientServer = clients;
    if (!settings.m_metricsListen.empty()) {
        // The daemon also serves without metrics; listenOn() logs the failure.
        listenOn(context, settings.m_metricsListen, serveMetrics);
    }
    // If this fails, the other daemons get their updates from the store.
    listenOn(context, settings.m_peerListen, serveStoreUpdates);
    logEvent(LogEvent::ProcessStarted, {{"availability_zone", settings.m_availabilityZone}, {"listen", settings.m_listen}});
    asio::co_spawn(io, followStore(context), asio::detached);
    asio::co_spawn(io, runHeldBackRemovals(context), asio::detached);
    asio::co_spawn(io, maintainRegistration(context), asio::detached);
    asio::co_spawn(io, publishCrashes(context), asio::detached);
    asio::co_spawn(io, runLeaderElection(context), asio::detached);
    asio::co_spawn(io, runReconciler(context), asio::detached);
    asio::co_spawn(io, superviseLoop(context), asio::detached);
    Result<std::unique_ptr<LoadReportExchange>> exchangeResult = LoadReportExchange::create(context);
    if (failed(exchangeResult)) {
        // Without load reports this daemon still serves, but knows only the load that it creates itself.
        logEvent(LogEvent::ListenFailed, {{"error", describe(errorOf(exchangeResult))}});
    } else {
        LoadReportExchange &exchange = *valueOf(exchangeResult);
        context.m_sendLoadReport = [&exchange]() {
            exchange.sendNow();
        };
        context.m_sendCrashes = [&exchange]() {
            exchange.sendCrashes();
        };
        asio::co_spawn(io, exchange.sendLoop(), asio::detached);
        asio::co_spawn(io, exchange.receiveLoop(), asio::detached);
    }
    asio::co_spawn(io, watchSettings(context, path), asio::detached);
    asio::co_spawn(io, applyLimits(context, *clients), asio::detached);
    asio::co_spawn(io, handleSignals(context, *clients, path), asio::detached);
    io.run();
    return 0;
}
}
}

int main(int argc, char **argv)
{
    using namespace knapweedslip;
    CLI::App app("Serves clients on a hosting platform's entry VM and, as the leader, forms and repairs the model replicas", "knapweedslip-entry");
    std::string path;
    bool checkOnly = false;
    app.add_option("--settings", path, "YAML file with the settings")->envname("KNAPWEEDSLIP_NODE_FILE")->required();
    app.add_flag("--check-settings", checkOnly, "read the settings, print all findings and exit");
    app.footer("Exit status: 0 stopped as planned, 2 bad settings, 4 cannot listen");
    CLI11_PARSE(app, argc, argv);
    const std::variant<EntrySettings, Findings> settings = readEntrySettings(path);
    if (const Findings *findings = std::get_if<Findings>(&settings)) {
        std::cerr << describe(*findings);
        return ExitBadSettings;
    }
    if (checkOnly) {
        std::cout << path << ": no findings\n";
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    startLogging(std::get<EntrySettings>(settings).m_name);
    const int status = runEntry(std::get<EntrySettings>(settings), path);
    return stopLogging(status);
}
