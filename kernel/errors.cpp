// Problem: callers, operators and logs need each error in three forms: status, stable name and sentence.
// Approach: one table with a row for each code, indexed by the code; a static assertion compares the sizes of the table and the enum.
// Separate switch statements would diverge as codes are added.

#include "kernel/errors.h"

#include <array>
#include <cstddef>

namespace knapweedslip
{
namespace
{
struct ErrorRow
{
    ErrorCode m_code;
    unsigned m_status;
    std::string_view m_name;
    std::string_view m_text;
};

constexpr std::array ErrorRows{
    ErrorRow{ErrorCode::InvalidArgument, 400, "invalid-argument", "An argument is not valid"},
    ErrorRow{ErrorCode::InvalidSetting, 400, "invalid-setting", "A setting is not valid"},
    ErrorRow{ErrorCode::InvalidPlan, 422, "invalid-plan", "The plan has findings and was not applied"},
    ErrorRow{ErrorCode::Unauthorized, 401, "unauthorized", "The key is missing or wrong"},
    ErrorRow{ErrorCode::UnknownWorkspace, 403, "unknown-workspace", "The workspace is not in the plan"},
    ErrorRow{ErrorCode::UnknownModel, 404, "unknown-model", "The model is not in the plan"},
    ErrorRow{ErrorCode::UnknownService, 404, "unknown-service", "The service is not in the plan"},
    ErrorRow{ErrorCode::BodyTooLarge, 413, "body-too-large", "The body is over the limit"},
    ErrorRow{ErrorCode::HeaderTooLarge, 431, "header-too-large", "The header is over the limit"},
    ErrorRow{ErrorCode::MalformedRequest, 400, "malformed-request", "The request cannot be read"},
    ErrorRow{ErrorCode::NotFound, 404, "not-found", "There is nothing at this address"},
    ErrorRow{ErrorCode::Conflict, 412, "conflict", "The resource has changed since it was read"},
    ErrorRow{ErrorCode::PreconditionRequired, 428, "precondition-required", "A change must name the revision it is based on"},
    ErrorRow{ErrorCode::Overloaded, 503, "overloaded", "There is no room for this request now"},
    ErrorRow{ErrorCode::DeadlineUnreachable, 503, "deadline-unreachable", "The request cannot finish within its deadline"},
    ErrorRow{ErrorCode::Draining, 503, "draining", "This daemon is shutting down"},
    ErrorRow{ErrorCode::StaleConfiguration, 503, "stale-configuration", "This daemon cannot prove that its configuration is current"},
    ErrorRow{ErrorCode::NoUpstream, 503, "no-upstream", "No upstream can take this request now"},
    ErrorRow{ErrorCode::PoisonRequest, 422, "poison-request", "This request has crashed upstreams and is refused"},
    ErrorRow{ErrorCode::KeyReused, 422, "key-reused", "The idempotency key was used with another request"},
    ErrorRow{ErrorCode::AlreadyRunning, 409, "already-running", "A request with this idempotency key is running"},
    ErrorRow{ErrorCode::OutcomeUnknown, 409, "outcome-unknown", "The request may have run; its outcome is not known"},
    ErrorRow{ErrorCode::OutcomeNotKept, 409, "outcome-not-kept", "The request ran; its answer was too large to keep"},
    ErrorRow{ErrorCode::StoreUnavailable, 503, "store-unavailable", "The platform's store does not answer"},
    ErrorRow{ErrorCode::StoreUnclear, 503, "store-unclear", "A write to the platform's store may or may not have taken effect"},
    ErrorRow{ErrorCode::ConnectFailed, 503, "connect-failed", "No connection could be made"},
    ErrorRow{ErrorCode::ConnectionLost, 502, "connection-lost", "The connection was lost"},
    ErrorRow{ErrorCode::Timeout, 504, "timeout", "The time limit was reached"},
    ErrorRow{ErrorCode::ProtocolViolation, 502, "protocol-violation", "The other side broke the protocol"},
    ErrorRow{ErrorCode::UpstreamRefused, 503, "upstream-refused", "The upstream refused before running"},
    ErrorRow{ErrorCode::StreamBroken, 502, "stream-broken", "The answer was cut and could not be continued"},
    ErrorRow{ErrorCode::NoQuorum, 503, "no-quorum", "Too few daemons are reachable to put a change in force"},
    ErrorRow{ErrorCode::Io, 500, "io", "An input or output operation failed"},
};

static_assert(ErrorRows.size() == static_cast<std::size_t>(ErrorCode::Io) + 1);

const ErrorRow &errorRow(ErrorCode code)
{
    return ErrorRows.at(static_cast<std::size_t>(code));
}
}

std::string_view errorName(ErrorCode code)
{
    return errorRow(code).m_name;
}

std::string_view errorText(ErrorCode code)
{
    return errorRow(code).m_text;
}

unsigned errorStatus(ErrorCode code)
{
    return errorRow(code).m_status;
}

std::string describe(const Error &error)
{
    std::string text(errorText(error.m_code));
    if (!error.m_detail.empty()) {
        text += ": ";
        text += error.m_detail;
    }
    return text;
}
}
