#pragma once

#include "daemons/gatewaycontext.h"

#include <string>

namespace knapweedslip
{
/** A caller's completion request after checking. */
struct CompletionCall
{
    std::string m_workspace;
    std::string m_model;
    std::string m_prompt;
    std::int64_t m_maxTokens = 0;
    bool m_stream = false;
    bool m_chat = false;
    std::int64_t m_deadlineMs = 0;
    /** Body sent to the engine. */
    std::string m_engineBody;
};

/** A caller's call of a plain service after checking. */
struct ServiceCall
{
    std::string m_workspace;
    std::string m_service;
    /** Path and query given to the service. */
    std::string m_target;
    std::string m_method;
    std::string m_body;
    std::string m_idempotencyKey;
    bool m_idempotent = false;
    std::int64_t m_deadlineMs = 0;
};

/** The workspace of the request's key. */
Result<std::string> authenticate(const GatewayTable &table, const HttpRequest &request);
Result<CompletionCall> parseCompletion(const GatewayContext &context, const GatewayTable &table, const HttpRequest &request);
Result<ServiceCall> parseServiceCall(const GatewayContext &context, const GatewayTable &table, const HttpRequest &request);
/** Hashes of growing prefixes of @p prompt, at block borders, shortest first. */
std::vector<std::uint64_t> prefixHashes(const std::string &model, const std::string &prompt);

/** What became of a request that must not be repeated. */
enum class RunOutcome {
    NotRun,
    Ran,
    Unknown,
};

inline constexpr EnumNames<3> RunOutcomeNames{"not-run", "ran", "unknown"};

/** A problem document that also says whether the request ran, in the field "run" and the header X-Run-Outcome. */
HttpReply problemWithOutcome(const Error &error, std::int64_t retryAfterMs, RunOutcome outcome);
}
