// Problem: every daemon must know which daemons are alive and ready and which view each of them holds, without a central list.
// Approach: gossip. Each daemon raises its own heartbeat and sends it, with the highest heartbeats it has seen of some others, to a random
// peer; a daemon whose heartbeat has not risen for a while counts as dead. The size of a message is bounded, and a change is sent to a few
// peers that send it on.
// With all-to-all heartbeats the number of messages grows with the square of the number of daemons; leases in the store cost it writes.

#include "kernel/membership.h"

#include "kernel/hashing.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace knapweedslip
{
void mergeMembers(Membership &membership, const std::vector<Member> &members, std::int64_t nowMs)
{
    for (const Member &member : members) {
        if (member.m_name == membership.m_self.m_name) {
            continue;
        }
        const auto [it, isNew] = membership.m_members.try_emplace(member.m_name, member);
        Member &existing = it->second;
        const bool newer =
            member.m_incarnation > existing.m_incarnation || (member.m_incarnation == existing.m_incarnation && member.m_heartbeat > existing.m_heartbeat);
        if (isNew || newer) {
            // A peer that was disconnected sends old information; it must not make a dead daemon look alive.
            existing = member;
            existing.m_lastHeardMs = nowMs - member.m_ageMs;
        }
    }
}

std::vector<Member> makeHeartbeatMembers(Membership &membership, std::int64_t nowMs, std::mt19937_64 &random, std::size_t maxOthers)
{
    ++membership.m_self.m_heartbeat;
    std::vector<Member> members{membership.m_self};
    std::vector<Member> known;
    known.reserve(membership.m_members.size());
    for (const std::pair<const std::string, Member> &entry : membership.m_members) {
        known.push_back(entry.second);
        known.back().m_ageMs = std::max<std::int64_t>(0, nowMs - entry.second.m_lastHeardMs);
    }
    std::sample(known.begin(), known.end(), std::back_inserter(members), maxOthers, random);
    return members;
}

bool isMemberAlive(const Membership &membership, const std::string &name, std::int64_t nowMs)
{
    if (name == membership.m_self.m_name) {
        return true;
    }
    const auto it = membership.m_members.find(name);
    return it != membership.m_members.end() && nowMs - it->second.m_lastHeardMs <= MemberTimeoutMs;
}

std::vector<std::string> availableMembers(const Membership &membership, Role role, std::int64_t nowMs)
{
    std::vector<std::string> names;
    const auto add = [&](const Member &member) {
        if (member.m_role == role && member.m_ready && !member.m_leaving && isMemberAlive(membership, member.m_name, nowMs)) {
            names.push_back(member.m_name);
        }
    };
    add(membership.m_self);
    for (const std::pair<const std::string, Member> &entry : membership.m_members) {
        add(entry.second);
    }
    std::sort(names.begin(), names.end());
    return names;
}

MemberCount countMembers(const Membership &membership, std::int64_t nowMs)
{
    MemberCount count;
    count.m_newestIndex = membership.m_self.m_viewIndex;
    count.m_syncedAlive = membership.m_self.m_synced ? 1 : 0;
    for (const PeerAddress &peer : membership.m_peers) {
        if (peer.m_name == membership.m_self.m_name) {
            continue;
        }
        ++count.m_known;
        if (isMemberAlive(membership, peer.m_name, nowMs)) {
            count.m_syncedAlive += membership.m_members.at(peer.m_name).m_synced ? 1 : 0;
            count.m_newestIndex = std::max(count.m_newestIndex, membership.m_members.at(peer.m_name).m_viewIndex);
        }
    }
    return count;
}

int countHolders(const Membership &membership, std::uint64_t index)
{
    int holders = membership.m_self.m_viewIndex >= index ? 1 : 0;
    for (const std::pair<const std::string, Member> &entry : membership.m_members) {
        holders += entry.second.m_viewIndex >= index ? 1 : 0;
    }
    return holders;
}

bool shouldWatchStore(const Membership &membership, int watchersPerZone, std::int64_t nowMs)
{
    const std::string &zone = membership.m_self.m_availabilityZone;
    const std::uint64_t ownWeight = rendezvousWeight(zone, membership.m_self.m_name);
    int higherRanked = 0;
    for (const std::pair<const std::string, Member> &entry : membership.m_members) {
        const Member &member = entry.second;
        const bool eligible = member.m_availabilityZone == zone && !member.m_leaving && isMemberAlive(membership, member.m_name, nowMs);
        higherRanked += eligible && rendezvousWeight(zone, member.m_name) > ownWeight ? 1 : 0;
    }
    return higherRanked < watchersPerZone;
}

std::vector<PeerAddress> choosePeers(const Membership &membership, std::size_t count, std::mt19937_64 &random)
{
    std::vector<PeerAddress> peers;
    for (const PeerAddress &peer : membership.m_peers) {
        if (peer.m_name != membership.m_self.m_name) {
            peers.push_back(peer);
        }
    }
    std::shuffle(peers.begin(), peers.end(), random);
    peers.resize(std::min(peers.size(), count));
    return peers;
}

std::vector<PeerAddress> choosePeersToNotify(const Membership &membership, std::mt19937_64 &random)
{
    constexpr std::size_t ExtraPeers = 3;
    std::vector<PeerAddress> peers = choosePeers(membership, membership.m_peers.size(), random);
    const auto behind = [&membership](const PeerAddress &peer) {
        const auto it = membership.m_members.find(peer.m_name);
        return it == membership.m_members.end() || it->second.m_viewIndex < membership.m_self.m_viewIndex;
    };
    std::stable_partition(peers.begin(), peers.end(), behind);
    const std::size_t count = ExtraPeers + static_cast<std::size_t>(std::ceil(std::log2(static_cast<double>(peers.size()) + 1.0)));
    peers.resize(std::min(peers.size(), count));
    return peers;
}
}
