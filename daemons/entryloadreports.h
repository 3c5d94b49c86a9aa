#pragma once

#include "daemons/entrycontext.h"

namespace knapweedslip
{
/** Exchanges load reports with the other daemons, many times a second, and at once when a replica falls silent. */
class LoadReportExchange
{
public:
    /** Opens the socket. Returns an error if its address cannot be used. */
    static Result<std::unique_ptr<LoadReportExchange>> create(EntryContext &context);

    /** Sends load reports at regular intervals; does not return. */
    awaitable<void> sendLoop();
    /** Receives the load reports of the other daemons; returns when the socket is closed. */
    awaitable<void> receiveLoop();
    /** Sends a load report to each other daemon at once. */
    void sendNow();
    /** Sends new observations of upstreams that ended to each other daemon, several times. Must be called often; sends at most four times a second. */
    void sendCrashes();

private:
    explicit LoadReportExchange(EntryContext &context);

    EntryContext &m_context;
    asio::ip::udp::socket m_socket;
    /** Number of the last load report. */
    std::uint64_t m_sequenceNumber = 0;
    /** Version of the observations that were sent, how often they are still to be sent, and when that happened last. */
    std::uint64_t m_sentCrashes = 0;
    int m_crashRepeats = 0;
    std::int64_t m_crashesSentMs = 0;
    /** When a report last named all recent departures. */
    std::int64_t m_departuresSentMs = 0;

    void sendToAll(const DaemonLoadReport &report);
    std::int64_t reportIntervalMs() const;
    /** Logs which daemons have fallen silent, or are heard again. */
    void logContacts();
};

/** Passes what the other daemons reported to the replica selector and, if this daemon leads, to the reconciler. */
void applyLoadReports(EntryContext &context);
}
