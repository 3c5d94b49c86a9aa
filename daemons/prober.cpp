// Problem: the platform's list of VMs lags behind, and only the VMs themselves know whether they are alive, cold or leaving.
// Approach: the controller that holds a domain probes its VMs, so each VM is probed by one controller. A VM that refuses the connection is
// dead immediately, and one that does not reply is dead after several failures.
// Probing from every gateway would take gateways x VMs probes.

#include "daemons/prober.h"

#include "net/jsonfields.h"

namespace knapweedslip
{
Prober::Prober(Node &node, const ControllerSettings &settings)
    : m_node(node)
    , m_settings(settings)
{
    asio::co_spawn(node.context(), probeLoop(), asio::detached);
}

void Prober::setTargets(const std::string &domain, const std::vector<VmState> &vms)
{
    if (vms.empty()) {
        m_domains.erase(domain);
        return;
    }
    Targets &targets = m_domains[domain];
    Targets newTargets;
    for (const VmState &vm : vms) {
        const auto existing = targets.find(vm.m_vm);
        Target &target = newTargets[vm.m_vm];
        if (existing != targets.end() && existing->second.m_state.m_address == vm.m_address) {
            target = existing->second;
        }
        target.m_state.m_vm = vm.m_vm;
        target.m_state.m_address = vm.m_address;
        target.m_state.m_availabilityZone = vm.m_availabilityZone;
        target.m_state.m_domain = domain;
        target.m_listedLeaving = vm.m_leaving;
    }
    targets = std::move(newTargets);
}

std::vector<VmState> Prober::states(const std::string &domain) const
{
    std::vector<VmState> states;
    const auto targets = m_domains.find(domain);
    if (targets == m_domains.end()) {
        return states;
    }
    const std::int64_t nowMs = steadyMs();
    for (const std::pair<const std::string, Target> &entry : targets->second) {
        VmState state = entry.second.m_state;
        state.m_leaving = state.m_leaving || entry.second.m_listedLeaving;
        state.m_idleMs = entry.second.m_idleSinceMs < 0 ? 0 : nowMs - entry.second.m_idleSinceMs;
        states.push_back(std::move(state));
    }
    return states;
}

bool Prober::allProbed(const std::string &domain) const
{
    const auto targets = m_domains.find(domain);
    if (targets == m_domains.end()) {
        return false;
    }
    for (const std::pair<const std::string, Target> &entry : targets->second) {
        if (!entry.second.m_probed) {
            return false;
        }
    }
    return true;
}

awaitable<void> Prober::probeLoop()
{
    while (true) {
        for (std::pair<const std::string, Targets> &domain : m_domains) {
            for (std::pair<const std::string, Target> &entry : domain.second) {
                if (!entry.second.m_probing) {
                    entry.second.m_probing = true;
                    asio::co_spawn(m_node.context(), probe(domain.first, entry.first), asio::detached);
                }
            }
        }
        co_await sleepFor(m_settings.m_probeIntervalMs);
    }
}

void Prober::recordFailure(Target &target, bool refused) const
{
    ++target.m_failures;
    if (refused || target.m_failures >= m_settings.m_probeFailures) {
        target.m_state.m_alive = false;
        target.m_probed = true;
        target.m_idleSinceMs = -1;
    }
}

void Prober::applyStatus(Target &target, const std::string &body)
{
    const boost::json::object object = parseJsonObject(body);
    if (object.empty()) {
        return;
    }
    VmState &state = target.m_state;
    state.m_alive = true;
    state.m_bootId = stringField(object, "boot_id");
    state.m_group = stringField(object, "group");
    state.m_generation = static_cast<std::uint64_t>(integerField(object, "generation"));
    state.m_loaded = stringField(object, "loaded");
    state.m_loading = boolField(object, "loading");
    state.m_cold = boolField(object, "cold");
    state.m_leaving = boolField(object, "leaving");
    const bool idle = integerField(object, "running") == 0;
    if (!idle) {
        target.m_idleSinceMs = -1;
    } else if (target.m_idleSinceMs < 0) {
        target.m_idleSinceMs = steadyMs();
    }
    target.m_failures = 0;
    target.m_probed = true;
}

awaitable<void> Prober::probe(std::string domain, std::string vm)
{
    std::string address;
    const auto before = m_domains.find(domain);
    if (before != m_domains.end() && before->second.count(vm) > 0) {
        address = before->second[vm].m_state.m_address;
    }
    HttpRequest request;
    request.m_target = "/control/status";
    const Result<HttpReply> reply = co_await httpCall(m_pool, address, std::move(request), m_settings.m_probeTimeoutMs, MaxControlReplyBytes);
    // The targets may have changed during the probe.
    const auto after = m_domains.find(domain);
    if (after == m_domains.end() || after->second.count(vm) == 0 || after->second[vm].m_state.m_address != address) {
        co_return;
    }
    Target &target = after->second[vm];
    target.m_probing = false;
    if (failed(reply)) {
        const ErrorCode code = errorOf(reply).m_code;
        recordFailure(target, code == ErrorCode::ConnectFailed || code == ErrorCode::ConnectionLost);
    } else {
        applyStatus(target, valueOf(reply).m_body);
    }
}
}
