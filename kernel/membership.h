#pragma once

#include "kernel/enumnames.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace knapweedslip
{
enum class Role {
    Gateway,
    Controller,
    Admin,
};

inline constexpr EnumNames<3> RoleNames{"gateway", "controller", "admin"};

/** What is known about one daemon. Its owner raises the heartbeat; everybody else passes it on. */
struct Member
{
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
    /**
     * Since its start it has been sure once that its view was current. Until then it has forgotten what it held before and is no witness
     * that nothing newer was accepted.
     */
    bool m_synced = false;
    /** How old this news of it is, as sent, in ms. */
    std::int64_t m_ageMs = 0;
    /** Local time of the last rise of its heartbeat, less the age of the news; not sent. */
    std::int64_t m_heardMs = -1;
};

/** A daemon named in the settings. */
struct PeerAddress
{
    std::string m_name;
    std::string m_address;
    Role m_role = Role::Gateway;
    std::string m_availabilityZone;
};

/** The daemons as this one knows them. */
struct Membership
{
    Member m_self;
    std::vector<PeerAddress> m_peers;
    std::map<std::string, Member> m_members;
};

inline constexpr std::int64_t MemberSilentMs = 3'000;

/** Takes over what a peer says about daemons. Lower incarnations and heartbeats are ignored. */
void mergeMembers(Membership &membership, const std::vector<Member> &members, std::int64_t nowMs);

/** Other daemons named in one message, at most; chosen at random, so that a message's size does not grow with the deployment. */
inline constexpr std::size_t MembersPerMessage = 16;

/** Raises the own heartbeat and returns the own entry and a sample of at most @p others of the others. */
std::vector<Member> beat(Membership &membership, std::int64_t nowMs, std::mt19937_64 &random, std::size_t others = MembersPerMessage);

/** Heard of within MemberSilentMs. The own daemon always lives. */
bool memberLives(const Membership &membership, const std::string &name, std::int64_t nowMs);

/** Names of living daemons of @p role that are ready and not leaving, in name order. */
std::vector<std::string> livingMembers(const Membership &membership, Role role, std::int64_t nowMs);

/** Daemons known from the settings, and those of them that are synced and were heard lately; both count this one. */
struct MemberCount
{
    int m_known = 1;
    int m_living = 0;
    /** Highest view index that a living one says it holds. */
    std::uint64_t m_newestIndex = 0;
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

/**
 * Peers to be told of fresh news at once: a few more than the logarithm of their number, those behind this daemon's view first. Each that
 * hears it does the same, so that all hear it in a few steps and no daemon talks to all.
 */
std::vector<PeerAddress> chooseNewsPeers(const Membership &membership, std::mt19937_64 &random);
}
