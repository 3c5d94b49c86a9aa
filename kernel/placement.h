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
    /** Answers probes. */
    bool m_alive = false;
    /** Announced that it will stop, by the VM list or by itself. */
    bool m_leaving = false;
    /** The engine says that it is cold. */
    bool m_cold = false;
    std::string m_bootId;
    /** Group and generation the engine says it has joined; empty when none. */
    std::string m_group;
    std::uint64_t m_generation = 0;
    /** "model@version" whose weights are in memory; empty when none. */
    std::string m_loaded;
    /** Weights are being loaded now. */
    bool m_loading = false;
    /** For how long the engine has said that it runs no request, in ms; 0 while it runs any. */
    std::int64_t m_idleMs = 0;
};

enum class OrderKind {
    Join,
    Release,
};

inline constexpr EnumNames<2> OrderKindNames{"join", "release"};

/** An order to an engine: become rank m_rank of a group, or leave whatever group it is in. */
struct Order
{
    OrderKind m_kind = OrderKind::Join;
    std::string m_vm;
    std::string m_address;
    std::string m_bootId;
    std::uint64_t m_fence = 0;
    std::string m_group;
    std::uint64_t m_generation = 0;
    int m_rank = 0;
    std::string m_loaded;
    std::vector<std::string> m_peerAddresses;
};

/** Everything one placement decision depends on. */
struct PlacementInput
{
    DomainRecord m_record;
    std::vector<VmState> m_vms;
    const Plan *m_plan = nullptr;
    /** Groups wanted in this domain, by model. */
    std::map<std::string, int> m_wanted;
    /** Gateways that may hold a cold grant, in a fixed order. */
    std::vector<std::string> m_gateways;
    /** Engines of this domain that may load weights at the same time. */
    int m_maxLoads = 4;
};

struct PlacementResult
{
    DomainRecord m_record;
    /** The record differs from the input and must be written before the orders of the next round. */
    bool m_changed = false;
    /** Orders that agree with the input record; to be sent only while the claim is valid. */
    std::vector<Order> m_orders;
};

/** Chooses the VMs of one group. A rule is a plug-in. */
struct PlacementRule
{
    const char *m_name = nullptr;
    const char *m_help = nullptr;
    /**
     * Repairs broken groups of @p record from @p spares (VMs in no group, usable, in name order) and takes used spares out of it.
     * May move VMs between broken groups. Does not touch groups that are whole.
     */
    void (*m_repair)(DomainRecord &record, std::vector<VmState> &spares, const PlacementInput &input) = nullptr;
};

/** One decision for a domain: level triggered, so calling it again without news changes nothing. */
PlacementResult placeDomain(const PlacementRule &rule, const PlacementInput &input);

/** A draining group is taken apart when its rank 0 has been idle this long: every gateway has heard of the phase by then. */
inline constexpr std::int64_t DrainIdleMs = 3'000;

/** A VM may become a member of a group. */
bool usable(const VmState &vm, const Plan &plan);

/** Capacity of one fabric domain, for sharing out groups. */
struct DomainCapacity
{
    std::string m_domain;
    std::string m_availabilityZone;
    int m_vms = 0;
};

/** Groups wanted per domain and model; the same on every controller that sees the same VM list. */
std::map<std::string, std::map<std::string, int>> shareOutGroups(const Plan &plan, const std::vector<DomainCapacity> &domains);
}
