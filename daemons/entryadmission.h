#pragma once

#include "daemons/entrycall.h"

namespace knapweedslip
{
/** Updates what admission knows of the load of all daemons from the load reports in @p summary. Must be called a few dozen times a second. */
void updateAdmission(EntryContext &context, const PeerLoadSummary &summary);

/** Measures the demand of each model from the load reports in @p summary and passes it to the reconciler, if this daemon leads and its settings ask for it. */
void updateModelDemand(EntryContext &context, const PeerLoadSummary &summary);

/** Result of admitGeneration(). */
enum class AdmissionOutcome {
    Admitted,
    /** The replicas have too little room, and the request is not among those whose refusal costs most. */
    Refused,
};

/**
 * Decides whether a generation request is sent to a replica. Most requests are decided at once; one that is not admitted is delayed while its answer may
 * still be in time. Admits every request if the settings do not ask for overload admission.
 */
awaitable<AdmissionOutcome> admitGeneration(EntryCall &call);

/** Returns when a client that is refused because of too little room should come back, in ms, at random, so that clients do not come back together. */
std::int64_t overloadRetryMs(EntryContext &context);

/** Records when the first event of a generation was expected and when it came. Does nothing for requests that were sent more than once. */
void recordFirstEvent(EntryCall &call);

/** Records that the answer to a generation request ended completely after @p events events. */
void recordAnswerLength(EntryCall &call, std::int64_t events);

/** Returns the metrics of admission, of all models. */
std::string admissionMetrics(const EntryContext &context);
}
