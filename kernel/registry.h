#pragma once

#include "kernel/errors.h"

#include <string>
#include <string_view>
#include <vector>

namespace knapweedslip
{
/**
 * Plug-ins of one kind, found by name. A plug-in is a plain struct with m_name and m_help, registered by a static Registration in its
 * own file; the settings choose one by name.
 */
template<typename Plugin>
std::vector<Plugin> &pluginsOf()
{
    static std::vector<Plugin> plugins;
    return plugins;
}

template<typename Plugin>
struct Registration
{
    explicit Registration(const Plugin &plugin)
    {
        pluginsOf<Plugin>().push_back(plugin);
    }
};

template<typename Plugin>
Result<Plugin> findPlugin(std::string_view name)
{
    std::string known;
    for (const Plugin &plugin : pluginsOf<Plugin>()) {
        if (name == plugin.m_name) {
            return plugin;
        }
        known += (known.empty() ? "" : ", ") + std::string(plugin.m_name);
    }
    return Error{ErrorCode::InvalidSetting, "'" + std::string(name) + "' is not one of: " + known};
}
}
