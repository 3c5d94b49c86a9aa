// Pattern: token events are lost, repeated, cut off or mixed with those of another request, over several attempts.

#include "kernel/tokenstream.h"

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
        TokenEventResult m_result;
        std::uint64_t m_expectedOffset;
    };
    const std::vector<Row> rows{
        {"next", {"r", 4, 3, false}, TokenEventResult::Forward, 4},
        {"repeated", {"r", 4, 2, false}, TokenEventResult::Duplicate, 3},
        {"skipped", {"r", 4, 4, false}, TokenEventResult::Gap, 3},
        {"another request's", {"s", 4, 3, false}, TokenEventResult::WrongStream, 3},
        {"another generation's", {"r", 5, 3, false}, TokenEventResult::WrongStream, 3},
        {"the end", {"r", 4, 3, true}, TokenEventResult::Complete, 3},
        {"an end with tokens missing", {"r", 4, 5, true}, TokenEventResult::Gap, 3},
        {"an end before what was given", {"r", 4, 2, true}, TokenEventResult::Gap, 3},
    };
    for (const Row &row : rows) {
        INFO(row.m_name);
        TokenStreamState state{"r", 4, 3, false};
        CHECK(acceptTokenEvent(state, row.m_event) == row.m_result);
        CHECK(state.m_nextOffset == row.m_expectedOffset);
        CHECK(state.m_complete == (row.m_result == TokenEventResult::Complete));
    }
}

TEST_CASE("an answer is reported as complete only if it has every token", "[promise][stream]")
{
    rc::prop("events lost, repeated, mixed up and cut off over several attempts", []() {
        const std::uint64_t length = *rc::gen::inRange<std::uint64_t>(0, 30);
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        TokenStreamState state{"r", 0, 0, false};
        std::vector<std::uint64_t> forwarded;
        for (int attempt = 0; attempt < 4 && !state.m_complete; ++attempt) {
            state.m_generation = random() % 3;
            const std::uint64_t generation = state.m_generation;
            bool cut = false;
            for (std::uint64_t k = state.m_nextOffset; k <= length && !cut; ++k) {
                TokenEvent event{"r", generation, k, k == length};
                switch (random() % 12) {
                case 0:
                    continue;
                case 1:
                    // Repeats a token. The end event keeps its offset, because the token count that the engine reports cannot be checked.
                    event.m_offset = k == 0 || event.m_endOfStream ? k : k - 1;
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
                const std::uint64_t before = state.m_nextOffset;
                const TokenEventResult result = acceptTokenEvent(state, event);
                if (result == TokenEventResult::Forward) {
                    forwarded.push_back(event.m_offset);
                    RC_ASSERT(event.m_offset == before);
                }
                cut = cut || result == TokenEventResult::Gap || result == TokenEventResult::WrongStream;
            }
        }
        for (std::uint64_t k = 0; k < forwarded.size(); ++k) {
            RC_ASSERT(forwarded[k] == k);
        }
        if (state.m_complete) {
            RC_ASSERT(forwarded.size() == length);
        }
    });
}
