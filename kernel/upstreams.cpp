// Problem: a replica is known only from the reports of its members, and a replica that lacks a member must not get requests.
// Approach: members are grouped by the name and epoch of their replica, and only replicas with every rank are returned. The model is part of the name.
// A separate table of replicas would have to be made consistent with the list after each failure.

#include "kernel/upstreams.h"

namespace knapweedslip
{
namespace
{
constexpr char NameSeparator = '.';
}

std::string replicaName(const std::string &model, std::uint64_t number)
{
    return model + NameSeparator + std::to_string(number);
}

std::string replicaModel(const std::string &name)
{
    const std::size_t end = name.rfind(NameSeparator);
    return end == std::string::npos ? std::string() : name.substr(0, end);
}

std::vector<CompleteReplica> completeReplicas(const UpstreamList &list, const std::map<std::string, int> &sizes)
{
    std::map<ReplicaRef, std::map<int, const UpstreamEntry *>> byRef;
    for (const std::pair<const std::string, UpstreamEntry> &entry : list) {
        if (!entry.second.m_replica.empty() && entry.second.m_rank >= 0) {
            byRef[entry.second.m_replica][entry.second.m_rank] = &entry.second;
        }
    }
    std::vector<CompleteReplica> replicas;
    for (const std::pair<const ReplicaRef, std::map<int, const UpstreamEntry *>> &entry : byRef) {
        const auto size = sizes.find(replicaModel(entry.first.m_name));
        const std::map<int, const UpstreamEntry *> &ranks = entry.second;
        const bool complete =
            size != sizes.end() && static_cast<int>(ranks.size()) == size->second && ranks.begin()->first == 0 && ranks.rbegin()->first == size->second - 1;
        if (!complete) {
            continue;
        }
        CompleteReplica replica;
        replica.m_ref = entry.first;
        replica.m_head = ranks.begin()->second->m_id;
        replica.m_phase = ranks.begin()->second->m_phase;
        for (const std::pair<const int, const UpstreamEntry *> &member : ranks) {
            replica.m_members.push_back(member.second->m_id);
        }
        replicas.push_back(std::move(replica));
    }
    return replicas;
}
}
