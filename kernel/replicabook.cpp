// Problem: a replica that lost a member still accepts requests but sends no events for seconds. All of its streams must move to other replicas
// at once, but no stream may leave a replica that is only busy with the prefill of a long prompt.
// Approach: all streams of a replica advance in the same passes, so progress is checked for the replica and not for each stream. A replica with
// outstanding work that sends no event for longer than the longest pause of a working replica is silent. New requests go to the replica whose
// first event is expected soonest.
// A timeout for each stream cannot tell a long prompt from a dead replica.

#include "kernel/replicabook.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace knapweedslip
{
namespace
{
/** Weight of a slower observation in the moving average of the slowness. A faster one replaces the average, since prefill only lengthens passes. */
constexpr double SlownessGain = 0.03;
constexpr double MinSlowness = 1.0;
constexpr double MaxSlowness = 20.0;
constexpr int MaxDoublings = 4;

ReplicaLoad sum(const ReplicaLoad &a, const ReplicaLoad &b)
{
    return {a.m_writing + b.m_writing, a.m_waiting + b.m_waiting, a.m_unreadMs + b.m_unreadMs, a.m_contextTokens + b.m_contextTokens};
}
}

ReplicaBook::ReplicaBook(const BookSettings &settings)
    : m_settings(settings)
    , m_random(std::random_device()())
{
}

void ReplicaBook::setService(const CallService &service)
{
    m_service = service;
}

void ReplicaBook::setSpread(bool spread)
{
    m_spread = spread;
}

void ReplicaBook::setReplicas(const std::vector<BookedReplica> &replicas)
{
    for (std::pair<const ReplicaRef, BookedReplica> &entry : m_replicas) {
        entry.second.m_usable = false;
    }
    for (const BookedReplica &replica : replicas) {
        BookedReplica &booked = m_replicas[replica.m_ref];
        booked.m_ref = replica.m_ref;
        booked.m_model = replica.m_model;
        booked.m_head = replica.m_head;
        booked.m_address = replica.m_address;
        booked.m_availabilityZone = replica.m_availabilityZone;
        booked.m_usable = replica.m_usable;
        booked.m_coldUntilMs = replica.m_coldUntilMs;
    }
    for (auto it = m_replicas.begin(); it != m_replicas.end();) {
        const bool unused = !it->second.m_usable && it->second.m_own.m_writing + it->second.m_own.m_waiting == 0;
        it = unused ? m_replicas.erase(it) : std::next(it);
    }
}

void ReplicaBook::setPeerLoads(const std::map<std::uint64_t, PeerLoad> &loads)
{
    for (std::pair<const ReplicaRef, BookedReplica> &entry : m_replicas) {
        const auto found = loads.find(entry.first.m_epoch);
        entry.second.m_peers = found == loads.end() ? ReplicaLoad() : found->second.m_load;
        if (found != loads.end()) {
            entry.second.m_peerProgressMs = std::max(entry.second.m_peerProgressMs, found->second.m_progressMs);
        }
    }
}

double ReplicaBook::paceOf(const BookedReplica &replica) const
{
    const ServedModel *model = findModel(m_service, replica.m_model);
    return (model == nullptr ? 1.0 : model->m_pace) * replica.m_slowness;
}

double ReplicaBook::expectedMs(const BookedReplica &replica, std::int64_t promptTokens) const
{
    return m_service.m_engines ? firstEventMs(*m_service.m_engines, sum(replica.m_own, replica.m_peers), promptTokens, paceOf(replica)) : 0.0;
}

const BookedReplica *
ReplicaBook::choose(const std::string &model, std::int64_t promptTokens, const std::string &ownZone, const std::set<ReplicaRef> &excluded, std::int64_t nowMs)
{
    std::vector<const BookedReplica *> candidates;
    for (const std::pair<const ReplicaRef, BookedReplica> &entry : m_replicas) {
        const BookedReplica &replica = entry.second;
        if (replica.m_usable && replica.m_model == model && replica.m_avoidUntilMs <= nowMs && excluded.count(entry.first) == 0) {
            candidates.push_back(&replica);
        }
    }
    std::vector<double> costs;
    double least = std::numeric_limits<double>::max();
    for (const BookedReplica *replica : candidates) {
        const double ms = expectedMs(*replica, promptTokens) + (replica->m_availabilityZone == ownZone ? 0.0 : m_settings.m_crossZoneMs);
        costs.push_back(ms);
        least = std::min(least, ms);
    }
    // The load reports of the other gateways are at least a pass old, so a difference below one prefill and one pass is not significant.
    const double tolerance =
        m_spread && m_service.m_engines ? readMs(*m_service.m_engines, m_service.m_engines->m_usualPromptTokens) + passMs(*m_service.m_engines, {}) : 0.0;
    const BookedReplica *best = nullptr;
    std::uint32_t alike = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (costs[i] > least + tolerance) {
            continue;
        }
        // Reservoir sampling: each candidate within the tolerance is drawn with the same probability.
        ++alike;
        if (m_random() % alike == 0) {
            best = candidates[i];
        }
    }
    return best;
}

