#pragma once

#include "kernel/crashledger.h"
#include "kernel/departures.h"
#include "kernel/overloadadmission.h"
#include "kernel/replicaselector.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace knapweedslip
{
/** Load that one daemon has sent to one replica. The epoch identifies the replica. */
struct GroupLoadReport
{
    std::uint64_t m_epoch = 0;
    ReplicaLoad m_load;
    /** Age of the last event that the daemon received from the replica, in ms; negative if there was none. */
    std::int64_t m_progressAgeMs = -1;
    /** The daemon has found the replica silent: outstanding work but no events. */
    bool m_silent = false;
};

/** Load report that a daemon sends to the others several times a second. */
struct DaemonLoadReport
{
    std::string m_sender;
    /** Sequence number; starts again when the sender restarts. A later report replaces an earlier one. */
    std::uint64_t m_number = 0;
    /** The daemon has received requests from clients. */
    bool m_serving = false;
    std::vector<GroupLoadReport> m_groups;
    /** Work that clients offer to the sender, by modelKey(). */
    std::map<std::uint64_t, RankWork> m_demand;
    /** Lifetimes of upstreams that the sender found to leave. */
    std::vector<Departure> m_departures;
    /** Age of the sender's confirmation that its copy of the store is current, in ms; negative if it has none. */
    std::int64_t m_proofAgeMs = -1;
    /** For how long before that the store has answered the sender without a break, see StoreOutage, in ms. */
    std::int64_t m_answeredForMs = 0;
    /** The report is no load report: it holds only m_crashes. */
    bool m_crashesOnly = false;
    /** The sender's latest observations of upstreams that ended. */
    std::vector<CrashObservation> m_crashes;
};

/** Sum of the load reports of the other daemons. */
struct PeerLoadSummary
{
    /** Load of each replica, by epoch. */
    std::map<std::uint64_t, PeerLoad> m_loads;
    /** Epochs of the replicas that a daemon has found silent; one entry for each daemon that did. */
    std::vector<std::uint64_t> m_silent;
    /** At least one of the daemons has received requests from clients. */
    bool m_serving = false;
    /** Work that clients offer to the other daemons, by modelKey(). */
    std::map<std::uint64_t, RankWork> m_demand;
    /** Number of the daemons whose reports count. */
    int m_daemons = 0;
};

/** Returns the number that stands for the model called @p name in load reports. */
std::uint64_t modelKey(const std::string &name);

/** Keeps the last load report of each daemon. Memory: one report for each daemon heard from within ExpiryMs. */
class LoadReportTable
{
public:
    /** A report no longer counts after this time, in ms. One or two lost reports do not matter, even if the interval between reports is long. */
    static constexpr std::int64_t ExpiryMs = 1'200;

    /** Stores @p report unless a later one of the same sender has been stored already, and removes expired reports. */
    void take(const DaemonLoadReport &report, std::int64_t nowMs);
    /** Returns the sum of the reports that have not expired at @p nowMs. */
    PeerLoadSummary view(std::int64_t nowMs) const;
    /** Returns the number of daemons whose report has not expired at @p nowMs. */
    int countLiveSenders(std::int64_t nowMs) const;

private:
    struct ReceivedReport
    {
        DaemonLoadReport m_report;
        std::int64_t m_receivedMs = 0;
    };

    std::map<std::string, ReceivedReport> m_reports;
};

/** Returns the load report of the daemon @p sender, made from @p selector at @p nowMs. */
DaemonLoadReport makeLoadReport(const std::string &sender, std::uint64_t number, bool serving, const ReplicaSelector &selector, std::int64_t nowMs);
}
