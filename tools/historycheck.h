#pragma once

#include "kernel/enumnames.h"
#include "kernel/errors.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedslip
{
/** What a history records. The meaning of subject, place and number is given for each kind. */
enum class HistoryKind {
    /** A caller sent request m_subject with idempotency key m_place (or none). */
    Invoke,
    /** An upstream began to run: m_subject request, m_place VM, m_key idempotency key, m_number requests running there, m_flag cold. */
    Run,
    /** A caller got the end of m_subject; m_place is whole, broken, refused, not-run, ran or unknown; m_key is the text it got. */
    Answer,
    /** A group gave a token: m_place group, m_number generation. */
    Token,
    /** VM m_subject died; it was a member of group m_place in generation m_number. */
    VmLost,
    /** VM m_subject took an order for group m_place with fencing number m_number. */
    Joined,
    /** The record m_place puts VM m_subject into group m_key; m_number is the store's index. An empty VM begins a record. */
    Recorded,
    /** A configuration with index m_number was accepted. */
    Accepted,
    /** Daemon m_subject put index m_number in force. */
    Adopted,
    /** Daemon m_subject dispatched new work under index m_number to an upstream in zone or VM m_place. */
    Dispatched,
    /** Zone or VM m_place must take no new work from now on. */
    Closed,
    /** Zone or VM m_place may take new work again. */
    Opened,
    /** Daemon m_subject began a planned stop while request m_place was in progress there. */
    StopBegan,
};

inline constexpr EnumNames<13> HistoryKindNames{
    "invoke", "run", "answer", "token", "vm-lost", "joined", "recorded", "accepted", "adopted", "dispatched", "closed", "opened", "stop-began"};

struct HistoryEvent
{
    std::int64_t m_atMs = 0;
    HistoryKind m_kind = HistoryKind::Invoke;
    std::string m_subject;
    std::string m_place;
    std::string m_key;
    std::uint64_t m_number = 0;
    bool m_flag = false;
};

/** Events in order of time. */
using HistoryEvents = std::vector<HistoryEvent>;

/** What a checker found wrong; empty when the promise held. */
using Violations = std::vector<std::string>;

/** No token of a group later than @p detectMs after one of its members died. */
Violations checkWholeGroups(const HistoryEvents &events, std::int64_t detectMs);
/** No VM is recorded in two groups, and none takes an order with a lower fencing number after a higher one. */
Violations checkOneGroupPerVm(const HistoryEvents &events);
/** No cold upstream runs more than @p limit requests. */
Violations checkColdLimit(const HistoryEvents &events, std::uint64_t limit);
/** No new work for a closed zone or VM later than @p graceMs after it was closed. */
Violations checkClosedPlaces(const HistoryEvents &events, std::int64_t graceMs);
/** Every answer called whole is the text expected for its request, @p expected by request. */
Violations checkWholeAnswers(const HistoryEvents &events, std::string (*expected)(const std::string &request));
/** A request whose caller was told "not run" never ran. */
Violations checkNotRun(const HistoryEvents &events);
/** At most one run for each idempotency key. */
Violations checkAtMostOnce(const HistoryEvents &events);
/** No request in progress at a planned stop ended broken. */
Violations checkPlannedStop(const HistoryEvents &events);
/** A daemon's index never goes down, and no daemon dispatches later than @p withinMs after an acceptance with a lower index. */
Violations checkConfiguration(const HistoryEvents &events, std::int64_t withinMs);

/** One JSON object a line. */
std::string encodeHistory(const HistoryEvents &events);
Result<HistoryEvents> decodeHistory(const std::string &text);
}
