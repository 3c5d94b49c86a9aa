// Problem: engines of a model that has plenty must serve one that is short, without stopping work, and any engine, load or leader may fail on the way.
// Approach: a move only loads weights, onto engines that serve nobody. They keep their model until all of them have the weights, so that a move that fails
// leaves everything as it was. Then they count as spares of the other model, and the usual rules form a replica of them.
// Assigning them to the other model first would leave their own without spares while they load.

#include "kernel/replicareconciler.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace knapweedslip
{
namespace
{
bool contains(const std::vector<std::string> &list, const std::string &value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}

double valueOr0(const std::map<std::string, double> &values, const std::string &key)
{
    const auto found = values.find(key);
    return found == values.end() ? 0.0 : found->second;
}
}

std::string ReplicaReconciler::assignedModel(const UpstreamEntry &entry) const
{
    // A member of rank 0 that is not open may be a spare, which may have been given the weights of another model.
    const bool serves = entry.m_rank > 0 || entry.m_phase == MemberPhase::Open || entry.m_phase == MemberPhase::Closing;
    std::string model = replicaModel(entry.m_replica.m_name);
    if (serves && findModel(m_service, model) != nullptr) {
        return model;
    }
    const bool isStaged = !entry.m_stagedModels.empty() && findModel(m_service, entry.m_stagedModels.back()) != nullptr;
    return isStaged ? entry.m_stagedModels.back() : std::string();
}

void ReplicaReconciler::updateMoves(std::int64_t nowMs, ReconcilerActions &actions)
{
    actions.m_moves.insert(actions.m_moves.end(), m_endedMoves.begin(), m_endedMoves.end());
    m_endedMoves.clear();
    for (auto it = m_moves.begin(); it != m_moves.end();) {
        const MoveState state = checkMove(it->second, nowMs);
        if (state != MoveState::Begun) {
            endMove(it->second, state, nowMs, actions);
        }
        it = state == MoveState::Begun ? std::next(it) : m_moves.erase(it);
    }
    updateMoveConditions(nowMs);
    // What an earlier leader moved is not known, so that engines might be moved back too soon.
    const std::string to = m_moveConditions.busiest();
    if (!m_serving || to.empty() || nowMs - m_termStartMs < MoveHistory::PauseMs) {
        return;
    }
    ReplicaMove move = findMove(to, nowMs);
    if (move.m_engines.empty()) {
        return;
    }
    for (const std::string &id : move.m_engines) {
        Engine &engine = m_engines[id];
        engine.m_moveModel = to;
        engine.m_nextMoveOrderMs = nowMs;
        engine.m_moveLoadMs = -1;
        engine.m_moveRefused = false;
    }
    actions.m_moves.push_back({move, MoveState::Begun});
    m_moves[move.m_domain] = std::move(move);
}

MoveState ReplicaReconciler::checkMove(const ReplicaMove &move, std::int64_t nowMs) const
{
    const ServedModel *from = findModel(m_service, move.m_from);
    const ServedModel *to = findModel(m_service, move.m_to);
    if (from == nullptr || to == nullptr) {
        return MoveState::NotUseful;
    }
    bool haveWeights = true;
    for (const std::string &id : move.m_engines) {
        const auto found = m_engines.find(id);
        if (found == m_engines.end() || !isUsable(found->second) || found->second.m_moveModel != move.m_to) {
            return MoveState::EngineLost;
        }
        const Engine &engine = found->second;
        const ManagedReplica *replica = replicaOf(id);
        if (replica != nullptr && !(replica->m_spare && replica->m_phase == ReplicaPhase::Joining)) {
            return MoveState::EngineNeeded;
        }
        if (engine.m_moveRefused) {
            return MoveState::LoadFailed;
        }
        haveWeights = haveWeights && !engine.m_loading && contains(engine.m_entry.m_stagedModels, move.m_to);
    }
    const int moved = static_cast<int>(move.m_engines.size());
    const int remaining = static_cast<int>(freeEngines(move.m_domain, move.m_from).size()) - moved;
    const bool keepsSpare = remaining >= (replicasIn(move.m_domain, move.m_from) > 0 ? 1 : 0);
    const int missing = missingEngines(move.m_domain, *to, static_cast<int>(freeEngines(move.m_domain, move.m_to).size()));
    if (!keepsSpare || missing <= 0 || missing > moved) {
        return MoveState::NotUseful;
    }
    if (haveWeights) {
        return MoveState::Joined;
    }
    const double timeoutMs = m_settings.m_loadTimeoutFactor * static_cast<double>(to->m_loadMs);
    return static_cast<double>(nowMs - move.m_begunMs) > timeoutMs ? MoveState::LoadFailed : MoveState::Begun;
}

void ReplicaReconciler::endMove(const ReplicaMove &move, MoveState state, std::int64_t nowMs, ReconcilerActions &actions)
{
    for (const std::string &id : move.m_engines) {
        Engine *engine = find(id);
        if (engine == nullptr || engine->m_moveModel != move.m_to) {
            continue;
        }
        if (state == MoveState::Joined) {
            engine->m_model = move.m_to;
        }
        // A load that goes on counts against the limits until it ends, see stageMoves().
        if (!engine->m_loading) {
            engine->m_moveModel.clear();
        }
    }
    m_moveHistory.record(move, state, nowMs);
    actions.m_moves.push_back({move, state});
}

void ReplicaReconciler::updateMoveConditions(std::int64_t nowMs)
{
    std::map<std::string, ModelSupply> models;
    if (!m_demand.m_slots.empty()) {
        for (const ServedModel &model : m_service.m_engines->m_models) {
            ModelSupply &supply = models[model.m_name];
            supply.m_demandSlots = valueOr0(m_demand.m_slots, model.m_name);
            supply.m_slotsPerReplica = valueOr0(m_demand.m_slotsPerReplica, model.m_name);
        }
    }
    for (const std::pair<const ReplicaRef, ManagedReplica> &entry : m_replicas) {
        const auto supply = models.find(entry.second.m_model);
        if (supply != models.end() && !entry.second.m_spare) {
            supply->second.m_openReplicas += entry.second.m_phase == ReplicaPhase::Open ? 1 : 0;
            supply->second.m_expectedReplicas += entry.second.m_phase == ReplicaPhase::Closing ? 0 : 1;
        }
    }
    for (const std::pair<const std::string, ReplicaMove> &entry : m_moves) {
        const auto supply = models.find(entry.second.m_to);
        if (supply != models.end()) {
            ++supply->second.m_expectedReplicas;
        }
    }
    m_moveConditions.update(models, nowMs);
}

ReplicaMove ReplicaReconciler::findMove(const std::string &to, std::int64_t nowMs) const
{
    const ServedModel *toModel = findModel(m_service, to);
    std::set<std::string> domains;
    for (const std::pair<const std::string, Engine> &entry : m_engines) {
        domains.insert(entry.second.m_entry.m_domain);
    }
    ReplicaMove best;
    std::ptrdiff_t fewestLoads = 0;
    for (const ServedModel &from : m_service.m_engines->m_models) {
        if (toModel == nullptr || !m_moveConditions.allows(from.m_name, to, nowMs)) {
            continue;
        }
        for (const std::string &domain : domains) {
            if (m_moves.count(domain) > 0 || !m_moveHistory.allows(domain, from.m_name, to, nowMs) || isUnsettled(domain)) {
                continue;
            }
            ReplicaMove move = planMove(domain, from, *toModel);
            const std::ptrdiff_t loads = std::count_if(move.m_engines.begin(), move.m_engines.end(), [this, &to](const std::string &engine) {
                return !contains(m_engines.at(engine).m_entry.m_stagedModels, to);
            });
            if (!move.m_engines.empty() && (best.m_engines.empty() || loads < fewestLoads)) {
                best = std::move(move);
                best.m_begunMs = nowMs;
                fewestLoads = loads;
            }
        }
    }
    return best;
}

ReplicaMove ReplicaReconciler::planMove(const std::string &domain, const ServedModel &from, const ServedModel &to) const
{
    ReplicaMove move{domain, from.m_name, to.m_name, {}, 0};
    const std::vector<std::string> spares = freeEngines(domain, from.m_name);
    const int missing = missingEngines(domain, to, static_cast<int>(freeEngines(domain, to.m_name).size()));
    const int kept = replicasIn(domain, from.m_name) > 0 ? 1 : 0;
    // Enough engines for a replica of their own model are about to form it.
    const bool areNeeded = static_cast<int>(spares.size()) >= std::max(from.m_vmsPerReplica, 1);
    if (missing <= 0 || areNeeded || static_cast<int>(spares.size()) - missing < kept) {
        return move;
    }
    std::copy_if(spares.begin(), spares.end(), std::back_inserter(move.m_engines), [this](const std::string &engine) {
        return mayBeMoved(m_engines.at(engine));
    });
    std::stable_partition(move.m_engines.begin(), move.m_engines.end(), [this, &to](const std::string &engine) {
        return contains(m_engines.at(engine).m_entry.m_stagedModels, to.m_name);
    });
    move.m_engines.resize(static_cast<int>(move.m_engines.size()) < missing ? 0 : static_cast<std::size_t>(missing));
    return move;
}

int ReplicaReconciler::missingEngines(const std::string &domain, const ServedModel &to, int engines) const
{
    const int size = std::max(to.m_vmsPerReplica, 1);
    if (engines >= size) {
        return 0;
    }
    const int kept = engines > 0 && replicasIn(domain, to.m_name) > 0 ? 1 : 0;
    return size - (engines - kept);
}

std::vector<std::string> ReplicaReconciler::freeEngines(const std::string &domain, const std::string &model) const
{
    std::vector<std::string> engines;
    for (const std::pair<const std::string, Engine> &entry : m_engines) {
        const ManagedReplica *replica = replicaOf(entry.first);
        const bool isFree = replica == nullptr || (replica->m_spare && replica->m_phase == ReplicaPhase::Joining);
        if (isFree && isUsable(entry.second) && entry.second.m_model == model && entry.second.m_entry.m_domain == domain) {
            engines.push_back(entry.first);
        }
    }
    return engines;
}

int ReplicaReconciler::replicasIn(const std::string &domain, const std::string &model) const
{
    return static_cast<int>(
        std::count_if(m_replicas.begin(), m_replicas.end(), [this, &domain, &model](const std::pair<const ReplicaRef, ManagedReplica> &entry) {
            const auto member = m_engines.find(entry.second.m_members.back());
            return !entry.second.m_spare && entry.second.m_model == model && member != m_engines.end() && member->second.m_entry.m_domain == domain;
        }));
}

bool ReplicaReconciler::isUnsettled(const std::string &domain) const
{
    const bool hasUnassigned = std::any_of(m_engines.begin(), m_engines.end(), [this, &domain](const std::pair<const std::string, Engine> &entry) {
        return isUsable(entry.second) && entry.second.m_model.empty() && entry.second.m_entry.m_domain == domain;
    });
    return hasUnassigned || std::any_of(m_replicas.begin(), m_replicas.end(), [this, &domain](const std::pair<const ReplicaRef, ManagedReplica> &entry) {
               const auto member = m_engines.find(entry.second.m_members.back());
               return entry.second.m_phase == ReplicaPhase::Closing && member != m_engines.end() && member->second.m_entry.m_domain == domain;
           });
}

bool ReplicaReconciler::mayBeMoved(const Engine &engine) const
{
    const ManagedReplica *replica = replicaOf(engine.m_entry.m_id);
    // A spare that still joins waits for the answers to its join order.
    const bool isReady = replica == nullptr || replica->m_readyMembers.count(engine.m_entry.m_id) > 0;
    return isReady && engine.m_moveModel.empty() && !engine.m_loading;
}

void ReplicaReconciler::stageMoves(std::int64_t nowMs, ReconcilerActions &actions)
{
    for (std::pair<const std::string, Engine> &entry : m_engines) {
        Engine &engine = entry.second;
        if (engine.m_moveModel.empty()) {
            continue;
        }
        const auto move = m_moves.find(engine.m_entry.m_domain);
        const bool isMoved = move != m_moves.end() && contains(move->second.m_engines, entry.first);
        const ServedModel *model = findModel(m_service, engine.m_moveModel);
        const double timeoutMs = model == nullptr ? 0.0 : m_settings.m_loadTimeoutFactor * static_cast<double>(model->m_loadMs);
        const bool isLate = engine.m_moveLoadMs >= 0 && static_cast<double>(nowMs - engine.m_moveLoadMs) > timeoutMs;
        if (!isMoved && (!engine.m_loading || isLate)) {
            engine.m_loading = false;
            engine.m_moveModel.clear();
            continue;
        }
        const ManagedReplica *replica = replicaOf(entry.first);
        const bool isBusy = replica != nullptr && !replica->m_spare && replica->m_phase != ReplicaPhase::Open;
        const bool hasWeights = !engine.m_loading && contains(engine.m_entry.m_stagedModels, engine.m_moveModel);
        if (isBusy || hasWeights || nowMs < engine.m_nextMoveOrderMs || (!engine.m_loading && !mayLoad(nowMs))) {
            continue;
        }
        EngineOrder order;
        order.m_kind = EngineOrderKind::Stage;
        order.m_engine = entry.first;
        order.m_model = engine.m_moveModel;
        if (sendOrder(engine, std::move(order), nowMs, actions) && !engine.m_loading) {
            engine.m_loading = true;
            engine.m_moveLoadMs = nowMs;
            m_loadStartsMs.push_back(nowMs);
        }
    }
}

void ReplicaReconciler::moveOrderAnswered(Engine &engine, const EngineOrder &order, OrderReply reply, std::int64_t nowMs)
{
    engine.m_nextMoveOrderMs = nowMs + m_settings.m_retryMs;
    const ServedModel *model = findModel(m_service, order.m_model);
    if (reply == OrderReply::Begun && model != nullptr) {
        engine.m_nextMoveOrderMs = nowMs + nextAskMs(engine, order, *model, nowMs);
        return;
    }
    engine.m_begunMs = -1;
    engine.m_loading = false;
    if (reply != OrderReply::Done) {
        engine.m_moveRefused = true;
    } else if (!contains(engine.m_entry.m_stagedModels, order.m_model)) {
        engine.m_entry.m_stagedModels.push_back(order.m_model);
    }
}
}
