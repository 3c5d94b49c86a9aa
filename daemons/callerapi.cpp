// Problem: a request must be validated completely before anything is sent upstream, and a refusal must say which field is wrong.
// Approach: key, path, headers and body are checked in turn. Each fault becomes a typed error that names the field.

#include "daemons/callerapi.h"

#include "kernel/hashing.h"

#include <boost/json.hpp>

#include <algorithm>
#include <charconv>

namespace knapweedslip
{
namespace json = boost::json;

namespace
{
constexpr std::int64_t DefaultMaxTokens = 16;
constexpr std::int64_t MaxTokensLimit = 100'000;
constexpr std::size_t PrefixBlockBytes = 256;
constexpr std::size_t MaxPrefixBlocks = 16;
constexpr std::size_t MaxIdempotencyKeyBytes = 256;
constexpr std::string_view ServicePrefix = "/services/";

Error malformed(const std::string &detail)
{
    return Error{ErrorCode::MalformedRequest, detail};
}

Result<std::int64_t> parseDeadline(const GatewayContext &context, const HttpRequest &request)
{
    const std::string_view header = headerValue(request.m_headers, "X-Deadline-Ms");
    if (header.empty()) {
        return steadyMs() + context.m_settings.m_defaultDeadlineMs;
    }
    std::int64_t ms = 0;
    const std::from_chars_result parsed = std::from_chars(header.data(), header.data() + header.size(), ms);
    if (parsed.ec != std::errc() || parsed.ptr != header.data() + header.size() || ms <= 0 || ms > context.m_settings.m_maxDeadlineMs) {
        return malformed("header X-Deadline-Ms: must be a number of ms from 1 to " + std::to_string(context.m_settings.m_maxDeadlineMs));
    }
    return steadyMs() + ms;
}

Result<std::string> parsePrompt(const json::object &body, bool chat)
{
    if (!chat) {
        const json::value *prompt = body.if_contains("prompt");
        if (prompt == nullptr || !prompt->is_string()) {
            return malformed("field prompt: must be a string");
        }
        return json::value_to<std::string>(*prompt);
    }
    const json::value *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->as_array().empty()) {
        return malformed("field messages: must be a list with at least one message");
    }
    std::string prompt;
    for (const json::value &message : messages->as_array()) {
        const json::object *object = message.if_object();
        const json::value *role = object == nullptr ? nullptr : object->if_contains("role");
        const json::value *content = object == nullptr ? nullptr : object->if_contains("content");
        if (role == nullptr || content == nullptr || !role->is_string() || !content->is_string()) {
            return malformed("field messages[" + std::to_string(&message - messages->as_array().data()) + "]: role and content must be strings");
        }
        prompt += json::value_to<std::string>(*role) + ": " + json::value_to<std::string>(*content) + "\n";
    }
    return prompt;
}

Result<Done> parseOptions(const json::object &body, CompletionCall &call)
{
    call.m_maxTokens = DefaultMaxTokens;
    if (const json::value *tokens = body.if_contains("max_tokens")) {
        boost::system::error_code error;
        call.m_maxTokens = tokens->to_number<std::int64_t>(error);
        if (error || call.m_maxTokens < 1 || call.m_maxTokens > MaxTokensLimit) {
            return malformed("field max_tokens: must be a whole number from 1 to " + std::to_string(MaxTokensLimit));
        }
    }
    if (const json::value *stream = body.if_contains("stream")) {
        if (!stream->is_bool()) {
            return malformed("field stream: must be true or false");
        }
        call.m_stream = stream->as_bool();
    }
    return Done{};
}
}

Result<std::string> authenticate(const GatewayTable &table, const HttpRequest &request)
{
    constexpr std::string_view Scheme = "Bearer ";
    const std::string_view header = headerValue(request.m_headers, "Authorization");
    if (header.substr(0, Scheme.size()) != Scheme) {
        return Error{ErrorCode::Unauthorized, "header Authorization: a workspace key is required"};
    }
    const auto it = table.m_workspaceByKey.find(sha256Hex(header.substr(Scheme.size())));
    if (it == table.m_workspaceByKey.end()) {
        return Error{ErrorCode::Unauthorized, "header Authorization: the key belongs to no workspace"};
    }
    return it->second;
}

