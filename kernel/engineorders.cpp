// Problem: an order may be carried out long after it was sent, and a leader does not know what earlier leaders have sent.
// Approach: the few facts that exclude a late effect are recorded for each engine. What is not excluded is assumed to happen.
// Remembering only the own unanswered orders misses those of every other term. Waiting until an order must be over has no bound that holds, since
// its sender may be paused.

#include "kernel/engineorders.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
/**
 * Number of epochs reserved for each term. The epochs of a term start at its fencing token times this number. A term lasts minutes and forms a
 * few replicas a second.
 */
constexpr std::uint64_t EpochsPerTerm = 100'000;
}

std::uint64_t epochBeforeTerm(std::uint64_t fence)
{
    return fence * EpochsPerTerm;
}

void beginTerm(OrderHistory &history)
{
    history.m_unanswered.clear();
    history.m_opening = {};
}

void recordReply(OrderHistory &history, const EngineOrder &order, OrderReply reply)
{
    const bool isObeyed = reply == OrderReply::Done || reply == OrderReply::Begun;
    if (reply == OrderReply::Unanswered && !order.m_replica.empty()) {
        history.m_unanswered.emplace(order.m_kind, order.m_replica);
    }
    if (!isObeyed) {
        return;
    }
    history.m_obeyedFence = std::max(history.m_obeyedFence, order.m_fence);
    if (order.m_kind == EngineOrderKind::Join) {
        recordJoinedEpoch(history, order.m_replica.m_epoch);
    }
    if (order.m_kind == EngineOrderKind::Open) {
        history.m_opening = reply == OrderReply::Begun ? order.m_replica : ReplicaRef();
    }
}

void recordJoinedEpoch(OrderHistory &history, std::uint64_t epoch)
{
    history.m_joinedEpoch = std::max(history.m_joinedEpoch, epoch);
    std::erase_if(history.m_unanswered, [&history](const OrderHistory::KindAndReplica &order) {
        return order.second.m_epoch < history.m_joinedEpoch;
    });
}

bool mayStillAct(const OrderHistory &history, const LeaderTerm &term, EngineOrderKind kind, const ReplicaRef &replica)
{
    if (history.m_joinedEpoch > replica.m_epoch) {
        return false;
    }
    const bool isOpening = kind == EngineOrderKind::Open && !replica.empty() && history.m_opening == replica;
    if (isOpening || history.m_unanswered.count({kind, replica}) > 0) {
        return true;
    }
    const bool isOfThisTerm = replica.m_epoch > epochBeforeTerm(term.m_fence);
    return !isOfThisTerm && !(term.m_enginesCheckFence && history.m_obeyedFence >= term.m_fence);
}
}
