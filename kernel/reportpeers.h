#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace knapweedslip
{
/** A daemon from which reports began to arrive, or stopped. */
struct ContactChange
{
    std::string m_daemon;
    bool m_heard = false;
    /** Time since its last report, in ms. */
    std::int64_t m_ageMs = 0;
};

/** The daemons whose reports arrive here. Memory: one record for each daemon heard from within the time that takeChanges() is given. */
class ReportPeers
{
public:
    /** Records that a report of @p daemon has arrived. */
    void recordReport(const std::string &daemon, std::int64_t nowMs);
    /** Returns what changed since the last call. A daemon has fallen silent if no report of it has arrived for @p silentMs. Looks at each daemon. */
    std::vector<ContactChange> takeChanges(std::int64_t silentMs, std::int64_t nowMs);
    /** Returns the number of daemons from which reports arrive, as of the last call of takeChanges(). */
    int heardCount() const;

private:
    struct Contact
    {
        std::int64_t m_heardMs = 0;
        /** takeChanges() has returned that reports arrive. */
        bool m_isTold = false;
    };

    std::map<std::string, Contact> m_contacts;
};
}
