#pragma once

#include "kernel/scheduler.h"
#include "net/oneshot.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace knapweedslip
{
/** The scheduler behind a lock, for the threads of one gateway. Actions reach the waiting requests on their own threads. */
class Dispatcher
{
public:
    static Result<std::unique_ptr<Dispatcher>> create(const SchedulerSettings &settings);

    /** Waits until the request may run or is refused. Called on the request's thread. */
    awaitable<Action> submit(WorkRequest request);
    void finish(std::uint64_t requestId, AttemptEnd end);

    /** Calls @p cut on @p executor when answers of this generation may no longer be passed on. */
    void watchAttempt(std::uint64_t requestId, const Upstream &upstream, const asio::any_io_executor &executor, std::function<void()> cut);
    void unwatchAttempt(std::uint64_t requestId);
    bool mayDispatch(const Upstream &upstream);

    void setTable(std::shared_ptr<const RouteTable> table);
    void report(const UpstreamReport &report);
    void reportLoad(const std::string &upstream, int running);
    void setAccepting(bool accepting, ErrorCode error);
    void setGateways(int gateways);
    void mergeStrike(const CrashRecord &record);
    std::vector<CrashRecord> strikes();
    std::vector<UpstreamReport> isolatedUpstreams();
    void tick();

    /** JSON object of the scheduler's state. */
    std::string dump();
    SchedulerCounters counters();

private:
    struct Watched
    {
        std::string m_upstream;
        std::uint64_t m_generation = 0;
        asio::any_io_executor m_executor;
        std::function<void()> m_cut;
    };

    explicit Dispatcher(std::unique_ptr<Scheduler> scheduler);
    /** Carries out @p actions; the lock is held. */
    void carryOut(const Actions &actions);
    /** Cuts attempts whose upstream is no longer in force; the lock is held. */
    void cutStale(std::int64_t nowMs);

    std::mutex m_mutex;
    std::unique_ptr<Scheduler> m_scheduler;
    std::unordered_map<std::uint64_t, std::shared_ptr<OneShot<Action>>> m_waiters;
    std::unordered_map<std::uint64_t, Watched> m_watched;
};
}
