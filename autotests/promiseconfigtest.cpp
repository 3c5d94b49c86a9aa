#include "kernel/documents.h"
#include "kernel/membership.h"
#include "standins/kvstore.h"
#include "tools/historycheck.h"
#include "tools/virtualtime.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <memory>
#include <random>
#include <set>

using namespace knapweedslip;

namespace
{
constexpr std::int64_t RoundIntervalMs = 200;
constexpr std::int64_t MaxAgeMs = 4'000;
constexpr std::int64_t MaxPropagationMs = 5'000;
constexpr std::int64_t SimulatedMs = 40'000;
const std::string Key = "knapweedslip/config/plan";

enum class Mechanism {
    AllEnabled,
    /** Accepts work with a view of any age. */
    NoFreshnessCheck,
    /** Replaces its view by any view that it is sent. */
    AcceptsAnyView,
};

struct Daemon
{
    std::string m_name;
    DocumentView m_view;
    Membership m_membership;
    bool m_cutFromStore = false;
    bool m_cutFromPeers = false;
};

/** Eight daemons that use the kernel's documents and membership; the store and the links fail at random. */
struct ConfigSimulation
{
    VirtualTime m_time;
    std::mt19937_64 m_random;
    Mechanism m_mechanism;
    standin::KvStore m_store;
    bool m_storeDown = false;
    std::vector<Daemon> m_daemons;
    HistoryEvents m_history;

    ConfigSimulation(std::uint64_t seed, Mechanism mechanism)
        : m_random(seed)
        , m_mechanism(mechanism)
        , m_daemons(8)
    {
        standin::kvPut(m_store, Key, "0", std::nullopt);
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            startDaemon(i);
            runGossipRound(i);
        }
        for (std::int64_t at = 1'000; at < SimulatedMs; at += 1'000) {
            m_time.after(at, [this]() {
                changePlan();
            });
            m_time.after(at + static_cast<std::int64_t>(m_random() % 1'000), [this]() {
                injectFault();
            });
        }
    }

    void startDaemon(std::size_t i)
    {
        Daemon &daemon = m_daemons[i];
        daemon = Daemon{};
        daemon.m_name = "d" + std::to_string(i);
        daemon.m_membership.m_self.m_name = daemon.m_name;
        // A replaced daemon gets a new incarnation, so that the checker treats it as another daemon.
        daemon.m_membership.m_self.m_incarnation = static_cast<std::uint64_t>(m_time.nowMs()) + 1;
        for (std::size_t j = 0; j < m_daemons.size(); ++j) {
            daemon.m_membership.m_peers.push_back({"d" + std::to_string(j), {}, Role::Gateway, {}});
        }
        daemon.m_membership.m_self.m_availabilityZone = "z";
    }

    std::string identity(const Daemon &daemon) const
    {
        return daemon.m_name + "/" + std::to_string(daemon.m_membership.m_self.m_incarnation);
    }

    void addEvent(HistoryKind kind, const std::string &subject, std::uint64_t index)
    {
        m_history.push_back(HistoryEvent{m_time.nowMs(), kind, subject, {}, {}, index, false});
    }

    void applyReceived(Daemon &daemon, const DocumentDelta &delta)
    {
        const std::uint64_t before = daemon.m_view.m_index;
        if (m_mechanism == Mechanism::AcceptsAnyView) {
            daemon.m_view.m_index = delta.m_index;
            daemon.m_view.m_confirmedAtMs = m_time.nowMs();
        } else {
            applyDelta(daemon.m_view, delta, m_time.nowMs());
        }
        daemon.m_membership.m_self.m_viewIndex = daemon.m_view.m_index;
        if (daemon.m_view.m_index != before) {
            addEvent(HistoryKind::Adopted, identity(daemon), daemon.m_view.m_index);
        }
    }

    void readStore(Daemon &daemon)
    {
        if (m_storeDown || daemon.m_cutFromStore) {
            return;
        }
        DocumentDelta delta;
        delta.m_index = standin::kvPrefixIndex(m_store, "knapweedslip/config/");
        delta.m_confirmationAgeMs = 0;
        delta.m_documents = {{Key, delta.m_index, m_store.m_entries[Key].m_value}};
        applyReceived(daemon, delta);
    }

    void gossip(Daemon &a, Daemon &b)
    {
        if (&a == &b || a.m_cutFromPeers || b.m_cutFromPeers) {
            return;
        }
        mergeMembers(b.m_membership, makeHeartbeatMembers(a.m_membership, m_time.nowMs(), m_random), m_time.nowMs());
        mergeMembers(a.m_membership, makeHeartbeatMembers(b.m_membership, m_time.nowMs(), m_random), m_time.nowMs());
        applyReceived(b, deltaSince(a.m_view, b.m_view.m_index, m_time.nowMs()));
        applyReceived(a, deltaSince(b.m_view, a.m_view.m_index, m_time.nowMs()));
    }

