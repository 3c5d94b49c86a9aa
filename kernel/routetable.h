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
    /** A serving group, reached through its member of rank 0. */
    Group,
    /** One VM of a plain service. */
    Service,
};

/** One destination of requests. Immutable. */
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
    /** Name of the gateway that may use the upstream while it is cold; empty if none may. */
    std::string m_coldHolder;
    /** Maximum number of concurrent requests while warm, over all gateways. */
    int m_limit = 1;
    /** Maximum number of concurrent requests while cold, over all gateways. */
    int m_coldLimit = 1;
    /** VMs of the upstream. */
    std::vector<std::string> m_vms;
};

/** Everything that routing needs, compiled from one document view. Immutable; shared between threads. */
struct RouteTable
{
    /** Index of the document view that the table was built from. */
    std::uint64_t m_index = 0;
    /** Revision of the plan that the table was built from. */
    std::uint64_t m_planRevision = 0;
    Plan m_plan;
    /** Upstreams that may take new work. */
    std::vector<std::shared_ptr<const Upstream>> m_upstreams;
    /** Generation by id of every upstream whose responses may be forwarded, including those that take no new work. */
    std::unordered_map<std::string, std::uint64_t> m_generations;
};

/** One stored revision of the plan: its text, its author and the reason for the change. */
struct PlanDocument
{
    std::uint64_t m_revision = 0;
    /** Chosen by the writer, who can tell by it whether a write without a confirmation took effect. */
    std::string m_writeId;
    std::string m_author;
    std::string m_reason;
    std::int64_t m_unixSeconds = 0;
    /** The plan in YAML. */
    std::string m_sheet;
};

/** Encodes @p history, newest plan first, as the text of the plan document. The document keeps a bounded number of earlier plans. */
std::string encodePlanHistory(const std::vector<PlanDocument> &history);
/** Returns ProtocolViolation if @p text is not a valid plan document. */
Result<std::vector<PlanDocument>> decodePlanHistory(const std::string &text);

/** Returns the domain records of @p view, without those that cannot be decoded. */
std::vector<DomainRecord> domainRecords(const DocumentView &view);

/**
 * Compiles the documents of @p view. Upstreams that are incomplete, drained, or in a zone that is out of service are left out. Returns an
 * empty table if there is no plan document, and an error if the plan or a domain record is invalid.
 */
Result<std::shared_ptr<const RouteTable>> buildRouteTable(const DocumentView &view);
}
