#pragma once

#include "kernel/callconfig.h"
#include "kernel/replicalayout.h"
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
enum class EngineOrderKind {
    /** Load a model's weights onto the VM, beside whatever it does. */
    Stage,
    /** Become a member of a serving group. */
    Join,
    /** The head starts to take requests. */
    Open,
    /** The head takes no more requests; its members may then be used elsewhere. */
    Close,
    /** The member gives its place up at once. */
    Leave,
};

inline constexpr EnumNames<5> EngineOrderKindNames{"stage", "join", "open", "close", "leave"};

struct EngineOrder
{
    EngineOrderKind m_kind = EngineOrderKind::Stage;
    std::string m_engine;
    std::string m_address;
    /** Fencing token of the term in which it was decided. */
    std::uint64_t m_fence = 0;
    ReplicaRef m_replica;
    std::string m_model;
    /** Head first. */
    std::vector<std::string> m_members;
    /** Close without waiting for what runs. */
    bool m_preempt = false;
};

/** How an engine answered an order. */
enum class OrderReply {
    /** It is done, or held already. */
    Done,
    /** It has begun. */
    Begun,
    /** It does not fit the engine's state now. */
    Unfit,
    /** The engine has taken orders of a later term, or a later epoch. */
    Fenced,
    /** Another engine has the address. */
    WrongEngine,
    /** The connection was refused or reset before anything was sent: no process listens there. */
    NotListening,
    /** No answer: it may be carried out at any time. */
    Unanswered,
};

inline constexpr EnumNames<7> OrderReplyNames{"done", "begun", "unfit", "fenced", "wrong-engine", "not-listening", "unanswered"};

/** Phases of a serving group, as the keeper drives it. */
enum class KeptPhase {
    /** Its members are told to join. */
    Joining,
    /** All members are ready; the head is told to open. */
    Opening,
    Open,
    /** The head is told to close, or what is left of the group to leave. */
    Closing,
};

inline constexpr EnumNames<4> KeptPhaseNames{"joining", "opening", "open", "closing"};

/** Why a group is given up. */
enum class ClosingCause {
    None,
    MemberLost,
    MemberLeaving,
    MemberElsewhere,
    Stalled,
    Incomplete,
    /** An engine refused its place in it. */
    Refused,
};

inline constexpr EnumNames<7> ClosingCauseNames{"none", "member-lost", "member-leaving", "member-elsewhere", "stalled", "incomplete", "refused"};

struct KeptReplica
{
    ReplicaRef m_ref;
    std::string m_model;
    /** Head first. */
    std::vector<std::string> m_members;
    KeptPhase m_phase = KeptPhase::Joining;
    std::int64_t m_phaseSinceMs = 0;
    /** Members that answered that they are ready in it. */
    std::set<std::string> m_ready;
    /** Members that have given it up. */
    std::set<std::string> m_left;
    /** One member that only keeps its weights warm; never opened. */
    bool m_spare = false;
    bool m_preempt = false;
    bool m_refused = false;
    /** An order to open it was not answered and may still be carried out. */
    bool m_openUnclear = false;
    /** Its head has closed. */
    bool m_closed = false;
    ClosingCause m_cause = ClosingCause::None;
    /** The last time that a gateway said it was silent, and the last time that one saw it work. */
    std::int64_t m_suspectedMs = -1;
    std::int64_t m_progressMs = -1;
};

/** A change of the keeper's belief, for the log. */
struct KeeperEvent
{
    ReplicaRef m_replica;
    KeptPhase m_phase = KeptPhase::Joining;
    ClosingCause m_cause = ClosingCause::None;
    std::string m_engine;
};

struct KeeperActions
{
    std::vector<EngineOrder> m_orders;
    /** Engines to be asked for a report now. */
    std::vector<std::string> m_probes;
    std::vector<KeeperEvent> m_events;
};

/** Intervals and limits of the keeper, in ms. */
struct KeeperSettings
{
    /** Between two tries of an order that was refused or has begun; a join that needs no load takes 200 ms (engines' interface). */
    std::int64_t m_retryMs = 40;
    /** A member without load joins in 200 ms (engines' interface); it is asked again a little before. */
    std::int64_t m_warmJoinMs = 190;
    /** An order without answer is repeated after this; two round trips across zones and the answer are far below. */
    std::int64_t m_unansweredRetryMs = 100;
    /** Between two probes of an engine whose group shows no work. */
    std::int64_t m_idleProbeMs = 400;
    /** Between two probes of a spare: a death there takes nothing from service. */
    std::int64_t m_spareProbeMs = 1'000;
    /** Work seen within this time proves all members of a group alive: passes take far less. */
    std::int64_t m_progressProofMs = 400;
    /** Probes without an answer, one after the other, that count as the death of an engine. */
    int m_missesForDeath = 2;
    /** A suspected group whose members all answer, but which shows no work for this long, is formed anew. */
    std::int64_t m_stalledMs = 1'500;
    /** A closing group that waits for its requests is preempted after this: a leaving member stays for 10 s (engines' interface). */
    std::int64_t m_closeWaitMs = 6'000;
    /** Groups are formed when no engine has appeared in the domain for this long, unless they fill it. */
    std::int64_t m_settleMs = 300;
    /** Window of the ceiling on loads. */
    std::int64_t m_loadWindowMs = 5'000;
};

