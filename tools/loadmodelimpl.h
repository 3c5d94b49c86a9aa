#pragma once

#include "tools/loadmodel.h"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

namespace knapweedslip
{
/** Name of the load model's only pool. */
inline constexpr const char *LoadModelPool = "model";
/** Time in ms until probes detect a change of an engine. */
inline constexpr std::int64_t LoadModelDetectionDelayMs = 250;

/** State of the load model: gateways with the real scheduler (loadmodel.cpp) and simulated engines (loadmodelengines.cpp). */
struct LoadModel::Impl
{
    struct Engine
    {
        ModelUpstream m_info;
        bool m_up = true;
        bool m_cold = false;
        std::uint64_t m_generation = 1;
        GroupPhase m_phase = GroupPhase::Warm;
        /** Gateway that may send requests while the engine is cold. */
        std::string m_holder;
        std::map<std::uint64_t, int> m_running;
        /** Cached prompts, oldest first. */
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
        /** Increases with each attempt, so that the end of an earlier attempt is ignored. */
        std::uint64_t m_attemptNumber = 0;
        std::int64_t m_firstTokenMs = -1;
        bool m_poison = false;
        int m_poisonResendsLeft = 0;
        /** Fraction of the response that earlier attempts delivered. */
        double m_completedFraction = 0.0;
        std::int64_t m_startedMs = 0;
        std::int64_t m_durationMs = 0;
    };

    LoadModelSettings m_settings;
    VirtualTime m_time;
    std::mt19937_64 m_random;
    std::vector<Gateway> m_gateways;
    std::map<std::string, Engine> m_engines;
    std::set<std::string> m_zonesOutOfService;
    bool m_storeDown = false;
    std::uint64_t m_tableIndex = 1;
    std::unordered_map<std::uint64_t, Request> m_requests;
    std::uint64_t m_nextId = 0;
    std::int64_t m_endMs = 0;
    LoadModelResult m_result;
    double m_imbalanceSum = 0.0;
    int m_imbalanceSamples = 0;

    explicit Impl(const LoadModelSettings &settings);
    double uniform();
    void addEvent(HistoryKind kind, const std::string &subject, const std::string &place, std::uint64_t number = 0, bool flag = false);
    std::shared_ptr<const RouteTable> makeTable() const;
    void applyTable(std::size_t gateway, const std::shared_ptr<const RouteTable> &table);
    /** Publishes a new table, which reaches each gateway after a random delay. Retries until the store is up. */
    void publish();
    void tick(std::size_t gateway);
    /** Delivers @p report to all gateways except @p from after the report delay. With m_gateways.size() as @p from it reaches all gateways. */
    void broadcastReport(std::size_t from, const UpstreamReport &report);
    void broadcastCrashRecords(std::size_t from);
    void sendLoadReports();
    void sampleImbalance();
    void startLoad(const WorkspaceLoad &load);
    std::uint64_t drawPrompt(const WorkspaceLoad &load);
    std::vector<std::string> upstreamsOutsideShard(const std::string &workspace);
    Request makeRequest(const std::string &workspace, std::int64_t deadlineMs, std::uint64_t prompt);
    void startRequest(const WorkspaceLoad &load);
    void submit(const Request &request);
    void execute(std::size_t gateway, const Actions &actions);
    void refuse(const Action &action);
    void dispatch(std::size_t gateway, const Action &action);
    void scheduleCompletion(std::uint64_t id, Request &request, Engine &engine);
    void updateCache(Engine &engine, std::uint64_t prompt, bool hit);
    void sendCacheEvent(const std::string &upstream, std::uint64_t prompt, bool cached);
    void finish(std::uint64_t id, std::uint64_t attemptNumber);
    /** Handles a failed attempt: frees its slot, shares crash records with the other gateways and retries before the deadline. */
    void fail(std::uint64_t id, AttemptEnd end);
    void crashEngine(Engine &engine, const std::string &cause);
    void restart(const std::string &id);
    /** Reports to all gateways that the engine is cold, and repeats that until it is warm or has a new generation. */
    void reportCold(const std::string &id, std::uint64_t generation);
    void scheduleWarmUp(const std::string &id, std::uint64_t generation);
    void resendPoison(const Request &request);
};
}
