// Problem: observations of upstreams that ended come from other processes and from the store, and may be malformed.
// Approach: FlatBuffers, with its verifier run before any access, converted to plain structs. Load reports use the same items.

#include "net/crashcodec.h"

#include "wire/crashes_generated.h"

#include <algorithm>
#include <limits>

namespace knapweedslip
{
namespace
{
std::uint32_t wireMs(std::int64_t ms)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(ms, 0, std::numeric_limits<std::uint32_t>::max()));
}
}

flatbuffers::Offset<CrashItems> encodeCrashItems(flatbuffers::FlatBufferBuilder &builder, const std::vector<CrashObservation> &observations)
{
    std::vector<flatbuffers::Offset<wire::Crash>> items;
    for (const CrashObservation &observation : observations) {
        const std::uint32_t lagMs = wireMs(observation.m_lagMs);
        const std::uint32_t runMs = wireMs(observation.m_runMs);
        items.push_back(wire::CreateCrash(builder,
                                          observation.m_suspect,
                                          observation.m_upstream,
                                          wireMs(observation.m_ageMs),
                                          observation.m_refuted,
                                          observation.m_unconfirmed,
                                          lagMs,
                                          runMs));
    }
    return builder.CreateVector(items);
}

std::vector<CrashObservation> decodeCrashItems(const CrashItems *items)
{
    std::vector<CrashObservation> observations;
    if (items != nullptr) {
        for (const wire::Crash *item : *items) {
            observations.push_back({item->suspect(), item->upstream(), item->age_ms(), item->refuted(), item->unconfirmed(), item->lag_ms(), item->run_ms()});
        }
    }
    return observations;
}

std::string encodeCrashes(const std::vector<CrashObservation> &observations)
{
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::CreateCrashes(builder, encodeCrashItems(builder, observations)));
    return std::string(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
}

Result<std::vector<CrashObservation>> decodeCrashes(const std::string &bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    if (!wire::VerifyCrashesBuffer(verifier)) {
        return Error{ErrorCode::ProtocolViolation, "crash observations fail verification"};
    }
    return decodeCrashItems(wire::GetCrashes(bytes.data())->items());
}
}
