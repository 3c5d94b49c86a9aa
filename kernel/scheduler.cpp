// Problem: decide immediately for each request whether it runs now and where, waits, or is refused with a retry time, while upstreams
// start cold, fail, leave and change owners.
// Approach: one state machine. Each pool keeps a list of the upstreams that can take a request now and updates it on every event, so a
// choice never scans all upstreams. Limits follow the table, the cold grant, the ramp after warming and the load that engines report.
// All work (new, queued, retried, resumed, suspect) passes the same check at the moment of dispatch.
// Checking only at admission would let queued and retried work reach upstreams that have left service in the meantime.

#include "kernel/scheduler.h"

#include "kernel/registry.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
/** An upstream that may have failed gets no new work for this long, and longer only if the table confirms the failure. */
constexpr std::int64_t DoubtMs = 3'000;
/** How long a report that an upstream is cold is valid unless it is repeated. */
constexpr std::int64_t ColdReportLifeMs = 5'000;
/** Load reports of engines are ignored when they are older than this. */
constexpr std::int64_t LoadReportLifeMs = 2'000;
/** Maximum number of flows tried in one pass over the queue. */
constexpr std::size_t MaxFlowsTried = 8;
/** Retries that a workspace can save up, and its initial budget. */
constexpr double RetryBurst = 10.0;
/** Factor on an upstream's limit after a refusal; each finished request raises the limit again by 1 / limit. */
constexpr double LimitDecrease = 0.7;
/** Weight of the newest value in the moving average of service time. */
constexpr double ServiceTimeGain = 0.1;
constexpr std::int64_t MinRetryAfterMs = 1'000;
/** Flow of all requests under an admission policy that is not fair. */
constexpr const char *SharedFlow = "";
}

Result<std::unique_ptr<Scheduler>> Scheduler::create(const SchedulerSettings &settings)
{
    const Result<RoutePolicy> route = findPlugin<RoutePolicy>(settings.m_routePolicy);
    if (failed(route)) {
        return errorOf(route);
    }
    const Result<AdmissionPolicy> admission = findPlugin<AdmissionPolicy>(settings.m_admissionPolicy);
    if (failed(admission)) {
        return errorOf(admission);
    }
    return std::unique_ptr<Scheduler>(new Scheduler(settings, valueOf(route), valueOf(admission)));
}

Scheduler::Scheduler(const SchedulerSettings &settings, const RoutePolicy &route, const AdmissionPolicy &admission)
    : m_settings(settings)
    , m_route(route)
    , m_admission(admission)
    , m_random(settings.m_seed)
    , m_table(std::make_shared<const RouteTable>())
    , m_retryBudget(settings.m_retryRatio, RetryBurst)
{
}

void Scheduler::setTable(std::shared_ptr<const RouteTable> table, std::int64_t nowMs, Actions &actions)
{
    m_table = std::move(table);
    for (UpstreamState &state : m_upstreams) {
        state.m_inTable = false;
    }
    for (const std::shared_ptr<const Upstream> &entry : m_table->m_upstreams) {
        applyUpstream(entry, nowMs);
    }
    for (std::uint32_t index = 0; index < m_upstreams.size(); ++index) {
        updateAvailability(index, nowMs);
    }
    tick(nowMs, actions);
}

Scheduler::Pool *Scheduler::findOrCreatePool(const std::string &name)
{
    const auto it = m_pools.find(name);
    if (it != m_pools.end()) {
        return &it->second;
    }
    const bool planned = findModel(m_table->m_plan, name) != nullptr || findService(m_table->m_plan, name) != nullptr;
    return planned ? &m_pools[name] : nullptr;
}

double Scheduler::slotCount(const Pool &pool) const
{
    // Each running request holds a slot, and each available upstream has at least one more.
    return static_cast<double>(pool.m_running) + static_cast<double>(pool.m_available.size());
}

