// Problem: daemons accept every configuration that they can decode, so a mistake of the operators shows only in the answers to callers.
// Approach: checks over the decoded configuration before it is sent. They use the lookups and the latency model of the daemons themselves.
// Checks in the daemons would come too late: by then the configuration is in force.

#include "kernel/configcheck.h"

#include "kernel/latencymodel.h"

#include <algorithm>
#include <cmath>

namespace knapweedslip
{
namespace
{
constexpr int LowestPriority = 9;
/** Shares are given with two decimals. The rounding errors of a few models add up to less than this. */
constexpr double ShareTolerance = 0.02;

/** The configuration and the findings about it so far. */
struct Checker
{
    const CallConfig &m_config;
    ConfigFindings m_findings;

    void error(const std::string &place, const std::string &text)
    {
        m_findings.push_back({ConfigFindingKind::Error, place, text});
    }

    void neverMatches(const std::string &place, const std::string &text)
    {
        m_findings.push_back({ConfigFindingKind::NeverMatches, place, text});
    }

    void contradiction(const std::string &place, const std::string &text)
    {
        m_findings.push_back({ConfigFindingKind::Contradiction, place, text});
    }
};

std::string milliseconds(double ms)
{
    const std::string digits = std::to_string(std::ceil(ms));
    return digits.substr(0, digits.find('.')) + " ms";
}

void checkPriority(Checker &checker, const std::string &place, int priority)
{
    if (priority < 0 || priority > LowestPriority) {
        checker.contradiction(place, "the priority is " + std::to_string(priority) + "; choose one from 0 (most urgent) to 9");
    }
}

void checkPrefix(Checker &checker, const std::string &place, const CallRoute &route)
{
    const std::string &prefix = route.m_pathPrefix;
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
        checker.neverMatches(place, "the path prefix '" + prefix + "' matches no request; begin and end it with a slash");
        return;
    }
    const CallRoute *found = findRoute(checker.m_config, route.m_host, prefix);
    if (found != &route) {
        checker.neverMatches(place, "route " + found->m_name + " has the same host and path prefix and gets all requests; change or remove one of them");
    }
}

void checkLimits(Checker &checker, const std::string &place, const CallRoute &route)
{
    if (route.m_timeoutMs > 0 && route.m_timeoutMs < route.m_latencyTargetMs) {
        checker.contradiction(place,
                              "the timeout of " + std::to_string(route.m_timeoutMs) + " ms is below the latency target of "
                                  + std::to_string(route.m_latencyTargetMs) + " ms; raise the timeout or lower the target");
    }
    if (route.m_maxAttempts < 1) {
        checker.contradiction(place, "the maximum number of attempts is " + std::to_string(route.m_maxAttempts) + "; set it to 1 or more");
    }
    checkPriority(checker, place, route.m_priority);
}

/** Compares @p targetMs with the time that an idle replica needs; 0 means no target. */
void checkTarget(Checker &checker, const CallRoute &route, const std::string &model, const char *target, std::int64_t targetMs, double neededMs)
{
    if (targetMs > 0 && static_cast<double>(targetMs) < neededMs) {
        checker.contradiction("route " + route.m_name,
                              std::string("the ") + target + " target of " + std::to_string(targetMs) + " ms cannot be met: an idle replica of " + model
                                  + " needs " + milliseconds(neededMs) + " for a mean prompt; raise the target");
    }
}

void checkEngines(Checker &checker, const CallRoute &route, const CallService &service)
{
    if (!service.m_engines) {
        // A plain service may stream too; there is nothing to compare its targets with.
        return;
    }
    const EngineTiming &engines = *service.m_engines;
    ReplicaLoad alone;
    alone.m_decoding = 1;
    alone.m_contextTokens = engines.m_meanPromptTokens;
    for (const ServedModel &model : engines.m_models) {
        const std::string name = "model " + model.m_name + " of service " + service.m_name;
        const double firstMs = firstEventMs(engines, {}, engines.m_meanPromptTokens, model.m_pace);
        checkTarget(checker, route, name, "latency", route.m_latencyTargetMs, firstMs);
        checkTarget(checker, route, name, "pause", route.m_interTokenTargetMs, eventPauseMs(engines, alone, model.m_pace));
    }
}

void checkRoute(Checker &checker, const CallRoute &route)
{
    const std::string place = "route " + route.m_name;
    checkPrefix(checker, place, route);
    checkLimits(checker, place, route);
    if (route.m_targets.empty()) {
        checker.neverMatches(place, "it has no target service; add one");
    }
    for (const RouteTarget &target : route.m_targets) {
        const auto service = checker.m_config.m_services.find(target.m_service);
        if (service == checker.m_config.m_services.end()) {
            checker.neverMatches(place, "the target service " + target.m_service + " does not exist; correct its name or add the service");
        } else if (target.m_weight == 0) {
            checker.neverMatches(place, "the target service " + target.m_service + " has weight 0 and gets no requests; remove it or raise its weight");
        } else if (route.m_kind == CallKind::Streaming) {
            checkEngines(checker, route, service->second);
        }
    }
}

void checkService(Checker &checker, const CallService &service)
{
    const std::string place = "service " + service.m_name;
    const bool isTarget = std::any_of(checker.m_config.m_routes.begin(), checker.m_config.m_routes.end(), [&service](const CallRoute &route) {
        return std::any_of(route.m_targets.begin(), route.m_targets.end(), [&service](const RouteTarget &target) {
            return target.m_service == service.m_name;
        });
    });
    if (!isTarget) {
        checker.neverMatches(place, "no route reaches it; add a route or remove the service");
    }
    if (!service.m_engines || service.m_engines->m_models.empty()) {
        return;
    }
    double shares = 0.0;
    for (const ServedModel &model : service.m_engines->m_models) {
        shares += model.m_workShare;
    }
    if (std::abs(shares - 1.0) > ShareTolerance) {
        checker.contradiction(place, "the shares of its models add up to " + std::to_string(shares) + "; make them add up to 1");
    }
}

void checkWorkspace(Checker &checker, std::size_t index)
{
    const CallWorkspace &workspace = checker.m_config.m_workspaces[index];
    const std::string place = "workspace " + workspace.m_name;
    checkPriority(checker, place, workspace.m_priority.value_or(0));
    for (std::size_t k = 0; k < workspace.m_keys.size(); ++k) {
        const std::size_t holder = checker.m_config.m_workspaceByKey.at(workspace.m_keys[k]);
        if (holder != index) {
            checker.neverMatches(place,
                                 "its key number " + std::to_string(k + 1) + " is also one of workspace " + checker.m_config.m_workspaces[holder].m_name
                                     + ", which gets all requests with it; remove it from one of them");
        }
    }
}
}

ConfigFindings checkConfig(const CallConfig &config)
{
    Checker checker{config, {}};
    for (const CallRoute &route : config.m_routes) {
        checkRoute(checker, route);
    }
    for (const std::pair<const std::string, CallService> &entry : config.m_services) {
        checkService(checker, entry.second);
    }
    for (std::size_t i = 0; i < config.m_workspaces.size(); ++i) {
        checkWorkspace(checker, i);
    }
    return checker.m_findings;
}

ConfigFindings checkVersionRises(std::int64_t version, std::int64_t inForce)
{
    if (version > inForce) {
        return {};
    }
    const std::string text = "version " + std::to_string(version) + " is not above " + std::to_string(inForce) + ", which is in force; give it a higher number";
    return {{ConfigFindingKind::Error, "configuration", text}};
}
}
