// Problem: the hosting platform writes the settings again at each start and change, and a misread limit would break a guarantee.
// Approach: the platform renders deploy/entry.yaml, which uses this project's names. The result is read strictly, and all findings are reported at
// once.

#include "daemons/entrysettings.h"

#include "kernel/yamlreader.h"
#include "net/asio.h"
#include "net/settings.h"
#include "net/streamwriter.h"

#include <fstream>
#include <sstream>

namespace knapweedslip
{
namespace
{
constexpr std::int64_t MaxTimeMs = 3'600'000;
constexpr double MaxRatio = 1'000'000.0;

std::string readEndpoint(YamlReader &reader, const YAML::Node &node, const std::string &key, bool required)
{
    std::string address = required ? readString(reader, node, key) : readString(reader, node, key, std::string());
    if (!address.empty() && failed(parseEndpoint(address))) {
        addFinding(reader, node[key], "'" + key + "' must be ip:port");
    }
    return address;
}

ClientBacklogLimits readClientBacklog(YamlReader &reader, const YAML::Node &root)
{
    constexpr std::int64_t LeastBytes = 4 * 1024;
    constexpr std::int64_t MostBytes = std::int64_t(64) * 1024 * 1024 * 1024;
    const ClientBacklogLimits standard = defaultClientBacklogLimits();
    const std::int64_t client = readInteger(reader, root, "client_backlog_bytes", LeastBytes, MostBytes, static_cast<std::int64_t>(standard.m_maxClientBytes));
    const std::int64_t total =
        readInteger(reader, root, "client_backlog_total_bytes", LeastBytes, MostBytes, static_cast<std::int64_t>(standard.m_maxTotalBytes));
    return {static_cast<std::size_t>(client), static_cast<std::size_t>(total)};
}
}

std::int64_t shortestOutageMs(const EntrySettings &settings)
{
    return (EntryLapseReports - 1) * settings.m_upstreamHeartbeatMs;
}

std::variant<EntrySettings, Findings> readEntrySettings(const std::string &path)
{
    YamlReader reader;
    reader.m_file = path;
    std::ifstream file(path);
    if (!file) {
        return Findings{{path, 0, 0, "the file cannot be read"}};
    }
    std::ostringstream text;
    text << file.rdbuf();
    const YAML::Node root = parseYaml(reader, text.str());
    EntrySettings settings;
    const bool known = checkKeys(reader,
                                 root,
                                 {"name",
                                  "availability_zone",
                                  "listen",
                                  "readiness_listen",
                                  "metrics_listen",
                                  "peer_listen",
                                  "cpu_share",
                                  "store_address",
                                  "store_timeout_ms",
                                  "lease_ms",
                                  "max_key_age_ms",
                                  "max_denial_age_ms",
                                  "resend_ratio",
                                  "resend_extra",
                                  "resend_window_s",
                                  "cold_share",
                                  "engines_check_fence",
                                  "stop_grace_s",
                                  "address_reuse_s",
                                  "upstream_heartbeat_ms",
                                  "overload_admission",
                                  "replicas_follow_demand",
                                  "ingress_memory_bytes",
                                  "max_client_connections",
                                  "client_backlog_bytes",
                                  "client_backlog_total_bytes"});
    if (!known) {
        return reader.m_findings;
    }
    constexpr double MsPerSecond = 1'000.0;
    settings.m_name = readString(reader, root, "name");
    settings.m_availabilityZone = readString(reader, root, "availability_zone");
    settings.m_listen = readEndpoint(reader, root, "listen", true);
    settings.m_readinessListen = readEndpoint(reader, root, "readiness_listen", true);
    settings.m_metricsListen = readEndpoint(reader, root, "metrics_listen", false);
    settings.m_peerListen = readEndpoint(reader, root, "peer_listen", true);
    settings.m_cpuShare = readReal(reader, root, "cpu_share", 0.0, MaxRatio, settings.m_cpuShare);
    settings.m_storeAddress = readEndpoint(reader, root, "store_address", true);
    settings.m_storeTimeoutMs = readInteger(reader, root, "store_timeout_ms", 10, MaxTimeMs, settings.m_storeTimeoutMs);
    settings.m_leaseMs = readInteger(reader, root, "lease_ms", 100, MaxTimeMs, settings.m_leaseMs);
    settings.m_configAgeLimits.m_maxKeyAgeMs = readInteger(reader, root, "max_key_age_ms", 100, MaxTimeMs);
    settings.m_configAgeLimits.m_maxDenialAgeMs = readInteger(reader, root, "max_denial_age_ms", 10, MaxTimeMs, 1'000);
    settings.m_resends.m_ratio = readReal(reader, root, "resend_ratio", 0.0, MaxRatio);
    settings.m_resends.m_extra = readReal(reader, root, "resend_extra", 0.0, MaxRatio);
    settings.m_resends.m_windowMs = static_cast<std::int64_t>(readReal(reader, root, "resend_window_s", 0.1, MaxRatio, 10.0) * MsPerSecond);
    settings.m_coldShare = readReal(reader, root, "cold_share", 0.0, MaxRatio, 1.0);
    // The platform renders an empty value if it does not say.
    const auto isEmpty = [&root](const char *key) {
        const YAML::Node node = root[key];
        return node.IsDefined() && node.IsNull();
    };
    settings.m_enginesCheckFence = !isEmpty("engines_check_fence") && readBool(reader, root, "engines_check_fence", false);
    settings.m_overloadAdmission = readBool(reader, root, "overload_admission", false);
    settings.m_replicasFollowDemand = readBool(reader, root, "replicas_follow_demand", false);
    settings.m_ingress = readIngressBudget(reader, root);
    settings.m_clientBacklog = readClientBacklog(reader, root);
    settings.m_stopGraceMs = static_cast<std::int64_t>(readReal(reader, root, "stop_grace_s", 0.1, MaxRatio) * MsPerSecond);
    settings.m_addressReuseMs = static_cast<std::int64_t>(readReal(reader, root, "address_reuse_s", 0.0, MaxRatio, 2.0) * MsPerSecond);
    if (!isEmpty("upstream_heartbeat_ms")) {
        settings.m_upstreamHeartbeatMs = readInteger(reader, root, "upstream_heartbeat_ms", 10, MaxTimeMs, settings.m_upstreamHeartbeatMs);
    }
    if (!reader.m_findings.empty()) {
        return reader.m_findings;
    }
    return settings;
}
}
