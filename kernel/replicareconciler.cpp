// Problem: a replica breaks whenever one of its VMs dies; orders to engines are lost, delayed or refused; and an engine must never serve in
// two replicas at once.
// Approach: the leader runs one reconciler, which compares the reported state of the engines with the desired state and repeats the orders
// that are due until they are confirmed. Spare engines form replicas of one member, so that they have joined their model once before and can
// join another replica of it at once.
// A stored plan that is executed step by step would have to be repaired after each fault. A comparison corrects itself on the next tick.

#include "kernel/replicareconciler.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
/**
 * A new leader probes every engine and acts on the answers after this time: the delay of the reports (200 ms, operators' configuration)
 * plus a round trip.
 */
constexpr std::int64_t AdoptionDelayMs = 350;
/** The replica that an engine reports may be out of date for this long after an order: the delay of the reports plus that of the list. */
constexpr std::int64_t StaleReportMs = 1'500;
/** Settling time before the first client request. It is longer than m_settleMs, so that all domains are planned together. */
constexpr std::int64_t InitialSettleMs = 700;
/** Time between two probes of an engine that counts as dead. */
constexpr std::int64_t DeadProbeMs = 500;
/** Time between two probes of the members of a suspected replica: about the timeout of a probe. */
constexpr std::int64_t SuspectProbeMs = 120;
/** Time between two probes of an engine of which others report that it will stop: a false report costs no more than this. */
constexpr std::int64_t CheckLeavingMs = 1'000;
/** Before the first client request, the order to a loading engine is repeated at this interval once its load should have finished. */
constexpr std::int64_t InitialLoadPollMs = 100;
/** Fraction of its configured time that a load takes before the first client request (engine API). */
constexpr double InitialLoadFraction = 0.1;
/** An order with a known duration is repeated after this fraction of it. */
constexpr double EarlyRetryFraction = 0.97;
/** An order that takes longer is repeated each time that it has taken longer by this fraction. */
constexpr double LateRetryFraction = 0.05;

bool contains(const std::vector<std::string> &list, const std::string &value)
{
    return std::find(list.begin(), list.end(), value) != list.end();
}
}

ReplicaReconciler::ReplicaReconciler(const ReconcilerSettings &settings)
    : m_settings(settings)
{
}

void ReplicaReconciler::beginTerm(std::uint64_t fence, const CallService &service, bool enginesCheckFence, std::int64_t nowMs)
{
    m_service = service;
    m_term = {fence, enginesCheckFence};
    m_nextEpoch = epochBeforeTerm(fence);
    m_termStartMs = nowMs;
    m_replicas.clear();
    m_demand = {};
    m_moveConditions.reset();
    m_moveHistory = {};
    for (std::pair<const std::string, ReplicaMove> &entry : m_moves) {
        m_endedMoves.push_back({std::move(entry.second), MoveState::TermEnded});
    }
    m_moves.clear();
    for (std::pair<const std::string, Engine> &entry : m_engines) {
        entry.second.m_orderPending = false;
        entry.second.m_begunMs = -1;
        entry.second.m_nextOrderMs = 0;
        entry.second.m_answeredMs = -1;
        entry.second.m_probedMs = -1;
        entry.second.m_missedProbes = 0;
        entry.second.m_dead = false;
        // Since this daemon last led, another one may have opened what was closed then.
        entry.second.m_releasedEpoch = 0;
        entry.second.m_left = {};
        entry.second.m_settledReplica = {};
        entry.second.m_hasReported = false;
        knapweedslip::beginTerm(entry.second.m_history);
        // Another leader may have moved the engine to another model.
        const std::string assigned = assignedModel(entry.second.m_entry);
        entry.second.m_model = assigned.empty() ? entry.second.m_model : assigned;
        entry.second.m_loading = entry.second.m_loading && entry.second.m_moveModel.empty();
        entry.second.m_moveModel.clear();
    }
}

void ReplicaReconciler::setService(const CallService &service)
{
    m_service = service;
}

void ReplicaReconciler::setServing(bool serving)
{
    m_serving = serving;
}

void ReplicaReconciler::setDemand(ReplicaDemand demand)
{
    m_demand = std::move(demand);
}

void ReplicaReconciler::observe(const UpstreamEntry &entry, std::int64_t nowMs)
{
    const auto found = m_engines.find(entry.m_id);
    const bool known = found != m_engines.end();
    const bool restarted = known && found->second.m_entry.m_startedMs != entry.m_startedMs;
    Engine &engine = m_engines[entry.m_id];
    if (!known || restarted) {
        engine = Engine();
        engine.m_appearedMs = nowMs;
    }
    if (restarted) {
        for (std::pair<const ReplicaRef, ManagedReplica> &replica : m_replicas) {
            if (contains(replica.second.m_members, entry.m_id)) {
                replica.second.m_leftMembers.insert(entry.m_id);
            }
        }
    }
    engine.m_entry = entry;
    engine.m_listed = true;
    // In a new term, the first reports show what another leader assigned meanwhile.
    const bool isAdopting = m_term.m_fence > 0 && nowMs - m_termStartMs < AdoptionDelayMs;
    const std::string assigned = assignedModel(entry);
    if (!assigned.empty() && (engine.m_model.empty() || isAdopting)) {
        engine.m_model = assigned;
    }
    const bool joined = entry.m_phase == MemberPhase::Ready || entry.m_phase == MemberPhase::Open || entry.m_phase == MemberPhase::Closing;
    if (engine.m_warmModel.empty() && joined) {
        engine.m_warmModel = replicaModel(entry.m_replica.m_name);
    }
}

