#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace knapweedslip
{
/** The properties of a daemon by which tasks are assigned to the largest daemon. */
struct DaemonSize
{
    std::string m_availabilityZone;
    /** Fraction of a processor that the daemon may use. */
    double m_cpuShare = 0.0;
};

/** Daemons that did not respond or lacked changes that the store has, with the local time in ms until which they are not asked again. */
using FailedSources = std::map<std::string, std::int64_t>;

/** The inputs to the choice of a source of store updates. */
struct UpdateSourceView
{
    /** Name of this daemon. */
    std::string m_self;
    std::string m_availabilityZone;
    /** Whether this daemon is the leader, which reconciles the replicas and therefore needs the updates from the store itself. */
    bool m_isLeader = false;
    /** All daemons by name; this one may be missing. */
    std::map<std::string, DaemonSize> m_daemons;
    FailedSources m_failed;
};

/** Up to this many daemons each watch the store themselves. That uses at most a tenth of the read rate that the operators set for the store. */
inline constexpr std::size_t MaxSmallDeployment = 16;

/**
 * Returns whether daemon @p a ranks before daemon @p b for @p task: the larger one does, and the rendezvous weight decides if they are equal.
 * All daemons compute the same result.
 */
bool ranksBefore(const std::string &task, const std::string &a, const DaemonSize &sizeOfA, const std::string &b, const DaemonSize &sizeOfB);

/** Where a daemon gets the store updates from. */
struct UpdateSourceChoice
{
    /** Name of the daemon to ask, or empty for the store itself. */
    std::string m_source;
    /** Whether this daemon watches the store for the others in its availability zone as well. */
    bool m_watchesForZone = false;
};

/**
 * Chooses the daemon to get store updates from, or the store itself. One daemon of each availability zone watches the store for the
 * others there. A daemon that finds it failing asks the next one, and then the store.
 */
UpdateSourceChoice chooseUpdateSource(const UpdateSourceView &view, std::int64_t nowMs);
}