std::uint64_t ReplicaBook::begin(const BookedReplica &replica, std::int64_t promptTokens, std::int64_t nowMs)
{
    BookedReplica &booked = m_replicas[replica.m_ref];
    BookedStream stream;
    stream.m_replica = booked.m_ref;
    stream.m_promptTokens = promptTokens;
    stream.m_sentMs = nowMs;
    stream.m_expectedMs = nowMs + static_cast<std::int64_t>(expectedMs(booked, promptTokens));
    ++booked.m_own.m_waiting;
    if (m_service.m_engines) {
        booked.m_own.m_unreadMs += readMs(*m_service.m_engines, promptTokens);
    }
    booked.m_own.m_contextTokens += promptTokens;
    const std::uint64_t number = m_nextStream++;
    m_streams.emplace(number, std::move(stream));
    return number;
}

void ReplicaBook::event(std::uint64_t stream, int events, std::int64_t nowMs)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return;
    }
    BookedStream &booked = found->second;
    BookedReplica &replica = m_replicas[booked.m_replica];
    replica.m_progressMs = nowMs;
    replica.m_silent = false;
    replica.m_doubts = 0;
    replica.m_avoidUntilMs = std::min(replica.m_avoidUntilMs, nowMs);
    if (!booked.m_writing) {
        booked.m_writing = true;
        --replica.m_own.m_waiting;
        ++replica.m_own.m_writing;
        if (m_service.m_engines) {
            replica.m_own.m_unreadMs = std::max(0.0, replica.m_own.m_unreadMs - readMs(*m_service.m_engines, booked.m_promptTokens));
        }
    } else if (m_service.m_engines && events > 0) {
        const ServedModel *model = findModel(m_service, replica.m_model);
        const double expected = passMs(*m_service.m_engines, sum(replica.m_own, replica.m_peers)) * (model == nullptr ? 1.0 : model->m_pace);
        const double ratio = static_cast<double>(nowMs - booked.m_lastEventMs) / events / std::max(expected, 1.0);
        const double gain = ratio < replica.m_slowness ? 1.0 : SlownessGain;
        replica.m_slowness = std::clamp(replica.m_slowness + gain * (ratio - replica.m_slowness), MinSlowness, MaxSlowness);
    }
    booked.m_lastEventMs = nowMs;
}

void ReplicaBook::end(std::uint64_t stream)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return;
    }
    const BookedStream &booked = found->second;
    BookedReplica &replica = m_replicas[booked.m_replica];
    if (booked.m_writing) {
        --replica.m_own.m_writing;
    } else {
        --replica.m_own.m_waiting;
        if (m_service.m_engines) {
            replica.m_own.m_unreadMs = std::max(0.0, replica.m_own.m_unreadMs - readMs(*m_service.m_engines, booked.m_promptTokens));
        }
    }
    replica.m_own.m_contextTokens -= booked.m_promptTokens;
    m_streams.erase(found);
}

