#pragma once

#include "kernel/enumnames.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace knapweedslip
{
/** Measured demand that the assignment of engines to models follows. Without demand, the configured shares count and no engine is moved. */
struct ReplicaDemand
{
    /** Share of each model in the offered work, see ModelDemand::shares(). */
    std::map<std::string, double> m_shares;
    /** Offered work of each model in slots, see ModelDemand::slots(). */
    std::map<std::string, double> m_slots;
    /** Mean number of slots that a replica of each model may occupy so that first events come in time, see targetOccupancy(). */
    std::map<std::string, double> m_slotsPerReplica;
};

/** Demand and replicas of one model. */
struct ModelSupply
{
    double m_demandSlots = 0.0;
    double m_slotsPerReplica = 0.0;
    int m_openReplicas = 0;
    /** Replicas that serve or are being formed, also by moves that are under way. */
    int m_expectedReplicas = 0;
};

/** Why a move began or ended. */
enum class MoveState {
    /** The engines load the weights of their new model. */
    Begun,
    /** The engines have the weights and may join replicas of their new model. */
    Joined,
    /** An engine refused to load the weights, or did not finish in time. */
    LoadFailed,
    /** An engine died, restarted or announced that it will stop. */
    EngineLost,
    /** An engine joined a replica of its model. */
    EngineNeeded,
    /** The move would no longer complete a replica, or would leave its model without a spare. */
    NotUseful,
    /** Another term of leadership began. */
    TermEnded,
};

inline constexpr EnumNames<7> MoveStateNames{"begun", "joined", "load-failed", "engine-lost", "engine-needed", "not-useful", "term-ended"};

/** Spare engines of one domain that get the weights of another model to complete a replica of it. */
struct ReplicaMove
{
    std::string m_domain;
    std::string m_from;
    std::string m_to;
    std::vector<std::string> m_engines;
    std::int64_t m_begunMs = 0;
};

/** A begun or ended move, for the log. */
struct MoveEvent
{
    ReplicaMove m_move;
    MoveState m_state = MoveState::Begun;
};

/**
 * Decides from the demand of all models which model is short of replicas and which has plenty. A model is short if its demand is above 0.8 of its capacity, or
 * if its demand per replica has been 1.5 times that of the other model for 3 s. A model has plenty while its demand is below 0.6 of its capacity. Moves of
 * spares take no capacity away, so that the demand stays below after the move.
 */
class MoveConditions
{
public:
    /** Updates the supply of all models. Must be called several times a second. */
    void update(const std::map<std::string, ModelSupply> &models, std::int64_t nowMs);
    /** Forgets all earlier calls of update(). */
    void reset();
    /** Returns the model whose demand is the largest part of its capacity; empty if there is no demand. */
    std::string busiest() const;
    /** Returns whether engines may be moved from @p from to @p to. */
    bool allows(const std::string &from, const std::string &to, std::int64_t nowMs) const;

private:
    std::map<std::string, ModelSupply> m_models;
    /** Since when the demand per replica of the first model has been much larger than that of the second one. */
    std::map<std::pair<std::string, std::string>, std::int64_t> m_unevenSinceMs;
};

/** Remembers the last moves of each domain, so that engines are not moved back and forth. Memory: one entry for each domain and pair of models. */
class MoveHistory
{
public:
    /** Records that @p move ended with @p state. */
    void record(const ReplicaMove &move, MoveState state, std::int64_t nowMs);
    /** Returns whether a move from @p from to @p to may begin: none in the opposite direction and none that failed has ended within PauseMs. */
    bool allows(const std::string &domain, const std::string &from, const std::string &to, std::int64_t nowMs) const;

    /** No engines are moved back within this time, in ms. */
    static constexpr std::int64_t PauseMs = 30'000;

private:
    struct EndedMove
    {
        MoveState m_state = MoveState::Joined;
        std::int64_t m_endedMs = 0;
    };

    std::map<std::string, std::map<std::pair<std::string, std::string>, EndedMove>> m_ended;
};
}