void Scheduler::refuse(const WorkRequest &request, ErrorCode error, std::int64_t retryAfterMs, Actions &actions)
{
    ++m_counters.m_refused;
    Action action;
    action.m_kind = ActionKind::Refuse;
    action.m_requestId = request.m_id;
    action.m_error = error;
    action.m_retryAfterMs = std::max(MinRetryAfterMs, retryAfterMs);
    actions.push_back(std::move(action));
}

bool Scheduler::refuseOnArrival(const WorkRequest &request, std::int64_t nowMs, Actions &actions)
{
    if (!m_accepting && !request.m_resumed) {
        refuse(request, m_refusalError, MinRetryAfterMs, actions);
        return true;
    }
    if (findOrCreatePool(request.m_pool) == nullptr) {
        refuse(request, ErrorCode::UnknownModel, MinRetryAfterMs, actions);
        return true;
    }
    if (m_settings.m_isolateSuspects && m_crashTracker.suspicionOf(request.m_fingerprint, nowMs) == CrashSuspicion::Blocked) {
        refuse(request, ErrorCode::PoisonRequest, CrashTracker::RecordLifeMs, actions);
        return true;
    }
    return false;
}

void Scheduler::start(Pool &pool, std::uint32_t index, const WorkRequest &request, bool isolated, std::int64_t nowMs, Actions &actions)
{
    UpstreamState &state = m_upstreams[index];
    ++state.m_running;
    ++pool.m_running;
    ++pool.m_runningByFlow[flowKey(request)];
    ++m_counters.m_dispatched;
    m_running[request.m_id] = RunningRequest{request, index, nowMs, isolated};
    for (const std::uint64_t prefix : request.m_query.m_prefixes) {
        rememberPrefix(m_prefixes, prefix, index);
    }
    updateAvailability(index, nowMs);
    Action action;
    action.m_requestId = request.m_id;
    action.m_upstream = state.m_info;
    action.m_isolated = isolated;
    actions.push_back(std::move(action));
}

bool Scheduler::tryDispatch(Pool &pool, const WorkRequest &request, std::int64_t nowMs, Actions &actions)
{
    RouteContext context;
    context.m_upstreams = &m_upstreams;
    context.m_available = &pool.m_available;
    context.m_prefixes = &m_prefixes;
    context.m_random = &m_random;
    context.m_roundRobinPosition = &pool.m_roundRobinPosition;
    const bool overShare = exceedsShare(pool, request);
    // A listed upstream may have become unavailable by the passage of time alone. Each failed try removes one, so the loop ends.
    for (std::uint32_t index = m_route.m_choose(context, request.m_query); index != NoUpstreamIndex; index = m_route.m_choose(context, request.m_query)) {
        const bool room = !overShare || relativeLoad(m_upstreams[index]) <= 1.0 - m_settings.m_reserveFraction;
        if (!room) {
            return false;
        }
        if (canDispatchTo(m_upstreams[index], nowMs)) {
            start(pool, index, request, false, nowMs, actions);
            return true;
        }
        updateAvailability(index, nowMs);
    }
    return false;
}

const std::string &Scheduler::flowKey(const WorkRequest &request) const
{
    static const std::string shared = SharedFlow;
    return m_admission.m_fair ? request.m_workspace : shared;
}

void Scheduler::enqueue(Pool &pool, const WorkRequest &request, std::int64_t nowMs, Actions &actions)
{
    const WorkspacePlan *workspace = findWorkspace(m_table->m_plan, request.m_workspace);
    AdmissionQuery query;
    query.m_nowMs = nowMs;
    query.m_deadlineMs = request.m_deadlineMs;
    query.m_running = pool.m_running;
    query.m_slots = slotCount(pool);
    query.m_serviceMs = pool.m_serviceMs;
    query.m_waitingInPool = pool.m_queue.size();
    query.m_waitingInWorkspace = pool.m_queue.waiting(flowKey(request));
    query.m_maxQueued = workspace == nullptr ? 1 : static_cast<std::size_t>(workspace->m_maxQueued);
    const int weight = requestWeight(request);
    const int others = pool.m_queue.activeWeight() - (query.m_waitingInWorkspace > 0 ? weight : 0);
    query.m_share = static_cast<double>(weight) / std::max(1, weight + others);
    const AdmissionDecision decision = m_admission.m_admit(query);
    if (!decision.m_admitted && !request.m_resumed) {
        refuse(request, decision.m_deadlineUnreachable ? ErrorCode::DeadlineUnreachable : ErrorCode::Overloaded, decision.m_waitMs, actions);
        return;
    }
    ++m_counters.m_queued;
    m_waiting[request.m_id] = request;
    const bool first = request.m_attempt > 0;
    pool.m_queue.push(QueuedRequest{request.m_id, flowKey(request), nowMs, request.m_deadlineMs, 1.0}, weight, first);
}

