// Guards against requests to an upstream that had said that it leaves, after an older word of it took that back (rule DRAIN): a write that was carried out
// late, a copy of the store, an entry of an earlier lifetime.

#include "kernel/upstreamavailability.h"

#include <catch2/catch.hpp>

using namespace knapweedslip;

namespace
{
/** One change of the list. */
struct ListStep
{
    std::int64_t m_atMs = 0;
    std::int64_t m_startedMs = 1;
    /** -1: the upstream does not number its writes; NoEntry: the entry is removed. */
    std::int64_t m_write = 1;
    bool m_leaving = false;
};

constexpr std::int64_t NoEntry = -2;

void apply(UpstreamAvailability &availability, const ListStep &step)
{
    // Other upstreams go on, and what is no longer needed is dropped.
    UpstreamEntry other;
    other.m_id = "other";
    other.m_startedMs = 1;
    availability.observe(other, step.m_atMs);
    if (step.m_write == NoEntry) {
        availability.markUnlisted("u", step.m_atMs);
        return;
    }
    UpstreamEntry entry;
    entry.m_id = "u";
    entry.m_availabilityZone = "a";
    entry.m_startedMs = step.m_startedMs;
    entry.m_writeNumber = step.m_write;
    entry.m_leaving = step.m_leaving;
    availability.observe(entry, step.m_atMs);
}
}

// Guards against an older word that takes back what the list had said, as in the incident DRAIN of issue 46.
TEST_CASE("no older word takes back that a lifetime leaves, and a live upstream is used at once", "[departures]")
{
    struct Row
    {
        const char *m_description;
        std::vector<ListStep> m_steps;
        bool m_leaves;
    };
    const std::vector<Row> rows{
        {"ready", {{0}}, false},
        {"says that it leaves", {{0}, {1'000, 1, 5, true}}, true},
        {"a report from before is carried out late", {{0}, {1'000, 1, 5, true}, {4'000, 1, 4, false}}, true},
        {"the same, and the list repeats the word", {{0}, {1'000, 1, 5, true}, {4'000, 1, 4, false}, {5'000, 1, 6, true}, {6'000, 1, 4, false}}, true},
        {"the same, but writes have no numbers", {{0, 1, -1}, {1'000, 1, -1, true}, {4'000, 1, -1, false}}, true},
        {"the entry goes, and a late report brings it back", {{0}, {1'000, 1, 5, true}, {3'500, 1, NoEntry}, {7'000, 1, 4, false}}, true},
        {"the same after much longer", {{0}, {1'000, 1, 5, true}, {3'500, 1, NoEntry}, {40'000, 1, 4, false}}, true},
        {"an earlier lifetime's report comes late", {{0, 1, 9}, {100, 2, 1}, {1'000, 2, 5, true}, {3'000, 1, 8, false}, {4'000, 2, 4, false}}, true},
        {"another lifetime under its id", {{0}, {1'000, 1, 5, true}, {3'500, 1, NoEntry}, {5'000, 2, 1, false}}, false},
        {"another lifetime in its place", {{0}, {1'000, 1, 5, true}, {3'500, 2, 1, false}}, false},
        {"an earlier lifetime's last word comes late", {{0}, {1'000, 2, 1, false}, {3'000, 1, 5, true}}, false},
        {"the entry lapsed and is written again", {{0}, {5'000, 1, NoEntry}, {9'000, 1, 8, false}}, false},
    };
    for (const Row &row : rows) {
        CAPTURE(row.m_description);
        UpstreamAvailability availability;
        for (const ListStep &step : row.m_steps) {
            apply(availability, step);
        }
        const std::int64_t nowMs = row.m_steps.back().m_atMs + 1;
        CHECK((availability.check("u", UpstreamAvailability::AnyEpoch, nowMs).m_reason != WithheldReason::None) == row.m_leaves);
    }
}
