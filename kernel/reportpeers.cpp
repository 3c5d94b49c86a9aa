// Problem: what a daemon is not told it must not conclude from silence, and an operator has to see which daemons fell silent for which others, and when.
// Approach: the time of the last report of each daemon.

#include "kernel/reportpeers.h"

namespace knapweedslip
{
void ReportPeers::recordReport(const std::string &daemon, std::int64_t nowMs)
{
    m_contacts[daemon].m_heardMs = nowMs;
}

std::vector<ContactChange> ReportPeers::takeChanges(std::int64_t silentMs, std::int64_t nowMs)
{
    std::vector<ContactChange> changes;
    for (auto it = m_contacts.begin(); it != m_contacts.end();) {
        Contact &contact = it->second;
        const std::int64_t ageMs = nowMs - contact.m_heardMs;
        const bool isSilent = ageMs > silentMs;
        if (isSilent == contact.m_isTold) {
            changes.push_back({it->first, !isSilent, ageMs});
        }
        contact.m_isTold = !isSilent;
        it = isSilent ? m_contacts.erase(it) : std::next(it);
    }
    return changes;
}

int ReportPeers::heardCount() const
{
    return static_cast<int>(m_contacts.size());
}
}
