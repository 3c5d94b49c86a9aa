// Problem: the scheduler is a single state machine, but requests run on several threads.
// Approach: a lock guards each event. It is held for microseconds and never across a wait. Actions are posted to the thread of the request.
// A scheduler for each thread would have to divide limits, cold grants and fair shares among the threads.

#include "daemons/dispatcher.h"

#include <boost/json.hpp>

namespace knapweedslip
{
namespace json = boost::json;

namespace
{
/** The scheduler's tick refuses a request after its deadline. This limits the wait in case it does not. */
constexpr std::int64_t RefusalSlackMs = 1'000;
}

Result<std::unique_ptr<Dispatcher>> Dispatcher::create(const SchedulerSettings &settings)
{
    Result<std::unique_ptr<Scheduler>> scheduler = Scheduler::create(settings);
    if (failed(scheduler)) {
        return errorOf(scheduler);
    }
    return std::unique_ptr<Dispatcher>(new Dispatcher(std::move(valueOf(scheduler))));
}

Dispatcher::Dispatcher(std::unique_ptr<Scheduler> scheduler)
    : m_scheduler(std::move(scheduler))
{
}

void Dispatcher::deliverActions(const Actions &actions)
{
    for (const Action &action : actions) {
        const auto it = m_waiters.find(action.m_requestId);
        if (it != m_waiters.end()) {
            it->second->set(action);
            m_waiters.erase(it);
        }
    }
}

void Dispatcher::cancelStaleAttempts(std::int64_t nowMs)
{
    for (const std::pair<const std::uint64_t, WatchedAttempt> &entry : m_watchedAttempts) {
        if (!m_scheduler->mayRelayResponses(entry.second.m_upstream, entry.second.m_generation, nowMs)) {
            asio::post(entry.second.m_executor, entry.second.m_cancel);
        }
    }
}

awaitable<Action> Dispatcher::submit(WorkRequest request)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    const std::shared_ptr<OneShot<Action>> waiter = std::make_shared<OneShot<Action>>(executor);
    const std::int64_t nowMs = steadyMs();
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_waiters[request.m_id] = waiter;
        Actions actions;
        if (request.m_attempt == 0) {
            m_scheduler->addRequest(request, nowMs, actions);
        } else {
            m_scheduler->retry(request, nowMs, actions);
        }
        deliverActions(actions);
    }
    const std::optional<Action> action = co_await waiter->wait(std::max<std::int64_t>(0, request.m_deadlineMs - nowMs) + RefusalSlackMs);
    if (action) {
        co_return *action;
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_waiters.erase(request.m_id);
    m_scheduler->cancelWaiting(request.m_id);
    Actions actions;
    m_scheduler->finish(request.m_id, AttemptEnd::Neutral, steadyMs(), actions);
    deliverActions(actions);
    Action refused;
    refused.m_kind = ActionKind::Refuse;
    refused.m_requestId = request.m_id;
    refused.m_error = ErrorCode::DeadlineUnreachable;
    refused.m_retryAfterMs = RefusalSlackMs;
    co_return refused;
}

void Dispatcher::finish(std::uint64_t requestId, AttemptEnd end)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::int64_t nowMs = steadyMs();
    Actions actions;
    m_scheduler->finish(requestId, end, nowMs, actions);
    deliverActions(actions);
    if (end == AttemptEnd::UpstreamLost || end == AttemptEnd::Unreachable) {
        cancelStaleAttempts(nowMs);
    }
}

void Dispatcher::watchAttempt(std::uint64_t requestId, const Upstream &upstream, const asio::any_io_executor &executor, std::function<void()> cancel)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_watchedAttempts[requestId] = WatchedAttempt{upstream.m_id, upstream.m_generation, executor, std::move(cancel)};
}

void Dispatcher::unwatchAttempt(std::uint64_t requestId)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_watchedAttempts.erase(requestId);
}

bool Dispatcher::mayDispatch(const Upstream &upstream)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_scheduler->mayDispatch(upstream.m_id, upstream.m_generation, steadyMs());
}

void Dispatcher::setTable(std::shared_ptr<const RouteTable> table)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::int64_t nowMs = steadyMs();
    Actions actions;
    m_scheduler->setTable(std::move(table), nowMs, actions);
    deliverActions(actions);
    cancelStaleAttempts(nowMs);
}

void Dispatcher::report(const UpstreamReport &report)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::int64_t nowMs = steadyMs();
    Actions actions;
    m_scheduler->report(report, nowMs, actions);
    deliverActions(actions);
    if (report.m_kind == ReportKind::Doubt) {
        cancelStaleAttempts(nowMs);
    }
}

void Dispatcher::reportLoad(const std::string &upstream, int running)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_scheduler->reportLoad(upstream, running, steadyMs());
}

void Dispatcher::setAccepting(bool accepting, ErrorCode error)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_scheduler->setAccepting(accepting, error);
}

void Dispatcher::setGateways(const std::vector<std::string> &names)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_scheduler->setGateways(names);
}

void Dispatcher::mergeCrashRecord(const CrashRecord &record)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_scheduler->crashTracker().merge(record);
}

std::vector<CrashRecord> Dispatcher::crashRecords()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_scheduler->crashTracker().records(steadyMs());
}

std::vector<UpstreamReport> Dispatcher::isolatedUpstreams()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_scheduler->isolatedUpstreams();
}

void Dispatcher::tick()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    Actions actions;
    m_scheduler->tick(steadyMs(), actions);
    deliverActions(actions);
}

SchedulerCounters Dispatcher::counters()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_scheduler->counters();
}

std::string Dispatcher::dump()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const SchedulerCounters &counters = m_scheduler->counters();
    json::array upstreams;
    for (const UpstreamState &state : m_scheduler->upstreams()) {
        upstreams.push_back(json::object{{"id", state.m_info->m_id},
                                         {"availability_zone", state.m_info->m_availabilityZone},
                                         {"generation", state.m_info->m_generation},
                                         {"phase", enumName(GroupPhaseNames, state.m_info->m_phase)},
                                         {"cold_holder", state.m_info->m_coldHolder},
                                         {"in_table", state.m_inTable},
                                         {"takes_work", state.m_availableIndex >= 0},
                                         {"running", state.m_running},
                                         {"others_running", state.m_othersRunning},
                                         {"turned_cold", steadyMs() < state.m_coldUntilMs},
                                         {"leaving", state.m_leaving}});
    }
    json::object object;
    object["waiting"] = m_scheduler->waiting();
    object["dispatched"] = counters.m_dispatched;
    object["refused"] = counters.m_refused;
    object["queued"] = counters.m_queued;
    object["retried"] = counters.m_retried;
    object["retries_denied"] = counters.m_retriesDenied;
    object["upstreams"] = std::move(upstreams);
    return json::serialize(object);
}
}
