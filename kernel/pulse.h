#pragma once

#include "kernel/replicabook.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace knapweedslip
{
/** What one daemon has on one serving group; its epoch names the group. */
struct GroupPulse
{
    std::uint64_t m_epoch = 0;
    ReplicaLoad m_load;
    /** Age of the last work seen from it, in ms; negative: none was seen. */
    std::int64_t m_progressAgeMs = -1;
    /** It shows no work though it should. */
    bool m_silent = false;
};

/** What a daemon tells the others, many times a second. */
struct DaemonPulse
{
    std::string m_sender;
    /** Grows with each pulse of one life of the sender; later pulses supersede earlier ones. */
    std::uint64_t m_number = 0;
    /** It has seen requests of clients. */
    bool m_serving = false;
    std::vector<GroupPulse> m_groups;
};

/** What the other daemons have on the serving groups, together. */
struct PeerView
{
    std::map<std::uint64_t, PeerLoad> m_loads;
    /** Groups that a daemon finds silent, by epoch. */
    std::vector<std::uint64_t> m_silent;
    bool m_serving = false;
};

/** Keeps the last pulse of each daemon. Memory: one pulse for each daemon heard of lately. */
class PulseBook
{
public:
    /** A daemon that was not heard for this long no longer counts, in ms: a pulse or two may be lost, also where they are rare. */
    static constexpr std::int64_t LifeMs = 1'200;

    void take(const DaemonPulse &pulse, std::int64_t nowMs);
    PeerView view(std::int64_t nowMs) const;
    /** Daemons heard within LifeMs. */
    int heard(std::int64_t nowMs) const;

private:
    struct Held
    {
        DaemonPulse m_pulse;
        std::int64_t m_receivedMs = 0;
    };

    std::map<std::string, Held> m_held;
};

/** The pulse of a daemon with @p book, as of @p nowMs. */
DaemonPulse makePulse(const std::string &sender, std::uint64_t number, bool serving, const ReplicaBook &book, std::int64_t nowMs);
}
