// Problem: one request that crashes every upstream it runs on takes down one upstream after another when it is sent repeatedly.
// Approach: when an upstream crashes, the crash is recorded for each request that ran on it. Such a request runs again only while isolated.
// If that upstream crashes too, the request is the cause and is refused from then on. Innocent requests finish while isolated and are
// cleared.
// Refusing all requests that ran during a crash would refuse innocent callers; refusing none would lose every upstream.

#include "kernel/crashtracker.h"

#include <algorithm>

namespace knapweedslip
{
CrashRecord &CrashTracker::findOrCreate(std::uint64_t fingerprint)
{
    const auto found = m_index.find(fingerprint);
    if (found != m_index.end()) {
        m_records.splice(m_records.begin(), m_records, found->second);
        return m_records.front();
    }
    m_records.push_front(CrashRecord{fingerprint, 0, 0, 0, -1});
    m_index[fingerprint] = m_records.begin();
    if (m_records.size() > MaxRecords) {
        m_index.erase(m_records.back().m_fingerprint);
        m_records.pop_back();
    }
    return m_records.front();
}

void CrashTracker::recordCrash(std::uint64_t fingerprint, bool isolated, std::int64_t nowMs)
{
    CrashRecord &record = findOrCreate(fingerprint);
    ++(isolated ? record.m_isolatedCrashes : record.m_sharedCrashes);
    record.m_updatedMs = nowMs;
}

void CrashTracker::clear(std::uint64_t fingerprint, std::int64_t nowMs)
{
    const auto found = m_index.find(fingerprint);
    if (found != m_index.end()) {
        *found->second = CrashRecord{fingerprint, 0, 0, nowMs, nowMs};
    }
}

void CrashTracker::merge(const CrashRecord &record)
{
    CrashRecord &existing = findOrCreate(record.m_fingerprint);
    if (record.m_updatedMs <= existing.m_clearedMs) {
        return;
    }
    existing.m_isolatedCrashes = std::max(existing.m_isolatedCrashes, record.m_isolatedCrashes);
    existing.m_sharedCrashes = std::max(existing.m_sharedCrashes, record.m_sharedCrashes);
    existing.m_updatedMs = std::max(existing.m_updatedMs, record.m_updatedMs);
}

CrashSuspicion CrashTracker::suspicionOf(std::uint64_t fingerprint, std::int64_t nowMs) const
{
    const auto found = m_index.find(fingerprint);
    if (found == m_index.end() || nowMs - found->second->m_updatedMs > RecordLifeMs) {
        return CrashSuspicion::None;
    }
    const CrashRecord &record = *found->second;
    if (record.m_isolatedCrashes > 0 || record.m_sharedCrashes >= SharedCrashLimit) {
        return CrashSuspicion::Blocked;
    }
    return record.m_sharedCrashes > 0 ? CrashSuspicion::Suspect : CrashSuspicion::None;
}

std::vector<CrashRecord> CrashTracker::records(std::int64_t nowMs) const
{
    std::vector<CrashRecord> recent;
    for (const CrashRecord &record : m_records) {
        if (nowMs - record.m_updatedMs <= RecordLifeMs) {
            recent.push_back(record);
        }
    }
    return recent;
}
}
