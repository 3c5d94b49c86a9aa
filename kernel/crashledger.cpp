// Problem: a request that ends each upstream which runs it comes again through any daemon, and an innocent request must not be refused in its place.
// Approach: all daemons collect which requests ran on which upstreams when these ended. The cause is the request that was at more ends than any
// other; a request that finishes is cleared.
// Counting ends for each request alone would refuse innocent requests that were moved together with the cause from one upstream to the next.

#include "kernel/crashledger.h"

#include "kernel/hashing.h"

#include <algorithm>
#include <string>

namespace knapweedslip
{
std::uint64_t upstreamLifetime(const std::string &id, std::int64_t startedMs)
{
    return hash64(id, static_cast<std::uint64_t>(startedMs));
}

std::uint64_t partingKey(std::uint64_t request, int upstreams)
{
    return hash64(std::to_string(upstreams), request);
}

void CrashLedger::erase(const Key &key)
{
    const auto found = m_entries.find(key);
    m_byAge.erase({found->second.m_observedMs, key});
    m_ownByAge.erase({found->second.m_observedMs, key});
    m_entries.erase(found);
    const auto at = m_requestsAt.find(key.second);
    at->second.erase(key.first);
    if (at->second.empty()) {
        m_requestsAt.erase(at);
    }
}

void CrashLedger::dropOldest()
{
    // A copy, since erase() removes the element that holds the key.
    const Key oldest = m_byAge.begin()->second;
    erase(oldest);
}

void CrashLedger::dropExpired(std::int64_t nowMs)
{
    while (!m_byAge.empty() && nowMs - m_byAge.begin()->first > RetentionMs) {
        dropOldest();
    }
}

void CrashLedger::store(const Key &key, Entry entry)
{
    const auto known = m_entries.find(key);
    if (known != m_entries.end()) {
        const Entry old = known->second;
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
    m_entries[key] = entry;
    m_requestsAt[key.second].insert(key.first);
    m_byAge.insert({entry.m_observedMs, key});
    if (entry.m_own) {
        m_ownByAge.insert({entry.m_observedMs, key});
        ++m_ownVersion;
        if (m_ownByAge.size() > MaxOwn) {
            const Key oldest = m_ownByAge.begin()->second;
            m_entries.at(oldest).m_own = false;
            m_ownByAge.erase(m_ownByAge.begin());
        }
    }
    if (m_entries.size() > MaxObservations) {
        dropOldest();
    }
}

void CrashLedger::recordEnd(std::uint64_t request, std::uint64_t upstream, CrashRun run, std::int64_t nowMs)
{
    dropExpired(nowMs);
    store({request, upstream}, {nowMs, false, false, true, run});
}

void CrashLedger::recordEnd(std::uint64_t request, std::uint64_t upstream, std::int64_t nowMs)
{
    recordEnd(request, upstream, {nowMs, nowMs}, nowMs);
}

void CrashLedger::recordUnconfirmed(std::uint64_t request, std::uint64_t upstream, CrashRun run, std::int64_t nowMs)
{
    dropExpired(nowMs);
    store({request, upstream}, {nowMs, false, true, true, run});
}

void CrashLedger::recordLives(std::uint64_t request, std::uint64_t upstream, std::int64_t nowMs)
{
    dropExpired(nowMs);
    const Key key{request, upstream};
    const auto found = m_entries.find(key);
    if (found != m_entries.end()) {
        store(key, {nowMs, true, true, true, found->second.m_run});
    }
}

void CrashLedger::recordFinish(std::uint64_t request, std::int64_t nowMs)
{
    dropExpired(nowMs);
    std::vector<Key> keys;
    for (auto it = m_entries.lower_bound({request, 0}); it != m_entries.end() && it->first.first == request; ++it) {
        if (!it->second.m_refuted) {
            keys.push_back(it->first);
        }
    }
    for (const Key &key : keys) {
        store(key, {nowMs, true, m_entries.at(key).m_unconfirmed, true, m_entries.at(key).m_run});
    }
}

void CrashLedger::merge(const std::vector<CrashObservation> &observations, bool own, std::int64_t nowMs)
{
    dropExpired(nowMs);
    for (const CrashObservation &observation : observations) {
        const std::int64_t ageMs = std::max<std::int64_t>(0, observation.m_ageMs);
        if (ageMs <= RetentionMs) {
            const std::int64_t endedMs = nowMs - ageMs - observation.m_lagMs;
            const CrashRun run{endedMs - observation.m_runMs, endedMs};
            store({observation.m_request, observation.m_upstream}, {nowMs - ageMs, observation.m_refuted, observation.m_unconfirmed, own, run});
        }
    }
}

int CrashLedger::successiveEnds(std::uint64_t request) const
{
    std::vector<CrashRun> runs;
    for (auto it = m_entries.lower_bound({request, 0}); it != m_entries.end() && it->first.first == request; ++it) {
        if (!it->second.m_refuted && !it->second.m_unconfirmed) {
            runs.push_back(it->second.m_run);
        }
    }
    // Taking the run that ends first each time finds the most runs that follow each other.
    std::sort(runs.begin(), runs.end(), [](const CrashRun &a, const CrashRun &b) {
        return a.m_endedMs < b.m_endedMs;
    });
    int ended = 0;
    std::int64_t lastEndMs = 0;
    for (const CrashRun &run : runs) {
        if (ended == 0 || run.m_sentMs >= lastEndMs) {
            ++ended;
            lastEndMs = run.m_endedMs;
        }
    }
    return ended;
}

int CrashLedger::upstreamsEnded(std::uint64_t request) const
{
    int ended = 0;
    for (auto it = m_entries.lower_bound({request, 0}); it != m_entries.end() && it->first.first == request; ++it) {
        ended += it->second.m_refuted || it->second.m_unconfirmed ? 0 : 1;
    }
    return ended;
}

int CrashLedger::unconfirmedEnds(std::uint64_t request, std::int64_t nowMs) const
{
    int ends = 0;
    for (auto it = m_entries.lower_bound({request, 0}); it != m_entries.end() && it->first.first == request; ++it) {
        const Entry &entry = it->second;
        ends += entry.m_unconfirmed && !entry.m_refuted && nowMs - entry.m_observedMs <= MaxUnconfirmedMs ? 1 : 0;
    }
    return ends;
}

bool CrashLedger::isMostSuspiciousAt(std::uint64_t request, std::uint64_t upstream, int upstreams) const
{
    const int mostOfOthers = upstreams >= MaxUpstreams ? upstreams : upstreams - 1;
    const std::set<std::uint64_t> &others = m_requestsAt.at(upstream);
    return std::all_of(others.begin(), others.end(), [this, request, mostOfOthers](std::uint64_t other) {
        return other == request || upstreamsEnded(other) <= mostOfOthers;
    });
}

CrashVerdict CrashLedger::verdict(std::uint64_t request, std::int64_t nowMs, std::int64_t trialDelayMs)
{
    dropExpired(nowMs);
    const int upstreams = upstreamsEnded(request);
    if (upstreams < UpstreamsUntilPoison) {
        return upstreams + unconfirmedEnds(request, nowMs) < UpstreamsUntilPoison ? CrashVerdict::MaySend : CrashVerdict::Undecided;
    }
    const int successive = successiveEnds(request);
    const bool cameTogether = successive < UpstreamsUntilPoison && (successive < 2 || upstreams == UpstreamsUntilPoison);
    if (cameTogether && unconfirmedEnds(request, nowMs) > 0) {
        return CrashVerdict::Undecided;
    }
    const std::int64_t undecidedMs = SettleMs + (cameTogether ? trialDelayMs : 0);
    bool isMostSuspicious = false;
    for (auto it = m_entries.lower_bound({request, 0}); it != m_entries.end() && it->first.first == request; ++it) {
        if (it->second.m_refuted || it->second.m_unconfirmed) {
            continue;
        }
        if (nowMs - it->second.m_observedMs < undecidedMs) {
            return CrashVerdict::Undecided;
        }
        isMostSuspicious = isMostSuspicious || isMostSuspiciousAt(request, it->first.second, upstreams);
    }
    return isMostSuspicious && !cameTogether ? CrashVerdict::Poison : CrashVerdict::MaySend;
}

std::int64_t CrashLedger::remainingMs(std::uint64_t request, std::int64_t nowMs) const
{
    std::int64_t oldestMs = nowMs;
    bool found = false;
    for (auto it = m_entries.lower_bound({request, 0}); it != m_entries.end() && it->first.first == request; ++it) {
        if (!it->second.m_refuted) {
            oldestMs = std::min(oldestMs, it->second.m_observedMs);
            found = true;
        }
    }
    return found ? std::max<std::int64_t>(0, oldestMs + RetentionMs - nowMs) : 0;
}

std::vector<CrashObservation> CrashLedger::ownObservations(std::size_t maxCount, std::int64_t maxAgeMs, std::int64_t nowMs) const
{
    std::vector<CrashObservation> observations;
    for (auto it = m_ownByAge.rbegin(); it != m_ownByAge.rend() && observations.size() < maxCount && nowMs - it->first <= maxAgeMs; ++it) {
        const Entry &entry = m_entries.at(it->second);
        CrashObservation observation{it->second.first, it->second.second, nowMs - entry.m_observedMs, entry.m_refuted, entry.m_unconfirmed};
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
    return m_entries.size();
}
}
