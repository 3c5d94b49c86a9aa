#pragma once

#include "kernel/departures.h"
#include "kernel/enumnames.h"
#include "kernel/upstreams.h"

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedslip
{
/** Why an upstream gets no new requests now. */
enum class WithheldReason {
    /** It may get requests. */
    None,
    /** It has ended, although the list may still name it. */
    Ended,
    /** The list of upstreams says that it will stop. */
    Leaving,
    /** Its own answers say that it will stop. */
    SaysLeaving,
    /** Its entry was removed from the list although it had not been silent, which upstreams do that stop. */
    Removed,
    /** Its availability zone is out of service. */
    ZoneOutOfService,
    /** It turned a request away and said for how long it takes none. */
    TurnedAway,
    /** That time is over, and a first request shows whether it takes requests again. It gets another one only if no other upstream is available. */
    OnTrial,
    /** Its entry was removed and has come back, and it is being asked whether it leaves. */
    ListedAgain,
    /** It could not be reached, or answered that it is not open. */
    Unreachable,
    /** It has outstanding work but sends no events. */
    Silent,
    /** It refused a request because it was full. */
    Full,
    /** It is cold, and this daemon's share of its limit is used up. */
    Cold,
};

inline constexpr EnumNames<13> WithheldReasonNames{"none",
                                                   "ended",
                                                   "leaving",
                                                   "says-leaving",
                                                   "removed",
                                                   "zone-out-of-service",
                                                   "turned-away",
                                                   "on-trial",
                                                   "listed-again",
                                                   "unreachable",
                                                   "silent",
                                                   "full",
                                                   "cold"};

/** Whether an upstream is withheld, why, and until when. */
struct Withheld
{
    static constexpr std::int64_t NoKnownEnd = -1;

    WithheldReason m_reason = WithheldReason::None;
    /** When the upstream may get requests again, on the caller's clock in ms. */
    std::int64_t m_untilMs = NoKnownEnd;
};

/**
 * Decides whether an upstream may be sent a request now. It combines what the list says, what the upstream itself said in its answers, and how recent
 * requests to it ended. Used for engines, which are the heads of replicas, and for upstreams of plain services. Invariants:
 * - What an upstream said binds only the lifetime that said it. An answer of an earlier lifetime changes nothing.
 * - A lifetime that leaves, see Departures, gets no more requests, whatever the list says later.
 * - A lifetime that is known to have ended gets no more requests for EndedMs, whoever found it out and however, unless it answers after all.
 * - An upstream that said for how long it takes no requests gets none in that time.
 * Must be told of every change of the list. Memory: that of Departures, one record for each listed upstream, and for each one that was removed from the
 * list and is withheld. check() takes constant time, and so do the functions that record something, but for a search every 10 s.
 */
class UpstreamAvailability
{
public:
    /** Longest time for which an upstream is withheld because of one answer, in ms, whatever time the answer gives. */
    static constexpr std::int64_t MaxTurnedAwayMs = 3'600'000;
    /** A request on trial that has no answer after this time no longer holds others back, in ms. */
    static constexpr std::int64_t TrialMs = 500;
    /**
     * How long an upstream is withheld because it has ended, in ms: longer than its entry stays in the list. Not for ever, since an address may refuse
     * connections for another reason.
     */
    static constexpr std::int64_t EndedMs = 5'000;
    /** For records that apply whatever replica the upstream serves in. */
    static constexpr std::uint64_t AnyEpoch = 0;

    /** Sets after how long without a write the list drops an entry, in ms. */
    void setLapseMs(std::int64_t lapseMs);
    /**
     * Records an entry of the list. Another start time begins a new lifetime, of which nothing is known. An entry that is not Current must not be used
     * otherwise.
     */
    EntryOrder observe(const UpstreamEntry &entry, std::int64_t nowMs);
    /**
     * Records that the entry of @p upstream was removed from the list, where its removal may still be held back; @p mayBeLost tells that the list may just
     * have lost it. Returns whether the upstream is known to leave.
     */
    bool recordRemoval(const std::string &upstream, bool mayBeLost, std::int64_t nowMs);
    /** Records that @p upstream is no longer in the list. */
    void markUnlisted(const std::string &upstream, std::int64_t nowMs);
    void setZonesOutOfService(const std::set<std::string> &zones);

    /** Records that an answer of @p lifetime says that it will stop. Returns whether this daemon had not found that before. */
    bool recordLeaving(const UpstreamLifetime &lifetime, std::int64_t nowMs);
    /** What a report of another daemon concerns. */
    struct ReportedDeparture
    {
        /** The listed upstream whose lifetime leaves; empty if that lifetime is not listed. */
        std::string m_upstream;
        /** The lifetime was not known to leave before. */
        bool m_isNew = false;
    };
    /** Records a departure that another daemon found. The same report may arrive many times. */
    ReportedDeparture recordReport(const Departure &departure, std::int64_t nowMs);
    /**
     * Records that a lifetime, given as upstreamLifetime(), was found at @p observedMs to have ended. Does nothing if it is not the latest known one of its
     * upstream. Returns the upstream's id if that is new, otherwise an empty string. The same observation may arrive many times.
     */
    std::string recordEnded(std::uint64_t lifetime, std::int64_t observedMs, std::int64_t nowMs);
    /** Records that @p lifetime has answered after it was taken for ended. */
    void recordLives(const UpstreamLifetime &lifetime, std::int64_t nowMs);
    /** Records that @p lifetime turned a request away and takes none for @p forMs. Returns whether it was not withheld for that before. */
    bool recordTurnedAway(const UpstreamLifetime &lifetime, std::int64_t forMs, std::int64_t nowMs);
    /** Withholds @p upstream for @p forMs because of how a request ended, while it serves in the replica with @p epoch. */
    void withhold(const std::string &upstream, std::uint64_t epoch, WithheldReason reason, std::int64_t forMs, std::int64_t nowMs);
    /** Records that a request is sent to @p upstream. */
    void recordSend(const std::string &upstream, std::int64_t nowMs);
    /** Records that @p upstream accepted a request, which ends a trial. */
    void recordAccepted(const std::string &upstream);
    /** Ends that @p upstream is withheld as ListedAgain. */
    void endListedAgain(const std::string &upstream);
    /** Ends what withhold() began for @p upstream in the replica with @p epoch. */
    void endWithholding(const std::string &upstream, std::uint64_t epoch);

    /** Returns whether @p upstream, which serves in the replica with @p epoch, is withheld at @p nowMs. An unknown upstream is not. */
    Withheld check(const std::string &upstream, std::uint64_t epoch, std::int64_t nowMs) const;
    /** Returns the number of upstreams that are withheld at @p nowMs, by reason. Looks at each upstream. */
    std::array<std::uint64_t, WithheldReasonNames.size()> count(std::int64_t nowMs) const;
    /** Returns whether this daemon itself found that @p lifetime leaves. */
    bool isLeaving(const UpstreamLifetime &lifetime) const;
    /** Returns whether the entry of @p lifetime was removed and has not been written again since. */
    bool isRemoved(const UpstreamLifetime &lifetime) const;
    /** Returns what suggests that @p lifetime has left, whether or not it counts. For logs. */
    DepartureAges departureAges(const UpstreamLifetime &lifetime, std::int64_t nowMs) const;
    /** Returns the departures that this daemon found within the last @p withinMs, the latest first. */
    std::vector<Departure> recentDepartures(std::int64_t withinMs, std::int64_t nowMs) const;

private:
    struct Record
    {
        std::int64_t m_startedMs = 0;
        std::string m_availabilityZone;
        /** See upstreamLifetime(). */
        std::uint64_t m_lifetime = 0;
        /** When it was found to be no longer in the list; negative while it is listed. */
        std::int64_t m_unlistedMs = -1;
        /** When it was found to have ended; negative if it was not. */
        std::int64_t m_endedMs = -1;
        std::int64_t m_turnedAwayUntilMs = -1;
        /** It was turned away and has accepted no request since. */
        bool m_mustProve = false;
        /** Until then a request shows whether it takes requests again. */
        std::int64_t m_trialUntilMs = -1;
        /** Because of how a request ended, in the replica with m_epoch. */
        WithheldReason m_reason = WithheldReason::None;
        std::uint64_t m_epoch = AnyEpoch;
        std::int64_t m_untilMs = -1;
    };

    /** Returns the record of @p upstream, a new one if it is not known. */
    Record &recordOf(const std::string &upstream, std::int64_t nowMs);
    /** Returns the record of @p lifetime, or null if another lifetime of the upstream is known. */
    Record *recordOf(const UpstreamLifetime &lifetime, std::int64_t nowMs);
    /** Removes the records that are no longer needed. */
    void removeOld(std::int64_t nowMs);
    Withheld check(const Record &record, std::uint64_t epoch, std::int64_t nowMs) const;

    Departures m_departures;
    std::unordered_map<std::string, Record> m_records;
    /** The ids of the upstreams that are listed, by upstreamLifetime(). */
    std::unordered_map<std::uint64_t, std::string> m_listed;
    std::set<std::string> m_zonesOutOfService;
    std::int64_t m_removedOldMs = 0;
};

/** Collects why the upstreams that could serve a request are withheld. */
class Shortage
{
public:
    /** Adds one of the upstreams. */
    void add(const Withheld &withheld);
    /** Returns why the upstream that is available first is withheld. None if one of them is not withheld, or if no time is known for any. */
    Withheld first() const;

private:
    Withheld m_first;
    bool m_oneIsFree = false;
};

/**
 * Returns when a client should retry that would otherwise retry after @p waitMs together with all others: up to a quarter of that time later, at most
 * MaxReturnSpreadMs, so that they do not all return at once. @p random is uniform between 0 and 1.
 */
std::int64_t spreadReturnMs(std::int64_t waitMs, double random);
inline constexpr std::int64_t MaxReturnSpreadMs = 1'000;
}
