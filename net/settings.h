#pragma once

#include "kernel/membership.h"
#include "kernel/yamlreader.h"
#include "net/keys.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace knapweedslip
{
/** Settings that every daemon has. */
struct CommonSettings
{
    std::string m_name;
    Role m_role = Role::Gateway;
    std::string m_availabilityZone;
    /** Address for callers (gateway) or operators (admin); empty for a controller. */
    std::string m_listen;
    /** Address for health, metrics and the state dump. */
    std::string m_statusListen;
    std::string m_peerListen;
    std::string m_storeAddress;
    std::int64_t m_storeTimeoutMs = 2'000;
    std::vector<PeerAddress> m_peers;
    Secret m_peerSecret;
    Secret m_operatorKey;
    int m_workerThreads = 2;
    /** Store watchers in each availability zone. */
    int m_watchersPerZone = 2;
    /** Above this age of the configuration, and without a quorum, the daemon takes no new work. */
    std::int64_t m_maxConfigurationAgeMs = 4'000;
    /** Between 'not ready' and the closing of the listener, so that the balancer has noticed. */
    std::int64_t m_balancerWaitMs = 3'000;
    /** Longest planned stop. */
    std::int64_t m_drainLimitMs = 120'000;
};

struct GatewaySettings
{
    CommonSettings m_common;
    std::string m_routePolicy;
    std::string m_admissionPolicy;
    std::int64_t m_defaultDeadlineMs = 30'000;
    std::int64_t m_maxDeadlineMs = 600'000;
    /** Longest silence of an upstream between two pieces of an answer. */
    std::int64_t m_upstreamSilenceMs = 5'000;
    std::int64_t m_maxBodyBytes = 1'048'576;
    int m_retryPercent = 10;
    /** Writes of the intent ledger by this gateway, a second. */
    int m_intentWritesPerSecond = 37;
};

struct ControllerSettings
{
    CommonSettings m_common;
    std::string m_placementRule;
    std::int64_t m_probeIntervalMs = 250;
    std::int64_t m_probeTimeoutMs = 500;
    /** Failed probes in a row after which a VM counts as dead; a refused connection counts at once. */
    int m_probeFailures = 3;
    int m_maxLoads = 4;
    std::int64_t m_claimTtlMs = 6'000;
    std::int64_t m_orderLifeMs = 1'000;
};

struct AdminSettings
{
    CommonSettings m_common;
    /** Earlier plans kept in the plan document. */
    int m_keptPlans = 16;
};

/** Readers of each daemon's file; all findings come together. Keys are read from the files that the settings name. */
std::variant<GatewaySettings, Findings> readGatewaySettings(const std::string &path);
std::variant<ControllerSettings, Findings> readControllerSettings(const std::string &path);
std::variant<AdminSettings, Findings> readAdminSettings(const std::string &path);
}
