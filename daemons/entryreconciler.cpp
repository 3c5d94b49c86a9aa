// Problem: orders and probes are sent to dozens of engines, and any of them may hang.
// Approach: each call runs in a coroutine of its own with a short timeout and passes its result to ReplicaReconciler, which decides what is due.
// If the calls ran one after the other, a single unresponsive engine would delay the repair of every replica.

#include "daemons/entryreconciler.h"

#include "daemons/entryavailability.h"
#include "daemons/ordercall.h"

#include "net/logging.h"
#include "platform/enginecalls.h"
#include "platform/entrydecoder.h"

namespace knapweedslip
{
namespace
{
/** Interval of the reconciler, in ms: the shortest step in forming a replica is one answer from within the region. */
constexpr std::int64_t ReconcilerIntervalMs = 20;
/** Longest wait for the answer to an order, in ms: an engine answers in a few ms; an unresponsive one delays its replica by this much. */
constexpr std::int64_t OrderTimeoutMs = 250;
/** Longest wait for the answer to a probe, in ms. */
constexpr std::int64_t ProbeTimeoutMs = 110;

/** Reads an engine's answer to an order or a probe for what the engine says of itself. */
void learnFromReply(EntryContext &context, const UpstreamLifetime &engine, const Result<HttpReply> &answer)
{
    if (!failed(answer) && platform::decodeResponseHeaders(valueOf(answer).m_status, valueOf(answer).m_headers).m_leaving) {
        learnLeaving(context, engine, {});
    }
}

std::int64_t startOf(const EntryContext &context, const std::string &engine)
{
    const auto found = context.m_upstreams.find(engine);
    return found == context.m_upstreams.end() ? 0 : found->second.m_startedMs;
}

awaitable<void> sendOrder(EntryContext &context, EngineOrder order)
{
    const UpstreamLifetime engine{order.m_engine, startOf(context, order.m_engine)};
    const std::uint64_t fence = context.m_leadership.m_fence;
    ++context.m_metrics.m_orders;
    const Result<HttpReply> answer = co_await orderCall(context.m_orderConnections, order, OrderTimeoutMs);
    learnFromReply(context, engine, answer);
    OrderReply reply = OrderReply::Unanswered;
    if (!failed(answer)) {
        reply = platform::decodeOrderReply(valueOf(answer).m_status);
    } else if (isConnectionRefused(errorOf(answer))) {
        reply = OrderReply::NotListening;
    }
    logEvent(reply == OrderReply::Done || reply == OrderReply::Begun ? LogEvent::OrderGiven : LogEvent::OrderFailed,
             {{"engine", order.m_engine},
              {"order", std::string(enumName(EngineOrderKindNames, order.m_kind))},
              {"group", order.m_replica.m_name},
              {"fence", static_cast<std::int64_t>(order.m_fence)},
              {"reply", std::string(enumName(OrderReplyNames, reply))},
              {"status", failed(answer) ? std::int64_t(0) : static_cast<std::int64_t>(valueOf(answer).m_status)}});
    if (context.m_leadership.m_fence != fence || fence == 0) {
        co_return;
    }
    if (reply == OrderReply::Fenced) {
        // A later leader may have sent orders to this engine. The lease is renewed at once, and this term ends if the lease no longer exists.
        context.m_leadership.m_renewNow = true;
    }
    context.m_reconciler.orderAnswered(order, reply, steadyMs());
}

awaitable<void> probeEngine(EntryContext &context, std::string engine)
{
    const UpstreamEntry *known = context.m_reconciler.entry(engine);
    if (known == nullptr) {
        co_return;
    }
    const std::string address = known->m_address;
    const UpstreamLifetime lifetime{engine, known->m_startedMs};
    ++context.m_metrics.m_probes;
    HttpRequest request = platform::makeReportRequest(engine);
    const Result<HttpReply> answer = co_await httpCall(context.m_reportConnections, address, std::move(request), ProbeTimeoutMs, MaxControlReplyBytes);
    const std::int64_t nowMs = steadyMs();
    constexpr unsigned Ok = 200;
    if (failed(answer) || valueOf(answer).m_status != Ok) {
        const bool refused = failed(answer) ? isConnectionRefused(errorOf(answer)) : true;
        logEvent(LogEvent::EngineSilent,
                 {{"engine", engine}, {"error", failed(answer) ? describe(errorOf(answer)) : "status " + std::to_string(valueOf(answer).m_status)}});
        constexpr unsigned Misdirected = 421;
        const bool hasEnded = failed(answer) ? refused : valueOf(answer).m_status == Misdirected;
        if (hasEnded) {
            learnEnded(context, upstreamLifetime(lifetime.m_id, lifetime.m_startedMs), nowMs);
        }
        context.m_reconciler.probeFailed(engine, refused, nowMs);
        co_return;
    }
    known = context.m_reconciler.entry(engine);
    if (known == nullptr) {
        co_return;
    }
    UpstreamEntry entry = *known;
    platform::applyReport(entry, valueOf(answer).m_body);
    if (entry.m_startedMs == lifetime.m_startedMs) {
        context.m_availability.recordLives(lifetime, nowMs);
        learnFromReply(context, lifetime, answer);
    } else {
        learnEnded(context, upstreamLifetime(lifetime.m_id, lifetime.m_startedMs), nowMs);
        logEvent(LogEvent::EngineSilent, {{"engine", engine}, {"error", std::string("another lifetime answers at its address")}});
    }
    context.m_reconciler.probeAnswered(entry, nowMs);
}

void forwardProgress(EntryContext &context)
{
    for (const std::pair<const ReplicaRef, TrackedReplica> &entry : context.m_replicaSelector.replicas()) {
        if (entry.second.m_progressMs >= 0) {
            context.m_reconciler.recordProgress(entry.first, entry.second.m_progressMs);
        }
    }
}

void logReplicaEvent(const ReplicaEvent &event)
{
    logEvent(LogEvent::ReplicaChanged,
             {{"group", event.m_replica.m_name},
              {"epoch", static_cast<std::int64_t>(event.m_replica.m_epoch)},
              {"phase", std::string(enumName(ReplicaPhaseNames, event.m_phase))},
              {"cause", std::string(enumName(ClosingCauseNames, event.m_cause))},
              {"engine", event.m_engine}});
}

void logMove(const MoveEvent &event)
{
    std::string engines;
    for (const std::string &engine : event.m_move.m_engines) {
        engines += (engines.empty() ? "" : " ") + engine;
    }
    logEvent(LogEvent::EnginesMoved,
             {{"state", std::string(enumName(MoveStateNames, event.m_state))},
              {"domain", event.m_move.m_domain},
              {"from", event.m_move.m_from},
              {"to", event.m_move.m_to},
              {"engines", engines}});
}
}

awaitable<void> runReconciler(EntryContext &context)
{
    while (!context.m_stopping) {
        if (isLeader(context)) {
            context.m_reconciler.setServing(context.m_serving);
            forwardProgress(context);
            const ReconcilerActions actions = context.m_reconciler.tick(steadyMs());
            for (const ReplicaEvent &event : actions.m_events) {
                logReplicaEvent(event);
            }
            for (const MoveEvent &event : actions.m_moves) {
                logMove(event);
            }
            for (const EngineOrder &order : actions.m_orders) {
                asio::co_spawn(context.m_io, sendOrder(context, order), asio::detached);
            }
            for (const std::string &engine : actions.m_probes) {
                asio::co_spawn(context.m_io, probeEngine(context, engine), asio::detached);
            }
        }
        co_await sleepFor(ReconcilerIntervalMs);
    }
}
}