void ReplicaReconciler::markUnlisted(const std::string &engine)
{
    if (Engine *found = find(engine)) {
        found->m_listed = false;
    }
}

void ReplicaReconciler::markLeaving(const std::string &engine, std::int64_t startedMs)
{
    Engine *found = find(engine);
    if (found != nullptr && found->m_entry.m_startedMs == startedMs) {
        found->m_saysLeaving = true;
    }
}

void ReplicaReconciler::checkLeaving(const std::string &engine, std::int64_t nowMs)
{
    Engine *found = find(engine);
    const bool isChecked = found == nullptr || isLeaving(*found) || (found->m_checkedLeavingMs >= 0 && nowMs - found->m_checkedLeavingMs < CheckLeavingMs);
    if (!isChecked) {
        found->m_checkLeaving = true;
        found->m_checkedLeavingMs = nowMs;
    }
}

void ReplicaReconciler::probeAnswered(const UpstreamEntry &reported, std::int64_t nowMs)
{
    Engine *found = find(reported.m_id);
    if (found == nullptr) {
        return;
    }
    if (found->m_entry.m_startedMs != reported.m_startedMs) {
        markDead(*found, nowMs);
        return;
    }
    const bool isCopy = reported.m_ordersBegun >= 0 && reported.m_ordersBegun < found->m_ordersBegun;
    if (isCopy) {
        // A second copy of an earlier report, sent where the next one is due.
        return;
    }
    // A report shows the state of the engine, not whether it is listed.
    const bool listed = found->m_listed;
    observe(reported, nowMs);
    found->m_listed = listed;
    found->m_hasReported = true;
    found->m_reportedReplica = reported.m_replica;
    found->m_ordersBegun = reported.m_ordersBegun;
    recordJoinedEpoch(found->m_history, reported.m_replica.m_epoch);
    forgetLeftReplica(*found);
    found->m_answeredMs = nowMs;
    found->m_missedProbes = 0;
    found->m_dead = false;
}

void ReplicaReconciler::probeFailed(const std::string &engine, bool refused, std::int64_t nowMs)
{
    Engine *found = find(engine);
    if (found == nullptr || nowMs - found->m_answeredMs < SuspectProbeMs) {
        return;
    }
    ++found->m_missedProbes;
    // The next probe is due at once, so that one lost packet does not delay the detection of a death by a whole interval.
    found->m_probedMs = -1;
    if (refused || found->m_missedProbes >= m_settings.m_missedProbesUntilDead) {
        markDead(*found, nowMs);
    }
}

void ReplicaReconciler::markDead(Engine &engine, std::int64_t nowMs)
{
    engine.m_dead = true;
    engine.m_probedMs = nowMs;
}

void ReplicaReconciler::orderAnswered(const EngineOrder &order, OrderReply reply, std::int64_t nowMs)
{
    Engine *engine = find(order.m_engine);
    if (engine == nullptr) {
        return;
    }
    engine->m_orderPending = false;
    engine->m_nextOrderMs = nowMs + m_settings.m_retryMs;
    recordReply(engine->m_history, order, reply);
    const auto found = m_replicas.find(order.m_replica);
    ManagedReplica *replica = found == m_replicas.end() ? nullptr : &found->second;
    if (reply == OrderReply::Unanswered) {
        engine->m_nextOrderMs = nowMs + m_settings.m_unansweredRetryMs;
        engine->m_probedMs = -1;
        return;
    }
    if (reply == OrderReply::NotListening || reply == OrderReply::WrongEngine) {
        markDead(*engine, nowMs);
        return;
    }
    engine->m_answeredMs = nowMs;
    engine->m_missedProbes = 0;
    engine->m_dead = false;
    const ServedModel *model = findModel(m_service, order.m_model);
    if (reply == OrderReply::Fenced && replica != nullptr && replica->m_phase != ReplicaPhase::Closing) {
        // The engine has seen a later epoch, or another member list for this one. The replica is closed, and its successor has a new epoch.
        replica->m_refused = true;
    }
    if (order.m_kind == EngineOrderKind::Stage && order.m_model == engine->m_moveModel) {
        moveOrderAnswered(*engine, order, reply, nowMs);
        return;
    }
    switch (order.m_kind) {
    case EngineOrderKind::Stage:
    case EngineOrderKind::Join:
        if (reply == OrderReply::Done) {
            // A load for a move goes on while the engine joins a replica.
            engine->m_loading = engine->m_loading && !engine->m_moveModel.empty();
            engine->m_loadConfirmed = false;
            if (!contains(engine->m_entry.m_stagedModels, order.m_model)) {
                engine->m_entry.m_stagedModels = {order.m_model};
            }
        }
        if (reply == OrderReply::Begun && model != nullptr) {
            engine->m_nextOrderMs = nowMs + nextAskMs(*engine, order, *model, nowMs);
        } else {
            engine->m_begunMs = -1;
        }
        if (reply == OrderReply::Unfit) {
            // It has begun another order since its last report.
            engine->m_hasReported = false;
        }
        forgetLeftReplica(*engine);
        if (order.m_kind == EngineOrderKind::Join && reply == OrderReply::Done) {
            engine->m_warmModel = order.m_model;
            if (replica != nullptr) {
                replica->m_readyMembers.insert(order.m_engine);
            }
        }
        break;
    case EngineOrderKind::Open:
        if (reply == OrderReply::Begun) {
            engine->m_nextOrderMs = nowMs + (m_service.m_engines ? m_service.m_engines->m_openMs : 0);
        } else if (reply == OrderReply::Done && replica != nullptr && replica->m_phase == ReplicaPhase::Opening) {
            replica->m_phase = ReplicaPhase::Open;
            replica->m_phaseSinceMs = nowMs;
            replica->m_progressMs = nowMs;
        }
        break;
    case EngineOrderKind::Close:
        if (replica != nullptr && (reply == OrderReply::Done || reply == OrderReply::Unfit)) {
            // The replica is closed or was never open.
            replica->m_headClosed = true;
            engine->m_nextOrderMs = nowMs;
            settle(*replica, nowMs);
        }
        break;
    case EngineOrderKind::Leave:
        if (reply == OrderReply::Done || reply == OrderReply::Begun || reply == OrderReply::Unfit) {
            engine->m_nextOrderMs = nowMs;
            engine->m_hasReported = false;
            if (replica != nullptr) {
                replica->m_leftMembers.insert(order.m_engine);
                settle(*replica, nowMs);
                releaseMember(*engine, *replica, nowMs);
            }
        }
        break;
    }
}

