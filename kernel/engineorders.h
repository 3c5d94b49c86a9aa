#pragma once

#include "kernel/enumnames.h"
#include "kernel/upstreams.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace knapweedslip
{
enum class EngineOrderKind {
    /** Load the weights of a model onto the VM while it goes on with other work. */
    Stage,
    /** Become a member of a replica. */
    Join,
    /** Start to accept requests; sent to the head only. */
    Open,
    /** Accept no more requests; sent to the head only. Afterwards the members may join other replicas. */
    Close,
    /** Leave the replica at once. */
    Leave,
};

inline constexpr EnumNames<5> EngineOrderKindNames{"stage", "join", "open", "close", "leave"};

/** An order to one engine. */
struct EngineOrder
{
    EngineOrderKind m_kind = EngineOrderKind::Stage;
    /** Id of the engine that the order is for. */
    std::string m_engine;
    std::string m_address;
    /** Fencing token of the leadership term in which the order was decided. */
    std::uint64_t m_fence = 0;
    ReplicaRef m_replica;
    std::string m_model;
    /** Ids of the members, head first; set in join orders only. */
    std::vector<std::string> m_members;
    /** Close without waiting for running requests to finish. */
    bool m_preempt = false;
    /** The engine carries the order out only if it has begun exactly this many orders since its start; -1 if that does not matter. */
    std::int64_t m_expectedOrders = -1;
};

/** Outcome of an order. */
enum class OrderReply {
    /** The order was carried out, or its result was already in place. */
    Done,
    /** The engine has started to carry out the order. */
    Begun,
    /** The order is not valid in the current state of the engine. */
    Unfit,
    /** The engine has already accepted an order of a later term or epoch. */
    Fenced,
    /** The address now belongs to another engine. */
    WrongEngine,
    /** The connection was refused or reset before anything was sent: no process listens at the address. */
    NotListening,
    /** No answer arrived. The order may still be carried out at any time. */
    Unanswered,
};

inline constexpr EnumNames<7> OrderReplyNames{"done", "begun", "unfit", "fenced", "wrong-engine", "not-listening", "unanswered"};

/** A term of leadership. The epochs of its replicas are above those of all earlier terms. */
struct LeaderTerm
{
    std::uint64_t m_fence = 0;
    /** Engines refuse orders whose fencing token is lower than one that they have seen since their start. */
    bool m_enginesCheckFence = false;
};

/** Returns the epoch below those of all replicas that are formed in the term with the fencing token @p fence. */
std::uint64_t epochBeforeTerm(std::uint64_t fence);

/**
 * What the leader knows of the orders that one lifetime of an engine was sent. An order may be carried out long after it was sent, after newer ones, and
 * also after its sender has lost its term. Two facts prove that an engine will not carry out an order for a replica, and mayStillAct() is the only place that
 * judges them:
 * - The engine has joined a replica of a later epoch. It refuses to join earlier ones, and all other orders apply only to the replica that it is in.
 * - The order is of an earlier term, engines check fencing tokens, and this one has obeyed an order of the current term.
 * Otherwise an order of the current term acts later only if it was not answered, and any order of an earlier term may: whoever led then, also this daemon,
 * what it had sent is not known. Time proves nothing, since a sender that was paused goes on at any moment.
 */
struct OrderHistory
{
    using KindAndReplica = std::pair<EngineOrderKind, ReplicaRef>;

    /** Highest epoch of a replica that the engine is known to have joined. */
    std::uint64_t m_joinedEpoch = 0;
    /** Highest fencing token of an order that the engine is known to have obeyed. */
    std::uint64_t m_obeyedFence = 0;
    /** Orders of the current term without an answer. An engine is sent few kinds of orders for a replica, so there are only a few. */
    std::set<KindAndReplica> m_unanswered;
    /** The replica that the engine has begun to open and not confirmed to be open; empty if none. */
    ReplicaRef m_opening;
};

/** Forgets the orders of the previous term, of which mayStillAct() then assumes the worst. */
void beginTerm(OrderHistory &history);
/** Records the outcome of an order of the current term. */
void recordReply(OrderHistory &history, const EngineOrder &order, OrderReply reply);
/** Records that the engine reports to be a member of a replica with this epoch. */
void recordJoinedEpoch(OrderHistory &history, std::uint64_t epoch);
/** Returns whether an order of this kind for @p replica that was sent before may still change the state of the engine. */
bool mayStillAct(const OrderHistory &history, const LeaderTerm &term, EngineOrderKind kind, const ReplicaRef &replica);
}