void Scheduler::addRequest(const WorkRequest &request, std::int64_t nowMs, Actions &actions)
{
    if (request.m_attempt == 0) {
        m_retryBudget.earn(request.m_workspace);
    }
    if (refuseOnArrival(request, nowMs, actions)) {
        return;
    }
    Pool &pool = *findOrCreatePool(request.m_pool);
    if (m_settings.m_isolateSuspects && m_crashTracker.suspicionOf(request.m_fingerprint, nowMs) == CrashSuspicion::Suspect) {
        m_waiting[request.m_id] = request;
        pool.m_suspects.push_back(request.m_id);
        runSuspects(pool, nowMs, actions);
        return;
    }
    // A new request must not overtake waiting ones.
    if (pool.m_queue.size() == 0 && tryDispatch(pool, request, nowMs, actions)) {
        return;
    }
    enqueue(pool, request, nowMs, actions);
    dispatchQueued(pool, nowMs, actions);
}

void Scheduler::retry(const WorkRequest &request, std::int64_t nowMs, Actions &actions)
{
    const bool allowed = request.m_attempt < MaxAttempts && m_retryBudget.spend(request.m_workspace);
    if (!allowed) {
        ++m_counters.m_retriesDenied;
        refuse(request, ErrorCode::NoUpstream, MinRetryAfterMs, actions);
        return;
    }
    ++m_counters.m_retried;
    addRequest(request, nowMs, actions);
}

void Scheduler::finish(std::uint64_t requestId, AttemptEnd end, std::int64_t nowMs, Actions &actions)
{
    const auto it = m_running.find(requestId);
    if (it == m_running.end()) {
        return;
    }
    const RunningRequest running = std::move(it->second);
    m_running.erase(it);
    UpstreamState &state = m_upstreams[running.m_upstream];
    Pool &pool = m_pools[state.m_info->m_pool];
    --state.m_running;
    --pool.m_running;
    if (--pool.m_runningByFlow[flowKey(running.m_request)] == 0) {
        pool.m_runningByFlow.erase(flowKey(running.m_request));
    }
    updateCrashRecords(running, end, nowMs);
    if (end == AttemptEnd::Finished) {
        const double elapsed = static_cast<double>(nowMs - running.m_startedMs);
        pool.m_serviceMs += ServiceTimeGain * (elapsed - pool.m_serviceMs);
        state.m_limit = std::min(static_cast<double>(state.m_info->m_limit), state.m_limit + 1.0 / std::max(1.0, state.m_limit));
    } else if (end == AttemptEnd::Refused) {
        state.m_limit = std::max(1.0, state.m_limit * LimitDecrease);
    } else if (end == AttemptEnd::UpstreamLost || end == AttemptEnd::Unreachable) {
        state.m_doubtUntilMs = nowMs + DoubtMs;
        state.m_reportGeneration = std::max(state.m_reportGeneration, state.m_info->m_generation);
    }
    updateAvailability(running.m_upstream, nowMs);
    runSuspects(pool, nowMs, actions);
    dispatchQueued(pool, nowMs, actions);
}

