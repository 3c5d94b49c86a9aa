// Problem: every daemon must know who lives, who is ready and who holds which view, with nobody set aside to keep the list.
// Approach: gossip. Each daemon raises its own heartbeat and passes on the highest it has seen of the others to a few random peers;
// a daemon whose heartbeat has not risen for a while counts as dead. State and messages grow with the daemons of one region only.
// All-to-all heartbeats cost messages in the square of the number of daemons, and leases in the store cost it writes.

#include "kernel/membership.h"

#include "kernel/hashing.h"

#include <algorithm>

namespace knapweedslip {
void mergeMembers(Membership &membership, const std::vector<Member> &members, std::int64_t nowMs)
{
    for (const Member &member : members) {
        if (member.m_name == membership.m_self.m_name) {
            continue;
        }
        const auto [it, isNew] = membership.m_members.try_emplace(member.m_name, member);
        Member &held = it->second;
        const bool newer = member.m_incarnation > held.m_incarnation || (member.m_incarnation == held.m_incarnation && member.m_heartbeat > held.m_heartbeat);
        if (isNew || newer) {
            held = member;
            held.m_heardMs = nowMs;
        }
    }
}

std::vector<Member> beat(Membership &membership)
{
    ++membership.m_self.m_heartbeat;
    std::vector<Member> members{membership.m_self};
    for (const std::pair<const std::string, Member> &entry : membership.m_members) {
        members.push_back(entry.second);
    }
    return members;
}

bool memberLives(const Membership &membership, const std::string &name, std::int64_t nowMs)
{
    if (name == membership.m_self.m_name) {
        return true;
    }
    const auto it = membership.m_members.find(name);
    return it != membership.m_members.end() && nowMs - it->second.m_heardMs <= MemberSilentMs;
}

std::vector<std::string> livingMembers(const Membership &membership, Role role, std::int64_t nowMs)
{
    std::vector<std::string> names;
    const auto add = [&](const Member &member) {
        if (member.m_role == role && member.m_ready && !member.m_leaving && memberLives(membership, member.m_name, nowMs)) {
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
    for (const PeerAddress &peer : membership.m_peers) {
        if (peer.m_name == membership.m_self.m_name) {
            continue;
        }
        ++count.m_known;
        count.m_living += memberLives(membership, peer.m_name, nowMs) ? 1 : 0;
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
    const std::uint64_t own = rendezvousWeight(zone, membership.m_self.m_name);
    int better = 0;
    for (const std::pair<const std::string, Member> &entry : membership.m_members) {
        const Member &member = entry.second;
        const bool counts = member.m_availabilityZone == zone && !member.m_leaving && memberLives(membership, member.m_name, nowMs);
        better += counts && rendezvousWeight(zone, member.m_name) > own ? 1 : 0;
    }
    return better < watchersPerZone;
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
}
