// Problem: an upstream says in its answers that it will stop, or that it takes no requests for some time, long before the list of upstreams does, or
// although the list never does.
// Approach: every answer that is the upstream's own is read for that, and the decision is left to UpstreamAvailability and ReplicaReconciler.

#include "daemons/entryavailability.h"

#include "net/logging.h"

namespace knapweedslip
{
namespace
{
void logWithheld(const UpstreamLifetime &upstream, WithheldReason reason, std::int64_t forMs, const std::string &requestId)
{
    logEvent(LogEvent::UpstreamWithheld,
             {{"upstream", upstream.m_id},
              {"started_ms", upstream.m_startedMs},
              {"reason", std::string(enumName(WithheldReasonNames, reason))},
              {"for_ms", forMs},
              {"request", requestId}});
}
}

void learnLeaving(EntryContext &context, const UpstreamLifetime &upstream, const std::string &requestId)
{
    if (!context.m_availability.recordLeaving(upstream, steadyMs())) {
        return;
    }
    ++context.m_metrics.m_saidLeaving;
    context.m_reconciler.markLeaving(upstream.m_id, upstream.m_startedMs);
    logWithheld(upstream, WithheldReason::SaysLeaving, Withheld::NoKnownEnd, requestId);
}

void learnReport(EntryContext &context, const Departure &departure)
{
    /** Departures that became known longer ago are not checked again, in ms: every daemon has repeated them by then. */
    constexpr std::int64_t MaxCheckedAgeMs = 3'000;
    const std::int64_t nowMs = steadyMs();
    const UpstreamAvailability::ReportedDeparture reported = context.m_availability.recordReport(departure, nowMs);
    if (reported.m_upstream.empty()) {
        return;
    }
    if (isLeader(context) && departure.m_ageMs <= MaxCheckedAgeMs) {
        context.m_reconciler.checkLeaving(reported.m_upstream, nowMs);
    }
    if (reported.m_isNew) {
        logEvent(LogEvent::DepartureHeard,
                 {{"upstream", reported.m_upstream},
                  {"source", std::string(enumName(DepartureSourceNames, departure.m_source))},
                  {"age_ms", departure.m_ageMs},
                  {"proof_age_ms", nowMs - context.m_confirmedMs}});
    }
}

void learnEnded(EntryContext &context, std::uint64_t lifetime, std::int64_t observedMs)
{
    const std::string upstream = context.m_availability.recordEnded(lifetime, observedMs, steadyMs());
    if (upstream.empty()) {
        return;
    }
    const auto listed = context.m_upstreams.find(upstream);
    const std::int64_t startedMs = listed == context.m_upstreams.end() ? 0 : listed->second.m_startedMs;
    logWithheld({upstream, startedMs}, WithheldReason::Ended, UpstreamAvailability::EndedMs, {});
}

void learnFromAnswer(EntryContext &context, const UpstreamLifetime &upstream, const platform::ResponseHeaders &answer, const std::string &requestId)
{
    if (answer.m_leaving) {
        learnLeaving(context, upstream, requestId);
    }
    const platform::RetryAfter &retryAfter = answer.m_retryAfter;
    if (retryAfter.m_form == platform::RetryAfterForm::Absent) {
        return;
    }
    if (retryAfter.m_form != platform::RetryAfterForm::Seconds) {
        ++context.m_metrics.m_retryAfterIgnored;
        logEvent(LogEvent::RetryAfterIgnored,
                 {{"upstream", upstream.m_id}, {"form", std::string(enumName(platform::RetryAfterFormNames, retryAfter.m_form))}, {"request", requestId}});
        return;
    }
    if (context.m_availability.recordTurnedAway(upstream, retryAfter.m_ms, steadyMs())) {
        ++context.m_metrics.m_turnedAway;
        logWithheld(upstream, WithheldReason::TurnedAway, std::min(retryAfter.m_ms, UpstreamAvailability::MaxTurnedAwayMs), requestId);
    }
}
}
