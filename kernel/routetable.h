#pragma once

#include "kernel/documents.h"
#include "kernel/domainrecord.h"
#include "kernel/plan.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace knapweedslip
{
inline constexpr const char *PlanKey = "knapweedslip/config/plan";
inline constexpr const char *DomainKeyPrefix = "knapweedslip/config/domain/";

enum class UpstreamKind {
    /** A serving group, reached at its rank 0 member. */
    Group,
    /** One VM of a plain service. */
    Service,
};

/** One place a request can be sent to. Immutable. */
struct Upstream
{
    /** Group id, or "service/vm". */
    std::string m_id;
    UpstreamKind m_kind = UpstreamKind::Group;
    /** Model or service name. */
    std::string m_pool;
    std::string m_availabilityZone;
    std::string m_address;
    std::string m_bootId;
    std::uint64_t m_generation = 0;
    GroupPhase m_phase = GroupPhase::Warm;
    std::string m_coldHolder;
    /** Concurrent requests when warm, over all gateways. */
    int m_limit = 1;
    /** Concurrent requests when cold, over all gateways. */
    int m_coldLimit = 1;
    /** VMs of the upstream. */
    std::vector<std::string> m_vms;
};

/** Everything routing needs, compiled from one document view. Immutable; shared by threads. */
struct RouteTable
{
    /** Index of the document view it was made from. */
    std::uint64_t m_index = 0;
    /** Revision of the plan it was made from. */
    std::uint64_t m_planRevision = 0;
    Plan m_plan;
    /** Upstreams that may take new work. */
    std::vector<std::shared_ptr<const Upstream>> m_upstreams;
    /** Generation of every upstream whose answers may be passed on, also of those that take no new work. */
    std::unordered_map<std::string, std::uint64_t> m_generations;
};

/** The plan as stored: the sheet and who wrote it. */
struct PlanDocument
{
    std::uint64_t m_revision = 0;
    /** Chosen by the writer; tells whether an unclear write took effect. */
    std::string m_writeId;
    std::string m_author;
    std::string m_reason;
    std::int64_t m_unixSeconds = 0;
    std::string m_sheet;
};

/** The plan document holds the newest plan first and a bounded number of earlier ones. */
std::string encodePlanHistory(const std::vector<PlanDocument> &history);
Result<std::vector<PlanDocument>> decodePlanHistory(const std::string &text);

/** The readable domain records of @p view. */
std::vector<DomainRecord> domainRecords(const DocumentView &view);

/** Compiles the documents of @p view. Upstreams in zones that are out, drained or not whole are left out. */
Result<std::shared_ptr<const RouteTable>> buildRouteTable(const DocumentView &view);
}
