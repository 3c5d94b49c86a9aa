// Problem: handling a request must not parse documents or search the lists of the plan.
// Approach: compile each new document view once into an immutable table that holds only the upstreams that may take new work.
// Threads share the table without locks.
// Filtering on each decision would take time proportional to the number of upstreams.

#include "kernel/routetable.h"

#include <boost/json.hpp>

#include <algorithm>

namespace knapweedslip
{
namespace json = boost::json;

namespace
{
bool isDrained(const Plan &plan, const std::string &vm)
{
    return std::find(plan.m_drainedVms.begin(), plan.m_drainedVms.end(), vm) != plan.m_drainedVms.end();
}

/** Returns true if the group has all its members and their engines have joined. */
bool isComplete(const GroupRecord &group, std::size_t size)
{
    const bool formed = group.m_phase == GroupPhase::Cold || group.m_phase == GroupPhase::Warm || group.m_phase == GroupPhase::Draining;
    return formed && group.m_members.size() == size;
}

Upstream makeUpstream(const GroupRecord &group)
{
    Upstream upstream;
    upstream.m_id = group.m_id;
    upstream.m_pool = group.m_model;
    upstream.m_address = group.m_members.front().m_address;
    upstream.m_bootId = group.m_members.front().m_bootId;
    upstream.m_generation = group.m_generation;
    upstream.m_phase = group.m_phase;
    upstream.m_coldHolder = group.m_coldHolder;
    for (const MemberRecord &member : group.m_members) {
        upstream.m_vms.push_back(member.m_vm);
    }
    return upstream;
}

void addUpstream(RouteTable &table, Upstream upstream)
{
    table.m_generations[upstream.m_id] = upstream.m_generation;
    const bool anyDrained = std::any_of(upstream.m_vms.begin(), upstream.m_vms.end(), [&](const std::string &vm) {
        return isDrained(table.m_plan, vm);
    });
    if (upstream.m_phase != GroupPhase::Draining && !anyDrained && isZoneInService(table.m_plan, upstream.m_availabilityZone)) {
        table.m_upstreams.push_back(std::make_shared<const Upstream>(std::move(upstream)));
    }
}

void addGroups(RouteTable &table, const DomainRecord &record)
{
    for (const GroupRecord &group : record.m_groups) {
        const ModelPlan *model = findModel(table.m_plan, group.m_model);
        if (model == nullptr || !isComplete(group, static_cast<std::size_t>(model->m_groupVms))) {
            continue;
        }
        Upstream upstream = makeUpstream(group);
        upstream.m_kind = UpstreamKind::Group;
        upstream.m_availabilityZone = record.m_availabilityZone;
        upstream.m_limit = model->m_groupRequests;
        upstream.m_coldLimit = model->m_coldRequests;
        addUpstream(table, std::move(upstream));
    }
}

/** Adds the VMs of plain services, which are stored as groups of one member in a separate record. */
void addServices(RouteTable &table, const DomainRecord &record)
{
    for (const GroupRecord &group : record.m_groups) {
        const ServicePlan *service = findService(table.m_plan, group.m_model);
        if (service == nullptr || !isComplete(group, 1)) {
            continue;
        }
        const auto entry = std::find_if(service->m_upstreams.begin(), service->m_upstreams.end(), [&](const ServiceUpstream &candidate) {
            return candidate.m_vm == group.m_members.front().m_vm;
        });
        if (entry == service->m_upstreams.end()) {
            continue;
        }
        Upstream upstream = makeUpstream(group);
        upstream.m_kind = UpstreamKind::Service;
        upstream.m_availabilityZone = entry->m_availabilityZone;
        upstream.m_limit = service->m_maxRequests;
        upstream.m_coldLimit = service->m_coldRequests;
        addUpstream(table, std::move(upstream));
    }
}

PlanDocument decodePlanDocument(const json::value &value)
{
    PlanDocument document;
    document.m_revision = value.at("revision").to_number<std::uint64_t>();
    document.m_writeId = json::value_to<std::string>(value.at("write_id"));
    document.m_author = json::value_to<std::string>(value.at("author"));
    document.m_reason = json::value_to<std::string>(value.at("reason"));
    document.m_unixSeconds = value.at("unix_seconds").to_number<std::int64_t>();
    document.m_sheet = json::value_to<std::string>(value.at("sheet"));
    return document;
}
}

std::string encodePlanHistory(const std::vector<PlanDocument> &history)
{
    json::array array;
    for (const PlanDocument &document : history) {
        array.push_back(json::object{{"revision", document.m_revision},
                                     {"write_id", document.m_writeId},
                                     {"author", document.m_author},
                                     {"reason", document.m_reason},
                                     {"unix_seconds", document.m_unixSeconds},
                                     {"sheet", document.m_sheet}});
    }
    return json::serialize(array);
}

Result<std::vector<PlanDocument>> decodePlanHistory(const std::string &text)
{
    try {
        const json::value value = json::parse(text);
        std::vector<PlanDocument> history;
        for (const json::value &item : value.as_array()) {
            history.push_back(decodePlanDocument(item));
        }
        return history;
    } catch (const std::exception &exception) {
        return Error{ErrorCode::ProtocolViolation, std::string("plan document: ") + exception.what()};
    }
}

std::vector<DomainRecord> domainRecords(const DocumentView &view)
{
    std::vector<DomainRecord> records;
    const std::string prefix = DomainKeyPrefix;
    for (auto it = view.m_documents.lower_bound(prefix); it != view.m_documents.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
        Result<DomainRecord> record = decodeDomainRecord(it->second.m_value);
        if (!failed(record)) {
            records.push_back(std::move(valueOf(record)));
        }
    }
    return records;
}

Result<std::shared_ptr<const RouteTable>> buildRouteTable(const DocumentView &view)
{
    std::shared_ptr<RouteTable> table = std::make_shared<RouteTable>();
    table->m_index = view.m_index;
    const Document *planDocument = findDocument(view, PlanKey);
    if (planDocument == nullptr) {
        return std::shared_ptr<const RouteTable>(std::move(table));
    }
    const Result<std::vector<PlanDocument>> history = decodePlanHistory(planDocument->m_value);
    if (failed(history)) {
        return errorOf(history);
    }
    if (valueOf(history).empty()) {
        return Error{ErrorCode::ProtocolViolation, "plan document: the plan history is empty"};
    }
    std::variant<Plan, Findings> plan = parsePlan(valueOf(history).front().m_sheet, "plan");
    if (std::holds_alternative<Findings>(plan)) {
        return Error{ErrorCode::InvalidPlan, describe(std::get<Findings>(plan))};
    }
    table->m_planRevision = valueOf(history).front().m_revision;
    table->m_plan = std::move(std::get<Plan>(plan));
    const std::string prefix = DomainKeyPrefix;
    for (auto it = view.m_documents.lower_bound(prefix); it != view.m_documents.end() && it->first.compare(0, prefix.size(), prefix) == 0; ++it) {
        const Result<DomainRecord> record = decodeDomainRecord(it->second.m_value);
        if (failed(record)) {
            return errorOf(record);
        }
        addGroups(*table, valueOf(record));
        addServices(*table, valueOf(record));
    }
    return std::shared_ptr<const RouteTable>(std::move(table));
}
}
