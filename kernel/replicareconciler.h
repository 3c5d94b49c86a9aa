#pragma once

#include "kernel/callconfig.h"
#include "kernel/engineorders.h"
#include "kernel/replicalayout.h"
#include "kernel/replicamoves.h"
#include "kernel/upstreams.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace knapweedslip
{
/** Phases of a replica under the control of ReplicaReconciler. */
enum class ReplicaPhase {
    /** The members are told to join. */
    Joining,
    /** All members are ready, and the head is told to open. */
    Opening,
    Open,
    /** The head is told to close, or the remaining members are told to leave. */
    Closing,
};

inline constexpr EnumNames<4> ReplicaPhaseNames{"joining", "opening", "open", "closing"};

/** Reason for closing a replica. */
enum class ClosingCause {
    None,
    /** A member died, restarted or gave up its place. */
    MemberLost,
    /** A member announced that it will stop, or the head is no longer listed. */
    MemberLeaving,
    /** A member reports that it belongs to another replica. */
    MemberElsewhere,
    /** The replica makes no progress, or its head reports it broken. */
    Stalled,
    /** An adopted replica lacks members or is not in a phase that can be continued. */
    Incomplete,
    /** An engine answered an order for the replica with Fenced. */
    Refused,
};

inline constexpr EnumNames<7> ClosingCauseNames{"none", "member-lost", "member-leaving", "member-elsewhere", "stalled", "incomplete", "refused"};

/** A replica under the control of ReplicaReconciler. */
struct ManagedReplica
{
    ReplicaRef m_ref;
    std::string m_model;
    /** Ids of the members, head first. The id of an unknown head is empty. */
    std::vector<std::string> m_members;
    ReplicaPhase m_phase = ReplicaPhase::Joining;
    std::int64_t m_phaseSinceMs = 0;
    /** Members that confirmed that they are ready in this replica. */
    std::set<std::string> m_readyMembers;
    /** Members that no longer take part in this replica. */
    std::set<std::string> m_leftMembers;
    /** A replica of one spare engine, which keeps its model warm. It is never opened. */
    bool m_spare = false;
    /** The head is told to close without waiting for running requests. */
    bool m_preempt = false;
    /** An engine answered an order for this replica with Fenced. */
    bool m_refused = false;
    /** The head has closed or was never opened, so it is told to leave instead of to close. */
    bool m_headClosed = false;
    /** The head has closed, and no order that was sent before can open the replica again. */
    bool m_settled = false;
    ClosingCause m_cause = ClosingCause::None;
    /** Start of the last suspicion, a report of a gateway that the replica makes no progress; -1 if there was none. */
    std::int64_t m_suspectedMs = -1;
    /** When a gateway last saw progress of the replica; -1 if none has. */
    std::int64_t m_progressMs = -1;
};

/** A change of a replica, for the log. */
struct ReplicaEvent
{
    ReplicaRef m_replica;
    ReplicaPhase m_phase = ReplicaPhase::Joining;
    ClosingCause m_cause = ClosingCause::None;
    /** The engine that caused the change; empty if no single one did. */
    std::string m_engine;
};

/** What the caller of ReplicaReconciler::tick() has to do. */
struct ReconcilerActions
{
    std::vector<EngineOrder> m_orders;
    /** Ids of the engines to ask for a report now, at the addresses that entry() gives, whether or not they are listed. */
    std::vector<std::string> m_probes;
    std::vector<ReplicaEvent> m_events;
    /** Moves that began or ended. */
    std::vector<MoveEvent> m_moves;
};

/** Intervals (in ms) and limits of ReplicaReconciler. */
struct ReconcilerSettings
{
    /** Time until an answered order is repeated, unless its expected duration is known. A join that needs no load takes 200 ms (engine API). */
    std::int64_t m_retryMs = 40;
    /** Time until the order to join is repeated to a warm member, which joins in 200 ms (engine API): slightly less than that. */
    std::int64_t m_warmJoinMs = 190;
    /** Time until an unanswered order is repeated. Two round trips across zones plus the answer take far less. */
    std::int64_t m_unansweredRetryMs = 100;
    /** Time between two probes of an engine whose replica makes no progress. */
    std::int64_t m_idleProbeMs = 400;
    /** Time between two probes of a spare. The death of a spare takes nothing out of service. */
    std::int64_t m_spareProbeMs = 1'000;
    /** Progress within this time proves that all members of a replica are alive. A pass of the engines takes far less. */
    std::int64_t m_recentProgressMs = 400;
    /** An engine counts as dead after this many consecutive probes without an answer. */
    int m_missedProbesUntilDead = 2;
    /** A suspected replica that makes no progress for this long is replaced even if all members answer. */
    std::int64_t m_stallTimeoutMs = 1'500;
    /** A closing replica stops waiting for its requests after this long. A leaving member stays for 10 s (engine API). */
    std::int64_t m_preemptAfterMs = 6'000;
    /** Engines are assigned to models once no unassigned engine has appeared for this long. */
    std::int64_t m_settleMs = 300;
    /** Length of the window over which the rate of weight loads is limited. */
    std::int64_t m_loadWindowMs = 5'000;
    /** A load that takes this many times its configured time has failed. */
    double m_loadTimeoutFactor = 3.0;
};

/**
 * Forms, repairs and closes the replicas of one engine service while its daemon is the leader. It is level triggered: tick() compares the
 * last known state of the engines with the desired state and returns the orders that are due. Invariants:
 * - A replica is opened only after every member confirmed that it is ready in exactly this replica.
 * - An engine is told to join only if it is in no replica, or the head of its replica confirmed that the replica is closed or was never
 *   opened and no earlier order can open it again (see OrderHistory), or the engine itself confirmed just before that it left.
 * - A replica of an earlier term is opened only if engines check fencing tokens, and after every member obeyed an order of this term.
 * - Engines are moved to another model only while they are spares or in no replica: no replica is closed for a move.
 * - A name and epoch never stand for two different member lists, since epochs grow from term to term and within a term.
 * Uses no sockets and no clock; callers pass the time. Memory: one entry for each engine and each replica.
 */
class ReplicaReconciler
{
public:
    explicit ReplicaReconciler(const ReconcilerSettings &settings = {});

    /**
     * Begins a leadership term with the fencing token @p fence. Drops all replicas and what is known of earlier orders; replicas are adopted again from
     * what the engines report. With @p enginesCheckFence, engines refuse orders with a lower token than they have seen.
     */
    void beginTerm(std::uint64_t fence, const CallService &service, bool enginesCheckFence, std::int64_t nowMs);
    /** Replaces the configuration with a newer one of the same service. */
    void setService(const CallService &service);
    /** Sets whether client requests have been seen. Until then, loads are fast and not limited. */
    void setServing(bool serving);
    /** Sets the demand that was measured in the current term. A new term begins without any. */
    void setDemand(ReplicaDemand demand);

    /** Records the state of an engine, as reported by itself or published in the list. */
    void observe(const UpstreamEntry &entry, std::int64_t nowMs);
    /** Records that @p engine is no longer in the list. It may be gone, or may have lost its connection to the list while it still serves. */
    void markUnlisted(const std::string &engine);
    /** Records that the lifetime of @p engine that began at @p startedMs said in an answer that it will stop. */
    void markLeaving(const std::string &engine, std::int64_t startedMs);
    /** Records that another daemon reports that @p engine will stop. The engine itself is asked, since anyone may have sent that report. */
    void checkLeaving(const std::string &engine, std::int64_t nowMs);
    /**
     * Records the report with which a probe was answered: entry() of the engine, changed by what the report says. Another start time shows that another
     * lifetime, or another engine, listens at the address: the engine counts as dead until the list shows it again. A report that is older than the last
     * one, by its number of orders begun, is ignored.
     */
    void probeAnswered(const UpstreamEntry &reported, std::int64_t nowMs);
    /**
     * Records that a probe got no answer. With @p refused, the engine does not run at its address and counts as dead at once. Ignored
     * shortly after an answer of the engine.
     */
    void probeFailed(const std::string &engine, bool refused, std::int64_t nowMs);
    /** Records the outcome of an order that tick() returned. */
    void orderAnswered(const EngineOrder &order, OrderReply reply, std::int64_t nowMs);
    /** Records that a gateway sees no progress of @p replica although it should make some. */
    void suspect(const ReplicaRef &replica, std::int64_t nowMs);
    /** Records that a gateway saw progress of @p replica at @p atMs. */
    void recordProgress(const ReplicaRef &replica, std::int64_t atMs);

    /** Returns the orders and probes that are due, and the changes since the last call. */
    ReconcilerActions tick(std::int64_t nowMs);
    /** Returns the last known state of @p engine, or null if it is not known. Valid until the next call. */
    const UpstreamEntry *entry(const std::string &engine) const;
    const std::map<ReplicaRef, ManagedReplica> &replicas() const;
    /** Returns the fencing token of the current term. */
    std::uint64_t fence() const;

private:
    struct Engine
    {
        UpstreamEntry m_entry;
        /** The model that the engine is assigned to; empty until it is assigned. */
        std::string m_model;
        /** The model of the last replica that the engine has joined since its start; empty if none. */
        std::string m_warmModel;
        std::int64_t m_appearedMs = 0;
        std::int64_t m_answeredMs = -1;
        /** When the last probe was sent; -1 if the next one is due at once. */
        std::int64_t m_probedMs = -1;
        /** Consecutive probes without an answer. */
        int m_missedProbes = 0;
        bool m_dead = false;
        /** An order was returned and its outcome is not known yet. */
        bool m_orderPending = false;
        std::int64_t m_nextOrderMs = 0;
        /** The join or load that the engine confirmed to be underway, and when it did so first; -1 if there is none. */
        EngineOrderKind m_begunKind = EngineOrderKind::Stage;
        ReplicaRef m_begunReplica;
        std::string m_begunModel;
        std::int64_t m_begunMs = -1;
        /** The engine was told to load weights and has not confirmed that it is done. */
        bool m_loading = false;
        /** The engine has confirmed that the load is in progress. */
        bool m_loadConfirmed = false;
        /** The model whose weights the engine loads for a move while it keeps m_model; empty if none. It stays set until a load that was begun has ended. */
        std::string m_moveModel;
        /** Until when no order to load them is sent, and when the first one was; -1 if none was. Other orders do not wait for the load. */
        std::int64_t m_nextMoveOrderMs = 0;
        std::int64_t m_moveLoadMs = -1;
        /** The engine refused to load the weights for a move. */
        bool m_moveRefused = false;
        bool m_listed = true;
        /** Its answers say that it will stop, whatever the list says. */
        bool m_saysLeaving = false;
        /** It is probed at once, to find out whether it will stop. */
        bool m_checkLeaving = false;
        /** When that was last begun; -1 if never. */
        std::int64_t m_checkedLeavingMs = -1;
        /** The engine is known to serve in no replica up to this epoch. */
        std::uint64_t m_releasedEpoch = 0;
        /** When m_releasedEpoch was last set. */
        std::int64_t m_releasedMs = 0;
        OrderHistory m_history;
        /** A replica that the engine has left, that may still be open or be opened again, and that a late join order may bring it back to; empty if none. */
        ReplicaRef m_left;
        /** The last replica of the engine that was settled while it was a member; empty if none. It may still be in it. */
        ReplicaRef m_settledReplica;
        /** It has reported its state since the term began, since it last left a replica, and since it last found an order unfit. */
        bool m_hasReported = false;
        /** The replica that it was in then, and the number of orders that it had begun; -1 if it did not say. */
        ReplicaRef m_reportedReplica;
        std::int64_t m_ordersBegun = -1;
    };

    using EngineMap = std::map<std::string, Engine>;

    /** Takes over the replicas that engines report as theirs and that are not managed yet. */
    void adoptUnmanagedReplicas(std::int64_t nowMs, ReconcilerActions &actions);
    /** Starts to manage the replica @p ref, whose known members are @p ranks (engine id by rank). */
    void adoptReplica(const ReplicaRef &ref, const std::map<int, std::string> &ranks, std::int64_t nowMs, ReconcilerActions &actions);
    /** Records that the members that are known to have left @p replica serve in no replica up to its epoch. */
    void releaseMembers(const ManagedReplica &replica, std::int64_t nowMs);
    /** Records that @p engine, a member of @p replica that has left it or may leave it, serves in no replica up to its epoch. */
    void releaseMember(Engine &engine, const ManagedReplica &replica, std::int64_t nowMs);
    /** Forgets the replica that @p engine left once it has joined a later one. */
    static void forgetLeftReplica(Engine &engine);
    /** Removes engines that are neither listed nor members of a replica. */
    void removeUnusedEngines();
    /** Starts to close @p replica if it cannot serve any longer. */
    void checkReplica(ManagedReplica &replica, std::int64_t nowMs, ReconcilerActions &actions);
    /** Sends the orders that move @p replica on to its next phase. */
    void advanceReplica(ManagedReplica &replica, std::int64_t nowMs, ReconcilerActions &actions);
    void sendJoinOrders(ManagedReplica &replica, std::int64_t nowMs, ReconcilerActions &actions);
    /** Sends the orders that close @p replica. Returns true if it is completely closed. */
    bool sendCloseOrders(ManagedReplica &replica, std::int64_t nowMs, ReconcilerActions &actions);
    void startClosing(ManagedReplica &replica, ClosingCause cause, bool preempt, std::int64_t nowMs, ReconcilerActions &actions);
    /** Frees all members of @p replica, whose head has closed or left, if no order that was sent before can open it again. */
    void settle(ManagedReplica &replica, std::int64_t nowMs);
    /** Returns whether @p replica, which counts as open, has been closed at its head, so that it has to be opened again. */
    bool isClosedAtHead(const ManagedReplica &replica, std::int64_t nowMs);
    /** Returns whether @p engine, a member of @p replica, belongs to another replica or to none. */
    bool isElsewhere(const Engine &engine, const ManagedReplica &replica, std::int64_t nowMs) const;
    void setPhase(ManagedReplica &replica, ReplicaPhase phase, std::int64_t nowMs, ReconcilerActions &actions);
    /** Assigns engines without a model to models. */
    void assignModels(std::int64_t nowMs);
    /** Returns the model that @p entry shows the engine to be assigned to; empty if it does not show that. */
    std::string assignedModel(const UpstreamEntry &entry) const;
    /** Ends moves that have succeeded or failed, and begins another one if the demand calls for it. */
    void updateMoves(std::int64_t nowMs, ReconcilerActions &actions);
    /** Returns how far @p move has come: MoveState::Begun while it goes on. */
    MoveState checkMove(const ReplicaMove &move, std::int64_t nowMs) const;
    void endMove(const ReplicaMove &move, MoveState state, std::int64_t nowMs, ReconcilerActions &actions);
    void updateMoveConditions(std::int64_t nowMs);
    /** Returns the cheapest move to @p to that is allowed now; without engines if there is none. */
    ReplicaMove findMove(const std::string &to, std::int64_t nowMs) const;
    /** Returns the move from @p from to @p to in @p domain that completes another replica; without engines if there is none. */
    ReplicaMove planMove(const std::string &domain, const ServedModel &from, const ServedModel &to) const;
    /** Returns the number of engines that @p engines of @p to in @p domain lack for another replica while a spare is kept. */
    int missingEngines(const std::string &domain, const ServedModel &to, int engines) const;
    /** Returns the usable engines of @p model in @p domain that are spares or in no replica. */
    std::vector<std::string> freeEngines(const std::string &domain, const std::string &model) const;
    /** Returns the number of replicas of @p model in @p domain that are not replicas of one spare. */
    int replicasIn(const std::string &domain, const std::string &model) const;
    /** Returns whether engines of @p domain have no model yet or are about to leave a replica, so that its next replicas are not known. */
    bool isUnsettled(const std::string &domain) const;
    /** Returns whether @p engine can load other weights now. */
    bool mayBeMoved(const Engine &engine) const;
    /** Sends the orders to load weights for moves. */
    void stageMoves(std::int64_t nowMs, ReconcilerActions &actions);
    /** Records the outcome of an order to load weights for a move. */
    void moveOrderAnswered(Engine &engine, const EngineOrder &order, OrderReply reply, std::int64_t nowMs);
    /** Creates replicas from engines that are free, and replicas of one spare from the rest. */
    void formReplicas(std::int64_t nowMs, ReconcilerActions &actions);
    /** Loads weights onto engines that are assigned to a model and are in no replica. */
    void stageWeights(std::int64_t nowMs, ReconcilerActions &actions);
    void createReplica(const ServedModel &model, std::vector<std::string> members, bool spare, std::int64_t nowMs, ReconcilerActions &actions);
    /** Probes the engines whose last answer is too old. */
    void sendProbes(std::int64_t nowMs, ReconcilerActions &actions);
    /**
     * Adds @p order to @p actions and returns true. Returns false if the engine is dead or may not get an order yet, or if it has to leave a replica before it
     * can be told to join: then that order is added.
     */
    bool sendOrder(Engine &engine, EngineOrder order, std::int64_t nowMs, ReconcilerActions &actions);
    /** Returns whether a late order may make @p engine join a replica that serves. */
    bool mayJoinLate(const Engine &engine) const;
    /**
     * Prepares a join order to an engine that a late order may make join a replica that serves. The order is changed to one that the engine carries out only
     * if it has begun no other since its last report, or to leave that replica again. Returns false if a report is still missing; the engine is probed then.
     */
    bool prepareDoubtfulJoin(Engine &engine, EngineOrder &order) const;
    /** Returns how long after the answer "begun" to a join or load it is asked about again, in ms. */
    std::int64_t nextAskMs(Engine &engine, const EngineOrder &order, const ServedModel &model, std::int64_t nowMs) const;
    /** Records that @p engine does not run at its address. It is probed again later. */
    static void markDead(Engine &engine, std::int64_t nowMs);
    /** Returns whether the list or the engine itself says that it will stop. */
    static bool isLeaving(const Engine &engine);
    /** Returns whether @p engine may become a member of a new replica. */
    bool isUsable(const Engine &engine) const;
    /** Returns whether @p engine has to load the weights of @p model before it can serve it. */
    bool needsLoad(const Engine &engine, const std::string &model) const;
    /** Returns whether the limits on weight loads allow another one now. */
    bool mayLoad(std::int64_t nowMs) const;
    /** Returns the replica that @p engine is a member of and has not left, or null. */
    const ManagedReplica *replicaOf(const std::string &engine) const;
    /** Returns whether @p engine is a member of a replica, or was until it left a replica that is not yet closed. */
    bool isMember(const std::string &engine) const;
    /** Returns the engine with the id @p engine, or null. */
    Engine *find(const std::string &engine);

    ReconcilerSettings m_settings;
    CallService m_service;
    LeaderTerm m_term;
    std::uint64_t m_nextEpoch = 0;
    bool m_serving = false;
    ReplicaDemand m_demand;
    MoveConditions m_moveConditions;
    MoveHistory m_moveHistory;
    /** Moves that are under way, by domain. */
    std::map<std::string, ReplicaMove> m_moves;
    /** Moves that ended with the last term, for the log. */
    std::vector<MoveEvent> m_endedMoves;
    std::int64_t m_termStartMs = 0;
    EngineMap m_engines;
    std::map<ReplicaRef, ManagedReplica> m_replicas;
    /** Start times of the weight loads within the current window. */
    mutable std::deque<std::int64_t> m_loadStartsMs;
};
}
