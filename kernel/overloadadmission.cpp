// Problem: when more work is offered than the replicas of a model can do in time, requests that are all sent wait for slots, and nearly every one of them
// is late, the most urgent ones first. Dozens of daemons must agree on whom to refuse, with load reports that are some hundred ms old.
// Approach: daemons report what clients offer them, not only what they have sent. Offered work changes slowly, so the daemons compute nearly the same
// fractions from it, and each admits that part of its own arrivals. The number of requests in flight corrects errors of the predicted work.
// Each daemon deciding by the reported load of the replicas alone makes all of them admit, and then refuse, at the same time.

#include "kernel/overloadadmission.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace knapweedslip
{
namespace
{
/** Requests below the first fraction of the mean work are small, those above the second one large. */
constexpr double SmallFraction = 0.6;
constexpr double LargeFraction = 1.5;
/** Mean work of a request of each size, in relation to the mean of its model. */
constexpr std::array<double, RequestSizeNames.size()> RelativeWork{0.35, 1.0, 2.2};
/** A request one priority lower counts half as much. */
constexpr double PriorityFactor = 0.5;
/** An answer that can only be late is worth so much less that even the smallest late request follows the largest one of its priority that may be in time. */
constexpr double LateFactor = 0.15;
/** Least fraction of the overall fraction that each rank gets whose requests may be in time. */
constexpr double LeastFraction = 0.6;
/** Demand may exceed the capacity by this factor before requests are refused: over a short time it varies by about as much. */
constexpr double DemandTolerance = 1.1;
/** Weight of a request in the mean time in a slot. */
constexpr double MeanSmoothing = 0.02;
/** Bounds of the factor that corrects the capacity, and the part of the difference that it corrects in a second. */
constexpr double LeastCorrection = 0.6;
constexpr double MostCorrection = 1.4;
constexpr double CorrectionPerSecond = 0.5;
constexpr double RelaxationPerSecond = 0.2;
/** Requests in flight may exceed the capacity by this factor before fewer are admitted at once, whatever the predicted work says. */
constexpr double ExcessFactor = 1.15;
/**
 * Requests are refused only from the first of these fractions of the capacity on, and to the full extent from the second one on. Offered work is a prediction
 * and contains requests that come back, whereas the requests in flight are counted.
 */
constexpr double FirstRefusalFraction = 0.55;
constexpr double FullRefusalFraction = 0.75;

double sum(const RankWork &work)
{
    return std::accumulate(work.begin(), work.end(), 0.0);
}

RankWork constant(double value)
{
    RankWork work;
    work.fill(value);
    return work;
}

/** Returns the indices of all ranks, the one whose refusal costs most first. */
const std::array<std::size_t, AdmissionRankCount> &ranksByCost()
{
    static const std::array<std::size_t, AdmissionRankCount> ranks = []() {
        std::array<std::size_t, AdmissionRankCount> sorted{};
        std::iota(sorted.begin(), sorted.end(), std::size_t(0));
        std::stable_sort(sorted.begin(), sorted.end(), [](std::size_t a, std::size_t b) {
            return refusalCost(rankAt(a)) > refusalCost(rankAt(b));
        });
        return sorted;
    }();
    return ranks;
}
}

RequestSize requestSize(double work, double meanWork)
{
    if (work < SmallFraction * meanWork) {
        return RequestSize::Small;
    }
    return work > LargeFraction * meanWork ? RequestSize::Large : RequestSize::Medium;
}

std::size_t rankIndex(const AdmissionRank &rank)
{
    const std::size_t priority = static_cast<std::size_t>(std::clamp(rank.m_priority, 0, LowestAdmissionPriority));
    return (priority * RequestSizeNames.size() + static_cast<std::size_t>(rank.m_size)) * 2 + (rank.m_late ? 1 : 0);
}

AdmissionRank rankAt(std::size_t index)
{
    const std::size_t size = index / 2 % RequestSizeNames.size();
    return {static_cast<int>(index / 2 / RequestSizeNames.size()), static_cast<RequestSize>(size), index % 2 == 1};
}

double refusalCost(const AdmissionRank &rank)
{
    const double value = std::pow(PriorityFactor, rank.m_priority) * (rank.m_late ? LateFactor : 1.0);
    return value / RelativeWork.at(static_cast<std::size_t>(rank.m_size));
}

RankWork admittedFractions(double capacitySlots, const RankWork &demand)
{
    if (sum(demand) <= capacitySlots) {
        return constant(1.0);
    }
    double timely = 0.0;
    for (std::size_t rank = 0; rank < AdmissionRankCount; ++rank) {
        timely += rankAt(rank).m_late ? 0.0 : demand[rank];
    }
    const double least = timely > 0.0 ? LeastFraction * std::clamp(capacitySlots / timely, 0.0, 1.0) : 0.0;
    RankWork fractions{};
    double left = std::max(0.0, capacitySlots) - least * timely;
    for (const std::size_t rank : ranksByCost()) {
        const double certain = rankAt(rank).m_late ? 0.0 : least;
        const double rest = (1.0 - certain) * demand[rank];
        const double used = std::clamp(left, 0.0, rest);
        const double share = rest > 0.0 ? used / rest : (left > 0.0 ? 1.0 : 0.0);
        fractions[rank] = certain + (1.0 - certain) * share;
        left -= used;
    }
    return fractions;
}

void DemandMeter::add(double slotMs, std::int64_t nowMs)
{
    m_sum = m_sum * std::exp(-static_cast<double>(std::max<std::int64_t>(0, nowMs - m_updatedMs)) / WindowMs) + slotMs;
    m_updatedMs = nowMs;
}

double DemandMeter::slots(std::int64_t nowMs) const
{
    return m_sum * std::exp(-static_cast<double>(std::max<std::int64_t>(0, nowMs - m_updatedMs)) / WindowMs) / WindowMs;
}

OverloadAdmission::Model::Model()
    : m_fractions(constant(1.0))
    , m_credit(constant(0.5))
{
}

void OverloadAdmission::offer(const std::string &model, const AdmissionRank &rank, double slotMs, std::int64_t nowMs)
{
    Model &state = m_models[model];
    state.m_offered[rankIndex(rank)].add(slotMs, nowMs);
    state.m_meanSlotMs += (state.m_meanSlotMs > 0.0 ? MeanSmoothing : 1.0) * (slotMs - state.m_meanSlotMs);
}

std::map<std::string, RankWork> OverloadAdmission::ownDemand(std::int64_t nowMs) const
{
    std::map<std::string, RankWork> demand;
    for (const std::pair<const std::string, Model> &entry : m_models) {
        RankWork &work = demand[entry.first];
        for (std::size_t rank = 0; rank < AdmissionRankCount; ++rank) {
            work[rank] = entry.second.m_offered[rank].slots(nowMs);
        }
    }
    return demand;
}

double OverloadAdmission::meanSlotMs(const std::string &model) const
{
    const auto found = m_models.find(model);
    return found == m_models.end() ? 0.0 : found->second.m_meanSlotMs;
}

void OverloadAdmission::update(const std::string &model, const ModelLoad &load, std::int64_t nowMs)
{
    Model &state = m_models[model];
    constexpr double MsPerSecond = 1'000.0;
    const double seconds = state.m_updatedMs < 0 ? 0.0 : static_cast<double>(nowMs - state.m_updatedMs) / MsPerSecond;
    const double capacity = std::max(load.m_capacitySlots, 1e-9);
    const double difference = (capacity - load.m_inFlight) / capacity;
    if (isOverloaded(model)) {
        state.m_correction += CorrectionPerSecond * seconds * std::clamp(difference, -1.0, 1.0);
    } else {
        state.m_correction += RelaxationPerSecond * seconds * (1.0 - state.m_correction);
    }
    state.m_correction = std::clamp(state.m_correction, LeastCorrection, MostCorrection);
    const double excess = load.m_inFlight / (ExcessFactor * capacity);
    const double allowed = capacity * state.m_correction / std::max(1.0, excess * excess);
    state.m_fractions = sum(load.m_demand) <= DemandTolerance * allowed ? constant(1.0) : admittedFractions(allowed, load.m_demand);
    const double use = (load.m_inFlight / capacity - FirstRefusalFraction) / (FullRefusalFraction - FirstRefusalFraction);
    for (double &fraction : state.m_fractions) {
        fraction = 1.0 - (1.0 - fraction) * std::clamp(use, 0.0, 1.0);
    }
    state.m_load = load;
    state.m_updatedMs = nowMs;
}

bool OverloadAdmission::admit(const std::string &model, const AdmissionRank &rank)
{
    Model &state = m_models[model];
    const std::size_t index = rankIndex(rank);
    if (state.m_fractions[index] >= 1.0) {
        return true;
    }
    state.m_credit[index] += state.m_fractions[index];
    if (state.m_credit[index] < 1.0) {
        return false;
    }
    state.m_credit[index] -= 1.0;
    return true;
}

bool OverloadAdmission::isOverloaded(const std::string &model) const
{
    const RankWork &current = fractions(model);
    return *std::min_element(current.begin(), current.end()) < 1.0;
}

const ModelLoad &OverloadAdmission::load(const std::string &model) const
{
    static const ModelLoad none;
    const auto found = m_models.find(model);
    return found == m_models.end() ? none : found->second.m_load;
}

const RankWork &OverloadAdmission::fractions(const std::string &model) const
{
    static const RankWork all = constant(1.0);
    const auto found = m_models.find(model);
    return found == m_models.end() ? all : found->second.m_fractions;
}
}
