#pragma once

#include "kernel/upstreamavailability.h"
#include "kernel/upstreams.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace knapweedslip
{
/** State of one upstream of a plain service as seen by one gateway. */
struct TrackedUpstream
{
    std::string m_id;
    std::string m_address;
    std::string m_availabilityZone;
    int m_slots = 1;
    std::int64_t m_coldUntilMs = 0;
    bool m_listed = false;

    /** Requests of this gateway that run there now. */
    int m_ownRequests = 0;
    /** Running and waiting requests that the upstream reported in its last answer. */
    int m_reportedRequests = 0;
    /** Time of that answer; -1 if there was none. */
    std::int64_t m_reportedMs = -1;
    /** Moving average of the fraction of calls that failed, 0 to 1. */
    double m_failureRate = 0.0;
};

/** How a call to an upstream of a plain service ended. */
enum class CallOutcome {
    Answered,
    /** The upstream answered with an error. */
    Failed,
    /** The upstream refused the call without running it. */
    Refused,
    /** No usable answer came, although the upstream was reached: the answer was spoiled, or its connection broke. It may take the next call. */
    Spoiled,
    /** No connection could be made, or the upstream was silent. */
    Unreachable,
    /** The caller left first, which tells nothing of the upstream. */
    Abandoned,
};

/** Tracks the load and the failures of the upstreams of the plain services as seen by one gateway, and chooses the upstream for the next call. */
class UpstreamSelector
{
public:
    /** Replaces the upstreams of @p service. Load and failures of the upstreams that stay are kept. */
    void setUpstreams(const std::string &service, const std::vector<TrackedUpstream> &upstreams);
    /**
     * Returns the least loaded upstream of @p service that is not in @p excluded and that @p availability does not withhold, or null. Prefers @p ownZone
     * when loads are about equal.
     */
    const TrackedUpstream *choose(const UpstreamAvailability &availability,
                                  const std::string &service,
                                  const std::string &ownZone,
                                  const std::set<std::string> &excluded,
                                  std::int64_t nowMs) const;
    /** Returns why no upstream of @p service may be sent a call at @p nowMs; nothing is added for those that may. */
    Shortage shortage(const UpstreamAvailability &availability, const std::string &service, std::int64_t nowMs) const;
    /** Records that a call was sent to @p upstream. */
    void begin(UpstreamAvailability &availability, const std::string &service, const std::string &upstream, std::int64_t nowMs);
    /** Records the end of a call. @p reported is the number of running and waiting requests that the answer reports, or -1 if it reports none. */
    void
    end(UpstreamAvailability &availability, const std::string &service, const std::string &upstream, CallOutcome outcome, int reported, std::int64_t nowMs);

private:
    const TrackedUpstream *leastLoaded(const UpstreamAvailability &availability,
                                       WithheldReason accepted,
                                       const std::map<std::string, TrackedUpstream> &upstreams,
                                       const std::string &ownZone,
                                       const std::set<std::string> &excluded,
                                       std::int64_t nowMs) const;
    /** Returns null if the upstream is not tracked. */
    TrackedUpstream *find(const std::string &service, const std::string &upstream);

    std::map<std::string, std::map<std::string, TrackedUpstream>> m_services;
};
}
