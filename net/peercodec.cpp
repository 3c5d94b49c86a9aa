// Problem: daemons exchange typed messages, and bytes from the network must not be trusted.
// Approach: FlatBuffers, with its verifier run before any access. Only this file converts between the buffers and the kernel's structs.
// Reading an unverified buffer would let one faulty peer crash the others.

#include "net/peercodec.h"

#include "wire/peer_generated.h"

namespace knapweedslip
{
namespace
{
wire::EnvelopeT toWire(const HeartbeatMessage &message)
{
    wire::HeartbeatT heartbeat;
    heartbeat.sender = message.m_sender;
    heartbeat.view_index = message.m_viewIndex;
    heartbeat.confirmation_age_ms = message.m_confirmationAgeMs;
    for (const Member &member : message.m_members) {
        std::unique_ptr<wire::MemberT> item = std::make_unique<wire::MemberT>();
        item->name = member.m_name;
        item->role = static_cast<wire::Role>(member.m_role);
        item->zone = member.m_availabilityZone;
        item->incarnation = member.m_incarnation;
        item->heartbeat = member.m_heartbeat;
        item->view_index = member.m_viewIndex;
        item->ready = member.m_ready;
        item->leaving = member.m_leaving;
        item->synced = member.m_synced;
        item->age_ms = static_cast<std::uint32_t>(member.m_ageMs);
        heartbeat.members.push_back(std::move(item));
    }
    for (const AgedReport &report : message.m_reports) {
        std::unique_ptr<wire::ReportT> item = std::make_unique<wire::ReportT>();
        item->upstream = report.m_report.m_upstream;
        item->generation = report.m_report.m_generation;
        item->kind = static_cast<wire::ReportKind>(report.m_report.m_kind);
        item->age_ms = static_cast<std::uint32_t>(report.m_ageMs);
        heartbeat.reports.push_back(std::move(item));
    }
    for (const AgedCrashRecord &crashRecord : message.m_crashRecords) {
        std::unique_ptr<wire::StrikeT> item = std::make_unique<wire::StrikeT>();
        item->fingerprint = crashRecord.m_record.m_fingerprint;
        item->alone = crashRecord.m_record.m_isolatedCrashes;
        item->crowd = crashRecord.m_record.m_sharedCrashes;
        item->age_ms = static_cast<std::uint32_t>(crashRecord.m_ageMs);
        heartbeat.strikes.push_back(std::move(item));
    }
    wire::EnvelopeT envelope;
    envelope.body.Set(std::move(heartbeat));
    return envelope;
}

wire::EnvelopeT toWire(const DocumentsRequestMessage &message)
{
    wire::DocumentsRequestT request;
    request.since = message.m_since;
    wire::EnvelopeT envelope;
    envelope.body.Set(request);
    return envelope;
}

wire::EnvelopeT toWire(const DocumentDelta &delta)
{
    wire::DocumentsT documents;
    documents.since = delta.m_sinceIndex;
    documents.index = delta.m_index;
    documents.confirmation_age_ms = delta.m_confirmationAgeMs;
    for (const Document &document : delta.m_documents) {
        std::unique_ptr<wire::StoredDocumentT> item = std::make_unique<wire::StoredDocumentT>();
        item->key = document.m_key;
        item->modify_index = document.m_modifyIndex;
        item->value = document.m_value;
        documents.documents.push_back(std::move(item));
    }
    wire::EnvelopeT envelope;
    envelope.body.Set(std::move(documents));
    return envelope;
}

PeerMessage fromWire(const wire::HeartbeatT &heartbeat)
{
    HeartbeatMessage message;
    message.m_sender = heartbeat.sender;
    message.m_viewIndex = heartbeat.view_index;
    message.m_confirmationAgeMs = heartbeat.confirmation_age_ms;
    for (const std::unique_ptr<wire::MemberT> &item : heartbeat.members) {
        Member member;
        member.m_name = item->name;
        member.m_role = static_cast<Role>(item->role);
        member.m_availabilityZone = item->zone;
        member.m_incarnation = item->incarnation;
        member.m_heartbeat = item->heartbeat;
        member.m_viewIndex = item->view_index;
        member.m_ready = item->ready;
        member.m_leaving = item->leaving;
        member.m_synced = item->synced;
        member.m_ageMs = item->age_ms;
        message.m_members.push_back(std::move(member));
    }
    for (const std::unique_ptr<wire::ReportT> &item : heartbeat.reports) {
        message.m_reports.push_back({UpstreamReport{item->upstream, item->generation, static_cast<ReportKind>(item->kind)}, item->age_ms});
    }
    for (const std::unique_ptr<wire::StrikeT> &item : heartbeat.strikes) {
        message.m_crashRecords.push_back({CrashRecord{item->fingerprint, item->alone, item->crowd, 0, -1}, item->age_ms});
    }
    return message;
}

PeerMessage fromWire(const wire::DocumentsT &documents)
{
    DocumentDelta delta;
    delta.m_sinceIndex = documents.since;
    delta.m_index = documents.index;
    delta.m_confirmationAgeMs = documents.confirmation_age_ms;
    for (const std::unique_ptr<wire::StoredDocumentT> &item : documents.documents) {
        delta.m_documents.push_back({item->key, item->modify_index, item->value});
    }
    return delta;
}

bool areEnumsInRange(const wire::HeartbeatT &heartbeat)
{
    for (const std::unique_ptr<wire::MemberT> &item : heartbeat.members) {
        if (item->role < wire::Role::MIN || item->role > wire::Role::MAX) {
            return false;
        }
    }
    for (const std::unique_ptr<wire::ReportT> &item : heartbeat.reports) {
        if (item->kind < wire::ReportKind::MIN || item->kind > wire::ReportKind::MAX) {
            return false;
        }
    }
    return true;
}
}

std::string encodePeerMessage(const PeerMessage &message)
{
    const wire::EnvelopeT envelope = std::visit(
        [](const auto &body) {
            return toWire(body);
        },
        message);
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(wire::Envelope::Pack(builder, &envelope));
    return std::string(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
}

Result<PeerMessage> decodePeerMessage(const std::string &bytes)
{
    const std::uint8_t *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<wire::Envelope>(nullptr)) {
        return Error{ErrorCode::ProtocolViolation, "peer message fails verification"};
    }
    wire::EnvelopeT envelope;
    flatbuffers::GetRoot<wire::Envelope>(data)->UnPackTo(&envelope);
    if (const wire::HeartbeatT *heartbeat = envelope.body.AsHeartbeat()) {
        if (!areEnumsInRange(*heartbeat)) {
            return Error{ErrorCode::ProtocolViolation, "peer message has an unknown role or report kind"};
        }
        return fromWire(*heartbeat);
    }
    if (const wire::DocumentsRequestT *request = envelope.body.AsDocumentsRequest()) {
        return PeerMessage(DocumentsRequestMessage{request->since});
    }
    if (const wire::DocumentsT *documents = envelope.body.AsDocuments()) {
        return fromWire(*documents);
    }
    return Error{ErrorCode::ProtocolViolation, "peer message without a body"};
}
}
