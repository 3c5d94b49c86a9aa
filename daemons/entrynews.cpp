// Problem: at 90 daemons a watch of the store for each costs more calls than anything else that is done there.
// Approach: one daemon of a zone watches, the others ask it over HTTP with FlatBuffers bodies, and wait there for news. The answer says how old the
// proof is; the one who asks counts that age from its question on, so that a connection that hangs can only make the proof look older.
// News that is pushed says nothing of its delay, and a datagram that is lost would be missed.

#include "daemons/entrynews.h"

#include <charconv>

namespace knapweedslip
{
namespace
{
constexpr const char *NewsPath = "/news";
constexpr const char *AfterParameter = "after";
/** Longest wait for news at the other daemon, in ms: the proof of the one who asks gets older by this, and has to stay below a second. */
constexpr std::int64_t NewsWaitMs = 300;
/** A waiting daemon is looked after this often, in ms: a part of the pause between two watches. */
constexpr std::int64_t NewsPollMs = 50;
/** Beyond the wait for news, in ms: the round trip in a zone and a turn on a busy processor. */
constexpr std::int64_t AnswerSlackMs = 500;
/** A daemon whose proof is older is no source, in ms: while the store answers it, its watch ends every 500 ms, and two may be late. */
constexpr std::int64_t OldestProofMs = 1'500;

std::uint64_t afterOf(const HttpExchange &exchange)
{
    const std::string text = queryValue(exchange.request().m_target, AfterParameter);
    std::uint64_t after = 0;
    // Anything that is no number asks for everything.
    std::from_chars(text.data(), text.data() + text.size(), after);
    return after;
}
}

awaitable<void> serveNews(EntryContext &context, HttpExchange &exchange)
{
    HttpReply reply;
    if (pathOf(exchange.request().m_target) != NewsPath) {
        reply.m_status = 404;
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    const std::uint64_t after = afterOf(exchange);
    const std::int64_t untilMs = steadyMs() + NewsWaitMs;
    while (context.m_mirrorSynced && !context.m_stopping && !context.m_mirror.hasNews(after) && steadyMs() < untilMs) {
        co_await sleepFor(NewsPollMs);
    }
    if (!context.m_mirrorSynced || context.m_stopping) {
        reply.m_status = 503;
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    const std::int64_t nowMs = steadyMs();
    NewsAnswer answer;
    answer.m_news = context.m_mirror.since(after);
    answer.m_proofAgeMs = nowMs - context.m_proofMs;
    answer.m_regainedAgeMs = context.m_storeRegainedMs < 0 ? -1 : nowMs - context.m_storeRegainedMs;
    reply.m_headers.emplace_back("Content-Type", "application/octet-stream");
    reply.m_body = encodeNews(answer);
    ++context.m_metrics.m_newsServed;
    co_await exchange.respond(std::move(reply));
}

awaitable<Result<NewsAnswer>> askNews(EntryContext &context, std::string address)
{
    HttpRequest request;
    request.m_method = "GET";
    request.m_target = std::string(NewsPath) + "?" + AfterParameter + "=" + std::to_string(context.m_mirror.at());
    ++context.m_metrics.m_newsAsked;
    const Result<HttpReply> reply = co_await httpCall(context.m_connections, std::move(address), std::move(request), NewsWaitMs + AnswerSlackMs);
    if (failed(reply)) {
        co_return errorOf(reply);
    }
    constexpr unsigned Ok = 200;
    if (valueOf(reply).m_status != Ok) {
        co_return Error{ErrorCode::ProtocolViolation, "status " + std::to_string(valueOf(reply).m_status)};
    }
    Result<NewsAnswer> answer = decodeNews(valueOf(reply).m_body);
    if (!failed(answer) && (valueOf(answer).m_proofAgeMs < 0 || valueOf(answer).m_proofAgeMs > OldestProofMs)) {
        co_return Error{ErrorCode::StoreUnavailable, "its proof is " + std::to_string(valueOf(answer).m_proofAgeMs) + " ms old"};
    }
    co_return answer;
}
}
