#pragma once

#include <cstddef>
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

/**
 * The daemons to which this one sends its reports, and those whose reports arrive here. A daemon that the store turns away loses its registration while it
 * serves clients and hears the others, and what it is not told it takes for silence. So reports go on to
 * - daemons that are registered,
 * - daemons that were registered within KeepMs,
 * - daemons whose reports arrived within KeepMs, at the address from which they came if they were never registered.
 * What that costs: reports to a daemon that has ended, for KeepMs. Memory: one record for each of these daemons, and at most MaxUnknown that were never
 * registered.
 */
class ReportPeers
{
public:
    /** How long a daemon gets reports after its registration ended and after its last report, in ms: longer than outages of the store usually are. */
    static constexpr std::int64_t KeepMs = 60'000;
    /** Largest number of daemons that get reports though they were never registered: anyone may send a report. */
    static constexpr std::size_t MaxUnknown = 64;

    /** Records that @p daemon is registered, with the address @p address for reports. */
    void setRegistered(const std::string &daemon, const std::string &address);
    /** Records that the registration of @p daemon has ended. */
    void endRegistration(const std::string &daemon, std::int64_t nowMs);
    /** Records that a report of @p daemon has arrived from @p address. */
    void recordReport(const std::string &daemon, const std::string &address, std::int64_t nowMs);
    /** Returns what changed since the last call. A daemon has fallen silent if no report of it has arrived for @p silentMs. Looks at each daemon. */
    std::vector<ContactChange> takeChanges(std::int64_t silentMs, std::int64_t nowMs);
    /** Returns the addresses to which reports go, without that of @p self. */
    std::vector<std::string> recipients(const std::string &self, std::int64_t nowMs) const;
    /** Returns the number of daemons from which reports arrive, as of the last call of takeChanges(). */
    int heardCount() const;

private:
    struct Contact
    {
        std::string m_address;
        bool m_isRegistered = false;
        /** When its registration was found to have ended; negative if it has none that ended. */
        std::int64_t m_endedMs = -1;
        /** When its last report arrived; negative if none did. */
        std::int64_t m_heardMs = -1;
        /** takeChanges() has returned that reports arrive. */
        bool m_isTold = false;
    };

    static bool isKept(const Contact &contact, std::int64_t nowMs);

    std::map<std::string, Contact> m_contacts;
    /** Number of contacts that were never registered. */
    std::size_t m_unknown = 0;
};
}
