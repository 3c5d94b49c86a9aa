// Problem: faults that need real processes, clocks and connections show neither in virtual time nor with one disruption at a time.
// Approach: many entry daemons against stand-ins in this process, clients that keep their connections until the daemon is gone, and a seeded plan of
// disruptions that overlap. Afterwards the clients' records are compared with those of the stand-ins.
// Usage: knapweedslip-soak --entry PROGRAM --seed N. Exit status: 1 if a rule was broken.

#include "autotests/soak/soakclients.h"
#include "autotests/soak/soakcluster.h"
#include "autotests/soak/soakdaemons.h"
#include "standins/serve.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>

namespace knapweedslip::soak
{
namespace
{
constexpr std::int64_t GraceMs = 8'000;

struct SoakOptions
{
    std::string m_entry;
    std::string m_folder;
    std::uint64_t m_seed = 1;
    int m_daemons = 8;
    int m_clients = 60;
    int m_seconds = 30;
    int m_addressNumber = 100;
    SoakClusterShape m_shape;
};

std::string daemonIp(const SoakOptions &options, int number)
{
    constexpr int PerNetwork = 200;
    return options.m_shape.m_addressPrefix + "." + std::to_string(1 + (number - 1) / PerNetwork) + "." + std::to_string((number - 1) % PerNetwork + 1);
}

/** Writes the settings of daemon @p number; every second daemon uses the address at which the store turns daemons away. */
std::string writeSettings(const SoakOptions &options, int number)
{
    const std::string path = options.m_folder + "/entry-" + std::to_string(number) + ".yaml";
    const std::string ip = daemonIp(options, number);
    std::ofstream file(path);
    file << "name: entry-" << number << "\navailability_zone: zone-" << (number - 1) % 3 + 1 << "\nlisten: \"" << ip << ":7000\"\nreadiness_listen: \"" << ip
         << ":7001\"\nmetrics_listen: \"" << ip << ":7002\"\npeer_listen: \"" << ip << ":7003\"\ncpu_share: 0.25\nstore_address: \""
         << options.m_shape.m_addressPrefix << ".9.1:" << (number % 2 == 0 ? 8501 : 8500)
         << "\"\nmax_key_age_ms: 5000\nresend_ratio: 0.2\nresend_extra: 134\nresend_window_s: 10\ncold_share: 1.5\nengines_check_fence: true\nstop_grace_s: 8\n"
            "address_reuse_s: 2\noverload_admission: true\nupstream_heartbeat_ms: 1200\n";
    return path;
}

std::vector<SoakDaemon> makeDaemons(const SoakOptions &options)
{
    std::vector<SoakDaemon> daemons;
    for (int number = 1; number <= options.m_daemons; ++number) {
        SoakDaemon daemon;
        daemon.m_number = number;
        daemon.m_settings = writeSettings(options, number);
        daemon.m_log = options.m_folder + "/entry-" + std::to_string(number) + ".log";
        daemons.push_back(std::move(daemon));
    }
    return daemons;
}

void disturbDaemon(SoakDaemons &daemons, const SoakEvent &event)
{
    switch (event.m_kind) {
    case Disruption::Stop:
        daemons.stop(event.m_first, GraceMs);
        break;
    case Disruption::Kill:
        daemons.kill(event.m_first);
        break;
    case Disruption::Suspend:
        daemons.suspend(event.m_first, event.m_forMs);
        break;
    case Disruption::Reload:
        daemons.reload(event.m_first);
        break;
    default:
        break;
    }
}

struct SoakRun
{
    SoakCluster m_cluster;
    std::vector<AttemptRecord> m_attempts;
    bool m_stopClients = false;
    bool m_isFinished = false;
};

awaitable<void> superviseDaemons(SoakDaemons &daemons)
{
    constexpr std::int64_t PollMs = 20;
    while (true) {
        daemons.update();
        co_await sleepFor(PollMs);
    }
}

awaitable<void> expireLeases(standin::HostingStore &store)
{
    constexpr std::int64_t PollMs = 50;
    while (true) {
        standin::hostingExpireLeases(store, steadyMs());
        co_await sleepFor(PollMs);
    }
}

awaitable<void> playSoak(IoThreads &threads, const SoakOptions &options, SoakRun &run, SoakDaemons &daemons)
{
    // Daemons form the groups within this time; nothing is disturbed before.
    constexpr std::int64_t SettleMs = 4'000;
    constexpr std::int64_t CalmMs = 6'000;
    constexpr std::int64_t PollMs = 10;
    SoakClientSettings settings;
    settings.m_keys = soakKeys();
    settings.m_seed = options.m_seed;
    settings.m_events = options.m_shape.m_times.m_events;
    for (int number = 1; number <= options.m_daemons; ++number) {
        settings.m_daemons.push_back(daemonIp(options, number) + ":7000");
    }
    co_await sleepFor(SettleMs);
    for (int i = 0; i < options.m_clients; ++i) {
        asio::co_spawn(threads.control(), runClient(settings, i, run.m_stopClients, run.m_attempts), asio::detached);
    }
    SoakShape shape;
    shape.m_daemons = options.m_daemons;
    shape.m_upstreams = static_cast<int>(run.m_cluster.m_upstreams.size());
    shape.m_durationMs = options.m_seconds * 1'000;
    const std::int64_t startMs = steadyMs();
    std::ofstream plan(options.m_folder + "/plan");
    for (const SoakEvent &event : planSoak(options.m_seed, shape)) {
        while (steadyMs() - startMs < event.m_atMs) {
            co_await sleepFor(PollMs);
        }
        plan << steadyMs() << " " << enumName(DisruptionNames, event.m_kind) << " first " << event.m_first << " count " << event.m_count << " for "
             << event.m_forMs << " ms, variant " << event.m_variant << std::endl;
        disturbDaemon(daemons, event);
        asio::co_spawn(threads.control(), disturb(run.m_cluster, event), asio::detached);
    }
    co_await sleepFor(CalmMs);
    // The clients keep using their connections until the daemons are gone.
    daemons.stopAll(GraceMs);
    while (daemons.anyRuns()) {
        co_await sleepFor(PollMs);
    }
    run.m_stopClients = true;
    co_await sleepFor(CalmMs);
    run.m_isFinished = true;
    threads.stop();
}

/** Prints the result and keeps what shows it. Returns the exit status. */
int report(const SoakOptions &options, const SoakRun &run, const SoakDaemons &daemons)
{
    std::vector<Breach> breaches = findBreaches(run.m_attempts, run.m_cluster.m_history);
    for (const std::string &end : daemons.ownEnds()) {
        breaches.push_back({"ENDED", end});
    }
    std::map<unsigned, int> statuses;
    for (const AttemptRecord &attempt : run.m_attempts) {
        ++statuses[attempt.m_status];
    }
    std::map<std::string, int> rules;
    std::ofstream file(options.m_folder + "/breaches");
    for (const Breach &breach : breaches) {
        ++rules[breach.m_rule];
        file << breach.m_rule << " " << breach.m_detail << "\n";
    }
    std::ofstream(options.m_folder + "/history") << standin::dumpHistory(run.m_cluster.m_history);
    std::cout << "seed " << options.m_seed << ": " << options.m_daemons << " daemons, " << daemons.starts() << " starts, " << run.m_cluster.m_upstreams.size()
              << " upstreams, " << run.m_attempts.size() << " attempts (";
    for (const std::pair<const unsigned, int> &status : statuses) {
        std::cout << " " << status.first << ": " << status.second;
    }
    std::cout << " ), broken rules:";
    for (const std::pair<const std::string, int> &rule : rules) {
        std::cout << " " << rule.first << " " << rule.second;
    }
    std::cout << (rules.empty() ? " none" : "") << std::endl;
    const bool isServed = statuses[200] > 0;
    if (!isServed) {
        std::cout << "seed " << options.m_seed << ": no request was served, so nothing is shown" << std::endl;
    }
    return rules.empty() && isServed ? 0 : 1;
}

int runSoak(SoakOptions options)
{
    options.m_shape.m_addressPrefix = "127." + std::to_string(options.m_addressNumber);
    std::filesystem::create_directories(options.m_folder);
    IoThreads threads(0);
    SoakRun run;
    std::vector<std::shared_ptr<HttpServer>> servers;
    const auto serveStore = [&run](HttpExchange &exchange) {
        return standin::serveHostingStore(run.m_cluster.m_store, exchange);
    };
    const auto serveApart = [&run](HttpExchange &exchange) -> awaitable<void> {
        if (steadyMs() < run.m_cluster.m_store.m_apartUntilMs) {
            constexpr unsigned Unavailable = 503;
            co_await exchange.respond(jsonReply(Unavailable, "{}"));
        } else {
            co_await standin::serveHostingStore(run.m_cluster.m_store, exchange);
        }
    };
    const std::string store = options.m_shape.m_addressPrefix + ".9.1:";
    if (!standin::listenOn(threads, store + "8500", serveStore, servers) || !standin::listenOn(threads, store + "8501", serveApart, servers)) {
        return 2;
    }
    run.m_cluster.m_shape = options.m_shape;
    startUpstreams(run.m_cluster, threads.control());
    SoakDaemons daemons(options.m_entry, makeDaemons(options));
    asio::co_spawn(threads.control(), expireLeases(run.m_cluster.m_store), asio::detached);
    asio::co_spawn(threads.control(), superviseDaemons(daemons), asio::detached);
    asio::co_spawn(threads.control(), playSoak(threads, options, run, daemons), asio::detached);
    // The daemons end with this object also when the run is ended early.
    standin::runUntilSignal(threads);
    if (!run.m_isFinished) {
        std::cout << "seed " << options.m_seed << ": ended by a signal" << std::endl;
        return 2;
    }
    return report(options, run, daemons);
}
}
}

