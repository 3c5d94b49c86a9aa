#pragma once

#include "kernel/enumnames.h"
#include "kernel/storeposition.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace knapweedslip
{
/**
 * Identifies a replica (also called a serving group): the engines that together serve one copy of a model. A replica never changes its
 * members; a replacement with other members has a new epoch.
 */
struct ReplicaRef
{
    std::string m_name;
    std::uint64_t m_epoch = 0;

    bool operator==(const ReplicaRef &other) const
    {
        return m_epoch == other.m_epoch && m_name == other.m_name;
    }
    bool operator<(const ReplicaRef &other) const
    {
        return std::tie(m_epoch, m_name) < std::tie(other.m_epoch, other.m_name);
    }
    bool empty() const
    {
        return m_name.empty();
    }
};

/** Phase of an engine within its replica, as the engine reports it. */
enum class MemberPhase {
    None,
    Joining,
    Ready,
    Open,
    Closing,
    Broken,
};

inline constexpr EnumNames<6> MemberPhaseNames{"none", "joining", "ready", "open", "closing", "broken"};

/** State of one upstream, as published in the list of upstreams or reported by the upstream itself. */
struct UpstreamEntry
{
    std::string m_id;
    std::string m_service;
    std::string m_address;
    std::string m_availabilityZone;
    /** Requests that the upstream can run at the same time. */
    int m_slots = 1;
    /** The upstream announced that it will stop. */
    bool m_leaving = false;
    /** Until when the upstream is cold, in ms of the local clock; 0 if it is warm. */
    std::int64_t m_coldUntilMs = 0;
    /** Unix time in ms at which the upstream started. After a restart it may have the same id, but not the same start time. */
    std::int64_t m_startedMs = 0;
    /** Number of the write that published this entry, as the upstream counts its writes since its start; -1 if it did not say. */
    std::int64_t m_writeNumber = -1;
    /** Position of that write in the store, and when this daemon read it, in ms of the local clock. */
    StorePosition m_position;
    std::int64_t m_readMs = 0;
    /** The write was made after this time, in ms of the local clock; -1 if that is not known. */
    std::int64_t m_writtenAfterMs = -1;

    /** Fabric domain of an engine VM; empty for upstreams that are not engines. */
    std::string m_domain;
    /** Models whose weights are stored on the VM. */
    std::vector<std::string> m_stagedModels;
    /** The replica that the engine is a member of; empty if none. */
    ReplicaRef m_replica;
    /** Position among the members; the head has rank 0. -1 without a replica. */
    int m_rank = -1;
    MemberPhase m_phase = MemberPhase::None;
    /** Number of orders that the engine has begun to carry out since its start; -1 if it did not say. */
    std::int64_t m_ordersBegun = -1;
};

/** The upstreams known to a daemon, by id. */
using UpstreamList = std::map<std::string, UpstreamEntry>;

/** A replica of which all members are listed. */
struct CompleteReplica
{
    ReplicaRef m_ref;
    /** Id of the member that accepts requests. */
    std::string m_head;
    /** Ids of the members, head first. */
    std::vector<std::string> m_members;
    /** Phase of the head. */
    MemberPhase m_phase = MemberPhase::None;
};

/** Returns the name of a replica of @p model. The name contains the model, which replicaModel() extracts, so it is not stored separately. */
std::string replicaName(const std::string &model, std::uint64_t number);
/** Returns the model in a name made by replicaName(), or an empty string if @p name contains none. */
std::string replicaModel(const std::string &name);

/**
 * Returns the replicas of which all members are in @p list, with distinct ranks from 0. @p sizes holds the number of members by model;
 * replicas of other models are left out.
 */
std::vector<CompleteReplica> completeReplicas(const UpstreamList &list, const std::map<std::string, int> &sizes);
}