std::vector<ReplicaRef> ReplicaBook::findSilent(std::int64_t nowMs)
{
    if (!m_service.m_engines) {
        return {};
    }
    struct Expecting
    {
        bool m_writing = false;
        /** Time at which the oldest outstanding request was sent. */
        std::int64_t m_sinceMs = std::numeric_limits<std::int64_t>::max();
    };
    std::map<ReplicaRef, Expecting> expecting;
    for (const std::pair<const std::uint64_t, BookedStream> &entry : m_streams) {
        Expecting &group = expecting[entry.second.m_replica];
        group.m_writing = group.m_writing || entry.second.m_writing;
        group.m_sinceMs = std::min(group.m_sinceMs, entry.second.m_sentMs);
    }
    std::vector<ReplicaRef> silent;
    for (const std::pair<const ReplicaRef, Expecting> &entry : expecting) {
        BookedReplica &replica = m_replicas[entry.first];
        const ReplicaLoad load = sum(replica.m_own, replica.m_peers);
        // While no stream is in decode, all waiting prompts may be read before the next event.
        const double unread = entry.second.m_writing ? 0.0 : load.m_unreadMs * paceOf(replica);
        const double limit = longestPauseMs(*m_service.m_engines, load, paceOf(replica)) + unread + static_cast<double>(m_settings.m_silenceSlackMs);
        const std::int64_t lastWork = std::max({replica.m_progressMs, replica.m_peerProgressMs, entry.second.m_sinceMs});
        if (static_cast<double>(nowMs - lastWork) <= limit) {
            replica.m_silent = false;
            continue;
        }
        if (!replica.m_silent) {
            replica.m_silent = true;
            replica.m_avoidUntilMs = nowMs + (m_settings.m_avoidMs << std::min(replica.m_doubts, MaxDoublings));
            ++replica.m_doubts;
        }
        silent.push_back(entry.first);
    }
    return silent;
}

std::vector<std::uint64_t> ReplicaBook::findStuck(std::int64_t nowMs) const
{
    std::vector<std::uint64_t> stuck;
    /** Latest time at which a stream that has had an event was sent, by replica. */
    std::map<ReplicaRef, std::int64_t> newestWriting;
    for (const std::pair<const std::uint64_t, BookedStream> &entry : m_streams) {
        if (entry.second.m_writing) {
            std::int64_t &sentMs = newestWriting.emplace(entry.second.m_replica, entry.second.m_sentMs).first->second;
            sentMs = std::max(sentMs, entry.second.m_sentMs);
        }
    }
    for (const std::pair<const std::uint64_t, BookedStream> &entry : m_streams) {
        const BookedStream &stream = entry.second;
        const auto found = m_replicas.find(stream.m_replica);
        if (found == m_replicas.end() || !m_service.m_engines) {
            continue;
        }
        const BookedReplica &replica = found->second;
        const ReplicaLoad load = sum(replica.m_own, replica.m_peers);
        const double limit = m_settings.m_stuckPauses * longestPauseMs(*m_service.m_engines, load, paceOf(replica));
        // Before its first event a stream may take twice the expected time.
        const std::int64_t sinceMs = stream.m_writing ? stream.m_lastEventMs : 2 * stream.m_expectedMs - stream.m_sentMs;
        const auto newest = newestWriting.find(stream.m_replica);
        const bool overtaken = newest != newestWriting.end() && newest->second >= stream.m_sentMs;
        const bool mayQueue = !stream.m_writing && !overtaken && nowMs - stream.m_sentMs < m_settings.m_stuckWaitingMs;
        if (!mayQueue && static_cast<double>(nowMs - sinceMs) > limit) {
            stuck.push_back(entry.first);
        }
    }
    return stuck;
}

void ReplicaBook::avoid(const ReplicaRef &replica, std::int64_t nowMs, std::int64_t forMs)
{
    const auto found = m_replicas.find(replica);
    if (found != m_replicas.end()) {
        found->second.m_avoidUntilMs = std::max(found->second.m_avoidUntilMs, nowMs + forMs);
    }
}

void ReplicaBook::full(const ReplicaRef &replica, std::int64_t nowMs)
{
    avoid(replica, nowMs, m_settings.m_fullMs);
}

const std::map<ReplicaRef, BookedReplica> &ReplicaBook::replicas() const
{
    return m_replicas;
}

const BookedReplica *ReplicaBook::find(const ReplicaRef &replica) const
{
    const auto found = m_replicas.find(replica);
    return found == m_replicas.end() ? nullptr : &found->second;
}

const std::unordered_map<std::uint64_t, BookedStream> &ReplicaBook::streams() const
{
    return m_streams;
}
}
