#pragma once

#include "kernel/findings.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace knapweedslip
{
/** A model to serve, and the number and size of its replicas. A replica is a group of VMs. */
struct ModelPlan
{
    std::string m_name;
    std::string m_version;
    /** VMs in one group, all in the same fabric domain. */
    int m_groupVms = 1;
    /** Desired number of groups in all availability zones together. */
    int m_groups = 1;
    /** Maximum number of concurrent requests for a warm group. */
    int m_groupRequests = 1;
    /** Maximum number of concurrent requests for a cold group. */
    int m_coldRequests = 1;
};

/** One VM of a service. */
struct ServiceUpstream
{
    std::string m_vm;
    std::string m_address;
    std::string m_availabilityZone;
};

/** A service that is not a model engine. */
struct ServicePlan
{
    std::string m_name;
    /** Maximum numbers of concurrent requests for one warm and one cold upstream. */
    int m_maxRequests = 1;
    int m_coldRequests = 1;
    /** HTTP methods of requests that may be repeated. Any other request runs at most once. */
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

/** A workspace: a customer with its own key, priority and share of the capacity. */
struct WorkspacePlan
{
    std::string m_name;
    /** 1 is the highest priority. */
    int m_priority = 1;
    /** Share of the capacity relative to the other workspaces while all of them are busy. */
    int m_weight = 1;
    /** Maximum number of requests that wait at one gateway. */
    int m_maxQueued = 64;
    /** SHA-256 of the workspace's key, in lower-case hexadecimal. */
    std::string m_keySha256;
};

/** The operators' plan of what to serve. Immutable once parsed, so threads may share it. */
struct Plan
{
    std::vector<ModelPlan> m_models;
    std::vector<ServicePlan> m_services;
    std::vector<ZonePlan> m_zones;
    std::vector<WorkspacePlan> m_workspaces;
    /** VMs that accept no new work and join no group. */
    std::vector<std::string> m_drainedVms;
};

/** Parses and checks a plan in YAML. Returns all findings if there are any. The findings name @p file as their source. */
std::variant<Plan, Findings> parsePlan(const std::string &yaml, const std::string &file);

/** Returns whether @p zone is in the plan and in service. */
bool isZoneInService(const Plan &plan, const std::string &zone);

/** These functions return nullptr if the plan has no entry called @p name. */
const ModelPlan *findModel(const Plan &plan, const std::string &name);
const ServicePlan *findService(const Plan &plan, const std::string &name);
const WorkspacePlan *findWorkspace(const Plan &plan, const std::string &name);

/** Returns a copy of @p yaml in which @p zone has state @p state, or findings if the zone does not exist. */
std::variant<std::string, Findings> withZoneState(const std::string &yaml, const std::string &zone, ZoneState state);

/** Returns a copy of @p yaml in which @p vm is drained or not drained, or findings if @p yaml cannot be parsed. */
std::variant<std::string, Findings> withDrainedVm(const std::string &yaml, const std::string &vm, bool drained);

/** Returns a copy of @p yaml in which @p model has @p groups groups, or findings if the model does not exist. */
std::variant<std::string, Findings> withGroupCount(const std::string &yaml, const std::string &model, int groups);
}
