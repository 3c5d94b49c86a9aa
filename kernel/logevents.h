#pragma once

#include <string_view>
#include <vector>

namespace knapweedslip
{
enum class LogLevel {
    Info,
    Warning,
    Error,
};

/** The events that daemons log. docs/EVENTS.md lists them with their numbers. */
enum class LogEvent {
    ProcessStarted,
    ProcessStopping,
    ProcessStopped,
    SettingsRejected,
    ListenFailed,
    SettingsReloaded,
    PlanAdopted,
    PlanUnreadable,
    FreshnessChanged,
    StoreLost,
    StoreRecovered,
    PeerRejected,
    ConfigAdopted,
    ConfigUnreadable,
    EvacuationChanged,
    UpstreamChanged,
    UpstreamUnreadable,
    HistoryLost,
    DaemonsChanged,
    LeaderSeen,
    NewsSourceChanged,
    NewsSourceFailed,
    StoreEraRisen,
    ConfigKept,
    RemovalHeldBack,
    EntryIgnored,
    DaemonHeard,
    DaemonSilent,
    RequestRefused,
    AttemptFailed,
    StreamResumed,
    StreamBroken,
    UpstreamDoubted,
    UpstreamTurnedCold,
    UpstreamLeaving,
    PoisonConvicted,
    IntentUnclear,
    OutcomeUnknown,
    CallSent,
    CallEnded,
    CallerLeft,
    ReplicaSilent,
    UpstreamEnded,
    CrashUndecided,
    UpstreamWithheld,
    RetryAfterIgnored,
    UpstreamChecked,
    OtherAnswerDropped,
    DepartureHeard,
    AdmissionChanged,
    ClientCut,
    DomainClaimed,
    DomainReleased,
    DomainLost,
    GroupChanged,
    OrderGiven,
    OrderFailed,
    LeadershipTaken,
    LeadershipLost,
    ReplicaChanged,
    EngineSilent,
    EnginesMoved,
    PlanAccepted,
    PlanRefused,
    DrainLimitReached,
};

/** The number, level, name and meaning of a log event. */
struct LogEventRow
{
    LogEvent m_event;
    int m_number;
    LogLevel m_level;
    std::string_view m_name;
    std::string_view m_meaning;
};

const LogEventRow &logEventRow(LogEvent event);
/** Returns one row for each LogEvent, in the order of the enumerators. */
const std::vector<LogEventRow> &logEventTable();
}
