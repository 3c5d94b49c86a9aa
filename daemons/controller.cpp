// Problem: replicas must be formed, repaired and warmed by whichever controllers are alive, without a dedicated one.
// Approach: every controller runs the same loop. Each fabric domain and each service is held by one controller at a time under a lease. The
// preferred holder is the controller with the highest rendezvous weight among those alive.
// A single elected controller would take long to replace and would have to probe every VM.

#include "daemons/domainkeeper.h"
#include "kernel/hashing.h"
#include "kernel/routetable.h"
#include "net/daemonmain.h"

#include <boost/json.hpp>

#include <algorithm>

namespace knapweedslip
{
namespace json = boost::json;

namespace
{
constexpr std::int64_t RoundMs = 100;
constexpr std::int64_t ListIntervalMs = 1'000;
constexpr std::int64_t SessionPauseMs = 200;

/** A domain or service that this controller may hold. */
struct Keeper
{
    std::unique_ptr<DomainKeeper> m_keeper;
    /** A reconciliation is in progress. */
    bool m_busy = false;
};

/** State of the controller's loops. Used only on the control thread. */
struct ControllerState
{
    Node &m_node;
    const ControllerSettings &m_settings;
    PlacementRule m_rule;
    std::unique_ptr<Prober> m_prober;
    ControllerSession m_session;
    std::shared_ptr<const Plan> m_plan;
    std::vector<ListedVm> m_listed;
    std::map<std::string, Keeper> m_keepers;
};

void takeView(ControllerState &state, const DocumentView &view)
{
    const Result<std::shared_ptr<const RouteTable>> table = buildRouteTable(view);
    if (failed(table)) {
        logEvent(LogEvent::PlanUnreadable, {{"error", describe(errorOf(table))}});
        return;
    }
    state.m_plan = std::make_shared<const Plan>(valueOf(table)->m_plan);
}

awaitable<void> sessionLoop(ControllerState &state)
{
    const std::int64_t ttlMs = state.m_settings.m_leaseTtlMs;
    while (!state.m_node.isStopping()) {
        const std::int64_t sentMs = steadyMs();
        if (!state.m_session.m_alive) {
            const Result<std::string> created = co_await storeCreateSession(state.m_node.store(), state.m_settings.m_common.m_name, ttlMs);
            if (failed(created)) {
                co_await sleepFor(SessionPauseMs);
                continue;
            }
            state.m_session = ControllerSession{valueOf(created), sentMs, true};
        } else {
            const Result<Done> renewed = co_await storeRenewSession(state.m_node.store(), state.m_session.m_id);
            if (!failed(renewed)) {
                state.m_session.m_renewedAtMs = sentMs;
            } else if (errorOf(renewed).m_code == ErrorCode::NotFound) {
                state.m_session.m_alive = false;
                continue;
            }
        }
        co_await sleepFor(ttlMs / 6);
    }
}

awaitable<void> listLoop(ControllerState &state)
{
    while (true) {
        Result<std::vector<ListedVm>> listed = co_await storeListVms(state.m_node.store());
        if (!failed(listed)) {
            state.m_listed = std::move(valueOf(listed));
        }
        co_await sleepFor(ListIntervalMs);
    }
}

/** Returns true if this controller has the highest rendezvous weight for @p domain among those alive. */
bool preferred(const ControllerState &state, const std::string &domain)
{
    const std::string &self = state.m_settings.m_common.m_name;
    const std::uint64_t own = rendezvousWeight(domain, self);
    const std::vector<std::string> controllers = availableMembers(state.m_node.membership(), Role::Controller, steadyMs());
    return std::none_of(controllers.begin(), controllers.end(), [&](const std::string &other) {
        return other != self && rendezvousWeight(domain, other) > own;
    });
}

VmState toVmState(const ListedVm &listed)
{
    VmState vm;
    vm.m_vm = listed.m_vm;
    vm.m_address = listed.m_address;
    vm.m_availabilityZone = listed.m_availabilityZone;
    vm.m_domain = listed.m_domain;
    vm.m_leaving = listed.m_leaving;
    return vm;
}

std::map<std::string, KeeperRound> engineRounds(const ControllerState &state)
{
    std::map<std::string, KeeperRound> rounds;
    for (const ListedVm &listed : state.m_listed) {
        KeeperRound &round = rounds[listed.m_domain];
        round.m_listed.push_back(toVmState(listed));
        round.m_availabilityZone = listed.m_availabilityZone;
    }
    std::vector<DomainCapacity> capacities;
    capacities.reserve(rounds.size());
    for (const std::pair<const std::string, KeeperRound> &entry : rounds) {
        // Zones that are out of service keep their groups, so that they can serve immediately when they return.
        capacities.push_back({entry.first, entry.second.m_availabilityZone, static_cast<int>(entry.second.m_listed.size())});
    }
    const std::map<std::string, std::map<std::string, int>> shares = distributeGroups(*state.m_plan, capacities);
    for (std::pair<const std::string, KeeperRound> &entry : rounds) {
        const auto share = shares.find(entry.first);
        if (share != shares.end()) {
            entry.second.m_wanted = share->second;
        }
    }
    return rounds;
}

std::map<std::string, KeeperRound> allRounds(const ControllerState &state)
{
    std::map<std::string, KeeperRound> rounds = engineRounds(state);
    for (const ServicePlan &service : state.m_plan->m_services) {
        KeeperRound &round = rounds[serviceDomain(service.m_name)];
        for (const ServiceUpstream &upstream : service.m_upstreams) {
            VmState vm;
            vm.m_vm = upstream.m_vm;
            vm.m_address = upstream.m_address;
            vm.m_availabilityZone = upstream.m_availabilityZone;
            round.m_listed.push_back(std::move(vm));
        }
    }
    for (std::pair<const std::string, KeeperRound> &entry : rounds) {
        entry.second.m_plan = state.m_plan;
        entry.second.m_preferred = preferred(state, entry.first);
    }
    return rounds;
}

/** Returns the name of the service that @p domain stands for, or an empty string for a fabric domain. */
std::string serviceOf(const std::string &domain)
{
    const std::string prefix = serviceDomain("");
    return domain.compare(0, prefix.size(), prefix) == 0 ? domain.substr(prefix.size()) : std::string();
}

awaitable<void> runRound(ControllerState &state, std::string domain, KeeperRound round)
{
    Keeper &keeper = state.m_keepers[domain];
    co_await keeper.m_keeper->reconcile(std::move(round), state.m_session);
    keeper.m_busy = false;
}

awaitable<void> roundLoop(ControllerState &state)
{
    while (true) {
        co_await sleepFor(RoundMs);
        const bool mayAct = state.m_plan != nullptr && state.m_node.freshness() != Freshness::Stale && !state.m_node.isStopping();
        if (!mayAct) {
            continue;
        }
        for (std::pair<const std::string, KeeperRound> &entry : allRounds(state)) {
            Keeper &keeper = state.m_keepers[entry.first];
            if (keeper.m_keeper == nullptr) {
                keeper.m_keeper =
                    std::make_unique<DomainKeeper>(state.m_node, *state.m_prober, state.m_settings, state.m_rule, entry.first, serviceOf(entry.first));
            }
            if (!keeper.m_busy) {
                keeper.m_busy = true;
                asio::co_spawn(state.m_node.context(), runRound(state, entry.first, std::move(entry.second)), asio::detached);
            }
        }
    }
}

awaitable<void> handOver(ControllerState &state)
{
    for (std::pair<const std::string, Keeper> &entry : state.m_keepers) {
        if (entry.second.m_keeper != nullptr) {
            co_await entry.second.m_keeper->release(state.m_session);
        }
    }
    if (state.m_session.m_alive) {
        co_await storeDestroySession(state.m_node.store(), state.m_session.m_id);
    }
}

std::string dump(const ControllerState &state)
{
    json::array domains;
    for (const std::pair<const std::string, Keeper> &entry : state.m_keepers) {
        if (entry.second.m_keeper == nullptr) {
            continue;
        }
        const DomainKeeper &keeper = *entry.second.m_keeper;
        json::object domain;
        domain["domain"] = entry.first;
        domain["held"] = keeper.held();
        domain["fence"] = keeper.record().m_fence;
        domain["groups"] = keeper.record().m_groups.size();
        domains.push_back(std::move(domain));
    }
    json::object object;
    object["session_alive"] = state.m_session.m_alive;
    object["listed_vms"] = state.m_listed.size();
    object["domains"] = std::move(domains);
    return json::serialize(object);
}

int runController(const ControllerSettings &settings)
{
    const Result<PlacementRule> rule = findPlugin<PlacementRule>(settings.m_placementRule);
    if (failed(rule)) {
        return ExitBadSettings;
    }
    IoThreads threads(0);
    std::unique_ptr<ControllerState> state;
    NodeHooks hooks;
    hooks.m_onView = [&state](const DocumentView &view) {
        takeView(*state, view);
    };
    hooks.m_dump = [&state]() {
        return dump(*state);
    };
    hooks.m_onStop = [&state]() {
        return handOver(*state);
    };
    Node node(threads, settings.m_common, std::move(hooks));
    state.reset(new ControllerState{node, settings, valueOf(rule), nullptr, {}, nullptr, {}, {}});
    state->m_prober = std::make_unique<Prober>(node, settings);
    asio::co_spawn(threads.control(), sessionLoop(*state), asio::detached);
    asio::co_spawn(threads.control(), listLoop(*state), asio::detached);
    asio::co_spawn(threads.control(), roundLoop(*state), asio::detached);
    return runNode(node);
}
}
}

int main(int argc, char **argv)
{
    using namespace knapweedslip;
    return daemonMain<ControllerSettings>(
        argc, argv, "knapweedslip-controller", "Forms replicas, probes upstreams and sends orders to engines", readControllerSettings, runController);
}