void ReplicaReconciler::settle(ManagedReplica &replica, std::int64_t nowMs)
{
    const std::string &head = replica.m_members.front();
    const bool headLeft = replica.m_leftMembers.count(head) > 0;
    if (!replica.m_headClosed && !headLeft) {
        return;
    }
    const Engine *engine = find(head);
    const OrderHistory history = engine == nullptr ? OrderHistory() : engine->m_history;
    const bool mayBeInReplica = !headLeft || mayStillAct(history, m_term, EngineOrderKind::Join, replica.m_ref);
    if (mayBeInReplica && mayStillAct(history, m_term, EngineOrderKind::Open, replica.m_ref)) {
        return;
    }
    replica.m_settled = true;
    replica.m_leftMembers.insert(replica.m_members.begin(), replica.m_members.end());
    releaseMembers(replica, nowMs);
}

std::int64_t ReplicaReconciler::nextAskMs(Engine &engine, const EngineOrder &order, const ServedModel &model, std::int64_t nowMs) const
{
    const bool load = needsLoad(engine, order.m_model);
    const bool isKnown =
        engine.m_begunMs >= 0 && engine.m_begunKind == order.m_kind && engine.m_begunReplica == order.m_replica && engine.m_begunModel == order.m_model;
    if (load && !m_serving && engine.m_loadConfirmed) {
        return InitialLoadPollMs;
    }
    if (isKnown) {
        // It takes longer than usual, so the pauses grow with the time that it has taken.
        return std::max(m_settings.m_retryMs, static_cast<std::int64_t>(LateRetryFraction * static_cast<double>(nowMs - engine.m_begunMs)));
    }
    engine.m_begunKind = order.m_kind;
    engine.m_begunReplica = order.m_replica;
    engine.m_begunModel = order.m_model;
    engine.m_begunMs = nowMs;
    std::int64_t usualMs = load ? model.m_loadMs : model.m_warmUpMs;
    if (order.m_kind == EngineOrderKind::Join && !load && engine.m_warmModel == order.m_model) {
        usualMs = m_settings.m_warmJoinMs;
    }
    double fraction = EarlyRetryFraction;
    if (load && !m_serving) {
        fraction *= InitialLoadFraction;
        engine.m_loadConfirmed = true;
    }
    return static_cast<std::int64_t>(fraction * static_cast<double>(usualMs));
}

void ReplicaReconciler::suspect(const ReplicaRef &replica, std::int64_t nowMs)
{
    const auto found = m_replicas.find(replica);
    if (found == m_replicas.end() || found->second.m_phase != ReplicaPhase::Open || nowMs - found->second.m_phaseSinceMs < m_settings.m_recentProgressMs) {
        return;
    }
    // Progress after the previous suspicion has ended it, so a new one starts now.
    if (found->second.m_suspectedMs < found->second.m_progressMs) {
        found->second.m_suspectedMs = nowMs;
    }
}

void ReplicaReconciler::recordProgress(const ReplicaRef &replica, std::int64_t atMs)
{
    const auto found = m_replicas.find(replica);
    if (found != m_replicas.end()) {
        found->second.m_progressMs = std::max(found->second.m_progressMs, atMs);
    }
}

