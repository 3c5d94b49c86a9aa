// Problem: load reports arrive over UDP from other processes and may be malformed.
// Approach: FlatBuffers, with its verifier run before any access, converted to plain structs. Reading an unverified buffer could crash.

#include "net/loadreportcodec.h"

#include "net/crashcodec.h"
#include "wire/pulse_generated.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace knapweedslip
{
namespace
{
std::uint16_t clampToUint16(int count)
{
    return static_cast<std::uint16_t>(std::clamp(count, 0, static_cast<int>(std::numeric_limits<std::uint16_t>::max())));
}

/** Offered work is sent in hundredths of a slot: a small daemon is offered few requests. */
constexpr double CentislotsPerSlot = 100.0;

/** Ranks without demand are left out. */
flatbuffers::Offset<wire::ModelDemand> encodeDemand(flatbuffers::FlatBufferBuilder &builder, std::uint64_t model, const RankWork &work)
{
    std::vector<wire::RankDemand> ranks;
    for (std::size_t rank = 0; rank < work.size(); ++rank) {
        const double most = std::numeric_limits<std::uint16_t>::max();
        const std::uint16_t centislots = static_cast<std::uint16_t>(std::lround(std::clamp(work[rank] * CentislotsPerSlot, 0.0, most)));
        if (centislots > 0) {
            ranks.emplace_back(static_cast<std::uint8_t>(rank), centislots);
        }
    }
    return wire::CreateModelDemand(builder, model, builder.CreateVectorOfStructs(ranks));
}

void decodeDemand(const wire::ModelDemand &model, RankWork &work)
{
    if (model.ranks() == nullptr) {
        return;
    }
    for (const wire::RankDemand *rank : *model.ranks()) {
        // A rank that is not known here comes from a later version.
        if (rank->rank() < work.size()) {
            work[rank->rank()] = rank->centislots() / CentislotsPerSlot;
        }
    }
}
}

std::string encodeLoadReport(const DaemonLoadReport &report)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<wire::GroupPulse>> groups;
    for (const GroupLoadReport &group : report.m_groups) {
        groups.push_back(wire::CreateGroupPulse(builder,
                                                group.m_epoch,
                                                clampToUint16(group.m_load.m_decoding),
                                                clampToUint16(group.m_load.m_waiting),
                                                static_cast<float>(group.m_load.m_pendingPrefillMs),
                                                static_cast<std::uint32_t>(std::max<std::int64_t>(0, group.m_load.m_contextTokens)),
                                                static_cast<std::int32_t>(group.m_progressAgeMs),
                                                group.m_silent));
    }
    std::vector<wire::Departure> departures;
    for (const Departure &departure : report.m_departures) {
        const std::int64_t ageMs = std::clamp<std::int64_t>(departure.m_ageMs, 0, std::numeric_limits<std::uint32_t>::max());
        departures.emplace_back(departure.m_lifetime, static_cast<std::uint32_t>(ageMs), static_cast<std::uint8_t>(departure.m_source));
    }
    std::vector<flatbuffers::Offset<wire::ModelDemand>> demand;
    for (const std::pair<const std::uint64_t, RankWork> &model : report.m_demand) {
        demand.push_back(encodeDemand(builder, model.first, model.second));
    }
    const std::int64_t answeredForMs = std::clamp<std::int64_t>(report.m_answeredForMs, 0, std::numeric_limits<std::uint32_t>::max());
    const std::int32_t proofAgeMs = static_cast<std::int32_t>(std::clamp<std::int64_t>(report.m_proofAgeMs, -1, std::numeric_limits<std::int32_t>::max()));
    builder.Finish(wire::CreatePulse(builder,
                                     builder.CreateString(report.m_sender),
                                     report.m_number,
                                     report.m_serving,
                                     builder.CreateVector(groups),
                                     encodeCrashItems(builder, report.m_crashes),
                                     report.m_crashesOnly,
                                     builder.CreateVectorOfStructs(departures),
                                     proofAgeMs,
                                     static_cast<std::uint32_t>(answeredForMs),
                                     builder.CreateVector(demand)));
    return std::string(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
}

Result<DaemonLoadReport> decodeLoadReport(const char *bytes, std::size_t size)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes), size);
    if (!wire::VerifyPulseBuffer(verifier)) {
        return Error{ErrorCode::ProtocolViolation, "load report fails verification"};
    }
    const wire::Pulse *root = wire::GetPulse(bytes);
    DaemonLoadReport report;
    report.m_sender = root->sender() == nullptr ? std::string() : root->sender()->str();
    report.m_number = root->number();
    report.m_serving = root->serving();
    if (root->groups() != nullptr) {
        for (const wire::GroupPulse *group : *root->groups()) {
            GroupLoadReport decoded;
            decoded.m_epoch = group->epoch();
            decoded.m_load.m_decoding = group->writing();
            decoded.m_load.m_waiting = group->waiting();
            decoded.m_load.m_pendingPrefillMs = group->unread_ms();
            decoded.m_load.m_contextTokens = group->context_tokens();
            decoded.m_progressAgeMs = group->progress_age_ms();
            decoded.m_silent = group->silent();
            report.m_groups.push_back(decoded);
        }
    }
    if (root->departures() != nullptr) {
        for (const wire::Departure *departure : *root->departures()) {
            // A source that is not known here comes from a later version.
            if (departure->source() < DepartureSourceNames.size()) {
                report.m_departures.push_back({departure->lifetime(), static_cast<DepartureSource>(departure->source()), departure->age_ms()});
            }
        }
    }
    if (root->demand() != nullptr) {
        for (const wire::ModelDemand *model : *root->demand()) {
            decodeDemand(*model, report.m_demand[model->model()]);
        }
    }
    report.m_proofAgeMs = root->proof_age_ms();
    report.m_answeredForMs = root->answered_for_ms();
    report.m_crashes = decodeCrashItems(root->crashes());
    report.m_crashesOnly = root->crashes_only();
    return report;
}
}
