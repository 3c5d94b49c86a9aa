// Problem: a cold replica takes few requests, so a permit for one must not be spent on a request that is not sent.
// Approach: everything else is decided before the permit is taken.
// Returning unused permits would need a second call on each way out.

#include "kernel/replicachoice.h"

namespace knapweedslip
{
ReplicaChoice chooseReplica(ReplicaSelector &selector,
                            const UpstreamAvailability &availability,
                            const ReplicaQuery &query,
                            const std::function<bool(const TrackedReplica &)> &takePermit,
                            std::int64_t nowMs)
{
    std::set<ReplicaRef> excluded;
    ReplicaChoiceOutcome outcome = ReplicaChoiceOutcome::NoneAvailable;
    while (true) {
        const TrackedReplica *best = query.m_partByKey ? selector.chooseByHash(availability, query.m_model, *query.m_partByKey, excluded, nowMs)
                                                       : selector.choose(availability, query, excluded, nowMs);
        if (best == nullptr) {
            return {outcome, nullptr};
        }
        if (selector.expectedMs(*best, query.m_promptTokens) > query.m_maxExpectedMs) {
            if (!query.m_partByKey) {
                return {ReplicaChoiceOutcome::TooLate, nullptr};
            }
            // The next replica by hash may be less busy.
            outcome = ReplicaChoiceOutcome::TooLate;
            excluded.insert(best->m_ref);
            continue;
        }
        if (takePermit(*best)) {
            return {ReplicaChoiceOutcome::Chosen, best};
        }
        excluded.insert(best->m_ref);
    }
}
}
