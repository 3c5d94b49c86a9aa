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
/** Load of one workspace. Requests arrive as a Poisson process. */
struct WorkspaceLoad
{
    std::string m_name;
    int m_weight = 1;
    int m_priority = 9;
    double m_requestsPerSecond = 1.0;
    std::int64_t m_deadlineMs = 10'000;
    /** Number of distinct prompts, drawn with a Zipf-like skew; 0: every prompt is new. */
    int m_prompts = 0;
};

/** One upstream of the load model, which stands for one replica. */
struct ModelUpstream
{
    std::string m_id;
    std::string m_zone;
    int m_limit = 8;
    int m_coldLimit = 1;
};

/** Settings of the simulated engines and of the delays with which tables and reports reach gateways. There is no network and no store. */
struct LoadModelSettings
{
    SchedulerSettings m_scheduler;
    int m_gateways = 4;
    std::vector<ModelUpstream> m_upstreams;
    std::vector<WorkspaceLoad> m_workspaces;
    std::int64_t m_firstTokenMs = 200;
    /** Time to the first token when the prompt's prefix is cached. */
    std::int64_t m_cachedFirstTokenMs = 60;
    std::int64_t m_tokenMs = 20;
    int m_meanTokens = 40;
    /** Number of prompts that an upstream's cache holds. */
    std::size_t m_cacheEntries = 64;
    /** Delay of cache events to gateways, and the fraction of them that is lost. */
    std::int64_t m_cacheEventDelayMs = 500;
    double m_cacheEventLoss = 0.2;
    std::int64_t m_restartMs = 2'000;
    std::int64_t m_coldMs = 4'000;
    /** Longest time from a change until a gateway uses the new table. */
    std::int64_t m_tableDelayMs = 400;
    /** Time until one gateway's report reaches the others. */
    std::int64_t m_reportDelayMs = 200;
    std::int64_t m_loadReportIntervalMs = 250;
    /** Shuffle sharding: upstreams per workspace; 0: all. */
    std::size_t m_shardSize = 0;
    /** A crashed upstream stays in its shards for this time. */
    std::int64_t m_removalDelayMs = 60'000;
    std::uint64_t m_seed = 1;
};

/** Counts of one workspace. Good responses end within the deadline, broken requests fail after part of their response. */
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
    std::uint64_t m_cacheLookups = 0;
    /** Number of good responses in each second. */
    std::vector<std::uint64_t> m_goodBySecond;
    /** Coefficient of variation of the upstreams' load, averaged over time. */
    double m_imbalance = 0.0;
    HistoryEvents m_history;
};

/** Simulates gateways, which use the real scheduler, and engines in virtual time. */
class LoadModel
{
public:
    explicit LoadModel(const LoadModelSettings &settings);
    ~LoadModel();
    LoadModel(const LoadModel &) = delete;
    LoadModel &operator=(const LoadModel &) = delete;

    /** Schedules @p event for time @p atMs. */
    void at(std::int64_t atMs, std::function<void()> event);
    /** Generates load until @p untilMs, lets requests in progress finish and returns the results. Must be called once. */
    LoadModelResult run(std::int64_t untilMs);

    /** Puts a zone into or out of service. */
    void setZone(const std::string &zone, bool inService);
    /** Starts or ends a store outage. No new table is published during an outage. */
    void setStoreDown(bool down);
    /** Crashes an upstream, which restarts cold after m_restartMs. */
    void crash(const std::string &upstream, const std::string &cause);
    /** Makes an upstream cold without a restart or a new generation; gateways learn it only from probes. */
    void turnCold(const std::string &upstream);
    /** Sends a request that crashes every upstream it runs on, @p times in total, each shortly after the previous one was refused. */
    void sendPoison(const std::string &workspace, std::uint64_t fingerprint, int times);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};
}
