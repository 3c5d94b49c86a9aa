#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace knapweedslip
{
/**
 * The daemons that divide a limit on the events of any window of time among them, as one of them sees them. Each daemon decides alone, from the
 * registrations in the store, which part of the limit is its own. The parts of all daemons never add up to more than the limit in any
 * window, although the daemons learn of changes at different times, because
 * - a daemon uses its share only while its view is at most the maximum age old and contains the daemon itself;
 * - a daemon that has just been listed uses its share only when every view that is still used contains it, and a window has passed since the
 *   other daemons last decided without it;
 * - a daemon that is no longer listed is counted until no view that is still used contains it, and a window longer.
 * So everyone who used a share within a window was counted by everyone else who did. A process that starts again has forgotten what it used;
 * it waits like a new daemon. What this costs: shares stay unused for the maximum age and a window after each change.
 *
 * Time must go on while the process is suspended. Memory: one entry for each daemon, and one for each removal of the last seconds.
 */
class SharedLimitMembers
{
public:
    /** The usual maximum age of a view with which a daemon uses its share, in ms. Store updates through another daemon are confirmed every 1.2 s. */
    static constexpr std::int64_t DefaultMaxViewAgeMs = 2'000;

    /**
     * @param self name of this daemon.
     * @param windowMs length of the window that the limit is for.
     * @param maxViewAgeMs maximum age of a view with which this daemon uses its share; the same for all daemons.
     */
    SharedLimitMembers(std::string self, std::int64_t windowMs, std::int64_t maxViewAgeMs = DefaultMaxViewAgeMs);

    /** Records that @p daemon is registered. */
    void add(const std::string &daemon, std::int64_t nowMs);
    /** Records that the registration of @p daemon has ended. */
    void remove(const std::string &daemon, std::int64_t nowMs);
    /** Records that this daemon gives up its registration. It never uses its share again. */
    void withdraw();

    /**
     * Returns whether this daemon's view is current and contains the daemon, so that the others count it or will soon. @p viewMs is the time as of
     * which add() and remove() reported everything; negative if unknown.
     */
    bool isCurrent(std::int64_t viewMs, std::int64_t nowMs) const;
    /** Returns whether the view is current and all other daemons have counted this one for long enough. */
    bool mayUseShare(std::int64_t viewMs, std::int64_t nowMs) const;
    /** Returns the number of daemons to divide by. */
    int count(std::int64_t nowMs);
    /**
     * Returns this daemon's part of @p limit events, a whole number. The parts of all daemons add up to @p limit. Daemons in the order of their
     * rendezvous weights for @p key get one more than the others, or one at all. Computes a hash for each daemon.
     */
    std::int64_t share(std::int64_t limit, std::string_view key, std::int64_t nowMs);
    /** Returns a number that changes whenever the result of count() or share() may have changed. */
    std::uint64_t version(std::int64_t nowMs);

private:
    /** Forgets daemons that need no longer be counted. */
    void removeExpired(std::int64_t nowMs);

    std::string m_self;
    std::int64_t m_windowMs;
    std::int64_t m_maxViewAgeMs;
    /** The daemons to be counted, with the time until which a daemon that is no longer listed is counted; -1 for one that is listed. */
    std::map<std::string, std::int64_t> m_countedUntilMs;
    /** Since when this daemon is listed without interruption; -1 if it is not. */
    std::int64_t m_listedSinceMs = -1;
    bool m_withdrawn = false;
    std::uint64_t m_version = 0;
    /** Removed daemons with the time until which they are counted, in this order; a daemon that was added again stays here. */
    std::deque<std::pair<std::int64_t, std::string>> m_removed;
};
}
