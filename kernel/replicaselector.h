#pragma once

#include "kernel/callconfig.h"
#include "kernel/firsteventbias.h"
#include "kernel/latencymodel.h"
#include "kernel/upstreamavailability.h"
#include "kernel/upstreams.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedslip
{
/** A generation request that this gateway has sent to a replica and that has not ended. */
struct TrackedStream
{
    ReplicaRef m_replica;
    std::int64_t m_promptTokens = 0;
    /** Tokens of memory that the request needs: its prompt and its expected answer. */
    std::int64_t m_memoryTokens = 0;
    /** 0 is the most urgent. */
    int m_priority = 0;
    /** Time to the first event as the published timing predicts it, without the learned bias, in ms. */
    double m_predictedMs = 0.0;
    /** The replica was so busy that the request may have waited for a slot. */
    bool m_mayWaitForSlot = false;
    std::int64_t m_sentMs = 0;
    /** Time at which the first event was expected when the request was sent. */
    std::int64_t m_expectedMs = 0;
    /** Time of the last event; -1 before the first one. */
    std::int64_t m_lastEventMs = -1;
    /** True from the first event on, when the prefill is done. */
    bool m_decoding = false;
};

/** What is known of a generation request besides its prompt. */
struct StreamDetails
{
    /** Expected length of the answer. */
    std::int64_t m_answerTokens = 0;
    /** 0 is the most urgent: replicas take more urgent requests first. */
    int m_priority = 0;
};

/** Requests that the usable replicas of one model run, and how many they can run on time. */
struct ModelOccupancy
{
    int m_replicas = 0;
    /** Sum over the replicas of the reciprocal of their slowness: a replica that is twice as slow counts half. */
    double m_fullSpeedReplicas = 0.0;
    double m_inFlight = 0.0;
};

/** Load that the other gateways together report for one replica, and when any of them last received an event from it. */
struct PeerLoad
{
    ReplicaLoad m_load;
    std::int64_t m_progressMs = -1;
};

/** State of one replica (serving group) as seen by one gateway. */
struct TrackedReplica
{
    ReplicaRef m_ref;
    std::string m_model;
    std::string m_head;
    std::string m_address;
    std::string m_availabilityZone;
    /** Every member is listed, and the head is open. */
    bool m_listed = false;
    std::int64_t m_coldUntilMs = 0;

    /** Load sent by this gateway. */
    ReplicaLoad m_ownLoad;
    /** Load sent by the other gateways, from their load reports. */
    ReplicaLoad m_peerLoad;
    /** Time of the last event of any stream of this gateway; -1 if there was none. */
    std::int64_t m_progressMs = -1;
    /** The same for the streams of the other gateways. */
    std::int64_t m_peerProgressMs = -1;
    /** Has outstanding work but has sent no event for longer than a working replica can take. */
    bool m_silent = false;
    /** Times it became silent in a row, without an event in between. */
    int m_consecutiveSilences = 0;
    /** Ratio of the measured time between events to the time that the published timing predicts; 1 if it is as published. */
    double m_slowness = 1.0;
};

/** A generation request that needs a replica. */
struct ReplicaQuery
{
    std::string m_model;
    std::int64_t m_promptTokens = 0;
    /** Availability zone of this daemon. */
    std::string m_ownZone;
    /** The request is not sent if its first event is expected later than this, in ms. */
    double m_maxExpectedMs = std::numeric_limits<double>::infinity();
    /**
     * Upstreams ended under the request, or under others that ran beside it: the replica is chosen by the hash of this key instead of by load, so that
     * those requests part and the cause becomes known.
     */
    std::optional<std::uint64_t> m_partByKey = std::nullopt;
    /**
     * Returns whether this daemon has an idle connection to the head of a replica. Of several replicas that are about as good, one of those is chosen: a new
     * connection takes a round trip, and engines accept only so many from all daemons. Empty: connections do not matter.
     */
    std::function<bool(const TrackedReplica &)> m_isConnected = nullptr;
    /** Expected length of the answer. */
    std::int64_t m_answerTokens = 0;
};

/** Time limits and cost factors of ReplicaSelector. */
struct ReplicaSelectorSettings
{
    /**
     * Added to the longest pause of a working replica before the replica counts as silent, in ms: events are delayed between availability zones
     * and while they wait for a CPU.
     */
    std::int64_t m_silenceToleranceMs = 40;
    /** A single stream without events is moved to another replica after this many times the longest pause of a working replica. */
    double m_stuckAfterPauses = 3.0;
    /**
     * A stream that has had no event and was not overtaken by a later stream is not moved before this time, in ms, since a longer queue than
     * expected looks the same as a lost answer. Clients disconnect after 2 s without an event (client interface).
     */
    std::int64_t m_stuckAfterWaitMs = 1'400;
    /**
     * A silent replica gets no new requests for this long, in ms, doubled each time it becomes silent again without an event in between. A broken
     * replica is replaced in less time.
     */
    std::int64_t m_avoidSilentMs = 1'000;
    /** Cost added to replicas in other availability zones, in ms: requests stay in their own zone unless the difference is larger. */
    double m_crossZoneMs = 4.0;
};

/**
 * Tracks the load and the progress of the replicas of one engine service as seen by one gateway, and chooses the replica for the next request.
 * Choosing takes one prediction for each replica of the model.
 */
class ReplicaSelector
{
public:
    explicit ReplicaSelector(const ReplicaSelectorSettings &settings = {});

    void setService(const CallService &service);
    /**
     * If @p randomize is true, choose() draws at random among the replicas whose expected time is close to the shortest. Otherwise many gateways whose
     * view of the load is some passes old would all send to the same replica until the next load reports arrive.
     */
    void setRandomizeNearBest(bool randomize);
    /** Replaces the list of replicas. Load and progress of the replicas that stay are kept. */
    void setReplicas(const std::vector<TrackedReplica> &replicas);
    /** Sets the load that the other gateways report, by epoch of the replica. */
    void setPeerLoads(const std::map<std::uint64_t, PeerLoad> &loads);

    /**
     * Returns the replica that is expected to send the first event for @p query soonest, or null if no replica can be used. Leaves out the replicas in
     * @p excluded and those whose heads @p availability withholds at @p nowMs. Ignores m_maxExpectedMs and m_partByKey.
     */
    const TrackedReplica *choose(const UpstreamAvailability &availability, const ReplicaQuery &query, const std::set<ReplicaRef> &excluded, std::int64_t nowMs);
    /**
     * Returns a usable replica of @p model by the hash of @p key alone, or null: requests with different keys go to different replicas, whatever the
     * load. Leaves out the same replicas as choose().
     */
    const TrackedReplica *chooseByHash(
        const UpstreamAvailability &availability, const std::string &model, std::uint64_t key, const std::set<ReplicaRef> &excluded, std::int64_t nowMs) const;
    /** Returns why no replica of @p model may be sent a request at @p nowMs; nothing is added for those that may. */
    Shortage shortage(const UpstreamAvailability &availability, const std::string &model, std::int64_t nowMs) const;
    /** Returns the expected time to the first event on @p replica, in ms, or 0 if the timing of the engines is not published. */
    double expectedMs(const TrackedReplica &replica, std::int64_t promptTokens) const;

    /** Returns the load of the replicas of @p model that may get a request at @p nowMs. */
    ModelOccupancy occupancy(const UpstreamAvailability &availability, const std::string &model, std::int64_t nowMs) const;
    /** Returns the learned part of the time to the first event that the published timing does not include. */
    const FirstEventBias &firstEventBias() const;

    /** Records that a request was sent to @p replica. Returns the number of the stream for event() and end(). */
    std::uint64_t
    begin(UpstreamAvailability &availability, const TrackedReplica &replica, std::int64_t promptTokens, std::int64_t nowMs, const StreamDetails &details = {});
    /** Records that @p events events of @p stream arrived. Does nothing if the stream has ended. */
    void event(UpstreamAvailability &availability, std::uint64_t stream, int events, std::int64_t nowMs);
    /** Removes @p stream and its load. Does nothing if it has ended already. */
    void end(std::uint64_t stream);

    /**
     * Returns the replicas that have outstanding work but have sent no event for longer than a working replica can take, and withholds them in
     * @p availability. The caller moves their streams to other replicas.
     */
    std::vector<ReplicaRef> findSilentReplicas(UpstreamAvailability &availability, std::int64_t nowMs);
    /**
     * Returns the streams that have stopped although their replica still works, because the answer or the connection was lost. The limits are
     * several times the longest pause of a working replica, since a second prefill on another replica delays every stream there.
     */
    std::vector<std::uint64_t> findStuckStreams(std::int64_t nowMs) const;

    const std::map<ReplicaRef, TrackedReplica> &replicas() const;
    /** Returns null if @p replica is not tracked. */
    const TrackedReplica *find(const ReplicaRef &replica) const;
    const std::unordered_map<std::uint64_t, TrackedStream> &streams() const;

private:
    /** Returns the replicas of @p model that may get a request now; those on trial only if there is no other. */
    std::vector<const TrackedReplica *>
    candidates(const UpstreamAvailability &availability, const std::string &model, const std::set<ReplicaRef> &excluded, std::int64_t nowMs) const;
    /** Returns the factor by which @p replica is slower than the published timing: the pace of its model times its measured slowness. */
    double paceOf(const TrackedReplica &replica) const;
    /** Returns the time to the first event as the published timing predicts it, in ms. */
    double predictedMs(const TrackedReplica &replica, std::int64_t promptTokens) const;
    /** Returns whether the memory of @p replica has room for @p tokens more. */
    bool hasMemory(const TrackedReplica &replica, std::int64_t tokens) const;

    ReplicaSelectorSettings m_settings;
    bool m_randomizeNearBest = false;
    std::mt19937 m_random;
    CallService m_service;
    std::map<ReplicaRef, TrackedReplica> m_replicas;
    std::unordered_map<std::uint64_t, TrackedStream> m_streams;
    FirstEventBias m_bias;
    std::uint64_t m_nextStream = 1;
};
}
