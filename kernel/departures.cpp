// Problem: an upstream that leaves says so in its entry, by removing its entry, or in its answers. The list may show an older word of it after that: writes
// are carried out late, and the store may come back from a copy. A daemon that takes the list's order for the upstream's own sends it requests again.
// Approach: one record for each lifetime of an upstream. That it leaves is only ever set, and entries are ordered by the start times and numbers that the
// upstream itself gives. A removal tells that a lifetime left if it had not been silent for as long as entries take to lapse.
// Flags beside each copy of an entry would each have to know all three sources, and go whenever the entry is replaced.

#include "kernel/departures.h"

#include "kernel/crashledger.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
/** Time between two searches for records that are no longer needed, in ms. */
constexpr std::int64_t RemovalIntervalMs = 10'000;
}

void Departures::setLapseMs(std::int64_t lapseMs)
{
    m_lapseMs = lapseMs;
}

EntryOrder Departures::orderOf(const UpstreamEntry &entry, std::uint64_t key, std::int64_t nowMs) const
{
    const auto latest = m_latest.find(entry.m_id);
    if (latest != m_latest.end() && latest->second != key) {
        const Lifetime &other = m_lifetimes.at(latest->second);
        const bool isFresh = nowMs - std::max(other.m_readMs, other.m_removedMs) <= MaxLateWriteMs;
        if (isFresh && entry.m_startedMs < other.m_startedMs) {
            return EntryOrder::EarlierLifetime;
        }
    }
    const auto found = m_lifetimes.find(key);
    if (found == m_lifetimes.end()) {
        return EntryOrder::Current;
    }
    const Lifetime &known = found->second;
    if (known.m_source == DepartureSource::Removed && nowMs - known.m_leavesSinceMs <= MaxLateWriteMs) {
        return EntryOrder::AfterRemoval;
    }
    const bool isEarlier = entry.m_writeNumber >= 0 && entry.m_writeNumber < known.m_writeNumber;
    const bool isFresh = nowMs - std::max(known.m_readMs, known.m_removedMs) <= MaxLateWriteMs;
    return isEarlier && isFresh ? EntryOrder::EarlierWrite : EntryOrder::Current;
}

EntryOrder Departures::recordEntry(const UpstreamEntry &entry, std::int64_t nowMs)
{
    removeOld(nowMs);
    const std::uint64_t key = upstreamLifetime(entry.m_id, entry.m_startedMs);
    const EntryOrder order = orderOf(entry, key, nowMs);
    if (order == EntryOrder::Current) {
        Lifetime &known = m_lifetimes[key];
        const bool isOtherLifetime = entry.m_startedMs == 0 && known.m_removedMs >= 0 && nowMs - known.m_removedMs > MaxLateWriteMs;
        if (known.m_source == DepartureSource::Removed || isOtherLifetime) {
            known = Lifetime();
        }
        known.m_upstream = entry.m_id;
        known.m_startedMs = entry.m_startedMs;
        known.m_writeNumber = entry.m_writeNumber;
        known.m_writtenAfterMs = entry.m_writtenAfterMs;
        known.m_readMs = nowMs;
        known.m_removedMs = -1;
        m_latest[entry.m_id] = key;
    } else if (order == EntryOrder::EarlierWrite) {
        // A late write, too, keeps the entry from lapsing.
        Lifetime &known = m_lifetimes[key];
        known.m_writtenAfterMs = std::max(known.m_writtenAfterMs, entry.m_writtenAfterMs);
    }
    if (entry.m_leaving) {
        recordDeparture(key, DepartureSource::Listed, nowMs);
    }
    return order;
}

bool Departures::recordRemoval(const std::string &upstream, bool mayBeLost, std::int64_t nowMs)
{
    const auto latest = m_latest.find(upstream);
    if (latest == m_latest.end()) {
        return false;
    }
    Lifetime &known = m_lifetimes.at(latest->second);
    const bool isRepeated = known.m_removedMs >= 0;
    known.m_removedMs = isRepeated ? known.m_removedMs : nowMs;
    // The upstream wrote later than m_writtenAfterMs, so that it was silent for less than this.
    const std::int64_t silentMs = nowMs - known.m_writtenAfterMs;
    const bool hasNotLapsed = known.m_writtenAfterMs >= 0 && silentMs < m_lapseMs;
    if (!isRepeated && !mayBeLost && (hasNotLapsed || known.m_isHeardLeaving)) {
        recordDeparture(latest->second, DepartureSource::Removed, nowMs);
    }
    return find(latest->second, nowMs).has_value();
}

