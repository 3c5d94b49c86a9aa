// Problem: the plan decides what is served; applying a plan that is only partly understood is worse than rejecting it.
// Approach: strict parsing (unknown keys are findings), then checks across entries. A Plan is returned only if there are no findings.
// Lenient parsing would turn a misspelt 'state: uot' into a zone that stays in service.

#include "kernel/plan.h"

#include "kernel/yamlreader.h"

#include <algorithm>
#include <set>

namespace knapweedslip
{
namespace
{
constexpr std::int64_t MaxGroupVms = 256;
constexpr std::int64_t MaxGroups = 20'000;
constexpr std::int64_t MaxConcurrentRequests = 100'000;
constexpr std::int64_t MaxWeight = 1'000;
constexpr std::size_t Sha256HexLength = 64;

void checkUnique(YamlReader &reader, std::set<std::string> &names, const YAML::Node &node, const std::string &kind, const std::string &name)
{
    if (!name.empty() && !names.insert(name).second) {
        addFinding(reader, node, kind + " '" + name + "' is defined twice");
    }
}

int readCount(YamlReader &reader, const YAML::Node &node, const std::string &key, std::int64_t maximum, std::optional<std::int64_t> fallback = std::nullopt)
{
    return static_cast<int>(readInteger(reader, node, key, 1, maximum, fallback));
}

ModelPlan readModel(YamlReader &reader, const YAML::Node &node)
{
    ModelPlan model;
    if (!checkKeys(reader, node, {"name", "version", "group_vms", "groups", "group_requests", "cold_requests"})) {
        return model;
    }
    model.m_name = readString(reader, node, "name");
    model.m_version = readString(reader, node, "version");
    model.m_groupVms = readCount(reader, node, "group_vms", MaxGroupVms);
    model.m_groups = static_cast<int>(readInteger(reader, node, "groups", 0, MaxGroups));
    model.m_groupRequests = readCount(reader, node, "group_requests", MaxConcurrentRequests);
    model.m_coldRequests = readCount(reader, node, "cold_requests", MaxConcurrentRequests, 1);
    if (model.m_coldRequests > model.m_groupRequests) {
        addFinding(reader, node["cold_requests"], "'cold_requests' must not exceed 'group_requests'");
    }
    return model;
}

ServicePlan readService(YamlReader &reader, const YAML::Node &node, std::set<std::string> &vms)
{
    ServicePlan service;
    if (!checkKeys(reader, node, {"name", "max_requests", "cold_requests", "idempotent_methods", "upstreams"})) {
        return service;
    }
    service.m_name = readString(reader, node, "name");
    service.m_maxRequests = readCount(reader, node, "max_requests", MaxConcurrentRequests);
    service.m_coldRequests = readCount(reader, node, "cold_requests", MaxConcurrentRequests, 1);
    service.m_idempotentMethods = readStrings(reader, node, "idempotent_methods");
    for (const YAML::Node &item : readList(reader, node, "upstreams")) {
        if (!checkKeys(reader, item, {"vm", "address", "availability_zone"})) {
            continue;
        }
        ServiceUpstream upstream{readString(reader, item, "vm"), readString(reader, item, "address"), readString(reader, item, "availability_zone")};
        checkUnique(reader, vms, item, "VM", upstream.m_vm);
        service.m_upstreams.push_back(std::move(upstream));
    }
    return service;
}

ZonePlan readZone(YamlReader &reader, const YAML::Node &node)
{
    ZonePlan zone;
    if (!checkKeys(reader, node, {"name", "state"})) {
        return zone;
    }
    zone.m_name = readString(reader, node, "name");
    const std::string state = readString(reader, node, "state");
    if (state != "in" && state != "out") {
        addFinding(reader, node["state"], "'state' must be 'in' or 'out'");
    }
    zone.m_state = state == "in" ? ZoneState::In : ZoneState::Out;
    return zone;
}

WorkspacePlan readWorkspace(YamlReader &reader, const YAML::Node &node)
{
    WorkspacePlan workspace;
    if (!checkKeys(reader, node, {"name", "priority", "weight", "max_queued_requests", "key_sha256"})) {
        return workspace;
    }
    workspace.m_name = readString(reader, node, "name");
    workspace.m_priority = readCount(reader, node, "priority", MaxWeight);
    workspace.m_weight = readCount(reader, node, "weight", MaxWeight, 1);
    workspace.m_maxQueued = readCount(reader, node, "max_queued_requests", MaxConcurrentRequests, 64);
    workspace.m_keySha256 = readString(reader, node, "key_sha256");
    const bool isHex = workspace.m_keySha256.find_first_not_of("0123456789abcdef") == std::string::npos;
    if (workspace.m_keySha256.size() != Sha256HexLength || !isHex) {
        addFinding(reader, node["key_sha256"], "'key_sha256' must be 64 lower-case hexadecimal digits");
    }
    return workspace;
}

void checkZoneNames(YamlReader &reader, const YAML::Node &root, const Plan &plan)
{
    for (const ServicePlan &service : plan.m_services) {
        for (const ServiceUpstream &upstream : service.m_upstreams) {
            const bool known = std::any_of(plan.m_zones.begin(), plan.m_zones.end(), [&](const ZonePlan &zone) {
                return zone.m_name == upstream.m_availabilityZone;
            });
            if (!known) {
                addFinding(
                    reader, root["services"], "upstream '" + upstream.m_vm + "' is in the unknown availability zone '" + upstream.m_availabilityZone + "'");
            }
        }
    }
}

Plan readPlan(YamlReader &reader, const YAML::Node &root)
{
    Plan plan;
    if (!checkKeys(reader, root, {"models", "services", "availability_zones", "workspaces", "drained_vms"})) {
        return plan;
    }
    std::set<std::string> models;
    std::set<std::string> services;
    std::set<std::string> zones;
    std::set<std::string> workspaces;
    std::set<std::string> vms;
    for (const YAML::Node &item : readList(reader, root, "models")) {
        plan.m_models.push_back(readModel(reader, item));
        checkUnique(reader, models, item, "model", plan.m_models.back().m_name);
    }
    for (const YAML::Node &item : readList(reader, root, "services")) {
        plan.m_services.push_back(readService(reader, item, vms));
        checkUnique(reader, services, item, "service", plan.m_services.back().m_name);
    }
    for (const YAML::Node &item : readList(reader, root, "availability_zones")) {
        plan.m_zones.push_back(readZone(reader, item));
        checkUnique(reader, zones, item, "availability zone", plan.m_zones.back().m_name);
    }
    for (const YAML::Node &item : readList(reader, root, "workspaces")) {
        plan.m_workspaces.push_back(readWorkspace(reader, item));
        checkUnique(reader, workspaces, item, "workspace", plan.m_workspaces.back().m_name);
    }
    plan.m_drainedVms = readStrings(reader, root, "drained_vms");
    if (plan.m_zones.empty()) {
        addFinding(reader, root, "the plan needs at least one availability zone");
    }
    checkZoneNames(reader, root, plan);
    return plan;
}

template<typename T>
const T *findByName(const std::vector<T> &items, const std::string &name)
{
    const auto it = std::find_if(items.begin(), items.end(), [&](const T &item) {
        return item.m_name == name;
    });
    return it == items.end() ? nullptr : &*it;
}

/** Returns a copy of @p yaml in which entry @p name of list @p list has @p value under @p key, or findings if there is no such entry. */
std::variant<std::string, Findings>
withEntryValue(const std::string &yaml, const std::string &list, const std::string &name, const std::string &key, const std::string &value)
{
    YamlReader reader{"plan", {}};
    YAML::Node root = parseYaml(reader, yaml);
    if (!reader.m_findings.empty()) {
        return reader.m_findings;
    }
    for (YAML::Node item : root[list]) {
        if (item["name"].IsDefined() && item["name"].Scalar() == name) {
            item[key] = value;
            return YAML::Dump(root);
        }
    }
    addFinding(reader, root, "there is no '" + name + "' in '" + list + "'");
    return reader.m_findings;
}
}

std::variant<Plan, Findings> parsePlan(const std::string &yaml, const std::string &file)
{
    YamlReader reader{file, {}};
    const YAML::Node root = parseYaml(reader, yaml);
    Plan plan;
    if (reader.m_findings.empty()) {
        plan = readPlan(reader, root);
    }
    if (!reader.m_findings.empty()) {
        return reader.m_findings;
    }
    return plan;
}

bool isZoneInService(const Plan &plan, const std::string &zone)
{
    const ZonePlan *found = findByName(plan.m_zones, zone);
    return found != nullptr && found->m_state == ZoneState::In;
}

const ModelPlan *findModel(const Plan &plan, const std::string &name)
{
    return findByName(plan.m_models, name);
}

const ServicePlan *findService(const Plan &plan, const std::string &name)
{
    return findByName(plan.m_services, name);
}

const WorkspacePlan *findWorkspace(const Plan &plan, const std::string &name)
{
    return findByName(plan.m_workspaces, name);
}

std::variant<std::string, Findings> withZoneState(const std::string &yaml, const std::string &zone, ZoneState state)
{
    return withEntryValue(yaml, "availability_zones", zone, "state", state == ZoneState::In ? "in" : "out");
}

std::variant<std::string, Findings> withGroupCount(const std::string &yaml, const std::string &model, int groups)
{
    return withEntryValue(yaml, "models", model, "groups", std::to_string(groups));
}

std::variant<std::string, Findings> withDrainedVm(const std::string &yaml, const std::string &vm, bool drained)
{
    YamlReader reader{"plan", {}};
    YAML::Node root = parseYaml(reader, yaml);
    if (!reader.m_findings.empty()) {
        return reader.m_findings;
    }
    std::set<std::string> vms;
    for (const std::string &name : readStrings(reader, root, "drained_vms")) {
        vms.insert(name);
    }
    if (drained) {
        vms.insert(vm);
    } else {
        vms.erase(vm);
    }
    root["drained_vms"] = std::vector<std::string>(vms.begin(), vms.end());
    return YAML::Dump(root);
}
}
