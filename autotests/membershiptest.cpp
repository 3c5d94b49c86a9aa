#include "kernel/membership.h"

#include <catch2/catch.hpp>

using namespace knapweedslip;

namespace
{
std::vector<Membership> deployment(int count)
{
    std::vector<Membership> daemons(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        Membership &daemon = daemons[static_cast<std::size_t>(i)];
        daemon.m_self.m_name = "d" + std::to_string(i);
        daemon.m_self.m_availabilityZone = "z" + std::to_string(i % 3);
        daemon.m_self.m_incarnation = 1;
        daemon.m_self.m_ready = true;
        daemon.m_self.m_synced = true;
        for (int j = 0; j < count; ++j) {
            daemon.m_peers.push_back({"d" + std::to_string(j), {}, Role::Gateway, "z" + std::to_string(j % 3)});
        }
    }
    return daemons;
}

void gossipRound(std::vector<Membership> &daemons, std::mt19937_64 &random, std::int64_t nowMs, std::size_t dead)
{
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        const std::size_t j = random() % daemons.size();
        if (i != j && i != dead && j != dead) {
            mergeMembers(daemons[j], makeHeartbeatMembers(daemons[i], nowMs, random), nowMs);
            mergeMembers(daemons[i], makeHeartbeatMembers(daemons[j], nowMs, random), nowMs);
        }
    }
}
}

TEST_CASE("every daemon learns of all others and of a failed one, with messages of bounded size", "[membership]")
{
    for (const int count : {8, 24, 34}) {
        INFO(count << " daemons");
        std::vector<Membership> daemons = deployment(count);
        std::mt19937_64 random(1);
        std::int64_t now = 0;
        for (; now < 10'000; now += 200) {
            gossipRound(daemons, random, now, daemons.size());
        }
        for (const Membership &daemon : daemons) {
            CHECK(countMembers(daemon, now).m_syncedAlive == count);
            CHECK(availableMembers(daemon, Role::Gateway, now).size() == static_cast<std::size_t>(count));
        }
        for (const std::int64_t end = now + 6'000; now < end; now += 200) {
            gossipRound(daemons, random, now, 0);
        }
        for (std::size_t i = 1; i < daemons.size(); ++i) {
            CHECK_FALSE(isMemberAlive(daemons[i], "d0", now));
            CHECK(countMembers(daemons[i], now).m_syncedAlive == count - 1);
        }
        CHECK(makeHeartbeatMembers(daemons[1], now, random).size() <= MaxMembersPerMessage + 1);
    }
}

TEST_CASE("a few daemons of each zone watch the store, and another replaces a failed one", "[membership]")
{
    std::vector<Membership> daemons = deployment(24);
    std::mt19937_64 random(2);
    std::int64_t now = 0;
    for (; now < 10'000; now += 200) {
        gossipRound(daemons, random, now, daemons.size());
    }
    std::map<std::string, int> watchers;
    std::size_t someWatcher = 0;
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        if (shouldWatchStore(daemons[i], 2, now)) {
            ++watchers[daemons[i].m_self.m_availabilityZone];
            someWatcher = i;
        }
    }
    for (const std::pair<const std::string, int> &zone : watchers) {
        CHECK(zone.second == 2);
    }
    CHECK(watchers.size() == 3);
    for (const std::int64_t end = now + 6'000; now < end; now += 200) {
        gossipRound(daemons, random, now, someWatcher);
    }
    int watcherCount = 0;
    for (std::size_t i = 0; i < daemons.size(); ++i) {
        const bool sameZone = daemons[i].m_self.m_availabilityZone == daemons[someWatcher].m_self.m_availabilityZone;
        watcherCount += i != someWatcher && sameZone && shouldWatchStore(daemons[i], 2, now) ? 1 : 0;
    }
    CHECK(watcherCount == 2);
}

TEST_CASE("old incarnations and heartbeats do not make a daemon look alive", "[membership]")
{
    Membership daemon;
    daemon.m_self.m_name = "self";
    Member member;
    member.m_name = "other";
    member.m_incarnation = 2;
    member.m_heartbeat = 5;
    mergeMembers(daemon, {member}, 0);
    struct Row
    {
        std::uint64_t m_incarnation;
        std::uint64_t m_heartbeat;
        bool m_isAlive;
    };
    for (const Row &row : std::vector<Row>{{2, 5, false}, {2, 4, false}, {1, 9, false}, {2, 6, true}, {3, 0, true}}) {
        Membership copy = daemon;
        member.m_incarnation = row.m_incarnation;
        member.m_heartbeat = row.m_heartbeat;
        mergeMembers(copy, {member}, 10'000);
        CHECK(isMemberAlive(copy, "other", 10'000) == row.m_isAlive);
    }
}

TEST_CASE("old information passed on by a peer does not make a daemon look alive", "[membership]")
{
    Membership disconnected;
    disconnected.m_self.m_name = "a";
    Member member;
    member.m_name = "dead";
    member.m_incarnation = 1;
    mergeMembers(disconnected, {member}, 0);
    Membership receiver;
    receiver.m_self.m_name = "b";
    std::mt19937_64 random(1);
    mergeMembers(receiver, makeHeartbeatMembers(disconnected, 10'000, random), 10'000);
    CHECK(isMemberAlive(receiver, "a", 10'000));
    CHECK_FALSE(isMemberAlive(receiver, "dead", 10'000));
}

TEST_CASE("peers with an older view are notified first", "[membership]")
{
    std::vector<Membership> daemons = deployment(24);
    Membership &self = daemons[0];
    std::mt19937_64 random(3);
    self.m_self.m_viewIndex = 5;
    for (int i = 1; i < 24; ++i) {
        Member member;
        member.m_name = "d" + std::to_string(i);
        member.m_incarnation = 1;
        member.m_viewIndex = i < 4 ? 4 : 5;
        mergeMembers(self, {member}, 0);
    }
    const std::vector<PeerAddress> peers = choosePeersToNotify(self, random);
    CHECK(peers.size() == 8);
    CHECK(countHolders(self, 5) == 21);
    int behind = 0;
    for (const PeerAddress &peer : peers) {
        behind += peer.m_name == "d1" || peer.m_name == "d2" || peer.m_name == "d3" ? 1 : 0;
    }
    CHECK(behind == 3);
}