bool Departures::recordAnswer(const UpstreamLifetime &lifetime, std::int64_t nowMs)
{
    return recordDeparture(upstreamLifetime(lifetime.m_id, lifetime.m_startedMs), DepartureSource::Answered, nowMs);
}

bool Departures::recordReport(const Departure &departure, std::int64_t nowMs)
{
    const auto found = m_lifetimes.find(departure.m_lifetime);
    const std::int64_t sinceMs = nowMs - departure.m_ageMs;
    if (departure.m_source == DepartureSource::Removed && found != m_lifetimes.end() && found->second.m_readMs > sinceMs) {
        // Its entry has been written again since.
        return false;
    }
    const bool isNew = !find(departure.m_lifetime, nowMs).has_value();
    Lifetime &known = m_lifetimes[departure.m_lifetime];
    known.m_isHeardLeaving = known.m_isHeardLeaving || departure.m_source != DepartureSource::Removed;
    known.m_heardSource = departure.m_source;
    known.m_heardUntilMs = nowMs + HeardMs;
    return isNew;
}

bool Departures::recordDeparture(std::uint64_t lifetime, DepartureSource source, std::int64_t nowMs)
{
    Lifetime &known = m_lifetimes[lifetime];
    const bool isNew = !known.m_source.has_value();
    if (isNew) {
        known.m_leavesSinceMs = nowMs;
        m_recent.push_front({lifetime, source, nowMs});
        if (m_recent.size() > MaxRecent) {
            m_recent.pop_back();
        }
    }
    // Its own words bind a lifetime for good, a removal may have had another reason.
    if (isNew || known.m_source == DepartureSource::Removed) {
        known.m_source = source;
    }
    return isNew;
}

std::optional<DepartureSource> Departures::find(std::uint64_t lifetime, std::int64_t nowMs) const
{
    const auto found = m_lifetimes.find(lifetime);
    if (found == m_lifetimes.end()) {
        return std::nullopt;
    }
    const Lifetime &known = found->second;
    if (!known.m_source.has_value() && known.m_heardUntilMs > nowMs) {
        return known.m_heardSource;
    }
    return known.m_source;
}

bool Departures::foundHere(std::uint64_t lifetime) const
{
    const auto found = m_lifetimes.find(lifetime);
    return found != m_lifetimes.end() && found->second.m_source.has_value();
}

bool Departures::isRemoved(std::uint64_t lifetime) const
{
    const auto found = m_lifetimes.find(lifetime);
    return found != m_lifetimes.end() && found->second.m_removedMs >= 0;
}

DepartureAges Departures::ages(std::uint64_t lifetime, std::int64_t nowMs) const
{
    DepartureAges ages;
    const auto found = m_lifetimes.find(lifetime);
    if (found != m_lifetimes.end()) {
        const Lifetime &known = found->second;
        ages.m_removedMs = known.m_removedMs < 0 ? -1 : nowMs - known.m_removedMs;
        ages.m_heardMs = known.m_heardUntilMs < 0 ? -1 : nowMs - (known.m_heardUntilMs - HeardMs);
    }
    return ages;
}

std::vector<Departure> Departures::recent(std::int64_t withinMs, std::int64_t nowMs) const
{
    std::vector<Departure> departures;
    for (const RecentDeparture &entry : m_recent) {
        // An entry that was written again since may have shown that the upstream stayed.
        if (foundHere(entry.m_lifetime) && nowMs - entry.m_foundMs <= withinMs) {
            departures.push_back({entry.m_lifetime, entry.m_source, nowMs - entry.m_foundMs});
        }
    }
    return departures;
}

void Departures::removeOld(std::int64_t nowMs)
{
    if (nowMs - m_removedOldMs < RemovalIntervalMs) {
        return;
    }
    m_removedOldMs = nowMs;
    for (auto it = m_lifetimes.begin(); it != m_lifetimes.end();) {
        const Lifetime &known = it->second;
        const auto latest = m_latest.find(known.m_upstream);
        const bool isLatest = latest != m_latest.end() && latest->second == it->first;
        const std::int64_t lastMs = std::max({known.m_readMs, known.m_removedMs, known.m_leavesSinceMs, known.m_heardUntilMs});
        const bool isListed = isLatest && known.m_removedMs < 0;
        if (isListed || nowMs - lastMs <= (known.m_source.has_value() ? MemoryMs : MaxLateWriteMs)) {
            ++it;
            continue;
        }
        if (isLatest) {
            m_latest.erase(latest);
        }
        it = m_lifetimes.erase(it);
    }
}
}
