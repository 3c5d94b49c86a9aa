// Tests what proves that an order which was sent before is not carried out late.

#include "kernel/engineorders.h"

#include <catch2/catch.hpp>

using namespace knapweedslip;

namespace
{
constexpr std::uint64_t Fence = 7;
const ReplicaRef Earlier{"m.1", epochBeforeTerm(Fence) - 5};
const ReplicaRef Own{"m.2", epochBeforeTerm(Fence) + 1};
const ReplicaRef Next{"m.3", epochBeforeTerm(Fence) + 2};

struct Answer
{
    EngineOrderKind m_kind;
    ReplicaRef m_replica;
    OrderReply m_reply;
};
}

// Guards against orders of which one leader knows that they may be late, and another one, or the same one in a later term, does not (TWO).
TEST_CASE("an order of any term may act until a later epoch or a fencing token excludes it", "[entry][keeper][late]")
{
    using Kind = EngineOrderKind;
    using Reply = OrderReply;
    struct Row
    {
        const char *m_description;
        std::vector<Answer> m_answers;
        Kind m_kind;
        ReplicaRef m_replica;
        bool m_mayAct;
        bool m_mayActWithFencing;
    };
    const Row row = GENERATE(values<Row>({
        {"nothing is known of an earlier term", {}, Kind::Open, Earlier, true, true},
        {"an order of this term was obeyed", {{Kind::Close, Earlier, Reply::Done}}, Kind::Open, Earlier, true, false},
        {"an order of this term was begun", {{Kind::Close, Earlier, Reply::Begun}}, Kind::Join, Earlier, true, false},
        {"an order of this term was unfit", {{Kind::Close, Earlier, Reply::Unfit}}, Kind::Open, Earlier, true, true},
        {"an order of this term was not answered", {{Kind::Close, Earlier, Reply::Unanswered}}, Kind::Open, Earlier, true, true},
        {"a later replica was joined", {{Kind::Join, Own, Reply::Begun}}, Kind::Open, Earlier, false, false},
        {"a join to a later replica was not answered", {{Kind::Join, Own, Reply::Unanswered}}, Kind::Open, Earlier, true, true},
        {"a join to a later replica was refused", {{Kind::Join, Own, Reply::Fenced}}, Kind::Join, Earlier, true, true},
        {"this term has sent nothing", {}, Kind::Open, Own, false, false},
        {"opened and confirmed", {{Kind::Open, Own, Reply::Begun}, {Kind::Open, Own, Reply::Done}}, Kind::Open, Own, false, false},
        {"begun to open", {{Kind::Open, Own, Reply::Begun}}, Kind::Open, Own, true, true},
        {"begun to open, closed", {{Kind::Open, Own, Reply::Begun}, {Kind::Close, Own, Reply::Done}}, Kind::Open, Own, true, true},
        {"an open order was not answered, the next one was",
         {{Kind::Open, Own, Reply::Unanswered}, {Kind::Open, Own, Reply::Done}},
         Kind::Open,
         Own,
         true,
         true},
        {"an open order was not answered", {{Kind::Open, Own, Reply::Unanswered}}, Kind::Join, Own, false, false},
        {"an open order was not answered, a later replica joined",
         {{Kind::Open, Own, Reply::Unanswered}, {Kind::Join, Next, Reply::Begun}},
         Kind::Open,
         Own,
         false,
         false},
        {"nothing listened", {{Kind::Open, Own, Reply::NotListening}}, Kind::Open, Own, false, false},
        {"another engine answered", {{Kind::Join, Next, Reply::WrongEngine}}, Kind::Open, Earlier, true, true},
    }));
    INFO(row.m_description);
    OrderHistory history;
    for (const Answer &answer : row.m_answers) {
        EngineOrder order;
        order.m_kind = answer.m_kind;
        order.m_replica = answer.m_replica;
        order.m_fence = Fence;
        recordReply(history, order, answer.m_reply);
    }
    CHECK(mayStillAct(history, {Fence, false}, row.m_kind, row.m_replica) == row.m_mayAct);
    CHECK(mayStillAct(history, {Fence, true}, row.m_kind, row.m_replica) == row.m_mayActWithFencing);
    // In the next term the replicas of this one are an earlier term's, also for the daemon that has sent these orders.
    beginTerm(history);
    const bool hasJoinedLater = history.m_joinedEpoch > row.m_replica.m_epoch;
    CHECK(mayStillAct(history, {Fence + 1, false}, row.m_kind, row.m_replica) == !hasJoinedLater);
    CHECK(mayStillAct(history, {Fence + 1, true}, row.m_kind, row.m_replica) == !hasJoinedLater);
}

// Guards against unbounded memory: orders that can no longer act are forgotten.
TEST_CASE("orders without an answer are forgotten once a later replica was joined", "[entry][keeper][late]")
{
    OrderHistory history;
    for (std::uint64_t epoch = 1; epoch <= 1'000; ++epoch) {
        EngineOrder order;
        order.m_kind = EngineOrderKind::Open;
        order.m_replica = {"m", epoch};
        recordReply(history, order, OrderReply::Unanswered);
        order.m_kind = EngineOrderKind::Join;
        recordReply(history, order, OrderReply::Begun);
    }
    CHECK(history.m_unanswered.size() == 1);
}
