#pragma once

#include "kernel/enumnames.h"
#include "kernel/errors.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedslip
{
/** Kind of a recorded event. Each kind states which fields of HistoryEvent it uses and what they hold. */
enum class HistoryKind {
    /** A caller sent request m_subject with idempotency key m_place (empty: without a key). */
    Invoke,
    /** VM m_place started request m_subject with idempotency key m_key; m_number requests run there now, and m_flag says whether it is cold. */
    Run,
    /** Request m_subject ended for its caller. m_place is its outcome, such as whole, broken, refused, not-run, ran or unknown; m_key is the received text. */
    Answer,
    /** Group m_place in generation m_number produced a token. */
    Token,
    /** VM m_subject died; it was a member of group m_place in generation m_number. */
    VmLost,
    /** VM m_subject accepted an order to join group m_place, with fencing token m_number. */
    Joined,
    /** Record m_place, written at store index m_number, puts VM m_subject into group m_key. An event with an empty VM starts a record. */
    Recorded,
    /** The store accepted a configuration with index m_number. */
    Accepted,
    /** Daemon m_subject applied the configuration with index m_number. */
    Adopted,
    /** Daemon m_subject, whose configuration has index m_number, dispatched a new request to zone or VM m_place. */
    Dispatched,
    /** Zone or VM m_place must receive no new requests from now on. */
    Closed,
    /** Zone or VM m_place may receive new requests again. */
    Opened,
    /** Daemon m_subject started a planned stop while it handled request m_place. */
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

/** Events, sorted by time. */
using HistoryEvents = std::vector<HistoryEvent>;

/** Descriptions of the violations that a checker found; empty when there are none. */
using Violations = std::vector<std::string>;

/** Checks that a group produces no token later than @p detectMs after one of its members died. */
Violations checkNoTokensAfterMemberLoss(const HistoryEvents &events, std::int64_t detectMs);
/** Checks that no VM is recorded in two groups and that none accepts an order with a lower fencing token after a higher one. */
Violations checkOneGroupPerVm(const HistoryEvents &events);
/** Checks that no cold upstream runs more than @p limit requests at once. */
Violations checkColdLimit(const HistoryEvents &events, std::uint64_t limit);
/** Checks that no request is dispatched to a closed zone or VM later than @p graceMs after it was closed. */
Violations checkNoDispatchWhileClosed(const HistoryEvents &events, std::int64_t graceMs);
/** Checks that every response reported as whole has the text that @p expected returns for its request. */
Violations checkCompleteResponses(const HistoryEvents &events, std::string (*expected)(const std::string &request));
/** Checks that a request whose caller was told "not-run" never ran. */
Violations checkNotRun(const HistoryEvents &events);
/** Checks that each idempotency key ran at most once. */
Violations checkAtMostOnce(const HistoryEvents &events);
/** Checks that no request in progress at a planned stop ended as broken. */
Violations checkPlannedStop(const HistoryEvents &events);
/** Checks that a daemon's index never decreases and that no daemon dispatches with an older index later than @p withinMs after a newer one was accepted. */
Violations checkConfiguration(const HistoryEvents &events, std::int64_t withinMs);

/** Returns the events as JSON, one object per line. */
std::string encodeHistory(const HistoryEvents &events);
/** Returns the events of @p text sorted by time, or MalformedRequest with the number of the first invalid line. */
Result<HistoryEvents> decodeHistory(const std::string &text);
}
