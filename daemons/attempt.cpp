// Problem: a request must reach only the process that the table lists, not one that has since replaced it, which would be cold.
// Approach: each new connection first asks the process for its boot id. Later requests on that connection do not ask again.
// Asking before every request would double the round trips. Never asking would overload a restarted upstream until a probe finds the restart.

#include "daemons/attempt.h"

#include "net/jsonfields.h"

#include <charconv>

namespace knapweedslip
{
awaitable<Result<HttpConnectionPtr>> connectUpstream(GatewayContext &context, const Upstream &upstream, bool fresh, std::int64_t timeoutMs)
{
    if (!fresh) {
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        HttpConnectionPtr idle = context.m_connections.take(executor, upstream.m_address, upstream.m_bootId);
        if (idle != nullptr) {
            co_return std::move(idle);
        }
    }
    Result<HttpConnectionPtr> connected = co_await httpConnect(upstream.m_address, timeoutMs);
    if (failed(connected)) {
        co_return errorOf(connected);
    }
    HttpRequest status;
    status.m_target = "/control/status";
    const Result<HttpReply> reply = co_await httpExchange(*valueOf(connected), status, timeoutMs, MaxControlReplyBytes);
    if (failed(reply)) {
        co_return Error{ErrorCode::ConnectFailed, "no reply to the status request: " + describe(errorOf(reply))};
    }
    valueOf(connected)->m_bootId = stringField(parseJsonObject(valueOf(reply).m_body), "boot_id");
    if (valueOf(connected)->m_bootId != upstream.m_bootId) {
        co_return Error{ErrorCode::ConnectFailed, "another process answers at " + upstream.m_address};
    }
    co_return std::move(valueOf(connected));
}

void applyEngineHeaders(GatewayContext &context, const Upstream &upstream, const std::string &running, bool cold, bool leaving)
{
    int count = 0;
    const std::from_chars_result parsed = std::from_chars(running.data(), running.data() + running.size(), count);
    if (parsed.ec == std::errc() && !running.empty()) {
        context.m_dispatcher->reportLoad(upstream.m_id, count);
    }
    if (cold && upstream.m_phase == GroupPhase::Warm) {
        reportUpstream(context, upstream, ReportKind::Cold);
    }
    if (leaving) {
        reportUpstream(context, upstream, ReportKind::Leaving);
    }
}

AttemptEnd toAttemptEnd(const Error &error)
{
    switch (error.m_code) {
    case ErrorCode::ConnectionLost:
        return AttemptEnd::UpstreamLost;
    case ErrorCode::UpstreamRefused:
        return AttemptEnd::Refused;
    case ErrorCode::ConnectFailed:
    case ErrorCode::Timeout:
        return AttemptEnd::Unreachable;
    default:
        return AttemptEnd::Neutral;
    }
}
}
