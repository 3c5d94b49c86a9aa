#pragma once

#include "kernel/errors.h"
#include "kernel/loadreport.h"

#include <string>

namespace knapweedslip
{
/** FlatBuffers form of @p pulse, see wire/pulse.fbs. */
std::string encodePulse(const DaemonLoadReport &pulse);
/** Error ProtocolViolation when the bytes do not verify. */
Result<DaemonLoadReport> decodePulse(const char *bytes, std::size_t size);
}
