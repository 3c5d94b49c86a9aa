#pragma once

#include "autotests/entryfixtures.h"
#include "kernel/replicareconciler.h"
#include "tools/virtualtime.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace knapweedslip
{
/** Simulates one engine VM according to the engine API. */
struct FakeEngine
{
    UpstreamEntry m_entry;
    std::vector<std::string> m_members;
    std::string m_lastModel;
    std::uint64_t m_fence = 0;
    std::uint64_t m_epoch = 0;
    bool m_dead = false;
    /** The engine cannot reach the list. */
    bool m_unlisted = false;
    /** The engine serves, but packets of the leader do not reach it. */
    bool m_unreachable = false;
    std::int64_t m_readyAtMs = 0;
    /** When the replica opens; -1 if it is not opening. */
    std::int64_t m_openAtMs = -1;
    /** When the engine joined its current replica, and whether it has been ready in it. */
    std::int64_t m_joinedMs = 0;
    bool m_wasReady = false;
    bool m_saysLeaving = false;
    /** The weights that it is loading and when it has them; empty if none. */
    std::string m_loadingModel;
    std::int64_t m_loadedAtMs = 0;
    /** It refuses orders to load weights. */
    bool m_refusesLoads = false;
    /** The engine that listens at its address since it ended; empty if none. */
    std::string m_successor;
};

/** An order that was sent and may be carried out at any time. */
struct HeldOrder
{
    EngineOrder m_order;
    /** It has reached the engine. */
    bool m_sent = true;
};

struct NetworkFaults
{
    /** Probabilities that an order is lost or late, 0 to 1. */
    double m_lost = 0.0;
    double m_late = 0.0;
};

/** Simulates the engines, list and network around one ReplicaReconciler and records violations of its invariants. */
class SimulatedCluster
{
public:
    SimulatedCluster(unsigned seed, int domains, int perDomain, bool enforcesFencing = true)
        : m_enforcesFencing(enforcesFencing)
        , m_random(seed)
        , m_service(engineServiceFixture())
    {
        for (int i = 0; i < domains * perDomain; ++i) {
            FakeEngine engine;
            engine.m_entry.m_id = "e" + std::to_string(100 + i);
            engine.m_entry.m_service = m_service.m_name;
            engine.m_entry.m_address = "127.0.0.1:" + std::to_string(1'000 + i);
            engine.m_entry.m_availabilityZone = std::string(1, static_cast<char>('a' + i / perDomain % 3));
            engine.m_entry.m_domain = "d" + std::to_string(i / perDomain);
            engine.m_entry.m_startedMs = 1;
            engine.m_entry.m_ordersBegun = 0;
            m_engines[engine.m_entry.m_id] = engine;
        }
        newLeader();
    }

    /** Another daemon becomes the leader. */
    void newLeader()
    {
        m_reconciler = std::make_unique<ReplicaReconciler>();
        beginTerm();
        for (const std::pair<const std::string, FakeEngine> &entry : m_engines) {
            publish(entry.first);
        }
    }

    /** The leader's term ends and the same daemon leads again. */
    void returnOfLeader()
    {
        beginTerm();
    }

    /** The leader is paused when it has decided on orders and not yet sent them, and another daemon becomes the leader. The orders are kept in m_held. */
    void pauseLeader()
    {
        for (const EngineOrder &order : m_reconciler->tick(m_time.nowMs()).m_orders) {
            m_held.push_back({order, false});
        }
        newLeader();
    }

    /** Carries out the order m_held[@p index] now and removes it. */
    void carryOutHeld(std::size_t index)
    {
        const EngineOrder order = m_held.at(index).m_order;
        m_held.erase(m_held.begin() + static_cast<std::ptrdiff_t>(index));
        if (!isSilent(order.m_engine) && m_engines.at(order.m_engine).m_successor.empty()) {
            execute(order);
        }
    }

    /** Returns whether @p order would change the state of its engine now. */
    bool wouldAct(const EngineOrder &order) const
    {
        const FakeEngine &engine = m_engines.at(order.m_engine);
        const bool same = engine.m_entry.m_replica == order.m_replica;
        if (isSilent(order.m_engine) || (m_enforcesFencing && order.m_fence < engine.m_fence)) {
            return false;
        }
        if (order.m_expectedOrders >= 0 && order.m_expectedOrders != engine.m_entry.m_ordersBegun) {
            return false;
        }
        switch (order.m_kind) {
        case EngineOrderKind::Stage:
            return m_lateLoadsAct && !hasWeights(engine, order.m_model);
        case EngineOrderKind::Join:
            return !same && order.m_replica.m_epoch >= engine.m_epoch;
        case EngineOrderKind::Open:
            return same && engine.m_entry.m_phase == MemberPhase::Ready && engine.m_openAtMs < 0;
        case EngineOrderKind::Close:
            return same && engine.m_entry.m_phase == MemberPhase::Open;
        case EngineOrderKind::Leave:
            return same;
        }
        return false;
    }

    /** The engine starts again under its id and has forgotten everything but its weights. */
    void restart(const std::string &id)
    {
        FakeEngine &engine = m_engines.at(id);
        FakeEngine restarted;
        restarted.m_entry = engine.m_entry;
        restarted.m_entry.m_startedMs = m_time.nowMs();
        restarted.m_entry.m_replica = {};
        restarted.m_entry.m_rank = -1;
        restarted.m_entry.m_phase = MemberPhase::None;
        restarted.m_entry.m_ordersBegun = 0;
        engine = restarted;
        // Orders that had reached the former process are lost with it; those that a paused leader has still to send are not.
        std::erase_if(m_held, [&id](const HeldOrder &held) {
            return held.m_order.m_engine == id && held.m_sent;
        });
        publish(id);
    }

    void run(std::int64_t untilMs)
    {
        while (m_time.nowMs() < untilMs) {
            const std::int64_t nowMs = m_time.nowMs();
            advance(nowMs);
            if (m_beforeTick) {
                m_beforeTick();
            }
            const ReconcilerActions actions = m_reconciler->tick(nowMs);
            for (const EngineOrder &order : actions.m_orders) {
                send(order);
            }
            for (const std::string &engine : actions.m_probes) {
                probe(engine);
            }
            m_moves.insert(m_moves.end(), actions.m_moves.begin(), actions.m_moves.end());
            m_time.run(nowMs + TickMs);
        }
    }

    void kill(const std::string &id)
    {
        m_engines.at(id).m_dead = true;
        m_time.after(ListExpiryMs, [this, id]() {
            m_reconciler->markUnlisted(id);
        });
    }

    void cutFromList(const std::string &id, bool cut)
    {
        m_engines.at(id).m_unlisted = cut;
        if (cut) {
            m_reconciler->markUnlisted(id);
        } else {
            publish(id);
        }
    }

    void leave(const std::string &id)
    {
        m_engines.at(id).m_entry.m_leaving = true;
        publish(id);
    }

    /** Ends all engines of @p domain; @p afterMs later others with the same staged weights listen at their addresses. The list shows both for a while. */
    void replaceDomain(const std::string &domain, std::int64_t afterMs)
    {
        std::vector<std::string> ended;
        for (const std::pair<const std::string, FakeEngine> &entry : m_engines) {
            if (entry.second.m_entry.m_domain == domain && !entry.second.m_dead) {
                ended.push_back(entry.first);
            }
        }
        for (const std::string &id : ended) {
            kill(id);
            m_time.after(afterMs, [this, id]() {
                FakeEngine successor;
                successor.m_entry = m_engines.at(id).m_entry;
                successor.m_entry.m_id = id + "-successor";
                successor.m_entry.m_startedMs = m_time.nowMs();
                successor.m_entry.m_replica = {};
                successor.m_entry.m_rank = -1;
                successor.m_entry.m_phase = MemberPhase::None;
                m_engines.at(id).m_successor = successor.m_entry.m_id;
                m_engines[successor.m_entry.m_id] = successor;
                publish(successor.m_entry.m_id);
            });
        }
    }

    /** Lets the answers of @p id to orders and probes say that it will stop, which the list does not. */
    void sayLeaving(const std::string &id)
    {
        m_engines.at(id).m_saysLeaving = true;
    }

    void setServing()
    {
        m_serving = true;
        m_reconciler->setServing(true);
    }

    /** Returns the number of open replicas of @p model whose members are all alive. */
    int servingReplicas(const std::string &model) const
    {
        int count = 0;
        for (const std::pair<const std::string, FakeEngine> &entry : m_engines) {
            const FakeEngine &engine = entry.second;
            const bool open = !engine.m_dead && engine.m_entry.m_phase == MemberPhase::Open && replicaModel(engine.m_entry.m_replica.m_name) == model;
            count += open && std::all_of(engine.m_members.begin(), engine.m_members.end(), [this, &engine](const std::string &member) {
                         const FakeEngine &other = m_engines.at(member);
                         return !other.m_dead && other.m_entry.m_replica == engine.m_entry.m_replica;
                     });
        }
        return count;
    }

    /** Returns the id of the head of an open replica of @p model, or an empty string. */
    std::string headOf(const std::string &model) const
    {
        for (const std::pair<const std::string, FakeEngine> &entry : m_engines) {
            const bool open = !entry.second.m_dead && entry.second.m_entry.m_phase == MemberPhase::Open;
            if (open && replicaModel(entry.second.m_entry.m_replica.m_name) == model) {
                return entry.first;
            }
        }
        return {};
    }

    std::map<std::string, FakeEngine> m_engines;
    std::unique_ptr<ReplicaReconciler> m_reconciler;
    NetworkFaults m_faults;
    /** Engines refuse orders with an older fencing token than they have seen. */
    const bool m_enforcesFencing;
    /** Groups may open although members that were ready in them have left: requests stall there, but no rule of the platform forbids it (RULES, PARTIAL). */
    bool m_mayOpenAfterLeaving = false;
    /** Closing a head that has begun to open does not keep it from opening. */
    bool m_closeKeepsOpening = false;
    /** Time to load weights, in ms; 0 if they are there at once. Engines keep the weights of this many models. */
    std::int64_t m_loadMs = 0;
    std::size_t m_keptModels = 1;
    /** wouldAct() also reports orders to load weights. */
    bool m_lateLoadsAct = false;
    /** Moves that the leader began or ended. */
    std::vector<MoveEvent> m_moves;
    /** Selects orders that get no answer and are kept in m_held; empty for none. */
    std::function<bool(const EngineOrder &)> m_holds;
    std::vector<HeldOrder> m_held;
    /** Called before each tick of the leader; empty for nothing. */
    std::function<void()> m_beforeTick;
    /** Orders sent, by kind. */
    std::map<std::string, int> m_orders;
    std::vector<std::string> m_violations;
    std::mt19937 m_random;
    VirtualTime m_time;

private:
    static constexpr std::int64_t TickMs = 20;
    static constexpr std::int64_t NetworkDelayMs = 3;
    static constexpr std::int64_t ListLagMs = 150;
    static constexpr std::int64_t ListExpiryMs = 3'600;
    static constexpr std::int64_t ProbeTimeoutMs = 110;
    static constexpr std::int64_t OrderTimeoutMs = 250;

    void beginTerm()
    {
        m_fence += 10;
        m_reconciler->beginTerm(m_fence, m_service, m_enforcesFencing, m_time.nowMs());
        m_reconciler->setServing(m_serving);
    }

    bool isSilent(const std::string &id) const
    {
        const FakeEngine &engine = m_engines.at(id);
        return engine.m_dead || engine.m_unreachable;
    }

    bool happens(double probability)
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < probability;
    }

    /** Delivers the state of @p id to the reconciler through the list, unless the engine is dead or unlisted by then. */
    void publish(const std::string &id)
    {
        m_time.after(ListLagMs, [this, id]() {
            const FakeEngine &engine = m_engines.at(id);
            if (!engine.m_dead && !engine.m_unlisted) {
                m_reconciler->observe(engine.m_entry, m_time.nowMs());
            }
        });
    }

    /** Completes the joins and opens that are due at @p nowMs. */
    void advance(std::int64_t nowMs)
    {
        for (std::pair<const std::string, FakeEngine> &entry : m_engines) {
            FakeEngine &engine = entry.second;
            if (engine.m_dead) {
                continue;
            }
            if (engine.m_entry.m_phase == MemberPhase::Joining && nowMs >= engine.m_readyAtMs) {
                engine.m_entry.m_phase = MemberPhase::Ready;
                engine.m_wasReady = true;
                m_everReady.emplace(entry.first, engine.m_entry.m_replica);
                engine.m_lastModel = replicaModel(engine.m_entry.m_replica.m_name);
                keepWeights(engine, engine.m_lastModel);
                publish(entry.first);
            }
            if (!engine.m_loadingModel.empty() && nowMs >= engine.m_loadedAtMs) {
                keepWeights(engine, engine.m_loadingModel);
                engine.m_loadingModel.clear();
                publish(entry.first);
            }
            if (engine.m_openAtMs >= 0 && nowMs >= engine.m_openAtMs) {
                engine.m_openAtMs = -1;
                engine.m_entry.m_phase = MemberPhase::Open;
                checkComplete(engine);
                publish(entry.first);
            }
        }
    }

    /** Records a violation if not every member is ready in the replica that @p head opens. */
    void checkComplete(const FakeEngine &head)
    {
        const ServedModel *model = findModel(m_service, replicaModel(head.m_entry.m_replica.m_name));
        bool complete = model != nullptr && static_cast<int>(head.m_members.size()) == model->m_vmsPerReplica;
        for (const std::string &member : head.m_members) {
            const FakeEngine &engine = m_engines.at(member);
            const bool wasReady = m_everReady.count({member, head.m_entry.m_replica}) > 0;
            if (wasReady && (m_mayOpenAfterLeaving || engine.m_entry.m_startedMs > head.m_joinedMs)) {
                continue;
            }
            const bool left = !engine.m_dead && !(engine.m_entry.m_replica == head.m_entry.m_replica);
            complete = complete && !left && engine.m_wasReady && engine.m_members == head.m_members;
        }
        if (!complete) {
            m_violations.push_back("opened without all members: " + head.m_entry.m_replica.m_name);
        }
    }

    /** Records a violation if @p engine is told to join while its current replica serves. */
    void checkNotServing(const FakeEngine &engine, const EngineOrder &order)
    {
        if (engine.m_entry.m_replica.empty() || engine.m_members.empty()) {
            return;
        }
        const FakeEngine &head = m_engines.at(engine.m_members.front());
        const bool serves = head.m_entry.m_phase == MemberPhase::Open || head.m_entry.m_phase == MemberPhase::Closing;
        if (!head.m_dead && head.m_entry.m_replica == engine.m_entry.m_replica && serves) {
            m_violations.push_back(engine.m_entry.m_id + " joined to " + order.m_replica.m_name + " while " + head.m_entry.m_replica.m_name + " was open");
        }
    }

    static bool hasWeights(const FakeEngine &engine, const std::string &model)
    {
        const std::vector<std::string> &staged = engine.m_entry.m_stagedModels;
        return std::find(staged.begin(), staged.end(), model) != staged.end();
    }

    /** Stores the weights of @p model on @p engine as the latest ones. */
    void keepWeights(FakeEngine &engine, const std::string &model) const
    {
        std::vector<std::string> &staged = engine.m_entry.m_stagedModels;
        std::erase(staged, model);
        staged.push_back(model);
        while (staged.size() > m_keptModels) {
            staged.erase(staged.begin());
        }
    }

    OrderReply load(FakeEngine &engine, const std::string &model)
    {
        if (engine.m_refusesLoads) {
            return OrderReply::Unfit;
        }
        if (hasWeights(engine, model)) {
            return OrderReply::Done;
        }
        if (m_loadMs == 0) {
            keepWeights(engine, model);
            return OrderReply::Done;
        }
        if (engine.m_loadingModel != model) {
            engine.m_loadingModel = model;
            engine.m_loadedAtMs = m_time.nowMs() + m_loadMs;
        }
        return OrderReply::Begun;
    }

    /** Applies @p order to its engine and returns the answer of the engine. */
    OrderReply execute(const EngineOrder &order)
    {
        FakeEngine &engine = m_engines.at(order.m_engine);
        UpstreamEntry &entry = engine.m_entry;
        const std::int64_t nowMs = m_time.nowMs();
        if (m_enforcesFencing && order.m_fence < engine.m_fence) {
            return OrderReply::Fenced;
        }
        engine.m_fence = order.m_fence;
        if (order.m_expectedOrders >= 0 && order.m_expectedOrders != entry.m_ordersBegun) {
            return OrderReply::Unfit;
        }
        const bool same = entry.m_replica == order.m_replica;
        const std::string id = entry.m_id;
        switch (order.m_kind) {
        case EngineOrderKind::Stage:
            return load(engine, order.m_model);
        case EngineOrderKind::Join:
            if (order.m_replica.m_epoch < engine.m_epoch || (same && order.m_members != engine.m_members)) {
                return OrderReply::Fenced;
            }
            if (same) {
                return entry.m_phase == MemberPhase::Joining ? OrderReply::Begun : OrderReply::Done;
            }
            checkNotServing(engine, order);
            ++entry.m_ordersBegun;
            engine.m_epoch = order.m_replica.m_epoch;
            engine.m_members = order.m_members;
            engine.m_wasReady = false;
            engine.m_joinedMs = nowMs;
            engine.m_openAtMs = -1;
            entry.m_replica = order.m_replica;
            entry.m_rank = static_cast<int>(std::find(order.m_members.begin(), order.m_members.end(), id) - order.m_members.begin());
            entry.m_phase = MemberPhase::Joining;
            engine.m_readyAtMs = nowMs + (engine.m_lastModel == order.m_model ? 200 : 1'600);
            publish(id);
            return OrderReply::Begun;
        case EngineOrderKind::Open:
            if (!same || (entry.m_phase != MemberPhase::Ready && entry.m_phase != MemberPhase::Open)) {
                return OrderReply::Unfit;
            }
            if (entry.m_phase == MemberPhase::Open) {
                return OrderReply::Done;
            }
            entry.m_ordersBegun += engine.m_openAtMs < 0 ? 1 : 0;
            engine.m_openAtMs = engine.m_openAtMs < 0 ? nowMs + 300 : engine.m_openAtMs;
            return OrderReply::Begun;
        case EngineOrderKind::Close:
            if (!same) {
                return OrderReply::Unfit;
            }
            if (!m_closeKeepsOpening) {
                engine.m_openAtMs = -1;
            }
            if (entry.m_phase == MemberPhase::Open) {
                ++entry.m_ordersBegun;
                entry.m_phase = MemberPhase::Ready;
                publish(id);
            }
            return OrderReply::Done;
        case EngineOrderKind::Leave:
            if (same) {
                ++entry.m_ordersBegun;
                entry.m_replica = {};
                entry.m_rank = -1;
                entry.m_phase = MemberPhase::None;
                engine.m_members.clear();
                engine.m_openAtMs = -1;
                publish(id);
            }
            return OrderReply::Done;
        }
        return OrderReply::Unfit;
    }

    void send(const EngineOrder &order)
    {
        ++m_orders[std::string(enumName(EngineOrderKindNames, order.m_kind))];
        if (m_holds && m_holds(order)) {
            m_held.push_back({order});
            answer(order, OrderReply::Unanswered, OrderTimeoutMs, m_fence);
            return;
        }
        const bool lost = happens(m_faults.m_lost);
        const bool late = happens(m_faults.m_late);
        const std::uint64_t term = m_fence;
        const std::int64_t delayMs = late ? 2'000 + static_cast<std::int64_t>(m_random() % 10'000) : NetworkDelayMs;
        m_time.after(delayMs, [this, order, lost, late, term]() {
            const bool unresponsive = isSilent(order.m_engine);
            const bool wrong = !m_engines.at(order.m_engine).m_successor.empty();
            const OrderReply reply = wrong ? OrderReply::WrongEngine : unresponsive ? OrderReply::Unanswered : execute(order);
            if (wrong || (!lost && !late && !unresponsive)) {
                answer(order, reply, NetworkDelayMs, term);
            }
        });
        if (m_engines.at(order.m_engine).m_successor.empty() && (lost || late || isSilent(order.m_engine))) {
            answer(order, OrderReply::Unanswered, OrderTimeoutMs, term);
        }
    }

    void answer(const EngineOrder &order, OrderReply reply, std::int64_t delayMs, std::uint64_t term)
    {
        m_time.after(delayMs, [this, order, reply, term]() {
            if (term == m_fence) {
                learnLeaving(order.m_engine, reply != OrderReply::Unanswered);
                m_reconciler->orderAnswered(order, reply, m_time.nowMs());
            }
        });
    }

    void probe(const std::string &id)
    {
        const bool unresponsive = isSilent(id);
        m_time.after(unresponsive ? ProbeTimeoutMs : 2 * NetworkDelayMs, [this, id, unresponsive]() {
            const FakeEngine &engine = m_engines.at(id);
            if (!engine.m_successor.empty()) {
                // Whoever listens at the address answers with a report of its own.
                UpstreamEntry report = m_engines.at(engine.m_successor).m_entry;
                report.m_id = id;
                m_reconciler->probeAnswered(report, m_time.nowMs());
                return;
            }
            if (unresponsive || isSilent(id)) {
                m_reconciler->probeFailed(id, false, m_time.nowMs());
                return;
            }
            // A report covers the state of the engine, not whether the engine is listed.
            if (!engine.m_unlisted) {
                m_reconciler->observe(engine.m_entry, m_time.nowMs());
            }
            learnLeaving(id, true);
            m_reconciler->probeAnswered(engine.m_entry, m_time.nowMs());
        });
    }

    void learnLeaving(const std::string &id, bool answered)
    {
        if (answered && m_engines.at(id).m_saysLeaving) {
            m_reconciler->markLeaving(id, m_engines.at(id).m_entry.m_startedMs);
        }
    }

    CallService m_service;
    std::uint64_t m_fence = 0;
    bool m_serving = false;
    /** The engines, by id, that have been ready in a replica. */
    std::set<std::pair<std::string, ReplicaRef>> m_everReady;
};
}
