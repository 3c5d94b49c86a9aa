// Problem: with 90 daemons, a watch of the store by each of them costs more calls than anything else that is done there.
// Approach: one daemon of a zone watches the store. The others request the updates from it over HTTP with FlatBuffers bodies; a request waits until
// there are updates. The answer contains the age of the confirmation that the updates are complete. The requester counts that age from the time of
// its request, so that a connection that hangs can only make the confirmation look older.
// Pushed updates would not tell how long they were delayed, and a lost datagram would go unnoticed.

#include "daemons/entrystoreupdates.h"

#include "daemons/entryremovals.h"

#include <charconv>

namespace knapweedslip
{
namespace
{
constexpr const char *UpdatesPath = "/news";
constexpr const char *AfterParameter = "after";
constexpr const char *EraParameter = "era";
/** Longest wait for updates at the other daemon, in ms: the requester's confirmation gets older by this much and has to stay below a second. */
constexpr std::int64_t UpdatesWaitMs = 300;
/** Interval between checks for updates while a request waits, in ms: a fraction of the pause between two watches. */
constexpr std::int64_t UpdatesPollMs = 50;
/** Added to the wait for updates in the request's timeout, in ms: the round trip within a zone and the wait for a busy processor. */
constexpr std::int64_t ResponseSlackMs = 500;
/**
 * A daemon whose confirmation is older than this is not used as a source, in ms: while the store answers it, its watch ends every 500 ms, and two
 * answers may be late.
 */
constexpr std::int64_t MaxSourceConfirmationAgeMs = 1'500;

std::uint64_t numberParameter(const HttpExchange &exchange, const char *name, std::uint64_t fallback)
{
    const std::string text = queryValue(exchange.request().m_target, name);
    std::uint64_t number = fallback;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/** Returns the position up to which the requester is complete. Without a revision that is a number it needs all keys. */
StorePosition parseAfter(const EntryContext &context, const HttpExchange &exchange)
{
    // Daemons that do not know eras name none.
    const std::uint64_t era = numberParameter(exchange, EraParameter, context.m_mirror.completeTo().m_era);
    return {era, numberParameter(exchange, AfterParameter, 0)};
}
}

awaitable<void> serveStoreUpdates(EntryContext &context, HttpExchange &exchange)
{
    HttpReply reply;
    if (pathOf(exchange.request().m_target) != UpdatesPath) {
        reply.m_status = 404;
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    const StorePosition after = parseAfter(context, exchange);
    const std::int64_t untilMs = steadyMs() + UpdatesWaitMs;
    // A mirror that is read again soon has what the requester needs.
    const bool isReadAgain = !context.m_mirrorSynced && context.m_mirror.completeTo() != StorePosition();
    const auto mustWait = [&context, &after, isReadAgain]() {
        return context.m_mirrorSynced ? !context.m_mirror.hasUpdates(after) : isReadAgain;
    };
    while (!context.m_stopping && mustWait() && steadyMs() < untilMs) {
        co_await sleepFor(UpdatesPollMs);
    }
    if (!context.m_mirrorSynced || context.m_stopping) {
        reply.m_status = 503;
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    const std::int64_t nowMs = steadyMs();
    StoreUpdatesReply answer;
    answer.m_updates = context.m_mirror.updatesSince(after);
    answer.m_confirmationAgeMs = nowMs - context.m_confirmedMs;
    const std::int64_t recoveredMs = storeRecoveredMs(context);
    answer.m_recoveredAgeMs = recoveredMs < 0 ? -1 : nowMs - recoveredMs;
    reply.m_headers.emplace_back("Content-Type", "application/octet-stream");
    reply.m_body = encodeStoreUpdates(answer);
    ++context.m_metrics.m_updatesServed;
    co_await exchange.respond(std::move(reply));
}

awaitable<Result<StoreUpdatesReply>> fetchStoreUpdates(EntryContext &context, std::string address)
{
    HttpRequest request;
    request.m_method = "GET";
    const StorePosition known = context.m_mirror.completeTo();
    request.m_target =
        std::string(UpdatesPath) + "?" + AfterParameter + "=" + std::to_string(known.m_revision) + "&" + EraParameter + "=" + std::to_string(known.m_era);
    ++context.m_metrics.m_updatesRequested;
    const Result<HttpReply> reply = co_await httpCall(context.m_connections, std::move(address), std::move(request), UpdatesWaitMs + ResponseSlackMs);
    if (failed(reply)) {
        co_return errorOf(reply);
    }
    constexpr unsigned Ok = 200;
    if (valueOf(reply).m_status != Ok) {
        co_return Error{ErrorCode::ProtocolViolation, "status " + std::to_string(valueOf(reply).m_status)};
    }
    Result<StoreUpdatesReply> answer = decodeStoreUpdates(valueOf(reply).m_body);
    if (!failed(answer) && (valueOf(answer).m_confirmationAgeMs < 0 || valueOf(answer).m_confirmationAgeMs > MaxSourceConfirmationAgeMs)) {
        co_return Error{ErrorCode::StoreUnavailable, "the source's confirmation is " + std::to_string(valueOf(answer).m_confirmationAgeMs) + " ms old"};
    }
    if (!failed(answer) && valueOf(answer).m_updates.m_completeTo.m_era < context.m_mirror.completeTo().m_era) {
        co_return Error{ErrorCode::StoreUnavailable, "the source is in an earlier era of the store"};
    }
    co_return answer;
}
}