/**
 * Forms, repairs and closes the serving groups of one engine service, while its daemon holds the leadership. Level triggered: tick()
 * compares what is believed of the engines with what should be, and returns the orders that are due. Invariants:
 * - a group is opened only after every member answered that it is ready in exactly that group;
 * - an engine is told to join only when it is in no group, or its group's head has confirmed that it is closed or was never opened, or
 *   it has itself confirmed that it left;
 * - a name and epoch never stand for two lists of members: epochs grow with the term and within it.
 * Sees no socket or clock. Memory: one entry for each engine and group.
 */
class ReplicaKeeper
{
public:
    explicit ReplicaKeeper(const KeeperSettings &settings = {});

    /** Begins a term with the fencing token @p fence: what was kept is forgotten and adopted anew from the engines' own words. */
    void beginTerm(std::uint64_t fence, const CallService &service, std::int64_t nowMs);
    /** A newer configuration of the same service. */
    void setService(const CallService &service);
    /** Whether clients are being served: before that, loads are quick and not limited. */
    void setServing(bool serving);

    /** Takes what an engine or the list says about it. */
    void observe(const UpstreamEntry &entry, std::int64_t nowMs);
    /** It is no longer in the list: it may have gone, or only be cut off from the list while it goes on serving. */
    void forget(const std::string &engine);
    void probeAnswered(const std::string &engine, std::int64_t nowMs);
    /** @p refused: nothing listens there, which counts at once. */
    void probeMissed(const std::string &engine, bool refused, std::int64_t nowMs);
    void orderAnswered(const EngineOrder &order, OrderReply reply, std::int64_t nowMs);
    /** A gateway sees no work from a group that should work. */
    void suspect(const ReplicaRef &replica, std::int64_t nowMs);
    /** A gateway saw work from it at @p atMs. */
    void progress(const ReplicaRef &replica, std::int64_t atMs);

    /** What is due now. */
    KeeperActions tick(std::int64_t nowMs);
    const std::map<ReplicaRef, KeptReplica> &replicas() const;
    std::uint64_t fence() const;

private:
    struct Engine
    {
        UpstreamEntry m_entry;
        /** The model it is kept for; empty until that is decided. */
        std::string m_model;
        /** Model of its last group since its start. */
        std::string m_warmModel;
        std::int64_t m_appearedMs = 0;
        std::int64_t m_answeredMs = -1;
        std::int64_t m_probedMs = -1;
        int m_misses = 0;
        bool m_dead = false;
        bool m_orderPending = false;
        std::int64_t m_nextOrderMs = 0;
        /** A load of weights was begun here. */
        bool m_loading = false;
        /** The engine has said that a load goes on. */
        bool m_loadSeen = false;
        bool m_listed = true;
        /** It is known to serve in no group up to this epoch, and since when. */
        std::uint64_t m_freeEpoch = 0;
        std::int64_t m_freeSinceMs = 0;
    };

    using EngineMap = std::map<std::string, Engine>;

    /** Takes over the groups that engines say they are in, and that are not kept yet. */
    void adoptStrays(std::int64_t nowMs, KeeperActions &actions);
    void adopt(const ReplicaRef &ref, const std::map<int, std::string> &ranks, std::int64_t nowMs, KeeperActions &actions);
    /** The members of @p replica that are known to have given it up serve in no group up to its epoch. */
    void release(const KeptReplica &replica, std::int64_t nowMs);
    /** Forgets engines that are neither listed nor needed. */
    void sweep();
    void judgeReplica(KeptReplica &replica, std::int64_t nowMs, KeeperActions &actions);
    void drive(KeptReplica &replica, std::int64_t nowMs, KeeperActions &actions);
    void driveJoin(KeptReplica &replica, std::int64_t nowMs, KeeperActions &actions);
    /** True when nothing is left to be done. */
    bool driveClose(KeptReplica &replica, std::int64_t nowMs, KeeperActions &actions);
    void startClosing(KeptReplica &replica, ClosingCause cause, bool preempt, std::int64_t nowMs, KeeperActions &actions);
    void setPhase(KeptReplica &replica, KeptPhase phase, std::int64_t nowMs, KeeperActions &actions);
    void assignModels(std::int64_t nowMs);
    void formGroups(std::int64_t nowMs, KeeperActions &actions);
    void stageEmpty(std::int64_t nowMs, KeeperActions &actions);
    void createReplica(const ServedModel &model, std::vector<std::string> members, bool spare, std::int64_t nowMs, KeeperActions &actions);
    void probe(std::int64_t nowMs, KeeperActions &actions);
    bool sendOrder(Engine &engine, EngineOrder order, std::int64_t nowMs, KeeperActions &actions);
    bool usable(const Engine &engine) const;
    bool needsLoad(const Engine &engine, const std::string &model) const;
    bool mayLoad(std::int64_t nowMs) const;
    const KeptReplica *replicaOf(const std::string &engine) const;
    Engine *find(const std::string &engine);

    KeeperSettings m_settings;
    CallService m_service;
    std::uint64_t m_fence = 0;
    std::uint64_t m_nextEpoch = 0;
    bool m_serving = false;
    std::int64_t m_termSinceMs = 0;
    EngineMap m_engines;
    std::map<ReplicaRef, KeptReplica> m_replicas;
    /** When the loads of the window were begun. */
    mutable std::deque<std::int64_t> m_loads;
};
}
