// Problem: requests on several threads need the current table without taking a lock.
// Approach: each thread keeps its own reader of the published table.

#include "daemons/gatewaycontext.h"

#include "net/logging.h"

namespace knapweedslip
{
std::shared_ptr<const GatewayTable> makeGatewayTable(std::shared_ptr<const RouteTable> routes)
{
    std::shared_ptr<GatewayTable> table = std::make_shared<GatewayTable>();
    for (const WorkspacePlan &workspace : routes->m_plan.m_workspaces) {
        table->m_workspaceByKey[workspace.m_keySha256] = workspace.m_name;
    }
    table->m_routes = std::move(routes);
    return table;
}

std::shared_ptr<const GatewayTable> currentTable(const GatewayContext &context)
{
    thread_local SnapshotCell<GatewayTable>::Reader reader;
    return context.m_table.read(reader);
}

void reportUpstream(GatewayContext &context, const Upstream &upstream, ReportKind kind)
{
    LogEvent event = LogEvent::UpstreamDoubted;
    if (kind == ReportKind::Cold) {
        event = LogEvent::UpstreamTurnedCold;
    } else if (kind == ReportKind::Leaving) {
        event = LogEvent::UpstreamLeaving;
    }
    logEvent(event, {{"upstream", upstream.m_id}, {"generation", std::to_string(upstream.m_generation)}});
    const UpstreamReport report{upstream.m_id, upstream.m_generation, kind};
    context.m_dispatcher->report(report);
    Node *node = context.m_node;
    asio::post(node->context(), [node, report]() {
        node->report(report);
    });
}

void broadcastCrashRecords(GatewayContext &context)
{
    Node *node = context.m_node;
    asio::post(node->context(), [node]() {
        node->broadcast();
    });
}
}
