// Problem: operators search logs and define alerts by event, but the texts of log lines change.
// Approach: one table of numbered events; a test compares docs/EVENTS.md with it. Numbers are never reused.
// Texts written at each call site can be neither listed nor kept stable.

#include "kernel/logevents.h"

#include <cstddef>

namespace knapweedslip
{
const std::vector<LogEventRow> &logEventTable()
{
    static const std::vector<LogEventRow> table{
        {LogEvent::ProcessStarted, 1001, LogLevel::Info, "process-started", "The daemon listens and has read its settings."},
        {LogEvent::ProcessStopping, 1002, LogLevel::Info, "process-stopping", "A planned stop began: not ready, finishing its requests."},
        {LogEvent::ProcessStopped, 1003, LogLevel::Info, "process-stopped", "The daemon has finished and exits."},
        {LogEvent::SettingsRejected,
         1004,
         LogLevel::Error,
         "settings-rejected",
         "The settings are invalid; each finding is printed with its file, line and column."},
        {LogEvent::ListenFailed, 1005, LogLevel::Error, "listen-failed", "The daemon cannot listen on an address in the settings."},
        {LogEvent::SettingsReloaded, 1006, LogLevel::Info, "settings-reloaded", "The settings file has changed and was read again."},
        {LogEvent::PlanAdopted, 1101, LogLevel::Info, "plan-adopted", "The daemon now uses a newer view of the configuration."},
        {LogEvent::PlanUnreadable, 1102, LogLevel::Error, "plan-unreadable", "A stored document cannot be read; the previous view stays in use."},
        {LogEvent::FreshnessChanged, 1103, LogLevel::Warning, "freshness-changed", "Whether the daemon's view is known to be current has changed."},
        {LogEvent::StoreLost, 1104, LogLevel::Warning, "store-lost", "The platform's store stopped answering this daemon."},
        {LogEvent::StoreRecovered, 1105, LogLevel::Info, "store-recovered", "The platform's store answers again."},
        {LogEvent::PeerRejected, 1106, LogLevel::Warning, "peer-rejected", "A peer's message had a wrong signature or form."},
        {LogEvent::ConfigAdopted, 1107, LogLevel::Info, "config-adopted", "The daemon now uses a newer version of the operators' configuration."},
        {LogEvent::ConfigUnreadable, 1108, LogLevel::Error, "config-unreadable", "The stored configuration cannot be read; the previous one stays in use."},
        {LogEvent::EvacuationChanged, 1109, LogLevel::Warning, "evacuation-changed", "An availability zone was taken out of service or put back into service."},
        {LogEvent::UpstreamChanged,
         1110,
         LogLevel::Info,
         "upstream-changed",
         "An upstream was added, was removed, is leaving, or changed its place in a group."},
        {LogEvent::UpstreamUnreadable, 1111, LogLevel::Warning, "upstream-unreadable", "An entry in the list of upstreams is not a usable upstream."},
        {LogEvent::HistoryLost,
         1112,
         LogLevel::Warning,
         "history-lost",
         "The store has dropped changes that the daemon has not seen; the whole store is read again."},
        {LogEvent::DaemonsChanged, 1113, LogLevel::Info, "daemons-changed", "The number of daemons that share limits changed."},
        {LogEvent::LeaderSeen, 1114, LogLevel::Info, "leader-seen", "The store names another daemon as the leader, or none."},
        {LogEvent::NewsSourceChanged,
         1115,
         LogLevel::Info,
         "news-source-changed",
         "The daemon now gets store updates from another daemon, or from the store itself."},
        {LogEvent::NewsSourceFailed,
         1116,
         LogLevel::Warning,
         "news-source-failed",
         "The daemon that sent the store updates does not answer, or lacks changes."},
        {LogEvent::RequestRefused, 1201, LogLevel::Info, "request-refused", "A request was refused; the reason and the time to retry are given."},
        {LogEvent::AttemptFailed, 1202, LogLevel::Warning, "attempt-failed", "An attempt at an upstream failed."},
        {LogEvent::StreamResumed, 1203, LogLevel::Info, "stream-resumed", "An answer is continued by another upstream."},
        {LogEvent::StreamBroken, 1204, LogLevel::Error, "stream-broken", "An answer ended in an error event."},
        {LogEvent::UpstreamDoubted, 1205, LogLevel::Warning, "upstream-doubted", "An upstream may have lost a member: no new work for it."},
        {LogEvent::UpstreamTurnedCold, 1206, LogLevel::Warning, "upstream-turned-cold", "A warm upstream is cold again: no new work without a grant."},
        {LogEvent::UpstreamLeaving, 1207, LogLevel::Info, "upstream-leaving", "An upstream is leaving: no new work for it."},
        {LogEvent::PoisonConvicted, 1208, LogLevel::Error, "poison-convicted", "A request crashed an upstream while it ran there alone; it is refused."},
        {LogEvent::IntentUnclear, 1209, LogLevel::Warning, "intent-unclear", "A write of the intent ledger was unclear; it is read back."},
        {LogEvent::OutcomeUnknown, 1210, LogLevel::Error, "outcome-unknown", "A request that must not be repeated may have run."},
        {LogEvent::CallSent, 1211, LogLevel::Info, "call-sent", "A request was sent to an upstream; the reason for the choice is given."},
        {LogEvent::CallEnded, 1212, LogLevel::Info, "call-ended", "A request has its final answer, or none can be given; the outcome is given."},
        {LogEvent::CallerLeft, 1213, LogLevel::Info, "caller-left", "The caller closed its connection; its work was stopped."},
        {LogEvent::ReplicaSilent, 1214, LogLevel::Warning, "replica-silent", "A replica makes no progress; its streams continue on other replicas."},
        {LogEvent::UpstreamEnded, 1215, LogLevel::Warning, "upstream-ended", "An upstream ended while the request ran there; the count is given."},
        {LogEvent::CrashUndecided,
         1216,
         LogLevel::Warning,
         "crash-undecided",
         "A request waits until it is known whether it, or another one, ended the upstreams on which it ran."},
        {LogEvent::UpstreamWithheld,
         1217,
         LogLevel::Warning,
         "upstream-withheld",
         "An upstream said in an answer that it leaves, or that it takes no requests for some time: it gets none; the reason is given."},
        {LogEvent::RetryAfterIgnored,
         1218,
         LogLevel::Warning,
         "retry-after-ignored",
         "An upstream turned a request away with a time that is no number of seconds; it counts as full instead."},
        {LogEvent::UpstreamChecked,
         1219,
         LogLevel::Info,
         "upstream-checked",
         "Attempts at an upstream ended without an answer, so it was checked whether it lives; the outcome is given."},
        {LogEvent::DomainClaimed, 1301, LogLevel::Info, "domain-claimed", "This controller now holds a fabric domain."},
        {LogEvent::DomainReleased, 1302, LogLevel::Info, "domain-released", "This controller released a fabric domain."},
        {LogEvent::DomainLost, 1303, LogLevel::Warning, "domain-lost", "This controller's lease on a fabric domain expired."},
        {LogEvent::GroupChanged, 1304, LogLevel::Info, "group-changed", "A domain's record was written."},
        {LogEvent::OrderGiven, 1305, LogLevel::Info, "order-given", "An engine took an order."},
        {LogEvent::OrderFailed, 1306, LogLevel::Warning, "order-failed", "An engine refused an order or did not answer."},
        {LogEvent::LeadershipTaken, 1307, LogLevel::Info, "leadership-taken", "This daemon is now the leader and manages the replicas."},
        {LogEvent::LeadershipLost, 1308, LogLevel::Warning, "leadership-lost", "This daemon is no longer the leader."},
        {LogEvent::ReplicaChanged, 1309, LogLevel::Info, "replica-changed", "A replica entered another phase; the cause is given."},
        {LogEvent::EngineSilent, 1310, LogLevel::Warning, "engine-silent", "An engine VM did not answer its probes."},
        {LogEvent::PlanAccepted, 1401, LogLevel::Info, "plan-accepted", "An operator's change was accepted."},
        {LogEvent::PlanRefused, 1402, LogLevel::Warning, "plan-refused", "An operator's change was refused."},
        {LogEvent::DrainLimitReached, 1403, LogLevel::Error, "drain-limit-reached", "The stop's time limit ended with requests still running."},
    };
    return table;
}

const LogEventRow &logEventRow(LogEvent event)
{
    return logEventTable().at(static_cast<std::size_t>(event));
}
}
