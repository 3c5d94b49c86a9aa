#pragma once

#include "tools/loadmodel.h"

#include <deque>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

namespace knapweedslip
{
/** Name of the only pool of the load model. */
inline constexpr const char *LoadModelPool = "model";
/** Time until probes have seen what happened to an engine. */
inline constexpr std::int64_t LoadModelProbeMs = 250;

/** State of the load model: gateways with the real scheduler (loadmodel.cpp) and fake engines (loadmodelengines.cpp). */
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

    explicit Impl(const LoadModelSettings &settings);
    double uniform();
    void note(HistoryKind kind, const std::string &subject, const std::string &place, std::uint64_t number = 0, bool flag = false);
    std::shared_ptr<const RouteTable> makeTable() const;
    void applyTable(std::size_t gateway, const std::shared_ptr<const RouteTable> &table);
    /** Writes a new table; it reaches each gateway after a delay of its own. Tries again while the store is down. */
    void publish();
    void tick(std::size_t gateway);
    /** A report reaches the other gateways later. */
    void spread(std::size_t from, const UpstreamReport &report);
    void spreadStrikes(std::size_t from);
    void loadReports();
    void sampleImbalance();
    void startLoad(const WorkspaceLoad &load);
    std::uint64_t drawPrompt(const WorkspaceLoad &load);
    std::vector<std::string> excludedByShard(const std::string &workspace);
    Request makeRequest(const std::string &workspace, std::int64_t deadlineMs, std::uint64_t prompt);
    void newRequest(const WorkspaceLoad &load);
    void submit(const Request &request);
    void carryOut(std::size_t gateway, const Actions &actions);
    void refuse(const Action &action);
    void dispatch(std::size_t gateway, const Action &action);
    void schedule(std::uint64_t id, Request &request, Engine &engine);
    void remember(Engine &engine, std::uint64_t prompt, bool hit);
    void cacheEvent(const std::string &upstream, std::uint64_t prompt, bool cached);
    void finish(std::uint64_t id, std::uint64_t key);
    /** An attempt failed: frees the slot, tells the peers and tries again. */
    void fail(std::uint64_t id, AttemptEnd end);
    void crashEngine(Engine &engine, const std::string &cause);
    void restart(const std::string &id);
    /** Probes see that an engine is cold and say so as long as it is. */
    void tellCold(const std::string &id, std::uint64_t generation);
    void warmLater(const std::string &id, std::uint64_t generation);
    void resendPoison(const Request &request);
};
}
