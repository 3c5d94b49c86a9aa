// Pattern: admission decides by predictions that no single request may spoil: a stalled stream, a client whose estimate is far off, or one that gives a
// deadline of its own.

#include "autotests/entryfixtures.h"
#include "kernel/answerlength.h"
#include "kernel/clientdeadlines.h"
#include "kernel/firsteventbias.h"
#include "kernel/latencymodel.h"
#include "kernel/slottime.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <limits>
#include <random>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace knapweedslip;

TEST_CASE("the part of the first event that is not published is learned within a fifth of the observed time", "[expectation]")
{
    for (const double partMs : {0.0, 20.0, 93.0, 120.0, 400.0}) {
        FirstEventBias bias;
        std::mt19937 random(1);
        std::exponential_distribution<double> noise(1.0 / 20.0);
        CHECK(bias.biasMs("m") == 0.0);
        for (int stream = 0; stream < 200; ++stream) {
            bias.record("m", 60.0, 60.0 + partMs + noise(random));
        }
        const double observedMs = 60.0 + partMs + 20.0 * std::log(2.0);
        CAPTURE(partMs, bias.biasMs("m"));
        CHECK(std::abs(60.0 + bias.biasMs("m") - observedMs) <= 0.2 * observedMs);
        CHECK(bias.biasMs("other") == 0.0);
    }
}

// Guards against a replica that stalls for seconds and makes all others look too slow to be used.
TEST_CASE("the streams of one stalled replica do not shift the learned part", "[expectation]")
{
    FirstEventBias bias;
    for (int stream = 0; stream < 100; ++stream) {
        bias.record("m", 60.0, stream % 2 == 0 ? 175.0 : 185.0);
    }
    const double learnedMs = bias.biasMs("m");
    for (int stream = 0; stream < 34; ++stream) {
        bias.record("m", 60.0, 5'000.0);
    }
    CHECK(bias.biasMs("m") - learnedMs <= 35.0);
    for (int stream = 0; stream < 500; ++stream) {
        bias.record("m", 600.0, 60.0);
    }
    CHECK(bias.biasMs("m") == 0.0);
    CHECK(bias.all().size() == 1);
}

TEST_CASE("the expected length of an answer follows the hint, the route and the bound", "[expectation]")
{
    AnswerLength lengths;
    struct Row
    {
        AnswerLengthHints m_hints;
        double m_least;
        double m_most;
    };
    // The configuration gives a mean of 100.
    const std::vector<Row> rows{{{0, 0}, 100.0, 100.0},
                                {{100, 0}, 99.9, 100.1},
                                {{400, 0}, 200.0, 400.0},
                                {{10, 0}, 10.0, 50.0},
                                {{400, 150}, 150.0, 150.0},
                                {{0, 40}, 40.0, 40.0},
                                {{-5, -5}, 100.0, 100.0}};
    for (const Row &row : rows) {
        const double expected = lengths.expectedTokens("r", row.m_hints, 100);
        CAPTURE(row.m_hints.m_hintTokens, row.m_hints.m_maxTokens, expected);
        CHECK(expected >= row.m_least);
        CHECK(expected <= row.m_most);
    }
    for (int answer = 0; answer < 200; ++answer) {
        lengths.record("r", 300);
    }
    CHECK(lengths.expectedTokens("r", {}, 100) == Approx(300.0));
    CHECK(lengths.expectedTokens("other", {}, 100) == Approx(100.0));
    rc::prop("whatever clients send, the length is a finite number of at least 1 and at most the bound", []() {
        AnswerLength any;
        any.record("r", *rc::gen::arbitrary<std::int64_t>());
        const AnswerLengthHints hints{*rc::gen::arbitrary<std::int64_t>(), *rc::gen::arbitrary<std::int64_t>()};
        const double expected = any.expectedTokens("r", hints, *rc::gen::arbitrary<std::int64_t>());
        RC_ASSERT((std::isfinite(expected) && expected >= 1.0));
        RC_ASSERT((hints.m_maxTokens <= 0 || expected <= static_cast<double>(hints.m_maxTokens)));
    });
}

TEST_CASE("the time in a slot grows with all that it depends on", "[expectation]")
{
    const EngineTiming engines = *engineServiceFixture().m_engines;
    rc::prop("occupancy, prompt, answer, pace and bias", [&engines]() {
        const double occupancy = *rc::gen::inRange(1, 35);
        SlotTimeQuery query{*rc::gen::inRange(0, 10'000), static_cast<double>(*rc::gen::inRange(0, 2'000)), 0.6, 100.0};
        const double ms = slotTimeMs(engines, occupancy, query);
        RC_ASSERT(ms >= query.m_biasMs + query.m_pace * prefillMs(engines, query.m_promptTokens));
        RC_ASSERT(loadedPassMs(engines, occupancy + 1.0) > loadedPassMs(engines, occupancy));
        RC_ASSERT(slotTimeMs(engines, occupancy + 1.0, query) > ms);
        SlotTimeQuery more = query;
        more.m_promptTokens += 100;
        RC_ASSERT(slotTimeMs(engines, occupancy, more) > ms);
        more = query;
        more.m_answerTokens += 5.0;
        RC_ASSERT(std::abs(slotTimeMs(engines, occupancy, more) - ms - 0.6 * 5.0 / engines.m_stepsPerPass * loadedPassMs(engines, occupancy)) < 1e-6);
        more = query;
        more.m_biasMs += 10.0;
        RC_ASSERT(std::abs(slotTimeMs(engines, occupancy, more) - ms - 10.0) < 1e-6);
    });
}

