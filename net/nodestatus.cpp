// Problem: operators and load balancers must be able to inspect every daemon.
// Approach: a separate address serves health, readiness, metrics in the Prometheus text format, and a dump of the state without secrets.

#include "net/metrics.h"
#include "net/node.h"

#include <boost/json.hpp>

namespace knapweedslip
{
namespace json = boost::json;

awaitable<void> Node::serveStatus(HttpExchange &exchange)
{
    const std::string path(pathOf(exchange.request().m_target));
    if (path == "/healthz") {
        co_await exchange.respond(jsonReply(200, R"({"status":"live"})"));
    } else if (path == "/readyz") {
        const bool ready = m_freshness != Freshness::Stale && !m_stopping;
        const std::string body = std::string(R"({"ready":)") + (ready ? "true" : "false") + "}";
        const unsigned status = ready ? 200 : 503;
        co_await exchange.respond(jsonReply(status, body));
    } else if (path == "/metrics") {
        HttpReply reply;
        reply.m_headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
        reply.m_body = metrics();
        co_await exchange.respond(std::move(reply));
    } else if (path == "/debug/state") {
        const std::string_view header = headerValue(exchange.request().m_headers, "Authorization");
        if (!equalSecrets(header, "Bearer " + m_settings.m_operatorKey.m_text)) {
            co_await exchange.respond(problemReply(Error{ErrorCode::Unauthorized, "the operators' key is needed"}));
            co_return;
        }
        co_await exchange.respond(jsonReply(200, dump()));
    }
}

std::string Node::dump() const
{
    const std::int64_t nowMs = steadyMs();
    json::object object;
    object["name"] = m_settings.m_name;
    object["role"] = enumName(RoleNames, m_settings.m_role);
    object["availability_zone"] = m_settings.m_availabilityZone;
    object["view_index"] = m_view.m_index;
    object["confirmation_age_ms"] = m_view.m_confirmedAtMs < 0 ? -1 : nowMs - m_view.m_confirmedAtMs;
    object["freshness"] = enumName(FreshnessNames, m_freshness);
    object["store_answers"] = m_storeReachable;
    object["stopping"] = m_stopping.load();
    json::array members;
    for (const std::pair<const std::string, Member> &entry : m_membership.m_members) {
        const Member &member = entry.second;
        members.push_back(json::object{{"name", member.m_name},
                                       {"role", enumName(RoleNames, member.m_role)},
                                       {"availability_zone", member.m_availabilityZone},
                                       {"lives", isMemberAlive(m_membership, member.m_name, nowMs)},
                                       {"ready", member.m_ready},
                                       {"leaving", member.m_leaving},
                                       {"view_index", member.m_viewIndex}});
    }
    object["members"] = std::move(members);
    json::array reports;
    for (const std::pair<const ReportKey, RecentReport> &entry : m_reports) {
        reports.push_back(json::object{{"upstream", entry.second.m_report.m_upstream},
                                       {"kind", enumName(ReportKindNames, entry.second.m_report.m_kind)},
                                       {"generation", entry.second.m_report.m_generation},
                                       {"age_ms", nowMs - entry.second.m_createdMs}});
    }
    object["reports"] = std::move(reports);
    if (m_hooks.m_dump) {
        boost::system::error_code error;
        object["daemon"] = json::parse(m_hooks.m_dump(), error);
    }
    return json::serialize(object);
}

std::string Node::metrics() const
{
    std::string text;
    text += exposeMetric("knapweedslip_view_index", "Index of the configuration in force", static_cast<double>(m_view.m_index), true);
    text += exposeMetric("knapweedslip_view_adoptions_total", "Newer views adopted", static_cast<double>(m_appliedViews), false);
    text += exposeMetric("knapweedslip_store_calls_total", "Calls of the platform's store", static_cast<double>(m_storeCalls), false);
    text += exposeMetric("knapweedslip_peer_sent_bytes_total", "Bytes sent to peers", static_cast<double>(m_traffic.m_sentBytes), false);
    text += exposeMetric("knapweedslip_peer_received_bytes_total", "Bytes received from peers", static_cast<double>(m_traffic.m_receivedBytes), false);
    text += exposeMetric("knapweedslip_peer_messages_total", "Messages sent to peers", static_cast<double>(m_traffic.m_sentMessages), false);
    text += exposeMetric("knapweedslip_peer_rejected_total", "Peer frames rejected", static_cast<double>(m_traffic.m_rejectedFrames), false);
    text += exposeMetric("knapweedslip_ready", "1 while new work is taken", m_freshness != Freshness::Stale && !m_stopping ? 1.0 : 0.0, true);
    return m_hooks.m_metrics ? text + m_hooks.m_metrics() : text;
}

}
