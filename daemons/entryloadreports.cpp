// Problem: a daemon needs the load that the others place on each replica within one pass of the engines; a lost report does no harm.
// Approach: one datagram to each daemon, see ReportPeers. The next one follows soon, whether or not this one arrives.
// Connections between all daemons would cost memory and can fail unnoticed, and an old load is worthless by the time it is delivered.

#include "daemons/entryloadreports.h"

#include "daemons/entryadmission.h"
#include "daemons/entryavailability.h"
#include "daemons/entrycrashes.h"
#include "net/loadreportcodec.h"
#include "net/logging.h"

#include <array>

namespace knapweedslip
{
namespace
{
using Udp = asio::ip::udp;

/** Interval between load reports, in ms: about two passes of the engines. */
constexpr std::int64_t LoadReportIntervalMs = 100;
/** Largest number of datagrams that one daemon sends per second, however many daemons there are. */
constexpr std::int64_t MaxLoadReportsPerSecond = 180;
/**
 * Datagrams with the same observations of upstreams that ended, and the pauses between them, in ms. New ones are sent at once, before another request with
 * the cause is elsewhere; the next come soon, since datagrams are lost; the others also reach a daemon that was suspended or cut off for some seconds.
 */
constexpr std::int64_t NewCrashPauseMs = 20;
/** Datagrams with new observations that one daemon sends per second at most, however many daemons there are. */
constexpr std::int64_t MaxCrashReportsPerSecond = 2'000;
constexpr int QuickCrashRepeats = 3;
constexpr int CrashRepeats = 8;
constexpr std::int64_t QuickCrashPauseMs = 250;
constexpr std::int64_t CrashPauseMs = 1'500;
/** Observations older than this are not repeated, in ms. */
constexpr std::int64_t CrashRepeatMs = 10'000;
/** Keeps a report within one packet: each takes about 30 bytes. */
constexpr std::size_t MaxCrashesInReport = 32;
/** How long every report names an upstream that leaves, in ms: datagrams are lost. */
constexpr std::int64_t NewDepartureMs = 1'000;
/** How long some reports go on to name it, in ms, and how often: for daemons that start, and for those that do not reach the store, meanwhile. */
constexpr std::int64_t DepartureReportMs = 30'000;
constexpr std::int64_t DepartureRepeatMs = 1'000;
constexpr std::size_t MaxDatagramBytes = 60 * 1024;
}

LoadReportExchange::LoadReportExchange(EntryContext &context)
    : m_context(context)
    , m_socket(context.m_io)
{
}

Result<std::unique_ptr<LoadReportExchange>> LoadReportExchange::create(EntryContext &context)
{
    const Result<Tcp::endpoint> parsed = parseEndpoint(context.m_settings.m_peerListen);
    if (failed(parsed)) {
        return errorOf(parsed);
    }
    std::unique_ptr<LoadReportExchange> exchange(new LoadReportExchange(context));
    const Udp::endpoint endpoint(valueOf(parsed).address(), valueOf(parsed).port());
    boost::system::error_code error;
    exchange->m_socket.open(endpoint.protocol(), error);
    if (!error) {
        exchange->m_socket.bind(endpoint, error);
    }
    if (!error) {
        exchange->m_socket.non_blocking(true, error);
    }
    if (error) {
        return Error{ErrorCode::Io, "cannot listen on " + context.m_settings.m_peerListen + ": " + error.message()};
    }
    return exchange;
}

void LoadReportExchange::sendNow()
{
    const std::int64_t nowMs = steadyMs();
    DaemonLoadReport report = makeLoadReport(m_context.m_settings.m_name, ++m_sequenceNumber, m_context.m_serving, m_context.m_replicaSelector, nowMs);
    if (m_context.m_settings.m_overloadAdmission) {
        for (const std::pair<const std::string, RankWork> &offered : m_context.m_admission.ownDemand(nowMs)) {
            report.m_demand[modelKey(offered.first)] = offered.second;
        }
    }
    const bool isRepeat = nowMs - m_departuresSentMs >= DepartureRepeatMs;
    m_departuresSentMs = isRepeat ? nowMs : m_departuresSentMs;
    report.m_departures = m_context.m_availability.recentDepartures(isRepeat ? DepartureReportMs : NewDepartureMs, nowMs);
    report.m_proofAgeMs = m_context.m_confirmedMs < 0 ? -1 : nowMs - m_context.m_confirmedMs;
    const std::int64_t answeredSinceMs = m_context.m_storeOutage.answeredSinceMs();
    report.m_answeredForMs = answeredSinceMs < 0 ? 0 : m_context.m_confirmedMs - answeredSinceMs;
    sendToAll(report);
}

void LoadReportExchange::sendCrashes()
{
    const std::int64_t nowMs = steadyMs();
    const std::uint64_t version = m_context.m_crashLedger.ownVersion();
    const bool isNew = version != m_sentCrashes;
    m_crashRepeats = isNew ? CrashRepeats : m_crashRepeats;
    constexpr std::int64_t MsPerSecond = 1'000;
    const std::int64_t newPauseMs = std::max(NewCrashPauseMs, daemonCount(m_context) * MsPerSecond / MaxCrashReportsPerSecond);
    const std::int64_t repeatPauseMs = m_crashRepeats > CrashRepeats - QuickCrashRepeats ? QuickCrashPauseMs : CrashPauseMs;
    if (m_crashRepeats == 0 || nowMs - m_crashesSentMs < (isNew ? newPauseMs : repeatPauseMs)) {
        return;
    }
    --m_crashRepeats;
    m_sentCrashes = version;
    m_crashesSentMs = nowMs;
    DaemonLoadReport report;
    report.m_sender = m_context.m_settings.m_name;
    report.m_crashes = m_context.m_crashLedger.ownObservations(MaxCrashesInReport, CrashRepeatMs, nowMs);
    report.m_crashesOnly = true;
    sendToAll(report);
}

void LoadReportExchange::sendToAll(const DaemonLoadReport &report)
{
    const std::string bytes = encodeLoadReport(report);
    for (const std::string &address : m_context.m_reportPeers.recipients(m_context.m_settings.m_name, steadyMs())) {
        const Result<Tcp::endpoint> parsed = parseEndpoint(address);
        if (failed(parsed)) {
            continue;
        }
        // A report that cannot be sent now would be outdated later.
        boost::system::error_code ignored;
        m_socket.send_to(asio::buffer(bytes), Udp::endpoint(valueOf(parsed).address(), valueOf(parsed).port()), 0, ignored);
    }
}

std::int64_t LoadReportExchange::reportIntervalMs() const
{
    constexpr std::int64_t MsPerSecond = 1'000;
    return std::max(LoadReportIntervalMs, daemonCount(m_context) * MsPerSecond / MaxLoadReportsPerSecond);
}

void LoadReportExchange::logContacts()
{
    /** Reports in a row that may be lost before a daemon counts as silent. */
    constexpr std::int64_t LostReports = 3;
    const std::int64_t silentMs = std::max(LoadReportTable::ExpiryMs, (LostReports + 1) * reportIntervalMs());
    for (const ContactChange &change : m_context.m_reportPeers.takeChanges(silentMs, steadyMs())) {
        logEvent(change.m_heard ? LogEvent::DaemonHeard : LogEvent::DaemonSilent,
                 {{"daemon", change.m_daemon},
                  {"heard_age_ms", change.m_ageMs},
                  {"registered", m_context.m_peers.count(change.m_daemon) > 0},
                  {"proof_age_ms", steadyMs() - m_context.m_confirmedMs}});
    }
}

awaitable<void> LoadReportExchange::sendLoop()
{
    while (true) {
        sendNow();
        logContacts();
        co_await sleepFor(reportIntervalMs());
    }
}

awaitable<void> LoadReportExchange::receiveLoop()
{
    std::vector<char> bytes(MaxDatagramBytes);
    while (true) {
        Udp::endpoint sender;
        const auto [error, size] = co_await m_socket.async_receive_from(asio::buffer(bytes), sender, UseTuple);
        if (error) {
            // The error may concern an earlier datagram that was sent to a closed port; receiving goes on.
            if (!m_socket.is_open()) {
                co_return;
            }
            continue;
        }
        const Result<DaemonLoadReport> report = decodeLoadReport(bytes.data(), size);
        if (failed(report)) {
            logEvent(LogEvent::PeerRejected, {{"error", describe(errorOf(report))}});
            continue;
        }
        m_context.m_reportPeers.recordReport(valueOf(report).m_sender, sender.address().to_string() + ":" + std::to_string(sender.port()), steadyMs());
        if (!valueOf(report).m_crashesOnly) {
            m_context.m_loadReports.take(valueOf(report), steadyMs());
            if (valueOf(report).m_proofAgeMs >= 0) {
                const std::int64_t provenMs = steadyMs() - valueOf(report).m_proofAgeMs;
                m_context.m_storeOutage.recordAnswers(provenMs - valueOf(report).m_answeredForMs, provenMs, steadyMs());
            }
            for (const Departure &departure : valueOf(report).m_departures) {
                learnReport(m_context, departure);
            }
        }
        mergeCrashes(m_context, valueOf(report).m_crashes, false);
    }
}

void applyLoadReports(EntryContext &context)
{
    const std::int64_t nowMs = steadyMs();
    const PeerLoadSummary view = context.m_loadReports.view(nowMs);
    context.m_serving = context.m_serving || view.m_serving;
    context.m_replicaSelector.setPeerLoads(view.m_loads);
    updateAdmission(context, view);
    updateModelDemand(context, view);
    if (!isLeader(context)) {
        return;
    }
    for (const std::pair<const ReplicaRef, ManagedReplica> &entry : context.m_reconciler.replicas()) {
        const auto load = view.m_loads.find(entry.first.m_epoch);
        if (load != view.m_loads.end() && load->second.m_progressMs >= 0) {
            context.m_reconciler.recordProgress(entry.first, load->second.m_progressMs);
        }
        const bool silent = std::find(view.m_silent.begin(), view.m_silent.end(), entry.first.m_epoch) != view.m_silent.end();
        if (silent) {
            context.m_reconciler.suspect(entry.first, nowMs);
        }
    }
}
}
