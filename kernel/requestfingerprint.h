#pragma once

#include <cstdint>
#include <string_view>

namespace knapweedslip
{
/**
 * Identifies a request by what it asks for: two requests of one workspace with the same target and body have the same fingerprint, although each
 * attempt of a client has an id of its own. It is the same on every daemon, so it may be sent and stored. Costs one hash of the body.
 */
std::uint64_t requestFingerprint(std::string_view workspace, std::string_view target, std::string_view body);
}
