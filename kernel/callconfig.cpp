// Problem: every request looks up its route among hundreds, and its workspace by key, on a small VM.
// Approach: an immutable configuration with hash indices. A path is looked up by each of its prefixes that end in a slash, longest first.
// Comparing the path with every route would make the cost of each request grow with the number of routes.

#include "kernel/callconfig.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
std::string normalizeHost(std::string_view host)
{
    std::string normal(host.substr(0, host.find(':')));
    std::transform(normal.begin(), normal.end(), normal.begin(), [](unsigned char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : static_cast<char>(c);
    });
    return normal;
}
}

bool supersedes(const CallConfig &candidate, const CallConfig &current)
{
    const bool isLaterEra = candidate.m_position.m_era > current.m_position.m_era;
    return candidate.m_position > current.m_position && (!isLaterEra || candidate.m_version >= current.m_version);
}

void indexConfig(CallConfig &config)
{
    config.m_routesByHost.clear();
    config.m_workspaceByKey.clear();
    for (std::size_t i = 0; i < config.m_routes.size(); ++i) {
        const CallRoute &route = config.m_routes[i];
        config.m_routesByHost[normalizeHost(route.m_host)].emplace(route.m_pathPrefix, i);
    }
    for (std::size_t i = 0; i < config.m_workspaces.size(); ++i) {
        for (const std::string &key : config.m_workspaces[i].m_keys) {
            config.m_workspaceByKey.emplace(key, i);
        }
    }
}

const CallRoute *findRoute(const CallConfig &config, std::string_view host, std::string_view path)
{
    const auto routes = config.m_routesByHost.find(normalizeHost(host));
    if (routes == config.m_routesByHost.end()) {
        return nullptr;
    }
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        const auto found = routes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != routes->second.end()) {
            return &config.m_routes[found->second];
        }
        if (slash == 0) {
            break;
        }
    }
    return nullptr;
}

const CallWorkspace *findWorkspace(const CallConfig &config, const std::string &key)
{
    const auto found = config.m_workspaceByKey.find(key);
    return found == config.m_workspaceByKey.end() ? nullptr : &config.m_workspaces[found->second];
}

const CallService *chooseService(const CallConfig &config, const CallRoute &route, double uniform)
{
    int total = 0;
    for (const RouteTarget &target : route.m_targets) {
        total += target.m_weight;
    }
    double remaining = uniform * total;
    for (const RouteTarget &target : route.m_targets) {
        remaining -= target.m_weight;
        if (remaining < 0.0) {
            const auto found = config.m_services.find(target.m_service);
            return found == config.m_services.end() ? nullptr : &found->second;
        }
    }
    return nullptr;
}

const CallService *findEngineService(const CallConfig &config)
{
    for (const std::pair<const std::string, CallService> &entry : config.m_services) {
        if (entry.second.m_engines && !entry.second.m_engines->m_models.empty()) {
            return &entry.second;
        }
    }
    return nullptr;
}

const ServedModel *findModel(const CallService &service, std::string_view name)
{
    if (!service.m_engines) {
        return nullptr;
    }
    for (const ServedModel &model : service.m_engines->m_models) {
        if (model.m_name == name) {
            return &model;
        }
    }
    return nullptr;
}
}
