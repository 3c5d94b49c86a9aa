#pragma once

#include "kernel/enumnames.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace knapweedslip
{
/** A serving group in one composition: any change of members is a new epoch. */
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

/** What an engine says about its place in a serving group. */
enum class MemberPhase {
    None,
    Joining,
    Ready,
    Open,
    Closing,
    Broken,
};

inline constexpr EnumNames<6> MemberPhaseNames{"none", "joining", "ready", "open", "closing", "broken"};

/** What is published about one upstream, in the list of upstreams or by itself. */
struct UpstreamEntry
{
    std::string m_id;
    std::string m_service;
    std::string m_address;
    std::string m_availabilityZone;
    int m_slots = 1;
    /** It announced that it will stop. */
    bool m_leaving = false;
    /** It stays cold until then, in local time; 0 when warm. */
    std::int64_t m_coldUntilMs = 0;
    /** Unix time of its start; an upstream that starts anew may keep its id, but not this. */
    std::int64_t m_bornMs = 0;

    /** Fabric domain of an engine VM; empty for plain services. */
    std::string m_domain;
    /** Models whose weights lie on the VM. */
    std::vector<std::string> m_stagedModels;
    ReplicaRef m_replica;
    int m_rank = -1;
    MemberPhase m_phase = MemberPhase::None;
};

/** The upstreams as a daemon believes them, by id. */
using UpstreamList = std::map<std::string, UpstreamEntry>;

/** A serving group whose members all stand in the list. */
struct ListedReplica
{
    ReplicaRef m_ref;
    /** The member that takes requests. */
    std::string m_head;
    std::vector<std::string> m_members;
    MemberPhase m_phase = MemberPhase::None;
};

/** Name for a serving group of @p model; replicaModel() reads the model back, so that it need not be stored. */
std::string replicaName(const std::string &model, std::uint64_t number);
/** The model in a name made by replicaName(), or empty. */
std::string replicaModel(const std::string &name);

/** The groups of @p list that have all of their @p sizes (by model) members, with distinct ranks from 0. */
std::vector<ListedReplica> wholeReplicas(const UpstreamList &list, const std::map<std::string, int> &sizes);
}
