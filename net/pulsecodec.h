#pragma once

#include "kernel/errors.h"
#include "kernel/loadreport.h"

#include <string>

namespace knapweedslip
{
/** Returns a load report as a FlatBuffers buffer; the schema is wire/pulse.fbs. */
std::string encodePulse(const DaemonLoadReport &pulse);
/** Returns an error ProtocolViolation when the bytes fail verification. */
Result<DaemonLoadReport> decodePulse(const char *bytes, std::size_t size);
}
