#pragma once

#include "kernel/errors.h"
#include "kernel/pulse.h"

#include <string>

namespace knapweedslip
{
/** FlatBuffers form of @p pulse, see wire/pulse.fbs. */
std::string encodePulse(const DaemonPulse &pulse);
/** Error ProtocolViolation when the bytes do not verify. */
Result<DaemonPulse> decodePulse(const char *bytes, std::size_t size);
}