ReconcilerActions ReplicaReconciler::tick(std::int64_t nowMs)
{
    ReconcilerActions actions;
    if (!m_service.m_engines) {
        return actions;
    }
    if (nowMs - m_termStartMs < AdoptionDelayMs) {
        sendProbes(nowMs, actions);
        return actions;
    }
    adoptUnmanagedReplicas(nowMs, actions);
    for (std::pair<const ReplicaRef, ManagedReplica> &entry : m_replicas) {
        checkReplica(entry.second, nowMs, actions);
    }
    for (auto it = m_replicas.begin(); it != m_replicas.end();) {
        const bool finished = it->second.m_phase == ReplicaPhase::Closing && sendCloseOrders(it->second, nowMs, actions);
        if (finished) {
            releaseMembers(it->second, nowMs);
        }
        it = finished ? m_replicas.erase(it) : std::next(it);
    }
    assignModels(nowMs);
    updateMoves(nowMs, actions);
    formReplicas(nowMs, actions);
    for (std::pair<const ReplicaRef, ManagedReplica> &entry : m_replicas) {
        advanceReplica(entry.second, nowMs, actions);
    }
    stageWeights(nowMs, actions);
    stageMoves(nowMs, actions);
    sendProbes(nowMs, actions);
    removeUnusedEngines();
    return actions;
}

const UpstreamEntry *ReplicaReconciler::entry(const std::string &engine) const
{
    const auto found = m_engines.find(engine);
    return found == m_engines.end() ? nullptr : &found->second.m_entry;
}

const std::map<ReplicaRef, ManagedReplica> &ReplicaReconciler::replicas() const
{
    return m_replicas;
}

std::uint64_t ReplicaReconciler::fence() const
{
    return m_term.m_fence;
}

void ReplicaReconciler::adoptUnmanagedReplicas(std::int64_t nowMs, ReconcilerActions &actions)
{
    std::map<ReplicaRef, std::map<int, std::string>> unmanaged;
    for (const std::pair<const std::string, Engine> &entry : m_engines) {
        const Engine &engine = entry.second;
        const UpstreamEntry &reported = engine.m_entry;
        if (engine.m_dead || reported.m_replica.empty() || reported.m_rank < 0 || replicaOf(entry.first) != nullptr) {
            continue;
        }
        // An open order that was carried out late may have reopened a replica that was already closed.
        const bool serves = reported.m_phase == MemberPhase::Open || reported.m_phase == MemberPhase::Closing;
        const bool openedLate = serves && nowMs - engine.m_releasedMs > StaleReportMs;
        if (reported.m_replica.m_epoch > engine.m_releasedEpoch || openedLate) {
            unmanaged[reported.m_replica][reported.m_rank] = entry.first;
        }
    }
    for (const std::pair<const ReplicaRef, std::map<int, std::string>> &entry : unmanaged) {
        const auto managed = m_replicas.find(entry.first);
        if (managed == m_replicas.end()) {
            adoptReplica(entry.first, entry.second, nowMs, actions);
            continue;
        }
        // These members were unknown when their replica was adopted. They become free together with the replica.
        for (const std::pair<const int, std::string> &member : entry.second) {
            managed->second.m_leftMembers.erase(member.second);
            if (!contains(managed->second.m_members, member.second)) {
                managed->second.m_members.push_back(member.second);
            }
        }
    }
}

void ReplicaReconciler::adoptReplica(const ReplicaRef &ref, const std::map<int, std::string> &ranks, std::int64_t nowMs, ReconcilerActions &actions)
{
    ManagedReplica replica;
    replica.m_ref = ref;
    replica.m_model = replicaModel(ref.m_name);
    replica.m_progressMs = nowMs;
    const ServedModel *model = findModel(m_service, replica.m_model);
    const bool hasHead = ranks.begin()->first == 0;
    const MemberPhase headPhase = hasHead ? m_engines[ranks.begin()->second].m_entry.m_phase : MemberPhase::None;
    if (!hasHead) {
        // The head is unknown. An empty id takes its place and counts as dead.
        replica.m_members.emplace_back();
    }
    for (const std::pair<const int, std::string> &member : ranks) {
        replica.m_members.push_back(member.second);
    }
    const bool complete =
        model != nullptr && hasHead && static_cast<int>(ranks.size()) == model->m_vmsPerReplica && ranks.rbegin()->first == model->m_vmsPerReplica - 1;
    const bool neverOpened = headPhase == MemberPhase::Ready || headPhase == MemberPhase::Joining;
    // The member list of a spare or of the remains of a replica is unknown, so no engine can be told to join it. Where engines do not check fencing
    // tokens, a member may still get an earlier leader's order to join another replica. In both cases the head is told to leave, and then also
    // refuses an open order that an earlier leader may have in flight.
    const bool mayContinue = complete && m_term.m_enginesCheckFence;
    replica.m_headClosed = neverOpened && !mayContinue;
    ReplicaPhase phase = ReplicaPhase::Closing;
    if (complete && headPhase == MemberPhase::Open) {
        phase = ReplicaPhase::Open;
        replica.m_readyMembers.insert(replica.m_members.begin(), replica.m_members.end());
    } else if (neverOpened && mayContinue) {
        phase = ReplicaPhase::Joining;
    } else {
        replica.m_cause = ClosingCause::Incomplete;
        replica.m_preempt = true;
    }
    setPhase(m_replicas.emplace(ref, std::move(replica)).first->second, phase, nowMs, actions);
}

void ReplicaReconciler::releaseMembers(const ManagedReplica &replica, std::int64_t nowMs)
{
    for (const std::string &member : replica.m_members) {
        // A member that counted as dead and has not confirmed that it left may still serve. It is asked again once it answers.
        Engine *engine = find(member);
        const bool unconfirmed = replica.m_phase == ReplicaPhase::Closing && replica.m_leftMembers.count(member) == 0;
        if (engine != nullptr && !unconfirmed) {
            releaseMember(*engine, replica, nowMs);
        }
    }
}

