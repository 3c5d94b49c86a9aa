#pragma once

#include "kernel/domainrecord.h"
#include "kernel/plan.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace knapweedslip
{
/** What a controller knows about one engine VM. */
struct VmState
{
    std::string m_vm;
    std::string m_address;
    std::string m_availabilityZone;
    std::string m_domain;
    /** The engine answers probes. */
    bool m_alive = false;
    /** The VM list or the VM itself has announced that it will stop. */
    bool m_leaving = false;
    /** The engine reports that it is cold. */
    bool m_cold = false;
    std::string m_bootId;
    /** Group and generation that the engine reports it has joined; empty and 0 if none. */
    std::string m_group;
    std::uint64_t m_generation = 0;
    /** Weights in memory, as "model@version"; empty if none. */
    std::string m_loaded;
    /** Weights are being loaded now. */
    bool m_loading = false;
    /** Time for which the engine has reported no running requests, in ms; 0 while it runs any. */
    std::int64_t m_idleMs = 0;
};

enum class OrderKind {
    Join,
    Release,
};

inline constexpr EnumNames<2> OrderKindNames{"join", "release"};

/** An order to an engine: become the member with rank m_rank of a group, or leave its current group. */
struct Order
{
    OrderKind m_kind = OrderKind::Join;
    std::string m_vm;
    std::string m_address;
    /** The order holds only for this engine process. */
    std::string m_bootId;
    std::uint64_t m_fence = 0;
    std::string m_group;
    std::uint64_t m_generation = 0;
    int m_rank = 0;
    /** Weights that the engine needs, as "model@version". */
    std::string m_loaded;
    /** Addresses of all members, in rank order. */
    std::vector<std::string> m_peerAddresses;
};

/** All inputs of one placement decision. */
struct PlacementInput
{
    DomainRecord m_record;
    std::vector<VmState> m_vms;
    const Plan *m_plan = nullptr;
    /** Number of groups wanted in this domain, by model. */
    std::map<std::string, int> m_wanted;
    /** Gateways that may get a cold grant, in a fixed order. */
    std::vector<std::string> m_gateways;
    /** Number of engines of this domain that may load weights at the same time. */
    int m_maxLoads = 4;
};

struct PlacementResult
{
    DomainRecord m_record;
    /** The record differs from the input and must be written before the orders of the next round. */
    bool m_changed = false;
    /** Orders that implement the input record. They may be sent only while the lease is valid. Empty if m_changed is set. */
    std::vector<Order> m_orders;
};

/** A plug-in that repairs broken groups. */
struct PlacementRule
{
    const char *m_name = nullptr;
    const char *m_help = nullptr;
    /**
     * Repairs the broken groups of @p record with VMs from @p spares and removes the used VMs from @p spares, which holds the available VMs that are
     * in no group, in name order. May move VMs between broken groups. Does not change complete groups.
     */
    void (*m_repair)(DomainRecord &record, std::vector<VmState> &spares, const PlacementInput &input) = nullptr;
};

/** Makes one placement decision for a domain. Depends only on the current state, so a second call with the same state changes nothing. */
PlacementResult placeDomain(const PlacementRule &rule, const PlacementInput &input);

/** A draining group is dissolved when its rank 0 has been idle for this long: by then every gateway knows the phase. */
inline constexpr std::int64_t DrainIdleMs = 3'000;

/** Returns true if @p vm may be a member of a group: it is alive, is not about to stop and is not drained by @p plan. */
bool isAvailable(const VmState &vm, const Plan &plan);

/** Capacity of one fabric domain, the input of distributeGroups(). */
struct DomainCapacity
{
    std::string m_domain;
    std::string m_availabilityZone;
    /** Number of VMs that can be members of groups. */
    int m_vms = 0;
};

/** Returns the number of groups wanted, by domain and model. Every controller that sees the same VM list gets the same result. */
std::map<std::string, std::map<std::string, int>> distributeGroups(const Plan &plan, const std::vector<DomainCapacity> &domains);
}
