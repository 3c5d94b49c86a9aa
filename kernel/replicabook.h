#pragma once

#include "kernel/callconfig.h"
#include "kernel/steptime.h"
#include "kernel/upstreams.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedslip
{
/** A generation on its way through this gateway, as the book counts it. */
struct BookedStream
{
    ReplicaRef m_replica;
    std::int64_t m_promptTokens = 0;
    std::int64_t m_sentMs = 0;
    /** When its first event is expected. */
    std::int64_t m_expectedMs = 0;
    std::int64_t m_lastEventMs = -1;
    bool m_writing = false;
};

/** What other gateways say they have on one serving group, and the last work they saw from it. */
struct PeerLoad
{
    ReplicaLoad m_load;
    std::int64_t m_progressMs = -1;
};

/** One serving group as a gateway sees it. */
struct BookedReplica
{
    ReplicaRef m_ref;
    std::string m_model;
    std::string m_head;
    std::string m_address;
    std::string m_availabilityZone;
    /** Every member is listed, the head is open, nothing speaks against new work. */
    bool m_usable = false;
    std::int64_t m_coldUntilMs = 0;

    ReplicaLoad m_own;
    ReplicaLoad m_peers;
    /** Last event of any stream of this gateway, and of any other. */
    std::int64_t m_progressMs = -1;
    std::int64_t m_peerProgressMs = -1;
    /** It shows no work here though it should. */
    bool m_silent = false;
    /** No new work until then: it was silent, or said that it was full or not open. */
    std::int64_t m_avoidUntilMs = -1;
    /** Doubts in a row without any work in between. */
    int m_doubts = 0;
    /** Time between events against what the published timing expects; 1 when as published. */
    double m_slowness = 1.0;
};

/** Intervals and factors of the book. */
struct BookSettings
{
    /** Silence beyond the longest pause of a working group that is taken for a stall, in ms: events cross zones and wait for a processor. */
    std::int64_t m_silenceSlackMs = 40;
    /** Longest pauses of a working group that a single stream may stop for before it goes on elsewhere. */
    double m_stuckPauses = 3.0;
    /**
     * A stream that has shown nothing yet, and that no later one has overtaken, goes on elsewhere no sooner than this, in ms: a queue that is longer
     * than expected looks the same as a lost answer. Clients leave after 2 s without an event (client interface).
     */
    std::int64_t m_stuckWaitingMs = 1'400;
    /** A silent group gets no new work for this long, doubled with each doubt in a row, in ms: a broken group is formed anew in less. */
    std::int64_t m_avoidMs = 1'000;
    /** A group that refused work as full is avoided for about one pass, in ms. */
    std::int64_t m_fullMs = 60;
    /** Time that crossing to another availability zone is taken to cost, in ms: keeps work at home unless the difference is larger. */
    double m_crossZoneMs = 4.0;
};

/**
 * The serving groups of one engine service as one gateway believes them, what runs there, and where the next request goes. Choosing costs one
 * prediction for each group of the model.
 */
class ReplicaBook
{
public:
    explicit ReplicaBook(const BookSettings &settings = {});

    void setService(const CallService &service);
    /**
     * Draws at random among the groups whose first event is expected about as soon. Where many gateways see loads that are some passes old, all
     * of them would send to the same group until they hear of it.
     */
    void setSpread(bool spread);
    /** Takes the groups that can be used now; what is known about those that stay is kept. */
    void setReplicas(const std::vector<BookedReplica> &replicas);
    /** @p loads is what the other gateways have, by epoch. */
    void setPeerLoads(const std::map<std::uint64_t, PeerLoad> &loads);

    /**
     * The group on which @p promptTokens of @p model give their first event soonest, or nothing. Groups in @p excluded are left out.
     * @p mayStart decides about a cold group.
     */
    const BookedReplica *
    choose(const std::string &model, std::int64_t promptTokens, const std::string &ownZone, const std::set<ReplicaRef> &excluded, std::int64_t nowMs);
    /** Expected time to the first event on @p replica. */
    double expectedMs(const BookedReplica &replica, std::int64_t promptTokens) const;

    /** A request was sent; returns the number to call the others with. */
    std::uint64_t begin(const BookedReplica &replica, std::int64_t promptTokens, std::int64_t nowMs);
    /** An event (or several) of it came. */
    void event(std::uint64_t stream, int events, std::int64_t nowMs);
    void end(std::uint64_t stream);

    /** Groups that should show work but show none for longer than any working group can: their streams are to go on elsewhere. */
    std::vector<ReplicaRef> findSilent(std::int64_t nowMs);
    /**
     * Streams that have stopped though their group works: their answer or connection was lost. The limits are several times what a working
     * group can take, since reading a prompt elsewhere once more costs everyone there.
     */
    std::vector<std::uint64_t> findStuck(std::int64_t nowMs) const;
    void avoid(const ReplicaRef &replica, std::int64_t nowMs, std::int64_t forMs);
    /** It said that it is full. */
    void full(const ReplicaRef &replica, std::int64_t nowMs);

    const std::map<ReplicaRef, BookedReplica> &replicas() const;
    const BookedReplica *find(const ReplicaRef &replica) const;
    const std::unordered_map<std::uint64_t, BookedStream> &streams() const;

private:
    double paceOf(const BookedReplica &replica) const;

    BookSettings m_settings;
    bool m_spread = false;
    std::mt19937 m_random;
    CallService m_service;
    std::map<ReplicaRef, BookedReplica> m_replicas;
    std::unordered_map<std::uint64_t, BookedStream> m_streams;
    std::uint64_t m_nextStream = 1;
};
}