void ReplicaReconciler::releaseMember(Engine &engine, const ManagedReplica &replica, std::int64_t nowMs)
{
    if (replica.m_ref.m_epoch <= engine.m_releasedEpoch) {
        return;
    }
    engine.m_releasedEpoch = replica.m_ref.m_epoch;
    engine.m_releasedMs = nowMs;
    if (replica.m_settled) {
        engine.m_settledReplica = replica.m_ref;
    }
    const bool mayComeBack = mayStillAct(engine.m_history, m_term, EngineOrderKind::Join, replica.m_ref);
    if (replica.m_phase == ReplicaPhase::Closing && !replica.m_settled && mayComeBack) {
        engine.m_left = replica.m_ref;
    }
}

void ReplicaReconciler::forgetLeftReplica(Engine &engine)
{
    if (engine.m_history.m_joinedEpoch > engine.m_left.m_epoch) {
        engine.m_left = {};
    }
}

void ReplicaReconciler::removeUnusedEngines()
{
    for (auto it = m_engines.begin(); it != m_engines.end();) {
        const bool unneeded = !it->second.m_listed && !isMember(it->first);
        it = unneeded ? m_engines.erase(it) : std::next(it);
    }
}

void ReplicaReconciler::checkReplica(ManagedReplica &replica, std::int64_t nowMs, ReconcilerActions &actions)
{
    if (replica.m_phase == ReplicaPhase::Closing) {
        return;
    }
    if (replica.m_refused) {
        startClosing(replica, ClosingCause::Refused, true, nowMs, actions);
        return;
    }
    const bool recentProgress = nowMs - replica.m_progressMs < m_settings.m_recentProgressMs && replica.m_phase == ReplicaPhase::Open;
    for (const std::string &member : replica.m_members) {
        const Engine *engine = find(member);
        const bool gone = engine == nullptr || replica.m_leftMembers.count(member) > 0;
        if (gone || (engine->m_dead && !recentProgress)) {
            actions.m_events.push_back({replica.m_ref, replica.m_phase, ClosingCause::MemberLost, member});
            startClosing(replica, ClosingCause::MemberLost, true, nowMs, actions);
            return;
        }
        // An unlisted head may get no new requests. Any other unlisted member that still answers has only lost its connection to the list.
        const bool headUnlisted = !engine->m_listed && member == replica.m_members.front();
        if (isLeaving(*engine) || headUnlisted) {
            startClosing(replica, ClosingCause::MemberLeaving, false, nowMs, actions);
            return;
        }
        if (isElsewhere(*engine, replica, nowMs)) {
            startClosing(replica, ClosingCause::MemberElsewhere, true, nowMs, actions);
            return;
        }
        if (member == replica.m_members.front() && engine->m_entry.m_phase == MemberPhase::Broken && engine->m_entry.m_replica == replica.m_ref) {
            startClosing(replica, ClosingCause::Stalled, true, nowMs, actions);
            return;
        }
    }
    const bool suspected = replica.m_phase == ReplicaPhase::Open && replica.m_suspectedMs > replica.m_progressMs;
    if (suspected && nowMs - replica.m_suspectedMs > m_settings.m_stallTimeoutMs) {
        startClosing(replica, ClosingCause::Stalled, true, nowMs, actions);
    } else if (isClosedAtHead(replica, nowMs)) {
        setPhase(replica, ReplicaPhase::Opening, nowMs, actions);
    }
}

bool ReplicaReconciler::isClosedAtHead(const ManagedReplica &replica, std::int64_t nowMs)
{
    const Engine *head = find(replica.m_members.front());
    const bool isReady = head != nullptr && head->m_entry.m_phase == MemberPhase::Ready && head->m_entry.m_replica == replica.m_ref;
    return replica.m_phase == ReplicaPhase::Open && isReady && nowMs - replica.m_phaseSinceMs > StaleReportMs;
}

bool ReplicaReconciler::isElsewhere(const Engine &engine, const ManagedReplica &replica, std::int64_t nowMs) const
{
    if (replica.m_phase != ReplicaPhase::Open || nowMs - replica.m_phaseSinceMs <= StaleReportMs || engine.m_entry.m_replica == replica.m_ref) {
        return false;
    }
    // Entries in the list may lack fields, so that only the engine's own report shows that it is in no replica.
    const bool isInNone = engine.m_entry.m_replica.empty() && engine.m_hasReported && engine.m_reportedReplica.empty()
                          && nowMs - replica.m_progressMs > m_settings.m_recentProgressMs;
    return engine.m_entry.m_replica.m_epoch > 0 || isInNone;
}

void ReplicaReconciler::startClosing(ManagedReplica &replica, ClosingCause cause, bool preempt, std::int64_t nowMs, ReconcilerActions &actions)
{
    replica.m_cause = cause;
    replica.m_preempt = preempt;
    if (replica.m_phase == ReplicaPhase::Joining) {
        // This term has not opened it. Under an earlier one its head may have begun to open, which shows only when it is open.
        replica.m_headClosed = true;
        if (replica.m_ref.m_epoch > epochBeforeTerm(m_term.m_fence)) {
            settle(replica, nowMs);
        }
    }
    setPhase(replica, ReplicaPhase::Closing, nowMs, actions);
}

