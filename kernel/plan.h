#pragma once

#include "kernel/findings.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace knapweedslip
{
/** A model that should serve, and the shape of its serving groups. */
struct ModelPlan
{
    std::string m_name;
    std::string m_version;
    /** VMs in one serving group; all in one fabric domain. */
    int m_groupVms = 1;
    /** Groups wanted over all availability zones. */
    int m_groups = 1;
    /** Concurrent requests a warm group bears. */
    int m_groupRequests = 1;
    /** Concurrent requests a cold group bears. */
    int m_coldRequests = 1;
};

/** One VM of a plain service. */
struct ServiceUpstream
{
    std::string m_vm;
    std::string m_address;
    std::string m_availabilityZone;
};

/** A plain service beside the model engines. */
struct ServicePlan
{
    std::string m_name;
    int m_maxRequests = 1;
    int m_coldRequests = 1;
    /** HTTP methods that may be repeated. Any other call runs at most once. */
    std::vector<std::string> m_idempotentMethods;
    std::vector<ServiceUpstream> m_upstreams;
};

enum class ZoneState {
    In,
    Out,
};

struct ZonePlan
{
    std::string m_name;
    ZoneState m_state = ZoneState::In;
};

/** A customer of the system. */
struct WorkspacePlan
{
    std::string m_name;
    /** 1 comes first. */
    int m_priority = 1;
    /** Share of capacity relative to other workspaces while all are busy. */
    int m_weight = 1;
    /** Requests that may wait at one gateway. */
    int m_maxQueued = 64;
    /** SHA-256 of the workspace's key, in lower-case hexadecimal. */
    std::string m_keySha256;
};

/** The operators' plan. Immutable once parsed; shared by threads. */
struct Plan
{
    std::vector<ModelPlan> m_models;
    std::vector<ServicePlan> m_services;
    std::vector<ZonePlan> m_zones;
    std::vector<WorkspacePlan> m_workspaces;
    /** VMs that take no new work and join no group. */
    std::vector<std::string> m_drainedVms;
};

/** Parses and checks a plan sheet in YAML. All findings come together. */
std::variant<Plan, Findings> parsePlan(const std::string &sheet, const std::string &file);

/** False for a zone that is out or not in the plan. */
bool zoneInService(const Plan &plan, const std::string &zone);

const ModelPlan *findModel(const Plan &plan, const std::string &name);
const ServicePlan *findService(const Plan &plan, const std::string &name);
const WorkspacePlan *findWorkspace(const Plan &plan, const std::string &name);

/** A copy of @p sheet in which @p zone has state @p state, or findings when the zone is not there. */
std::variant<std::string, Findings> withZoneState(const std::string &sheet, const std::string &zone, ZoneState state);

/** A copy of @p sheet in which @p vm is drained or no longer drained. */
std::variant<std::string, Findings> withDrainedVm(const std::string &sheet, const std::string &vm, bool drained);

/** A copy of @p sheet in which @p model has @p groups groups. */
std::variant<std::string, Findings> withGroups(const std::string &sheet, const std::string &model, int groups);
}
