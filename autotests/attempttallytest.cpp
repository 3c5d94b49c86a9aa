// Pattern: engines that take requests and hang, so that nothing ever comes of an attempt.

#include "kernel/attempttally.h"
#include "autotests/entryfixtures.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace knapweedslip;

TEST_CASE("an attempt that gave no sign counts as a run", "[entry][attempts]")
{
    struct Row
    {
        const char *m_name;
        std::vector<AttemptFate> m_fates;
        bool m_resumable;
        bool m_mayMove;
    };
    using enum AttemptFate;
    // The fixture's stream may run on two upstreams.
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
