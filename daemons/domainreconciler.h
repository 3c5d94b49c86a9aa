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
/** The store session of this controller. Its leases on domains depend on it. */
struct ControllerSession
{
    std::string m_id;
    std::int64_t m_renewedAtMs = 0;
    bool m_alive = false;
};

/** The input of one reconciliation of a domain. */
struct ReconcileInput
{
    std::shared_ptr<const Plan> m_plan;
    /** Desired number of groups of each model in the domain. */
    std::map<std::string, int> m_wanted;
    /** The VMs that the store lists for the domain, or the VMs of the service. */
    std::vector<VmState> m_listed;
    std::string m_availabilityZone;
    /** This controller has the highest rendezvous weight for the domain among those alive. */
    bool m_preferred = false;
};

/**
 * Manages one fabric domain, or the VMs of one service, while this controller holds the lease on it: keeps the record in the store up to
 * date with the VMs and sends orders to the engines. Must be used on the control thread, with one call of reconcile() at a time.
 */
class DomainReconciler
{
public:
    DomainReconciler(Node &node, Prober &prober, const ControllerSettings &settings, const PlacementRule &rule, std::string domain, std::string service);

    /**
     * Acquires the lease if it is not held and reports the state of the groups to the gateways. With the lease, writes the next record, or
     * sends the orders that are due if the record does not change.
     */
    awaitable<void> reconcile(ReconcileInput input, ControllerSession session);
    /** Waits for the orders in progress and gives the lease back. */
    awaitable<void> release(ControllerSession session);
    /** Returns true while this controller holds the lease. */
    bool held() const;
    const DomainRecord &record() const;
    const std::string &domain() const;

private:
    awaitable<void> tryAcquireLease(const ReconcileInput &input, const ControllerSession &session);
    /** Reads the record from the store. Returns false if it cannot be read or decoded. */
    awaitable<bool> readRecord();
    /** Writes @p next by compare-and-swap and reads it back. Returns false if the write or the read failed. */
    awaitable<bool> writeRecord(DomainRecord next);
    awaitable<void> updateRecordOrSendOrders(const ReconcileInput &input);
    awaitable<void> sendOrder(Order order);
    /** Reports lost, cold, leaving and recovered groups to the gateways. */
    void reportToGateways(const std::vector<VmState> &vms);
    std::vector<std::string> gateways() const;

    Node &m_node;
    Prober &m_prober;
    const ControllerSettings &m_settings;
    PlacementRule m_rule;
    std::string m_domain;
    std::string m_service;
    LeaseTimes m_leaseTimes;
    Lease m_lease;
    DomainRecord m_record;
    std::uint64_t m_recordIndex = 0;
    std::int64_t m_nextAcquireMs = 0;
    /** When another controller became the preferred one; -1 while this one is. */
    std::int64_t m_otherPreferredSinceMs = -1;
    /** VMs with an order in progress. */
    std::set<std::string> m_vmsWithOrder;
    /** Last determined state of each group, by its id. */
    std::map<std::string, ReportKind> m_lastReports;
    ConnectionPool m_pool;
};
}
