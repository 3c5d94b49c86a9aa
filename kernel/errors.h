#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace knapweedslip
{
/**
 * Every error that crosses an interface of this project; no exception does.
 * errorText() and errorName() return the text and the stable name of each.
 */
enum class ErrorCode {
    InvalidArgument,
    InvalidSetting,
    InvalidPlan,
    Unauthorized,
    UnknownWorkspace,
    UnknownModel,
    UnknownService,
    BodyTooLarge,
    HeaderTooLarge,
    MalformedRequest,
    NotFound,
    Conflict,
    PreconditionRequired,
    Overloaded,
    DeadlineUnreachable,
    Draining,
    StaleConfiguration,
    NoUpstream,
    PoisonRequest,
    KeyReused,
    AlreadyRunning,
    OutcomeUnknown,
    OutcomeNotKept,
    StoreUnavailable,
    StoreUnclear,
    ConnectFailed,
    ConnectionLost,
    Timeout,
    ProtocolViolation,
    UpstreamRefused,
    StreamBroken,
    NoQuorum,
    Io,
};

/**
 * An error: its code and a detail, such as the name that was not found. It has constructors because g++ 12 destroys an aggregate twice when
 * it is created inside an expression that suspends.
 */
struct Error
{
    Error() = default;
    Error(ErrorCode code, std::string detail)
        : m_code(code)
        , m_detail(std::move(detail))
    {
    }

    ErrorCode m_code = ErrorCode::Io;
    std::string m_detail;
};

/** Returns the stable lower-case name, used in problem documents and logs. */
std::string_view errorName(ErrorCode code);
/** Returns one sentence for people. */
std::string_view errorText(ErrorCode code);
/** Returns the HTTP status that a caller gets for @p code. */
unsigned errorStatus(ErrorCode code);
/** Returns "text: detail", for logs and terminals. */
std::string describe(const Error &error);

/** A value or an error. */
template<typename T>
using Result = std::variant<T, Error>;

/** The value type of operations that only succeed or fail. */
struct Done
{
};

template<typename T>
bool failed(const Result<T> &result)
{
    return std::holds_alternative<Error>(result);
}

template<typename T>
const Error &errorOf(const Result<T> &result)
{
    return std::get<Error>(result);
}

template<typename T>
T &valueOf(Result<T> &result)
{
    return std::get<T>(result);
}

template<typename T>
const T &valueOf(const Result<T> &result)
{
    return std::get<T>(result);
}
}
