// Problem: load reports arrive over UDP from other processes and may be malformed.
// Approach: FlatBuffers, with its verifier run before any access, converted to plain structs. Reading an unverified buffer could crash.

#include "net/pulsecodec.h"

#include "wire/pulse_generated.h"

#include <algorithm>
#include <limits>

namespace knapweedslip
{
namespace
{
std::uint16_t shortCount(int count)
{
    return static_cast<std::uint16_t>(std::clamp(count, 0, static_cast<int>(std::numeric_limits<std::uint16_t>::max())));
}
}

std::string encodePulse(const DaemonLoadReport &pulse)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<wire::GroupPulse>> groups;
    for (const GroupLoadReport &group : pulse.m_groups) {
        groups.push_back(wire::CreateGroupPulse(builder,
                                                group.m_epoch,
                                                shortCount(group.m_load.m_decoding),
                                                shortCount(group.m_load.m_waiting),
                                                static_cast<float>(group.m_load.m_pendingPrefillMs),
                                                static_cast<std::uint32_t>(std::max<std::int64_t>(0, group.m_load.m_contextTokens)),
                                                static_cast<std::int32_t>(group.m_progressAgeMs),
                                                group.m_silent));
    }
    builder.Finish(wire::CreatePulse(builder, builder.CreateString(pulse.m_sender), pulse.m_number, pulse.m_serving, builder.CreateVector(groups)));
    return std::string(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
}

Result<DaemonLoadReport> decodePulse(const char *bytes, std::size_t size)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes), size);
    if (!wire::VerifyPulseBuffer(verifier)) {
        return Error{ErrorCode::ProtocolViolation, "load report fails verification"};
    }
    const wire::Pulse *read = wire::GetPulse(bytes);
    DaemonLoadReport pulse;
    pulse.m_sender = read->sender() == nullptr ? std::string() : read->sender()->str();
    pulse.m_number = read->number();
    pulse.m_serving = read->serving();
    if (read->groups() != nullptr) {
        for (const wire::GroupPulse *group : *read->groups()) {
            GroupLoadReport decoded;
            decoded.m_epoch = group->epoch();
            decoded.m_load.m_decoding = group->writing();
            decoded.m_load.m_waiting = group->waiting();
            decoded.m_load.m_pendingPrefillMs = group->unread_ms();
            decoded.m_load.m_contextTokens = group->context_tokens();
            decoded.m_progressAgeMs = group->progress_age_ms();
            decoded.m_silent = group->silent();
            pulse.m_groups.push_back(decoded);
        }
    }
    return pulse;
}
}