// Guards against a target below which replicas stand idle, and against one above which requests wait for a slot.
TEST_CASE("the target occupancy is between half and all of the slots, and its mean first event is in time", "[expectation]")
{
    EngineTiming engines = *engineServiceFixture().m_engines;
    const SlotTimeQuery query{841, 0.0, 0.6, 120.0};
    double last = 0.0;
    for (const double targetMs : {1.0, 150.0, 200.0, 225.0, 250.0, 500.0, std::numeric_limits<double>::max()}) {
        const double occupancy = targetOccupancy(engines, targetMs, query);
        CAPTURE(targetMs, occupancy, slotTimeMs(engines, occupancy, query));
        CHECK(occupancy >= engines.m_slots / 2);
        CHECK(occupancy <= engines.m_slots);
        CHECK(occupancy >= last);
        CHECK((occupancy <= engines.m_slots / 2 || slotTimeMs(engines, occupancy, query) <= targetMs));
        last = occupancy;
    }
    for (const int slots : {1, 2, 3, 48, 1'000}) {
        engines.m_slots = slots;
        const double occupancy = targetOccupancy(engines, 250.0, query);
        CAPTURE(slots, occupancy);
        CHECK(occupancy >= 1.0);
        CHECK(occupancy <= slots);
    }
}

TEST_CASE("a client that gives less time than the others on its route has waited", "[expectation]")
{
    ClientDeadlines deadlines;
    CHECK(deadlines.waitedMs("r", 2'000) == 0);
    for (int request = 0; request < 20; ++request) {
        deadlines.record("r", request % 2 == 0 ? 4'000 : 2'500);
    }
    struct Row
    {
        std::int64_t m_timeLeftMs;
        std::int64_t m_waitedMs;
    };
    for (const Row &row : std::vector<Row>{{4'000, 0}, {3'990, 0}, {2'500, 1'500}, {1, 3'999}, {0, 0}, {-1, 0}, {9'000, 0}}) {
        CAPTURE(row.m_timeLeftMs);
        CHECK(deadlines.waitedMs("r", row.m_timeLeftMs) == row.m_waitedMs);
    }
    CHECK(deadlines.waitedMs("other", 2'500) == 0);
    // The route's deadline is shorter from now on.
    deadlines.record("r", 2'500);
    CHECK(deadlines.waitedMs("r", 2'500) == 0);
}

TEST_CASE("no client has waited on a route whose clients give all kinds of deadlines", "[expectation]")
{
    ClientDeadlines deadlines;
    std::mt19937 random(1);
    for (int request = 0; request < 1'000; ++request) {
        deadlines.record("r", static_cast<std::int64_t>(1'000 + random() % 9'000));
    }
    CHECK(deadlines.waitedMs("r", 3'000) == 0);
}

// Guards against one client that gives a long deadline and makes the first requests of all others count as refused before.
TEST_CASE("a single long deadline does not make the other clients late", "[expectation]")
{
    ClientDeadlines deadlines;
    for (int request = 0; request < 500; ++request) {
        deadlines.record("r", 4'000);
    }
    deadlines.record("r", 60'000);
    int late = 0;
    for (int request = 0; request < 500; ++request) {
        deadlines.record("r", 4'000);
        late += deadlines.waitedMs("r", 4'000) > 0 ? 1 : 0;
    }
    CHECK(late == 0);
    // A client that comes back is still recognised.
    CHECK(deadlines.waitedMs("r", 2'500) == 1'500);
}
