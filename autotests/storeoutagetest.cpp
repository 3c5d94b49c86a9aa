// Guards against requests to upstreams that have left, by a daemon that the store had turned away (rule DRAIN): after its own outage it used removed entries
// for two more seconds, as after an outage of the store for all. Incidents of issues 46 and 49.

#include "kernel/storeoutage.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace knapweedslip;

namespace
{
/** As long as entries may take to lapse after the last report. */
constexpr std::int64_t MinMs = 2'400;
}

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
        std::int64_t m_recoveredMs;
    };
    const std::vector<Row> rows{
        {"the others have answers all the time", {900, 1'000}, {1'900, 2'900, 4'400, 5'500, 7'000, 8'500}, 9'500, 1'500, -1},
        {"nobody has one", {900, 1'000}, {1'000, 1'000}, 9'500, 8'500, 9'500},
        {"the others reach it sooner than this daemon", {1'000}, {1'100, 8'700, 9'300}, 9'500, 7'600, 8'700},
        {"there are no others", {1'000}, {}, 4'000, 3'000, 4'000},
        {"reports arrive in another order", {1'000}, {2'000, 3'000, 2'500, 4'000}, 5'000, 1'000, -1},
        {"nobody has one since an earlier outage", {}, {}, 9'000, 8'900, 9'000},
    };
    for (const Row &row : rows) {
        CAPTURE(row.m_description);
        StoreOutage outage(MinMs);
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
            outage.recordAnswers(provenMs, provenMs, provenMs);
        }
        CHECK(outage.end(row.m_endMs) == row.m_longestMs);
        CHECK(outage.isOver());
        CHECK(outage.recoveredMs() == row.m_recoveredMs);
    }
}

// Guards against a daemon that was cut off from the store and from all others, and takes its own outage for one of the store (rule DRAIN, issue 49).
TEST_CASE("what other daemons tell after an outage corrects what was concluded from their silence", "[store-outage]")
{
    struct Span
    {
        std::int64_t m_sinceMs;
        std::int64_t m_provenMs;
    };
    struct Row
    {
        const char *m_description;
        /** What others tell after this daemon, which had no answer from 10,000 to 20,000, has the store again. */
        std::vector<Span> m_told;
        bool m_wasAway;
    };
    const std::vector<Row> rows{
        {"nothing", {}, true},
        {"another had answers all the time", {{2'000, 20'100}}, false},
        {"another started while it lasted", {{13'000, 20'100}}, true},
        {"another started soon after it began", {{12'399, 20'100}}, false},
        {"two cover it together", {{2'000, 15'000}, {14'000, 20'100}}, false},
        {"two leave a pause that is too short for an outage", {{2'000, 15'000}, {17'399, 20'100}}, false},
        {"two leave a longer pause", {{2'000, 15'000}, {17'400, 20'100}}, true},
        {"another has an answer now, no more", {{20'100, 20'100}}, true},
        {"another has had answers since the end", {{19'000, 20'100}}, true},
        {"another had answers before", {{2'000, 9'900}}, true},
    };
    for (const Row &row : rows) {
        CAPTURE(row.m_description);
        StoreOutage outage(MinMs);
        outage.recordProof(9'000);
        outage.recordProof(10'000);
        outage.begin();
        CHECK(outage.end(20'000) == 10'000);
        CHECK(outage.recoveredMs() == 20'000);
        for (const Span &span : row.m_told) {
            outage.recordAnswers(span.m_sinceMs, span.m_provenMs, 20'200);
        }
        CHECK(outage.recoveredMs() == (row.m_wasAway ? 20'000 : -1));
    }
}

// Guards against a daemon that tells others of answers that it did not have, so that they drop upstreams that live; and against one that tells nothing of
// those that it had, since the store had nothing to tell it for a moment.
TEST_CASE("a daemon tells of answers back to the last outage that it had", "[store-outage]")
{
    struct Row
    {
        const char *m_description;
        /** Times of its proofs; the store fails to answer it before the last one if m_fails. */
        std::vector<std::int64_t> m_proofs;
        bool m_fails;
        std::int64_t m_sinceMs;
    };
    const std::vector<Row> rows{
        {"no proof", {}, false, -1},
        {"the first proof", {1'000}, false, 1'000},
        {"none yet", {-1}, false, -1},
        {"proofs go on", {1'000, 2'000, 3'000}, false, 1'000},
        {"proofs far apart, without a failure", {1'000, 2'000, 9'000}, false, 1'000},
        {"a short failure", {1'000, 2'000, 1'999 + MinMs}, true, 1'000},
        {"an outage", {1'000, 2'000, 2'000 + MinMs}, true, 2'000 + MinMs},
        {"a proof from before", {1'000, 9'000, 2'000}, false, 1'000},
    };
    const bool endsBeforeProof = GENERATE(true, false);
    for (const Row &row : rows) {
        CAPTURE(row.m_description, endsBeforeProof);
        StoreOutage outage(MinMs);
        // What others had does not count.
        outage.recordAnswers(0, 900, 900);
        for (std::size_t i = 0; i < row.m_proofs.size(); ++i) {
            const bool fails = row.m_fails && i + 1 == row.m_proofs.size();
            if (fails) {
                outage.begin();
            }
            // A first answer may prove nothing yet.
            if (fails && endsBeforeProof) {
                outage.end(row.m_proofs[i]);
            }
            outage.recordProof(row.m_proofs[i]);
            if (fails && !endsBeforeProof) {
                outage.end(row.m_proofs[i]);
            }
        }
        CHECK(outage.answeredSinceMs() == row.m_sinceMs);
    }
}

// Guards against memory that grows with each outage.
TEST_CASE("a later outage is known after many earlier ones", "[store-outage]")
{
    StoreOutage outage(MinMs);
    std::int64_t nowMs = 0;
    for (int i = 0; i < 1'000; ++i) {
        outage.recordProof(nowMs);
        outage.begin();
        nowMs += MinMs;
        outage.end(nowMs);
    }
    CHECK(outage.recoveredMs() == nowMs);
}
