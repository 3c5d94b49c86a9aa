#pragma once

#include "kernel/enumnames.h"

#include <cstdint>
#include <vector>

namespace knapweedslip::soak
{
/** One kind of disruption. Daemons and upstreams are given by number, times in ms. */
enum class Disruption {
    /** Stops a daemon with SIGTERM, and with SIGKILL once its grace is over. */
    Stop,
    Kill,
    /** Suspends a daemon for a time. */
    Suspend,
    /** Sends SIGHUP. */
    Reload,
    StoreDown,
    /** Answers of the store are slow, and some are lost. */
    StoreTrouble,
    /** The store turns some of the daemons away. */
    StoreTurnsAway,
    StoreForgets,
    /** A new version of the configuration: routes move to other services, a key is withdrawn or comes back. */
    Configure,
    /** The processes of some upstreams are lost. */
    LoseUpstreams,
    /** Some upstreams spoil their answers, or answer orders late, for a time. */
    SpoilAnswers,
    /** Some upstreams say that they leave, then end. */
    UpstreamsLeave,
    /** An availability zone is taken out of service for a time. */
    EmptyZone,
};

inline constexpr EnumNames<13> DisruptionNames{"stop",
                                               "kill",
                                               "suspend",
                                               "reload",
                                               "store-down",
                                               "store-trouble",
                                               "store-turns-away",
                                               "store-forgets",
                                               "configure",
                                               "lose-upstreams",
                                               "spoil-answers",
                                               "upstreams-leave",
                                               "empty-zone"};

/** Returns whether a disruption is one of a daemon, and not of the store, the configuration or upstreams. */
bool concernsDaemon(Disruption kind);

struct SoakEvent
{
    std::int64_t m_atMs = 0;
    Disruption m_kind = Disruption::Stop;
    /** The daemon, the first upstream, or the zone. */
    int m_first = 0;
    /** Number of upstreams. */
    int m_count = 1;
    std::int64_t m_forMs = 0;
    /** Chooses among the variants of a kind. */
    std::uint64_t m_variant = 0;
};

struct SoakShape
{
    int m_daemons = 8;
    int m_upstreams = 30;
    int m_zones = 3;
    std::int64_t m_durationMs = 30'000;
};

/** Returns the disruptions of one run, by time: single ones and series, which may overlap. The same for the same arguments. */
std::vector<SoakEvent> planSoak(std::uint64_t seed, const SoakShape &shape);
}
