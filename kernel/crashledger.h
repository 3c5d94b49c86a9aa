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
/** What may be the cause when upstreams end under a request: the request itself, or a part of its prompt, which other requests may have too. */
struct CrashSuspects
{
    CrashSuspects() = default;
    /** A request without parts. */
    CrashSuspects(std::uint64_t request)
        : m_request(request)
    {
    }
    CrashSuspects(std::uint64_t request, std::vector<std::uint64_t> parts)
        : m_request(request)
        , m_parts(std::move(parts))
    {
    }

    /** See requestFingerprint(). */
    std::uint64_t m_request = 0;
    /** Ids of parts, each once. */
    std::vector<std::uint64_t> m_parts;
};

/** An upstream ended while a request with this suspect ran on it, or the finding that the suspect was not the cause. */
struct CrashObservation
{
    /** A fingerprint or the id of a part, see CrashSuspects. */
    std::uint64_t m_suspect = 0;
    /** The upstream's lifetime, see upstreamLifetime(). */
    std::uint64_t m_upstream = 0;
    /** How long ago the upstream ended, or the finding was made, in ms. */
    std::int64_t m_ageMs = 0;
    /** A request with the suspect has survived on an upstream since, so it does not end those that run it; or the upstream lives. */
    bool m_refuted = false;
    /** The upstream does not answer, and it is not known yet whether it has ended. */
    bool m_unconfirmed = false;
    /** How long before that the attempt at the request had ended, in ms: an end may be found out later. */
    std::int64_t m_lagMs = 0;
    /** How long before the end of the attempt the request had been sent, in ms. */
    std::int64_t m_runMs = 0;
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
     * The request would be poison, but observations of others may still be on their way. Ends after CrashLedger::SettleMs. Or it would be if upstreams count
     * that do not answer. Ends when it is known whether these ended, at the latest after CrashLedger::MaxUnconfirmedMs.
     */
    Undecided,
    /** The request, or a part of its prompt, ends the upstreams that run it. */
    Poison,
};

/** A verdict and the suspect that it is due to. */
struct CrashFinding
{
    CrashVerdict m_verdict = CrashVerdict::MaySend;
    /** A fingerprint or the id of a part; 0 if the request may be sent. */
    std::uint64_t m_suspect = 0;
    bool m_isPart = false;
    /** The upstreams that ended under the suspect. */
    int m_upstreams = 0;
};

/** Identifies one lifetime of an upstream: an upstream that starts again under its id is another one. The same on every daemon. */
std::uint64_t upstreamLifetime(const std::string &id, std::int64_t startedMs);

/**
 * Returns the key by whose hash the upstream of a request is chosen after @p upstreams ended under it. It changes with each end: two requests that
 * prefer the same upstream once must not meet again whenever that is back.
 */
std::uint64_t partingKey(std::uint64_t request, int upstreams);

/**
 * Finds the requests, and the parts of prompts, that end every upstream which runs them, from what all daemons observed. An upstream that ends takes dozens
 * of requests with it, of which at most one is the cause, and the others must not be refused. All suspects are in one account, so that each can be weighed
 * against all that were there.
 *
 * A suspect is cleared of all that happened before when a request with it finishes or runs for longer than an upstream needs to end under it. So a part
 * that many requests share is cleared within moments, and the cause never is.
 *
 * An end is explained by another suspect that was there, that the judged request does not have, and that is at as many ends or more. A request is refused
 * for a part of its prompt when PartEndsUntilPoison ends under the part, at different moments and not all while the same copies ran, are not explained. So
 * requests that share other parts with the bad ones are not refused: the cause explains all of their ends. Two parts that always come together cannot be told
 * apart, and need not be: only requests with both are refused. Parts that are at the same ends in different requests go on until one of them survives or is
 * at an end without the other.
 *
 * A request is refused for itself when at least UpstreamsUntilPoison upstreams ended under it and one of these ends is not explained. At a tie before
 * MaxUpstreams it may be sent, so that the next end decides; from MaxUpstreams on, several requests that were at the same ends all count as poison.
 * Upstreams that are lost together take along a request that many callers send at the same time. So the ends must have come one after the other, or the
 * request must have been sent again after ends that came together, and have met another one.
 *
 * Both are decided SettleMs after the last end, when the other suspects there are known; until then the request should wait.
 *
 * The ledgers of all daemons hold sets of observations. Merging is a union in which a refuted observation stays refuted and a confirmed one confirmed,
 * so observations may arrive late, in any order, or more than once. A daemon publishes its own observations as a whole; nothing is lost with a message.
 *
 * Memory: at most MaxObservations of about 400 bytes, the oldest refuted ones are dropped first; of its own a daemon publishes at most MaxOwn. A verdict
 * costs a lookup for each suspect unless upstreams have ended under it, and then looks at MaxExaminedEnds ends.
 */
class CrashLedger
{
public:
    static constexpr int UpstreamsUntilPoison = 3;
    static constexpr int MaxUpstreams = 6;
    /** A part is in many more requests than its own, so that chance brings it to more ends. */
    static constexpr int PartEndsUntilPoison = 5;
    /** Ends closer to each other than this are one moment, in ms: broken connections show within it to all daemons. */
    static constexpr std::int64_t MomentMs = 25;
    static constexpr std::size_t MaxExaminedEnds = 64;
    /** Time in which the observations of an end reach every daemon through the store, in ms: it is written within 0.5 s and read within 1.2 s. */
    static constexpr std::int64_t SettleMs = 2'000;
    /** An end that is not confirmed within this time no longer counts, in ms: longer than an upstream that does not answer is checked. */
    static constexpr std::int64_t MaxUnconfirmedMs = 11'000;
    /** Observations older than this are dropped, in ms. */
    static constexpr std::int64_t RetentionMs = 10 * 60 * 1'000;
    static constexpr std::size_t MaxObservations = 16'384;
    static constexpr std::size_t MaxOwn = 256;