void ReplicaReconciler::setPhase(ManagedReplica &replica, ReplicaPhase phase, std::int64_t nowMs, ReconcilerActions &actions)
{
    replica.m_phase = phase;
    replica.m_phaseSinceMs = nowMs;
    actions.m_events.push_back({replica.m_ref, phase, replica.m_cause, {}});
}

bool ReplicaReconciler::sendCloseOrders(ManagedReplica &replica, std::int64_t nowMs, ReconcilerActions &actions)
{
    const std::string &head = replica.m_members.front();
    Engine *headEngine = find(head);
    const bool headGone =
        headEngine == nullptr || headEngine->m_dead || (replica.m_leftMembers.count(head) > 0 && replica.m_leftMembers.size() < replica.m_members.size());
    bool finished = true;
    for (const std::string &member : replica.m_members) {
        Engine *engine = find(member);
        if (engine == nullptr || engine->m_dead || replica.m_leftMembers.count(member) > 0) {
            continue;
        }
        finished = false;
        EngineOrder order;
        order.m_engine = member;
        order.m_replica = replica.m_ref;
        order.m_model = replica.m_model;
        if (headGone || (replica.m_headClosed && member == head)) {
            order.m_kind = EngineOrderKind::Leave;
        } else if (member == head) {
            order.m_kind = EngineOrderKind::Close;
            order.m_preempt = replica.m_preempt || nowMs - replica.m_phaseSinceMs > m_settings.m_preemptAfterMs;
        } else {
            continue;
        }
        sendOrder(*engine, std::move(order), nowMs, actions);
    }
    return finished;
}

void ReplicaReconciler::advanceReplica(ManagedReplica &replica, std::int64_t nowMs, ReconcilerActions &actions)
{
    if (replica.m_phase == ReplicaPhase::Joining) {
        sendJoinOrders(replica, nowMs, actions);
        if (!replica.m_spare && replica.m_readyMembers.size() == replica.m_members.size()) {
            setPhase(replica, ReplicaPhase::Opening, nowMs, actions);
        }
    }
    if (replica.m_phase == ReplicaPhase::Opening) {
        if (Engine *head = find(replica.m_members.front())) {
            EngineOrder order;
            order.m_kind = EngineOrderKind::Open;
            order.m_engine = replica.m_members.front();
            order.m_replica = replica.m_ref;
            order.m_model = replica.m_model;
            sendOrder(*head, std::move(order), nowMs, actions);
        }
    }
}

void ReplicaReconciler::sendJoinOrders(ManagedReplica &replica, std::int64_t nowMs, ReconcilerActions &actions)
{
    for (const std::string &member : replica.m_members) {
        Engine *engine = find(member);
        if (engine == nullptr || replica.m_readyMembers.count(member) > 0) {
            continue;
        }
        const bool load = needsLoad(*engine, replica.m_model);
        if (load && !engine->m_loading && !mayLoad(nowMs)) {
            continue;
        }
        EngineOrder order;
        order.m_kind = EngineOrderKind::Join;
        order.m_engine = member;
        order.m_replica = replica.m_ref;
        order.m_model = replica.m_model;
        order.m_members = replica.m_members;
        if (sendOrder(*engine, std::move(order), nowMs, actions) && load && !engine->m_loading) {
            engine->m_loading = true;
            m_loadStartsMs.push_back(nowMs);
        }
    }
}

void ReplicaReconciler::assignModels(std::int64_t nowMs)
{
    std::map<std::string, LayoutDomain> domains;
    bool hasUnassigned = false;
    std::int64_t lastAppearedMs = 0;
    for (const std::pair<const std::string, Engine> &entry : m_engines) {
        const Engine &engine = entry.second;
        if (!isUsable(engine)) {
            continue;
        }
        LayoutDomain &domain = domains[engine.m_entry.m_domain];
        domain.m_domain = engine.m_entry.m_domain;
        domain.m_availabilityZone = engine.m_entry.m_availabilityZone;
        if (engine.m_model.empty()) {
            ++domain.m_unassigned;
            hasUnassigned = true;
            lastAppearedMs = std::max(lastAppearedMs, engine.m_appearedMs);
        } else {
            ++domain.m_assigned[engine.m_model];
        }
    }
    const std::int64_t settleMs = m_serving ? m_settings.m_settleMs : InitialSettleMs;
    if (!hasUnassigned || nowMs - lastAppearedMs < settleMs) {
        return;
    }
    std::vector<LayoutDomain> list;
    list.reserve(domains.size());
    for (std::pair<const std::string, LayoutDomain> &entry : domains) {
        list.push_back(std::move(entry.second));
    }
    LayoutPlan plan = planLayout(m_service.m_engines->m_models, list, m_demand.m_shares);
    for (std::pair<const std::string, Engine> &entry : m_engines) {
        Engine &engine = entry.second;
        if (!isUsable(engine) || !engine.m_model.empty()) {
            continue;
        }
        for (std::pair<const std::string, int> &wanted : plan[engine.m_entry.m_domain]) {
            if (wanted.second > 0) {
                --wanted.second;
                engine.m_model = wanted.first;
                break;
            }
        }
    }
}

