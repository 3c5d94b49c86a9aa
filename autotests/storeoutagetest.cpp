// Guards against requests to upstreams that have left, by a daemon that the store had turned away (rule DRAIN): after its own outage it used removed entries
// for two more seconds, as after an outage of the store for all.

#include "kernel/storeoutage.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace knapweedslip;

// Guards against an outage of one daemon that is taken for one of the store, and the other way round.
TEST_CASE("the store was away only as long as no daemon had an answer from it", "[store-outage]")
{
    struct Row
    {
        const char *m_description;
        /** Proofs before the outage begins, and while it lasts. */
        std::vector<std::int64_t> m_before;
        std::vector<std::int64_t> m_during;
        std::int64_t m_endMs;
        std::int64_t m_longestMs;
    };
    const std::vector<Row> rows{
        {"the others have answers all the time", {900, 1'000}, {1'900, 2'900, 4'400, 5'500, 7'000, 8'500}, 9'500, 1'500},
        {"nobody has one", {900, 1'000}, {1'000, 1'000}, 9'500, 8'500},
        {"the others reach it sooner than this daemon", {1'000}, {1'100, 8'700, 9'300}, 9'500, 7'600},
        {"there are no others", {1'000}, {}, 4'000, 3'000},
        {"reports arrive in another order", {1'000}, {2'000, 3'000, 2'500, 4'000}, 5'000, 1'000},
        {"nobody has one since an earlier outage", {}, {}, 9'000, 8'900},
    };
    for (const Row &row : rows) {
        CAPTURE(row.m_description);
        StoreOutage outage;
        // An earlier outage does not count.
        outage.begin();
        outage.end(100);
        for (const std::int64_t provenMs : row.m_before) {
            outage.recordProof(provenMs);
        }
        CHECK(outage.isOver());
        outage.begin();
        for (const std::int64_t provenMs : row.m_during) {
            outage.begin();
            CHECK_FALSE(outage.isOver());
            outage.recordProof(provenMs);
        }
        CHECK(outage.end(row.m_endMs) == row.m_longestMs);
        CHECK(outage.isOver());
    }
}
