#pragma once

#include "daemons/dispatcher.h"
#include "daemons/intentledger.h"
#include "net/metrics.h"
#include "net/node.h"
#include "net/snapshotcell.h"

#include <atomic>
#include <memory>
#include <string>
#include <unordered_map>

namespace knapweedslip
{
/** The route table and the workspace keys of one configuration. Immutable. */
struct GatewayTable
{
    std::shared_ptr<const RouteTable> m_routes;
    /** Name of the workspace, by the SHA-256 of its key. */
    std::unordered_map<std::string, std::string> m_workspaceByKey;
};

std::shared_ptr<const GatewayTable> makeGatewayTable(std::shared_ptr<const RouteTable> routes);

struct GatewayMetrics
{
    LatencyHistogram m_firstTokenMs;
    /** From the acceptance of a request to the end of its complete response. */
    LatencyHistogram m_responseMs;
    std::atomic<std::uint64_t> m_answered{0};
    std::atomic<std::uint64_t> m_tokens{0};
    std::atomic<std::uint64_t> m_resumed{0};
    /** Streams that ended in an error event. */
    std::atomic<std::uint64_t> m_broken{0};
    std::atomic<std::uint64_t> m_unknownOutcomes{0};
};

/** State shared by all requests of a gateway. */
struct GatewayContext
{
    GatewaySettings m_settings;
    Node *m_node = nullptr;
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::unique_ptr<IntentLedger> m_ledger;
    SnapshotCell<GatewayTable> m_table;
    ConnectionPool m_connections;
    GatewayMetrics m_metrics;
    std::atomic<std::uint64_t> m_nextRequest{1};
};

/** Returns the current table without taking a lock; null before the first plan. May be called from any thread. */
std::shared_ptr<const GatewayTable> currentTable(const GatewayContext &context);

/** Reports @p kind to this gateway's scheduler immediately and to all peers. May be called from any thread. */
void reportUpstream(GatewayContext &context, const Upstream &upstream, ReportKind kind);
/** Sends the crash records to all peers now. May be called from any thread. */
void broadcastCrashRecords(GatewayContext &context);
}
