#pragma once

#include "kernel/documents.h"
#include "kernel/membership.h"
#include "net/httpserver.h"
#include "net/iothreads.h"
#include "net/peerlink.h"
#include "net/settings.h"
#include "net/storeclient.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace knapweedslip
{
/** Functions that a daemon adds to its Node. All are called on the control thread; any may be empty. */
struct NodeHooks
{
    /** Called after the configuration view changed to a newer one. */
    std::function<void(const DocumentView &)> m_onView;
    /** Called when a peer sends a report that this daemon did not have yet. */
    std::function<void(const UpstreamReport &)> m_onReport;
    /** Called for each crash record that a peer sends, also for those already known. */
    std::function<void(const CrashRecord &)> m_onCrashRecord;
    /** Returns the crash records to send to peers. */
    std::function<std::vector<CrashRecord>()> m_crashRecords;
    /** Called when the freshness of the configuration changes. */
    std::function<void(Freshness)> m_onFreshness;
    /** Returns the daemon's own state as a JSON object, without secrets. */
    std::function<std::string()> m_dump;
    /** Returns the daemon's own metrics in the Prometheus text format. */
    std::function<std::string()> m_metrics;
    /** Returns true when no work is left that must finish before the process may exit. */
    std::function<bool()> m_isDrained;
    /** Called once when a planned stop begins; the stop continues when it has completed. */
    std::function<awaitable<void>()> m_onStop;
    /** Called CommonSettings::m_balancerWaitMs after m_onStop completes; by then the balancer should know that the daemon is not ready. */
    std::function<void()> m_onStopAccepting;
};

/**
 * The part that all daemons share: membership by gossip, the configuration view from the store and from peers, reports on upstreams,
 * crash records, health, metrics, the state dump and the planned stop. Must be used on the control thread only.
 */
class Node
{
public:
    Node(IoThreads &threads, CommonSettings settings, NodeHooks hooks);

    /** Listens for peers and for status requests, and starts the background loops. Returns an error when it cannot listen. */
    Result<Done> start();
    /** Runs until SIGTERM or SIGINT and the planned stop that follows; returns the exit status of the process. */
    int run();

    const CommonSettings &settings() const;
    /** Returns the store client for one call and counts that call in the metric of store calls. */
    StoreClient &store();
    Membership &membership();
    const DocumentView &view() const;
    Freshness freshness() const;
    /** Returns the number of known daemons, the number of synced ones heard from lately, and the highest view index held here or heard of lately. */
    Reachability reachability() const;
    /** Sends @p report to some peers at once, and with every heartbeat until it is ReportLifeMs old. */
    void report(const UpstreamReport &report);
    /** Starts an exchange with some peers now; those that learn something new pass it on. */
    void broadcast();
    /** Exchanges heartbeats with every peer that is alive; returns when all exchanges have ended or after @p timeoutMs. */
    awaitable<void> broadcastAndWait(std::int64_t timeoutMs);
    /** Merges documents into the view: from a peer, or just written or read by this daemon. An older index changes nothing. */
    void updateView(const DocumentDelta &delta);
    /** Returns true from the stop signal on. May be called from any thread. */
    bool isStopping() const;
    asio::io_context &context();

private:
    /** A report, own or received, that is still sent to peers. */
    struct RecentReport
    {
        UpstreamReport m_report;
        /** Local time at which it was first made, in ms. */
        std::int64_t m_createdMs = 0;
    };
    using ReportKey = std::pair<std::string, ReportKind>;

    awaitable<void> gossipLoop();
    awaitable<void> watchLoop();
    awaitable<void> acceptLoop();
    awaitable<void> servePeer(Tcp::socket socket);
    /** Runs one exchange with @p peer. A regular round includes a sample of the members; a broadcast leaves it out to stay small. */
    awaitable<void> gossipWith(PeerAddress peer, bool withoutMembers);
    awaitable<Result<Done>> exchangeMessages(PeerConnection &connection, bool withoutMembers);
    awaitable<void> serveStatus(HttpExchange &exchange);
    awaitable<void> stopLoop();
    HeartbeatMessage makeHeartbeat(bool withMembers);
    void applyHeartbeat(const HeartbeatMessage &message);
    /** Stores @p report. Returns false, changing nothing, when it is known already or older than ReportLifeMs. */
    bool recordReport(const AgedReport &report);
    void removeExpiredReports(std::int64_t nowMs);
    void updateFreshness();
    /** Starts an exchange with one daemon that holds the newest view, if that view is newer than this daemon's. */
    void fetchNewerView();
    std::string dump() const;
    std::string metrics() const;

    IoThreads &m_threads;
    CommonSettings m_settings;
    NodeHooks m_hooks;
    StoreClient m_store;
    Membership m_membership;
    DocumentView m_view;
    Freshness m_freshness = Freshness::Stale;
    bool m_storeReachable = true;
    std::map<ReportKey, RecentReport> m_reports;
    std::map<std::string, std::unique_ptr<PeerConnection>> m_connections;
    /** Names of the peers with which an exchange is running. */
    std::set<std::string> m_activeExchanges;
    PeerTraffic m_traffic;
    std::mt19937_64 m_random;
    Tcp::acceptor m_peerAcceptor;
    std::shared_ptr<HttpServer> m_status;
    std::uint64_t m_storeCalls = 0;
    /** Newer views applied since the start. */
    std::uint64_t m_appliedViews = 0;
    std::atomic<bool> m_stopping{false};
    int m_exitStatus = 0;
};
}
