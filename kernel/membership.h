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

/** What is known about one daemon. Only that daemon raises its heartbeat; the others pass it on. */
struct Member
{
    std::string m_name;
    Role m_role = Role::Gateway;
    std::string m_availabilityZone;
    /** Unix time in ms at which the daemon started; a restart is a new incarnation. */
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_heartbeat = 0;
    /** Index of the daemon's document view. */
    std::uint64_t m_viewIndex = 0;
    bool m_ready = false;
    bool m_leaving = false;
    /**
     * Whether the daemon has known its view to be current at least once since it started. Until then it lacks what it held before the
     * restart, so its view does not show that nothing newer was accepted.
     */
    bool m_synced = false;
    /** Age in ms of this information when it was sent. */
    std::int64_t m_ageMs = 0;
    /** Local time in ms at which the heartbeat last rose, less the age of the information; not sent. */
    std::int64_t m_lastHeardMs = -1;
};

/** A daemon named in the settings. */
struct PeerAddress
{
    std::string m_name;
    std::string m_address;
    Role m_role = Role::Gateway;
    std::string m_availabilityZone;
};

/** What this daemon knows about itself and the others. */
struct Membership
{
    Member m_self;
    /** The daemons named in the settings; this one may be among them. */
    std::vector<PeerAddress> m_peers;
    /** The other daemons that were heard of, by name. */
    std::map<std::string, Member> m_members;
};

/** A daemon whose heartbeat has not risen for this long counts as dead. */
inline constexpr std::int64_t MemberTimeoutMs = 3'000;

/** Merges the members that a peer sent. Entries with an incarnation or heartbeat that is not higher than the known one are ignored. */
void mergeMembers(Membership &membership, const std::vector<Member> &members, std::int64_t nowMs);

/** Maximum number of other daemons in one message. They are chosen at random, so that a message does not grow with the deployment. */
inline constexpr std::size_t MaxMembersPerMessage = 16;

/** Raises this daemon's heartbeat. Returns its entry and a random sample of at most @p maxOthers other entries, to be sent to a peer. */
std::vector<Member> makeHeartbeatMembers(Membership &membership, std::int64_t nowMs, std::mt19937_64 &random, std::size_t maxOthers = MaxMembersPerMessage);

/** Returns whether daemon @p name is this one or its heartbeat rose within the last MemberTimeoutMs. */
bool isMemberAlive(const Membership &membership, const std::string &name, std::int64_t nowMs);

/** Returns the names of the alive daemons of @p role that are ready and not leaving, sorted. */
std::vector<std::string> availableMembers(const Membership &membership, Role role, std::int64_t nowMs);

/** Numbers of daemons named in the settings. */
struct MemberCount
{
    /** All of them and this one. */
    int m_known = 1;
    /** Those that are alive and synced, including this one if it is synced. */
    int m_syncedAlive = 0;
    /** Highest view index of this daemon and the alive ones. */
    std::uint64_t m_newestIndex = 0;
};

MemberCount countMembers(const Membership &membership, std::int64_t nowMs);

/** Returns the number of daemons, including this one, that have reported a view of @p index or a later one. */
int countHolders(const Membership &membership, std::uint64_t index);

/**
 * Returns whether this daemon should watch the store itself. In each availability zone the @p watchersPerZone alive daemons with the highest
 * rendezvous weight do so, and the others get the changes from them, so that the store's load grows with zones and not with daemons.
 */
bool shouldWatchStore(const Membership &membership, int watchersPerZone, std::int64_t nowMs);

/** Returns up to @p count peers to exchange messages with in this round, chosen at random. */
std::vector<PeerAddress> choosePeers(const Membership &membership, std::size_t count, std::mt19937_64 &random);

/**
 * Returns the peers to notify of a change immediately: a few more than the binary logarithm of the number of peers. Peers whose view is older
 * than this daemon's come first. Each receiver does the same, so that a change reaches all daemons in a few steps and no daemon notifies all of
 * them.
 */
std::vector<PeerAddress> choosePeersToNotify(const Membership &membership, std::mt19937_64 &random);
}