void Scheduler::cancelWaiting(std::uint64_t requestId)
{
    const auto it = m_waiting.find(requestId);
    if (it == m_waiting.end()) {
        return;
    }
    Pool &pool = m_pools[it->second.m_pool];
    pool.m_queue.remove(flowKey(it->second), requestId);
    const auto suspect = std::find(pool.m_suspects.begin(), pool.m_suspects.end(), requestId);
    if (suspect != pool.m_suspects.end()) {
        pool.m_suspects.erase(suspect);
    }
    m_waiting.erase(it);
}

void Scheduler::report(const UpstreamReport &report, std::int64_t nowMs, Actions &actions)
{
    const auto it = m_indexById.find(report.m_upstream);
    if (it == m_indexById.end() || report.m_generation < m_upstreams[it->second].m_info->m_generation) {
        return;
    }
    UpstreamState &state = m_upstreams[it->second];
    state.m_reportGeneration = std::max(state.m_reportGeneration, report.m_generation);
    switch (report.m_kind) {
    case ReportKind::Doubt:
        state.m_doubtUntilMs = std::max(state.m_doubtUntilMs, nowMs + DoubtMs);
        break;
    case ReportKind::Cold:
        // Recorded even while the table says cold: the next table may say warm and still be older than this report.
        state.m_coldUntilMs = std::max(state.m_coldUntilMs, nowMs + ColdReportLifeMs);
        break;
    case ReportKind::Leaving:
        state.m_leaving = true;
        break;
    case ReportKind::Recovered:
        if (isReportedCold(state, nowMs)) {
            startRamp(state, nowMs);
        }
        state.m_doubtUntilMs = -1;
        state.m_coldUntilMs = -1;
        state.m_leaving = false;
        break;
    case ReportKind::SetApart:
        state.m_isolatedUntilMs = std::max(state.m_isolatedUntilMs, nowMs + IsolationMs);
        break;
    }
    updateAvailability(it->second, nowMs);
    dispatchQueued(m_pools[state.m_info->m_pool], nowMs, actions);
}

void Scheduler::reportLoad(const std::string &upstream, int running, std::int64_t nowMs)
{
    const auto it = m_indexById.find(upstream);
    if (it == m_indexById.end()) {
        return;
    }
    UpstreamState &state = m_upstreams[it->second];
    state.m_othersRunning = std::max(0, running - state.m_running);
    state.m_reportedAtMs = nowMs;
    updateAvailability(it->second, nowMs);
}

void Scheduler::reportPrefix(const std::string &upstream, std::uint64_t prefix, bool cached)
{
    const auto it = m_indexById.find(upstream);
    if (it == m_indexById.end()) {
        return;
    }
    if (cached) {
        rememberPrefix(m_prefixes, prefix, it->second);
        return;
    }
    const auto holder = m_prefixes.m_holders.find(prefix);
    if (holder != m_prefixes.m_holders.end() && holder->second == it->second) {
        holder->second = NoUpstreamIndex;
    }
}

void Scheduler::setAccepting(bool accepting, ErrorCode error)
{
    m_accepting = accepting;
    m_refusalError = error;
}

void Scheduler::setGateways(const std::vector<std::string> &names)
{
    if (names == m_settings.m_gatewayNames) {
        return;
    }
    m_settings.m_gateways = std::max(1, static_cast<int>(names.size()));
    m_settings.m_gatewayNames = names;
    for (UpstreamState &upstream : m_upstreams) {
        if (upstream.m_warmSinceMs >= 0) {
            startRamp(upstream, upstream.m_warmSinceMs);
        }
    }
}

void Scheduler::dispatchQueued(Pool &pool, std::int64_t nowMs, Actions &actions)
{
    bool placed = true;
    while (placed && pool.m_queue.size() > 0 && !pool.m_available.empty()) {
        placed = false;
        // A flow that cannot be dispatched now keeps its place in the order and does not block the flows behind it.
        for (const QueuedRequest &queued : pool.m_queue.peek(MaxFlowsTried)) {
            const WorkRequest request = m_waiting[queued.m_id];
            if (tryDispatch(pool, request, nowMs, actions)) {
                pool.m_queue.popFrom(queued.m_workspace);
                m_waiting.erase(queued.m_id);
                placed = true;
                break;
            }
        }
    }
}

