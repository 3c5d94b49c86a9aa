// Problem: policies must be compared under the same load and faults, within seconds.
// Approach: simulate gateways with the real scheduler, engines, and delays of tables and reports in virtual time, all from one seed.
// Measurements of real processes depend more on the machine than on the policy.

#include "kernel/hashing.h"
#include "kernel/sharding.h"
#include "tools/loadmodelimpl.h"

#include <algorithm>
#include <cmath>

namespace knapweedslip
{
namespace
{
constexpr double PromptSkew = 1.1;
/** Time after the end of the load in which requests in progress may finish. */
constexpr std::int64_t DrainMs = 60'000;
constexpr std::int64_t PoisonResendDelayMs = 100;
}

LoadModel::Impl::Impl(const LoadModelSettings &settings)
    : m_settings(settings)
    , m_random(settings.m_seed)
{
    for (const ModelUpstream &upstream : settings.m_upstreams) {
        m_engines[upstream.m_id].m_info = upstream;
    }
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(settings.m_gateways));
    for (int i = 0; i < settings.m_gateways; ++i) {
        names.push_back("g" + std::to_string(i));
    }
    for (int i = 0; i < settings.m_gateways; ++i) {
        SchedulerSettings scheduler = settings.m_scheduler;
        scheduler.m_self = "g" + std::to_string(i);
        scheduler.m_gateways = settings.m_gateways;
        scheduler.m_gatewayNames = names;
        scheduler.m_seed = settings.m_seed * 1'000 + static_cast<std::uint64_t>(i);
        Result<std::unique_ptr<Scheduler>> created = Scheduler::create(scheduler);
        m_gateways.push_back(Gateway{scheduler.m_self, std::move(valueOf(created)), 0});
    }
    const std::shared_ptr<const RouteTable> table = makeTable();
    for (std::size_t g = 0; g < m_gateways.size(); ++g) {
        applyTable(g, table);
        tick(g);
    }
    sendLoadReports();
    sampleImbalance();
}

double LoadModel::Impl::uniform()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
}

void LoadModel::Impl::addEvent(HistoryKind kind, const std::string &subject, const std::string &place, std::uint64_t number, bool flag)
{
    m_result.m_history.push_back(HistoryEvent{m_time.nowMs(), kind, subject, place, {}, number, flag});
}

std::shared_ptr<const RouteTable> LoadModel::Impl::makeTable() const
{
    std::shared_ptr<RouteTable> table = std::make_shared<RouteTable>();
    table->m_index = m_tableIndex;
    ModelPlan model;
    model.m_name = LoadModelPool;
    table->m_plan.m_models.push_back(model);
    for (const WorkspaceLoad &load : m_settings.m_workspaces) {
        WorkspacePlan workspace;
        workspace.m_name = load.m_name;
        workspace.m_weight = load.m_weight;
        workspace.m_priority = load.m_priority;
        workspace.m_maxQueued = 10'000;
        table->m_plan.m_workspaces.push_back(workspace);
    }
    for (const std::pair<const std::string, Engine> &entry : m_engines) {
        const Engine &engine = entry.second;
        if (engine.m_phase == GroupPhase::Broken) {
            continue;
        }
        table->m_generations[entry.first] = engine.m_generation;
        if (m_zonesOutOfService.count(engine.m_info.m_zone) > 0) {
            continue;
        }
        Upstream upstream;
        upstream.m_id = entry.first;
        upstream.m_pool = LoadModelPool;
        upstream.m_availabilityZone = engine.m_info.m_zone;
        upstream.m_limit = engine.m_info.m_limit;
        upstream.m_coldLimit = engine.m_info.m_coldLimit;
        upstream.m_phase = engine.m_phase;
        upstream.m_coldHolder = engine.m_holder;
        upstream.m_generation = engine.m_generation;
        table->m_upstreams.push_back(std::make_shared<const Upstream>(std::move(upstream)));
    }
    return table;
}

void LoadModel::Impl::applyTable(std::size_t gateway, const std::shared_ptr<const RouteTable> &table)
{
    // Tables may arrive out of order; a gateway never returns to an older one.
    if (table->m_index < m_gateways[gateway].m_tableIndex) {
        return;
    }
    m_gateways[gateway].m_tableIndex = table->m_index;
    Actions actions;
    m_gateways[gateway].m_scheduler->setTable(table, m_time.nowMs(), actions);
    addEvent(HistoryKind::Adopted, m_gateways[gateway].m_name, {}, table->m_index);
    execute(gateway, actions);
}

