#pragma once

#include "daemons/entrysettings.h"
#include "kernel/callconfig.h"
#include "kernel/newssource.h"
#include "kernel/pulse.h"
#include "kernel/replicabook.h"
#include "kernel/replicakeeper.h"
#include "kernel/servicebook.h"
#include "kernel/storemirror.h"
#include "net/httpserver.h"
#include "net/metrics.h"
#include "platform/storecalls.h"

#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace knapweedslip
{
/** Why the current attempt of a request was ended from outside. */
enum class AbortCause {
    None,
    CallerLeft,
    /** The time for the final answer is over. */
    TimeOver,
    /** This attempt took too long; another may follow. */
    TryOver,
    /** Its serving group shows no work. */
    ReplicaSilent,
    /** Its group works, but nothing comes for it. */
    StreamStuck,
};

/** A request that is being served, as seen by those who may end its attempt. */
struct RunningCall
{
    /** Connection of the current attempt; null between attempts. */
    HttpConnection *m_connection = nullptr;
    AbortCause m_cause = AbortCause::None;
    std::int64_t m_endMs = 0;
    /** Limit of the current attempt; 0 when only m_endMs holds. */
    std::int64_t m_tryEndMs = 0;
    /** Group of the current attempt. */
    ReplicaRef m_replica;
    /** Number of the current attempt in the book of groups; 0 when it is not at one. */
    std::uint64_t m_stream = 0;
    /** It may go on at another group. */
    bool m_movable = false;
    /** Service of the request, whose budget pays for sending it once more. */
    std::string m_service;
    /** The attempt was ended so that the request goes on elsewhere, and the budget has paid for that. */
    bool m_resendPaid = false;
};

/** Ends the current attempt; the first cause stands. */
void abortAttempt(RunningCall &call, AbortCause cause);

/** Another daemon of this deployment. */
struct EntryPeer
{
    std::string m_name;
    std::string m_address;
    std::string m_availabilityZone;
    /** Part of a processor that it may use. */
    double m_cpuShare = 0.0;
};

struct EntryMetrics
{
    LatencyHistogram m_firstEvent;
    LatencyHistogram m_answers;
    std::array<std::uint64_t, RefusalReasonNames.size()> m_refused{};
    std::uint64_t m_requests = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_cut = 0;
    std::uint64_t m_resumed = 0;
    std::uint64_t m_resent = 0;
    std::uint64_t m_events = 0;
    std::uint64_t m_orders = 0;
    std::uint64_t m_probes = 0;
    std::uint64_t m_silences = 0;
    /** Questions for the store's news that other daemons asked here, and that were asked of others. */
    std::uint64_t m_newsServed = 0;
    std::uint64_t m_newsAsked = 0;
};

/** What this daemon knows of the leadership over serving groups. */
struct Leadership
{
    /** Fencing token of the term: the store's revision at which it began. 0 when another daemon leads, or none. */
    std::uint64_t m_fence = 0;
    std::uint64_t m_lease = 0;
    /** Until when the lease certainly holds. */
    std::int64_t m_validUntilMs = 0;
    /** The lease is to be renewed now, not at its time. */
    bool m_renewNow = false;
};

/** State of one entry daemon. Everything here belongs to the thread of m_io. */
struct EntryContext
{
    EntryContext(asio::io_context &io, EntrySettings settings);

    asio::io_context &m_io;
    EntrySettings m_settings;
    platform::StoreAccess m_store;
    /** Connections to upstreams. */
    ConnectionPool m_connections;
    std::mt19937_64 m_random;

    /** What is held of the store; complete once m_mirrorSynced is set. */
    StoreMirror m_mirror;
    bool m_mirrorSynced = false;
    /** When the store answered again after an outage; negative: none was seen. */
    std::int64_t m_storeRegainedMs = -1;
    CallConfigPtr m_config;
    /** Everything that the store accepted before this moment is known here; negative: nothing is. */
    std::int64_t m_proofMs = -1;
    UpstreamList m_upstreams;
    std::set<std::string> m_evacuatedZones;
    std::map<std::string, EntryPeer> m_peers;
    /** Name of the daemon that leads, as the store says; empty when none does. */
    std::string m_leader;

    /** Open groups that were listed with all their members once, and their heads: an entry that is missing later may only be late. */
    std::map<ReplicaRef, ListedReplica> m_seenWhole;
    ReplicaBook m_book;
    /** What the other daemons said last. */
    PulseBook m_pulses;
    ServiceBook m_services;
    std::map<std::string, WindowBudget> m_budgets;
    std::map<std::string, ColdGate> m_coldGates;
    ReplicaKeeper m_keeper;
    Leadership m_leadership;
    /** A request of a client has been seen here. */
    bool m_serving = false;

    std::set<std::shared_ptr<RunningCall>> m_running;
    /** Silent groups that were logged and told. */
    std::set<ReplicaRef> m_toldSilent;
    /** Tells the other daemons at once; set while there are others to tell. */
    std::function<void()> m_announce;
    EntryMetrics m_metrics;
    bool m_stopping = false;
    /** Set when a planned stop begins. */
    StopTimes m_stop;
};

/** This daemon leads, and its lease certainly holds. */
bool leads(const EntryContext &context);

/** Daemons that share the limits, this one included. */
int daemonCount(const EntryContext &context);

/** All daemons by name, this one included. */
std::map<std::string, SizedDaemon> sizedDaemons(const EntryContext &context);

/** Brings the books in line with the lists of upstreams and zones and with the configuration. */
void refreshBooks(EntryContext &context);

/** The budget of resends to @p service. */
WindowBudget &budgetOf(EntryContext &context, const std::string &service);

/** True when @p upstream is warm, or cold with room for one more request, which is then counted. */
bool passColdGate(EntryContext &context, const std::string &upstream, std::int64_t coldUntilMs, double coldPerSecond, std::int64_t nowMs);
}
