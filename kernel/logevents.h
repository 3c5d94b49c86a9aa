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

/** Every event that a daemon logs. The numbers are in the catalogue, docs/EVENTS.md. */
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
    PlanAccepted,
    PlanRefused,
    DrainLimitReached,
};

struct LogEventRow
{
    LogEvent m_event;
    int m_number;
    LogLevel m_level;
    std::string_view m_name;
    std::string_view m_meaning;
};

const LogEventRow &logEventRow(LogEvent event);
const std::vector<LogEventRow> &logEventTable();
}
