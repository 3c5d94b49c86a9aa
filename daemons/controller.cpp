// Problem: replicas must be formed, repaired and warmed by whichever controllers are alive, without a dedicated one.
// Approach: every controller runs the same loop. Each fabric domain and each service is held by one controller at a time under a lease. The
// preferred holder is the controller with the highest rendezvous weight among those alive.
// A single elected controller would take long to replace and would have to probe every VM.

#include "daemons/domainreconciler.h"
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
constexpr std::int64_t ReconcileIntervalMs = 100;
constexpr std::int64_t ListIntervalMs = 1'000;
constexpr std::int64_t SessionRetryMs = 200;

/** A domain or service that this controller may hold. */
struct ManagedDomain
{
    std::unique_ptr<DomainReconciler> m_reconciler;
    /** A reconciliation is in progress. */
    bool m_reconciling = false;
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
    std::map<std::string, ManagedDomain> m_managedDomains;
};

void applyView(ControllerState &state, const DocumentView &view)
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
                co_await sleepFor(SessionRetryMs);
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

awaitable<void> listVmsLoop(ControllerState &state)
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
bool isPreferred(const ControllerState &state, const std::string &domain)
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

std::map<std::string, ReconcileInput> makeEngineInputs(const ControllerState &state)
{
    std::map<std::string, ReconcileInput> inputs;
    for (const ListedVm &listed : state.m_listed) {
        ReconcileInput &input = inputs[listed.m_domain];
        input.m_listed.push_back(toVmState(listed));
        input.m_availabilityZone = listed.m_availabilityZone;
    }
    std::vector<DomainCapacity> capacities;
    capacities.reserve(inputs.size());
    for (const std::pair<const std::string, ReconcileInput> &entry : inputs) {
        // Zones that are out of service keep their groups, so that they can serve immediately when they return.
        capacities.push_back({entry.first, entry.second.m_availabilityZone, static_cast<int>(entry.second.m_listed.size())});
    }
    const std::map<std::string, std::map<std::string, int>> shares = distributeGroups(*state.m_plan, capacities);
    for (std::pair<const std::string, ReconcileInput> &entry : inputs) {
        const auto share = shares.find(entry.first);
        if (share != shares.end()) {
            entry.second.m_wanted = share->second;
        }
    }
    return inputs;
}

std::map<std::string, ReconcileInput> makeInputs(const ControllerState &state)
{
    std::map<std::string, ReconcileInput> inputs = makeEngineInputs(state);
    for (const ServicePlan &service : state.m_plan->m_services) {
        ReconcileInput &input = inputs[serviceDomain(service.m_name)];
        for (const ServiceUpstream &upstream : service.m_upstreams) {
            VmState vm;
            vm.m_vm = upstream.m_vm;
            vm.m_address = upstream.m_address;
            vm.m_availabilityZone = upstream.m_availabilityZone;
            input.m_listed.push_back(std::move(vm));
        }
    }
    for (std::pair<const std::string, ReconcileInput> &entry : inputs) {
        entry.second.m_plan = state.m_plan;
        entry.second.m_preferred = isPreferred(state, entry.first);
    }
    return inputs;
}

/** Returns the name of the service that @p domain stands for, or an empty string for a fabric domain. */
std::string serviceName(const std::string &domain)
{
    const std::string prefix = serviceDomain("");
    return domain.compare(0, prefix.size(), prefix) == 0 ? domain.substr(prefix.size()) : std::string();
}

awaitable<void> reconcileDomain(ControllerState &state, std::string domain, ReconcileInput input)
{
    ManagedDomain &managed = state.m_managedDomains[domain];
    co_await managed.m_reconciler->reconcile(std::move(input), state.m_session);
    managed.m_reconciling = false;
}

awaitable<void> reconcileLoop(ControllerState &state)
{
    while (true) {
        co_await sleepFor(ReconcileIntervalMs);
        const bool mayAct = state.m_plan != nullptr && state.m_node.freshness() != Freshness::Stale && !state.m_node.isStopping();
        if (!mayAct) {
            continue;
        }
        for (std::pair<const std::string, ReconcileInput> &entry : makeInputs(state)) {
            ManagedDomain &managed = state.m_managedDomains[entry.first];
            if (managed.m_reconciler == nullptr) {
                managed.m_reconciler =
                    std::make_unique<DomainReconciler>(state.m_node, *state.m_prober, state.m_settings, state.m_rule, entry.first, serviceName(entry.first));
            }
            if (!managed.m_reconciling) {
                managed.m_reconciling = true;
                asio::co_spawn(state.m_node.context(), reconcileDomain(state, entry.first, std::move(entry.second)), asio::detached);
            }
        }
    }
}

awaitable<void> releaseDomains(ControllerState &state)
{
    for (std::pair<const std::string, ManagedDomain> &entry : state.m_managedDomains) {
        if (entry.second.m_reconciler != nullptr) {
            co_await entry.second.m_reconciler->release(state.m_session);
        }
    }
    if (state.m_session.m_alive) {
        co_await storeDestroySession(state.m_node.store(), state.m_session.m_id);
    }
}

std::string dump(const ControllerState &state)
{
    json::array domains;
    for (const std::pair<const std::string, ManagedDomain> &entry : state.m_managedDomains) {
        if (entry.second.m_reconciler == nullptr) {
            continue;
        }
        const DomainReconciler &managed = *entry.second.m_reconciler;
        json::object domain;
        domain["domain"] = entry.first;
        domain["held"] = managed.held();
        domain["fence"] = managed.record().m_fence;
        domain["groups"] = managed.record().m_groups.size();
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
        applyView(*state, view);
    };
    hooks.m_dump = [&state]() {
        return dump(*state);
    };
    hooks.m_onStop = [&state]() {
        return releaseDomains(*state);
    };
    Node node(threads, settings.m_common, std::move(hooks));
    state.reset(new ControllerState{node, settings, valueOf(rule), nullptr, {}, nullptr, {}, {}});
    state->m_prober = std::make_unique<Prober>(node, settings);
    asio::co_spawn(threads.control(), sessionLoop(*state), asio::detached);
    asio::co_spawn(threads.control(), listVmsLoop(*state), asio::detached);
    asio::co_spawn(threads.control(), reconcileLoop(*state), asio::detached);
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
