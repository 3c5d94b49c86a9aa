#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace knapweedslip
{
/**
 * Infers for how long a client has been waiting when its request arrives. A client that comes back after a refusal gives the time that is left of its first
 * deadline; most requests of a route give the same deadline when they are sent first. Memory: one entry for each route.
 */
class ClientDeadlines
{
public:
    /** Records that a request on @p route arrived whose client waits for @p timeLeftMs more; negative if it did not say. */
    void record(const std::string &route, std::int64_t timeLeftMs, std::int64_t nowMs);
    /**
     * Returns for how long the client of a request on @p route that waits for @p timeLeftMs more has waited already, in ms. Returns 0 if that is not known:
     * the deadlines on the route differ, or the client gave none.
     */
    std::int64_t waitedMs(const std::string &route, std::int64_t timeLeftMs) const;

private:
    struct Deadline
    {
        std::int64_t m_longestMs = 0;
        std::int64_t m_seenMs = 0;
        /** Moving fraction of the requests that gave about the longest deadline. */
        double m_share = 0.0;
    };

    std::map<std::string, Deadline> m_deadlines;
};
}
