#pragma once

#include "kernel/enumnames.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace knapweedslip {
enum class Role {
    Gateway,
    Controller,
    Admin,
};

inline constexpr EnumNames<3> RoleNames{"gateway", "controller", "admin"};

/** What is known about one daemon. Its owner raises the heartbeat; everybody else passes it on. */
struct Member {
    std::string m_name;
    Role m_role = Role::Gateway;
    std::string m_availabilityZone;
    /** Unix time of its start in ms; a restarted daemon is a new incarnation. */
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_heartbeat = 0;
    /** Index of its document view. */
    std::uint64_t m_viewIndex = 0;
    bool m_ready = false;
    bool m_leaving = false;
    /** Local time of the last rise of its heartbeat; not sent. */
    std::int64_t m_heardMs = -1;
};

/** A daemon named in the settings. */
struct PeerAddress {
    std::string m_name;
    std::string m_address;
    Role m_role = Role::Gateway;
    std::string m_availabilityZone;
};

/** The daemons as this one knows them. */
struct Membership {
    Member m_self;
    std::vector<PeerAddress> m_peers;
    std::map<std::string, Member> m_members;
};

inline constexpr std::int64_t MemberSilentMs = 2'000;

/** Takes over what a peer says about daemons. Lower incarnations and heartbeats are ignored. */
void mergeMembers(Membership &membership, const std::vector<Member> &members, std::int64_t nowMs);

/** Raises the own heartbeat and returns everything to be sent. */
std::vector<Member> beat(Membership &membership);

/** Heard of within MemberSilentMs. The own daemon always lives. */
bool memberLives(const Membership &membership, const std::string &name, std::int64_t nowMs);

/** Names of living daemons of @p role that are ready and not leaving, in name order. */
std::vector<std::string> livingMembers(const Membership &membership, Role role, std::int64_t nowMs);

/** Daemons known from the settings and those of them heard lately; both count this one. */
struct MemberCount {
    int m_known = 1;
    int m_living = 1;
};

MemberCount countMembers(const Membership &membership, std::int64_t nowMs);

/** Daemons, this one included, that said they hold the view of @p index or a later one. */
int countHolders(const Membership &membership, std::uint64_t index);

/**
 * This daemon should watch the store itself. In each availability zone the @p watchersPerZone living daemons with the highest
 * rendezvous weight do so, and the others hear from them; so the store's load grows with zones, not with daemons.
 */
bool shouldWatchStore(const Membership &membership, int watchersPerZone, std::int64_t nowMs);

/** Up to @p count peers to talk to in this round, chosen at random. */
std::vector<PeerAddress> choosePeers(const Membership &membership, std::size_t count, std::mt19937_64 &random);
}
