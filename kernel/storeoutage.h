#pragma once

#include <cstdint>

namespace knapweedslip
{
/**
 * Tells whether the store was away for all, or only turned this daemon away. While it is away for all, upstreams cannot report to it and it may drop entries of
 * upstreams that live; otherwise what it removed is gone. The store was away if none of the daemons had an answer from it for some time. Times are of the local
 * clock, in ms; a proof is the time at which a call to the store was sent that it answered.
 */
class StoreOutage
{
public:
    /** Records that the store stopped answering this daemon. Does nothing if it already had. */
    void begin();
    /** Records a proof of this daemon or of another one. */
    void recordProof(std::int64_t provenMs);
    /** Records that the store answers this daemon again at @p nowMs. Returns the longest time for which no daemon had an answer since begin(). */
    std::int64_t end(std::int64_t nowMs);
    bool isOver() const;

private:
    bool m_isOver = true;
    /** The latest proof; negative if there was none. */
    std::int64_t m_provenMs = -1;
    /** Longest time between two proofs since begin(). */
    std::int64_t m_longestMs = 0;
};
}