    /** Records this daemon's own observation that @p upstream ended under a request, whose attempt there lasted as long as @p run. */
    void recordEnd(const CrashSuspects &request, std::uint64_t upstream, CrashRun run, std::int64_t nowMs);
    /** The same for an attempt that was as short as can be. */
    void recordEnd(const CrashSuspects &request, std::uint64_t upstream, std::int64_t nowMs);
    /** Records that @p upstream did not answer a request and is being checked. Either recordEnd() or recordLives() should follow. */
    void recordUnconfirmed(const CrashSuspects &request, std::uint64_t upstream, CrashRun run, std::int64_t nowMs);
    /** Records that @p upstream, which did not answer a request, lives. Does nothing if nothing was recorded of both. */
    void recordLives(const CrashSuspects &request, std::uint64_t upstream, std::int64_t nowMs);
    /**
     * Records that a request has finished, or has run for longer than an upstream needs to end under it: none of its suspects ended the upstreams that are
     * known so far. Does nothing, and costs a lookup for each suspect, if none are.
     */
    void recordSurvived(const CrashSuspects &request, std::int64_t nowMs);
    /** Merges observations of another daemon, or of an earlier process of this one, whose observations then are published again (@p own). */
    void merge(const std::vector<CrashObservation> &observations, bool own, std::int64_t nowMs);

    /** Returns the number of upstreams that ended under @p suspect, confirmed and not refuted. */
    int upstreamsEnded(std::uint64_t suspect) const;
    /**
     * Returns whether a request may be sent to an upstream, and why not. After ends that came together a request remains undecided for @p trialDelayMs more, so
     * that the daemons, each with another delay, do not send many copies before the first one has finished or ended a further upstream.
     */
    CrashFinding judge(const CrashSuspects &request, std::int64_t nowMs, std::int64_t trialDelayMs = 0);
    /** Returns the verdict of judge() alone. */
    CrashVerdict verdict(const CrashSuspects &request, std::int64_t nowMs, std::int64_t trialDelayMs = 0);
    /** Returns how long @p finding can last, in ms: until too few ends under its suspect are kept. 0 if the request may be sent. */
    std::int64_t remainingMs(const CrashFinding &finding, std::int64_t nowMs) const;

    /** Returns the last @p maxCount own observations that are not older than @p maxAgeMs, the latest first. */
    std::vector<CrashObservation> ownObservations(std::size_t maxCount, std::int64_t maxAgeMs, std::int64_t nowMs) const;
    /** Returns a number that grows with each change of ownObservations() other than by age. */
    std::uint64_t ownVersion() const;
    /** Returns the number of observations. */
    std::size_t size() const;

private:
    /** A suspect and an upstream. */
    using Key = std::pair<std::uint64_t, std::uint64_t>;
    using KeysByAge = std::set<std::pair<std::int64_t, Key>>;
    struct Entry
    {
        std::int64_t m_observedMs = 0;
        bool m_refuted = false;
        bool m_unconfirmed = false;
        bool m_own = false;
        CrashRun m_run;
    };
    struct Suspect
    {
        /** By upstream. */
        std::map<std::uint64_t, Entry> m_entries;
        /** The upstreams whose entry is not refuted. */
        std::set<std::uint64_t> m_open;
        /** The number of these that have ended. */
        int m_ended = 0;
    };
    /** Which ends count. */
    enum class Counted {
        Confirmed,
        /** Also those of upstreams that have not answered for at most MaxUnconfirmedMs. */
        Suspected,
    };

    void store(const Key &key, Entry entry);
    void erase(const Key &key);
    void dropOldest();
    void dropExpired(std::int64_t nowMs);
    const Suspect *find(std::uint64_t suspect) const;

    // In crashverdict.cpp.
    CrashFinding judgeRequest(const CrashSuspects &request, std::int64_t nowMs, std::int64_t trialDelayMs) const;
    CrashFinding judgePart(std::uint64_t part, const CrashSuspects &request, std::int64_t nowMs) const;
    /** Returns whether another suspect explains the end of @p upstream: one that @p request does not have, that was not cleared since, and that is at @p ends
     * ends or more. */
    bool isExplained(const CrashSuspects &request, std::uint64_t upstream, int ends, Counted counted) const;
    int countEnds(std::uint64_t suspect, Counted counted) const;
    std::vector<CrashRun> unexplainedRuns(std::uint64_t part, const CrashSuspects &request, Counted counted, std::int64_t nowMs) const;

    std::map<std::uint64_t, Suspect> m_suspects;
    /** Suspects that were there when each upstream ended. */
    std::map<std::uint64_t, std::set<std::uint64_t>> m_suspectsAt;
    /** All observations by age, oldest first; the refuted ones and the own ones also by themselves. */
    KeysByAge m_byAge;
    KeysByAge m_refutedByAge;
    KeysByAge m_ownByAge;
    std::uint64_t m_ownVersion = 0;
};
}
