#pragma once

#include "daemons/entrysettings.h"
#include "kernel/answerlength.h"
#include "kernel/callconfig.h"
#include "kernel/clientdeadlines.h"
#include "kernel/coldlimiter.h"
#include "kernel/crashledger.h"
#include "kernel/enumnames.h"
#include "kernel/loadreport.h"
#include "kernel/modeldemand.h"
#include "kernel/overloadadmission.h"
#include "kernel/replicareconciler.h"
#include "kernel/replicaselector.h"
#include "kernel/reportpeers.h"
#include "kernel/storemirror.h"
#include "kernel/storeoutage.h"
#include "kernel/updatesource.h"
#include "kernel/upstreamavailability.h"
#include "kernel/upstreamselector.h"
#include "net/httpserver.h"
#include "net/metrics.h"
#include "net/streamwriter.h"
#include "platform/storecalls.h"

#include <array>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace knapweedslip
{
/** Why the current attempt of a request was aborted. */
enum class AbortCause {
    None,
    /** The client closed its connection. */
    CallerLeft,
    /** The final answer is overdue. */
    TimeOver,
    /** The attempt took too long; another one may follow. */
    AttemptTimeout,
    /** The replica makes no progress on any request. */
    ReplicaSilent,
    /** The replica makes progress on other requests, but sends no events for this one. */
    StreamStuck,
    /** The time for a planned stop is over. */
    Stopping,
    /** The client read its stream too slowly. */
    ClientCut,
};

inline constexpr EnumNames<8> AbortCauseNames{
    "none", "caller-left", "time-over", "attempt-timeout", "replica-silent", "stream-stuck", "stopping", "client-cut"};

/** What was found out about an upstream at which an attempt had ended without an answer. */
enum class EndCheckOutcome {
    /** The upstream has ended. */
    Ended,
    /** It answers. */
    Lives,
    /** It neither answers nor leaves the list. */
    Unknown,
};

inline constexpr EnumNames<3> EndCheckOutcomeNames{"ended", "lives", "unknown"};

/** An attempt without a complete answer, whose upstream is being checked. */
struct UnansweredRun
{
    CrashRun m_run;
    /** See CrashSuspects. */
    std::vector<std::uint64_t> m_parts;
    /** The answer ended with its connection and is complete if the upstream lives. */
    bool m_mayBeComplete = false;
};

/** A request that is being served, as far as is needed to abort its current attempt. */
struct RunningCall
{
    /** Connection of the current attempt; null if there is none. */
    HttpConnection *m_connection = nullptr;
    AbortCause m_cause = AbortCause::None;
    /** When the final answer is due. */
    std::int64_t m_deadlineMs = 0;
    /** When the current attempt is aborted; 0 if only m_deadlineMs applies. */
    std::int64_t m_attemptDeadlineMs = 0;
    /** Replica of the current attempt. */
    ReplicaRef m_replica;
    /** Number of the current attempt in the replica selector; 0 if the attempt is not at a replica. */
    std::uint64_t m_streamId = 0;
    /** The request may be continued at another replica. */
    bool m_mayTryAnotherReplica = false;
    /** Service of the request; sending the request again is charged to its resend budget. */
    std::string m_service;
    /** The attempt was aborted to continue the request elsewhere, and that was already charged to the resend budget. */
    bool m_resendPaid = false;
};

/** Closes the connection of the current attempt. Does nothing if the attempt was aborted before: the first cause is kept. */
void abortAttempt(RunningCall &call, AbortCause cause);

/** An entry daemon of this deployment, as registered in the store. */
struct EntryPeer
{
    std::string m_name;
    std::string m_address;
    std::string m_availabilityZone;
    /** Share of a processor that it may use. */
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
    /** Requests sent to cold upstreams, and choices of a cold upstream that its rate limit did not allow. */
    std::uint64_t m_coldSent = 0;
    std::uint64_t m_coldWithheld = 0;
    /** Upstreams that said in an answer that they leave, and times that an upstream began to turn requests away for a time that it gave. */
    std::uint64_t m_saidLeaving = 0;
    std::uint64_t m_turnedAway = 0;
    /** Answers that gave that time in a form that is ignored. */
    std::uint64_t m_retryAfterIgnored = 0;
    /** Late answers to other requests that were dropped. */
    std::uint64_t m_otherAnswers = 0;
    std::uint64_t m_orders = 0;
    std::uint64_t m_probes = 0;
    std::uint64_t m_silences = 0;
    /** Upstreams that were checked after attempts there had ended without an answer, by what was found. */
    std::array<std::uint64_t, EndCheckOutcomeNames.size()> m_endChecks{};
    /** Attempts that ended without an answer, by what ended them. */
    std::array<std::uint64_t, AbortCauseNames.size()> m_unanswered{};
    /** Requests for store updates that other daemons sent to this one, and that this one sent to others. */
    std::uint64_t m_updatesServed = 0;
    std::uint64_t m_updatesRequested = 0;
};

/** A latency target, and when a request with it last arrived, in ms. */
struct SeenLatencyTarget
{
    double m_targetMs = 0.0;
    std::int64_t m_seenMs = 0;
};

/** Times to the first event of the streams of one model that were sent once, from the arrival of the request. */
struct FirstEventTimes
{
    LatencyHistogram m_expected;
    LatencyHistogram m_seen;
};

/** This daemon's term as the leader, which manages the replicas. */
struct Leadership
{
    /** Fencing token of the term, see fencingToken(). 0 if this daemon does not lead. */
    std::uint64_t m_fence = 0;
    platform::StoreLease m_lease;
    /** The lease is certainly held until this time. */
    std::int64_t m_validUntilMs = 0;
    /** The lease must be renewed at once instead of at its regular time. */
    bool m_renewNow = false;
};

/** State of one entry daemon. Must only be used on the thread that runs m_io. */
struct EntryContext
{
    EntryContext(asio::io_context &io, EntrySettings settings);

    asio::io_context &m_io;
    EntrySettings m_settings;
    platform::StoreAccess m_store;
    /** Connections to upstreams for clients' requests. */
    ConnectionPool m_connections;
    /** Those for orders, and those for reports: a late copy of an answer on one is never read as an answer of another kind. */
    ConnectionPool m_orderConnections;
    ConnectionPool m_reportConnections;
    std::mt19937_64 m_random;

    /** Local copy of the store's content; complete once m_mirrorSynced is set. */
    StoreMirror m_mirror;
    bool m_mirrorSynced = false;
    StoreOutage m_storeOutage;
    /** When the store answered again after it was last away for all, as told by the daemon from which updates are fetched; negative if it told none. */
    std::int64_t m_sourceRecoveredMs = -1;
    /** Keys whose removal is held back, see holdBackRemoval(). */
    std::set<std::string> m_heldBackRemovals;
    /** Latest era of the store of which items were applied. */
    std::uint64_t m_followedEra = 0;
    /** When this daemon learned that the store had come back from a copy; negative if it did not. */
    std::int64_t m_eraRisenMs = -1;
    CallConfigPtr m_config;
    /** Confirmation time: every change that the store accepted before it is known here. Negative if the store was not read yet. */
    std::int64_t m_confirmedMs = -1;
    UpstreamList m_upstreams;
    std::set<std::string> m_evacuatedZones;
    std::map<std::string, EntryPeer> m_peers;
    /** Name of the daemon that leads according to the store; empty if there is none. */
    std::string m_leader;

    /** Open replicas that were listed with all members at some time. They are kept while their head is open: the entry of a missing member may only be late. */
    std::map<ReplicaRef, CompleteReplica> m_completeReplicas;
    /** Which upstreams may be sent a request now. */
    UpstreamAvailability m_availability;
    ReplicaSelector m_replicaSelector;
    /** Which generation requests are admitted while the replicas of a model have too little room. */
    OverloadAdmission m_admission;
    /** Average work that clients offer for each model; measured only while this daemon leads. */
    ModelDemand m_modelDemand;
    AnswerLength m_answerLength;
    /** Expected and observed times to the first event, by model. */
    std::map<std::string, FirstEventTimes> m_firstEventTimes;
    ClientDeadlines m_clientDeadlines;
    /** Shortest latency target of the routes on which requests for each model arrive. */
    std::map<std::string, SeenLatencyTarget> m_latencyTargets;
    /** When the admission of each model was last logged, and whether requests for it were being refused then. */
    std::map<std::string, std::int64_t> m_admissionLoggedMs;
    std::map<std::string, bool> m_admissionOverloaded;
    /** The last load report of each other daemon. */
    LoadReportTable m_loadReports;
    /** The daemons with which load reports are exchanged, also if the store no longer lists them. */
    ReportPeers m_reportPeers;
    UpstreamSelector m_upstreamSelector;
    std::map<std::string, ResendBudget> m_resendBudgets;
    /** The daemons that share the limits on resends. */
    SharedLimitMembers m_resendMembers;
    /** The daemons that share the limits of cold upstreams. */
    SharedLimitMembers m_coldMembers;
    ColdLimiter m_coldLimiter;
    /** What all daemons observed about requests under which upstreams ended. */
    CrashLedger m_crashLedger;
    /** Upstreams that may have ended, by lifetime, with the fingerprints of the requests that they did not answer. */
    std::map<std::uint64_t, std::map<std::uint64_t, UnansweredRun>> m_endChecks;
    /** This process has stored its observations. */
    bool m_crashesStored = false;
    ReplicaReconciler m_reconciler;
    Leadership m_leadership;
    /** A client's request has been received, here or at another daemon. */
    bool m_serving = false;

    std::set<std::shared_ptr<RunningCall>> m_running;
    /** Bytes of answers that are being read as a whole, of all calls. */
    std::size_t m_bufferedAnswerBytes = 0;
    /** What is held for clients until their connections take it. */
    std::shared_ptr<ClientBacklogs> m_clientBacklogs = std::make_shared<ClientBacklogs>();
    /** Silent replicas that were already logged and reported to the other daemons. */
    std::set<ReplicaRef> m_reportedSilent;
    /** Sends a load report to the other daemons at once; empty if load reports cannot be sent. */
    std::function<void()> m_sendLoadReport;
    /** Sends new observations of upstreams that ended to the other daemons; empty if that is not possible. */
    std::function<void()> m_sendCrashes;
    EntryMetrics m_metrics;
    /** The server of the clients; null until it listens. */
    std::shared_ptr<HttpServer> m_clientServer;
    bool m_stopping = false;
    /** Set when a planned stop begins. */
    ShutdownDeadlines m_shutdownDeadlines;
    /** The time for a planned stop is over: requests that still run are answered at once. */
    bool m_endsNow = false;
};

/** Returns true if this daemon leads and its lease is certainly held. */
bool isLeader(const EntryContext &context);

/** Returns the number of registered daemons, including this one. The shares of limits are divided by m_coldMembers and m_resendMembers instead. */
int daemonCount(const EntryContext &context);

/** Returns the size and zone of all daemons by name, including this one. */
std::map<std::string, DaemonSize> daemonSizes(const EntryContext &context);

/** Updates the selectors and resend limits from the configuration, the list of upstreams and the evacuated zones. */
void refreshSelectors(EntryContext &context);

/** Returns the resend budget of @p service. */
ResendBudget &resendBudget(EntryContext &context, const std::string &service);

/** Returns when a client should retry that upstreams can serve after @p waitMs, so that not all clients of this daemon return at that moment. */
std::int64_t spreadOwnReturnMs(EntryContext &context, std::int64_t waitMs);

/** Returns true if @p upstream is warm, or if it is cold and this daemon's share of its limit allows one more request, which is then counted. */
bool allowColdRequest(EntryContext &context, const std::string &upstream, std::int64_t coldUntilMs, double coldPerSecond, std::int64_t nowMs);
}