void Scheduler::refuseLate(Pool &pool, std::int64_t nowMs, Actions &actions)
{
    const std::int64_t margin = m_admission.m_refuseLate ? static_cast<std::int64_t>(pool.m_serviceMs) : 0;
    for (const QueuedRequest &late : pool.m_queue.removeLate(nowMs + margin)) {
        const double wait = static_cast<double>(pool.m_queue.size() + 1) * pool.m_serviceMs / std::max(1.0, slotCount(pool));
        refuse(m_waiting[late.m_id], ErrorCode::DeadlineUnreachable, static_cast<std::int64_t>(wait), actions);
        m_waiting.erase(late.m_id);
    }
    for (auto it = pool.m_suspects.begin(); it != pool.m_suspects.end();) {
        const WorkRequest request = m_waiting[*it];
        const bool blocked = m_crashTracker.suspicionOf(request.m_fingerprint, nowMs) == CrashSuspicion::Blocked;
        if (!blocked && request.m_deadlineMs >= nowMs) {
            ++it;
            continue;
        }
        refuse(request, blocked ? ErrorCode::PoisonRequest : ErrorCode::DeadlineUnreachable, IsolationMs, actions);
        m_waiting.erase(*it);
        it = pool.m_suspects.erase(it);
    }
}

void Scheduler::tick(std::int64_t nowMs, Actions &actions)
{
    for (std::pair<const std::string, Pool> &entry : m_pools) {
        entry.second.m_capacity = 0.0;
    }
    for (std::uint32_t index = 0; index < m_upstreams.size(); ++index) {
        UpstreamState &state = m_upstreams[index];
        if (state.m_othersRunning > 0 && nowMs - state.m_reportedAtMs > LoadReportLifeMs) {
            state.m_othersRunning = 0;
        }
        updateAvailability(index, nowMs);
        if (state.m_availableIndex >= 0 || state.m_running > 0) {
            m_pools[state.m_info->m_pool].m_capacity += state.m_info->m_limit;
        }
    }
    for (std::pair<const std::string, Pool> &entry : m_pools) {
        refuseLate(entry.second, nowMs, actions);
        runSuspects(entry.second, nowMs, actions);
        dispatchQueued(entry.second, nowMs, actions);
    }
}

CrashTracker &Scheduler::crashTracker()
{
    return m_crashTracker;
}

const SchedulerCounters &Scheduler::counters() const
{
    return m_counters;
}

const std::vector<UpstreamState> &Scheduler::upstreams() const
{
    return m_upstreams;
}

std::size_t Scheduler::waiting() const
{
    return m_waiting.size();
}

std::vector<std::uint64_t> Scheduler::runningOn(const std::string &upstream) const
{
    std::vector<std::uint64_t> ids;
    for (const std::pair<const std::uint64_t, RunningRequest> &entry : m_running) {
        if (m_upstreams[entry.second.m_upstream].m_info->m_id == upstream) {
            ids.push_back(entry.first);
        }
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

bool Scheduler::mayRelayResponses(const std::string &upstream, std::uint64_t generation, std::int64_t nowMs) const
{
    const auto known = m_table->m_generations.find(upstream);
    const auto it = m_indexById.find(upstream);
    if (known == m_table->m_generations.end() || known->second != generation || it == m_indexById.end()) {
        return false;
    }
    return nowMs >= m_upstreams[it->second].m_doubtUntilMs;
}

bool Scheduler::mayDispatch(const std::string &upstream, std::uint64_t generation, std::int64_t nowMs) const
{
    const auto it = m_indexById.find(upstream);
    if (it == m_indexById.end()) {
        return false;
    }
    const UpstreamState &state = m_upstreams[it->second];
    return acceptsNewWork(state, nowMs) && state.m_info->m_generation == generation && concurrencyLimit(state, nowMs) >= 1.0;
}
}
