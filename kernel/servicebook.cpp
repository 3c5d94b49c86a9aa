// Problem: a few upstreams serve short calls. One of them may be full or unreachable, or fail some of its calls while its health check passes.
// Approach: choose the upstream with the least expected load, computed from the calls of this gateway and the load in the last answers, and add a
// cost for recent failures. An upstream whose connection was lost gets no calls for a short time.
// Round robin over three upstreams would send a third of the calls to one that fails half of them.

#include "kernel/servicebook.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
/** Weight of the latest call in the moving average of failures. */
constexpr double FailureGain = 0.15;
/** Load added to an upstream that fails all calls, in multiples of a fully loaded upstream. */
constexpr double FailureWeight = 4.0;
/** Load added to upstreams in other availability zones; keeps calls in their own zone while loads are about equal. */
constexpr double CrossZoneWeight = 0.05;
/** A reported load is used for this long: a call takes some tens of ms. */
constexpr std::int64_t ReportLifeMs = 100;
/** An upstream whose connection was lost gets no calls for this long, a tenth of a client's usual deadline. */
constexpr std::int64_t LostRestMs = 150;
/** An upstream that refused a call gets no calls for this long: it stays full for about the time of one call. */
constexpr std::int64_t RefusedRestMs = 30;
}

void ServiceBook::setUpstreams(const std::string &service, const std::vector<BookedUpstream> &upstreams)
{
    std::map<std::string, BookedUpstream> &booked = m_services[service];
    for (std::pair<const std::string, BookedUpstream> &entry : booked) {
        entry.second.m_usable = false;
    }
    for (const BookedUpstream &upstream : upstreams) {
        BookedUpstream &kept = booked[upstream.m_id];
        kept.m_id = upstream.m_id;
        kept.m_address = upstream.m_address;
        kept.m_availabilityZone = upstream.m_availabilityZone;
        kept.m_slots = upstream.m_slots;
        kept.m_coldUntilMs = upstream.m_coldUntilMs;
        kept.m_usable = upstream.m_usable;
    }
    for (auto it = booked.begin(); it != booked.end();) {
        it = !it->second.m_usable && it->second.m_own == 0 ? booked.erase(it) : std::next(it);
    }
}

const BookedUpstream *
ServiceBook::choose(const std::string &service, const std::string &ownZone, const std::set<std::string> &excluded, std::int64_t nowMs) const
{
    const auto upstreams = m_services.find(service);
    if (upstreams == m_services.end()) {
        return nullptr;
    }
    const BookedUpstream *best = nullptr;
    double bestLoad = 0.0;
    for (const std::pair<const std::string, BookedUpstream> &entry : upstreams->second) {
        const BookedUpstream &upstream = entry.second;
        if (!upstream.m_usable || upstream.m_avoidUntilMs > nowMs || excluded.count(entry.first) > 0) {
            continue;
        }
        const int reported = nowMs - upstream.m_reportedMs < ReportLifeMs ? upstream.m_reported : 0;
        const double running = std::max(upstream.m_own, reported);
        const double load =
            running / std::max(upstream.m_slots, 1) + FailureWeight * upstream.m_failing + (upstream.m_availabilityZone == ownZone ? 0.0 : CrossZoneWeight);
        if (best == nullptr || load < bestLoad) {
            best = &upstream;
            bestLoad = load;
        }
    }
    return best;
}

void ServiceBook::begin(const std::string &service, const std::string &upstream)
{
    if (BookedUpstream *booked = find(service, upstream)) {
        ++booked->m_own;
    }
}

void ServiceBook::end(const std::string &service, const std::string &upstream, CallEnd end, int reported, std::int64_t nowMs)
{
    BookedUpstream *booked = find(service, upstream);
    if (booked == nullptr) {
        return;
    }
    --booked->m_own;
    if (reported >= 0) {
        booked->m_reported = reported;
        booked->m_reportedMs = nowMs;
    }
    const double failure = end == CallEnd::Answered || end == CallEnd::Refused ? 0.0 : 1.0;
    booked->m_failing += FailureGain * (failure - booked->m_failing);
    if (end == CallEnd::Lost) {
        booked->m_avoidUntilMs = nowMs + LostRestMs;
    } else if (end == CallEnd::Refused) {
        booked->m_avoidUntilMs = nowMs + RefusedRestMs;
    }
}

BookedUpstream *ServiceBook::find(const std::string &service, const std::string &upstream)
{
    const auto upstreams = m_services.find(service);
    if (upstreams == m_services.end()) {
        return nullptr;
    }
    const auto found = upstreams->second.find(upstream);
    return found == upstreams->second.end() ? nullptr : &found->second;
}
}
