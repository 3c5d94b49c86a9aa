// Problem: a request, or a part of its prompt, that ends each upstream which runs it comes again through any daemon, also after a restart.
// Approach: all daemons collect which suspects were on which upstreams when these ended, as a set that is merged by union; crashverdict.cpp judges from it.
// Counts instead of a set would grow with each message that arrives twice, and could not tell which ends two suspects share.

#include "kernel/crashledger.h"

#include "kernel/hashing.h"

#include <algorithm>
#include <string>

namespace knapweedslip
{
namespace
{
template<typename Function>
void forEachSuspect(const CrashSuspects &request, const Function &function)
{
    function(request.m_request);
    for (const std::uint64_t part : request.m_parts) {
        function(part);
    }
}
}

std::uint64_t upstreamLifetime(const std::string &id, std::int64_t startedMs)
{
    return hash64(id, static_cast<std::uint64_t>(startedMs));
}

std::uint64_t partingKey(std::uint64_t request, int upstreams)
{
    return hash64(std::to_string(upstreams), request);
}

const CrashLedger::Suspect *CrashLedger::find(std::uint64_t suspect) const
{
    const auto found = m_suspects.find(suspect);
    return found == m_suspects.end() ? nullptr : &found->second;
}

void CrashLedger::erase(const Key &key)
{
    const auto suspect = m_suspects.find(key.first);
    const auto found = suspect->second.m_entries.find(key.second);
    const Entry entry = found->second;
    m_byAge.erase({entry.m_observedMs, key});
    m_refutedByAge.erase({entry.m_observedMs, key});
    m_ownByAge.erase({entry.m_observedMs, key});
    suspect->second.m_ended -= entry.m_refuted || entry.m_unconfirmed ? 0 : 1;
    suspect->second.m_open.erase(key.second);
    suspect->second.m_entries.erase(found);
    if (suspect->second.m_entries.empty()) {
        m_suspects.erase(suspect);
    }
    const auto at = m_suspectsAt.find(key.second);
    at->second.erase(key.first);
    if (at->second.empty()) {
        m_suspectsAt.erase(at);
    }
}

void CrashLedger::dropOldest()
{
    // A copy, since erase() removes the element that holds the key.
    const Key oldest = m_refutedByAge.empty() ? m_byAge.begin()->second : m_refutedByAge.begin()->second;
    erase(oldest);
}

void CrashLedger::dropExpired(std::int64_t nowMs)
{
    while (!m_byAge.empty() && nowMs - m_byAge.begin()->first > RetentionMs) {
        const Key expired = m_byAge.begin()->second;
        erase(expired);
    }
}

void CrashLedger::store(const Key &key, Entry entry)
{
    const auto suspect = m_suspects.find(key.first);
    const bool isKnown = suspect != m_suspects.end() && suspect->second.m_entries.count(key.second) > 0;
    if (isKnown) {
        const Entry old = suspect->second.m_entries.at(key.second);
        const bool isNews = (entry.m_refuted && !old.m_refuted) || (!entry.m_unconfirmed && old.m_unconfirmed);
        // The first report of a run is the most exact: each further daemon that passes it on makes it seem later.
        entry.m_run = old.m_run;
        entry.m_observedMs = isNews ? entry.m_observedMs : old.m_observedMs;
        entry.m_refuted = entry.m_refuted || old.m_refuted;
        entry.m_unconfirmed = entry.m_unconfirmed && old.m_unconfirmed;
        entry.m_own = entry.m_own || old.m_own;
        if (!isNews && entry.m_own == old.m_own) {
            return;
        }
        erase(key);
    }
    Suspect &record = m_suspects[key.first];
    record.m_entries[key.second] = entry;
    m_suspectsAt[key.second].insert(key.first);
    m_byAge.insert({entry.m_observedMs, key});
    if (entry.m_refuted) {
        m_refutedByAge.insert({entry.m_observedMs, key});
    } else {
        record.m_open.insert(key.second);
        record.m_ended += entry.m_unconfirmed ? 0 : 1;
    }
    if (entry.m_own) {
        m_ownByAge.insert({entry.m_observedMs, key});
        ++m_ownVersion;
        if (m_ownByAge.size() > MaxOwn) {
            const Key oldest = m_ownByAge.begin()->second;
            m_suspects.at(oldest.first).m_entries.at(oldest.second).m_own = false;
            m_ownByAge.erase(m_ownByAge.begin());
        }
    }
    if (m_byAge.size() > MaxObservations) {
        dropOldest();
    }
}

void CrashLedger::recordEnd(const CrashSuspects &request, std::uint64_t upstream, CrashRun run, std::int64_t nowMs)
{
    dropExpired(nowMs);
    forEachSuspect(request, [&](std::uint64_t suspect) {
        store({suspect, upstream}, {nowMs, false, false, true, run});
    });
}

void CrashLedger::recordEnd(const CrashSuspects &request, std::uint64_t upstream, std::int64_t nowMs)
{
    recordEnd(request, upstream, {nowMs, nowMs}, nowMs);
}

void CrashLedger::recordUnconfirmed(const CrashSuspects &request, std::uint64_t upstream, CrashRun run, std::int64_t nowMs)
{
    dropExpired(nowMs);
    forEachSuspect(request, [&](std::uint64_t suspect) {
        store({suspect, upstream}, {nowMs, false, true, true, run});
    });
}

void CrashLedger::recordLives(const CrashSuspects &request, std::uint64_t upstream, std::int64_t nowMs)
{
    dropExpired(nowMs);
    forEachSuspect(request, [&](std::uint64_t suspect) {
        const Suspect *record = find(suspect);
        const bool isKnown = record != nullptr && record->m_entries.count(upstream) > 0;
        if (isKnown) {
            const Entry refuted{nowMs, true, true, true, record->m_entries.at(upstream).m_run};
            store({suspect, upstream}, refuted);
        }
    });
}

void CrashLedger::recordSurvived(const CrashSuspects &request, std::int64_t nowMs)
{
    forEachSuspect(request, [&](std::uint64_t suspect) {
        const Suspect *record = find(suspect);
        if (record == nullptr || record->m_open.empty()) {
            return;
        }
        const std::set<std::uint64_t> open = record->m_open;
        for (const std::uint64_t upstream : open) {
            const Entry entry = m_suspects.at(suspect).m_entries.at(upstream);
            store({suspect, upstream}, {nowMs, true, entry.m_unconfirmed, true, entry.m_run});
        }
    });
    dropExpired(nowMs);
}

void CrashLedger::merge(const std::vector<CrashObservation> &observations, bool own, std::int64_t nowMs)
{
    dropExpired(nowMs);
    for (const CrashObservation &observation : observations) {
        const std::int64_t ageMs = std::max<std::int64_t>(0, observation.m_ageMs);
        if (ageMs <= RetentionMs) {
            const std::int64_t endedMs = nowMs - ageMs - observation.m_lagMs;
            const CrashRun run{endedMs - observation.m_runMs, endedMs};
            store({observation.m_suspect, observation.m_upstream}, {nowMs - ageMs, observation.m_refuted, observation.m_unconfirmed, own, run});
        }
    }
}

int CrashLedger::upstreamsEnded(std::uint64_t suspect) const
{
    const Suspect *record = find(suspect);
    return record == nullptr ? 0 : record->m_ended;
}

std::vector<CrashObservation> CrashLedger::ownObservations(std::size_t maxCount, std::int64_t maxAgeMs, std::int64_t nowMs) const
{
    std::vector<CrashObservation> observations;
    for (auto it = m_ownByAge.rbegin(); it != m_ownByAge.rend() && observations.size() < maxCount && nowMs - it->first <= maxAgeMs; ++it) {
        const Key &key = it->second;
        const Entry &entry = m_suspects.at(key.first).m_entries.at(key.second);
        CrashObservation observation{key.first, key.second, nowMs - entry.m_observedMs, entry.m_refuted, entry.m_unconfirmed};
        observation.m_lagMs = entry.m_observedMs - entry.m_run.m_endedMs;
        observation.m_runMs = entry.m_run.m_endedMs - entry.m_run.m_sentMs;
        observations.push_back(observation);
    }
    return observations;
}

std::uint64_t CrashLedger::ownVersion() const
{
    return m_ownVersion;
}

std::size_t CrashLedger::size() const
{
    return m_byAge.size();
}
}
