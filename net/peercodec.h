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
/** A report and its age, so that relayed news dies out. */
struct AgedReport
{
    UpstreamReport m_report;
    std::int64_t m_ageMs = 0;
};

/** A strike record and its age. */
struct AgedStrike
{
    CrashRecord m_record;
    std::int64_t m_ageMs = 0;
};

/** What a daemon tells a peer in each round, and the answer to it. */
struct HeartbeatMessage
{
    std::string m_sender;
    std::uint64_t m_viewIndex = 0;
    std::int64_t m_confirmationAgeMs = -1;
    std::vector<Member> m_members;
    std::vector<AgedReport> m_reports;
    std::vector<AgedStrike> m_strikes;
};

/** Asks for the documents after an index. */
struct DocumentsRequestMessage
{
    std::uint64_t m_since = 0;
};

using PeerMessage = std::variant<HeartbeatMessage, DocumentsRequestMessage, DocumentDelta>;

/** FlatBuffers form of @p message, see wire/peer.fbs. */
std::string encodePeerMessage(const PeerMessage &message);
/** Error ProtocolViolation when the bytes do not verify. */
Result<PeerMessage> decodePeerMessage(const std::string &bytes);
}
