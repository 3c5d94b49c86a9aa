#pragma once

#include "daemons/gatewaycontext.h"

#include <string>

namespace knapweedslip
{
/** A validated completion request. */
struct CompletionCall
{
    std::string m_workspace;
    std::string m_model;
    std::string m_prompt;
    std::int64_t m_maxTokens = 0;
    bool m_stream = false;
    bool m_chat = false;
    std::int64_t m_deadlineMs = 0;
    /** Body of the request to the engine. */
    std::string m_engineBody;
};

/** A validated call of a plain service. */
struct ServiceCall
{
    std::string m_workspace;
    std::string m_service;
    /** Path and query of the request to the service. */
    std::string m_target;
    std::string m_method;
    std::string m_body;
    std::string m_idempotencyKey;
    /** The service allows calls with this method to be repeated. */
    bool m_idempotent = false;
    std::int64_t m_deadlineMs = 0;
};

/** Returns the workspace that the key of @p request belongs to. Fails with Unauthorized if there is none. */
Result<std::string> authenticate(const GatewayTable &table, const HttpRequest &request);
/** Authenticates and validates a completion request. The error names the field at fault. */
Result<CompletionCall> parseCompletion(const GatewayContext &context, const GatewayTable &table, const HttpRequest &request);
/** Authenticates and validates a call of a plain service. The error names the field at fault. */
Result<ServiceCall> parseServiceCall(const GatewayContext &context, const GatewayTable &table, const HttpRequest &request);
/** Returns the hashes of the prefixes of @p prompt that end at block boundaries, shortest first. */
std::vector<std::uint64_t> prefixHashes(const std::string &model, const std::string &prompt);

/** Whether a request ran. A request must not be repeated unless it is NotRun or its method is idempotent. */
enum class RunOutcome {
    NotRun,
    Ran,
    Unknown,
};

inline constexpr EnumNames<3> RunOutcomeNames{"not-run", "ran", "unknown"};

/** Returns a problem document with @p outcome in the field "run" and the header X-Run-Outcome. */
HttpReply problemWithOutcome(const Error &error, std::int64_t retryAfterMs, RunOutcome outcome);
}
