// Problem: demand changes within seconds, and a move costs a load of weights for each engine. Two models with similar demand must not take engines from each
// other in turn.
// Approach: the model that gives must be clearly below its capacity and the one that gets clearly above, or both clearly uneven for some seconds. Replicas that
// are being formed count for the model that gets them, so that one shortage does not start a move in every domain.
// A single threshold for both models would move engines back as soon as they have arrived.

#include "kernel/replicamoves.h"

#include <limits>

namespace knapweedslip
{
namespace
{
/** A model whose demand is above this part of its capacity is short (docs/design/overload.md, part E). */
constexpr double ShortFraction = 0.8;
/** A model whose demand is below this part of its capacity has plenty (same page). */
constexpr double PlentyFraction = 0.6;
/** Ratio of the demand per replica that makes one model short, and how long it must last in ms (same page). */
constexpr double UnevenRatio = 1.5;
constexpr std::int64_t UnevenMs = 3'000;

/** Returns @p demand for each of @p capacity; infinite if there is demand without capacity. */
double ratio(double demand, double capacity)
{
    if (demand <= 0.0) {
        return 0.0;
    }
    return capacity > 0.0 ? demand / capacity : std::numeric_limits<double>::infinity();
}

/** Returns the demand of @p model as part of the capacity that it has and is getting. */
double expectedUse(const ModelSupply &model)
{
    return ratio(model.m_demandSlots, model.m_expectedReplicas * model.m_slotsPerReplica);
}

/** Returns the demand of @p model as part of the capacity that it has now. */
double currentUse(const ModelSupply &model)
{
    return ratio(model.m_demandSlots, model.m_openReplicas * model.m_slotsPerReplica);
}

bool isUneven(const ModelSupply &more, const ModelSupply &less)
{
    return more.m_demandSlots > 0.0 && ratio(more.m_demandSlots, more.m_expectedReplicas) >= UnevenRatio * ratio(less.m_demandSlots, less.m_openReplicas);
}
}

void MoveConditions::update(const std::map<std::string, ModelSupply> &models, std::int64_t nowMs)
{
    m_models = models;
    for (const std::pair<const std::string, ModelSupply> &more : models) {
        for (const std::pair<const std::string, ModelSupply> &less : models) {
            if (isUneven(more.second, less.second)) {
                m_unevenSinceMs.try_emplace({more.first, less.first}, nowMs);
            } else {
                m_unevenSinceMs.erase({more.first, less.first});
            }
        }
    }
}

void MoveConditions::reset()
{
    m_models.clear();
    m_unevenSinceMs.clear();
}

std::string MoveConditions::busiest() const
{
    std::string name;
    double most = 0.0;
    for (const std::pair<const std::string, ModelSupply> &model : m_models) {
        const double use = expectedUse(model.second);
        if (use > most) {
            most = use;
            name = model.first;
        }
    }
    return name;
}

bool MoveConditions::allows(const std::string &from, const std::string &to, std::int64_t nowMs) const
{
    const auto less = m_models.find(from);
    const auto more = m_models.find(to);
    if (from == to || less == m_models.end() || more == m_models.end()) {
        return false;
    }
    const auto uneven = m_unevenSinceMs.find({to, from});
    const bool isShort = expectedUse(more->second) > ShortFraction || (uneven != m_unevenSinceMs.end() && nowMs - uneven->second >= UnevenMs);
    // A model without an open replica has nothing to give, even if nobody asks for it.
    const bool hasPlenty = less->second.m_openReplicas > 0 && currentUse(less->second) < PlentyFraction;
    return isShort && hasPlenty;
}

void MoveHistory::record(const ReplicaMove &move, MoveState state, std::int64_t nowMs)
{
    m_ended[move.m_domain][{move.m_from, move.m_to}] = {state, nowMs};
}

bool MoveHistory::allows(const std::string &domain, const std::string &from, const std::string &to, std::int64_t nowMs) const
{
    const auto moves = m_ended.find(domain);
    if (moves == m_ended.end()) {
        return true;
    }
    for (const std::pair<const std::pair<std::string, std::string>, EndedMove> &ended : moves->second) {
        const bool isRecent = nowMs - ended.second.m_endedMs < PauseMs;
        const bool isOpposite = ended.first.second == from && ended.first.first == to;
        if (isRecent && (isOpposite || ended.second.m_state != MoveState::Joined)) {
            return false;
        }
    }
    return true;
}
}