void LoadModel::Impl::publish()
{
    if (m_storeDown) {
        m_time.after(LoadModelDetectionDelayMs, [this]() {
            publish();
        });
        return;
    }
    ++m_tableIndex;
    addEvent(HistoryKind::Accepted, {}, {}, m_tableIndex);
    const std::shared_ptr<const RouteTable> table = makeTable();
    for (std::size_t g = 0; g < m_gateways.size(); ++g) {
        const std::int64_t delay = static_cast<std::int64_t>(uniform() * static_cast<double>(m_settings.m_tableDelayMs));
        m_time.after(delay, [this, g, table]() {
            applyTable(g, table);
        });
    }
}

void LoadModel::Impl::tick(std::size_t gateway)
{
    Actions actions;
    Scheduler &scheduler = *m_gateways[gateway].m_scheduler;
    scheduler.tick(m_time.nowMs(), actions);
    execute(gateway, actions);
    for (const UpstreamReport &report : scheduler.isolatedUpstreams()) {
        broadcastReport(gateway, report);
    }
    m_time.after(Scheduler::TickMs, [this, gateway]() {
        tick(gateway);
    });
}

void LoadModel::Impl::broadcastReport(std::size_t from, const UpstreamReport &report)
{
    for (std::size_t g = 0; g < m_gateways.size(); ++g) {
        if (g == from) {
            continue;
        }
        m_time.after(m_settings.m_reportDelayMs, [this, g, report]() {
            Actions actions;
            m_gateways[g].m_scheduler->report(report, m_time.nowMs(), actions);
            execute(g, actions);
        });
    }
}

void LoadModel::Impl::broadcastCrashRecords(std::size_t from)
{
    for (const CrashRecord &record : m_gateways[from].m_scheduler->crashTracker().records(m_time.nowMs())) {
        for (std::size_t g = 0; g < m_gateways.size(); ++g) {
            m_time.after(g == from ? 0 : m_settings.m_reportDelayMs, [this, g, record]() {
                m_gateways[g].m_scheduler->crashTracker().merge(record);
            });
        }
    }
}

void LoadModel::Impl::startLoad(const WorkspaceLoad &load)
{
    const double gapMs = std::exponential_distribution<double>(load.m_requestsPerSecond / 1'000.0)(m_random);
    m_time.after(std::max<std::int64_t>(0, std::llround(gapMs)), [this, load]() {
        if (m_time.nowMs() < m_endMs) {
            startRequest(load);
            startLoad(load);
        }
    });
}

std::uint64_t LoadModel::Impl::drawPrompt(const WorkspaceLoad &load)
{
    if (load.m_prompts == 0) {
        return m_random();
    }
    const double rank = std::pow(static_cast<double>(load.m_prompts), uniform());
    const int prompt = std::min(load.m_prompts - 1, static_cast<int>(std::pow(rank, PromptSkew)) - 1);
    return hash64(load.m_name, static_cast<std::uint64_t>(std::max(0, prompt)));
}

std::vector<std::string> LoadModel::Impl::upstreamsOutsideShard(const std::string &workspace)
{
    if (m_settings.m_shardSize == 0) {
        return {};
    }
    std::vector<std::string> candidates;
    for (const std::pair<const std::string, Engine> &entry : m_engines) {
        const Engine &engine = entry.second;
        const bool removed = !engine.m_up && m_time.nowMs() - engine.m_crashedMs > m_settings.m_removalDelayMs;
        if (!removed) {
            candidates.push_back(entry.first);
        }
    }
    const std::vector<std::string> shard = selectShard(workspace, candidates, m_settings.m_shardSize);
    std::vector<std::string> excluded;
    for (const std::pair<const std::string, Engine> &entry : m_engines) {
        if (std::find(shard.begin(), shard.end(), entry.first) == shard.end()) {
            excluded.push_back(entry.first);
        }
    }
    return excluded;
}

LoadModel::Impl::Request LoadModel::Impl::makeRequest(const std::string &workspace, std::int64_t deadlineMs, std::uint64_t prompt)
{
    Request request;
    request.m_gateway = m_random() % m_gateways.size();
    request.m_arrivalMs = m_time.nowMs();
    request.m_prompt = prompt;
    request.m_work.m_id = ++m_nextId;
    request.m_work.m_workspace = workspace;
    request.m_work.m_pool = LoadModelPool;
    request.m_work.m_deadlineMs = m_time.nowMs() + deadlineMs;
    request.m_work.m_fingerprint = hash64(workspace, m_nextId);
    request.m_work.m_query.m_workspace = workspace;
    request.m_work.m_query.m_prefixes = {prompt};
    request.m_work.m_query.m_excluded = upstreamsOutsideShard(workspace);
    return request;
}

void LoadModel::Impl::startRequest(const WorkspaceLoad &load)
{
    ++m_result.m_workspaces[load.m_name].m_offered;
    submit(makeRequest(load.m_name, load.m_deadlineMs, drawPrompt(load)));
}

void LoadModel::Impl::submit(const Request &request)
{
    m_requests[request.m_work.m_id] = request;
    Actions actions;
    m_gateways[request.m_gateway].m_scheduler->addRequest(request.m_work, m_time.nowMs(), actions);
    execute(request.m_gateway, actions);
}

void LoadModel::Impl::execute(std::size_t gateway, const Actions &actions)
{
    for (const Action &action : actions) {
        if (action.m_kind == ActionKind::Dispatch) {
            dispatch(gateway, action);
        } else {
            refuse(action);
        }
    }
}

void LoadModel::Impl::refuse(const Action &action)
{
    const auto it = m_requests.find(action.m_requestId);
    if (it == m_requests.end()) {
        return;
    }
    const Request request = it->second;
    m_requests.erase(it);
    if (request.m_poison) {
        resendPoison(request);
        return;
    }
    WorkspaceResult &result = m_result.m_workspaces[request.m_work.m_workspace];
    ++(request.m_completedFraction > 0.0 ? result.m_broken : result.m_refused);
}

void LoadModel::Impl::fail(std::uint64_t id, AttemptEnd end)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end()) {
        return;
    }
    Request request = it->second;
    m_requests.erase(it);
    Scheduler &scheduler = *m_gateways[request.m_gateway].m_scheduler;
    Actions actions;
    scheduler.finish(id, end, m_time.nowMs(), actions);
    execute(request.m_gateway, actions);
    if (end == AttemptEnd::UpstreamLost) {
        broadcastCrashRecords(request.m_gateway);
    }
    if (m_time.nowMs() >= request.m_work.m_deadlineMs) {
        ++m_result.m_workspaces[request.m_work.m_workspace].m_late;
        return;
    }
    request.m_work.m_id = ++m_nextId;
    ++request.m_work.m_attempt;
    request.m_work.m_resumed = request.m_completedFraction > 0.0;
    if (!request.m_upstream.empty()) {
        request.m_work.m_query.m_excluded.push_back(request.m_upstream);
    }
    request.m_upstream.clear();
    m_requests[request.m_work.m_id] = request;
    actions.clear();
    scheduler.retry(request.m_work, m_time.nowMs(), actions);
    execute(request.m_gateway, actions);
}

