#include "autotests/soak/soakcluster.h"

#include "platform/names.h"

#include <boost/json.hpp>

#include <algorithm>

namespace knapweedslip::soak
{
namespace json = boost::json;

namespace
{
constexpr int Zones = 3;
constexpr std::uint64_t VariantsOfFaults = 9;

json::object route(const std::string &name, const char *kind, const std::string &service, std::int64_t timeoutMs, bool resumable)
{
    return {{"name", name},
            {"host", "api"},
            {"pathPrefix", "/" + name + "/"},
            {"routeType", kind},
            {"service", service},
            {"timeoutMs", timeoutMs},
            {"latencyTargetMs", 500},
            {"maxAttempts", 3},
            {"resumable", resumable}};
}

json::object engineService(const SoakClusterShape &shape)
{
    const auto model = [](const char *name, int size, double share) {
        return json::object{{"name", name}, {"size", size}, {"share", share}, {"loadS", 1}, {"warmupS", 0.1}};
    };
    json::object backend{{"slots", 26},
                         {"kvCapacity", 1'590'000},
                         {"stride", 4},
                         {"step_ms", 5.95},
                         {"per_seq_ms", 0.1},
                         {"context_per_k", 0.01},
                         {"read_per_s", 50'700},
                         {"chunk", 512},
                         {"loadsPerS", 10},
                         {"loads_at_once", 4},
                         {"formMs", 100}};
    backend["usual"] = json::object{{"prompt", 100}, {"answer", 100}};
    backend["modelList"] = json::array{model("model", shape.m_modelSize, 0.6), model("large", shape.m_largeModelSize, 0.4)};
    return {{"name", "llm"}, {"backend", std::move(backend)}};
}

/** Returns what upstreams do all the time: engines leave a few orders without an answer, carry some of them out late, and repeat a few answers to them. */
standin::AnswerFaults usualFaults(const SoakClusterShape &shape)
{
    standin::AnswerFaults faults;
    faults.m_lateOrderShare = 0.03;
    faults.m_copiedControlShare = shape.m_copiedControlShare;
    return faults;
}

/** Returns what the variant of a disruption makes upstreams do. */
standin::AnswerFaults faultsOf(const SoakClusterShape &shape, std::uint64_t variant)
{
    constexpr double Often = 0.3;
    constexpr double Seldom = 0.05;
    standin::AnswerFaults faults = usualFaults(shape);
    switch (variant % VariantsOfFaults) {
    case 0:
        faults.m_refusedShare = Often;
        faults.m_copiedRefusalShare = Often;
        break;
    case 1:
        faults.m_copiedAnswerShare = Seldom;
        break;
    case 2:
        faults.m_cutShare = Often;
        faults.m_brokenStreamShare = Often;
        break;
    case 3:
        faults.m_resetShare = Often;
        break;
    case 4:
        faults.m_brokenHeadShare = Often;
        break;
    case 5:
        faults.m_lateOrderShare = Often;
        faults.m_copiedControlShare = std::max(faults.m_copiedControlShare, Often);
        break;
    case 6:
        faults.m_refusedShare = Often;
        faults.m_copiedRefusalShare = Often;
        faults.m_copiesWhileIdle = true;
        break;
    case 7:
        faults.m_failedShare = Often;
        faults.m_failedStatus = variant % 2 == 0 ? 503 : 500;
        break;
    default:
        faults.m_lateOrderShare = Seldom;
        faults.m_spoiltStreamShare = Seldom;
        break;
    }
    return faults;
}

/** Returns whether the disruption spoils answers to orders, which only engines get. */
bool spoilsOrders(const SoakClusterShape &shape, const SoakEvent &event)
{
    return event.m_kind == Disruption::SpoilAnswers && faultsOf(shape, event.m_variant).m_lateOrderShare > usualFaults(shape).m_lateOrderShare;
}

/** Returns the upstreams of a disruption; in two of three that may hit any, they are all of plain services, of which there are fewer. */
std::vector<standin::HostingEngine *> chosenUpstreams(SoakCluster &cluster, const SoakEvent &event)
{
    std::vector<standin::HostingEngine *> candidates;
    const bool isEnginesOnly = spoilsOrders(cluster.m_shape, event);
    const bool isPlainOnly = !isEnginesOnly && event.m_variant / VariantsOfFaults % 3 != 0;
    for (const std::unique_ptr<standin::HostingEngine> &upstream : cluster.m_upstreams) {
        const bool isPlain = upstream->entry().m_domain.empty();
        if (isPlain ? !isEnginesOnly : !isPlainOnly) {
            candidates.push_back(upstream.get());
        }
    }
    std::vector<standin::HostingEngine *> chosen;
    const std::size_t count = std::min(static_cast<std::size_t>(event.m_count), candidates.size());
    for (std::size_t i = 0; i < count; ++i) {
        chosen.push_back(candidates[(static_cast<std::size_t>(event.m_first) + i) % candidates.size()]);
    }
    return chosen;
}
}

std::vector<std::string> soakKeys()
{
    return {"caller-key", "other-key"};
}

void writeConfig(SoakCluster &cluster, std::uint64_t variant)
{
    const bool isMoved = variant % 2 == 1;
    const bool isWithdrawn = variant % 3 == 1;
    const std::int64_t timeoutMs = variant % 5 == 1 ? 900 : 1'500;
    json::array routes{route("stream", "streaming", "llm", 8'000, true),
                       route("digest", "streaming", isMoved ? "app2" : "app", 4'000, true),
                       route("notice", "streaming", "app", 4'000, false),
                       route("once", "non_idempotent", isMoved ? "app2" : "app", timeoutMs, false),
                       route("read", "idempotent", "app2", timeoutMs, false)};
    json::array keys{soakKeys().front()};
    if (!isWithdrawn) {
        keys.emplace_back(soakKeys().back());
    }
    const json::object config{{"version", ++cluster.m_configVersion},
                              {"limits", json::object()},
                              {"routes", std::move(routes)},
                              {"services", json::array{json::object{{"name", "app"}}, json::object{{"name", "app2"}}, engineService(cluster.m_shape)}},
                              {"tenants", json::array{json::object{{"name", "caller"}, {"apiKeys", std::move(keys)}}}}};
    standin::hostingPut(cluster.m_store, std::string(platform::key::Config), json::serialize(config));
}

void startUpstreams(SoakCluster &cluster, asio::io_context &io)
{
    const SoakClusterShape &shape = cluster.m_shape;
    constexpr int FirstPort = 8001;
    constexpr int EngineSlots = 26;
    constexpr int ServiceSlots = 6;
    const int count = shape.m_engines + 2 * shape.m_serviceUpstreams;
    for (int i = 0; i < count; ++i) {
        const bool isEngine = i < shape.m_engines;
        UpstreamEntry entry;
        entry.m_service = isEngine ? "llm" : i < shape.m_engines + shape.m_serviceUpstreams ? "app" : "app2";
        entry.m_availabilityZone = "zone-" + std::to_string(i % Zones + 1);
        entry.m_slots = isEngine ? EngineSlots : ServiceSlots;
        if (isEngine) {
            entry.m_domain = "domain-" + std::to_string(i / shape.m_domainEngines);
            entry.m_stagedModels = {"model", "large"};
        }
        standin::HostingEngineTimes times = shape.m_times;
        // Some upstreams come back under their id, some soon and some late.
        times.m_keepsId = i % 3 == 0;
        times.m_namesOrders = i % 2 == 0;
        times.m_restartMs += 700 * (i % 4);
        const std::string address = shape.m_addressPrefix + ".8.1:" + std::to_string(FirstPort + i);
        cluster.m_upstreams.push_back(
            std::make_unique<standin::HostingEngine>(io, cluster.m_store, cluster.m_history, cluster.m_partWords, address, std::move(entry), times));
        if (isEngine) {
            cluster.m_upstreams.back()->setCluster(cluster.m_groups);
        }
        cluster.m_upstreams.back()->setFaults(usualFaults(shape));
        asio::co_spawn(io, cluster.m_upstreams.back()->run(), asio::detached);
    }
    writeConfig(cluster, 0);
}

awaitable<void> disturb(SoakCluster &cluster, SoakEvent event)
{
    standin::HostingStore &store = cluster.m_store;
    const std::int64_t untilMs = steadyMs() + event.m_forMs;
    const std::vector<standin::HostingEngine *> chosen = chosenUpstreams(cluster, event);
    switch (event.m_kind) {
    case Disruption::StoreDown:
        store.m_downUntilMs = untilMs;
        break;
    case Disruption::StoreTrouble:
        store.m_troubledUntilMs = untilMs;
        store.m_slowMs = static_cast<std::int64_t>(event.m_variant % 400);
        store.m_lostShare = static_cast<double>(event.m_variant % 4) * 0.1;
        break;
    case Disruption::StoreTurnsAway:
        store.m_apartUntilMs = untilMs;
        break;
    case Disruption::StoreForgets:
        standin::hostingForgetHistory(store);
        break;
    case Disruption::Configure:
        writeConfig(cluster, event.m_variant);
        break;
    case Disruption::LoseUpstreams:
        for (standin::HostingEngine *upstream : chosen) {
            upstream->loseProcess();
            co_await sleepFor(static_cast<std::int64_t>(event.m_variant % 200));
        }
        break;
    case Disruption::SpoilAnswers:
        for (standin::HostingEngine *upstream : chosen) {
            upstream->setFaults(faultsOf(cluster.m_shape, event.m_variant));
        }
        co_await sleepFor(event.m_forMs);
        for (standin::HostingEngine *upstream : chosen) {
            upstream->setFaults(usualFaults(cluster.m_shape));
        }
        break;
    case Disruption::UpstreamsLeave: {
        standin::HostingEngineWords words;
        words.m_leaving = true;
        words.m_listedAsLeaving = event.m_variant % 2 == 0;
        for (standin::HostingEngine *upstream : chosen) {
            upstream->setWords(words);
        }
        co_await sleepFor(event.m_forMs);
        for (standin::HostingEngine *upstream : chosen) {
            upstream->loseProcess();
        }
        break;
    }
    case Disruption::EmptyZone: {
        const std::string key = std::string(platform::key::EvacuatedZone) + "zone-" + std::to_string(event.m_first + 1);
        standin::hostingPut(store, key, "{}");
        co_await sleepFor(event.m_forMs);
        standin::hostingRemove(store, key);
        break;
    }
    case Disruption::Stop:
    case Disruption::Kill:
    case Disruption::Suspend:
    case Disruption::Reload:
        // Disruptions of daemons, see SoakDaemons.
        break;
    }
}
}
