#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace knapweedslip
{
/**
 * Infers for how long a client has been waiting when its request arrives. A client that comes back after a refusal gives the time that is left of its first
 * deadline; most requests of a route give the same deadline when they are sent first. A single client cannot change that deadline. Memory: one entry for
 * each route.
 */
class ClientDeadlines
{
public:
    /** Records that a request on @p route arrived whose client waits for @p timeLeftMs more; negative if it did not say. */
    void record(const std::string &route, std::int64_t timeLeftMs);
    /**
     * Returns for how long the client of a request on @p route that waits for @p timeLeftMs more has waited already, in ms. Returns 0 if that is not known:
     * the deadlines on the route differ, or the client gave none.
     */
    std::int64_t waitedMs(const std::string &route, std::int64_t timeLeftMs) const;

private:
    /** A deadline that clients of one route give, and how many of the latest requests gave it. */
    struct Deadline
    {
        std::int64_t m_ms = 0;
        double m_requests = 0.0;
    };

    struct Route
    {
        /** The deadline that is taken for that of first attempts. */
        Deadline m_usual;
        /** The longest other deadline; it replaces the usual one once more requests give it. */
        Deadline m_other;
        double m_requests = 0.0;
    };

    std::map<std::string, Route> m_routes;
};
}
