#pragma once

#include "kernel/callconfig.h"
#include "kernel/enumnames.h"

#include <string>
#include <vector>

namespace knapweedslip
{
enum class ConfigFindingKind {
    Error,
    /** An entry that no request ever reaches. */
    NeverMatches,
    /** Limits that cannot be met together. */
    Contradiction,
    /** A change from the version in force, which is not a mistake. */
    Difference,
};

inline constexpr EnumNames<4> ConfigFindingKindNames{"error", "never-matches", "contradiction", "difference"};

/** A finding about the operators' configuration. Never holds an API key. */
struct ConfigFinding
{
    ConfigFindingKind m_kind = ConfigFindingKind::Error;
    /** The entry by its name, for example "route search". */
    std::string m_place;
    /** What is wrong, and what to do. */
    std::string m_text;
};

using ConfigFindings = std::vector<ConfigFinding>;

/** Returns the mistakes of the decoded and indexed @p config: entries that can never match and limits that contradict each other. */
ConfigFindings checkConfig(const CallConfig &config);

/** Returns a finding if @p version is not above @p inForce. */
ConfigFindings checkVersionRises(std::int64_t version, std::int64_t inForce);
}
