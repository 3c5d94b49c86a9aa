#pragma once

#include "kernel/crashledger.h"
#include "kernel/errors.h"

#include <flatbuffers/flatbuffers.h>

#include <string>
#include <vector>

namespace knapweedslip
{
namespace wire
{
struct Crash;
}
using CrashItems = flatbuffers::Vector<flatbuffers::Offset<wire::Crash>>;

/** Adds @p observations to a message that is being built. */
flatbuffers::Offset<CrashItems> encodeCrashItems(flatbuffers::FlatBufferBuilder &builder, const std::vector<CrashObservation> &observations);
/** Decodes the field of a verified message; null counts as empty. */
std::vector<CrashObservation> decodeCrashItems(const CrashItems *items);

/** Encodes @p observations as they are stored. */
std::string encodeCrashes(const std::vector<CrashObservation> &observations);
/** Fails with ProtocolViolation if @p bytes are not what encodeCrashes() returns. */
Result<std::vector<CrashObservation>> decodeCrashes(const std::string &bytes);
}
