#pragma once

#include "kernel/routetable.h"
#include "kernel/scheduler.h"

#include <memory>
#include <string>
#include <vector>

namespace knapweedslip::test
{
/** Builds a route table directly, without encoding and decoding documents. */
struct RouteTableBuilder
{
    RouteTable m_table;

    RouteTableBuilder &workspace(const std::string &name, int weight = 1, int maxQueued = 1'000)
    {
        WorkspacePlan plan;
        plan.m_name = name;
        plan.m_weight = weight;
        plan.m_maxQueued = maxQueued;
        m_table.m_plan.m_workspaces.push_back(plan);
        return *this;
    }

    RouteTableBuilder &model(const std::string &name)
    {
        ModelPlan plan;
        plan.m_name = name;
        m_table.m_plan.m_models.push_back(plan);
        return *this;
    }

    RouteTableBuilder &upstream(const std::string &id,
                                int limit = 4,
                                GroupPhase phase = GroupPhase::Warm,
                                const std::string &holder = {},
                                const std::string &zone = "z1",
                                std::uint64_t generation = 1,
                                int coldLimit = 1)
    {
        Upstream upstream;
        upstream.m_id = id;
        upstream.m_pool = "m";
        upstream.m_availabilityZone = zone;
        upstream.m_limit = limit;
        upstream.m_coldLimit = coldLimit;
        upstream.m_phase = phase;
        upstream.m_coldHolder = holder;
        upstream.m_generation = generation;
        upstream.m_vms = {id + "-vm"};
        m_table.m_generations[id] = generation;
        m_table.m_upstreams.push_back(std::make_shared<const Upstream>(std::move(upstream)));
        return *this;
    }

    std::shared_ptr<const RouteTable> build() const
    {
        return std::make_shared<const RouteTable>(m_table);
    }
};

inline std::unique_ptr<Scheduler> makeScheduler(SchedulerSettings settings = {})
{
    if (settings.m_self.empty()) {
        settings.m_self = "g1";
    }
    Result<std::unique_ptr<Scheduler>> created = Scheduler::create(settings);
    return std::move(valueOf(created));
}

inline WorkRequest makeRequest(std::uint64_t id, const std::string &workspace = "w", std::int64_t deadlineMs = 1'000'000)
{
    WorkRequest request;
    request.m_id = id;
    request.m_workspace = workspace;
    request.m_pool = "m";
    request.m_deadlineMs = deadlineMs;
    request.m_fingerprint = id;
    request.m_query.m_workspace = workspace;
    return request;
}
}
