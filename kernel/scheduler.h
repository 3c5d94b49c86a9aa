#pragma once

#include "kernel/admission.h"
#include "kernel/crashtracker.h"
#include "kernel/errors.h"
#include "kernel/fairqueue.h"
#include "kernel/retrybudget.h"
#include "kernel/routepolicy.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedslip
{
/** Settings of a Scheduler. */
struct SchedulerSettings
{
    /** Name of this gateway. A gateway may use a cold upstream only if it is the upstream's cold holder. */
    std::string m_self;
    std::string m_routePolicy = "prefix-affinity";
    std::string m_admissionPolicy = "fair-deadline";
    std::uint64_t m_seed = 1;
    /** Number of gateways that share the upstreams. */
    int m_gateways = 1;
    /**
     * Their names, by which an upstream that has just become warm is divided among them in whole requests. If empty, each of them may send it one request at
     * once, however many they are.
     */
    std::vector<std::string> m_gatewayNames;
    /** Retries allowed per first attempt, on average. */
    double m_retryRatio = 0.1;
    /** Fraction of an upstream's limit that workspaces well above their share may not use; 0 reserves nothing. */
    double m_reserveFraction = 0.25;
    /** Whether suspected requests run isolated and blocked requests are refused. Off only for measurements. */
    bool m_isolateSuspects = true;
};

/** A request as it is passed to the scheduler. */
struct WorkRequest
{
    std::uint64_t m_id = 0;
    std::string m_workspace;
    /** Name of the model or service. */
    std::string m_pool;
    std::int64_t m_deadlineMs = 0;
    /** Hash of the workspace, the model or service, and the content. Repeated requests have the same fingerprint. */
    std::uint64_t m_fingerprint = 0;
    RouteQuery m_query;
    /** 0 for the first attempt. */
    int m_attempt = 0;
    /** An earlier attempt has already sent tokens to the caller, so admission control and fair shares do not hold this one back. */
    bool m_resumed = false;
};

enum class ActionKind {
    Dispatch,
    Refuse,
};

/** What the caller of the scheduler must do for one request. */
struct Action
{
    ActionKind m_kind = ActionKind::Dispatch;
    std::uint64_t m_requestId = 0;
    /** For Dispatch: where to send the request. */
    std::shared_ptr<const Upstream> m_upstream;
    /** For Refuse: the error to return. */
    ErrorCode m_error = ErrorCode::Overloaded;
    /** For Refuse: how long the client should wait before it tries again. */
    std::int64_t m_retryAfterMs = 0;
    /** For Dispatch: the request runs alone on the upstream because it is suspected of crashing upstreams. */
    bool m_isolated = false;
};

using Actions = std::vector<Action>;

/** How an attempt ended. */
enum class AttemptEnd {
    Finished,
    /** Cancelled by the caller, or failed for a reason unrelated to the upstream. */
    Neutral,
    /** Refused by the upstream before it ran. */
    Refused,
    /** The upstream failed while the request ran; the request may be the cause. */
    UpstreamLost,
    /** The upstream did not respond, and the request is not the cause. */
    Unreachable,
};

/** What a report says about an upstream. Reports come from its responses, from probes and from other gateways. */
enum class ReportKind {
    /** The upstream may have failed. */
    Doubt,
    Cold,
    /** The upstream is leaving service. */
    Leaving,
    /** Complete and warm; ends the effect of the earlier reports. */
    Recovered,
    /** A gateway has isolated the upstream to run a suspect alone on it. */
    SetApart,
};

inline constexpr EnumNames<5> ReportKindNames{"doubt", "cold", "leaving", "recovered", "set-apart"};

struct UpstreamReport
{
    std::string m_upstream;
    std::uint64_t m_generation = 0;
    ReportKind m_kind = ReportKind::Doubt;
};

/** Counts since the scheduler was created. */
struct SchedulerCounters
{
    std::uint64_t m_dispatched = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_queued = 0;
    std::uint64_t m_retried = 0;
    std::uint64_t m_retriesDenied = 0;
};

/**
 * Decides for one gateway where and when each request runs. It has no clock, socket or thread: each call receives the current time and
 * appends the actions that the caller must carry out. Not thread-safe: calls must not overlap.
 *
 * @code
 * Result<std::unique_ptr<Scheduler>> created = Scheduler::create(settings);
 * Scheduler &scheduler = *valueOf(created);
 * Actions actions;
 * scheduler.setTable(table, nowMs, actions);
 * scheduler.addRequest(request, nowMs, actions); // appends a Dispatch or a Refuse, or the request waits
 * scheduler.finish(id, AttemptEnd::Finished, nowMs, actions);
 * scheduler.tick(nowMs, actions);                // every TickMs
 * @endcode
 */
class Scheduler
{
public:
    static constexpr std::int64_t TickMs = 50;
    static constexpr int MaxAttempts = 4;

    /** Returns an error if @p settings name an unknown route or admission policy. */
    static Result<std::unique_ptr<Scheduler>> create(const SchedulerSettings &settings);

    /** Replaces the route table. Waiting requests are kept; upstreams that are not in the new table get no new work. */
    void setTable(std::shared_ptr<const RouteTable> table, std::int64_t nowMs, Actions &actions);
    /** Dispatches, queues or refuses a new request. Costs O(log workspaces). */
    void addRequest(const WorkRequest &request, std::int64_t nowMs, Actions &actions);
    /** Like addRequest, for a request whose last attempt failed. Refuses it after MaxAttempts attempts or when the retry budget is empty. */
    void retry(const WorkRequest &request, std::int64_t nowMs, Actions &actions);
    /** Must be called when an attempt has ended. Frees its slot; does nothing if the request is not running. */
    void finish(std::uint64_t requestId, AttemptEnd end, std::int64_t nowMs, Actions &actions);
    /** Removes a waiting request whose caller has gone away; does nothing if it is not waiting. */
    void cancelWaiting(std::uint64_t requestId);
    /** Applies a report. Ignores it if the upstream is unknown or its generation is older than the one in use. */
    void report(const UpstreamReport &report, std::int64_t nowMs, Actions &actions);
    /** Records the number of requests that the engine of @p upstream reports as running, from all gateways. */
    void reportLoad(const std::string &upstream, int running, std::int64_t nowMs);
    /** Records whether the cache of @p upstream holds the prompt prefix with hash @p prefix. */
    void reportPrefix(const std::string &upstream, std::uint64_t prefix, bool cached);
    /** While @p accepting is false, new requests are refused with @p error. Resumed ones are still accepted. */
    void setAccepting(bool accepting, ErrorCode error);
    /** Sets the names of the live gateways, among which the limits of the upstreams are divided. */
    void setGateways(const std::vector<std::string> &names);
    /** Must be called every TickMs: applies what depends on time alone, such as deadlines and the ramp after warming. */
    void tick(std::int64_t nowMs, Actions &actions);

    CrashTracker &crashTracker();
    const SchedulerCounters &counters() const;
    const std::vector<UpstreamState> &upstreams() const;
    std::size_t waiting() const;
    /** Returns the ids of the requests that run on @p upstream, in ascending order. */
    std::vector<std::uint64_t> runningOn(const std::string &upstream) const;
    /** Returns true if responses of this generation may still be forwarded, and false once it was replaced or may have failed. */
    bool mayRelayResponses(const std::string &upstream, std::uint64_t generation, std::int64_t nowMs) const;
    /** Returns true if new work may be sent to this generation now. Must be checked again if time has passed since the dispatch. */
    bool mayDispatch(const std::string &upstream, std::uint64_t generation, std::int64_t nowMs) const;
    /** Returns reports about the upstreams that this gateway has isolated, to be sent to its peers. */
    std::vector<UpstreamReport> isolatedUpstreams() const;

private:
    /** How long an upstream stays isolated, in this gateway and in its peers, unless the isolation is repeated. */
    static constexpr std::int64_t IsolationMs = 2'000;

    struct Pool
    {
        /** Indexes of all upstreams of the pool that were ever in a table. */
        std::vector<std::uint32_t> m_members;
        /** Indexes of the upstreams that can take a request now. */
        std::vector<std::uint32_t> m_available;
        FairQueue m_queue;
        /** Suspected requests that wait to run isolated. */
        std::deque<std::uint64_t> m_suspects;
        /** Index of the upstream that this gateway has isolated, or NoUpstreamIndex. */
        std::uint32_t m_isolatedUpstream = NoUpstreamIndex;
        std::int64_t m_isolatedSinceMs = 0;
        /** Moving average of the time that a finished request held its slot, in ms. */
        double m_serviceMs = 200.0;
        int m_running = 0;
        /** Number of running requests by flow. */
        std::unordered_map<std::string, int> m_runningByFlow;
        /** Sum of the limits, over all gateways, of the upstreams that were available or in use at the last tick. */
        double m_capacity = 0.0;
        std::uint64_t m_roundRobinPosition = 0;
    };
    struct RunningRequest
    {
        WorkRequest m_request;
        std::uint32_t m_upstream = 0;
        std::int64_t m_startedMs = 0;
        bool m_isolated = false;
    };

    explicit Scheduler(const SchedulerSettings &settings, const RoutePolicy &route, const AdmissionPolicy &admission);

    bool canDispatchTo(const UpstreamState &upstream, std::int64_t nowMs) const;
    /** Returns how many requests this gateway may run on @p upstream now; 0 if it is cold and another gateway holds the grant. */
    /** Begins to raise the limit of @p upstream in steps, since it has just become warm. */
    void startRamp(UpstreamState &upstream, std::int64_t nowMs) const;
    /** Returns this gateway's part of the limit of an upstream that became warm at m_warmSinceMs. */
    double rampLimit(const UpstreamState &upstream, std::int64_t nowMs) const;
    double concurrencyLimit(const UpstreamState &upstream, std::int64_t nowMs) const;
    /** Adds an upstream to its pool's list of available ones or removes it, after anything that canDispatchTo depends on has changed. */
    void updateAvailability(std::uint32_t index, std::int64_t nowMs);
    /** Updates the state of an upstream from its entry in a new table. */
    void applyUpstream(const std::shared_ptr<const Upstream> &entry, std::int64_t nowMs);
    /** Returns nullptr if the plan has no such model or service. */
    Pool *findOrCreatePool(const std::string &name);
    double slotCount(const Pool &pool) const;
    void refuse(const WorkRequest &request, ErrorCode error, std::int64_t retryAfterMs, Actions &actions);
    /** Returns true and refuses the request if the gateway does not accept work, the pool is unknown or the request is blocked. */
    bool refuseOnArrival(const WorkRequest &request, std::int64_t nowMs, Actions &actions);
    /** Returns false if no upstream can take the request now. */
    bool tryDispatch(Pool &pool, const WorkRequest &request, std::int64_t nowMs, Actions &actions);
    void start(Pool &pool, std::uint32_t index, const WorkRequest &request, bool isolated, std::int64_t nowMs, Actions &actions);
    /** Queues the request if the admission policy allows it; otherwise refuses it. */
    void enqueue(Pool &pool, const WorkRequest &request, std::int64_t nowMs, Actions &actions);
    /** Dispatches queued requests while upstreams can take them. */
    void dispatchQueued(Pool &pool, std::int64_t nowMs, Actions &actions);
    /** Refuses the waiting requests that cannot meet their deadline and the suspects that have been blocked. */
    void refuseLate(Pool &pool, std::int64_t nowMs, Actions &actions);
    /** Isolates an upstream while suspects wait, runs them on it one at a time, and releases it when none is left. */
    void runSuspects(Pool &pool, std::int64_t nowMs, Actions &actions);
    void chooseIsolatedUpstream(const std::string &name, Pool &pool, std::int64_t nowMs);
    void strikeAll(std::uint32_t index, std::int64_t nowMs);
    void updateCrashRecords(const RunningRequest &running, AttemptEnd end, std::int64_t nowMs);
    /** Returns true if the request's flow already runs well above its share, so that it must leave the reserve to other flows. */
    bool exceedsShare(const Pool &pool, const WorkRequest &request) const;
    /** Returns the workspace's weight in the plan, scaled by its priority; 1 if the plan does not have it. */
    int workspaceWeight(const std::string &workspace) const;
    /** Returns the flow of the request: its workspace, or one flow for all if the admission policy is not fair. */
    const std::string &flowKey(const WorkRequest &request) const;
    int requestWeight(const WorkRequest &request) const;

    SchedulerSettings m_settings;
    RoutePolicy m_route;
    AdmissionPolicy m_admission;
    Random m_random;
    std::shared_ptr<const RouteTable> m_table;
    std::vector<UpstreamState> m_upstreams;
    std::unordered_map<std::string, std::uint32_t> m_indexById;
    std::unordered_map<std::string, Pool> m_pools;
    std::unordered_map<std::uint64_t, RunningRequest> m_running;
    std::unordered_map<std::uint64_t, WorkRequest> m_waiting;
    PrefixMap m_prefixes;
    RetryBudget m_retryBudget;
    CrashTracker m_crashTracker;
    SchedulerCounters m_counters;
    bool m_accepting = true;
    ErrorCode m_refusalError = ErrorCode::Draining;
};
}
