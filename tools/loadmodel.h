#pragma once

#include "kernel/scheduler.h"
#include "tools/historycheck.h"
#include "tools/virtualtime.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace knapweedslip
{
/** Load of one workspace. */
struct WorkspaceLoad
{
    std::string m_name;
    int m_weight = 1;
    int m_priority = 9;
    double m_requestsPerSecond = 1.0;
    std::int64_t m_deadlineMs = 10'000;
    /** Different prompts of the workspace; 0: each is new. Prompts are drawn with a Zipf-like skew. */
    int m_prompts = 0;
};

/** One serving group of the model. */
struct ModelUpstream
{
    std::string m_id;
    std::string m_zone;
    int m_limit = 8;
    int m_coldLimit = 1;
};

/** What the daemons' surroundings do, kept small: fakes of engines and of the spreading of news, no network and no store. */
struct LoadModelSettings
{
    SchedulerSettings m_scheduler;
    int m_gateways = 4;
    std::vector<ModelUpstream> m_upstreams;
    std::vector<WorkspaceLoad> m_workspaces;
    std::int64_t m_firstTokenMs = 200;
    /** First token when the prompt's prefix is cached. */
    std::int64_t m_cachedFirstTokenMs = 60;
    std::int64_t m_tokenMs = 20;
    int m_meanTokens = 40;
    /** Prompts that an upstream's cache holds. */
    std::size_t m_cacheEntries = 64;
    /** Cache events reach gateways this late, and this part of them is lost. */
    std::int64_t m_cacheEventDelayMs = 500;
    double m_cacheEventLoss = 0.2;
    std::int64_t m_restartMs = 2'000;
    std::int64_t m_coldMs = 4'000;
    /** From a change to a new table in force at a gateway. */
    std::int64_t m_tableDelayMs = 400;
    /** From one gateway's report to the others. */
    std::int64_t m_reportDelayMs = 200;
    std::int64_t m_loadReportMs = 250;
    /** Shuffle sharding: upstreams per workspace, 0 for all. */
    std::size_t m_shardSize = 0;
    /** A crashed upstream keeps its place in a shard for this long. */
    std::int64_t m_forgetDelayMs = 60'000;
    std::uint64_t m_seed = 1;
};

/** Counts of one workspace. */
struct WorkspaceResult
{
    std::uint64_t m_offered = 0;
    std::uint64_t m_good = 0;
    std::uint64_t m_late = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_broken = 0;
    std::vector<double> m_firstTokenMs;
};

struct LoadModelResult
{
    std::map<std::string, WorkspaceResult> m_workspaces;
    std::uint64_t m_crashes = 0;
    std::uint64_t m_coldOverloads = 0;
    std::uint64_t m_cacheHits = 0;
    std::uint64_t m_cacheLooks = 0;
    /** Good answers in each second. */
    std::vector<std::uint64_t> m_goodBySecond;
    /** Mean over time of the coefficient of variation of load between upstreams. */
    double m_imbalance = 0.0;
    HistoryEvents m_history;
};

/** Gateways with the real scheduler before fake engines, in virtual time. */
class LoadModel
{
public:
    explicit LoadModel(const LoadModelSettings &settings);
    ~LoadModel();
    LoadModel(const LoadModel &) = delete;
    LoadModel &operator=(const LoadModel &) = delete;

    /** Runs @p event at @p atMs. */
    void at(std::int64_t atMs, std::function<void()> event);
    /** Runs load until @p untilMs and lets what is in progress end. */
    LoadModelResult run(std::int64_t untilMs);

    void setZone(const std::string &zone, bool inService);
    /** While the store is down no table changes. */
    void setStoreDown(bool down);
    void crash(const std::string &upstream, const std::string &cause);
    /** An upstream turns cold in place; only its answers and probes show it. */
    void turnCold(const std::string &upstream);
    /** A caller sends request @p fingerprint that crashes each upstream it runs on, and sends it again at once, @p times in all. */
    void sendPoison(const std::string &workspace, std::uint64_t fingerprint, int times);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};
}
