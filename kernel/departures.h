#pragma once

#include "kernel/enumnames.h"
#include "kernel/upstreams.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedslip
{
/** One lifetime of an upstream. After a restart it may have the same id, but not the same start time. */
struct UpstreamLifetime
{
    std::string m_id;
    /** Unix time in ms, as in UpstreamEntry. */
    std::int64_t m_startedMs = 0;
};

/** What told that a lifetime leaves. */
enum class DepartureSource {
    /** Its entry in the list. */
    Listed,
    /** Its own answers. */
    Answered,
    /** Its entry was removed although it had written it shortly before, so that it had not just fallen silent. */
    Removed,
};

inline constexpr EnumNames<3> DepartureSourceNames{"listed", "answered", "removed"};

/** A lifetime that leaves, as daemons tell each other. */
struct Departure
{
    /** See upstreamLifetime(). */
    std::uint64_t m_lifetime = 0;
    DepartureSource m_source = DepartureSource::Listed;
    /** Time since this became known, in ms. */
    std::int64_t m_ageMs = 0;

    friend bool operator==(const Departure &a, const Departure &b)
    {
        return a.m_lifetime == b.m_lifetime && a.m_source == b.m_source && a.m_ageMs == b.m_ageMs;
    }
};

/** What suggests that a lifetime has left, as the time since it was found, in ms; -1 for what is not known. */
struct DepartureAges
{
    /** Its entry was removed and has not been written again. */
    std::int64_t m_removedMs = -1;
    /** Another daemon last reported that it leaves. */
    std::int64_t m_heardMs = -1;
};

/** How an entry of the list relates to what is known of its upstream. */
enum class EntryOrder {
    /** It is the latest word. */
    Current,
    /** The same lifetime has written a later entry. */
    EarlierWrite,
    /** A later lifetime has written an entry. */
    EarlierLifetime,
    /** The entry of this lifetime was removed when it left, and this write was underway then. */
    AfterRemoval,
};

inline constexpr EnumNames<4> EntryOrderNames{"current", "earlier-write", "earlier-lifetime", "after-removal"};

/**
 * Decides which lifetimes of upstreams leave, and which entries of the list are older than what is known. Writes to the list may be carried out late, and the
 * list may come back from an older copy, so that its order is not the order in which an upstream spoke. Invariants:
 * - Nothing takes back that a lifetime leaves. Only after a removal, an entry that was certainly written later shows that it stayed.
 * - What another daemon found counts as long as it repeats that, and for HeardMs more: anyone may have sent such a report. The removal of the entry
 *   confirms it.
 * - An entry is ignored only if it is older than what is known, and for MaxLateWriteMs at most: then the upstream's start times or numbers are wrong.
 * - An entry that lapsed because its upstream fell silent counts again as soon as it is written again.
 * Memory: one record for each listed upstream, for each lifetime that was listed within MaxLateWriteMs, and for each one that left within MemoryMs. All
 * functions take constant time, but for a search every 10 s.
 */
class Departures
{
public:
    /** Longest time after which a write to the list may still be carried out, in ms. */
    static constexpr std::int64_t MaxLateWriteMs = 12'000;
    /** How long a lifetime that left is remembered after the last word of it, in ms: longer than it runs on. */
    static constexpr std::int64_t MemoryMs = 600'000;
    /** How long the report of another daemon counts, in ms. */
    static constexpr std::int64_t HeardMs = 12'000;
    /** Largest number of departures that recent() returns. */
    static constexpr std::size_t MaxRecent = 64;

    /** Sets after how long without a write the list drops an entry, in ms. */
    void setLapseMs(std::int64_t lapseMs);
    /** Records an entry of the list, and what it says of leaving. Anything else in it may be used only if it is Current. */
    EntryOrder recordEntry(const UpstreamEntry &entry, std::int64_t nowMs);
    /**
     * Records that the entry of @p upstream was removed from the list. @p mayBeLost tells that the list may just have lost it. Returns whether its latest
     * lifetime is now known to leave.
     */
    bool recordRemoval(const std::string &upstream, bool mayBeLost, std::int64_t nowMs);
    /** Records that an answer of @p lifetime says that it leaves. Returns whether this daemon had not found that before. */
    bool recordAnswer(const UpstreamLifetime &lifetime, std::int64_t nowMs);
    /** Records what another daemon found. Returns whether the lifetime was not known to leave before. */
    bool recordReport(const Departure &departure, std::int64_t nowMs);

    /** Returns what told that @p lifetime, given as upstreamLifetime(), leaves, or std::nullopt if it is not known to leave at @p nowMs. */
    std::optional<DepartureSource> find(std::uint64_t lifetime, std::int64_t nowMs) const;
    /** Returns whether this daemon itself found that @p lifetime leaves. */
    bool foundHere(std::uint64_t lifetime) const;
    /** Returns whether the entry of @p lifetime was removed and has not been written again since. */
    bool isRemoved(std::uint64_t lifetime) const;
    /** Returns what suggests that @p lifetime has left, whether or not it counts. For logs. */
    DepartureAges ages(std::uint64_t lifetime, std::int64_t nowMs) const;
    /** Returns what this daemon itself found within the last @p withinMs, the latest first. */
    std::vector<Departure> recent(std::int64_t withinMs, std::int64_t nowMs) const;

private:
    struct Lifetime
    {
        std::string m_upstream;
        std::int64_t m_startedMs = 0;
        /** Of the latest entry that was Current. */
        std::int64_t m_writeNumber = -1;
        std::int64_t m_readMs = -1;
        /** The last write, in whatever order it was made, was carried out after this time; -1 if that is not known. */
        std::int64_t m_writtenAfterMs = -1;
        /** When its entry was found to be removed; negative while it is listed. */
        std::int64_t m_removedMs = -1;
        /** What told this daemon that it leaves, and when. */
        std::optional<DepartureSource> m_source;
        std::int64_t m_leavesSinceMs = -1;
        /** Another daemon reported that its entry or its answers say that it leaves. */
        bool m_isHeardLeaving = false;
        /** What another daemon reported last, and until when that counts. */
        DepartureSource m_heardSource = DepartureSource::Listed;
        std::int64_t m_heardUntilMs = -1;
    };

    struct RecentDeparture
    {
        std::uint64_t m_lifetime = 0;
        DepartureSource m_source = DepartureSource::Listed;
        std::int64_t m_foundMs = 0;
    };

    /** Returns how @p entry, of the lifetime with @p key, relates to what is known. */
    EntryOrder orderOf(const UpstreamEntry &entry, std::uint64_t key, std::int64_t nowMs) const;
    /** Records that this daemon found that a lifetime leaves. Returns whether it had not found that before. */
    bool recordDeparture(std::uint64_t lifetime, DepartureSource source, std::int64_t nowMs);
    void removeOld(std::int64_t nowMs);

    std::int64_t m_lapseMs = 3'600;
    std::unordered_map<std::uint64_t, Lifetime> m_lifetimes;
    /** The lifetime that wrote the latest entry of each upstream, by id. */
    std::unordered_map<std::string, std::uint64_t> m_latest;
    /** The last MaxRecent departures that this daemon found, the latest first. */
    std::deque<RecentDeparture> m_recent;
    std::int64_t m_removedOldMs = 0;
};
}