void ReplicaReconciler::formReplicas(std::int64_t nowMs, ReconcilerActions &actions)
{
    struct DomainAndModel
    {
        std::string m_domain;
        std::string m_model;
        bool operator<(const DomainAndModel &other) const
        {
            return std::tie(m_domain, m_model) < std::tie(other.m_domain, other.m_model);
        }
    };
    std::map<DomainAndModel, std::vector<std::string>> freeEngines;
    for (const std::pair<const std::string, Engine> &entry : m_engines) {
        const ManagedReplica *replica = replicaOf(entry.first);
        const bool available = replica == nullptr || (replica->m_spare && replica->m_phase == ReplicaPhase::Joining);
        if (isUsable(entry.second) && !entry.second.m_model.empty() && available) {
            freeEngines[{entry.second.m_entry.m_domain, entry.second.m_model}].push_back(entry.first);
        }
    }
    for (std::pair<const DomainAndModel, std::vector<std::string>> &entry : freeEngines) {
        const ServedModel *model = findModel(m_service, entry.first.m_model);
        if (model == nullptr) {
            continue;
        }
        // Engines that can join at once come first, then engines that have the weights. Those that are to be moved come last.
        std::stable_sort(entry.second.begin(), entry.second.end(), [this, model](const std::string &left, const std::string &right) {
            const Engine &a = m_engines[left];
            const Engine &b = m_engines[right];
            const auto cost = [this, model](const Engine &engine) {
                return (engine.m_moveModel.empty() ? 0 : 4) + (needsLoad(engine, model->m_name) ? 2 : 0) + (engine.m_warmModel == model->m_name ? 0 : 1);
            };
            return cost(a) < cost(b);
        });
        const std::size_t size = static_cast<std::size_t>(std::max(model->m_vmsPerReplica, 1));
        while (entry.second.size() >= size) {
            std::vector<std::string> members(entry.second.begin(), entry.second.begin() + static_cast<std::ptrdiff_t>(size));
            const bool load = m_serving && std::any_of(members.begin(), members.end(), [this, model](const std::string &member) {
                                  return needsLoad(m_engines[member], model->m_name);
                              });
            if (load) {
                // Engines without weights are staged first. The others stay spares in the meantime.
                break;
            }
            entry.second.erase(entry.second.begin(), entry.second.begin() + static_cast<std::ptrdiff_t>(size));
            createReplica(*model, std::move(members), false, nowMs, actions);
        }
        for (const std::string &engine : entry.second) {
            // An engine that was moved to this model and is not needed yet is still a spare of the other one.
            const ManagedReplica *replica = replicaOf(engine);
            if ((replica == nullptr || replica->m_model != model->m_name) && size > 1 && (!m_serving || !needsLoad(m_engines[engine], model->m_name))) {
                createReplica(*model, {engine}, true, nowMs, actions);
            }
        }
    }
}

void ReplicaReconciler::createReplica(const ServedModel &model, std::vector<std::string> members, bool spare, std::int64_t nowMs, ReconcilerActions &actions)
{
    for (const std::string &member : members) {
        // The single-member replica of a spare was never opened, so it needs no orders to close it.
        for (auto it = m_replicas.begin(); it != m_replicas.end();) {
            const bool old = it->second.m_spare && contains(it->second.m_members, member);
            if (old) {
                releaseMembers(it->second, nowMs);
            }
            it = old ? m_replicas.erase(it) : std::next(it);
        }
        m_engines[member].m_nextOrderMs = 0;
    }
    ManagedReplica replica;
    ++m_nextEpoch;
    replica.m_ref = {replicaName(model.m_name, m_nextEpoch), m_nextEpoch};
    replica.m_model = model.m_name;
    replica.m_members = std::move(members);
    replica.m_spare = spare;
    ManagedReplica &managed = m_replicas.emplace(replica.m_ref, std::move(replica)).first->second;
    setPhase(managed, ReplicaPhase::Joining, nowMs, actions);
}

void ReplicaReconciler::stageWeights(std::int64_t nowMs, ReconcilerActions &actions)
{
    if (!m_serving) {
        return;
    }
    for (std::pair<const std::string, Engine> &entry : m_engines) {
        Engine &engine = entry.second;
        const bool isMoved = !engine.m_moveModel.empty();
        const bool wanted = isUsable(engine) && !engine.m_model.empty() && needsLoad(engine, engine.m_model) && replicaOf(entry.first) == nullptr;
        if (isMoved || !wanted || (!engine.m_loading && !mayLoad(nowMs))) {
            continue;
        }
        EngineOrder order;
        order.m_kind = EngineOrderKind::Stage;
        order.m_engine = entry.first;
        order.m_model = engine.m_model;
        if (sendOrder(engine, std::move(order), nowMs, actions) && !engine.m_loading) {
            engine.m_loading = true;
            m_loadStartsMs.push_back(nowMs);
        }
    }
}

