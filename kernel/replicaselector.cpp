// Problem: a replica that lost a member still accepts requests but sends no events for seconds. All of its streams must move to other replicas
// at once, but no stream may leave a replica that is only busy with the prefill of a long prompt.
// Approach: all streams of a replica advance in the same passes, so progress is checked for the replica and not for each stream. A replica with
// outstanding work that sends no event for longer than the longest pause of a working replica is silent. New requests go to the replica whose
// first event is expected soonest.
// A timeout for each stream cannot tell a long prompt from a failed replica.

#include "kernel/replicaselector.h"

#include "kernel/hashing.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace knapweedslip
{
namespace
{
/** Weight of a slower observation in the moving average of the slowness. A faster one replaces the average, since prefill only lengthens passes. */
constexpr double SlownessSmoothing = 0.03;
constexpr double MinSlowness = 1.0;
constexpr double MaxSlowness = 20.0;
/** A replica that is slower than this tells nothing about the constant part of the time to the first event. */
constexpr double UsualSlowness = 1.5;
constexpr int MaxDoublings = 4;
/** Streams that find more of the slots in use may wait for one. */
constexpr double FreeSlotsFraction = 0.75;
/** Part of a replica's memory that its requests may be expected to need: an engine crashes when they need more than all, and answers may be longer. */
constexpr double UsableMemoryFraction = 0.9;

ReplicaLoad sum(const ReplicaLoad &a, const ReplicaLoad &b)
{
    return {a.m_decoding + b.m_decoding, a.m_waiting + b.m_waiting, a.m_pendingPrefillMs + b.m_pendingPrefillMs, a.m_contextTokens + b.m_contextTokens};
}
}

ReplicaSelector::ReplicaSelector(const ReplicaSelectorSettings &settings)
    : m_settings(settings)
    , m_random(std::random_device()())
{
}

void ReplicaSelector::setService(const CallService &service)
{
    m_service = service;
}

void ReplicaSelector::setRandomizeNearBest(bool randomize)
{
    m_randomizeNearBest = randomize;
}

void ReplicaSelector::setReplicas(const std::vector<TrackedReplica> &replicas)
{
    for (std::pair<const ReplicaRef, TrackedReplica> &entry : m_replicas) {
        entry.second.m_listed = false;
    }
    for (const TrackedReplica &replica : replicas) {
        TrackedReplica &tracked = m_replicas[replica.m_ref];
        tracked.m_ref = replica.m_ref;
        tracked.m_model = replica.m_model;
        tracked.m_head = replica.m_head;
        tracked.m_address = replica.m_address;
        tracked.m_availabilityZone = replica.m_availabilityZone;
        tracked.m_listed = true;
        tracked.m_coldUntilMs = replica.m_coldUntilMs;
    }
    for (auto it = m_replicas.begin(); it != m_replicas.end();) {
        const bool unused = !it->second.m_listed && it->second.m_ownLoad.m_decoding + it->second.m_ownLoad.m_waiting == 0;
        it = unused ? m_replicas.erase(it) : std::next(it);
    }
}

void ReplicaSelector::setPeerLoads(const std::map<std::uint64_t, PeerLoad> &loads)
{
    for (std::pair<const ReplicaRef, TrackedReplica> &entry : m_replicas) {
        const auto found = loads.find(entry.first.m_epoch);
        entry.second.m_peerLoad = found == loads.end() ? ReplicaLoad() : found->second.m_load;
        if (found != loads.end()) {
            entry.second.m_peerProgressMs = std::max(entry.second.m_peerProgressMs, found->second.m_progressMs);
        }
    }
}

double ReplicaSelector::paceOf(const TrackedReplica &replica) const
{
    const ServedModel *model = findModel(m_service, replica.m_model);
    return (model == nullptr ? 1.0 : model->m_pace) * replica.m_slowness;
}

double ReplicaSelector::predictedMs(const TrackedReplica &replica, std::int64_t promptTokens) const
{
    return m_service.m_engines ? firstEventMs(*m_service.m_engines, sum(replica.m_ownLoad, replica.m_peerLoad), promptTokens, paceOf(replica)) : 0.0;
}

double ReplicaSelector::expectedMs(const TrackedReplica &replica, std::int64_t promptTokens) const
{
    return predictedMs(replica, promptTokens) + m_bias.biasMs(replica.m_model);
}

bool ReplicaSelector::hasMemory(const TrackedReplica &replica, std::int64_t tokens) const
{
    if (!m_service.m_engines || m_service.m_engines->m_kvCapacityTokens <= 0) {
        return true;
    }
    const std::int64_t held = replica.m_ownLoad.m_contextTokens + replica.m_peerLoad.m_contextTokens;
    return static_cast<double>(held + tokens) <= UsableMemoryFraction * static_cast<double>(m_service.m_engines->m_kvCapacityTokens);
}

const FirstEventBias &ReplicaSelector::firstEventBias() const
{
    return m_bias;
}

ModelOccupancy ReplicaSelector::occupancy(const UpstreamAvailability &availability, const std::string &model, std::int64_t nowMs) const
{
    ModelOccupancy occupancy;
    for (const TrackedReplica *replica : candidates(availability, model, {}, nowMs)) {
        const ReplicaLoad load = sum(replica->m_ownLoad, replica->m_peerLoad);
        ++occupancy.m_replicas;
        occupancy.m_fullSpeedReplicas += 1.0 / replica->m_slowness;
        occupancy.m_inFlight += load.m_decoding + load.m_waiting;
    }
    return occupancy;
}

std::vector<const TrackedReplica *>
ReplicaSelector::candidates(const UpstreamAvailability &availability, const std::string &model, const std::set<ReplicaRef> &excluded, std::int64_t nowMs) const
{
    std::vector<const TrackedReplica *> candidates;
    std::vector<const TrackedReplica *> onTrial;
    for (const std::pair<const ReplicaRef, TrackedReplica> &entry : m_replicas) {
        const TrackedReplica &replica = entry.second;
        if (!replica.m_listed || replica.m_model != model || excluded.count(entry.first) > 0) {
            continue;
        }
        const WithheldReason withheld = availability.check(replica.m_head, entry.first.m_epoch, nowMs).m_reason;
        if (withheld == WithheldReason::None) {
            candidates.push_back(&replica);
        } else if (withheld == WithheldReason::OnTrial) {
            onTrial.push_back(&replica);
        }
    }
    return candidates.empty() ? onTrial : candidates;
}

Shortage ReplicaSelector::shortage(const UpstreamAvailability &availability, const std::string &model, std::int64_t nowMs) const
{
    Shortage shortage;
    for (const std::pair<const ReplicaRef, TrackedReplica> &entry : m_replicas) {
        if (entry.second.m_listed && entry.second.m_model == model) {
            shortage.add(availability.check(entry.second.m_head, entry.first.m_epoch, nowMs));
        }
    }
    return shortage;
}

const TrackedReplica *ReplicaSelector::chooseByHash(
    const UpstreamAvailability &availability, const std::string &model, std::uint64_t key, const std::set<ReplicaRef> &excluded, std::int64_t nowMs) const
{
    const auto weight = [key](const TrackedReplica *replica) {
        return hash64(replica->m_ref.m_name, key ^ replica->m_ref.m_epoch);
    };
    const std::vector<const TrackedReplica *> usable = candidates(availability, model, excluded, nowMs);
    const auto best = std::max_element(usable.begin(), usable.end(), [&weight](const TrackedReplica *a, const TrackedReplica *b) {
        return weight(a) < weight(b);
    });
    return best == usable.end() ? nullptr : *best;
}

const TrackedReplica *
ReplicaSelector::choose(const UpstreamAvailability &availability, const ReplicaQuery &query, const std::set<ReplicaRef> &excluded, std::int64_t nowMs)
{
    const std::vector<const TrackedReplica *> usable = candidates(availability, query.m_model, excluded, nowMs);
    std::vector<double> costs;
    double least = std::numeric_limits<double>::max();
    for (const TrackedReplica *replica : usable) {
        const bool fits = hasMemory(*replica, query.m_promptTokens + query.m_answerTokens);
        const double ms = !fits
                              ? std::numeric_limits<double>::max()
                              : expectedMs(*replica, query.m_promptTokens) + (replica->m_availabilityZone == query.m_ownZone ? 0.0 : m_settings.m_crossZoneMs);
        costs.push_back(ms);
        least = std::min(least, ms);
    }
    // The load reports of the other gateways are at least a pass old, so a difference below one prefill and one pass is not significant.
    const double tolerance = m_randomizeNearBest && m_service.m_engines
                                 ? prefillMs(*m_service.m_engines, m_service.m_engines->m_meanPromptTokens) + decodePassMs(*m_service.m_engines, {})
                                 : 0.0;
    std::vector<const TrackedReplica *> similar;
    std::vector<const TrackedReplica *> connected;
    for (std::size_t i = 0; i < usable.size(); ++i) {
        if (costs[i] <= least + tolerance && costs[i] < std::numeric_limits<double>::max()) {
            similar.push_back(usable[i]);
            if (query.m_isConnected && query.m_isConnected(*usable[i])) {
                connected.push_back(usable[i]);
            }
        }
    }
    const std::vector<const TrackedReplica *> &drawn = connected.empty() ? similar : connected;
    return drawn.empty() ? nullptr : drawn[m_random() % drawn.size()];
}

std::uint64_t ReplicaSelector::begin(
    UpstreamAvailability &availability, const TrackedReplica &replica, std::int64_t promptTokens, std::int64_t nowMs, const StreamDetails &details)
{
    availability.recordSend(replica.m_head, nowMs);
    TrackedReplica &tracked = m_replicas[replica.m_ref];
    TrackedStream stream;
    stream.m_replica = tracked.m_ref;
    stream.m_promptTokens = promptTokens;
    stream.m_memoryTokens = promptTokens + details.m_answerTokens;
    stream.m_priority = details.m_priority;
    stream.m_predictedMs = predictedMs(tracked, promptTokens);
    const ReplicaLoad load = sum(tracked.m_ownLoad, tracked.m_peerLoad);
    stream.m_mayWaitForSlot = !m_service.m_engines || load.m_decoding + load.m_waiting + 1 > FreeSlotsFraction * m_service.m_engines->m_slots;
    stream.m_sentMs = nowMs;
    stream.m_expectedMs = nowMs + static_cast<std::int64_t>(expectedMs(tracked, promptTokens));
    ++tracked.m_ownLoad.m_waiting;
    if (m_service.m_engines) {
        tracked.m_ownLoad.m_pendingPrefillMs += prefillMs(*m_service.m_engines, promptTokens);
    }
    tracked.m_ownLoad.m_contextTokens += stream.m_memoryTokens;
    const std::uint64_t number = m_nextStream++;
    m_streams.emplace(number, std::move(stream));
    return number;
}

void ReplicaSelector::event(UpstreamAvailability &availability, std::uint64_t stream, int events, std::int64_t nowMs)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return;
    }
    TrackedStream &tracked = found->second;
    TrackedReplica &replica = m_replicas[tracked.m_replica];
    replica.m_progressMs = nowMs;
    replica.m_silent = false;
    replica.m_consecutiveSilences = 0;
    availability.endWithholding(replica.m_head, replica.m_ref.m_epoch);
    if (!tracked.m_decoding) {
        tracked.m_decoding = true;
        if (!tracked.m_mayWaitForSlot && replica.m_slowness <= UsualSlowness) {
            m_bias.record(replica.m_model, tracked.m_predictedMs, static_cast<double>(nowMs - tracked.m_sentMs));
        }
        --replica.m_ownLoad.m_waiting;
        ++replica.m_ownLoad.m_decoding;
        if (m_service.m_engines) {
            replica.m_ownLoad.m_pendingPrefillMs =
                std::max(0.0, replica.m_ownLoad.m_pendingPrefillMs - prefillMs(*m_service.m_engines, tracked.m_promptTokens));
        }
    } else if (m_service.m_engines && events > 0) {
        const ServedModel *model = findModel(m_service, replica.m_model);
        const double expected = decodePassMs(*m_service.m_engines, sum(replica.m_ownLoad, replica.m_peerLoad)) * (model == nullptr ? 1.0 : model->m_pace);
        const double ratio = static_cast<double>(nowMs - tracked.m_lastEventMs) / events / std::max(expected, 1.0);
        const double gain = ratio < replica.m_slowness ? 1.0 : SlownessSmoothing;
        replica.m_slowness = std::clamp(replica.m_slowness + gain * (ratio - replica.m_slowness), MinSlowness, MaxSlowness);
    }
    tracked.m_lastEventMs = nowMs;
}

