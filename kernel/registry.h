#pragma once

#include "kernel/errors.h"

#include <string>
#include <string_view>
#include <vector>

namespace knapweedslip
{
/**
 * Returns the registered plug-ins of one type. A plug-in is a plain struct with m_name and m_help, registered by a static Registration in its
 * own source file; the settings select one by name.
 */
template<typename Plugin>
std::vector<Plugin> &registeredPlugins()
{
    static std::vector<Plugin> plugins;
    return plugins;
}

/** Registers a plug-in when a static instance is constructed. */
template<typename Plugin>
struct Registration
{
    explicit Registration(const Plugin &plugin)
    {
        registeredPlugins<Plugin>().push_back(plugin);
    }
};

/** Returns the plug-in called @p name, or an error that lists the registered names. */
template<typename Plugin>
Result<Plugin> findPlugin(std::string_view name)
{
    std::string known;
    for (const Plugin &plugin : registeredPlugins<Plugin>()) {
        if (name == plugin.m_name) {
            return plugin;
        }
        known += (known.empty() ? "" : ", ") + std::string(plugin.m_name);
    }
    return Error{ErrorCode::InvalidSetting, "'" + std::string(name) + "' is not one of: " + known};
}
}