int main(int argc, char **argv)
{
    CLI::App app("Entry daemons under overlapping disruptions, against stand-ins, on the real clock");
    knapweedslip::soak::SoakOptions options;
    options.m_shape.m_times.m_restartMs = 600;
    options.m_shape.m_times.m_eventMs = 20;
    options.m_shape.m_times.m_prefillMs = 30;
    app.add_option("--entry", options.m_entry, "the daemon's program")->required();
    app.add_option("--folder", options.m_folder, "where settings, logs, plan and history go")->required();
    app.add_option("--seed", options.m_seed, "seed of the disruptions and of the clients");
    app.add_option("--daemons", options.m_daemons, "number of daemons");
    app.add_option("--clients", options.m_clients, "number of clients, each with one connection");
    app.add_option("--engines", options.m_shape.m_engines, "model engines");
    app.add_option("--domain-engines", options.m_shape.m_domainEngines, "engines of one fabric domain");
    app.add_option("--model-size", options.m_shape.m_modelSize, "engines of one group of the first model");
    app.add_option("--large-model-size", options.m_shape.m_largeModelSize, "engines of one group of the second model");
    app.add_option("--services", options.m_shape.m_serviceUpstreams, "upstreams of each of the two plain services");
    app.add_option("--copied-share", options.m_shape.m_copiedControlShare, "share of the answers to orders and reports that engines send twice");
    app.add_option("--seconds", options.m_seconds, "time over which disruptions begin");
    app.add_option("--address-number", options.m_addressNumber, "second number of all loopback addresses, 20 to 250; runs side by side need different ones");
    CLI11_PARSE(app, argc, argv);
    return knapweedslip::soak::runSoak(options);
}
