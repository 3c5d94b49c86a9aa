// Problem: whether an upstream may be sent a request depends on the list of upstreams, on what the upstream said in its answers, and on how the last
// requests to it ended. The list lags by seconds, and some upstreams that stop never say so there.
// Approach: one record for each upstream holds all reasons, and one function decides. Departures decides which lifetimes leave.
// Separate flags in the lists of engines and of plain services would have to agree on which reason is stronger, and when each one ends.

#include "kernel/upstreamavailability.h"

#include "kernel/crashledger.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
/** Time between two searches for records that are no longer needed, in ms. */
constexpr std::int64_t RemovalIntervalMs = 10'000;
/** Fraction of the wait over which clients return. */
constexpr double ReturnSpread = 0.25;

WithheldReason withheldReason(DepartureSource source)
{
    switch (source) {
    case DepartureSource::Listed:
        return WithheldReason::Leaving;
    case DepartureSource::Answered:
        return WithheldReason::SaysLeaving;
    case DepartureSource::Removed:
        return WithheldReason::Removed;
    }
    return WithheldReason::Leaving;
}
}

void UpstreamAvailability::setLapseMs(std::int64_t lapseMs)
{
    m_departures.setLapseMs(lapseMs);
}

EntryOrder UpstreamAvailability::observe(const UpstreamEntry &entry, std::int64_t nowMs)
{
    removeOld(nowMs);
    const EntryOrder order = m_departures.recordEntry(entry, nowMs);
    if (order != EntryOrder::Current) {
        return order;
    }
    const std::uint64_t lifetime = upstreamLifetime(entry.m_id, entry.m_startedMs);
    Record &record = m_records[entry.m_id];
    if (record.m_startedMs != entry.m_startedMs) {
        m_listed.erase(record.m_lifetime);
        record = Record();
        record.m_startedMs = entry.m_startedMs;
    }
    record.m_lifetime = lifetime;
    m_listed[lifetime] = entry.m_id;
    record.m_availabilityZone = entry.m_availabilityZone;
    record.m_unlistedMs = -1;
    return order;
}

bool UpstreamAvailability::recordRemoval(const std::string &upstream, bool mayBeLost, std::int64_t nowMs)
{
    return m_departures.recordRemoval(upstream, mayBeLost, nowMs);
}

void UpstreamAvailability::markUnlisted(const std::string &upstream, std::int64_t nowMs)
{
    const auto found = m_records.find(upstream);
    if (found != m_records.end()) {
        found->second.m_unlistedMs = nowMs;
        m_listed.erase(found->second.m_lifetime);
    }
    removeOld(nowMs);
}

void UpstreamAvailability::setZonesOutOfService(const std::set<std::string> &zones)
{
    m_zonesOutOfService = zones;
}

bool UpstreamAvailability::recordLeaving(const UpstreamLifetime &lifetime, std::int64_t nowMs)
{
    return m_departures.recordAnswer(lifetime, nowMs);
}

UpstreamAvailability::ReportedDeparture UpstreamAvailability::recordReport(const Departure &departure, std::int64_t nowMs)
{
    const bool isNew = m_departures.recordReport(departure, nowMs);
    const auto listed = m_listed.find(departure.m_lifetime);
    return {listed == m_listed.end() ? std::string() : listed->second, isNew};
}

std::string UpstreamAvailability::recordEnded(std::uint64_t lifetime, std::int64_t observedMs, std::int64_t nowMs)
{
    const auto listed = m_listed.find(lifetime);
    if (listed == m_listed.end()) {
        return {};
    }
    Record &record = m_records.at(listed->second);
    const bool isNew = record.m_endedMs < 0 || nowMs - record.m_endedMs > EndedMs;
    record.m_endedMs = std::max(record.m_endedMs, observedMs);
    return isNew && nowMs - record.m_endedMs <= EndedMs ? listed->second : std::string();
}

void UpstreamAvailability::recordLives(const UpstreamLifetime &lifetime, std::int64_t nowMs)
{
    Record *record = recordOf(lifetime, nowMs);
    if (record != nullptr) {
        record->m_endedMs = -1;
    }
}

bool UpstreamAvailability::recordTurnedAway(const UpstreamLifetime &lifetime, std::int64_t forMs, std::int64_t nowMs)
{
    Record *record = recordOf(lifetime, nowMs);
    if (record == nullptr || forMs <= 0) {
        return false;
    }
    const bool isNew = record->m_turnedAwayUntilMs <= nowMs;
    record->m_turnedAwayUntilMs = std::max(record->m_turnedAwayUntilMs, nowMs + std::min(forMs, MaxTurnedAwayMs));
    record->m_mustProve = true;
    record->m_trialUntilMs = -1;
    return isNew;
}

void UpstreamAvailability::withhold(const std::string &upstream, std::uint64_t epoch, WithheldReason reason, std::int64_t forMs, std::int64_t nowMs)
{
    Record &record = recordOf(upstream, nowMs);
    const bool applies = record.m_untilMs > nowMs && record.m_epoch == epoch;
    if (!applies || nowMs + forMs > record.m_untilMs) {
        record.m_reason = reason;
        record.m_epoch = epoch;
        record.m_untilMs = nowMs + forMs;
    }
}

void UpstreamAvailability::recordSend(const std::string &upstream, std::int64_t nowMs)
{
    const auto found = m_records.find(upstream);
    if (found != m_records.end() && found->second.m_mustProve) {
        found->second.m_trialUntilMs = nowMs + TrialMs;
    }
}

void UpstreamAvailability::recordAccepted(const std::string &upstream)
{
    const auto found = m_records.find(upstream);
    if (found != m_records.end()) {
        found->second.m_mustProve = false;
        found->second.m_trialUntilMs = -1;
    }
}

