#pragma once

#include "kernel/callconfig.h"
#include "kernel/enumnames.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace knapweedslip
{
/** Why the entry daemon answered a request itself instead of returning an upstream's answer. */
enum class RefusalReason {
    None,
    /** No configuration has been read yet. */
    NoConfiguration,
    /** The configuration is too old to decide on the key: keys may have been added or revoked since. */
    StaleKeys,
    UnknownRoute,
    UnknownKey,
    /** The client's deadline has passed, or neither client nor route sets a time limit. */
    NoTime,
    /** No upstream of the service can accept the request. */
    NoUpstream,
    /** The request would have to wait, and could not be answered in time. */
    Overloaded,
    /** The request was tried, and no attempt or resend is left. */
    AttemptsSpent,
    /** The request may have run; its outcome is unknown. */
    OutcomeUnknown,
    /** The time limit has passed. */
    TimeOver,
    /** This daemon is shutting down and would stop before the request could finish. */
    Draining,
    /** The request ended every upstream that ran it. */
    PoisonRequest,
    /** Every upstream that could serve the request turned requests away and said for how long. */
    TurnedAway,
};

inline constexpr EnumNames<14> RefusalReasonNames{"none",
                                                  "no-configuration",
                                                  "stale-keys",
                                                  "unknown-route",
                                                  "unknown-key",
                                                  "no-time",
                                                  "no-upstream",
                                                  "overloaded",
                                                  "attempts-spent",
                                                  "outcome-unknown",
                                                  "time-over",
                                                  "draining",
                                                  "poison-request",
                                                  "turned-away"};

/** Returns the HTTP status of a refusal. 429 and 503 guarantee that the request has not run and will not run; 502 and 504 guarantee nothing. */
unsigned refusalStatus(RefusalReason reason);

/** Returns @p reason, or OutcomeUnknown when @p mayHaveRun is set and the status of @p reason would claim that the request has not run. */
RefusalReason reasonAfterDispatch(RefusalReason reason, bool mayHaveRun);

/** Age of this daemon's copy of the configuration: the copy includes every change that the store had accepted that long ago. */
struct ConfigAge
{
    /** Time since the copy was last known to be current, in ms; negative when it never was. */
    std::int64_t m_ageMs = -1;
};

/** Highest ages of the configuration at which a daemon may still decide on its own, in ms. */
struct ConfigAgeLimits
{
    /** Keys are accepted up to this age, so a revoked key is not accepted for longer than this. */
    std::int64_t m_maxKeyAgeMs = 0;
    /** A route or key is reported as unknown only up to this age, because a newer configuration may contain it. */
    std::int64_t m_maxDenialAgeMs = 0;
};

/** The fields of a client's request that admission needs. */
struct CallRequest
{
    std::string_view m_host;
    /** Path without the query string. */
    std::string_view m_path;
    std::string m_key;
    /** How long the client will wait, in ms; negative when it sent no deadline. */
    std::int64_t m_timeLeftMs = -1;
};

/** Result of admitCall(). */
struct CallAdmission
{
    /** None when the request is admitted. */
    RefusalReason m_reason = RefusalReason::None;
    /** Null when no route matches. */
    const CallRoute *m_route = nullptr;
    /** Null when no key was checked: on a public route, or when the configuration requires no keys. */
    const CallWorkspace *m_workspace = nullptr;
    /** Time in which the request must be answered completely, in ms. */
    std::int64_t m_timeLimitMs = 0;
    /** The workspace's priority if it has one, otherwise the route's; 0 is the most urgent. */
    int m_priority = 0;
};

/** Deadlines of a graceful shutdown, in ms on the caller's clock. */
struct ShutdownDeadlines
{
    /** Until then every request is accepted. */
    std::int64_t m_acceptUntilMs = 0;
    /** Requests that still run then are aborted and answered. */
    std::int64_t m_endMs = 0;
    /** The process exits then at the latest. */
    std::int64_t m_exitMs = 0;
};

/** Returns the deadlines of a shutdown that begins at @p nowMs and of which the process is killed after @p graceMs. */
ShutdownDeadlines planShutdown(std::int64_t nowMs, std::int64_t graceMs);

/**
 * Returns whether a request that arrives at @p nowMs, during a graceful shutdown, is accepted. After m_acceptUntilMs a
 * request is accepted only if it is not a stream and its deadline @p callEndMs is before the end of the shutdown. Requests keep arriving
 * because clients use their open connections until the process exits.
 */
bool acceptsDuringShutdown(const ShutdownDeadlines &deadlines, CallKind kind, std::int64_t nowMs, std::int64_t callEndMs);

/** Finds the route, checks the key and computes the time limit. @p config is null until a configuration has been read. */
CallAdmission admitCall(const CallConfig *config, const ConfigAge &age, const ConfigAgeLimits &limits, const CallRequest &request);
}