void ReplicaReconciler::sendProbes(std::int64_t nowMs, ReconcilerActions &actions)
{
    for (std::pair<const std::string, Engine> &entry : m_engines) {
        Engine &engine = entry.second;
        const ManagedReplica *replica = replicaOf(entry.first);
        std::int64_t interval = m_settings.m_spareProbeMs;
        if (replica != nullptr && replica->m_phase == ReplicaPhase::Open) {
            const bool recentProgress = nowMs - replica->m_progressMs < m_settings.m_recentProgressMs;
            const bool suspected = replica->m_suspectedMs > replica->m_progressMs;
            // Before the first client request, a death delays no request.
            interval = suspected ? SuspectProbeMs : m_serving ? m_settings.m_idleProbeMs : m_settings.m_spareProbeMs;
            if (!engine.m_listed) {
                interval = SuspectProbeMs;
            }
            if (recentProgress && !suspected && engine.m_missedProbes == 0 && !engine.m_checkLeaving) {
                continue;
            }
        }
        if (engine.m_dead) {
            interval = DeadProbeMs;
        }
        if (engine.m_checkLeaving || engine.m_probedMs < 0 || nowMs - std::max(engine.m_probedMs, engine.m_answeredMs) >= interval) {
            engine.m_probedMs = nowMs;
            engine.m_checkLeaving = false;
            actions.m_probes.push_back(entry.first);
        }
    }
}

bool ReplicaReconciler::sendOrder(Engine &engine, EngineOrder order, std::int64_t nowMs, ReconcilerActions &actions)
{
    if (engine.m_orderPending || engine.m_dead || nowMs < engine.m_nextOrderMs) {
        return false;
    }
    const EngineOrderKind kind = order.m_kind;
    if (kind == EngineOrderKind::Join && mayJoinLate(engine) && !prepareDoubtfulJoin(engine, order)) {
        return false;
    }
    const bool isUnchanged = order.m_kind == kind;
    engine.m_orderPending = true;
    order.m_address = engine.m_entry.m_address;
    order.m_fence = m_term.m_fence;
    actions.m_orders.push_back(std::move(order));
    return isUnchanged;
}

bool ReplicaReconciler::mayJoinLate(const Engine &engine) const
{
    // The last replica that an earlier term can have formed.
    const ReplicaRef earlier{{}, epochBeforeTerm(m_term.m_fence)};
    return !engine.m_left.empty() || mayStillAct(engine.m_history, m_term, EngineOrderKind::Join, earlier);
}

bool ReplicaReconciler::prepareDoubtfulJoin(Engine &engine, EngineOrder &order) const
{
    if (!engine.m_hasReported) {
        engine.m_probedMs = -1;
        return false;
    }
    const ReplicaRef &in = engine.m_reportedReplica;
    const bool isOver = in.empty() || in == order.m_replica || in == engine.m_settledReplica;
    if (!isOver && (in == engine.m_left || in.m_epoch <= epochBeforeTerm(m_term.m_fence))) {
        order.m_kind = EngineOrderKind::Leave;
        order.m_replica = in;
        order.m_members.clear();
        return true;
    }
    order.m_expectedOrders = engine.m_ordersBegun;
    return true;
}

bool ReplicaReconciler::isLeaving(const Engine &engine)
{
    return engine.m_entry.m_leaving || engine.m_saysLeaving;
}

bool ReplicaReconciler::isUsable(const Engine &engine) const
{
    return !engine.m_dead && engine.m_listed && !isLeaving(engine) && engine.m_entry.m_service == m_service.m_name;
}

bool ReplicaReconciler::needsLoad(const Engine &engine, const std::string &model) const
{
    return !contains(engine.m_entry.m_stagedModels, model) && engine.m_warmModel != model;
}

bool ReplicaReconciler::mayLoad(std::int64_t nowMs) const
{
    if (!m_serving) {
        return true;
    }
    while (!m_loadStartsMs.empty() && nowMs - m_loadStartsMs.front() > m_settings.m_loadWindowMs) {
        m_loadStartsMs.pop_front();
    }
    constexpr double MsPerSecond = 1'000.0;
    const double ceiling = m_service.m_engines->m_loadsPerSecond * static_cast<double>(m_settings.m_loadWindowMs) / MsPerSecond;
    const std::ptrdiff_t loading = std::count_if(m_engines.begin(), m_engines.end(), [](const std::pair<const std::string, Engine> &entry) {
        return entry.second.m_loading;
    });
    return static_cast<double>(m_loadStartsMs.size() + 1) <= ceiling && loading < m_service.m_engines->m_loadsAtOnce;
}

const ManagedReplica *ReplicaReconciler::replicaOf(const std::string &engine) const
{
    for (const std::pair<const ReplicaRef, ManagedReplica> &entry : m_replicas) {
        const bool hasLeft = entry.second.m_phase == ReplicaPhase::Closing && entry.second.m_leftMembers.count(engine) > 0;
        if (contains(entry.second.m_members, engine) && !hasLeft) {
            return &entry.second;
        }
    }
    return nullptr;
}

bool ReplicaReconciler::isMember(const std::string &engine) const
{
    return std::any_of(m_replicas.begin(), m_replicas.end(), [&engine](const std::pair<const ReplicaRef, ManagedReplica> &entry) {
        return contains(entry.second.m_members, engine);
    });
}

ReplicaReconciler::Engine *ReplicaReconciler::find(const std::string &engine)
{
    const auto found = m_engines.find(engine);
    return found == m_engines.end() ? nullptr : &found->second;
}
}
