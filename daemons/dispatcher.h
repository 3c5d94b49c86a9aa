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
/** Makes the scheduler usable from all threads of a gateway. Each waiting request receives its action on its own thread. */
class Dispatcher
{
public:
    static Result<std::unique_ptr<Dispatcher>> create(const SchedulerSettings &settings);

    /** Waits until the request may run or is refused, and returns that action. Must be called on the request's thread. */
    awaitable<Action> submit(WorkRequest request);
    void finish(std::uint64_t requestId, AttemptEnd end);

    /** Calls @p cancel on @p executor when responses of this generation of @p upstream may no longer be relayed. */
    void watchAttempt(std::uint64_t requestId, const Upstream &upstream, const asio::any_io_executor &executor, std::function<void()> cancel);
    void unwatchAttempt(std::uint64_t requestId);
    /** Returns true if a request may be sent to this generation of @p upstream now. */
    bool mayDispatch(const Upstream &upstream);

    void setTable(std::shared_ptr<const RouteTable> table);
    void report(const UpstreamReport &report);
    void reportLoad(const std::string &upstream, int running);
    /** While @p accepting is false, new requests are refused with @p error. */
    void setAccepting(bool accepting, ErrorCode error);
    void setGateways(const std::vector<std::string> &names);
    void mergeCrashRecord(const CrashRecord &record);
    std::vector<CrashRecord> crashRecords();
    /** Returns reports about the upstreams that this gateway has isolated, to be sent to its peers. */
    std::vector<UpstreamReport> isolatedUpstreams();
    void tick();

    /** Returns the scheduler's state as a JSON object. */
    std::string dump();
    SchedulerCounters counters();

private:
    struct WatchedAttempt
    {
        std::string m_upstream;
        std::uint64_t m_generation = 0;
        asio::any_io_executor m_executor;
        std::function<void()> m_cancel;
    };

    explicit Dispatcher(std::unique_ptr<Scheduler> scheduler);
    /** Delivers @p actions to the waiting requests. Must be called with m_mutex held. */
    void deliverActions(const Actions &actions);
    /** Cancels the attempts whose upstream generation is no longer valid. Must be called with m_mutex held. */
    void cancelStaleAttempts(std::int64_t nowMs);

    std::mutex m_mutex;
    std::unique_ptr<Scheduler> m_scheduler;
    std::unordered_map<std::uint64_t, std::shared_ptr<OneShot<Action>>> m_waiters;
    std::unordered_map<std::uint64_t, WatchedAttempt> m_watchedAttempts;
};
}
