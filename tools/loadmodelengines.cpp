// Problem: the load model needs engines that slow down with load, cache prompts, crash, start cold and turn cold.
// Approach: draw the duration of each response when it starts. A crash fails the running requests and restarts the engine cold.
// Simulating every token would need a hundred times as many events for the same comparison.

#include "kernel/hashing.h"
#include "tools/loadmodelimpl.h"

#include <algorithm>
#include <cmath>

namespace knapweedslip
{
namespace
{
constexpr std::int64_t ImbalanceSampleMs = 1'000;
}

void LoadModel::Impl::sendLoadReports()
{
    for (const std::pair<const std::string, Engine> &entry : m_engines) {
        const int running = static_cast<int>(entry.second.m_running.size());
        for (Gateway &gateway : m_gateways) {
            gateway.m_scheduler->reportLoad(entry.first, running, m_time.nowMs());
        }
    }
    m_time.after(m_settings.m_loadReportIntervalMs, [this]() {
        sendLoadReports();
    });
}

void LoadModel::Impl::sampleImbalance()
{
    double sum = 0.0;
    double squares = 0.0;
    double count = 0.0;
    for (const std::pair<const std::string, Engine> &entry : m_engines) {
        if (entry.second.m_up && m_zonesOutOfService.count(entry.second.m_info.m_zone) == 0) {
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

void LoadModel::Impl::dispatch(std::size_t gateway, const Action &action)
{
    Request &request = m_requests[action.m_requestId];
    Engine &engine = m_engines[action.m_upstream->m_id];
    addEvent(HistoryKind::Dispatched, m_gateways[gateway].m_name, engine.m_info.m_zone, action.m_upstream->m_generation);
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
    addEvent(HistoryKind::Run, std::to_string(action.m_requestId), engine.m_info.m_id, engine.m_running.size(), engine.m_cold);
    if (engine.m_cold && static_cast<int>(engine.m_running.size()) > engine.m_info.m_coldLimit) {
        ++m_result.m_coldOverloads;
        crashEngine(engine, "cold overload");
        return;
    }
    if (request.m_poison) {
        crashEngine(engine, "poison");
        return;
    }
    // The headers of an engine's response state how many requests it runs.
    m_gateways[gateway].m_scheduler->reportLoad(engine.m_info.m_id, static_cast<int>(engine.m_running.size()), m_time.nowMs());
    scheduleCompletion(action.m_requestId, request, engine);
}

void LoadModel::Impl::scheduleCompletion(std::uint64_t id, Request &request, Engine &engine)
{
    const auto cached = std::find(engine.m_cache.begin(), engine.m_cache.end(), request.m_prompt);
    const bool hit = cached != engine.m_cache.end();
    ++m_result.m_cacheLookups;
    m_result.m_cacheHits += hit ? 1 : 0;
    updateCache(engine, request.m_prompt, hit);
    const double loadFactor = std::max(1.0, static_cast<double>(engine.m_running.size()) / engine.m_info.m_limit);
    const double coldFactor = engine.m_cold ? 3.0 : 1.0;
    const double first = static_cast<double>(hit ? m_settings.m_cachedFirstTokenMs : m_settings.m_firstTokenMs) * loadFactor * coldFactor;
    const double tokens = std::exponential_distribution<double>(1.0 / m_settings.m_meanTokens)(m_random) + 1.0;
    const double remainingMs = tokens * static_cast<double>(m_settings.m_tokenMs) * loadFactor * coldFactor * (1.0 - request.m_completedFraction);
    request.m_durationMs = static_cast<std::int64_t>(first + remainingMs);
    if (request.m_firstTokenMs < 0) {
        request.m_firstTokenMs = m_time.nowMs() + static_cast<std::int64_t>(first) - request.m_arrivalMs;
    }
    const std::uint64_t attemptNumber = ++request.m_attemptNumber;
    m_time.after(request.m_durationMs, [this, id, attemptNumber]() {
        finish(id, attemptNumber);
    });
}

void LoadModel::Impl::updateCache(Engine &engine, std::uint64_t prompt, bool hit)
{
    if (hit) {
        return;
    }
    engine.m_cache.push_back(prompt);
    sendCacheEvent(engine.m_info.m_id, prompt, true);
    if (engine.m_cache.size() > m_settings.m_cacheEntries) {
        sendCacheEvent(engine.m_info.m_id, engine.m_cache.front(), false);
        engine.m_cache.pop_front();
    }
}

void LoadModel::Impl::sendCacheEvent(const std::string &upstream, std::uint64_t prompt, bool cached)
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

void LoadModel::Impl::finish(std::uint64_t id, std::uint64_t attemptNumber)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end() || it->second.m_attemptNumber != attemptNumber || it->second.m_upstream.empty()) {
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
    execute(request.m_gateway, actions);
}

void LoadModel::Impl::crashEngine(Engine &engine, const std::string &cause)
{
    if (!engine.m_up) {
        return;
    }
    ++m_result.m_crashes;
    addEvent(HistoryKind::VmLost, cause, engine.m_info.m_id, engine.m_generation);
    engine.m_up = false;
    engine.m_crashedMs = m_time.nowMs();
    engine.m_cache.clear();
    const std::map<std::uint64_t, int> running = std::move(engine.m_running);
    engine.m_running.clear();
    for (const std::pair<const std::uint64_t, int> &entry : running) {
        Request &request = m_requests[entry.first];
        if (request.m_durationMs > 0) {
            const double fraction = static_cast<double>(m_time.nowMs() - request.m_startedMs) / static_cast<double>(request.m_durationMs);
            request.m_completedFraction = std::min(0.99, request.m_completedFraction + (1.0 - request.m_completedFraction) * fraction);
        }
        ++request.m_attemptNumber;
        m_time.after(1, [this, id = entry.first]() {
            fail(id, AttemptEnd::UpstreamLost);
        });
    }
    const UpstreamReport report{engine.m_info.m_id, engine.m_generation, ReportKind::Doubt};
    m_time.after(LoadModelDetectionDelayMs, [this, report]() {
        broadcastReport(m_gateways.size(), report);
    });
    const std::string id = engine.m_info.m_id;
    m_time.after(LoadModelDetectionDelayMs, [this, id]() {
        m_engines[id].m_phase = GroupPhase::Broken;
        publish();
    });
    m_time.after(m_settings.m_restartMs, [this, id]() {
        restart(id);
    });
}

void LoadModel::Impl::restart(const std::string &id)
{
    Engine &engine = m_engines[id];
    engine.m_up = true;
    engine.m_cold = true;
    ++engine.m_generation;
    engine.m_phase = GroupPhase::Cold;
    engine.m_holder = m_gateways[hash64(id, engine.m_generation) % m_gateways.size()].m_name;
    publish();
    scheduleWarmUp(id, engine.m_generation);
}

void LoadModel::Impl::reportCold(const std::string &id, std::uint64_t generation)
{
    m_time.after(LoadModelDetectionDelayMs, [this, id, generation]() {
        const Engine &engine = m_engines[id];
        if (engine.m_up && engine.m_cold && engine.m_generation == generation) {
            broadcastReport(m_gateways.size(), UpstreamReport{id, generation, ReportKind::Cold});
            reportCold(id, generation);
        }
    });
}

void LoadModel::Impl::scheduleWarmUp(const std::string &id, std::uint64_t generation)
{
    m_time.after(m_settings.m_coldMs, [this, id, generation]() {
        Engine &engine = m_engines[id];
        if (engine.m_up && engine.m_generation == generation) {
            engine.m_cold = false;
            engine.m_phase = GroupPhase::Warm;
            engine.m_holder.clear();
            publish();
            broadcastReport(m_gateways.size(), UpstreamReport{id, generation, ReportKind::Recovered});
        }
    });
}
}
