// Problem: a response must arrive complete although attempts are cancelled and upstreams die or leave while they
// produce it.
// Approach: the relay tracks what the caller has received (TokenStreamState). After a failed attempt another upstream continues from the next
// token. A response that cannot be continued ends in an explicit error event, never in a normal end of stream.
// Starting again from the first token would repeat tokens. Closing the stream would make a truncated response look complete.

#include "daemons/modelrelay.h"

#include "daemons/attempt.h"
#include "kernel/hashing.h"
#include "kernel/tokenstream.h"
#include "net/logging.h"

#include <boost/json.hpp>

#include <algorithm>

namespace knapweedslip
{
namespace json = boost::json;

namespace
{
constexpr std::int64_t ConnectTimeoutMs = 1'000;
constexpr std::int64_t DefaultRetryAfterMs = 1'000;

/** State of one completion over all of its attempts. */
struct CompletionRelay
{
    GatewayContext &m_context;
    HttpExchange &m_exchange;
    CompletionCall m_call;
    TokenStreamState m_tokenStream;
    /** Text received so far, for a response that is not streamed. */
    std::string m_text;
    std::int64_t m_startedMs = 0;
    bool m_headerSent = false;
    bool m_callerGone = false;
};

struct AttemptResult
{
    AttemptEnd m_end = AttemptEnd::Neutral;
    bool m_complete = false;
    Error m_error;
};

AttemptResult failedAttempt(const Error &error)
{
    return AttemptResult{toAttemptEnd(error), false, error};
}

struct ParsedEvent
{
    TokenEvent m_event;
    std::string m_text;
};

Result<ParsedEvent> parseEvent(const std::string &data)
{
    boost::system::error_code error;
    const json::value value = json::parse(data, error);
    const json::object *object = error ? nullptr : value.if_object();
    const json::value *id = object == nullptr ? nullptr : object->if_contains("id");
    const json::value *generation = object == nullptr ? nullptr : object->if_contains("generation");
    const json::value *offset = object == nullptr ? nullptr : object->if_contains("offset");
    if (id == nullptr || generation == nullptr || offset == nullptr || !id->is_string() || !generation->is_number() || !offset->is_number()) {
        return Error{ErrorCode::ProtocolViolation, "token event cannot be parsed"};
    }
    ParsedEvent parsed;
    parsed.m_event.m_requestId = std::string(id->as_string());
    boost::system::error_code numberError;
    parsed.m_event.m_generation = generation->to_number<std::uint64_t>(numberError);
    parsed.m_event.m_offset = offset->to_number<std::uint64_t>(numberError);
    const json::value *last = object->if_contains("last");
    parsed.m_event.m_endOfStream = last != nullptr && last->is_bool() && last->as_bool();
    const json::value *text = object->if_contains("text");
    if (text != nullptr && text->is_string()) {
        parsed.m_text = std::string(text->as_string());
    }
    return parsed;
}

std::string makeChunk(const CompletionRelay &relay, const std::string &text, bool last)
{
    json::object choice;
    choice["index"] = 0;
    if (relay.m_call.m_chat) {
        choice["delta"] = last ? json::object() : json::object{{"content", text}};
    } else {
        choice["text"] = text;
    }
    choice["finish_reason"] = last ? json::value("stop") : json::value(nullptr);
    json::object object;
    object["id"] = relay.m_tokenStream.m_requestId;
    object["object"] = relay.m_call.m_chat ? "chat.completion.chunk" : "text_completion";
    object["model"] = relay.m_call.m_model;
    object["choices"] = json::array{std::move(choice)};
    return "data: " + json::serialize(object) + "\n\n";
}

HttpReply makeCompleteReply(const CompletionRelay &relay)
{
    json::object choice;
    choice["index"] = 0;
    if (relay.m_call.m_chat) {
        choice["message"] = json::object{{"role", "assistant"}, {"content", relay.m_text}};
    } else {
        choice["text"] = relay.m_text;
    }
    choice["finish_reason"] = "stop";
    json::object object;
    object["id"] = relay.m_tokenStream.m_requestId;
    object["object"] = relay.m_call.m_chat ? "chat.completion" : "text_completion";
    object["model"] = relay.m_call.m_model;
    object["choices"] = json::array{std::move(choice)};
    object["usage"] = json::object{{"completion_tokens", relay.m_tokenStream.m_nextOffset}};
    return jsonReply(200, json::serialize(object));
}

/** Writes @p chunk to the caller, after the response header if it has not been sent yet. Does nothing if the response is not streamed. */
awaitable<void> writeToCaller(CompletionRelay &relay, std::string chunk)
{
    if (!relay.m_call.m_stream || chunk.empty()) {
        co_return;
    }
    if (!relay.m_headerSent) {
        relay.m_headerSent = true;
        HeaderFields headers;
        headers.emplace_back("Content-Type", "text/event-stream");
        headers.emplace_back("X-Request-Id", relay.m_tokenStream.m_requestId);
        const Result<Done> begun = co_await relay.m_exchange.beginStream(200, headers);
        relay.m_callerGone = relay.m_callerGone || failed(begun);
    }
    const Result<Done> written = co_await relay.m_exchange.writeChunk(chunk);
    relay.m_callerGone = relay.m_callerGone || failed(written);
}

/** Checks @p events against the tokens received so far and appends the new ones to @p chunk, or to the text of a response that is not streamed. */
Result<Done> processEvents(CompletionRelay &relay, const std::vector<std::string> &events, std::string &chunk)
{
    for (const std::string &data : events) {
        Result<ParsedEvent> parsed = parseEvent(data);
        if (failed(parsed)) {
            return errorOf(parsed);
        }
        const TokenEventResult eventResult = acceptTokenEvent(relay.m_tokenStream, valueOf(parsed).m_event);
        switch (eventResult) {
        case TokenEventResult::Forward:
            if (relay.m_tokenStream.m_nextOffset == 1) {
                relay.m_context.m_metrics.m_firstTokenMs.add(static_cast<double>(steadyMs() - relay.m_startedMs));
            }
            ++relay.m_context.m_metrics.m_tokens;
            if (relay.m_call.m_stream) {
                chunk += makeChunk(relay, valueOf(parsed).m_text, false);
            } else {
                relay.m_text += valueOf(parsed).m_text;
            }
            break;
        case TokenEventResult::Duplicate:
            break;
        case TokenEventResult::Complete:
            return Done{};
        case TokenEventResult::Gap:
            return Error{ErrorCode::ProtocolViolation, "token events are missing"};
        case TokenEventResult::WrongStream:
            return Error{ErrorCode::ProtocolViolation, "the reply belongs to another request"};
        }
    }
    return Done{};
}

awaitable<AttemptResult> readTokenEvents(CompletionRelay &relay, HttpStream &stream)
{
    EventSplitter splitter;
    while (!relay.m_tokenStream.m_complete) {
        const std::int64_t remainingMs = relay.m_call.m_deadlineMs - steadyMs();
        if (remainingMs <= 0) {
            co_return AttemptResult{AttemptEnd::Neutral, false, Error{ErrorCode::Timeout, "the deadline has passed"}};
        }
        const Result<std::string_view> bytes = co_await stream.read(std::min(remainingMs, relay.m_context.m_settings.m_upstreamSilenceMs));
        if (failed(bytes)) {
            co_return failedAttempt(errorOf(bytes));
        }
        if (valueOf(bytes).empty()) {
            co_return AttemptResult{AttemptEnd::Neutral, false, Error{ErrorCode::StreamBroken, "the reply ended without an end marker"}};
        }
        std::string chunk;
        const Result<Done> processed = processEvents(relay, splitter.feed(valueOf(bytes)), chunk);
        co_await writeToCaller(relay, std::move(chunk));
        if (relay.m_callerGone) {
            co_return AttemptResult{AttemptEnd::Neutral, false, Error{ErrorCode::ConnectionLost, "the caller closed the connection"}};
        }
        if (failed(processed)) {
            co_return failedAttempt(errorOf(processed));
        }
        if (splitter.isTooLong()) {
            co_return failedAttempt(Error{ErrorCode::ProtocolViolation, "an event does not end"});
        }
    }
    co_return AttemptResult{AttemptEnd::Finished, true, {}};
}

HttpRequest makeEngineRequest(const CompletionRelay &relay, const Upstream &upstream)
{
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/v1/completions";
    request.m_headers.emplace_back("Content-Type", "application/json");
    request.m_headers.emplace_back("X-Request-Id", relay.m_tokenStream.m_requestId);
    request.m_headers.emplace_back("X-Group-Generation", std::to_string(upstream.m_generation));
    request.m_headers.emplace_back("X-Resume-Offset", std::to_string(relay.m_tokenStream.m_nextOffset));
    request.m_body = relay.m_call.m_engineBody;
    return request;
}

/** Sends the request on @p connection and reads the reply. Sets @p reusable if the connection can serve another request. */
awaitable<AttemptResult> sendAndRead(CompletionRelay &relay, const Upstream &upstream, HttpConnection &connection, bool &reusable)
{
    HttpStream stream(connection);
    const std::int64_t remainingMs = std::max<std::int64_t>(1, relay.m_call.m_deadlineMs - steadyMs());
    const std::int64_t timeoutMs = std::min(remainingMs, relay.m_context.m_settings.m_upstreamSilenceMs);
    const Result<Done> opened = co_await stream.open(makeEngineRequest(relay, upstream), timeoutMs);
    if (failed(opened)) {
        co_return failedAttempt(errorOf(opened));
    }
    applyEngineHeaders(
        relay.m_context, upstream, stream.header("X-Engine-Running"), stream.header("X-Engine-Cold") == "1", stream.header("X-Engine-Leaving") == "1");
    constexpr unsigned Ok = 200;
    if (stream.status() != Ok) {
        const std::string reason = stream.header("X-Not-Run");
        co_return AttemptResult{AttemptEnd::Refused, false, Error{ErrorCode::UpstreamRefused, reason.empty() ? std::to_string(stream.status()) : reason}};
    }
    relay.m_tokenStream.m_generation = upstream.m_generation;
    AttemptResult result = co_await readTokenEvents(relay, stream);
    if (result.m_complete && !stream.finished()) {
        // The end of the chunked body may arrive separately from the last event.
        const Result<std::string_view> rest = co_await stream.read(ConnectTimeoutMs);
        reusable = !failed(rest) && valueOf(rest).empty();
    } else {
        reusable = result.m_complete;
    }
    co_return result;
}

awaitable<AttemptResult> runAttempt(CompletionRelay &relay, std::shared_ptr<const Upstream> upstream, std::uint64_t attemptId)
{
    Result<HttpConnectionPtr> connected = co_await connectUpstream(relay.m_context, *upstream, false, ConnectTimeoutMs);
    if (failed(connected)) {
        co_return failedAttempt(errorOf(connected));
    }
    HttpConnectionPtr connection = std::move(valueOf(connected));
    if (!relay.m_context.m_dispatcher->mayDispatch(*upstream)) {
        relay.m_context.m_connections.give(std::move(connection));
        co_return AttemptResult{AttemptEnd::Neutral, false, Error{ErrorCode::NoUpstream, "the upstream left service"}};
    }
    const bool reused = connection->m_reused;
    const std::shared_ptr<bool> cancelled = std::make_shared<bool>(false);
    HttpConnection *raw = connection.get();
    const std::shared_ptr<bool> running = std::make_shared<bool>(true);
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    relay.m_context.m_dispatcher->watchAttempt(attemptId, *upstream, executor, [raw, cancelled, running]() {
        if (*running) {
            *cancelled = true;
            raw->m_stream.cancel();
        }
    });
    bool reusable = false;
    const std::uint64_t offsetBefore = relay.m_tokenStream.m_nextOffset;
    AttemptResult result = co_await sendAndRead(relay, *upstream, *connection, reusable);
    *running = false;
    relay.m_context.m_dispatcher->unwatchAttempt(attemptId);
    if (reusable) {
        relay.m_context.m_connections.give(std::move(connection));
    }
    const bool idleClosed = reused && result.m_end == AttemptEnd::UpstreamLost && relay.m_tokenStream.m_nextOffset == offsetBefore;
    if (!result.m_complete && (*cancelled || idleClosed)) {
        // The attempt was cancelled after a report about the upstream, or the idle connection was closed before the request arrived. Neither
        // is evidence that this request crashes upstreams.
        result.m_end = *cancelled ? AttemptEnd::Neutral : AttemptEnd::Unreachable;
    }
    co_return result;
}

WorkRequest makeWorkRequest(const CompletionRelay &relay)
{
    WorkRequest work;
    work.m_id = relay.m_context.m_nextRequest++;
    work.m_workspace = relay.m_call.m_workspace;
    work.m_pool = relay.m_call.m_model;
    work.m_deadlineMs = relay.m_call.m_deadlineMs;
    work.m_fingerprint = hash64(relay.m_call.m_engineBody, hash64(relay.m_call.m_workspace + "/" + relay.m_call.m_model));
    work.m_query.m_workspace = work.m_workspace;
    work.m_query.m_prefixes = prefixHashes(relay.m_call.m_model, relay.m_call.m_prompt);
    return work;
}

/** Ends the request with @p error: as a problem document, or as an error event if the response has started. */
awaitable<void> endWithError(CompletionRelay &relay, Error error, std::int64_t retryAfterMs)
{
    logEvent(relay.m_headerSent ? LogEvent::StreamBroken : LogEvent::RequestRefused,
             {{"request", relay.m_tokenStream.m_requestId}, {"workspace", relay.m_call.m_workspace}, {"error", describe(error)}});
    if (!relay.m_headerSent) {
        co_await relay.m_exchange.respond(problemReply(error, retryAfterMs));
        co_return;
    }
    ++relay.m_context.m_metrics.m_broken;
    const HttpReply problem = problemReply(error, retryAfterMs);
    const Result<Done> written = co_await relay.m_exchange.writeChunk("event: error\ndata: {\"error\":" + problem.m_body + "}\n\n");
    if (!failed(written)) {
        co_await relay.m_exchange.endStream();
    }
}

awaitable<void> finishResponse(CompletionRelay &relay)
{
    ++relay.m_context.m_metrics.m_answered;
    relay.m_context.m_metrics.m_responseMs.add(static_cast<double>(steadyMs() - relay.m_startedMs));
    if (!relay.m_call.m_stream) {
        co_await relay.m_exchange.respond(makeCompleteReply(relay));
        co_return;
    }
    co_await writeToCaller(relay, makeChunk(relay, {}, true) + "data: [DONE]\n\n");
    if (!relay.m_callerGone) {
        co_await relay.m_exchange.endStream();
    }
}

void reportFailure(CompletionRelay &relay, const Upstream &upstream, const AttemptResult &result)
{
    logEvent(LogEvent::AttemptFailed, {{"request", relay.m_tokenStream.m_requestId}, {"upstream", upstream.m_id}, {"error", describe(result.m_error)}});
    if (result.m_end == AttemptEnd::UpstreamLost) {
        broadcastCrashRecords(relay.m_context);
    }
    if (result.m_end == AttemptEnd::UpstreamLost || result.m_end == AttemptEnd::Unreachable) {
        reportUpstream(relay.m_context, upstream, ReportKind::Doubt);
    }
}
}

awaitable<void> relayCompletion(GatewayContext &context, HttpExchange &exchange, CompletionCall call)
{
    CompletionRelay relay{context, exchange, std::move(call), {}, {}, steadyMs(), false, false};
    relay.m_tokenStream.m_requestId = context.m_settings.m_common.m_name + "-" + toHex(randomId());
    WorkRequest work = makeWorkRequest(relay);
    while (true) {
        const Action action = co_await context.m_dispatcher->submit(work);
        if (action.m_kind == ActionKind::Refuse) {
            const std::int64_t retryAfterMs = std::max(DefaultRetryAfterMs, action.m_retryAfterMs);
            const std::string detail = relay.m_headerSent ? "the response could not be continued" : "";
            co_await endWithError(relay, Error{action.m_error, detail}, retryAfterMs);
            co_return;
        }
        const AttemptResult result = co_await runAttempt(relay, action.m_upstream, work.m_id);
        context.m_dispatcher->finish(work.m_id, result.m_end);
        if (result.m_complete) {
            co_await finishResponse(relay);
            co_return;
        }
        if (relay.m_callerGone) {
            co_return;
        }
        reportFailure(relay, *action.m_upstream, result);
        if (steadyMs() >= relay.m_call.m_deadlineMs) {
            co_await endWithError(relay, Error{ErrorCode::Timeout, "the deadline has passed"}, DefaultRetryAfterMs);
            co_return;
        }
        work.m_id = context.m_nextRequest++;
        ++work.m_attempt;
        work.m_resumed = relay.m_tokenStream.m_nextOffset > 0;
        work.m_query.m_excluded.push_back(action.m_upstream->m_id);
        if (work.m_resumed) {
            ++context.m_metrics.m_resumed;
            logEvent(LogEvent::StreamResumed, {{"request", relay.m_tokenStream.m_requestId}, {"offset", std::to_string(relay.m_tokenStream.m_nextOffset)}});
        }
    }
}
}
