// Problem: every daemon must hold the current configuration, know its peers and stop cleanly, although the store and any connection may fail.
// Approach: a few daemons of each availability zone watch the store, and every daemon gossips with a random peer in each round. A heartbeat
// carries the index of the sender's view and the age of its last confirmation; the side that is behind receives the documents it lacks.
// Reports on upstreams and crash records are sent along.
// If every daemon watched the store itself, the store's load would grow with the number of daemons, and no daemon would learn anything while
// the store is down.

#include "net/node.h"

#include "net/logging.h"

#include <csignal>

namespace knapweedslip
{
namespace
{
constexpr std::int64_t GossipIntervalMs = 200;
constexpr std::size_t GossipFanOut = 1;
constexpr std::int64_t PeerTimeoutMs = 1'000;
constexpr std::int64_t PeerIdleMs = 30'000;
constexpr std::int64_t ReportLifeMs = 5'000;
constexpr std::int64_t WatchWaitMs = 1'000;
constexpr std::int64_t WatchPauseMs = 200;
constexpr std::int64_t StopPollMs = 20;
constexpr int DrainLimitExitStatus = 3;
/** A daemon whose view has not been confirmed for this long reads the store itself. */
constexpr std::int64_t AskStoreAfterMs = 2'000;
constexpr const char *ConfigPrefix = "knapweedslip/config/";
}

Node::Node(IoThreads &threads, CommonSettings settings, NodeHooks hooks)
    : m_threads(threads)
    , m_settings(std::move(settings))
    , m_hooks(std::move(hooks))
    , m_random(randomId())
    , m_peerAcceptor(threads.control())
{
    m_store.m_address = m_settings.m_storeAddress;
    m_store.m_timeoutMs = m_settings.m_storeTimeoutMs;
    m_membership.m_self.m_name = m_settings.m_name;
    m_membership.m_self.m_role = m_settings.m_role;
    m_membership.m_self.m_availabilityZone = m_settings.m_availabilityZone;
    m_membership.m_self.m_incarnation =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    m_membership.m_peers = m_settings.m_peers;
}

Result<Done> Node::start()
{
    const Result<Tcp::endpoint> endpoint = parseEndpoint(m_settings.m_peerListen);
    if (failed(endpoint)) {
        return errorOf(endpoint);
    }
    boost::system::error_code error;
    m_peerAcceptor.open(valueOf(endpoint).protocol(), error);
    if (!error) {
        m_peerAcceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        m_peerAcceptor.bind(valueOf(endpoint), error);
    }
    if (!error) {
        m_peerAcceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return Error{ErrorCode::Io, "cannot listen on " + m_settings.m_peerListen + ": " + error.message()};
    }
    Result<std::shared_ptr<HttpServer>> status = HttpServer::create({&context()}, m_settings.m_statusListen, [this](HttpExchange &exchange) {
        return serveStatus(exchange);
    });
    if (failed(status)) {
        return errorOf(status);
    }
    m_status = valueOf(status);
    asio::co_spawn(context(), acceptLoop(), asio::detached);
    asio::co_spawn(context(), gossipLoop(), asio::detached);
    asio::co_spawn(context(), watchLoop(), asio::detached);
    asio::co_spawn(context(), stopLoop(), asio::detached);
    logEvent(LogEvent::ProcessStarted, {{"availability_zone", m_settings.m_availabilityZone}, {"status", m_settings.m_statusListen}});
    return Done{};
}

int Node::run()
{
    m_threads.run();
    return m_exitStatus;
}

const CommonSettings &Node::settings() const
{
    return m_settings;
}

StoreClient &Node::store()
{
    ++m_storeCalls;
    return m_store;
}

Membership &Node::membership()
{
    return m_membership;
}

const DocumentView &Node::view() const
{
    return m_view;
}

Freshness Node::freshness() const
{
    return m_freshness;
}

Reachability Node::reachability() const
{
    const MemberCount count = countMembers(m_membership, steadyMs());
    return Reachability{count.m_known, count.m_syncedAlive, count.m_newestIndex};
}

bool Node::isStopping() const
{
    return m_stopping;
}

asio::io_context &Node::context()
{
    return m_threads.control();
}

HeartbeatMessage Node::makeHeartbeat(bool withMembers)
{
    const std::int64_t nowMs = steadyMs();
    removeExpiredReports(nowMs);
    HeartbeatMessage message;
    message.m_sender = m_settings.m_name;
    message.m_viewIndex = m_view.m_index;
    message.m_confirmationAgeMs = m_view.m_confirmedAtMs < 0 ? -1 : nowMs - m_view.m_confirmedAtMs;
    m_membership.m_self.m_viewIndex = m_view.m_index;
    message.m_members = makeHeartbeatMembers(m_membership, nowMs, m_random, withMembers ? MaxMembersPerMessage : 0);
    for (const std::pair<const ReportKey, RecentReport> &entry : m_reports) {
        message.m_reports.push_back({entry.second.m_report, nowMs - entry.second.m_createdMs});
    }
    if (m_hooks.m_crashRecords) {
        for (const CrashRecord &record : m_hooks.m_crashRecords()) {
            message.m_crashRecords.push_back({record, std::max<std::int64_t>(0, nowMs - record.m_updatedMs)});
        }
    }
    return message;
}

void Node::removeExpiredReports(std::int64_t nowMs)
{
    std::erase_if(m_reports, [nowMs](const std::pair<const ReportKey, RecentReport> &entry) {
        return nowMs - entry.second.m_createdMs > ReportLifeMs;
    });
}

bool Node::recordReport(const AgedReport &aged)
{
    const std::int64_t createdMs = steadyMs() - aged.m_ageMs;
    const ReportKey key(aged.m_report.m_upstream, aged.m_report.m_kind);
    const auto it = m_reports.find(key);
    // The same report comes back from other peers with a slightly different age.
    constexpr std::int64_t SameReportToleranceMs = 500;
    const bool known =
        it != m_reports.end() && it->second.m_report.m_generation >= aged.m_report.m_generation && createdMs <= it->second.m_createdMs + SameReportToleranceMs;
    if (known || aged.m_ageMs > ReportLifeMs) {
        return false;
    }
    m_reports[key] = RecentReport{aged.m_report, createdMs};
    return true;
}

void Node::applyHeartbeat(const HeartbeatMessage &message)
{
    const std::int64_t nowMs = steadyMs();
    mergeMembers(m_membership, message.m_members, nowMs);
    bool hasNewReport = false;
    for (const AgedReport &report : message.m_reports) {
        if (recordReport(report)) {
            hasNewReport = true;
            if (m_hooks.m_onReport) {
                m_hooks.m_onReport(report.m_report);
            }
        }
    }
    for (const AgedCrashRecord &crashRecord : message.m_crashRecords) {
        CrashRecord record = crashRecord.m_record;
        record.m_updatedMs = nowMs - crashRecord.m_ageMs;
        if (m_hooks.m_onCrashRecord) {
            m_hooks.m_onCrashRecord(record);
        }
    }
    if (message.m_viewIndex == m_view.m_index) {
        updateView(DocumentDelta{m_view.m_index, m_view.m_index, message.m_confirmationAgeMs, {}});
    }
    if (hasNewReport) {
        broadcast();
    }
}

void Node::updateView(const DocumentDelta &delta)
{
    const ApplyOutcome outcome = applyDelta(m_view, delta, steadyMs());
    if (outcome != ApplyOutcome::Applied) {
        return;
    }
    ++m_appliedViews;
    m_membership.m_self.m_viewIndex = m_view.m_index;
    logEvent(LogEvent::PlanAdopted, {{"index", std::to_string(m_view.m_index)}, {"documents", std::to_string(delta.m_documents.size())}});
    if (m_hooks.m_onView) {
        m_hooks.m_onView(m_view);
    }
    updateFreshness();
    broadcast();
}

void Node::updateFreshness()
{
    const Freshness now = evaluateFreshness(m_view, reachability(), steadyMs(), m_settings.m_maxConfigurationAgeMs);
    if (now == m_freshness) {
        return;
    }
    m_freshness = now;
    m_membership.m_self.m_synced = m_membership.m_self.m_synced || now != Freshness::Stale;
    m_membership.m_self.m_ready = now != Freshness::Stale && !m_stopping;
    logEvent(LogEvent::FreshnessChanged, {{"freshness", std::string(enumName(FreshnessNames, now))}, {"index", std::to_string(m_view.m_index)}});
    if (m_hooks.m_onFreshness) {
        m_hooks.m_onFreshness(now);
    }
}

void Node::report(const UpstreamReport &report)
{
    if (recordReport({report, 0})) {
        broadcast();
    }
}

void Node::broadcast()
{
    for (const PeerAddress &peer : choosePeersToNotify(m_membership, m_random)) {
        asio::co_spawn(context(), gossipWith(peer, true), asio::detached);
    }
}

awaitable<void> Node::broadcastAndWait(std::int64_t timeoutMs)
{
    const std::shared_ptr<int> pending = std::make_shared<int>(0);
    const std::int64_t nowMs = steadyMs();
    for (const PeerAddress &peer : m_membership.m_peers) {
        if (peer.m_name == m_settings.m_name || !isMemberAlive(m_membership, peer.m_name, nowMs)) {
            continue;
        }
        ++*pending;
        asio::co_spawn(
            context(),
            [this, peer, pending]() -> awaitable<void> {
                co_await gossipWith(peer, true);
                --*pending;
            },
            asio::detached);
    }
    while (*pending > 0 && steadyMs() < nowMs + timeoutMs) {
        co_await sleepFor(1);
    }
}

awaitable<void> Node::gossipLoop()
{
    while (true) {
        for (const PeerAddress &peer : choosePeers(m_membership, GossipFanOut, m_random)) {
            asio::co_spawn(context(), gossipWith(peer, false), asio::detached);
        }
        fetchNewerView();
        updateFreshness();
        co_await sleepFor(GossipIntervalMs);
    }
}

void Node::fetchNewerView()
{
    const std::uint64_t newest = reachability().m_newestIndex;
    if (newest <= m_view.m_index) {
        return;
    }
    for (const PeerAddress &peer : m_membership.m_peers) {
        const auto it = m_membership.m_members.find(peer.m_name);
        if (it != m_membership.m_members.end() && it->second.m_viewIndex == newest) {
            asio::co_spawn(context(), gossipWith(peer, false), asio::detached);
            return;
        }
    }
}

awaitable<void> Node::gossipWith(PeerAddress peer, bool withoutMembers)
{
    // Only one exchange with a peer at a time; what changes meanwhile is sent with the next one.
    if (!m_activeExchanges.insert(peer.m_name).second) {
        co_return;
    }
    std::unique_ptr<PeerConnection> connection = std::move(m_connections[peer.m_name]);
    if (connection == nullptr) {
        Result<std::unique_ptr<PeerConnection>> connected = co_await peerConnect(peer.m_address, PeerTimeoutMs);
        if (!failed(connected)) {
            connection = std::move(valueOf(connected));
        }
    }
    if (connection != nullptr) {
        const SocketDeadline deadline(connection->m_socket, PeerTimeoutMs);
        const Result<Done> done = co_await exchangeMessages(*connection, withoutMembers);
        if (!failed(done)) {
            m_connections[peer.m_name] = std::move(connection);
        }
    }
    m_activeExchanges.erase(peer.m_name);
}

awaitable<Result<Done>> Node::exchangeMessages(PeerConnection &connection, bool withoutMembers)
{
    Result<Done> sent = co_await peerSend(connection, m_settings.m_peerSecret, makeHeartbeat(!withoutMembers), m_traffic);
    if (failed(sent)) {
        co_return sent;
    }
    Result<PeerMessage> reply = co_await peerReceive(connection, m_settings.m_peerSecret, m_traffic);
    if (failed(reply)) {
        co_return errorOf(reply);
    }
    const HeartbeatMessage *peerHeartbeat = std::get_if<HeartbeatMessage>(&valueOf(reply));
    if (peerHeartbeat == nullptr) {
        co_return Error{ErrorCode::ProtocolViolation, "expected a heartbeat in reply"};
    }
    const std::uint64_t peerIndex = peerHeartbeat->m_viewIndex;
    applyHeartbeat(*peerHeartbeat);
    if (peerIndex == m_view.m_index) {
        co_return Done{};
    }
    // The side with the newer view sends the documents that the other side lacks.
    if (peerIndex < m_view.m_index) {
        sent = co_await peerSend(connection, m_settings.m_peerSecret, deltaSince(m_view, peerIndex, steadyMs()), m_traffic);
    } else {
        sent = co_await peerSend(connection, m_settings.m_peerSecret, DocumentsRequestMessage{m_view.m_index}, m_traffic);
    }
    if (failed(sent)) {
        co_return sent;
    }
    reply = co_await peerReceive(connection, m_settings.m_peerSecret, m_traffic);
    if (failed(reply)) {
        co_return errorOf(reply);
    }
    if (const DocumentDelta *delta = std::get_if<DocumentDelta>(&valueOf(reply))) {
        updateView(*delta);
    }
    co_return Done{};
}

awaitable<void> Node::acceptLoop()
{
    while (m_peerAcceptor.is_open()) {
        auto [error, socket] = co_await m_peerAcceptor.async_accept(UseTuple);
        if (!error) {
            asio::co_spawn(context(), servePeer(std::move(socket)), asio::detached);
        }
    }
}

awaitable<void> Node::servePeer(Tcp::socket socket)
{
    Result<std::unique_ptr<PeerConnection>> accepted = co_await peerAccept(std::move(socket));
    if (failed(accepted)) {
        co_return;
    }
    PeerConnection &connection = *valueOf(accepted);
    while (true) {
        const SocketDeadline deadline(connection.m_socket, PeerIdleMs);
        const Result<PeerMessage> message = co_await peerReceive(connection, m_settings.m_peerSecret, m_traffic);
        if (failed(message)) {
            const ErrorCode code = errorOf(message).m_code;
            if (code == ErrorCode::Unauthorized || code == ErrorCode::ProtocolViolation) {
                logEvent(LogEvent::PeerRejected, {{"error", describe(errorOf(message))}});
            }
            co_return;
        }
        PeerMessage reply;
        if (const HeartbeatMessage *peerHeartbeat = std::get_if<HeartbeatMessage>(&valueOf(message))) {
            applyHeartbeat(*peerHeartbeat);
            reply = makeHeartbeat(peerHeartbeat->m_members.size() > 1);
        } else if (const DocumentsRequestMessage *request = std::get_if<DocumentsRequestMessage>(&valueOf(message))) {
            reply = deltaSince(m_view, request->m_since, steadyMs());
        } else {
            updateView(std::get<DocumentDelta>(valueOf(message)));
            reply = makeHeartbeat(false);
        }
        const Result<Done> sent = co_await peerSend(connection, m_settings.m_peerSecret, reply, m_traffic);
        if (failed(sent)) {
            co_return;
        }
    }
}

awaitable<void> Node::watchLoop()
{
    // The first read does not wait for a change, so that a new daemon has the configuration at once.
    std::int64_t waitMs = 0;
    while (true) {
        const std::int64_t nowMs = steadyMs();
        const bool watch = shouldWatchStore(m_membership, m_settings.m_watchersPerZone, nowMs) || confirmationAgeMs(m_view, nowMs) > AskStoreAfterMs;
        if (!watch) {
            co_await sleepFor(WatchPauseMs);
            continue;
        }
        Result<DocumentDelta> delta = co_await storeWatch(store(), ConfigPrefix, m_view.m_index, waitMs);
        const bool reachable = !failed(delta);
        if (reachable != m_storeReachable) {
            m_storeReachable = reachable;
            logEvent(reachable ? LogEvent::StoreRecovered : LogEvent::StoreLost, {{"error", reachable ? std::string() : describe(errorOf(delta))}});
        }
        if (reachable) {
            waitMs = WatchWaitMs;
            updateView(valueOf(delta));
            updateFreshness();
        } else {
            co_await sleepFor(WatchPauseMs);
        }
    }
}

awaitable<void> Node::stopLoop()
{
    asio::signal_set signals(context(), SIGTERM, SIGINT);
    co_await signals.async_wait(UseTuple);
    m_stopping = true;
    m_membership.m_self.m_ready = false;
    m_membership.m_self.m_leaving = true;
    logEvent(LogEvent::ProcessStopping);
    co_await broadcastAndWait(PeerTimeoutMs);
    if (m_hooks.m_onStop) {
        co_await m_hooks.m_onStop();
    }
    co_await sleepFor(m_settings.m_balancerWaitMs);
    if (m_hooks.m_onStopAccepting) {
        m_hooks.m_onStopAccepting();
    }
    const std::int64_t deadlineMs = steadyMs() + m_settings.m_drainLimitMs;
    while (m_hooks.m_isDrained && !m_hooks.m_isDrained() && steadyMs() < deadlineMs) {
        co_await sleepFor(StopPollMs);
    }
    if (m_hooks.m_isDrained && !m_hooks.m_isDrained()) {
        logEvent(LogEvent::DrainLimitReached);
        m_exitStatus = DrainLimitExitStatus;
    }
    logEvent(LogEvent::ProcessStopped);
    m_threads.stop();
}
}
