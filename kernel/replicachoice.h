#pragma once

#include "kernel/replicaselector.h"

#include <functional>

namespace knapweedslip
{
enum class ReplicaChoiceOutcome {
    Chosen,
    /** No replica of the model takes requests now. */
    NoneAvailable,
    /** Even the first event of the best replica is expected too late. */
    TooLate,
};

struct ReplicaChoice
{
    ReplicaChoiceOutcome m_outcome = ReplicaChoiceOutcome::NoneAvailable;
    /** Valid until the list of replicas changes; null unless m_outcome is Chosen. */
    const TrackedReplica *m_replica = nullptr;
};

/**
 * Returns the replica to which a request should be sent now. @p takePermit is asked for each replica that the request would otherwise be sent to,
 * and returns false if the replica may get no request now; a permit that it gives counts as used. Asks at most once for each replica.
 */
ReplicaChoice chooseReplica(ReplicaSelector &selector,
                            const UpstreamAvailability &availability,
                            const ReplicaQuery &query,
                            const std::function<bool(const TrackedReplica &)> &takePermit,
                            std::int64_t nowMs);
}
