// Problem: each gateway knows only its own part of the load on a replica, but choosing a replica and detecting a silent one need all of it.
// Approach: every daemon sends its load on each replica to the others several times a second. The last report of each daemon counts until it expires.
// Polling the engines instead would give older data and cost a call each time.

#include "kernel/loadreport.h"

#include "kernel/hashing.h"

#include <algorithm>
#include <functional>

namespace knapweedslip
{
std::uint64_t modelKey(const std::string &name)
{
    return hash64(name);
}

void LoadReportTable::take(const DaemonLoadReport &report, std::int64_t nowMs)
{
    ReceivedReport &received = m_reports[report.m_sender];
    // A report whose number is not higher has arrived out of order, unless the sender has restarted and numbers its reports from the beginning again.
    // A restart is assumed if the sender's last report has expired or the number is much lower.
    const bool stale = received.m_receivedMs > 0 && nowMs - received.m_receivedMs < ExpiryMs && report.m_number <= received.m_report.m_number
                       && received.m_report.m_number - report.m_number < static_cast<std::uint64_t>(ExpiryMs);
    if (!stale) {
        received.m_report = report;
        received.m_receivedMs = nowMs;
    }
    for (auto it = m_reports.begin(); it != m_reports.end();) {
        it = nowMs - it->second.m_receivedMs > ExpiryMs ? m_reports.erase(it) : std::next(it);
    }
}

PeerLoadSummary LoadReportTable::view(std::int64_t nowMs) const
{
    PeerLoadSummary summary;
    for (const std::pair<const std::string, ReceivedReport> &entry : m_reports) {
        const ReceivedReport &received = entry.second;
        if (nowMs - received.m_receivedMs > ExpiryMs) {
            continue;
        }
        summary.m_serving = summary.m_serving || received.m_report.m_serving;
        ++summary.m_daemons;
        for (const std::pair<const std::uint64_t, RankWork> &offered : received.m_report.m_demand) {
            RankWork &demand = summary.m_demand[offered.first];
            std::transform(demand.begin(), demand.end(), offered.second.begin(), demand.begin(), std::plus<>());
        }
        for (const GroupLoadReport &replica : received.m_report.m_groups) {
            PeerLoad &load = summary.m_loads[replica.m_epoch];
            const double ageMs = static_cast<double>(nowMs - received.m_receivedMs);
            // A working replica has continued its prefill since the report. Without this correction all gateways would take it for busy, send their
            // requests to the other replicas and overload those next.
            const double pendingPrefillMs = replica.m_silent ? replica.m_load.m_pendingPrefillMs : std::max(0.0, replica.m_load.m_pendingPrefillMs - ageMs);
            const bool prefillDone = pendingPrefillMs <= 0.0;
            load.m_load.m_decoding += replica.m_load.m_decoding + (prefillDone ? replica.m_load.m_waiting : 0);
            load.m_load.m_waiting += prefillDone ? 0 : replica.m_load.m_waiting;
            load.m_load.m_pendingPrefillMs += pendingPrefillMs;
            load.m_load.m_contextTokens += replica.m_load.m_contextTokens;
            if (replica.m_progressAgeMs >= 0) {
                load.m_progressMs = std::max(load.m_progressMs, received.m_receivedMs - replica.m_progressAgeMs);
            }
            if (replica.m_silent) {
                summary.m_silent.push_back(replica.m_epoch);
            }
        }
    }
    return summary;
}

int LoadReportTable::countLiveSenders(std::int64_t nowMs) const
{
    return static_cast<int>(std::count_if(m_reports.begin(), m_reports.end(), [nowMs](const std::pair<const std::string, ReceivedReport> &entry) {
        return nowMs - entry.second.m_receivedMs <= ExpiryMs;
    }));
}

DaemonLoadReport makeLoadReport(const std::string &sender, std::uint64_t number, bool serving, const ReplicaSelector &selector, std::int64_t nowMs)
{
    DaemonLoadReport report;
    report.m_sender = sender;
    report.m_number = number;
    report.m_serving = serving;
    for (const std::pair<const ReplicaRef, TrackedReplica> &entry : selector.replicas()) {
        const TrackedReplica &replica = entry.second;
        const bool idle = replica.m_ownLoad.m_decoding + replica.m_ownLoad.m_waiting == 0;
        // An idle replica is left out of the report when its last event is older than a report may be.
        if (idle && !replica.m_silent && (replica.m_progressMs < 0 || nowMs - replica.m_progressMs > LoadReportTable::ExpiryMs)) {
            continue;
        }
        GroupLoadReport replicaReport;
        replicaReport.m_epoch = entry.first.m_epoch;
        replicaReport.m_load = replica.m_ownLoad;
        replicaReport.m_progressAgeMs = replica.m_progressMs < 0 ? -1 : nowMs - replica.m_progressMs;
        replicaReport.m_silent = replica.m_silent;
        report.m_groups.push_back(replicaReport);
    }
    return report;
}
}
