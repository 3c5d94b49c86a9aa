// Problem: the entry daemon is what runs on the hosting platform, and tests of real processes need that platform.
// Approach: the store and all upstreams in one process on one thread. PUT /standin/key?key=K writes a key as the operators do,
// PUT /standin/faults {"store_down_ms":n} makes the store unavailable or brings it back from a copy, PUT /standin/engines changes what upstreams say of
// themselves, GET /standin/history returns what reached the upstreams.

#include "net/jsonfields.h"
#include "platform/names.h"
#include "standins/hostingengine.h"
#include "standins/serve.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <iostream>

namespace knapweedslip::standin
{
namespace json = boost::json;

namespace
{
struct HostingOptions
{
    std::string m_storeListen;
    /** Second address of the store, for daemons that it turns away at times; empty for none. */
    std::string m_apartListen;
    std::string m_upstreamIp;
    std::vector<std::string> m_zones;
    int m_engines = 0;
    int m_serviceUpstreams = 0;
    HostingEngineTimes m_times;
    std::vector<std::string> m_partWords;
};

/** Parses "id=words" of the command line. */
PartWords parsePartWords(const std::vector<std::string> &options)
{
    PartWords words;
    for (const std::string &option : options) {
        const std::size_t equals = option.find('=');
        words[option.substr(0, equals)] = equals == std::string::npos ? std::string() : option.substr(equals + 1);
    }
    return words;
}

AnswerFaults parseFaults(const json::object &object)
{
    AnswerFaults faults;
    faults.m_refusedShare = doubleField(object, "refused");
    faults.m_copiedRefusalShare = doubleField(object, "copied_refusals");
    faults.m_copiedAnswerShare = doubleField(object, "copied_answers");
    faults.m_copiesWhileIdle = boolField(object, "copies_while_idle");
    faults.m_cutShare = doubleField(object, "cut");
    faults.m_resetShare = doubleField(object, "reset");
    faults.m_brokenHeadShare = doubleField(object, "broken_heads");
    faults.m_endlessOrderReply = enumFromName<EndlessPart>(EndlessPartNames, stringField(object, "endless_order_reply"));
    faults.m_endlessReport = enumFromName<EndlessPart>(EndlessPartNames, stringField(object, "endless_report"));
    faults.m_brokenReplyShare = doubleField(object, "broken_replies");
    faults.m_spoiltStreamShare = doubleField(object, "spoilt_streams");
    faults.m_brokenStreamShare = doubleField(object, "broken_streams");
    faults.m_resumedReply = enumFromName<ResumedReply>(ResumedReplyNames, stringField(object, "resumed")).value_or(ResumedReply::Events);
    return faults;
}

using Upstreams = std::vector<std::unique_ptr<HostingEngine>>;

/**
 * Applies {"first":n,"count":n,"leaving":b,"listed":b,"unlisted":b,"late_report_ms":n,"quiet_ms":n,"turn_away_ms":n,"retry_after":s}, sets how answers are
 * spoiled with "faults":{..}, or ends the upstreams with "lost":true, and returns the ids of the upstreams that it names.
 */
std::string applyWords(const Upstreams &upstreams, const std::string &body)
{
    const json::object object = parseJsonObject(body);
    HostingEngineWords words;
    words.m_leaving = boolField(object, "leaving");
    words.m_listedAsLeaving = boolField(object, "listed");
    words.m_unlisted = boolField(object, "unlisted");
    words.m_lateReportMs = integerField(object, "late_report_ms");
    words.m_quietUntilMs = steadyMs() + integerField(object, "quiet_ms");
    words.m_turnAwayUntilMs = steadyMs() + integerField(object, "turn_away_ms");
    words.m_retryAfter = stringField(object, "retry_after");
    const std::size_t first = static_cast<std::size_t>(integerField(object, "first"));
    const std::size_t end = std::min(upstreams.size(), first + static_cast<std::size_t>(integerField(object, "count")));
    json::array ids;
    for (std::size_t i = first; i < end; ++i) {
        ids.emplace_back(upstreams[i]->entry().m_id);
        if (const json::value *faults = object.if_contains("faults"); faults != nullptr && faults->is_object()) {
            upstreams[i]->setFaults(parseFaults(faults->as_object()));
        } else if (boolField(object, "lost")) {
            upstreams[i]->loseProcess();
        } else {
            upstreams[i]->setWords(words);
        }
    }
    return json::serialize(ids);
}

/** How the store comes back from its copy. */
struct Drill
{
    std::int64_t m_awayMs = 0;
    /** Time after the return in which the operators and the upstreams write again. */
    std::int64_t m_againMs = 0;
    /** Time after the return in which the daemons do not reach the store yet, and revisions that others use up meanwhile. */
    std::int64_t m_apartMs = 0;
    std::uint64_t m_skippedRevisions = 0;
};

awaitable<void> playDrill(HostingStore &store, const Upstreams &upstreams, Drill drill)
{
    store.m_downUntilMs = steadyMs() + drill.m_awayMs + drill.m_apartMs;
    co_await sleepFor(drill.m_awayMs);
    const std::map<std::string, std::string> items = hostingRestoreCopy(store, steadyMs());
    if (drill.m_againMs > 0) {
        co_await sleepFor(drill.m_againMs);
    }
    hostingWriteAgain(store, items);
    for (const std::unique_ptr<HostingEngine> &upstream : upstreams) {
        upstream->publishAgain();
    }
    if (drill.m_apartMs > 0) {
        constexpr std::int64_t EarlierMs = 20;
        co_await sleepFor(drill.m_apartMs - EarlierMs);
        store.m_revision += drill.m_skippedRevisions;
    }
}

/**
 * Applies {"store_down_ms":n}, {"turned_away_ms":n}, {"troubled_ms":n,"slow_ms":n,"lost":share}, {"forget":true}, {"copy":true}, or
 * {"drill_ms":n,"again_ms":n,"apart_ms":n,"skip":n}, see Drill.
 */
void applyStoreFaults(IoThreads &threads, HostingStore &store, const Upstreams &upstreams, const std::string &body)
{
    const json::object object = parseJsonObject(body);
    if (boolField(object, "copy")) {
        hostingTakeCopy(store);
    } else if (boolField(object, "forget")) {
        hostingForgetHistory(store);
    } else if (object.contains("turned_away_ms")) {
        store.m_apartUntilMs = steadyMs() + integerField(object, "turned_away_ms");
    } else if (object.contains("troubled_ms")) {
        store.m_troubledUntilMs = steadyMs() + integerField(object, "troubled_ms");
        store.m_slowMs = integerField(object, "slow_ms");
        store.m_lostShare = doubleField(object, "lost");
    } else if (object.contains("drill_ms")) {
        const Drill drill{integerField(object, "drill_ms"),
                          integerField(object, "again_ms"),
                          integerField(object, "apart_ms"),
                          static_cast<std::uint64_t>(integerField(object, "skip"))};
        asio::co_spawn(threads.control(), playDrill(store, upstreams, drill), asio::detached);
    } else {
        store.m_downUntilMs = steadyMs() + integerField(object, "store_down_ms");
    }
}

awaitable<void> serve(IoThreads &threads, HostingStore &store, History &history, const Upstreams &upstreams, HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const std::string path(pathOf(request.m_target));
    if (path == "/standin/key") {
        hostingPut(store, queryValue(request.m_target, "key"), request.m_body);
        co_await exchange.respond(jsonReply(200, "{}"));
    } else if (path == "/standin/faults") {
        applyStoreFaults(threads, store, upstreams, request.m_body);
        co_await exchange.respond(jsonReply(200, "{}"));
    } else if (path == "/standin/removed-key") {
        hostingRemove(store, queryValue(request.m_target, "key"));
        co_await exchange.respond(jsonReply(200, "{}"));
    } else if (path == "/standin/engines") {
        co_await exchange.respond(jsonReply(200, applyWords(upstreams, request.m_body)));
    } else if (path == "/standin/counts") {
        json::object counts;
        for (const std::pair<const std::string, std::uint64_t> &calls : store.m_calls) {
            counts[calls.first] = calls.second;
        }
        counts["bytes"] = store.m_bytes;
        co_await exchange.respond(jsonReply(200, json::serialize(counts)));
    } else if (path == "/standin/history") {
        co_await exchange.respond(jsonReply(200, dumpHistory(history)));
    } else {
        co_await serveHostingStore(store, exchange);
    }
}

awaitable<void> expireLeases(HostingStore &store)
{
    constexpr std::int64_t PollMs = 50;
    while (true) {
        hostingExpireLeases(store, steadyMs());
        co_await sleepFor(PollMs);
    }
}

int run(const HostingOptions &options)
{
    constexpr int FirstPort = 8001;
    constexpr int EnginesPerDomain = 9;
    constexpr int Slots = 26;
    HostingStore store;
    History history;
    const PartWords partWords = parsePartWords(options.m_partWords);
    Upstreams upstreams;
    IoThreads threads(0);
    std::vector<std::shared_ptr<HttpServer>> servers;
    const bool listens = listenOn(
        threads,
        options.m_storeListen,
        [&threads, &store, &history, &upstreams](HttpExchange &exchange) {
            return serve(threads, store, history, upstreams, exchange);
        },
        servers);
    const auto serveApart = [&store](HttpExchange &exchange) -> awaitable<void> {
        if (steadyMs() < store.m_apartUntilMs) {
            constexpr unsigned Unavailable = 503;
            co_await exchange.respond(jsonReply(Unavailable, "{}"));
        } else {
            co_await serveHostingStore(store, exchange);
        }
    };
    if (!listens || (!options.m_apartListen.empty() && !listenOn(threads, options.m_apartListen, serveApart, servers))) {
        return 2;
    }
    for (int i = 0; i < options.m_engines + options.m_serviceUpstreams; ++i) {
        const bool isEngine = i < options.m_engines;
        UpstreamEntry entry;
        entry.m_service = isEngine ? "llm" : "app";
        entry.m_availabilityZone = options.m_zones.at(static_cast<std::size_t>(i) % options.m_zones.size());
        entry.m_slots = Slots;
        if (isEngine) {
            entry.m_domain = "domain-" + std::to_string(i / EnginesPerDomain);
            entry.m_stagedModels = {"model"};
        }
        upstreams.push_back(std::make_unique<HostingEngine>(
            threads.control(), store, history, partWords, options.m_upstreamIp + ":" + std::to_string(FirstPort + i), std::move(entry), options.m_times));
        asio::co_spawn(threads.control(), upstreams.back()->run(), asio::detached);
    }
    asio::co_spawn(threads.control(), expireLeases(store), asio::detached);
    runUntilSignal(threads);
    return 0;
}
}
}

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for the hosting platform: its store, model engines and upstreams of a plain service");
    knapweedslip::standin::HostingOptions options;
    app.add_option("--listen", options.m_storeListen, "ip:port of the store")->required();
    app.add_option("--apart", options.m_apartListen, "second ip:port of the store, which can turn calls away");
    app.add_option("--ip", options.m_upstreamIp, "address of all upstreams, which listen on ports from 8001")->required();
    app.add_option("--zone", options.m_zones, "availability zones")->required();
    app.add_option("--engines", options.m_engines, "model engines, of the service llm");
    app.add_option("--services", options.m_serviceUpstreams, "upstreams of the plain service app");
    app.add_option("--restart-ms", options.m_times.m_restartMs, "how long an upstream that has crashed stays away");
    app.add_flag("--keep-ids", options.m_times.m_keepsId, "an upstream that has crashed comes back under its id");
    app.add_option("--register-ms", options.m_times.m_registerMs, "time between the start of an upstream and its first entry in the store");
    app.add_option("--silent-ms", options.m_times.m_silentMs, "how long the connections of an upstream that has crashed silently stay open");
    app.add_option("--prefill-ms", options.m_times.m_prefillMs, "how long after its arrival a request begins to run");
    app.add_option("--part", options.m_partWords, "id=words: a request whose prompt has this part is treated as if its body contained the words");
    app.add_flag("--hide-heartbeats", options.m_times.m_hidesHeartbeats, "the store shows no change when an upstream only renews its entry");
    app.add_option("--events", options.m_times.m_events, "events of each stream");
    app.add_option("--event-ms", options.m_times.m_eventMs, "time that an engine takes for an event");
    app.add_option("--events-per-pass", options.m_times.m_eventsPerPass, "events that are written at once");
    CLI11_PARSE(app, argc, argv);
    return knapweedslip::standin::run(options);
}
