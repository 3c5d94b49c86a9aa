// Problem: one request that crashes every upstream it runs on takes down group after group when it is sent repeatedly.
// Approach: when an upstream crashes, the crash is recorded for each request that ran on it. Such a request runs again only while isolated.
// If that upstream crashes too, the request is the cause and is refused from then on. Innocent requests finish while isolated and are
// cleared.
// Refusing all requests that ran during a crash would refuse innocent callers; refusing none would lose every group.

#include "kernel/strikes.h"

#include <algorithm>

namespace knapweedslip
{
StrikeRecord &StrikeBook::touch(std::uint64_t fingerprint)
{
    const auto found = m_index.find(fingerprint);
    if (found != m_index.end()) {
        m_records.splice(m_records.begin(), m_records, found->second);
        return m_records.front();
    }
    m_records.push_front(StrikeRecord{fingerprint, 0, 0, 0, -1});
    m_index[fingerprint] = m_records.begin();
    if (m_records.size() > MaxRecords) {
        m_index.erase(m_records.back().m_fingerprint);
        m_records.pop_back();
    }
    return m_records.front();
}

void StrikeBook::strike(std::uint64_t fingerprint, bool isolated, std::int64_t nowMs)
{
    StrikeRecord &record = touch(fingerprint);
    ++(isolated ? record.m_alone : record.m_crowd);
    record.m_lastMs = nowMs;
}

void StrikeBook::clear(std::uint64_t fingerprint, std::int64_t nowMs)
{
    const auto found = m_index.find(fingerprint);
    if (found != m_index.end()) {
        *found->second = StrikeRecord{fingerprint, 0, 0, nowMs, nowMs};
    }
}

void StrikeBook::merge(const StrikeRecord &record)
{
    StrikeRecord &held = touch(record.m_fingerprint);
    if (record.m_lastMs <= held.m_clearedMs) {
        return;
    }
    held.m_alone = std::max(held.m_alone, record.m_alone);
    held.m_crowd = std::max(held.m_crowd, record.m_crowd);
    held.m_lastMs = std::max(held.m_lastMs, record.m_lastMs);
}

Suspicion StrikeBook::judge(std::uint64_t fingerprint, std::int64_t nowMs) const
{
    const auto found = m_index.find(fingerprint);
    if (found == m_index.end() || nowMs - found->second->m_lastMs > ForgetMs) {
        return Suspicion::None;
    }
    const StrikeRecord &record = *found->second;
    if (record.m_alone > 0 || record.m_crowd >= CrowdLimit) {
        return Suspicion::Convicted;
    }
    return record.m_crowd > 0 ? Suspicion::Suspect : Suspicion::None;
}

std::vector<StrikeRecord> StrikeBook::records(std::int64_t nowMs) const
{
    std::vector<StrikeRecord> young;
    for (const StrikeRecord &record : m_records) {
        if (nowMs - record.m_lastMs <= ForgetMs) {
            young.push_back(record);
        }
    }
    return young;
}
}
