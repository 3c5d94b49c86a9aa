#pragma once

#include "kernel/errors.h"
#include "kernel/loadreport.h"

#include <string>

namespace knapweedslip
{
/** Returns a load report as a FlatBuffers buffer; the schema is wire/pulse.fbs. */
std::string encodeLoadReport(const DaemonLoadReport &report);
/** Returns an error ProtocolViolation when the bytes fail verification. */
Result<DaemonLoadReport> decodeLoadReport(const char *bytes, std::size_t size);
}
