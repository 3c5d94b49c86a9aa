// Pattern: token events are lost, repeated, cut off or mixed with those of another request, over several attempts.

#include "kernel/streamjoin.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <random>

using namespace knapweedslip;

TEST_CASE("result of a token event", "[stream]")
{
    struct Row
    {
        const char *m_name;
        TokenEvent m_event;
        JoinVerdict m_verdict;
        std::uint64_t m_next;
    };
    const std::vector<Row> rows{
        {"next", {"r", 4, 3, false}, JoinVerdict::Pass, 4},
        {"repeated", {"r", 4, 2, false}, JoinVerdict::Duplicate, 3},
        {"skipped", {"r", 4, 4, false}, JoinVerdict::Gap, 3},
        {"another request's", {"s", 4, 3, false}, JoinVerdict::Foreign, 3},
        {"another generation's", {"r", 5, 3, false}, JoinVerdict::Foreign, 3},
        {"the end", {"r", 4, 3, true}, JoinVerdict::Complete, 3},
        {"an end with tokens missing", {"r", 4, 5, true}, JoinVerdict::Gap, 3},
        {"an end before what was given", {"r", 4, 2, true}, JoinVerdict::Gap, 3},
    };
    for (const Row &row : rows) {
        INFO(row.m_name);
        StreamJoin join{"r", 4, 3, false};
        CHECK(joinEvent(join, row.m_event) == row.m_verdict);
        CHECK(join.m_nextOffset == row.m_next);
        CHECK(join.m_complete == (row.m_verdict == JoinVerdict::Complete));
    }
}

TEST_CASE("an answer is reported as complete only if it has every token", "[promise][stream]")
{
    rc::prop("events lost, repeated, mixed up and cut off over several attempts", []() {
        const std::uint64_t length = *rc::gen::inRange<std::uint64_t>(0, 30);
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        StreamJoin join{"r", 0, 0, false};
        std::vector<std::uint64_t> given;
        for (int attempt = 0; attempt < 4 && !join.m_complete; ++attempt) {
            join.m_generation = random() % 3;
            const std::uint64_t generation = join.m_generation;
            bool cut = false;
            for (std::uint64_t k = join.m_nextOffset; k <= length && !cut; ++k) {
                TokenEvent event{"r", generation, k, k == length};
                switch (random() % 12) {
                case 0:
                    continue;
                case 1:
                    // Repeats a token. The end event keeps its offset, because the token count that the engine reports cannot be checked.
                    event.m_offset = k == 0 || event.m_last ? k : k - 1;
                    break;
                case 2:
                    event.m_requestId = "s";
                    break;
                case 3:
                    cut = true;
                    break;
                default:
                    break;
                }
                const std::uint64_t before = join.m_nextOffset;
                const JoinVerdict verdict = joinEvent(join, event);
                if (verdict == JoinVerdict::Pass) {
                    given.push_back(event.m_offset);
                    RC_ASSERT(event.m_offset == before);
                }
                cut = cut || verdict == JoinVerdict::Gap || verdict == JoinVerdict::Foreign;
            }
        }
        for (std::uint64_t k = 0; k < given.size(); ++k) {
            RC_ASSERT(given[k] == k);
        }
        if (join.m_complete) {
            RC_ASSERT(given.size() == length);
        }
    });
}
