#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace knapweedslip
{
/** An upstream ended while a request ran on it, or the finding that the request was not the cause. */
struct CrashObservation
{
    /** See requestFingerprint(). */
    std::uint64_t m_request = 0;
    /** The upstream's lifetime, see upstreamLifetime(). */
    std::uint64_t m_upstream = 0;
    /** How long ago the upstream ended, or the finding was made, in ms. */
    std::int64_t m_ageMs = 0;
    /** The request has finished on an upstream since, so it does not end those that run it; or the upstream lives. */
    bool m_refuted = false;
    /** The upstream does not answer, and it is not known yet whether it has ended. */
    bool m_unconfirmed = false;
    /** How long before that the attempt at the request had ended, in ms: an end may be found out later. */
    std::int64_t m_lagMs = 0;
    /** How long before the end of the attempt the request had been sent, in ms. */
    std::int64_t m_runMs = 0;
};

/** What may be the cause when upstreams end under a request: the request itself, or a part of its prompt that other requests may share. */
struct CrashSuspects
{
    /** See requestFingerprint(). */
    std::uint64_t m_request = 0;
    /** Ids of parts, each once. */
    std::vector<std::uint64_t> m_parts;
};

/** The time that a request spent at an upstream, on the caller's clock. */
struct CrashRun
{
    std::int64_t m_sentMs = 0;
    std::int64_t m_endedMs = 0;
};

/** What is known of a request and the upstreams that ended under it. */
enum class CrashVerdict {
    /** The request may be sent. */
    MaySend,
    /**
     * Enough upstreams ended, but observations of other requests there may still be on their way. Ends after CrashLedger::SettleMs. Or enough ended if
     * those count that do not answer. Ends when it is known whether these ended, at the latest after CrashLedger::MaxUnconfirmedMs.
     */
    Undecided,
    /** The request ends the upstreams that run it. */
    Poison,
};

/** Identifies one lifetime of an upstream: an upstream that starts again under its id is another one. The same on every daemon. */
std::uint64_t upstreamLifetime(const std::string &id, std::int64_t startedMs);

/**
 * Returns the key by whose hash the upstream of a request is chosen after @p upstreams ended under it. It changes with each end: two requests that
 * prefer the same upstream once must not meet again whenever that is back.
 */
std::uint64_t partingKey(std::uint64_t request, int upstreams);

/**
 * Finds the requests that end every upstream which runs them, from what all daemons observed. An upstream that ends takes dozens of requests with
 * it, of which at most one is the cause, and the others must not be refused. So a request is poison when at least UpstreamsUntilPoison upstreams
 * ended under it and at one of those no other request is as suspicious: a request that was merely there has been at fewer ends than the cause.
 * Upstreams that are lost together take along a request that many callers send at the same time. So the ends must have come one after the other, or the
 * request must have been sent again after ends that came together, and have met another one.
 * From MaxUpstreams on, several requests that were at the same ends all count as poison. This is decided SettleMs after the last end, when the other
 * requests there are known; until then the request should wait. At a tie before MaxUpstreams it may be sent, so that the next end decides.
 * A request that finishes is cleared of all that happened before.
 *
 * The ledgers of all daemons hold sets of observations. Merging is a union in which a refuted observation stays refuted and a confirmed one confirmed,
 * so observations may arrive late, in any order, or more than once. A daemon publishes its own observations as a whole; nothing is lost with a message.
 *
 * Memory: at most MaxObservations of about 300 bytes, the oldest are dropped first; of its own a daemon publishes at most MaxOwn.
 */
class CrashLedger
{
public:
    static constexpr int UpstreamsUntilPoison = 3;
    static constexpr int MaxUpstreams = 6;
    /** Time in which the observations of an end reach every daemon through the store, in ms: it is written within 0.5 s and read within 1.2 s. */
    static constexpr std::int64_t SettleMs = 2'000;
    /** An end that is not confirmed within this time no longer counts, in ms: longer than an upstream that does not answer is checked. */
    static constexpr std::int64_t MaxUnconfirmedMs = 11'000;
    /** Observations older than this are dropped, in ms. */
    static constexpr std::int64_t RetentionMs = 10 * 60 * 1'000;
    static constexpr std::size_t MaxObservations = 16'384;
    static constexpr std::size_t MaxOwn = 256;

    /** Records this daemon's own observation that @p upstream ended under @p request, whose attempt there lasted as long as @p run. */
    void recordEnd(std::uint64_t request, std::uint64_t upstream, CrashRun run, std::int64_t nowMs);
    /** The same for an attempt that was as short as can be. */
    void recordEnd(std::uint64_t request, std::uint64_t upstream, std::int64_t nowMs);
    /** Records that @p upstream did not answer @p request and is being checked. Either recordEnd() or recordLives() should follow. */
    void recordUnconfirmed(std::uint64_t request, std::uint64_t upstream, CrashRun run, std::int64_t nowMs);
    /** Records that @p upstream, which did not answer @p request, lives. Does nothing if nothing was recorded of both. */
    void recordLives(std::uint64_t request, std::uint64_t upstream, std::int64_t nowMs);
    /** Records that @p request has finished: it did not end the upstreams that are known so far. Does nothing if none are. */
    void recordFinish(std::uint64_t request, std::int64_t nowMs);
    /** Merges observations of another daemon, or of an earlier process of this one, whose observations then are published again (@p own). */
    void merge(const std::vector<CrashObservation> &observations, bool own, std::int64_t nowMs);

    /** Returns the number of upstreams that ended under @p request, confirmed and not refuted. */
    int upstreamsEnded(std::uint64_t request) const;
    /**
     * Returns whether @p request may be sent to an upstream. Costs a lookup unless upstreams have ended under the request. After ends that came together
     * it remains undecided for @p trialDelayMs more, so that the daemons, each with another delay, do not send many copies before the first one has
     * finished or ended a further upstream.
     */
    CrashVerdict verdict(std::uint64_t request, std::int64_t nowMs, std::int64_t trialDelayMs = 0);
    /** Returns how long the oldest observation of @p request is still kept, in ms; 0 if there is none. */
    std::int64_t remainingMs(std::uint64_t request, std::int64_t nowMs) const;

    /** Returns the last @p maxCount own observations that are not older than @p maxAgeMs, the latest first. */
    std::vector<CrashObservation> ownObservations(std::size_t maxCount, std::int64_t maxAgeMs, std::int64_t nowMs) const;
    /** Returns a number that grows with each change of ownObservations() other than by age. */
    std::uint64_t ownVersion() const;
    /** Returns the number of observations. */
    std::size_t size() const;

private:
    using Key = std::pair<std::uint64_t, std::uint64_t>;
    struct Entry
    {
        std::int64_t m_observedMs = 0;
        bool m_refuted = false;
        bool m_unconfirmed = false;
        bool m_own = false;
        CrashRun m_run;
    };

    void store(const Key &key, Entry entry);
    void erase(const Key &key);
    void dropOldest();
    void dropExpired(std::int64_t nowMs);
    /** Returns the most of these ends of which each came before the request was sent to the next upstream. */
    int successiveEnds(std::uint64_t request) const;
    /** Returns the number of upstreams that may have ended under @p request, as far as this is neither confirmed nor too long ago. */
    int unconfirmedEnds(std::uint64_t request, std::int64_t nowMs) const;
    bool isMostSuspiciousAt(std::uint64_t request, std::uint64_t upstream, int upstreams) const;

    /** Observations by request and upstream. */
    std::map<Key, Entry> m_entries;
    /** Requests under which each upstream ended. */
    std::map<std::uint64_t, std::set<std::uint64_t>> m_requestsAt;
    /** The observations by age, oldest first; the own ones also in m_ownByAge. */
    std::set<std::pair<std::int64_t, Key>> m_byAge;
    std::set<std::pair<std::int64_t, Key>> m_ownByAge;
    std::uint64_t m_ownVersion = 0;
};
}