    Reachability reachability(const Daemon &daemon) const
    {
        const MemberCount count = countMembers(daemon.m_membership, m_time.nowMs());
        return Reachability{count.m_known, count.m_syncedAlive, count.m_newestIndex};
    }

    void runGossipRound(std::size_t i)
    {
        Daemon &daemon = m_daemons[i];
        if (i < 2 || confirmationAgeMs(daemon.m_view, m_time.nowMs()) > 2'000) {
            readStore(daemon);
        }
        for (int k = 0; k < 1; ++k) {
            gossip(daemon, m_daemons[m_random() % m_daemons.size()]);
        }
        const bool fresh = evaluateFreshness(daemon.m_view, reachability(daemon), m_time.nowMs(), MaxAgeMs) != Freshness::Stale;
        daemon.m_membership.m_self.m_synced = daemon.m_membership.m_self.m_synced || fresh;
        if (fresh || m_mechanism == Mechanism::NoFreshnessCheck) {
            addEvent(HistoryKind::Dispatched, identity(daemon), daemon.m_view.m_index);
        }
        m_time.after(RoundIntervalMs, [this, i]() {
            runGossipRound(i);
        });
    }

    /** An operator changes the plan through a random daemon. The change is accepted once more than half of the daemons are known to hold it. */
    void changePlan()
    {
        Daemon &daemon = m_daemons[m_random() % m_daemons.size()];
        const bool reachable = !m_storeDown && !daemon.m_cutFromStore;
        if (!reachable || !hasQuorum(reachability(daemon))) {
            return;
        }
        standin::kvPut(m_store, Key, std::to_string(m_time.nowMs()), std::nullopt);
        const std::uint64_t index = m_store.m_entries[Key].m_modifyIndex;
        readStore(daemon);
        awaitMajority(identity(daemon), index, m_time.nowMs() + 4'000);
    }

    void awaitMajority(const std::string &admin, std::uint64_t index, std::int64_t limitMs)
    {
        for (const Daemon &daemon : m_daemons) {
            if (identity(daemon) == admin && hasQuorum(Reachability{static_cast<int>(m_daemons.size()), countHolders(daemon.m_membership, index), index})) {
                addEvent(HistoryKind::Accepted, {}, index);
                return;
            }
        }
        if (m_time.nowMs() < limitMs) {
            m_time.after(100, [this, admin, index, limitMs]() {
                awaitMajority(admin, index, limitMs);
            });
        }
    }

    void injectFault()
    {
        Daemon &daemon = m_daemons[m_random() % m_daemons.size()];
        switch (m_random() % 6) {
        case 0:
            m_storeDown = !m_storeDown;
            break;
        case 1:
            daemon.m_cutFromStore = !daemon.m_cutFromStore;
            break;
        case 2:
            daemon.m_cutFromPeers = !daemon.m_cutFromPeers;
            break;
        case 3:
            daemon.m_cutFromPeers = true;
            daemon.m_cutFromStore = true;
            break;
        case 4:
            daemon.m_cutFromPeers = false;
            daemon.m_cutFromStore = false;
            break;
        default:
            startDaemon(static_cast<std::size_t>(&daemon - m_daemons.data()));
            break;
        }
    }
};

Violations simulateConfiguration(std::uint64_t seed, Mechanism mechanism)
{
    ConfigSimulation simulation(seed, mechanism);
    simulation.m_time.run(SimulatedMs);
    return checkConfiguration(simulation.m_history, MaxPropagationMs);
}
}

TEST_CASE("an accepted configuration takes effect within 5 s and never reverts", "[promise][configuration]")
{
    rc::prop("store and links fail, daemons are replaced, operators make changes at the same time", []() {
        const std::uint64_t seed = *rc::gen::arbitrary<std::uint64_t>();
        const Violations violations = simulateConfiguration(seed, Mechanism::AllEnabled);
        for (const std::string &violation : violations) {
            RC_LOG() << violation << "\n";
        }
        RC_ASSERT(violations.empty());
    });
}

TEST_CASE("without its mechanisms the guarantee for the configuration does not hold", "[promise][configuration]")
{
    for (const Mechanism mechanism : {Mechanism::NoFreshnessCheck, Mechanism::AcceptsAnyView}) {
        std::size_t broken = 0;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            broken += simulateConfiguration(seed, mechanism).empty() ? 0 : 1;
        }
        CHECK(broken > 0);
    }
}
