// Problem: operators search logs and write alerts by event, and texts change.
// Approach: one table of numbered events; the catalogue in docs/ is compared with it by a test. Numbers are never reused.
// Free texts at each call cannot be listed or kept stable.

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
        {LogEvent::SettingsRejected, 1004, LogLevel::Error, "settings-rejected", "The settings have findings; each is printed with its place."},
        {LogEvent::ListenFailed, 1005, LogLevel::Error, "listen-failed", "An address in the settings cannot be listened on."},
        {LogEvent::SettingsReloaded, 1006, LogLevel::Info, "settings-reloaded", "The settings file has changed and was read again."},
        {LogEvent::PlanAdopted, 1101, LogLevel::Info, "plan-adopted", "A newer view of the configuration is in force here."},
        {LogEvent::PlanUnreadable, 1102, LogLevel::Error, "plan-unreadable", "A stored document cannot be read; the view before stays in force."},
        {LogEvent::FreshnessChanged, 1103, LogLevel::Warning, "freshness-changed", "The daemon's proof that its view is current changed."},
        {LogEvent::StoreLost, 1104, LogLevel::Warning, "store-lost", "The platform's store stopped answering this daemon."},
        {LogEvent::StoreRecovered, 1105, LogLevel::Info, "store-recovered", "The platform's store answers again."},
        {LogEvent::PeerRejected, 1106, LogLevel::Warning, "peer-rejected", "A peer's message had a wrong signature or form."},
        {LogEvent::ConfigAdopted, 1107, LogLevel::Info, "config-adopted", "A newer configuration of the operators is in force here."},
        {LogEvent::ConfigUnreadable, 1108, LogLevel::Error, "config-unreadable", "The stored configuration cannot be read; the one before stays in force."},
        {LogEvent::EvacuationChanged, 1109, LogLevel::Warning, "evacuation-changed", "An availability zone was taken out of service, or back."},
        {LogEvent::UpstreamChanged, 1110, LogLevel::Info, "upstream-changed", "An upstream came, went, leaves, or changed its place in a group."},
        {LogEvent::UpstreamUnreadable, 1111, LogLevel::Warning, "upstream-unreadable", "An entry in the list of upstreams names none that can be used."},
        {LogEvent::HistoryLost, 1112, LogLevel::Warning, "history-lost", "The store has dropped changes not yet seen; everything is read again."},
        {LogEvent::DaemonsChanged, 1113, LogLevel::Info, "daemons-changed", "The number of daemons that share limits changed."},
        {LogEvent::LeaderSeen, 1114, LogLevel::Info, "leader-seen", "The store names another daemon as the leader, or none."},
        {LogEvent::NewsSourceChanged, 1115, LogLevel::Info, "news-source-changed", "The store's news now come from another daemon, or from the store."},
        {LogEvent::NewsSourceFailed,
         1116,
         LogLevel::Warning,
         "news-source-failed",
         "A daemon that the store's news came from does not answer, or knows too little."},
        {LogEvent::RequestRefused, 1201, LogLevel::Info, "request-refused", "A request was refused; the reason and when to come back are given."},
        {LogEvent::AttemptFailed, 1202, LogLevel::Warning, "attempt-failed", "An attempt at an upstream failed."},
        {LogEvent::StreamResumed, 1203, LogLevel::Info, "stream-resumed", "An answer is continued by another upstream."},
        {LogEvent::StreamBroken, 1204, LogLevel::Error, "stream-broken", "An answer ended in an error event."},
        {LogEvent::UpstreamDoubted, 1205, LogLevel::Warning, "upstream-doubted", "An upstream may have lost a member: no new work for it."},
        {LogEvent::UpstreamTurnedCold, 1206, LogLevel::Warning, "upstream-turned-cold", "A warm upstream is cold again: no new work without a grant."},
        {LogEvent::UpstreamLeaving, 1207, LogLevel::Info, "upstream-leaving", "An upstream is leaving: no new work for it."},
        {LogEvent::PoisonConvicted, 1208, LogLevel::Error, "poison-convicted", "A request crashed an upstream while alone there; it is refused."},
        {LogEvent::IntentUnclear, 1209, LogLevel::Warning, "intent-unclear", "A write of the intent ledger was unclear; it is read back."},
        {LogEvent::OutcomeUnknown, 1210, LogLevel::Error, "outcome-unknown", "A request that must not be repeated may have run."},
        {LogEvent::CallSent, 1211, LogLevel::Info, "call-sent", "A request went to an upstream; why there is given."},
        {LogEvent::CallEnded, 1212, LogLevel::Info, "call-ended", "A request has its final answer, or none can be given; the outcome is given."},
        {LogEvent::CallerLeft, 1213, LogLevel::Info, "caller-left", "The caller closed its connection; its work was stopped."},
        {LogEvent::ReplicaSilent, 1214, LogLevel::Warning, "replica-silent", "A serving group shows no work; its streams go on elsewhere."},
        {LogEvent::DomainClaimed, 1301, LogLevel::Info, "domain-claimed", "This controller now holds a fabric domain."},
        {LogEvent::DomainReleased, 1302, LogLevel::Info, "domain-released", "This controller gave a fabric domain back."},
        {LogEvent::DomainLost, 1303, LogLevel::Warning, "domain-lost", "This controller's lease on a fabric domain lapsed."},
        {LogEvent::GroupChanged, 1304, LogLevel::Info, "group-changed", "A domain's record was written."},
        {LogEvent::OrderGiven, 1305, LogLevel::Info, "order-given", "An engine took an order."},
        {LogEvent::OrderFailed, 1306, LogLevel::Warning, "order-failed", "An engine refused an order or did not answer."},
        {LogEvent::LeadershipTaken, 1307, LogLevel::Info, "leadership-taken", "This daemon now keeps the serving groups."},
        {LogEvent::LeadershipLost, 1308, LogLevel::Warning, "leadership-lost", "This daemon no longer keeps the serving groups."},
        {LogEvent::ReplicaChanged, 1309, LogLevel::Info, "replica-changed", "A serving group entered another phase; the cause is given."},
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
