#pragma once

#include "kernel/ingressbudget.h"
#include "kernel/membership.h"
#include "kernel/yamlreader.h"
#include "net/keys.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace knapweedslip
{
/** Settings that all daemons have. */
struct CommonSettings
{
    std::string m_name;
    Role m_role = Role::Gateway;
    std::string m_availabilityZone;
    /** Address for callers (gateway) or operators (admin), as ip:port like all addresses here; empty for a controller. */
    std::string m_listen;
    /** Address that serves health, metrics and the state dump. */
    std::string m_statusListen;
    /** Address that accepts connections of other daemons. */
    std::string m_peerListen;
    std::string m_storeAddress;
    std::int64_t m_storeTimeoutMs = 2'000;
    std::vector<PeerAddress> m_peers;
    /** Key of the signatures on messages between daemons. */
    Secret m_peerSecret;
    /** Key that operators must send for the state dump and the administration API. */
    Secret m_operatorKey;
    int m_workerThreads = 2;
    /** Number of daemons that watch the store in each availability zone. */
    int m_watchersPerZone = 2;
    /** The daemon accepts no new work when its configuration was last confirmed longer ago than this and it reaches no quorum. */
    std::int64_t m_maxConfigurationAgeMs = 4'000;
    /** Time between reporting not ready and closing the listener, in which the balancer must notice. */
    std::int64_t m_balancerWaitMs = 3'000;
    /** Longest time that a planned stop waits for running work after the listener has closed. */
    std::int64_t m_drainLimitMs = 120'000;
};

/** Reads the limits on all connections of clients together; the defaults are defaultIngressBudgetLimits(). */
IngressBudgetLimits readIngressBudget(YamlReader &reader, const YAML::Node &root);

struct GatewaySettings
{
    CommonSettings m_common;
    std::string m_routePolicy;
    std::string m_admissionPolicy;
    std::int64_t m_defaultDeadlineMs = 30'000;
    std::int64_t m_maxDeadlineMs = 600'000;
    /** Longest time that an upstream may send nothing in the middle of a response. */
    std::int64_t m_upstreamSilenceMs = 5'000;
    std::int64_t m_maxBodyBytes = 1'048'576;
    IngressBudgetLimits m_ingress;
    /** Retries allowed for each hundred first attempts of a workspace. */
    int m_retryPercent = 10;
    /** Limit on this gateway's writes to the intent ledger per second; its part of the store's writes. */
    int m_intentWritesPerSecond = 37;
};

struct ControllerSettings
{
    CommonSettings m_common;
    std::string m_placementRule;
    std::int64_t m_probeIntervalMs = 250;
    std::int64_t m_probeTimeoutMs = 500;
    /** Consecutive failed probes after which a VM counts as dead; a refused connection is enough by itself. */
    int m_probeFailures = 3;
    /** Number of engines in one fabric domain that may load weights at the same time. */
    int m_maxLoads = 4;
    /** Time to live of a lease on a fabric domain without renewal. */
    std::int64_t m_leaseTtlMs = 6'000;
    /** Longest time that an order may be on its way; a new lease holder waits this long before its first order. */
    std::int64_t m_orderLifeMs = 1'000;
};

struct AdminSettings
{
    CommonSettings m_common;
    /** Number of earlier plans that the plan document keeps. */
    int m_keptPlans = 16;
};

/**
 * Read the settings file of a daemon. Return all findings together, not only the first. Secrets are read from the files that the settings
 * name.
 */
std::variant<GatewaySettings, Findings> readGatewaySettings(const std::string &path);
std::variant<ControllerSettings, Findings> readControllerSettings(const std::string &path);
std::variant<AdminSettings, Findings> readAdminSettings(const std::string &path);
}
