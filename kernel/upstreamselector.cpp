// Problem: a few upstreams serve short calls. One of them may be full or unreachable, or fail some of its calls while its health check passes.
// Approach: choose the upstream with the least expected load, computed from the calls of this gateway and the load in the last answers, and add a
// cost for recent failures. UpstreamAvailability decides which upstreams may be sent a call at all.
// Round robin over three upstreams would send a third of the calls to one that fails half of them.

#include "kernel/upstreamselector.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
/** Weight of the latest call in the moving average of failures. */
constexpr double FailureSmoothing = 0.15;
/** Load added to an upstream that fails all calls, in multiples of a fully loaded upstream. */
constexpr double FailureWeight = 4.0;
/** Load added to upstreams in other availability zones; keeps calls in their own zone while loads are about equal. */
constexpr double CrossZoneWeight = 0.05;
/** A reported load is used for this long: a call takes some tens of ms. */
constexpr std::int64_t ReportLifeMs = 100;
/** An upstream that cannot be reached gets no calls for this long, a tenth of a client's usual deadline. */
constexpr std::int64_t UnreachableRestMs = 150;
/** An upstream that refused a call gets no calls for this long: it stays full for about the time of one call. */
constexpr std::int64_t RefusedRestMs = 30;
}

void UpstreamSelector::setUpstreams(const std::string &service, const std::vector<TrackedUpstream> &upstreams)
{
    std::map<std::string, TrackedUpstream> &tracked = m_services[service];
    for (std::pair<const std::string, TrackedUpstream> &entry : tracked) {
        entry.second.m_listed = false;
    }
    for (const TrackedUpstream &upstream : upstreams) {
        TrackedUpstream &kept = tracked[upstream.m_id];
        kept.m_id = upstream.m_id;
        kept.m_address = upstream.m_address;
        kept.m_availabilityZone = upstream.m_availabilityZone;
        kept.m_slots = upstream.m_slots;
        kept.m_coldUntilMs = upstream.m_coldUntilMs;
        kept.m_listed = true;
    }
    for (auto it = tracked.begin(); it != tracked.end();) {
        it = !it->second.m_listed && it->second.m_ownRequests == 0 ? tracked.erase(it) : std::next(it);
    }
}

const TrackedUpstream *UpstreamSelector::choose(const UpstreamAvailability &availability,
                                                const std::string &service,
                                                const std::string &ownZone,
                                                const std::set<std::string> &excluded,
                                                std::int64_t nowMs) const
{
    const auto upstreams = m_services.find(service);
    if (upstreams == m_services.end()) {
        return nullptr;
    }
    const TrackedUpstream *best = leastLoaded(availability, WithheldReason::None, upstreams->second, ownZone, excluded, nowMs);
    return best != nullptr ? best : leastLoaded(availability, WithheldReason::OnTrial, upstreams->second, ownZone, excluded, nowMs);
}

const TrackedUpstream *UpstreamSelector::leastLoaded(const UpstreamAvailability &availability,
                                                     WithheldReason accepted,
                                                     const std::map<std::string, TrackedUpstream> &upstreams,
                                                     const std::string &ownZone,
                                                     const std::set<std::string> &excluded,
                                                     std::int64_t nowMs) const
{
    const TrackedUpstream *best = nullptr;
    double bestLoad = 0.0;
    for (const std::pair<const std::string, TrackedUpstream> &entry : upstreams) {
        const TrackedUpstream &upstream = entry.second;
        const bool isCandidate = upstream.m_listed && excluded.count(entry.first) == 0;
        if (!isCandidate || availability.check(entry.first, UpstreamAvailability::AnyEpoch, nowMs).m_reason != accepted) {
            continue;
        }
        const int reported = nowMs - upstream.m_reportedMs < ReportLifeMs ? upstream.m_reportedRequests : 0;
        const double running = std::max(upstream.m_ownRequests, reported);
        const double load =
            running / std::max(upstream.m_slots, 1) + FailureWeight * upstream.m_failureRate + (upstream.m_availabilityZone == ownZone ? 0.0 : CrossZoneWeight);
        if (best == nullptr || load < bestLoad) {
            best = &upstream;
            bestLoad = load;
        }
    }
    return best;
}

Shortage UpstreamSelector::shortage(const UpstreamAvailability &availability, const std::string &service, std::int64_t nowMs) const
{
    Shortage shortage;
    const auto upstreams = m_services.find(service);
    if (upstreams != m_services.end()) {
        for (const std::pair<const std::string, TrackedUpstream> &entry : upstreams->second) {
            if (entry.second.m_listed) {
                shortage.add(availability.check(entry.first, UpstreamAvailability::AnyEpoch, nowMs));
            }
        }
    }
    return shortage;
}

void UpstreamSelector::begin(UpstreamAvailability &availability, const std::string &service, const std::string &upstream, std::int64_t nowMs)
{
    availability.recordSend(upstream, nowMs);
    if (TrackedUpstream *tracked = find(service, upstream)) {
        ++tracked->m_ownRequests;
    }
}

void UpstreamSelector::end(
    UpstreamAvailability &availability, const std::string &service, const std::string &upstream, CallOutcome outcome, int reported, std::int64_t nowMs)
{
    TrackedUpstream *tracked = find(service, upstream);
    if (tracked == nullptr) {
        return;
    }
    --tracked->m_ownRequests;
    if (reported >= 0) {
        tracked->m_reportedRequests = reported;
        tracked->m_reportedMs = nowMs;
    }
    if (outcome == CallOutcome::Abandoned) {
        return;
    }
    const double failure = outcome == CallOutcome::Answered || outcome == CallOutcome::Refused ? 0.0 : 1.0;
    tracked->m_failureRate += FailureSmoothing * (failure - tracked->m_failureRate);
    if (outcome == CallOutcome::Spoiled) {
        // Nothing is known to be wrong but with this answer; the connection is not used again.
        return;
    }
    if (outcome == CallOutcome::Unreachable) {
        availability.withhold(upstream, UpstreamAvailability::AnyEpoch, WithheldReason::Unreachable, UnreachableRestMs, nowMs);
    } else if (outcome == CallOutcome::Refused) {
        availability.withhold(upstream, UpstreamAvailability::AnyEpoch, WithheldReason::Full, RefusedRestMs, nowMs);
    } else {
        availability.recordAccepted(upstream);
    }
}

TrackedUpstream *UpstreamSelector::find(const std::string &service, const std::string &upstream)
{
    const auto upstreams = m_services.find(service);
    if (upstreams == m_services.end()) {
        return nullptr;
    }
    const auto found = upstreams->second.find(upstream);
    return found == upstreams->second.end() ? nullptr : &found->second;
}
}
