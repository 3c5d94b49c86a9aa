// Guards against requests to an upstream that had said that it leaves, after an older word of it took that back (rule DRAIN): a write that was carried out
// late, a copy of the store, an entry of an earlier lifetime.

#include "kernel/crashledger.h"
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

namespace
{
constexpr std::int64_t LapseMs = 3'600;

UpstreamEntry writtenEntry(std::int64_t write, std::int64_t writtenAfterMs)
{
    UpstreamEntry entry;
    entry.m_id = "u";
    entry.m_startedMs = 1;
    entry.m_writeNumber = write;
    entry.m_writtenAfterMs = writtenAfterMs;
    return entry;
}
}

// Guards against requests to an upstream that leaves without a word, whose last report is carried out after its entry was removed; and against a live upstream
// that is left out because its entry had lapsed, or because the store lost it.
TEST_CASE("a removal tells that a lifetime leaves if it had not been silent, and a lapsed entry counts again at once", "[departures]")
{
    struct Row
    {
        const char *m_description;
        std::int64_t m_writtenAfterMs;
        std::int64_t m_removedMs;
        bool m_mayBeLost;
        std::int64_t m_againMs;
        std::int64_t m_againWrite;
        bool m_leaves;
        EntryOrder m_order;
    };
    const std::vector<Row> rows{
        {"removed soon after a write", 0, 3'599, false, 6'000, 9, true, EntryOrder::AfterRemoval},
        {"the same, written again when no late write can come", 0, 3'599, false, 15'600, 9, true, EntryOrder::Current},
        {"it may have lapsed", 0, 3'600, false, 6'000, 9, false, EntryOrder::Current},
        {"it lapsed, and an older report comes late", 0, 3'600, false, 6'000, 7, false, EntryOrder::EarlierWrite},
        {"it is not known when it wrote", -1, 100, false, 6'000, 9, false, EntryOrder::Current},
        {"the store came back from a copy without it", 0, 100, true, 6'000, 9, false, EntryOrder::Current},
    };
    for (const Row &row : rows) {
        CAPTURE(row.m_description);
        Departures departures;
        departures.setLapseMs(LapseMs);
        departures.recordEntry(writtenEntry(8, row.m_writtenAfterMs), 50);
        CHECK(departures.recordRemoval("u", row.m_mayBeLost, row.m_removedMs) == row.m_leaves);
        CHECK(departures.recordEntry(writtenEntry(row.m_againWrite, row.m_removedMs), row.m_againMs) == row.m_order);
        const bool leavesInTheEnd = row.m_leaves && row.m_order != EntryOrder::Current;
        CHECK(departures.foundHere(upstreamLifetime("u", 1)) == leavesInTheEnd);
        CHECK(departures.recent(30'000, row.m_againMs).size() == (leavesInTheEnd ? 1 : 0));
    }
}

// Guards against upstreams that are lost for good because their numbers or start times are wrong.
TEST_CASE("an entry that seems older is ignored only as long as writes can be late", "[departures]")
{
    const bool hasEarlierStart = GENERATE(true, false);
    Departures departures;
    departures.recordEntry(writtenEntry(8, 0), 0);
    UpstreamEntry entry = writtenEntry(7, 0);
    entry.m_startedMs = hasEarlierStart ? 0 : 1;
    const EntryOrder ignored = hasEarlierStart ? EntryOrder::EarlierLifetime : EntryOrder::EarlierWrite;
    CHECK(departures.recordEntry(entry, 1'000) == ignored);
    CHECK(departures.recordEntry(entry, Departures::MaxLateWriteMs) == ignored);
    CHECK(departures.recordEntry(entry, Departures::MaxLateWriteMs + 1) == EntryOrder::Current);
}

// Guards against a daemon that has just started, or that the store turns away, and that sends requests to an upstream of which all others know that it leaves.
TEST_CASE("what another daemon found counts while it is repeated, and is not passed on", "[departures]")
{
    const DepartureSource source = GENERATE(DepartureSource::Listed, DepartureSource::Answered, DepartureSource::Removed);
    const std::uint64_t lifetime = upstreamLifetime("u", 1);
    UpstreamAvailability availability;
    availability.observe(writtenEntry(8, 0), 0);
    CHECK(availability.recordReport({lifetime, source, 0}, 1'000).m_isNew);
    CHECK_FALSE(availability.recordReport({lifetime, source, 1'000}, 2'000).m_isNew);
    CHECK(availability.recordReport({lifetime, source, 1'000}, 2'000).m_upstream == "u");
    CHECK(availability.recordReport({upstreamLifetime("u", 2), source, 0}, 2'000).m_upstream.empty());
    const std::int64_t endMs = 2'000 + Departures::HeardMs;
    CHECK(availability.check("u", UpstreamAvailability::AnyEpoch, endMs - 1).m_reason != WithheldReason::None);
    CHECK(availability.check("u", UpstreamAvailability::AnyEpoch, endMs).m_reason == WithheldReason::None);
    CHECK_FALSE(availability.isLeaving({"u", 1}));
    CHECK(availability.recentDepartures(30'000, 2'000).empty());
    SECTION("the leader, which asks the upstream itself, learns its answer as new")
    {
        CHECK(availability.recordLeaving({"u", 1}, 3'000));
        CHECK(availability.isLeaving({"u", 1}));
        CHECK_FALSE(availability.recordLeaving({"u", 1}, 3'000));
    }
    SECTION("a removal that is older than the last entry is outdated")
    {
        availability.observe(writtenEntry(9, 0), 20'000);
        const bool isOutdated = source == DepartureSource::Removed;
        CHECK(availability.recordReport({lifetime, source, 1'000}, 20'500).m_isNew != isOutdated);
    }
}

// Guards against records that pile up, and against words that are dropped while the upstream may still be sent requests.
TEST_CASE("lifetimes that left are remembered for MemoryMs, others only while writes can be late", "[departures]")
{
    Departures departures;
    departures.recordEntry(writtenEntry(8, 0), 0);
    const bool leaves = GENERATE(true, false);
    if (leaves) {
        departures.recordAnswer({"u", 1}, 0);
    }
    departures.recordRemoval("u", true, 1'000);
    UpstreamEntry other;
    other.m_id = "other";
    const auto laterMs = GENERATE(std::int64_t(12'000), std::int64_t(30'000), Departures::MemoryMs, Departures::MemoryMs + 20'000);
    departures.recordEntry(other, laterMs);
    CHECK(departures.foundHere(upstreamLifetime("u", 1)) == (leaves && laterMs <= Departures::MemoryMs));
}

// Guards against requests to an upstream that other daemons had reported to leave before this one was cut off from them, and whose entry is gone at its return
// (rule DRAIN, issue 49): reports count for a while only.
TEST_CASE("a removal confirms what another daemon had read of the upstream's own words", "[departures]")
{
    struct Row
    {
        const char *m_description;
        DepartureSource m_heard;
        std::int64_t m_heardStartedMs;
        bool m_mayBeLost;
        bool m_leaves;
        EntryOrder m_orderOfLateWrite;
    };
    const std::vector<Row> rows{
        {"its entry said so", DepartureSource::Listed, 1, false, true, EntryOrder::AfterRemoval},
        {"its answers said so", DepartureSource::Answered, 1, false, true, EntryOrder::AfterRemoval},
        {"another daemon saw a removal, which may have had another reason", DepartureSource::Removed, 1, false, false, EntryOrder::Current},
        {"another lifetime said so", DepartureSource::Listed, 2, false, false, EntryOrder::Current},
        {"the store came back from a copy without it", DepartureSource::Listed, 1, true, false, EntryOrder::Current},
    };
    for (const Row &row : rows) {
        CAPTURE(row.m_description);
        Departures departures;
        departures.setLapseMs(LapseMs);
        departures.recordEntry(writtenEntry(8, 0), 0);
        departures.recordReport({upstreamLifetime("u", row.m_heardStartedMs), row.m_heard, 0}, 1'000);
        const std::int64_t removedMs = 1'000 + Departures::HeardMs;
        CHECK(departures.recordRemoval("u", row.m_mayBeLost, removedMs) == row.m_leaves);
        CHECK(departures.recordEntry(writtenEntry(9, removedMs), removedMs + 1'000) == row.m_orderOfLateWrite);
        CHECK(departures.recordEntry(writtenEntry(10, removedMs), removedMs + 1 + Departures::MaxLateWriteMs) == EntryOrder::Current);
    }
}

// Guards against an upstream that is left out for longer than it takes to ask it, and against a check that ends another reason for which it is withheld.
TEST_CASE("an upstream whose entry comes back is withheld until it has answered", "[departures]")
{
    const WithheldReason reason = GENERATE(WithheldReason::ListedAgain, WithheldReason::Cold);
    UpstreamAvailability availability;
    availability.observe(writtenEntry(8, -1), 0);
    CHECK_FALSE(availability.isRemoved({"u", 1}));
    availability.recordRemoval("u", false, 1'000);
    availability.markUnlisted("u", 1'000);
    CHECK(availability.isRemoved({"u", 1}));
    CHECK_FALSE(availability.isRemoved({"u", 2}));
    availability.observe(writtenEntry(9, -1), 2'000);
    CHECK_FALSE(availability.isRemoved({"u", 1}));
    availability.withhold("u", UpstreamAvailability::AnyEpoch, reason, 300, 2'000);
    CHECK(availability.check("u", 7, 2'001).m_reason == reason);
    availability.endListedAgain("u");
    CHECK(availability.check("u", 7, 2'001).m_reason == (reason == WithheldReason::ListedAgain ? WithheldReason::None : reason));
    CHECK(availability.check("u", 7, 2'300).m_reason == WithheldReason::None);
}
