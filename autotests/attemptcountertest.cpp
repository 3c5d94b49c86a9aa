// Pattern: engines accept requests and hang, so that an attempt never returns anything.

#include "kernel/attemptcounter.h"
#include "autotests/entryfixtures.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace knapweedslip;

TEST_CASE("an attempt that was sent and never answered counts as a run", "[entry][attempts]")
{
    struct Row
    {
        const char *m_name;
        std::vector<AttemptOutcome> m_outcomes;
        bool m_resumable;
        bool m_mayTryAnother;
    };
    using enum AttemptOutcome;
    // The stream route of configFixture() allows two upstreams.
    const std::vector<Row> rows{
        {"nothing sent yet", {}, true, true},
        {"hung once", {MayHaveRun}, true, true},
        {"hung twice", {MayHaveRun, MayHaveRun}, true, false},
        {"refused, then hung", {NotRun, NotRun, MayHaveRun}, true, true},
        {"not resumable", {}, false, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.m_name);
        CallRoute route = configFixture()->m_routes.front();
        route.m_resumable = row.m_resumable;
        AttemptCounter counter;
        for (const AttemptOutcome outcome : row.m_outcomes) {
            countAttempt(counter, outcome);
        }
        CHECK(mayTryAnotherUpstream(counter, route) == row.m_mayTryAnother);
    }
}
