#pragma once

#include "daemons/prober.h"
#include "kernel/lease.h"
#include "kernel/registry.h"
#include "kernel/serviceplacement.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace knapweedslip
{
/** The lease of this controller in the store, under which it holds domains. */
struct ControllerSession
{
    std::string m_id;
    std::int64_t m_renewedAtMs = 0;
    bool m_alive = false;
};

/** Input that all domains share in one round. */
struct KeeperRound
{
    std::shared_ptr<const Plan> m_plan;
    std::map<std::string, int> m_wanted;
    /** Listed VMs of the domain, or the VMs of the service. */
    std::vector<VmState> m_listed;
    std::string m_availabilityZone;
    /** This controller is the one that should hold the domain. */
    bool m_preferred = false;
};

/**
 * Holds one fabric domain, or the VMs of one service, while this controller has its lease: keeps the record in the store in step with
 * the VMs and orders the engines. Works on the control thread; one call of round() at a time.
 */
class DomainKeeper
{
public:
    DomainKeeper(Node &node, Prober &prober, const ControllerSettings &settings, const PlacementRule &rule, std::string domain, std::string service);

    /** One round: claim, renew, decide, write, order. */
    awaitable<void> round(KeeperRound input, ControllerSession session);
    /** Gives the domain back in a planned stop. */
    awaitable<void> release(ControllerSession session);
    bool held() const;
    const DomainRecord &record() const;
    const std::string &domain() const;

private:
    awaitable<void> tryClaim(const KeeperRound &input, const ControllerSession &session);
    awaitable<bool> readRecord();
    awaitable<bool> writeRecord(DomainRecord next);
    awaitable<void> decide(const KeeperRound &input);
    awaitable<void> giveOrder(Order order);
    void tellGateways(const std::vector<VmState> &vms);
    std::vector<std::string> gateways() const;

    Node &m_node;
    Prober &m_prober;
    const ControllerSettings &m_settings;
    PlacementRule m_rule;
    std::string m_domain;
    std::string m_service;
    LeaseTimes m_times;
    Lease m_claim;
    DomainRecord m_record;
    std::uint64_t m_recordIndex = 0;
    std::int64_t m_nextTryMs = 0;
    std::int64_t m_otherPreferredSinceMs = -1;
    std::set<std::string> m_ordering;
    std::map<std::string, ReportKind> m_told;
    ConnectionPool m_pool;
};
}
