// Pattern: engines accept requests and hang, so that an attempt never returns anything.

#include "kernel/attempttally.h"
#include "autotests/entryfixtures.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace knapweedslip;

TEST_CASE("an attempt that was sent and never answered counts as a run", "[entry][attempts]")
{
    struct Row
    {
        const char *m_name;
        std::vector<AttemptFate> m_fates;
        bool m_resumable;
        bool m_mayMove;
    };
    using enum AttemptFate;
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
        AttemptTally tally;
        for (const AttemptFate fate : row.m_fates) {
            countAttempt(tally, fate);
        }
        CHECK(mayMove(tally, route) == row.m_mayMove);
    }
}
