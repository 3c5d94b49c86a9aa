#pragma once

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
/** What may be repeated on a route. */
enum class CallKind {
    /** May run any number of times. */
    Idempotent,
    /** May run at most once for each attempt of the client. */
    NonIdempotent,
    /** An answer of numbered events; may be continued elsewhere only where the route says so. */
    Streaming,
};

/** One of the services that a route's requests are split over. */
struct RouteTarget
{
    std::string m_service;
    int m_weight = 1;
};

/** One route of the operators: which requests go to which service, and how long they may take. */
struct CallRoute
{
    std::string m_name;
    std::string m_host;
    /** Begins and ends with a slash. */
    std::string m_pathPrefix;
    CallKind m_kind = CallKind::NonIdempotent;
    /** Longest time that a client is kept waiting for the end of its answer. */
    std::int64_t m_timeoutMs = 0;
    /** An answer (a stream: its first event) within this time earns its full benefit. */
    std::int64_t m_latencyTargetMs = 0;
    /** Longest pause between two events of a stream that is still on time; 0 when none is declared. */
    std::int64_t m_pauseTargetMs = 0;
    /** 0 is the most urgent. */
    int m_priority = 0;
    std::vector<RouteTarget> m_targets;
    /** Upstreams on which one request may run. */
    int m_maxAttempts = 1;
    /** Needs no key. */
    bool m_public = false;
    /** A stream may be continued by another upstream after its last event. */
    bool m_resumable = false;
};

/** A model that an engine service serves, as replicas of several VMs each. */
struct ServedModel
{
    std::string m_name;
    /** VMs in one replica. */
    int m_size = 1;
    /** Part of the work that asks for this model at the start, 0 to 1. */
    double m_share = 1.0;
    /** Factor on all times of a replica. */
    double m_pace = 1.0;
    std::int64_t m_loadMs = 0;
    /** Time to join a replica when the weights lie on the VM. */
    std::int64_t m_warmUpMs = 0;
};

/** Published timing of the engines of one service; all times hold for a pace of 1. */
struct StepModel
{
    /** Requests that a replica runs at the same time. */
    int m_slots = 1;
    std::int64_t m_kvCapacityTokens = 0;
    /** Steps in one pass that writes. */
    int m_stride = 1;
    double m_stepMs = 0.0;
    /** Added to a step for each request that writes. */
    double m_stepMsPerRequest = 0.0;
    /** Added to a step for each 1,000 tokens of context. */
    double m_stepMsPerThousandTokens = 0.0;
    double m_readTokensPerMs = 1.0;
    /** Added to reading, for each million pairs of a token and an earlier one. */
    double m_readMsPerMillionPairs = 0.0;
    /** Prompt tokens read in one step at most. */
    int m_chunkTokens = 0;
    /** Loads from the weight store that may start in a second, and run at once without slowing each other. */
    double m_loadsPerSecond = 0.0;
    int m_loadsAtOnce = 1;
    /** Time between the order to open a replica and its first request. */
    std::int64_t m_openMs = 0;
    /** Mean tokens of a prompt and of an answer. */
    std::int64_t m_usualPromptTokens = 0;
    std::int64_t m_usualAnswerTokens = 0;
    std::vector<ServedModel> m_models;
};

/** A service that routes lead to. */
struct CallService
{
    std::string m_name;
    std::string m_healthPath;
    /** Connections that one upstream accepts from all callers together. */
    int m_maxConnections = 0;
    /** Requests a second that a cold upstream bears; 0 when upstreams are never cold. */
    double m_coldPerSecond = 0.0;
    /** Set for services of model engines. */
    std::optional<StepModel> m_engines;
};

/** What a client may send, and how long it may take or stay idle. */
struct IngressLimits
{
    std::size_t m_maxHeaderBytes = 16'384;
    std::size_t m_maxBodyBytes = 4 * 1024 * 1024;
    std::int64_t m_headerTimeoutMs = 3'000;
    std::int64_t m_idleTimeoutMs = 15'000;
};

/** A customer: its name, its rank (which goes before the route's), its keys. */
struct CallWorkspace
{
    std::string m_name;
    std::optional<int> m_priority;
    std::vector<std::string> m_keys;
};

/** The operators' configuration, immutable once built. */
struct CallConfig
{
    std::int64_t m_version = 0;
    /** Revision of the store at which it was written; the only order of configurations. */
    std::uint64_t m_revision = 0;
    std::vector<CallRoute> m_routes;
    std::map<std::string, CallService> m_services;
    std::vector<CallWorkspace> m_workspaces;
    IngressLimits m_limits;

    /** Indices into m_routes by host and prefix, and into m_workspaces by key; made by indexConfig(). */
    std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>> m_routesByHost;
    std::unordered_map<std::string, std::size_t> m_workspaceByKey;
};

using CallConfigPtr = std::shared_ptr<const CallConfig>;

/** Fills the indices. */
void indexConfig(CallConfig &config);

/**
 * The route of @p host (any case, a port is ignored) with the longest prefix that begins @p path, or null. Costs one lookup for each
 * slash of the path, however many routes there are.
 */
const CallRoute *findRoute(const CallConfig &config, std::string_view host, std::string_view path);

/** The workspace that holds @p key, or null. */
const CallWorkspace *findWorkspace(const CallConfig &config, const std::string &key);

/** The service for a request, @p uniform being a random number in [0, 1); null when the route leads nowhere. */
const CallService *chooseService(const CallConfig &config, const CallRoute &route, double uniform);

/** The service of model engines, or null when no route leads to one. */
const CallService *engineService(const CallConfig &config);

/** The model called @p name, or null. */
const ServedModel *findModel(const CallService &service, std::string_view name);
}