void LoadModel::Impl::resendPoison(const Request &request)
{
    if (request.m_poisonResendsLeft <= 0) {
        return;
    }
    m_time.after(PoisonResendDelayMs, [this, request]() {
        Request resent = makeRequest(request.m_work.m_workspace, 30'000, request.m_prompt);
        resent.m_poison = true;
        resent.m_poisonResendsLeft = request.m_poisonResendsLeft - 1;
        resent.m_work.m_fingerprint = request.m_work.m_fingerprint;
        submit(resent);
    });
}

LoadModel::LoadModel(const LoadModelSettings &settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

LoadModel::~LoadModel() = default;

void LoadModel::at(std::int64_t atMs, std::function<void()> event)
{
    m_impl->m_time.after(atMs - m_impl->m_time.nowMs(), std::move(event));
}

LoadModelResult LoadModel::run(std::int64_t untilMs)
{
    m_impl->m_endMs = untilMs;
    for (const WorkspaceLoad &load : m_impl->m_settings.m_workspaces) {
        m_impl->startLoad(load);
    }
    m_impl->m_time.run(untilMs + DrainMs);
    m_impl->m_result.m_imbalance = m_impl->m_imbalanceSum / std::max(1, m_impl->m_imbalanceSamples);
    m_impl->m_result.m_goodBySecond.resize(static_cast<std::size_t>(untilMs / 1'000));
    return std::move(m_impl->m_result);
}

void LoadModel::setZone(const std::string &zone, bool inService)
{
    if (inService) {
        m_impl->m_zonesOutOfService.erase(zone);
    } else {
        m_impl->m_zonesOutOfService.insert(zone);
    }
    m_impl->addEvent(inService ? HistoryKind::Opened : HistoryKind::Closed, {}, zone);
    m_impl->publish();
}

void LoadModel::setStoreDown(bool down)
{
    m_impl->m_storeDown = down;
}

void LoadModel::crash(const std::string &upstream, const std::string &cause)
{
    m_impl->crashEngine(m_impl->m_engines[upstream], cause);
}

void LoadModel::turnCold(const std::string &upstream)
{
    Impl &impl = *m_impl;
    Impl::Engine &engine = impl.m_engines[upstream];
    engine.m_cold = true;
    impl.addEvent(HistoryKind::Closed, "turned cold", upstream);
    impl.reportCold(upstream, engine.m_generation);
    impl.scheduleWarmUp(upstream, engine.m_generation);
}

void LoadModel::sendPoison(const std::string &workspace, std::uint64_t fingerprint, int times)
{
    Impl::Request request = m_impl->makeRequest(workspace, 30'000, fingerprint);
    request.m_poison = true;
    request.m_poisonResendsLeft = times - 1;
    request.m_work.m_fingerprint = fingerprint;
    m_impl->submit(request);
}
}
