// Problem: a request that was refused before comes back with a new id. To its caller it is as late as the time since its first attempt.
// Approach: the deadline that most requests of a route give is the one of first attempts. Those that come back give shorter ones, all different.
// Asking clients to name their earlier attempts would need a new header field, which clients that are not controlled would not send.

#include "kernel/clientdeadlines.h"

#include <cmath>
#include <cstdlib>
#include <utility>

namespace knapweedslip
{
namespace
{
/** Deadlines that differ by less than this fraction count as equal. */
constexpr double EqualFraction = 0.02;
/** A deadline is taken for that of first attempts if at least this fraction of the requests give it. */
constexpr double LeastShare = 0.5;
/** With fewer requests nothing is inferred. */
constexpr double LeastRequests = 8.0;
/** Counts are halved at this number of requests, so that a new deadline is learned within about as many. */
constexpr double MostRequests = 128.0;

bool isAbout(std::int64_t aMs, std::int64_t bMs)
{
    return std::abs(static_cast<double>(aMs - bMs)) <= EqualFraction * static_cast<double>(bMs);
}
}

void ClientDeadlines::record(const std::string &name, std::int64_t timeLeftMs)
{
    if (timeLeftMs <= 0) {
        return;
    }
    Route &route = m_routes[name];
    ++route.m_requests;
    if (isAbout(timeLeftMs, route.m_usual.m_ms)) {
        ++route.m_usual.m_requests;
    } else if (isAbout(timeLeftMs, route.m_other.m_ms)) {
        ++route.m_other.m_requests;
    } else if (timeLeftMs > route.m_other.m_ms || route.m_other.m_requests < 1.0) {
        route.m_other = {timeLeftMs, 1.0};
    }
    if (route.m_other.m_requests > route.m_usual.m_requests) {
        std::swap(route.m_usual, route.m_other);
    }
    if (route.m_requests >= MostRequests) {
        route.m_requests /= 2.0;
        route.m_usual.m_requests /= 2.0;
        route.m_other.m_requests /= 2.0;
    }
}

std::int64_t ClientDeadlines::waitedMs(const std::string &name, std::int64_t timeLeftMs) const
{
    const auto found = m_routes.find(name);
    if (found == m_routes.end() || timeLeftMs <= 0) {
        return 0;
    }
    const Route &route = found->second;
    const bool isKnown = route.m_requests >= LeastRequests && route.m_usual.m_requests >= LeastShare * route.m_requests;
    const bool isShorter = timeLeftMs < route.m_usual.m_ms && !isAbout(timeLeftMs, route.m_usual.m_ms);
    return isKnown && isShorter ? route.m_usual.m_ms - timeLeftMs : 0;
}
}
