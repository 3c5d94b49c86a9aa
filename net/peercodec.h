#pragma once

#include "kernel/documents.h"
#include "kernel/membership.h"
#include "kernel/scheduler.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace knapweedslip
{
/** A report and its age. Receivers drop reports above an age limit, so that relayed reports do not circulate for ever. */
struct AgedReport
{
    UpstreamReport m_report;
    std::int64_t m_ageMs = 0;
};

/** A crash record and the age of its last change. */
struct AgedCrashRecord
{
    CrashRecord m_record;
    std::int64_t m_ageMs = 0;
};

/** The message that opens an exchange between two daemons, and the reply to it. */
struct HeartbeatMessage
{
    std::string m_sender;
    std::uint64_t m_viewIndex = 0;
    /** How long ago the sender's view was last confirmed, in ms; negative: never. */
    std::int64_t m_confirmationAgeMs = -1;
    /** The sender, and in a regular round a sample of the other daemons. */
    std::vector<Member> m_members;
    std::vector<AgedReport> m_reports;
    std::vector<AgedCrashRecord> m_crashRecords;
};

/** Requests the documents that were written after an index. */
struct DocumentsRequestMessage
{
    std::uint64_t m_since = 0;
};

using PeerMessage = std::variant<HeartbeatMessage, DocumentsRequestMessage, DocumentDelta>;

/** Returns @p message as a FlatBuffers buffer; the schema is wire/peer.fbs. */
std::string encodePeerMessage(const PeerMessage &message);
/** Returns an error ProtocolViolation when @p bytes fail verification, have no body or hold an enum value out of range. */
Result<PeerMessage> decodePeerMessage(const std::string &bytes);
}
