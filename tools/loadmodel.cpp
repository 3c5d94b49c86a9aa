// Problem: policies must be compared under load and faults, with the same seeds, in seconds instead of days.
// Approach: the real scheduler of each gateway, fake engines whose speed depends on how many requests they run and which prompts they
// cache, and fixed delays for the spreading of tables and reports. Everything happens in virtual time from one seed.
// Real processes under load show the machine they run on more than the policy.

#include "tools/loadmodel.h"

#include "kernel/hashing.h"
#include "kernel/sharding.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <set>

namespace knapweedslip
{
namespace
{
constexpr const char *Pool = "model";
constexpr double Skew = 1.1;
constexpr std::int64_t ImbalanceSampleMs = 1'000;
constexpr std::int64_t DrainMs = 60'000;
constexpr std::int64_t ProbeMs = 250;
constexpr std::int64_t CrashRetryMs = 100;
}

struct LoadModel::Impl
{
    struct Engine
    {
        ModelUpstream m_info;
        bool m_up = true;
        bool m_cold = false;
        std::uint64_t m_generation = 1;
        GroupPhase m_phase = GroupPhase::Warm;
        std::string m_holder;
        std::map<std::uint64_t, int> m_running;
        std::deque<std::uint64_t> m_cache;
        std::int64_t m_crashedMs = -1;
    };
    struct Gateway
    {
        std::string m_name;
        std::unique_ptr<Scheduler> m_scheduler;
        std::uint64_t m_tableIndex = 0;
    };
    struct Request
    {
        std::size_t m_gateway = 0;
        WorkRequest m_work;
        std::int64_t m_arrivalMs = 0;
        std::uint64_t m_prompt = 0;
        std::string m_upstream;
        std::uint64_t m_attemptKey = 0;
        std::int64_t m_firstTokenMs = -1;
        bool m_poison = false;
        int m_poisonLeft = 0;
        /** Part of the answer given before a failover. */
        double m_done = 0.0;
        std::int64_t m_startedMs = 0;
        std::int64_t m_durationMs = 0;
    };

    LoadModelSettings m_settings;
    VirtualTime m_time;
    std::mt19937_64 m_random;
    std::vector<Gateway> m_gateways;
    std::map<std::string, Engine> m_engines;
    std::set<std::string> m_zonesOut;
    bool m_storeDown = false;
    std::uint64_t m_tableIndex = 1;
    std::unordered_map<std::uint64_t, Request> m_requests;
    std::uint64_t m_nextId = 0;
    std::int64_t m_endMs = 0;
    LoadModelResult m_result;
    double m_imbalanceSum = 0.0;
    int m_imbalanceSamples = 0;

    explicit Impl(const LoadModelSettings &settings)
        : m_settings(settings)
        , m_random(settings.m_seed)
    {
        for (const ModelUpstream &upstream : settings.m_upstreams) {
            m_engines[upstream.m_id].m_info = upstream;
        }
        for (int i = 0; i < settings.m_gateways; ++i) {
            SchedulerSettings scheduler = settings.m_scheduler;
            scheduler.m_self = "g" + std::to_string(i);
            scheduler.m_gateways = settings.m_gateways;
            scheduler.m_seed = settings.m_seed * 1'000 + static_cast<std::uint64_t>(i);
            Result<std::unique_ptr<Scheduler>> made = Scheduler::create(scheduler);
            m_gateways.push_back(Gateway{scheduler.m_self, std::move(valueOf(made)), 0});
        }
        const std::shared_ptr<const RouteTable> table = makeTable();
        for (std::size_t g = 0; g < m_gateways.size(); ++g) {
            applyTable(g, table);
            tick(g);
        }
        loadReports();
        sampleImbalance();
    }

    double uniform()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
    }

    void note(HistoryKind kind, const std::string &subject, const std::string &place, std::uint64_t number = 0, bool flag = false)
    {
        m_result.m_history.push_back(HistoryEvent{m_time.nowMs(), kind, subject, place, {}, number, flag});
    }

