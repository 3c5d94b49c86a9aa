#pragma once

#include "kernel/admission.h"
#include "kernel/errors.h"
#include "kernel/fairqueue.h"
#include "kernel/retrybudget.h"
#include "kernel/routepolicy.h"
#include "kernel/strikes.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedslip
{
/** Choices of one scheduler. */
struct SchedulerSettings
{
    /** Name of this gateway; cold grants are compared with it. */
    std::string m_self;
    std::string m_routePolicy = "prefix-affinity";
    std::string m_admissionPolicy = "fair-deadline";
    std::uint64_t m_seed = 1;
    /** Gateways that share the upstreams. */
    int m_gateways = 1;
    /** Retries allowed per first attempt. */
    double m_retryRatio = 0.1;
    /** Part of the slots that only workspaces below their share may take; 0 for none. */
    double m_reservePart = 0.25;
    /** Strikes and running suspects by themselves; off only for measurements. */
    bool m_isolateSuspects = true;
};

/** A request as the scheduler sees it. */
struct WorkRequest
{
    std::uint64_t m_id = 0;
    std::string m_workspace;
    /** Model or service. */
    std::string m_pool;
    std::int64_t m_deadlineMs = 0;
    /** Hash of everything that makes the request what it is. */
    std::uint64_t m_fingerprint = 0;
    RouteQuery m_query;
    /** 0 for the first attempt. */
    int m_attempt = 0;
    /** The first attempt has given tokens to the caller already, so it keeps its turn. */
    bool m_resumed = false;
};

enum class ActionKind {
    Dispatch,
    Refuse,
};

/** What the caller of the scheduler must do now. */
struct Action
{
    ActionKind m_kind = ActionKind::Dispatch;
    std::uint64_t m_requestId = 0;
    /** For Dispatch. */
    std::shared_ptr<const Upstream> m_upstream;
    /** For Refuse. */
    ErrorCode m_error = ErrorCode::Overloaded;
    /** For Refuse: when to come back. */
    std::int64_t m_retryAfterMs = 0;
    /** For Dispatch: the request runs by itself because it is suspected of crashing upstreams. */
    bool m_alone = false;
};

using Actions = std::vector<Action>;

/** How an attempt ended. */
enum class AttemptEnd {
    Finished,
    /** Cancelled by the caller, or failed for a reason that says nothing about the upstream. */
    Neutral,
    /** Refused before running. */
    Refused,
    /** The upstream was lost while the request ran; the request may be the cause. */
    UpstreamLost,
    /** The upstream did not answer, and this request is not the cause. */
    Unreachable,
};

/** News about an upstream, from its answers, from probes or from peers. */
enum class ReportKind {
    Doubt,
    Cold,
    Leaving,
    /** Whole and warm after all. */
    Recovered,
    /** A gateway is about to run a suspect there by itself. */
    SetApart,
};

inline constexpr EnumNames<5> ReportKindNames{"doubt", "cold", "leaving", "recovered", "set-apart"};

struct UpstreamReport
{
    std::string m_upstream;
    std::uint64_t m_generation = 0;
    ReportKind m_kind = ReportKind::Doubt;
};

/** Counts since creation. */
struct SchedulerCounters
{
    std::uint64_t m_dispatched = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_queued = 0;
    std::uint64_t m_retried = 0;
    std::uint64_t m_retriesDenied = 0;
};

/**
 * Decides, for one gateway, which request goes where and when. It has no clock, socket or thread: each call takes the time and appends
 * the actions to be carried out. Calls must not overlap.
 *
 * @code
 * Result<std::unique_ptr<Scheduler>> made = Scheduler::create(settings);
 * Actions actions;
 * scheduler.setTable(table, nowMs, actions);
 * scheduler.arrive(request, nowMs, actions);   // actions now holds a Dispatch or a Refuse, or the request waits
 * scheduler.finish(id, AttemptEnd::Finished, nowMs, actions);
 * scheduler.tick(nowMs, actions);              // every TickMs
 * @endcode
 */
class Scheduler
{
public:
    static constexpr std::int64_t TickMs = 50;
    static constexpr int MaxAttempts = 4;

    static Result<std::unique_ptr<Scheduler>> create(const SchedulerSettings &settings);

    /** Puts a new table in force. Waiting requests are kept; upstreams that left the table take no new work from here on. */
    void setTable(std::shared_ptr<const RouteTable> table, std::int64_t nowMs, Actions &actions);
    /** Takes a new request. Costs O(log workspaces). */
    void arrive(const WorkRequest &request, std::int64_t nowMs, Actions &actions);
    /** Takes a request again after a failed attempt; refused when the retry budget is spent. */
    void retry(const WorkRequest &request, std::int64_t nowMs, Actions &actions);
    /** An attempt has ended; its slot is free. */
    void finish(std::uint64_t requestId, AttemptEnd end, std::int64_t nowMs, Actions &actions);
    /** The caller has gone away; a waiting request is forgotten. */
    void cancelWaiting(std::uint64_t requestId);
    void report(const UpstreamReport &report, std::int64_t nowMs, Actions &actions);
    /** The engine said how many requests it runs. */
    void reportLoad(const std::string &upstream, int running, std::int64_t nowMs);
    /** Says that prefix hashes are, or are no longer, in an upstream's cache. */
    void reportPrefix(const std::string &upstream, std::uint64_t prefix, bool cached);
    /** While false, every new request is refused with @p error. */
    void setAccepting(bool accepting, ErrorCode error);
    /** Gateways alive now; shares of upstreams follow. */
    void setGateways(int gateways);
    void tick(std::int64_t nowMs, Actions &actions);

    StrikeBook &strikes();
    const SchedulerCounters &counters() const;
    const std::vector<UpstreamState> &upstreams() const;
    std::size_t waiting() const;
    /** Requests running on @p upstream. */
    std::vector<std::uint64_t> runningOn(const std::string &upstream) const;
    /** Answers of this generation may still be passed on: it was not replaced and is not in doubt. */
    bool inForce(const std::string &upstream, std::uint64_t generation, std::int64_t nowMs) const;
    /** New work may be sent to this generation at this moment. Asked again after anything that took time since the dispatch. */
    bool mayDispatch(const std::string &upstream, std::uint64_t generation, std::int64_t nowMs) const;
    /** Upstreams this gateway has set apart, to be told to its peers. */
    std::vector<UpstreamReport> setApart() const;

private:
    /** How long a request to keep an upstream apart stands unless repeated. */
    static constexpr std::int64_t SetApartMs = 2'000;

    struct Pool
    {
        std::vector<std::uint32_t> m_members;
        std::vector<std::uint32_t> m_available;
        FairQueue m_queue;
        /** Suspects that wait to run by themselves. */
        std::deque<std::uint64_t> m_suspects;
        /** Upstream set apart by this gateway, and since when. */
        std::uint32_t m_setApart = NoUpstreamIndex;
        std::int64_t m_setApartSinceMs = 0;
        double m_serviceMs = 200.0;
        int m_running = 0;
        /** Requests that run, by line. */
        std::unordered_map<std::string, int> m_runningByLine;
        /** Requests that the open upstreams bear from this gateway, as of the last tick. */
        double m_capacity = 0.0;
        std::uint64_t m_turn = 0;
    };
    struct Running
    {
        WorkRequest m_request;
        std::uint32_t m_upstream = 0;
        std::int64_t m_startedMs = 0;
        bool m_alone = false;
    };

    explicit Scheduler(const SchedulerSettings &settings, const RoutePolicy &route, const AdmissionPolicy &admission);

    bool canTake(const UpstreamState &upstream, std::int64_t nowMs) const;
    double limitOf(const UpstreamState &upstream, std::int64_t nowMs) const;
    void refresh(std::uint32_t index, std::int64_t nowMs);
    void takeEntry(const std::shared_ptr<const Upstream> &entry, std::int64_t nowMs);
    Pool *poolOf(const std::string &name);
    double slotsOf(const Pool &pool) const;
    void refuse(const WorkRequest &request, ErrorCode error, std::int64_t retryAfterMs, Actions &actions);
    bool refuseEarly(const WorkRequest &request, std::int64_t nowMs, Actions &actions);
    bool tryDispatch(Pool &pool, const WorkRequest &request, std::int64_t nowMs, Actions &actions);
    void start(Pool &pool, std::uint32_t index, const WorkRequest &request, bool alone, std::int64_t nowMs, Actions &actions);
    void enqueue(Pool &pool, const WorkRequest &request, std::int64_t nowMs, Actions &actions);
    void drainQueue(Pool &pool, std::int64_t nowMs, Actions &actions);
    void dropLate(Pool &pool, std::int64_t nowMs, Actions &actions);
    void runSuspects(Pool &pool, std::int64_t nowMs, Actions &actions);
    void chooseSetApart(const std::string &name, Pool &pool, std::int64_t nowMs);
    void strikeAll(std::uint32_t index, std::int64_t nowMs);
    void settleStrikes(const Running &running, AttemptEnd end, std::int64_t nowMs);
    /** The last free slots are kept for lines that run less than their share; this request's line runs its share or more. */
    bool mustLeaveReserve(const Pool &pool, const WorkRequest &request) const;
    int lineWeight(const std::string &workspace) const;
    const std::string &lineOf(const WorkRequest &request) const;
    int weightOf(const WorkRequest &request) const;

    SchedulerSettings m_settings;
    RoutePolicy m_route;
    AdmissionPolicy m_admission;
    Random m_random;
    std::shared_ptr<const RouteTable> m_table;
    std::vector<UpstreamState> m_upstreams;
    std::unordered_map<std::string, std::uint32_t> m_byId;
    std::unordered_map<std::string, Pool> m_pools;
    std::unordered_map<std::uint64_t, Running> m_running;
    std::unordered_map<std::uint64_t, WorkRequest> m_waiting;
    PrefixMap m_prefixes;
    RetryBudget m_retryBudget;
    StrikeBook m_strikes;
    SchedulerCounters m_counters;
    bool m_accepting = true;
    ErrorCode m_refusal = ErrorCode::Draining;
};
}