void ReplicaSelector::end(std::uint64_t stream)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return;
    }
    const TrackedStream &tracked = found->second;
    TrackedReplica &replica = m_replicas[tracked.m_replica];
    if (tracked.m_decoding) {
        --replica.m_ownLoad.m_decoding;
    } else {
        --replica.m_ownLoad.m_waiting;
        if (m_service.m_engines) {
            replica.m_ownLoad.m_pendingPrefillMs =
                std::max(0.0, replica.m_ownLoad.m_pendingPrefillMs - prefillMs(*m_service.m_engines, tracked.m_promptTokens));
        }
    }
    replica.m_ownLoad.m_contextTokens -= tracked.m_memoryTokens;
    m_streams.erase(found);
}

std::vector<ReplicaRef> ReplicaSelector::findSilentReplicas(UpstreamAvailability &availability, std::int64_t nowMs)
{
    if (!m_service.m_engines) {
        return {};
    }
    struct PendingWork
    {
        bool m_decoding = false;
        /** Time at which the oldest outstanding request was sent. */
        std::int64_t m_sinceMs = std::numeric_limits<std::int64_t>::max();
    };
    std::map<ReplicaRef, PendingWork> pending;
    for (const std::pair<const std::uint64_t, TrackedStream> &entry : m_streams) {
        PendingWork &work = pending[entry.second.m_replica];
        work.m_decoding = work.m_decoding || entry.second.m_decoding;
        work.m_sinceMs = std::min(work.m_sinceMs, entry.second.m_sentMs);
    }
    std::vector<ReplicaRef> silent;
    for (const std::pair<const ReplicaRef, PendingWork> &entry : pending) {
        TrackedReplica &replica = m_replicas[entry.first];
        const ReplicaLoad load = sum(replica.m_ownLoad, replica.m_peerLoad);
        // While no stream is in decode, the prefill of all waiting prompts and what the published timing does not include may come before the next event.
        const double beforeDecodeMs = entry.second.m_decoding ? 0.0 : load.m_pendingPrefillMs * paceOf(replica) + m_bias.biasMs(replica.m_model);
        const double limit =
            longestPauseMs(*m_service.m_engines, load, paceOf(replica)) + beforeDecodeMs + static_cast<double>(m_settings.m_silenceToleranceMs);
        const std::int64_t lastWork = std::max({replica.m_progressMs, replica.m_peerProgressMs, entry.second.m_sinceMs});
        if (static_cast<double>(nowMs - lastWork) <= limit) {
            replica.m_silent = false;
            continue;
        }
        if (!replica.m_silent) {
            replica.m_silent = true;
            const std::int64_t forMs = m_settings.m_avoidSilentMs << std::min(replica.m_consecutiveSilences, MaxDoublings);
            availability.withhold(replica.m_head, replica.m_ref.m_epoch, WithheldReason::Silent, forMs, nowMs);
            ++replica.m_consecutiveSilences;
        }
        silent.push_back(entry.first);
    }
    return silent;
}

