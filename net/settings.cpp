// Problem: a daemon that runs with a wrong setting may do more damage than one that does not start.
// Approach: YamlReader reads strictly: unknown keys, wrong types, values out of range, bad addresses and unreadable key files are findings,
// and a daemon starts only when there are none.
// If a misspelt key fell back to the default, the mistake would stay hidden until the setting matters.

#include "net/settings.h"

#include "kernel/admission.h"
#include "kernel/placement.h"
#include "kernel/registry.h"
#include "kernel/routepolicy.h"
#include "net/asio.h"
#include "net/httpserver.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace knapweedslip
{
namespace
{
constexpr std::int64_t MaxTimeMs = 86'400'000;
constexpr std::int64_t MaxThreads = 64;
constexpr std::int64_t MaxBodyBytes = 64 * 1024 * 1024;

std::string readAddress(YamlReader &reader, const YAML::Node &node, const std::string &key)
{
    std::string address = readString(reader, node, key);
    if (!address.empty() && failed(parseEndpoint(address))) {
        addFinding(reader, node[key], "'" + key + "' must be ip:port");
    }
    return address;
}

Secret readKeyFile(YamlReader &reader, const YAML::Node &node, const std::string &key)
{
    const std::string path = readString(reader, node, key);
    if (path.empty()) {
        return {};
    }
    // A relative path is relative to the folder of the settings file.
    const std::filesystem::path full = std::filesystem::path(reader.m_file).parent_path() / path;
    Result<Secret> secret = readSecret(full.string());
    if (failed(secret)) {
        addFinding(reader, node[key], errorOf(secret).m_detail);
        return {};
    }
    return valueOf(secret);
}

PeerAddress readPeer(YamlReader &reader, const YAML::Node &node)
{
    PeerAddress peer;
    if (!checkKeys(reader, node, {"name", "address", "role", "availability_zone"})) {
        return peer;
    }
    peer.m_name = readString(reader, node, "name");
    peer.m_address = readAddress(reader, node, "address");
    peer.m_availabilityZone = readString(reader, node, "availability_zone");
    const std::string role = readString(reader, node, "role");
    const std::optional<Role> found = enumFromName<Role>(RoleNames, role);
    if (!role.empty() && !found) {
        addFinding(reader, node["role"], "'role' must be gateway, controller or admin");
    }
    peer.m_role = found.value_or(Role::Gateway);
    return peer;
}

CommonSettings readCommon(YamlReader &reader, const YAML::Node &root, Role role)
{
    CommonSettings common;
    common.m_role = role;
    common.m_name = readString(reader, root, "name");
    common.m_availabilityZone = readString(reader, root, "availability_zone");
    if (role != Role::Controller) {
        common.m_listen = readAddress(reader, root, "listen");
    }
    common.m_statusListen = readAddress(reader, root, "status_listen");
    common.m_peerListen = readAddress(reader, root, "peer_listen");
    common.m_storeAddress = readAddress(reader, root, "store_address");
    common.m_storeTimeoutMs = readInteger(reader, root, "store_timeout_ms", 10, MaxTimeMs, common.m_storeTimeoutMs);
    common.m_peerSecret = readKeyFile(reader, root, "peer_secret_file");
    common.m_operatorKey = readKeyFile(reader, root, "operator_key_file");
    common.m_workerThreads = static_cast<int>(readInteger(reader, root, "worker_threads", 1, MaxThreads, common.m_workerThreads));
    common.m_watchersPerZone = static_cast<int>(readInteger(reader, root, "watchers_per_zone", 1, MaxThreads, common.m_watchersPerZone));
    common.m_maxConfigurationAgeMs = readInteger(reader, root, "max_configuration_age_ms", 500, MaxTimeMs, common.m_maxConfigurationAgeMs);
    common.m_balancerWaitMs = readInteger(reader, root, "balancer_wait_ms", 0, MaxTimeMs, common.m_balancerWaitMs);
    common.m_drainLimitMs = readInteger(reader, root, "drain_limit_ms", 0, MaxTimeMs, common.m_drainLimitMs);
    for (const YAML::Node &item : readList(reader, root, "peers")) {
        common.m_peers.push_back(readPeer(reader, item));
    }
    return common;
}

template<typename Plugin>
std::string readPlugin(YamlReader &reader, const YAML::Node &root, const std::string &key, const std::string &fallback)
{
    std::string name = readString(reader, root, key, fallback);
    const Result<Plugin> plugin = findPlugin<Plugin>(name);
    if (failed(plugin)) {
        addFinding(reader, root[key], "'" + key + "': " + errorOf(plugin).m_detail);
    }
    return name;
}

}

IngressBudgetLimits readIngressBudget(YamlReader &reader, const YAML::Node &root)
{
    constexpr std::int64_t LeastBytes = 1024 * 1024;
    constexpr std::int64_t MostBytes = std::int64_t(64) * 1024 * 1024 * 1024;
    constexpr std::int64_t MostConnections = 10'000'000;
    const IngressBudgetLimits standard = defaultIngressBudgetLimits();
    const std::int64_t bytes = readInteger(reader, root, "ingress_memory_bytes", LeastBytes, MostBytes, static_cast<std::int64_t>(standard.m_maxBytes));
    const std::int64_t connections =
        readInteger(reader, root, "max_client_connections", 1, MostConnections, static_cast<std::int64_t>(standard.m_maxConnections));
    return {static_cast<std::size_t>(bytes), static_cast<std::size_t>(connections)};
}

namespace
{
GatewaySettings readGateway(YamlReader &reader, const YAML::Node &root)
{
    GatewaySettings settings;
    settings.m_common = readCommon(reader, root, Role::Gateway);
    settings.m_routePolicy = readPlugin<RoutePolicy>(reader, root, "route_policy", "prefix-affinity");
    settings.m_admissionPolicy = readPlugin<AdmissionPolicy>(reader, root, "admission_policy", "fair-deadline");
    settings.m_defaultDeadlineMs = readInteger(reader, root, "default_deadline_ms", 1, MaxTimeMs, settings.m_defaultDeadlineMs);
    settings.m_maxDeadlineMs = readInteger(reader, root, "max_deadline_ms", 1, MaxTimeMs, settings.m_maxDeadlineMs);
    settings.m_upstreamSilenceMs = readInteger(reader, root, "upstream_silence_ms", 1, MaxTimeMs, settings.m_upstreamSilenceMs);
    settings.m_maxBodyBytes = readInteger(reader, root, "max_body_bytes", 1, MaxBodyBytes, settings.m_maxBodyBytes);
    settings.m_ingress = readIngressBudget(reader, root);
    // Two of the longest requests that are allowed always fit.
    settings.m_ingress.m_maxBytes = std::max(settings.m_ingress.m_maxBytes, 2 * static_cast<std::size_t>(settings.m_maxBodyBytes));
    settings.m_retryPercent = static_cast<int>(readInteger(reader, root, "retry_percent", 0, 100, settings.m_retryPercent));
    settings.m_intentWritesPerSecond = static_cast<int>(readInteger(reader, root, "intent_writes_per_s", 1, MaxTimeMs, settings.m_intentWritesPerSecond));
    return settings;
}

ControllerSettings readController(YamlReader &reader, const YAML::Node &root)
{
    ControllerSettings settings;
    settings.m_common = readCommon(reader, root, Role::Controller);
    settings.m_placementRule = readPlugin<PlacementRule>(reader, root, "placement_rule", "regroup");
    settings.m_probeIntervalMs = readInteger(reader, root, "probe_interval_ms", 10, MaxTimeMs, settings.m_probeIntervalMs);
    settings.m_probeTimeoutMs = readInteger(reader, root, "probe_timeout_ms", 10, MaxTimeMs, settings.m_probeTimeoutMs);
    settings.m_probeFailures = static_cast<int>(readInteger(reader, root, "probe_failures", 1, MaxThreads, settings.m_probeFailures));
    settings.m_maxLoads = static_cast<int>(readInteger(reader, root, "max_loads_per_domain", 1, MaxTimeMs, settings.m_maxLoads));
    settings.m_leaseTtlMs = readInteger(reader, root, "claim_ttl_ms", 1'000, MaxTimeMs, settings.m_leaseTtlMs);
    settings.m_orderLifeMs = readInteger(reader, root, "order_life_ms", 0, MaxTimeMs, settings.m_orderLifeMs);
    return settings;
}

AdminSettings readAdmin(YamlReader &reader, const YAML::Node &root)
{
    AdminSettings settings;
    settings.m_common = readCommon(reader, root, Role::Admin);
    settings.m_keptPlans = static_cast<int>(readInteger(reader, root, "kept_plans", 1, 256, settings.m_keptPlans));
    return settings;
}

template<typename Settings>
std::variant<Settings, Findings>
readFile(const std::string &path, std::initializer_list<std::string_view> keys, Settings (*read)(YamlReader &, const YAML::Node &))
{
    YamlReader reader{path, {}};
    std::ifstream file(path);
    if (!file) {
        return Findings{Finding{path, 0, 0, "the file cannot be read"}};
    }
    std::ostringstream text;
    text << file.rdbuf();
    const YAML::Node root = parseYaml(reader, text.str());
    if (!reader.m_findings.empty() || !checkKeys(reader, root, keys)) {
        return reader.m_findings;
    }
    Settings settings = read(reader, root);
    if (!reader.m_findings.empty()) {
        return reader.m_findings;
    }
    return settings;
}

#define KNAPWEEDSLIP_COMMON_KEYS                                                                                                               \
    "name", "availability_zone", "status_listen", "peer_listen", "store_address", "store_timeout_ms", "peer_secret_file", "operator_key_file", \
        "worker_threads", "watchers_per_zone", "max_configuration_age_ms", "balancer_wait_ms", "drain_limit_ms", "peers"
}

std::variant<GatewaySettings, Findings> readGatewaySettings(const std::string &path)
{
    return readFile<GatewaySettings>(path,
                                     {KNAPWEEDSLIP_COMMON_KEYS,
                                      "listen",
                                      "route_policy",
                                      "admission_policy",
                                      "default_deadline_ms",
                                      "max_deadline_ms",
                                      "upstream_silence_ms",
                                      "max_body_bytes",
                                      "ingress_memory_bytes",
                                      "max_client_connections",
                                      "retry_percent",
                                      "intent_writes_per_s"},
                                     readGateway);
}

std::variant<ControllerSettings, Findings> readControllerSettings(const std::string &path)
{
    return readFile<ControllerSettings>(path,
                                        {KNAPWEEDSLIP_COMMON_KEYS,
                                         "placement_rule",
                                         "probe_interval_ms",
                                         "probe_timeout_ms",
                                         "probe_failures",
                                         "max_loads_per_domain",
                                         "claim_ttl_ms",
                                         "order_life_ms"},
                                        readController);
}

std::variant<AdminSettings, Findings> readAdminSettings(const std::string &path)
{
    return readFile<AdminSettings>(path, {KNAPWEEDSLIP_COMMON_KEYS, "listen", "kept_plans"}, readAdmin);
}
}