    std::shared_ptr<const RouteTable> makeTable() const
    {
        std::shared_ptr<RouteTable> table = std::make_shared<RouteTable>();
        table->m_index = m_tableIndex;
        ModelPlan model;
        model.m_name = Pool;
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
            if (m_zonesOut.count(engine.m_info.m_zone) > 0) {
                continue;
            }
            Upstream upstream;
            upstream.m_id = entry.first;
            upstream.m_pool = Pool;
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

    void applyTable(std::size_t gateway, const std::shared_ptr<const RouteTable> &table)
    {
        // A view never goes back, in whatever order deltas arrive.
        if (table->m_index < m_gateways[gateway].m_tableIndex) {
            return;
        }
        m_gateways[gateway].m_tableIndex = table->m_index;
        Actions actions;
        m_gateways[gateway].m_scheduler->setTable(table, m_time.nowMs(), actions);
        note(HistoryKind::Adopted, m_gateways[gateway].m_name, {}, table->m_index);
        carryOut(gateway, actions);
    }

    /** Writes a new table; it reaches each gateway after a delay of its own. Tries again while the store is down. */
    void publish()
    {
        if (m_storeDown) {
            m_time.after(ProbeMs, [this]() {
                publish();
            });
            return;
        }
        ++m_tableIndex;
        note(HistoryKind::Accepted, {}, {}, m_tableIndex);
        const std::shared_ptr<const RouteTable> table = makeTable();
        for (std::size_t g = 0; g < m_gateways.size(); ++g) {
            const std::int64_t delay = static_cast<std::int64_t>(uniform() * static_cast<double>(m_settings.m_tableDelayMs));
            m_time.after(delay, [this, g, table]() {
                applyTable(g, table);
            });
        }
    }

    void tick(std::size_t gateway)
    {
        Actions actions;
        Scheduler &scheduler = *m_gateways[gateway].m_scheduler;
        scheduler.tick(m_time.nowMs(), actions);
        carryOut(gateway, actions);
        for (const UpstreamReport &report : scheduler.setApart()) {
            spread(gateway, report);
        }
        m_time.after(Scheduler::TickMs, [this, gateway]() {
            tick(gateway);
        });
    }

    /** A report reaches the other gateways later. */
    void spread(std::size_t from, const UpstreamReport &report)
    {
        for (std::size_t g = 0; g < m_gateways.size(); ++g) {
            if (g == from) {
                continue;
            }
            m_time.after(m_settings.m_reportDelayMs, [this, g, report]() {
                Actions actions;
                m_gateways[g].m_scheduler->report(report, m_time.nowMs(), actions);
                carryOut(g, actions);
            });
        }
    }

    void spreadStrikes(std::size_t from)
    {
        for (const StrikeRecord &record : m_gateways[from].m_scheduler->strikes().records(m_time.nowMs())) {
            for (std::size_t g = 0; g < m_gateways.size(); ++g) {
                m_time.after(g == from ? 0 : m_settings.m_reportDelayMs, [this, g, record]() {
                    m_gateways[g].m_scheduler->strikes().merge(record);
                });
            }
        }
    }

    void loadReports()
    {
        for (const std::pair<const std::string, Engine> &entry : m_engines) {
            const int running = static_cast<int>(entry.second.m_running.size());
            for (Gateway &gateway : m_gateways) {
                gateway.m_scheduler->reportLoad(entry.first, running, m_time.nowMs());
            }
        }
        m_time.after(m_settings.m_loadReportMs, [this]() {
            loadReports();
        });
    }

    void sampleImbalance()
    {
        double sum = 0.0;
        double squares = 0.0;
        double count = 0.0;
        for (const std::pair<const std::string, Engine> &entry : m_engines) {
            if (entry.second.m_up && m_zonesOut.count(entry.second.m_info.m_zone) == 0) {
                const double load = static_cast<double>(entry.second.m_running.size());
                sum += load;
                squares += load * load;
                count += 1.0;
            }
        }
        if (count > 0.0 && sum > 0.0) {
            const double mean = sum / count;
            m_imbalanceSum += std::sqrt(std::max(0.0, squares / count - mean * mean)) / mean;
            ++m_imbalanceSamples;
        }
        m_time.after(ImbalanceSampleMs, [this]() {
            sampleImbalance();
        });
    }

    void startLoad(const WorkspaceLoad &load)
    {
        const double gapMs = std::exponential_distribution<double>(load.m_requestsPerSecond / 1'000.0)(m_random);
        m_time.after(std::max<std::int64_t>(0, std::llround(gapMs)), [this, load]() {
            if (m_time.nowMs() < m_endMs) {
                newRequest(load);
                startLoad(load);
            }
        });
    }

    std::uint64_t drawPrompt(const WorkspaceLoad &load)
    {
        if (load.m_prompts == 0) {
            return m_random();
        }
        const double rank = std::pow(static_cast<double>(load.m_prompts), uniform());
        const int prompt = std::min(load.m_prompts - 1, static_cast<int>(std::pow(rank, Skew)) - 1);
        return hash64(load.m_name, static_cast<std::uint64_t>(std::max(0, prompt)));
    }

    std::vector<std::string> excludedByShard(const std::string &workspace)
    {
        if (m_settings.m_shardSize == 0) {
            return {};
        }
        std::vector<std::string> candidates;
        for (const std::pair<const std::string, Engine> &entry : m_engines) {
            const Engine &engine = entry.second;
            const bool forgotten = !engine.m_up && m_time.nowMs() - engine.m_crashedMs > m_settings.m_forgetDelayMs;
            if (!forgotten) {
                candidates.push_back(entry.first);
            }
        }
        const std::vector<std::string> shard = shardOf(workspace, candidates, m_settings.m_shardSize);
        std::vector<std::string> excluded;
        for (const std::pair<const std::string, Engine> &entry : m_engines) {
            if (std::find(shard.begin(), shard.end(), entry.first) == shard.end()) {
                excluded.push_back(entry.first);
            }
        }
        return excluded;
    }

    Request makeRequest(const std::string &workspace, std::int64_t deadlineMs, std::uint64_t prompt)
    {
        Request request;
        request.m_gateway = m_random() % m_gateways.size();
        request.m_arrivalMs = m_time.nowMs();
        request.m_prompt = prompt;
        request.m_work.m_id = ++m_nextId;
        request.m_work.m_workspace = workspace;
        request.m_work.m_pool = Pool;
        request.m_work.m_deadlineMs = m_time.nowMs() + deadlineMs;
        request.m_work.m_fingerprint = hash64(workspace, m_nextId);
        request.m_work.m_query.m_workspace = workspace;
        request.m_work.m_query.m_prefixes = {prompt};
        request.m_work.m_query.m_excluded = excludedByShard(workspace);
        return request;
    }

    void newRequest(const WorkspaceLoad &load)
    {
        ++m_result.m_workspaces[load.m_name].m_offered;
        submit(makeRequest(load.m_name, load.m_deadlineMs, drawPrompt(load)));
    }

    void submit(const Request &request)
    {
        m_requests[request.m_work.m_id] = request;
        Actions actions;
        m_gateways[request.m_gateway].m_scheduler->arrive(request.m_work, m_time.nowMs(), actions);
        carryOut(request.m_gateway, actions);
    }

    void carryOut(std::size_t gateway, const Actions &actions)
    {
        for (const Action &action : actions) {
            if (action.m_kind == ActionKind::Dispatch) {
                dispatch(gateway, action);
            } else {
                refuse(action);
            }
        }
    }

    void refuse(const Action &action)
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
        ++(request.m_done > 0.0 ? result.m_broken : result.m_refused);
    }

    void dispatch(std::size_t gateway, const Action &action)
    {
        Request &request = m_requests[action.m_requestId];
        Engine &engine = m_engines[action.m_upstream->m_id];
        note(HistoryKind::Dispatched, m_gateways[gateway].m_name, engine.m_info.m_zone, action.m_upstream->m_generation);
        const bool connects = engine.m_up && engine.m_generation == action.m_upstream->m_generation;
        if (!connects) {
            m_time.after(1, [this, id = action.m_requestId]() {
                fail(id, AttemptEnd::Unreachable);
            });
            return;
        }
        request.m_upstream = action.m_upstream->m_id;
        request.m_startedMs = m_time.nowMs();
        engine.m_running[action.m_requestId] = 1;
        note(HistoryKind::Run, std::to_string(action.m_requestId), engine.m_info.m_id, engine.m_running.size(), engine.m_cold);
        if (engine.m_cold && static_cast<int>(engine.m_running.size()) > engine.m_info.m_coldLimit) {
            ++m_result.m_coldOverloads;
            crashEngine(engine, "cold overload");
            return;
        }
        if (request.m_poison) {
            crashEngine(engine, "poison");
            return;
        }
        // The header of an engine's answer says how many requests it runs.
        m_gateways[gateway].m_scheduler->reportLoad(engine.m_info.m_id, static_cast<int>(engine.m_running.size()), m_time.nowMs());
        schedule(action.m_requestId, request, engine);
    }

    void schedule(std::uint64_t id, Request &request, Engine &engine)
    {
        const auto cached = std::find(engine.m_cache.begin(), engine.m_cache.end(), request.m_prompt);
        const bool hit = cached != engine.m_cache.end();
        ++m_result.m_cacheLooks;
        m_result.m_cacheHits += hit ? 1 : 0;
        remember(engine, request.m_prompt, hit);
        const double crowd = std::max(1.0, static_cast<double>(engine.m_running.size()) / engine.m_info.m_limit);
        const double slow = engine.m_cold ? 3.0 : 1.0;
        const double first = static_cast<double>(hit ? m_settings.m_cachedFirstTokenMs : m_settings.m_firstTokenMs) * crowd * slow;
        const double tokens = std::exponential_distribution<double>(1.0 / m_settings.m_meanTokens)(m_random) + 1.0;
        const double rest = tokens * static_cast<double>(m_settings.m_tokenMs) * crowd * slow * (1.0 - request.m_done);
        request.m_durationMs = static_cast<std::int64_t>(first + rest);
        if (request.m_firstTokenMs < 0) {
            request.m_firstTokenMs = m_time.nowMs() + static_cast<std::int64_t>(first) - request.m_arrivalMs;
        }
        const std::uint64_t key = ++request.m_attemptKey;
        m_time.after(request.m_durationMs, [this, id, key]() {
            finish(id, key);
        });
    }

    void remember(Engine &engine, std::uint64_t prompt, bool hit)
    {
        if (hit) {
            return;
        }
        engine.m_cache.push_back(prompt);
        cacheEvent(engine.m_info.m_id, prompt, true);
        if (engine.m_cache.size() > m_settings.m_cacheEntries) {
            cacheEvent(engine.m_info.m_id, engine.m_cache.front(), false);
            engine.m_cache.pop_front();
        }
    }

    void cacheEvent(const std::string &upstream, std::uint64_t prompt, bool cached)
    {
        if (uniform() < m_settings.m_cacheEventLoss) {
            return;
        }
        m_time.after(m_settings.m_cacheEventDelayMs, [this, upstream, prompt, cached]() {
            for (Gateway &gateway : m_gateways) {
                gateway.m_scheduler->reportPrefix(upstream, prompt, cached);
            }
        });
    }

    void finish(std::uint64_t id, std::uint64_t key)
    {
        const auto it = m_requests.find(id);
        if (it == m_requests.end() || it->second.m_attemptKey != key || it->second.m_upstream.empty()) {
            return;
        }
        const Request request = it->second;
        m_requests.erase(it);
        m_engines[request.m_upstream].m_running.erase(id);
        WorkspaceResult &result = m_result.m_workspaces[request.m_work.m_workspace];
        const bool good = m_time.nowMs() <= request.m_work.m_deadlineMs;
        ++(good ? result.m_good : result.m_late);
        if (good) {
            const std::size_t second = static_cast<std::size_t>(m_time.nowMs() / 1'000);
            m_result.m_goodBySecond.resize(std::max(m_result.m_goodBySecond.size(), second + 1));
            ++m_result.m_goodBySecond[second];
        }
        result.m_firstTokenMs.push_back(static_cast<double>(request.m_firstTokenMs));
        Actions actions;
        m_gateways[request.m_gateway].m_scheduler->finish(id, AttemptEnd::Finished, m_time.nowMs(), actions);
        carryOut(request.m_gateway, actions);
    }

    /** An attempt failed: frees the slot, tells the peers and tries again. */
    void fail(std::uint64_t id, AttemptEnd end)
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
        carryOut(request.m_gateway, actions);
        if (end == AttemptEnd::UpstreamLost) {
            spreadStrikes(request.m_gateway);
        }
        if (m_time.nowMs() >= request.m_work.m_deadlineMs) {
            ++m_result.m_workspaces[request.m_work.m_workspace].m_late;
            return;
        }
        request.m_work.m_id = ++m_nextId;
        ++request.m_work.m_attempt;
        request.m_work.m_resumed = request.m_done > 0.0;
        if (!request.m_upstream.empty()) {
            request.m_work.m_query.m_excluded.push_back(request.m_upstream);
        }
        request.m_upstream.clear();
        m_requests[request.m_work.m_id] = request;
        actions.clear();
        scheduler.retry(request.m_work, m_time.nowMs(), actions);
        carryOut(request.m_gateway, actions);
    }

    void crashEngine(Engine &engine, const std::string &cause)
    {
        if (!engine.m_up) {
            return;
        }
        ++m_result.m_crashes;
        note(HistoryKind::VmLost, cause, engine.m_info.m_id, engine.m_generation);
        engine.m_up = false;
        engine.m_crashedMs = m_time.nowMs();
        engine.m_cache.clear();
        const std::map<std::uint64_t, int> running = std::move(engine.m_running);
        engine.m_running.clear();
        for (const std::pair<const std::uint64_t, int> &entry : running) {
            Request &request = m_requests[entry.first];
            if (request.m_durationMs > 0) {
                const double part = static_cast<double>(m_time.nowMs() - request.m_startedMs) / static_cast<double>(request.m_durationMs);
                request.m_done = std::min(0.99, request.m_done + (1.0 - request.m_done) * part);
            }
            ++request.m_attemptKey;
            m_time.after(1, [this, id = entry.first]() {
                fail(id, AttemptEnd::UpstreamLost);
            });
        }
        const UpstreamReport report{engine.m_info.m_id, engine.m_generation, ReportKind::Doubt};
        m_time.after(ProbeMs, [this, report]() {
            spread(m_gateways.size(), report);
        });
        const std::string id = engine.m_info.m_id;
        m_time.after(ProbeMs, [this, id]() {
            m_engines[id].m_phase = GroupPhase::Broken;
            publish();
        });
        m_time.after(m_settings.m_restartMs, [this, id]() {
            restart(id);
        });
    }

    void restart(const std::string &id)
    {
        Engine &engine = m_engines[id];
        engine.m_up = true;
        engine.m_cold = true;
        ++engine.m_generation;
        engine.m_phase = GroupPhase::Cold;
        engine.m_holder = m_gateways[hash64(id, engine.m_generation) % m_gateways.size()].m_name;
        publish();
        warmLater(id, engine.m_generation);
    }

    /** Probes see that an engine is cold and say so as long as it is. */
    void tellCold(const std::string &id, std::uint64_t generation)
    {
        m_time.after(ProbeMs, [this, id, generation]() {
            const Engine &engine = m_engines[id];
            if (engine.m_up && engine.m_cold && engine.m_generation == generation) {
                spread(m_gateways.size(), UpstreamReport{id, generation, ReportKind::Cold});
                tellCold(id, generation);
            }
        });
    }

    void warmLater(const std::string &id, std::uint64_t generation)
    {
        m_time.after(m_settings.m_coldMs, [this, id, generation]() {
            Engine &engine = m_engines[id];
            if (engine.m_up && engine.m_generation == generation) {
                engine.m_cold = false;
                engine.m_phase = GroupPhase::Warm;
                engine.m_holder.clear();
                publish();
                spread(m_gateways.size(), UpstreamReport{id, generation, ReportKind::Recovered});
            }
        });
    }

    void resendPoison(const Request &request)
    {
        if (request.m_poisonLeft <= 0) {
            return;
        }
        m_time.after(CrashRetryMs, [this, request]() {
            Request again = makeRequest(request.m_work.m_workspace, 30'000, request.m_prompt);
            again.m_poison = true;
            again.m_poisonLeft = request.m_poisonLeft - 1;
            again.m_work.m_fingerprint = request.m_work.m_fingerprint;
            submit(again);
        });
    }
};

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
        m_impl->m_zonesOut.erase(zone);
    } else {
        m_impl->m_zonesOut.insert(zone);
    }
    m_impl->note(inService ? HistoryKind::Opened : HistoryKind::Closed, {}, zone);
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
    impl.note(HistoryKind::Closed, "turned cold", upstream);
    impl.tellCold(upstream, engine.m_generation);
    impl.warmLater(upstream, engine.m_generation);
}

void LoadModel::sendPoison(const std::string &workspace, std::uint64_t fingerprint, int times)
{
    Impl::Request request = m_impl->makeRequest(workspace, 30'000, fingerprint);
    request.m_poison = true;
    request.m_poisonLeft = times - 1;
    request.m_work.m_fingerprint = fingerprint;
    m_impl->submit(request);
}
}