std::vector<std::uint64_t> ReplicaSelector::findStuckStreams(std::int64_t nowMs) const
{
    std::vector<std::uint64_t> stuck;
    /** Latest time at which a stream that has had an event was sent, by replica and priority. */
    std::map<ReplicaRef, std::map<int, std::int64_t>> newestDecoding;
    for (const std::pair<const std::uint64_t, TrackedStream> &entry : m_streams) {
        if (entry.second.m_decoding) {
            std::int64_t &sentMs = newestDecoding[entry.second.m_replica].emplace(entry.second.m_priority, entry.second.m_sentMs).first->second;
            sentMs = std::max(sentMs, entry.second.m_sentMs);
        }
    }
    // Replicas take more urgent streams first, so only one that is not more urgent shows that a stream was passed over.
    const auto isOvertaken = [&newestDecoding](const TrackedStream &stream) {
        const auto newest = newestDecoding.find(stream.m_replica);
        return newest != newestDecoding.end()
               && std::any_of(newest->second.lower_bound(stream.m_priority), newest->second.end(), [&stream](const std::pair<const int, std::int64_t> &sent) {
                      return sent.second >= stream.m_sentMs;
                  });
    };
    for (const std::pair<const std::uint64_t, TrackedStream> &entry : m_streams) {
        const TrackedStream &stream = entry.second;
        const auto found = m_replicas.find(stream.m_replica);
        if (found == m_replicas.end() || !m_service.m_engines) {
            continue;
        }
        const TrackedReplica &replica = found->second;
        const ReplicaLoad load = sum(replica.m_ownLoad, replica.m_peerLoad);
        const double limit = m_settings.m_stuckAfterPauses * longestPauseMs(*m_service.m_engines, load, paceOf(replica));
        // Before its first event a stream may take twice the expected time.
        const std::int64_t sinceMs = stream.m_decoding ? stream.m_lastEventMs : 2 * stream.m_expectedMs - stream.m_sentMs;
        const bool mayQueue = !stream.m_decoding && !isOvertaken(stream) && nowMs - stream.m_sentMs < m_settings.m_stuckAfterWaitMs;
        if (!mayQueue && static_cast<double>(nowMs - sinceMs) > limit) {
            stuck.push_back(entry.first);
        }
    }
    return stuck;
}

const std::map<ReplicaRef, TrackedReplica> &ReplicaSelector::replicas() const
{
    return m_replicas;
}

const TrackedReplica *ReplicaSelector::find(const ReplicaRef &replica) const
{
    const auto found = m_replicas.find(replica);
    return found == m_replicas.end() ? nullptr : &found->second;
}

const std::unordered_map<std::uint64_t, TrackedStream> &ReplicaSelector::streams() const
{
    return m_streams;
}
}
