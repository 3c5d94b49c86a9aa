#pragma once

#include "kernel/upstreams.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace knapweedslip
{
/** One upstream of a plain service as a gateway sees it. */
struct BookedUpstream
{
    std::string m_id;
    std::string m_address;
    std::string m_availabilityZone;
    int m_slots = 1;
    std::int64_t m_coldUntilMs = 0;
    bool m_usable = false;

    /** Requests of this gateway that run there. */
    int m_own = 0;
    /** Running and waiting there, as its last answer said. */
    int m_reported = 0;
    std::int64_t m_reportedMs = -1;
    /** Running mean of failures, 0 to 1. */
    double m_failing = 0.0;
    /** No new work until then. */
    std::int64_t m_avoidUntilMs = -1;
};

/** How a call at an upstream of a plain service ended. */
enum class CallEnd {
    Answered,
    /** It answered with a failure of its own. */
    Failed,
    /** It refused without running. */
    Refused,
    /** No connection, or it broke. */
    Lost,
};

/** The upstreams of the plain services as one gateway believes them, and where the next call goes. */
class ServiceBook
{
public:
    void setUpstreams(const std::string &service, const std::vector<BookedUpstream> &upstreams);
    /** The least loaded upstream of @p service that is not in @p excluded, or null; its own zone breaks ties. */
    const BookedUpstream *choose(const std::string &service, const std::string &ownZone, const std::set<std::string> &excluded, std::int64_t nowMs) const;
    void begin(const std::string &service, const std::string &upstream);
    /** @p reported is what the answer said of running and waiting requests, or -1. */
    void end(const std::string &service, const std::string &upstream, CallEnd end, int reported, std::int64_t nowMs);

private:
    BookedUpstream *find(const std::string &service, const std::string &upstream);

    std::map<std::string, std::map<std::string, BookedUpstream>> m_services;
};
}
