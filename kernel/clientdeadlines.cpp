// Problem: a request that was refused before comes back with a new id. To its caller it is as late as the time since its first attempt.
// Approach: the longest deadline that clients of a route give is the one of first attempts, as long as a good part of the requests give it.
// Asking clients to name their earlier attempts would need a new header field, which clients that are not controlled would not send.

#include "kernel/clientdeadlines.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
/** Deadlines at least this close to the longest one count as equal to it. */
constexpr double EqualFraction = 0.98;
/** The longest deadline is taken for that of first attempts if at least this fraction of the requests give it. */
constexpr double LeastShare = 0.25;
constexpr double ShareSmoothing = 0.02;
/** A deadline that no client has given for this long is forgotten, in ms. */
constexpr std::int64_t ForgetMs = 30'000;

bool isAbout(std::int64_t deadlineMs, std::int64_t longestMs)
{
    return static_cast<double>(deadlineMs) >= EqualFraction * static_cast<double>(longestMs);
}
}

void ClientDeadlines::record(const std::string &route, std::int64_t timeLeftMs, std::int64_t nowMs)
{
    if (timeLeftMs <= 0) {
        return;
    }
    Deadline &deadline = m_deadlines[route];
    if (!isAbout(deadline.m_longestMs, timeLeftMs) || nowMs - deadline.m_seenMs > ForgetMs) {
        deadline = {timeLeftMs, nowMs, 1.0};
        return;
    }
    const bool isFirst = isAbout(timeLeftMs, deadline.m_longestMs);
    deadline.m_share += ShareSmoothing * ((isFirst ? 1.0 : 0.0) - deadline.m_share);
    if (isFirst) {
        deadline.m_longestMs = std::max(deadline.m_longestMs, timeLeftMs);
        deadline.m_seenMs = nowMs;
    }
}

std::int64_t ClientDeadlines::waitedMs(const std::string &route, std::int64_t timeLeftMs) const
{
    const auto found = m_deadlines.find(route);
    const bool isKnown = found != m_deadlines.end() && found->second.m_share >= LeastShare && timeLeftMs > 0;
    return isKnown && !isAbout(timeLeftMs, found->second.m_longestMs) ? found->second.m_longestMs - timeLeftMs : 0;
}
}
