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
/** What a daemon adds to the node it runs on. All are called on the control thread; any may be empty. */
struct NodeHooks
{
    /** A newer view of the configuration was adopted. */
    std::function<void(const DocumentView &)> m_onView;
    /** First news of a report from a peer. */
    std::function<void(const UpstreamReport &)> m_onReport;
    std::function<void(const CrashRecord &)> m_onStrike;
    /** Strikes to pass on. */
    std::function<std::vector<CrashRecord>()> m_strikes;
    std::function<void(Freshness)> m_onFreshness;
    /** JSON object of the daemon's own state, without secrets. */
    std::function<std::string()> m_dump;
    /** Metrics in the usual text format. */
    std::function<std::string()> m_metrics;
    /** Whatever must be finished before the process may end; true when nothing is left. */
    std::function<bool()> m_drained;
    /** Called once when a planned stop begins, and awaited. */
    std::function<awaitable<void>()> m_onStop;
    /** Called after the balancer has had time to notice. */
    std::function<void()> m_onStopAccepting;
};

/**
 * The part that every daemon shares: membership by gossip, the configuration view from store and peers, reports, strikes, health,
 * metrics, the state dump and the planned stop. Lives on the control thread.
 */
class Node
{
public:
    Node(IoThreads &threads, CommonSettings settings, NodeHooks hooks);

    /** Opens the addresses and starts the loops. */
    Result<Done> start();
    /** Runs until a stop signal has been carried out; returns the exit status. */
    int run();

    const CommonSettings &settings() const;
    StoreClient &store();
    Membership &membership();
    const DocumentView &view() const;
    Freshness freshness() const;
    /** Daemons heard lately over daemons known. */
    Reach reach() const;
    /** Tells the peers at once, and goes on telling them while the news is young. */
    void report(const UpstreamReport &report);
    /** Tells some peers now, who tell others. */
    void broadcast();
    /** Tells every living peer and returns when all have answered or @p timeoutMs is over. */
    awaitable<void> broadcastAndWait(std::int64_t timeoutMs);
    /** Takes over documents that this daemon has just written or read itself. */
    void takeDelta(const DocumentDelta &delta);
    bool stopping() const;
    asio::io_context &context();

private:
    struct HeldReport
    {
        UpstreamReport m_report;
        std::int64_t m_bornMs = 0;
    };
    using ReportKey = std::pair<std::string, ReportKind>;

    awaitable<void> gossipLoop();
    awaitable<void> watchLoop();
    awaitable<void> acceptLoop();
    awaitable<void> servePeer(Tcp::socket socket);
    /** One exchange with @p peer. A round names a sample of the members; news goes without, to stay small. */
    awaitable<void> talkTo(PeerAddress peer, bool news);
    awaitable<Result<Done>> exchangeWith(PeerConnection &connection, bool news);
    awaitable<void> serveStatus(HttpExchange &exchange);
    awaitable<void> stopLoop();
    HeartbeatMessage heartbeat(bool withMembers);
    void takeHeartbeat(const HeartbeatMessage &message);
    bool takeReport(const AgedReport &report);
    void forgetOldReports(std::int64_t nowMs);
    void updateFreshness();
    /** Talks to a daemon that says it holds a newer view. */
    void askThoseAhead();
    std::string dump() const;
    std::string metrics() const;

    IoThreads &m_threads;
    CommonSettings m_settings;
    NodeHooks m_hooks;
    StoreClient m_store;
    Membership m_membership;
    DocumentView m_view;
    Freshness m_freshness = Freshness::Stale;
    bool m_storeAnswers = true;
    std::map<ReportKey, HeldReport> m_reports;
    std::map<std::string, std::unique_ptr<PeerConnection>> m_connections;
    std::set<std::string> m_talking;
    PeerTraffic m_traffic;
    std::mt19937_64 m_random;
    Tcp::acceptor m_peerAcceptor;
    std::shared_ptr<HttpServer> m_status;
    std::uint64_t m_storeCalls = 0;
    std::uint64_t m_adoptions = 0;
    std::atomic<bool> m_stopping{false};
    int m_exitStatus = 0;
};
}
