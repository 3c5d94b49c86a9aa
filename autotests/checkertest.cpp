// Guards against a checker that misses violations or reports them for a valid history.

#include "tools/historycheck.h"

#include <catch2/catch.hpp>

using namespace knapweedslip;

namespace
{
std::string expected(const std::string &request)
{
    return "answer to " + request;
}

HistoryEvent event(std::int64_t at,
                   HistoryKind kind,
                   const std::string &subject,
                   const std::string &place,
                   const std::string &key = {},
                   std::uint64_t number = 0,
                   bool flag = false)
{
    return HistoryEvent{at, kind, subject, place, key, number, flag};
}

using K = HistoryKind;
}

TEST_CASE("each checker accepts a valid history and rejects an injected fault", "[history]")
{
    struct Row
    {
        const char *m_name;
        Violations (*m_check)(const HistoryEvents &);
        HistoryEvents m_good;
        HistoryEvents m_bad;
    };
    const std::vector<Row> rows{
        {"whole groups",
         [](const HistoryEvents &events) {
             return checkNoTokensAfterMemberLoss(events, 100);
         },
         {event(0, K::VmLost, "v", "g", {}, 1), event(50, K::Token, {}, "g", {}, 1), event(500, K::Token, {}, "g", {}, 2)},
         {event(0, K::VmLost, "v", "g", {}, 1), event(101, K::Token, {}, "g", {}, 1)}},
        {"one group, records",
         checkOneGroupPerVm,
         {event(0, K::Recorded, "v", "d", "g1", 1), event(1, K::Recorded, "v", "d", "g2", 2), event(1, K::Recorded, "w", "e", "g1", 1)},
         {event(0, K::Recorded, "v", "d", "g1", 1), event(1, K::Recorded, "v", "d", "g2", 1)}},
        {"one group, two records",
         checkOneGroupPerVm,
         {event(0, K::Recorded, "v", "d", "g1", 1), event(1, K::Recorded, {}, "d", {}, 2), event(2, K::Recorded, "v", "e", "g2", 1)},
         {event(0, K::Recorded, "v", "d", "g1", 1), event(2, K::Recorded, "v", "e", "g2", 1)}},
        {"one group, fencing",
         checkOneGroupPerVm,
         {event(0, K::Joined, "v", "g", {}, 1), event(1, K::Joined, "v", "g", {}, 2)},
         {event(0, K::Joined, "v", "g", {}, 2), event(1, K::Joined, "v", "g", {}, 1)}},
        {"cold limit",
         [](const HistoryEvents &events) {
             return checkColdLimit(events, 2);
         },
         {event(0, K::Run, "r", "v", {}, 2, true), event(0, K::Run, "r", "v", {}, 9, false)},
         {event(0, K::Run, "r", "v", {}, 3, true)}},
        {"closed places",
         [](const HistoryEvents &events) {
             return checkNoDispatchWhileClosed(events, 10);
         },
         {event(0, K::Closed, {}, "z"), event(10, K::Dispatched, "g", "z"), event(20, K::Opened, {}, "z"), event(30, K::Dispatched, "g", "z")},
         {event(0, K::Closed, {}, "z"), event(11, K::Dispatched, "g", "z")}},
        {"whole answers",
         [](const HistoryEvents &events) {
             return checkCompleteResponses(events, expected);
         },
         {event(0, K::Answer, "r", "whole", "answer to r"), event(0, K::Answer, "r", "broken", "answ")},
         {event(0, K::Answer, "r", "whole", "answer to s")}},
        {"not run",
         checkNotRun,
         {event(0, K::Run, "a", "v"), event(1, K::Answer, "a", "unknown"), event(1, K::Answer, "b", "not-run")},
         {event(0, K::Answer, "a", "not-run"), event(1, K::Run, "a", "v")}},
        {"at most once",
         checkAtMostOnce,
         {event(0, K::Run, "a", "v", "k"), event(1, K::Run, "b", "v", "l"), event(2, K::Run, "c", "v"), event(3, K::Run, "d", "v")},
         {event(0, K::Run, "a", "v", "k"), event(1, K::Run, "b", "w", "k")}},
        {"planned stop",
         checkPlannedStop,
         {event(0, K::StopBegan, "g", "r"), event(1, K::Answer, "r", "whole"), event(1, K::Answer, "s", "broken")},
         {event(0, K::StopBegan, "g", "r"), event(1, K::Answer, "r", "broken")}},
        {"configuration, revert",
         [](const HistoryEvents &events) {
             return checkConfiguration(events, 10);
         },
         {event(0, K::Adopted, "d", {}, {}, 1), event(1, K::Adopted, "d", {}, {}, 2), event(1, K::Adopted, "e", {}, {}, 1)},
         {event(0, K::Adopted, "d", {}, {}, 2), event(1, K::Adopted, "d", {}, {}, 1)}},
        {"configuration, stale work",
         [](const HistoryEvents &events) {
             return checkConfiguration(events, 10);
         },
         {event(0, K::Accepted, {}, {}, {}, 2), event(10, K::Dispatched, "d", "v", {}, 1), event(11, K::Dispatched, "d", "v", {}, 2)},
         {event(0, K::Accepted, {}, {}, {}, 2), event(11, K::Dispatched, "d", "v", {}, 1)}},
    };
    for (const Row &row : rows) {
        INFO(row.m_name);
        CHECK(row.m_check(row.m_good).empty());
        CHECK(row.m_check(row.m_bad).size() == 1);
        const Result<HistoryEvents> decoded = decodeHistory(encodeHistory(row.m_bad));
        REQUIRE_FALSE(failed(decoded));
        CHECK(row.m_check(valueOf(decoded)).size() == 1);
    }
}

TEST_CASE("decoding a malformed history names the invalid line", "[history]")
{
    CHECK_THAT(describe(errorOf(decodeHistory("{}\n"))), Catch::Contains("line 1"));
    CHECK_THAT(describe(errorOf(decodeHistory(encodeHistory({event(0, K::Run, "a", "b")}) + "x\n"))), Catch::Contains("line 2"));
}
