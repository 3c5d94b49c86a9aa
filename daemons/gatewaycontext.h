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
/** The route table and what callers are recognised by. Immutable. */
struct GatewayTable
{
    std::shared_ptr<const RouteTable> m_routes;
    /** Workspace by the SHA-256 of its key. */
    std::unordered_map<std::string, std::string> m_workspaceByKey;
};

std::shared_ptr<const GatewayTable> makeGatewayTable(std::shared_ptr<const RouteTable> routes);

struct GatewayMetrics
{
    LatencyHistogram m_firstToken;
    LatencyHistogram m_requests;
    std::atomic<std::uint64_t> m_answered{0};
    std::atomic<std::uint64_t> m_tokens{0};
    std::atomic<std::uint64_t> m_resumed{0};
    std::atomic<std::uint64_t> m_broken{0};
    std::atomic<std::uint64_t> m_unknownOutcomes{0};
};

/** Everything the requests of one gateway share. */
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

/** The table in force, cheap on the path of a request. */
std::shared_ptr<const GatewayTable> currentTable(const GatewayContext &context);

/** Tells the own scheduler at once and all peers. May be called from any thread. */
void reportUpstream(GatewayContext &context, const Upstream &upstream, ReportKind kind);
/** Sends the strikes to all peers now. */
void spreadStrikes(GatewayContext &context);
}
