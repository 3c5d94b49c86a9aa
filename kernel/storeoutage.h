#pragma once

#include <cstdint>
#include <vector>

namespace knapweedslip
{
/**
 * Tells whether the store was away for all, or only did not answer this daemon. While it is away for all, upstreams cannot report to it and it may drop the
 * entries of upstreams that live; otherwise what it removed is gone. The store was away if none of the daemons had an answer from it for some time.
 *
 * That nothing is heard of other daemons proves nothing: this daemon may have been cut off from them, or they may have stopped to send to it. So a daemon does
 * not tell only that it has an answer now, but also since when it has had them, and what it says later corrects what was concluded before.
 *
 * Times are of the local clock, in ms; a proof is the time at which a call to the store was sent that it answered. Memory: the last MaxOutages outages.
 */
class StoreOutage
{
public:
    /** @param minMs shortest time without an answer that counts as an outage. */
    explicit StoreOutage(std::int64_t minMs);

    /** Records that the store stopped answering this daemon. Does nothing if it already had. */
    void begin();
    /** Records a proof of this daemon. */
    void recordProof(std::int64_t provenMs);
    /** Records that another daemon had answers from @p sinceMs to @p provenMs, see answeredSinceMs(). */
    void recordAnswers(std::int64_t sinceMs, std::int64_t provenMs, std::int64_t nowMs);
    /** Records that the store answers this daemon again at @p nowMs. Returns the longest time for which no daemon is known to have had an answer since begin().
     */
    std::int64_t end(std::int64_t nowMs);
    bool isOver() const;

    /** Returns since when the store has not failed to answer this daemon for minMs; negative if there is no proof since it last did. */
    std::int64_t answeredSinceMs() const;
    /** Returns when the store was found to answer again after the latest outage for all, as far as is known now; negative if there was none. */
    std::int64_t recoveredMs() const;

private:
    static constexpr std::size_t MaxOutages = 16;

    /** A time without an answer to any daemon. */
    struct Outage
    {
        std::int64_t m_fromMs = 0;
        std::int64_t m_toMs = 0;
        /** When its end was found out. */
        std::int64_t m_foundMs = 0;
    };

    /** Moves the latest known proof of any daemon to @p provenMs. */
    void advance(std::int64_t provenMs, std::int64_t nowMs);
    /** Must be called before the first proof after an outage of this daemon is recorded. */
    void breakOwnAnswers(std::int64_t nowMs);

    std::int64_t m_minMs;
    bool m_isOver = true;
    /** The latest proof of any daemon, and the latest of this one with the beginning of its series; negative if there was none. */
    std::int64_t m_provenMs = -1;
    std::int64_t m_ownProofMs = -1;
    std::int64_t m_ownSinceMs = -1;
    /** Longest time between two proofs of any daemon since begin(). */
    std::int64_t m_longestMs = 0;
    std::vector<Outage> m_outages;
};
}