Result<CompletionCall> parseCompletion(const GatewayContext &context, const GatewayTable &table, const HttpRequest &request)
{
    CompletionCall call;
    const Result<std::string> workspace = authenticate(table, request);
    if (failed(workspace)) {
        return errorOf(workspace);
    }
    call.m_workspace = valueOf(workspace);
    call.m_chat = pathOf(request.m_target) == "/v1/chat/completions";
    if (request.m_method != "POST") {
        return malformed("method: must be POST");
    }
    boost::system::error_code error;
    const json::value parsed = json::parse(request.m_body, error);
    if (error || !parsed.is_object()) {
        return malformed("body: not a JSON object");
    }
    const json::object &body = parsed.as_object();
    const json::value *model = body.if_contains("model");
    if (model == nullptr || !model->is_string()) {
        return malformed("field model: must be a string");
    }
    call.m_model = json::value_to<std::string>(*model);
    if (findModel(table.m_routes->m_plan, call.m_model) == nullptr) {
        return Error{ErrorCode::UnknownModel, call.m_model};
    }
    const Result<std::string> prompt = parsePrompt(body, call.m_chat);
    if (failed(prompt)) {
        return errorOf(prompt);
    }
    call.m_prompt = valueOf(prompt);
    const Result<Done> options = parseOptions(body, call);
    if (failed(options)) {
        return errorOf(options);
    }
    const Result<std::int64_t> deadline = parseDeadline(context, request);
    if (failed(deadline)) {
        return errorOf(deadline);
    }
    call.m_deadlineMs = valueOf(deadline);
    call.m_engineBody = json::serialize(json::object{{"prompt", call.m_prompt}, {"max_tokens", call.m_maxTokens}, {"stream", true}});
    return call;
}

Result<ServiceCall> parseServiceCall(const GatewayContext &context, const GatewayTable &table, const HttpRequest &request)
{
    ServiceCall call;
    const Result<std::string> workspace = authenticate(table, request);
    if (failed(workspace)) {
        return errorOf(workspace);
    }
    call.m_workspace = valueOf(workspace);
    const std::string afterPrefix = request.m_target.substr(ServicePrefix.size());
    const std::size_t end = std::min(afterPrefix.find('/'), afterPrefix.find('?'));
    call.m_service = afterPrefix.substr(0, end);
    call.m_target = end == std::string::npos ? "/" : afterPrefix.substr(end);
    if (call.m_target.front() != '/') {
        call.m_target.insert(0, "/");
    }
    const ServicePlan *service = findService(table.m_routes->m_plan, call.m_service);
    if (service == nullptr) {
        return Error{ErrorCode::UnknownService, call.m_service};
    }
    call.m_method = request.m_method;
    call.m_body = request.m_body;
    const std::vector<std::string> &methods = service->m_idempotentMethods;
    call.m_idempotent = std::find(methods.begin(), methods.end(), call.m_method) != methods.end();
    call.m_idempotencyKey = std::string(headerValue(request.m_headers, "Idempotency-Key"));
    if (call.m_idempotencyKey.size() > MaxIdempotencyKeyBytes) {
        return malformed("header Idempotency-Key: must have at most " + std::to_string(MaxIdempotencyKeyBytes) + " characters");
    }
    const Result<std::int64_t> deadline = parseDeadline(context, request);
    if (failed(deadline)) {
        return errorOf(deadline);
    }
    call.m_deadlineMs = valueOf(deadline);
    return call;
}

std::vector<std::uint64_t> prefixHashes(const std::string &model, const std::string &prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t hash = hash64(model);
    const std::size_t blocks = std::min(MaxPrefixBlocks, prompt.size() / PrefixBlockBytes);
    for (std::size_t block = 0; block < blocks; ++block) {
        hash = hash64(std::string_view(prompt).substr(block * PrefixBlockBytes, PrefixBlockBytes), hash);
        hashes.push_back(hash);
    }
    return hashes;
}

HttpReply problemWithOutcome(const Error &error, std::int64_t retryAfterMs, RunOutcome outcome)
{
    HttpReply reply = problemReply(error, retryAfterMs);
    json::value body = json::parse(reply.m_body);
    const std::string name(enumName(RunOutcomeNames, outcome));
    body.as_object()["run"] = name;
    reply.m_body = json::serialize(body);
    reply.m_headers.emplace_back("X-Run-Outcome", name);
    return reply;
}
}