void UpstreamAvailability::endListedAgain(const std::string &upstream)
{
    const auto found = m_records.find(upstream);
    if (found != m_records.end() && found->second.m_reason == WithheldReason::ListedAgain) {
        found->second.m_untilMs = -1;
    }
}

void UpstreamAvailability::endWithholding(const std::string &upstream, std::uint64_t epoch)
{
    const auto found = m_records.find(upstream);
    if (found != m_records.end() && found->second.m_epoch == epoch) {
        found->second.m_untilMs = -1;
    }
}

Withheld UpstreamAvailability::check(const std::string &upstream, std::uint64_t epoch, std::int64_t nowMs) const
{
    const auto found = m_records.find(upstream);
    return found == m_records.end() ? Withheld() : check(found->second, epoch, nowMs);
}

Withheld UpstreamAvailability::check(const Record &record, std::uint64_t epoch, std::int64_t nowMs) const
{
    if (record.m_endedMs >= 0 && nowMs - record.m_endedMs <= EndedMs) {
        return {WithheldReason::Ended, Withheld::NoKnownEnd};
    }
    if (const std::optional<DepartureSource> source = m_departures.find(record.m_lifetime, nowMs)) {
        return {withheldReason(*source), Withheld::NoKnownEnd};
    }
    if (m_zonesOutOfService.count(record.m_availabilityZone) > 0) {
        return {WithheldReason::ZoneOutOfService, Withheld::NoKnownEnd};
    }
    if (record.m_turnedAwayUntilMs > nowMs) {
        return {WithheldReason::TurnedAway, record.m_turnedAwayUntilMs};
    }
    if (record.m_untilMs > nowMs && (record.m_epoch == epoch || record.m_epoch == AnyEpoch)) {
        return {record.m_reason, record.m_untilMs};
    }
    if (record.m_trialUntilMs > nowMs) {
        return {WithheldReason::OnTrial, record.m_trialUntilMs};
    }
    return {};
}

std::array<std::uint64_t, WithheldReasonNames.size()> UpstreamAvailability::count(std::int64_t nowMs) const
{
    std::array<std::uint64_t, WithheldReasonNames.size()> counts{};
    for (const std::pair<const std::string, Record> &entry : m_records) {
        if (entry.second.m_unlistedMs < 0) {
            ++counts.at(static_cast<std::size_t>(check(entry.second, entry.second.m_epoch, nowMs).m_reason));
        }
    }
    return counts;
}

bool UpstreamAvailability::isLeaving(const UpstreamLifetime &lifetime) const
{
    return m_departures.foundHere(upstreamLifetime(lifetime.m_id, lifetime.m_startedMs));
}

DepartureAges UpstreamAvailability::departureAges(const UpstreamLifetime &lifetime, std::int64_t nowMs) const
{
    return m_departures.ages(upstreamLifetime(lifetime.m_id, lifetime.m_startedMs), nowMs);
}

bool UpstreamAvailability::isRemoved(const UpstreamLifetime &lifetime) const
{
    return m_departures.isRemoved(upstreamLifetime(lifetime.m_id, lifetime.m_startedMs));
}

std::vector<Departure> UpstreamAvailability::recentDepartures(std::int64_t withinMs, std::int64_t nowMs) const
{
    return m_departures.recent(withinMs, nowMs);
}

UpstreamAvailability::Record &UpstreamAvailability::recordOf(const std::string &upstream, std::int64_t nowMs)
{
    const auto [found, isNew] = m_records.try_emplace(upstream);
    if (isNew) {
        // It was removed from the list while it worked on a request.
        found->second.m_unlistedMs = nowMs;
        found->second.m_lifetime = upstreamLifetime(upstream, 0);
    }
    return found->second;
}

UpstreamAvailability::Record *UpstreamAvailability::recordOf(const UpstreamLifetime &lifetime, std::int64_t nowMs)
{
    Record &record = recordOf(lifetime.m_id, nowMs);
    if (record.m_startedMs == 0) {
        record.m_startedMs = lifetime.m_startedMs;
        record.m_lifetime = upstreamLifetime(lifetime.m_id, lifetime.m_startedMs);
    }
    return record.m_startedMs == lifetime.m_startedMs ? &record : nullptr;
}

void UpstreamAvailability::removeOld(std::int64_t nowMs)
{
    if (nowMs - m_removedOldMs < RemovalIntervalMs) {
        return;
    }
    m_removedOldMs = nowMs;
    std::erase_if(m_records, [nowMs](const std::pair<const std::string, Record> &entry) {
        const Record &record = entry.second;
        const bool isWithheld = record.m_turnedAwayUntilMs > nowMs || record.m_untilMs > nowMs;
        return record.m_unlistedMs >= 0 && (!isWithheld || nowMs - record.m_unlistedMs > Departures::MemoryMs);
    });
}

void Shortage::add(const Withheld &withheld)
{
    m_oneIsFree = m_oneIsFree || withheld.m_reason == WithheldReason::None;
    const bool isKnown = withheld.m_untilMs != Withheld::NoKnownEnd;
    if (isKnown && (m_first.m_reason == WithheldReason::None || withheld.m_untilMs < m_first.m_untilMs)) {
        m_first = withheld;
    }
}

Withheld Shortage::first() const
{
    return m_oneIsFree ? Withheld() : m_first;
}

std::int64_t spreadReturnMs(std::int64_t waitMs, double random)
{
    const double spreadMs = std::min(ReturnSpread * static_cast<double>(waitMs), static_cast<double>(MaxReturnSpreadMs));
    return waitMs + static_cast<std::int64_t>(random * spreadMs);
}
}
