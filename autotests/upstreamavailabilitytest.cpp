// Guards against requests to upstreams that said in their answers that they leave, or that they take none for some time (rules DRAIN and BUDGET), and
// against callers who are refused although another upstream is free.

#include "kernel/upstreamavailability.h"
#include "kernel/crashledger.h"
#include "simulation/talkativeupstreams.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace knapweedslip;

namespace
{
constexpr std::uint64_t AnyEpoch = UpstreamAvailability::AnyEpoch;

UpstreamEntry listed(const std::string &id, std::int64_t startedMs, const std::string &zone = "a")
{
    UpstreamEntry entry;
    entry.m_id = id;
    entry.m_startedMs = startedMs;
    entry.m_availabilityZone = zone;
    return entry;
}

/** Requests of one process that may reach an upstream in the time that it gave (platform's rules). */
constexpr int MaxAfterTurnedAway = 2;
}

// Guards against words of one lifetime of an upstream that bind another one with the same id, and against words that are forgotten too early.
TEST_CASE("what an upstream says binds the lifetime that says it, until it ends", "[availability]")
{
    struct Row
    {
        const char *m_description;
        std::int64_t m_saidByStart;
        std::int64_t m_listedStart;
        bool m_unlistedBetween;
        WithheldReason m_expected;
    };
    const std::vector<Row> rows{{"still listed", 1, 1, false, WithheldReason::SaysLeaving},
                                {"lapsed and listed again", 1, 1, true, WithheldReason::SaysLeaving},
                                {"restarted under its id", 1, 2, false, WithheldReason::None},
                                {"restarted after it was removed", 1, 2, true, WithheldReason::None},
                                {"a late answer of the lifetime before", 0, 1, false, WithheldReason::None}};
    for (const Row &row : rows) {
        CAPTURE(row.m_description);
        UpstreamAvailability availability;
        availability.observe(listed("u", 1), 0);
        availability.recordLeaving({"u", row.m_saidByStart}, 10);
        if (row.m_unlistedBetween) {
            availability.markUnlisted("u", 20);
            availability.observe(listed("other", 1), 20'000);
        }
        availability.observe(listed("u", row.m_listedStart), 30'000);
        CHECK(availability.check("u", AnyEpoch, 40'000).m_reason == row.m_expected);
    }
}

// Requests went on to an upstream that had ended until the list dropped it, and each spent from the shared resend budget (incident BUDGET of issue 34).
TEST_CASE("a lifetime that has ended gets no requests, whoever found it out, and its successor does", "[availability]")
{
    UpstreamAvailability availability;
    availability.observe(listed("u", 1), 0);
    CHECK(availability.recordEnded(upstreamLifetime("u", 2), 10, 10).empty());
    CHECK(availability.check("u", AnyEpoch, 10).m_reason == WithheldReason::None);
    CHECK(availability.recordEnded(upstreamLifetime("u", 1), 10, 100) == "u");
    // The same observation arrives again and again, and does not hold the upstream back for longer.
    CHECK(availability.recordEnded(upstreamLifetime("u", 1), 10, 2'000).empty());
    CHECK(availability.recordEnded(upstreamLifetime("u", 1), 10, 7'000).empty());
    for (const std::uint64_t epoch : {AnyEpoch, std::uint64_t(7)}) {
        CHECK(availability.check("u", epoch, 10 + UpstreamAvailability::EndedMs).m_reason == WithheldReason::Ended);
        CHECK(availability.check("u", epoch, 11 + UpstreamAvailability::EndedMs).m_reason == WithheldReason::None);
    }
    SECTION("a successor under its id")
    {
        availability.observe(listed("u", 2), 200);
        CHECK(availability.check("u", AnyEpoch, 300).m_reason == WithheldReason::None);
        CHECK(availability.recordEnded(upstreamLifetime("u", 1), 250, 300).empty());
        CHECK(availability.recordEnded(upstreamLifetime("u", 2), 250, 300) == "u");
    }
    SECTION("it answers after all")
    {
        availability.recordLives({"u", 2}, 200);
        CHECK(availability.check("u", AnyEpoch, 300).m_reason == WithheldReason::Ended);
        availability.recordLives({"u", 1}, 200);
        CHECK(availability.check("u", AnyEpoch, 300).m_reason == WithheldReason::None);
    }
    SECTION("it is no longer listed")
    {
        availability.markUnlisted("u", 200);
        CHECK(availability.recordEnded(upstreamLifetime("u", 1), 250, 300).empty());
    }
}

// Guards against a weaker reason that hides a stronger one, such as a full upstream whose zone is out of service.
TEST_CASE("the strongest reason decides, and ends when it should", "[availability]")
{
    struct Row
    {
        const char *m_description;
        void (*m_record)(UpstreamAvailability &availability);
        WithheldReason m_at100;
        WithheldReason m_at5000;
    };
    const auto leaves = [](UpstreamAvailability &availability) {
        UpstreamEntry entry = listed("u", 1);
        entry.m_leaving = true;
        availability.observe(entry, 0);
    };
    const auto turnedAway = [](UpstreamAvailability &availability) {
        availability.recordTurnedAway({"u", 1}, 1'000, 0);
        availability.withhold("u", AnyEpoch, WithheldReason::Full, 30, 0);
    };
    const auto shorterLater = [](UpstreamAvailability &availability) {
        availability.recordTurnedAway({"u", 1}, 6'000, 0);
        availability.recordTurnedAway({"u", 1}, 10, 5);
    };
    const auto zoneOut = [](UpstreamAvailability &availability) {
        availability.setZonesOutOfService({"a"});
        availability.recordTurnedAway({"u", 1}, 1'000, 0);
    };
    const std::vector<Row> rows{
        {"nothing", [](UpstreamAvailability &) {}, WithheldReason::None, WithheldReason::None},
        {"the list says that it leaves", leaves, WithheldReason::Leaving, WithheldReason::Leaving},
        {"turned away, then full", turnedAway, WithheldReason::TurnedAway, WithheldReason::None},
        {"a shorter time later does not end a longer one", shorterLater, WithheldReason::TurnedAway, WithheldReason::TurnedAway},
        {"zone out of service", zoneOut, WithheldReason::ZoneOutOfService, WithheldReason::ZoneOutOfService},
        {"unreachable",
         [](UpstreamAvailability &a) {
             a.withhold("u", AnyEpoch, WithheldReason::Unreachable, 500, 0);
         },
         WithheldReason::Unreachable,
         WithheldReason::None},
        {"silent in another replica",
         [](UpstreamAvailability &a) {
             a.withhold("u", 7, WithheldReason::Silent, 9'000, 0);
         },
         WithheldReason::None,
         WithheldReason::None},
    };
    for (const Row &row : rows) {
        CAPTURE(row.m_description);
        UpstreamAvailability availability;
        availability.observe(listed("u", 1), 0);
        row.m_record(availability);
        CHECK(availability.check("u", 8, 100).m_reason == row.m_at100);
        CHECK(availability.check("u", 8, 5'000).m_reason == row.m_at5000);
    }
}

// Guards against many requests at once to an upstream whose time is over, of which each costs a resend if it still takes none.
TEST_CASE("after its time one request tries an upstream that turned requests away, others only if there is no other upstream", "[availability]")
{
    UpstreamAvailability availability;
    UpstreamSelector selector;
    std::vector<TrackedUpstream> upstreams(2);
    upstreams[0].m_id = "a";
    upstreams[1].m_id = "b";
    selector.setUpstreams("s", upstreams);
    for (const TrackedUpstream &upstream : upstreams) {
        availability.observe(listed(upstream.m_id, 1), 0);
    }
    availability.recordTurnedAway({"a", 1}, 1'000, 0);
    CHECK(selector.choose(availability, "s", "z", {}, 999)->m_id == "b");
    CHECK(selector.choose(availability, "s", "z", {"b"}, 999) == nullptr);
    selector.begin(availability, "s", "b", 1'000);
    REQUIRE(selector.choose(availability, "s", "z", {}, 1'000)->m_id == "a");
    selector.begin(availability, "s", "a", 1'000);
    selector.begin(availability, "s", "b", 1'000);
    CHECK(selector.choose(availability, "s", "z", {}, 1'000)->m_id == "b");
    CHECK(selector.choose(availability, "s", "z", {"b"}, 1'000)->m_id == "a");
    const bool accepts = GENERATE(true, false);
    if (accepts) {
        selector.end(availability, "s", "a", CallOutcome::Answered, -1, 1'060);
        CHECK(selector.choose(availability, "s", "z", {}, 1'060)->m_id == "a");
    } else {
        availability.recordTurnedAway({"a", 1}, 1'000, 1'060);
        selector.end(availability, "s", "a", CallOutcome::Refused, -1, 1'060);
        CHECK(selector.choose(availability, "s", "z", {"b"}, 2'059) == nullptr);
    }
}

// Guards against callers who are refused although every upstream is up: a spoiled answer took its upstream out of use for a time.
TEST_CASE("a spoiled answer or a caller that leaves does not take an upstream out of use, an upstream that cannot be reached is", "[availability]")
{
    struct Row
    {
        CallOutcome m_outcome;
        WithheldReason m_reason;
        /** The next call prefers another upstream. */
        bool m_countsAsFailure;
    };
    const Row row = GENERATE(values<Row>({{CallOutcome::Answered, WithheldReason::None, false},
                                          {CallOutcome::Failed, WithheldReason::None, true},
                                          {CallOutcome::Refused, WithheldReason::Full, false},
                                          {CallOutcome::Spoiled, WithheldReason::None, true},
                                          {CallOutcome::Unreachable, WithheldReason::Unreachable, true},
                                          {CallOutcome::Abandoned, WithheldReason::None, false}}));
    CAPTURE(static_cast<int>(row.m_outcome));
    UpstreamAvailability availability;
    UpstreamSelector selector;
    std::vector<TrackedUpstream> upstreams(2);
    upstreams[0].m_id = "a";
    upstreams[1].m_id = "b";
    selector.setUpstreams("s", upstreams);
    for (const TrackedUpstream &upstream : upstreams) {
        availability.observe(listed(upstream.m_id, 1), 0);
    }
    selector.begin(availability, "s", "a", 1'000);
    selector.end(availability, "s", "a", row.m_outcome, -1, 1'000);
    CHECK(availability.check("a", AnyEpoch, 1'001).m_reason == row.m_reason);
    const TrackedUpstream *only = selector.choose(availability, "s", "z", {"b"}, 1'001);
    CHECK((only != nullptr) == (row.m_reason == WithheldReason::None));
    CHECK((selector.choose(availability, "s", "z", {}, 2'000)->m_id == "b") == row.m_countsAsFailure);
}

// Guards against an upstream that is lost for good because of one enormous value.
TEST_CASE("the time for which an upstream is withheld is bounded", "[availability]")
{
    UpstreamAvailability availability;
    availability.observe(listed("u", 1), 0);
    availability.recordTurnedAway({"u", 1}, std::numeric_limits<std::int64_t>::max() / 2, 0);
    CHECK(availability.check("u", AnyEpoch, 0).m_untilMs == UpstreamAvailability::MaxTurnedAwayMs);
    CHECK_FALSE(availability.recordTurnedAway({"u", 1}, 0, 0));
    CHECK_FALSE(availability.recordTurnedAway({"u", 1}, -1, 0));
}

// Guards against callers who return when no upstream takes requests yet, or all at the same moment.
TEST_CASE("callers are told to return when the first upstream takes requests again, spread over a part of their wait", "[availability]")
{
    struct Row
    {
        std::vector<Withheld> m_withheld;
        WithheldReason m_reason;
        std::int64_t m_untilMs;
    };
    const Withheld leaving{WithheldReason::SaysLeaving, Withheld::NoKnownEnd};
    const std::vector<Row> rows{{{}, WithheldReason::None, Withheld::NoKnownEnd},
                                {{leaving, leaving}, WithheldReason::None, Withheld::NoKnownEnd},
                                {{{WithheldReason::TurnedAway, 900}, {WithheldReason::TurnedAway, 500}, leaving}, WithheldReason::TurnedAway, 500},
                                {{{WithheldReason::TurnedAway, 900}, {WithheldReason::Full, 30}}, WithheldReason::Full, 30},
                                {{{WithheldReason::TurnedAway, 900}, {}}, WithheldReason::None, Withheld::NoKnownEnd}};
    for (const Row &row : rows) {
        Shortage shortage;
        for (const Withheld &withheld : row.m_withheld) {
            shortage.add(withheld);
        }
        CHECK(shortage.first().m_reason == row.m_reason);
        CHECK(shortage.first().m_untilMs == row.m_untilMs);
    }
    rc::check("the spread begins at the true moment and is bounded", []() {
        const std::int64_t waitMs = *rc::gen::inRange<std::int64_t>(0, 4'000'000);
        const double random = *rc::gen::inRange(0, 1'001) / 1'000.0;
        const std::int64_t returnMs = spreadReturnMs(waitMs, random);
        RC_ASSERT(returnMs >= waitMs);
        RC_ASSERT(returnMs - waitMs <= std::min(waitMs / 4 + 1, MaxReturnSpreadMs));
    });
}

// Guards against a fleet whose daemons go on sending to upstreams that leave or turn requests away, as measured on processes before.
TEST_CASE("a fleet of daemons keeps to what the upstreams say, and refuses nobody whom an upstream could serve", "[availability]")
{
    const std::vector<TalkativeCourse> courses{{"one leaves", 1, 0, false, false, false},
                                               {"three leave one after the other and return under their ids", 3, 0, false, false, false},
                                               {"three leave, and the list does not change", 3, 0, false, true, false},
                                               {"two turn requests away", 0, 2, false, false, false},
                                               {"all turn requests away at once", 0, 6, false, false, false},
                                               {"two leave, two turn requests away, daemons restart", 2, 2, true, false, false}};
    for (const int daemons : {8, 90, 410}) {
        for (const TalkativeCourse &course : courses) {
            for (unsigned seed = 1; seed <= 3; ++seed) {
                CAPTURE(daemons, course.m_name, seed);
                const TalkativeResult result = TalkativeUpstreams(daemons, course, seed).run();
                CHECK(result.m_requests > 20'000);
                CHECK(result.m_sentAfterLeaving == 0);
                CHECK(result.m_mostAfterTurnedAway <= MaxAfterTurnedAway);
                CHECK(result.m_refusedThoughFree == 0);
                CHECK(result.m_toldToReturnTooEarly == 0);
                CHECK((course.m_leaving == 0 || course.m_listIsStale || result.m_sentToSuccessors > 1'000));
            }
        }
    }
}

// Shows that the checks above find daemons that ignore the upstreams' words.
TEST_CASE("the model of talkative upstreams finds daemons that ignore what they say", "[availability]")
{
    const TalkativeCourse course{"two leave, two turn requests away", 2, 2, false, false, true};
    const TalkativeResult result = TalkativeUpstreams(8, course, 1).run();
    CHECK(result.m_sentAfterLeaving > 0);
    CHECK(result.m_mostAfterTurnedAway > MaxAfterTurnedAway);
}
