// Problem: daemons tell each other what they find, and act on what they are not told. The registrations in the store name the daemons, but a daemon loses its
// registration when the store turns it away, which is when it depends on the others most.
// Approach: a daemon stays in the list for a time after its registration ended, and as long as its own reports arrive.
// Datagrams to whoever sent one alone would not reach a daemon that has just started, and registrations alone leave out those that cannot renew them.

#include "kernel/reportpeers.h"

#include <algorithm>

namespace knapweedslip
{
void ReportPeers::setRegistered(const std::string &daemon, const std::string &address)
{
    const auto [found, isNew] = m_contacts.try_emplace(daemon);
    Contact &contact = found->second;
    const bool wasUnknown = !isNew && !contact.m_isRegistered && contact.m_endedMs < 0;
    m_unknown -= wasUnknown ? 1 : 0;
    contact.m_address = address;
    contact.m_isRegistered = true;
}

void ReportPeers::endRegistration(const std::string &daemon, std::int64_t nowMs)
{
    const auto found = m_contacts.find(daemon);
    if (found != m_contacts.end() && found->second.m_isRegistered) {
        found->second.m_isRegistered = false;
        found->second.m_endedMs = nowMs;
    }
}

void ReportPeers::recordReport(const std::string &daemon, const std::string &address, std::int64_t nowMs)
{
    auto found = m_contacts.find(daemon);
    if (found == m_contacts.end()) {
        if (m_unknown >= MaxUnknown) {
            return;
        }
        ++m_unknown;
        found = m_contacts.try_emplace(daemon).first;
    }
    Contact &contact = found->second;
    contact.m_heardMs = nowMs;
    if (!contact.m_isRegistered && contact.m_endedMs < 0) {
        contact.m_address = address;
    }
}

bool ReportPeers::isKept(const Contact &contact, std::int64_t nowMs)
{
    const std::int64_t lastMs = std::max(contact.m_endedMs, contact.m_heardMs);
    return contact.m_isRegistered || (lastMs >= 0 && nowMs - lastMs <= KeepMs);
}

std::vector<ContactChange> ReportPeers::takeChanges(std::int64_t silentMs, std::int64_t nowMs)
{
    std::vector<ContactChange> changes;
    for (auto it = m_contacts.begin(); it != m_contacts.end();) {
        Contact &contact = it->second;
        const bool isHeard = contact.m_heardMs >= 0 && nowMs - contact.m_heardMs <= silentMs;
        if (isHeard != contact.m_isTold) {
            changes.push_back({it->first, isHeard, nowMs - contact.m_heardMs});
        }
        contact.m_isTold = isHeard;
        if (isKept(contact, nowMs) || isHeard) {
            ++it;
            continue;
        }
        m_unknown -= contact.m_endedMs < 0 ? 1 : 0;
        it = m_contacts.erase(it);
    }
    return changes;
}

std::vector<std::string> ReportPeers::recipients(const std::string &self, std::int64_t nowMs) const
{
    std::vector<std::string> addresses;
    for (const std::pair<const std::string, Contact> &entry : m_contacts) {
        if (entry.first != self && isKept(entry.second, nowMs)) {
            addresses.push_back(entry.second.m_address);
        }
    }
    return addresses;
}

int ReportPeers::heardCount() const
{
    return static_cast<int>(std::count_if(m_contacts.begin(), m_contacts.end(), [](const std::pair<const std::string, Contact> &entry) {
        return entry.second.m_isTold;
    }));
}
}
