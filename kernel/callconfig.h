#pragma once

#include "kernel/storeposition.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace knapweedslip
{
/** Whether requests of a route may be repeated. */
enum class CallKind {
    /** May run any number of times with the same effect. */
    Idempotent,
    /** Must run at most once each time the client sends it. */
    NonIdempotent,
    /** Answered by a stream of numbered events; another upstream may continue it only if the route is resumable. */
    Streaming,
};

/** One of the services among which a route's requests are divided by weight. */
struct RouteTarget
{
    std::string m_service;
    int m_weight = 1;
};

/** A route of the operators' configuration: which requests go to which service, and how long they may take. */
struct CallRoute
{
    std::string m_name;
    std::string m_host;
    /** Starts and ends with a slash. */
    std::string m_pathPrefix;
    CallKind m_kind = CallKind::NonIdempotent;
    /** Time limit for the complete answer; 0 when the route sets none. */
    std::int64_t m_timeoutMs = 0;
    /** An answer, or the first event of a stream, is on time when it arrives within this time. */
    std::int64_t m_latencyTargetMs = 0;
    /** Longest pause between two events of a stream that counts as on time (inter-token latency); 0 when the route sets no target. */
    std::int64_t m_interTokenTargetMs = 0;
    /** 0 is the most urgent. */
    int m_priority = 0;
    std::vector<RouteTarget> m_targets;
    /** Number of upstreams on which one request may run. */
    int m_maxAttempts = 1;
    /** Requests need no key. */
    bool m_public = false;
    /** Another upstream may continue a broken stream after its last event. */
    bool m_resumable = false;
};

/** A model of an engine service. Each replica of it spans one or more VMs. */
struct ServedModel
{
    std::string m_name;
    /** Number of VMs in one replica. */
    int m_vmsPerReplica = 1;
    /** Fraction of the requests that initially ask for this model, 0 to 1. */
    double m_workShare = 1.0;
    /** Factor on all times of EngineTiming for replicas of this model; above 1 is slower. */
    double m_pace = 1.0;
    /** Time to load the weights from the weight store. */
    std::int64_t m_loadMs = 0;
    /** Time to join a replica when the weights are already on the VM. */
    std::int64_t m_warmUpMs = 0;
};

/** Published timing of the engines of one service. All times are for a model whose m_pace is 1. */
struct EngineTiming
{
    /** Number of requests that a replica runs concurrently. */
    int m_slots = 1;
    std::int64_t m_kvCapacityTokens = 0;
    /** Number of decode steps in one pass; each request gets one token per step. */
    int m_stepsPerPass = 1;
    /** Base time of a decode step. */
    double m_stepMs = 0.0;
    /** Added to a decode step for each request that is decoding. */
    double m_stepMsPerRequest = 0.0;
    /** Added to a decode step for each 1,000 tokens of context. */
    double m_stepMsPerThousandTokens = 0.0;
    /** Prompt tokens that prefill processes per ms. */
    double m_prefillTokensPerMs = 1.0;
    /** Added to prefill for each million pairs of a prompt token and an earlier one (attention). */
    double m_prefillMsPerMillionPairs = 0.0;
    /** Maximum number of prompt tokens that are prefilled in one step. */
    int m_prefillChunkTokens = 0;
    /** Loads from the weight store that may start per second. */
    double m_loadsPerSecond = 0.0;
    /** Loads that run concurrently without slowing each other down. */
    int m_loadsAtOnce = 1;
    /** Time from the order to open a replica until it accepts requests. */
    std::int64_t m_openMs = 0;
    /** Mean number of tokens of a prompt and of an answer. */
    std::int64_t m_meanPromptTokens = 0;
    std::int64_t m_meanAnswerTokens = 0;
    std::vector<ServedModel> m_models;
};

/** A service to which routes send requests. */
struct CallService
{
    std::string m_name;
    std::string m_healthPath;
    /** Maximum number of connections that one upstream accepts from all callers together. */
    int m_maxConnections = 0;
    /** Requests per second that a cold upstream can take; 0 when upstreams have no cold phase. */
    double m_coldRequestsPerSecond = 0.0;
    /** Timing of the engines; set only for services of model engines. */
    std::optional<EngineTiming> m_engines;
};

/** Limits on a client connection: sizes of a request, time to send its header, and idle time. */
struct IngressLimits
{
    std::size_t m_maxHeaderBytes = 16'384;
    std::size_t m_maxBodyBytes = 4 * 1024 * 1024;
    std::int64_t m_headerTimeoutMs = 3'000;
    std::int64_t m_idleTimeoutMs = 15'000;
};

/** A workspace of a customer. */
struct CallWorkspace
{
    std::string m_name;
    /** Overrides the priority of the route when set. */
    std::optional<int> m_priority;
    /** API keys. */
    std::vector<std::string> m_keys;
};

/** The operators' configuration. Must not be changed once it is shared through CallConfigPtr. */
struct CallConfig
{
    /** Version number that the operators gave it; it rises from one configuration to the next. */
    std::int64_t m_version = 0;
    /** Position in the store at which the configuration was written. */
    StorePosition m_position;
    std::vector<CallRoute> m_routes;
    std::map<std::string, CallService> m_services;
    std::vector<CallWorkspace> m_workspaces;
    /** Requests need the key of a workspace, except on public routes; without workspaces none has one. */
    bool m_requiresKeys = true;
    IngressLimits m_limits;

    /** Indices into m_routes by host and path prefix, and into m_workspaces by key; filled by indexConfig(). */
    std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> m_routesByHost;
    std::unordered_map<std::string, std::size_t> m_workspaceByKey;
};

using CallConfigPtr = std::shared_ptr<const CallConfig>;

/**
 * Returns whether @p candidate is newer than @p current. Within an era of the store the later write is. A later era may begin with an older configuration,
 * since the store came back from a copy; the operators write theirs again, and until then the one in force stays. So between eras their versions decide.
 */
bool supersedes(const CallConfig &candidate, const CallConfig &current);

/** Fills the indices; must be called after m_routes and m_workspaces are set. */
void indexConfig(CallConfig &config);

/**
 * Returns the route of @p host with the longest prefix of @p path, or null if there is none. The case and the port of @p host are ignored.
 * Takes one lookup per slash of the path, regardless of the number of routes.
 */
const CallRoute *findRoute(const CallConfig &config, std::string_view host, std::string_view path);

/** Returns the workspace that has @p key, or null. */
const CallWorkspace *findWorkspace(const CallConfig &config, const std::string &key);

/** Chooses a service of @p route by weight, where @p uniform is a random number in [0, 1). Returns null when that service does not exist. */
const CallService *chooseService(const CallConfig &config, const CallRoute &route, double uniform);

/** Returns the first service of model engines that has models, or null. */
const CallService *findEngineService(const CallConfig &config);

/** Returns the model called @p name, or null. */
const ServedModel *findModel(const CallService &service, std::string_view name);
}
