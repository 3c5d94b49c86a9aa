#include "kernel/documents.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace knapweedslip;

namespace
{
DocumentDelta delta(std::uint64_t since, std::uint64_t index, std::int64_t age, std::vector<Document> documents = {})
{
    return DocumentDelta{since, index, age, std::move(documents)};
}
}

TEST_CASE("applying a delta never lowers the index of a view", "[documents]")
{
    struct Row
    {
        const char *m_name;
        std::uint64_t m_viewIndex;
        DocumentDelta m_delta;
        ApplyOutcome m_outcome;
        std::uint64_t m_index;
    };
    const std::vector<Row> rows{
        {"newer", 5, delta(5, 7, 0), ApplyOutcome::Applied, 7},
        {"full", 5, delta(0, 7, 0), ApplyOutcome::Applied, 7},
        {"older", 5, delta(0, 4, 0), ApplyOutcome::Ignored, 5},
        {"gap", 5, delta(6, 9, 0), ApplyOutcome::Gap, 5},
        {"same, confirmed", 5, delta(5, 5, 10), ApplyOutcome::Confirmed, 5},
        {"same, never confirmed", 5, delta(5, 5, -1), ApplyOutcome::Ignored, 5},
    };
    for (const Row &row : rows) {
        INFO(row.m_name);
        DocumentView view;
        view.m_index = row.m_viewIndex;
        CHECK(applyDelta(view, row.m_delta, 1'000) == row.m_outcome);
        CHECK(view.m_index == row.m_index);
    }
}

TEST_CASE("the index of a document never decreases within a view", "[documents]")
{
    DocumentView view;
    applyDelta(view, delta(0, 5, 0, {{"a", 5, "new"}}), 0);
    applyDelta(view, delta(0, 6, 0, {{"a", 3, "old"}, {"b", 6, "b"}}), 0);
    REQUIRE(findDocument(view, "a")->m_value == "new");
    REQUIRE(findDocument(view, "b")->m_value == "b");
}

TEST_CASE("the time of the last confirmation never moves back and is passed on with a delta", "[documents]")
{
    DocumentView a;
    applyDelta(a, delta(0, 5, 0), 1'000);
    DocumentView b;
    applyDelta(b, deltaSince(a, 0, 1'700), 1'800);
    CHECK(confirmationAgeMs(b, 1'800) == 700);
    applyDelta(b, delta(5, 5, 5'000), 1'900);
    CHECK(confirmationAgeMs(b, 1'900) == 800);
}

TEST_CASE("freshness depends on the last confirmation and on a quorum", "[documents]")
{
    struct Row
    {
        std::int64_t m_confirmedAtMs;
        int m_known;
        int m_reachable;
        std::uint64_t m_newestIndex;
        Freshness m_freshness;
    };
    const std::vector<Row> rows{
        {9'000, 8, 1, 9, Freshness::Current},
        {1'000, 8, 5, 7, Freshness::StoreOutage},
        {1'000, 8, 4, 7, Freshness::Stale},
        {1'000, 1, 1, 0, Freshness::StoreOutage},
        {-1, 8, 8, 7, Freshness::Stale},
        {1'000, 8, 8, 8, Freshness::Stale},
    };
    for (const Row &row : rows) {
        DocumentView view;
        view.m_confirmedAtMs = row.m_confirmedAtMs;
        view.m_index = 7;
        CHECK(evaluateFreshness(view, Reachability{row.m_known, row.m_reachable, row.m_newestIndex}, 10'000, 4'000) == row.m_freshness);
    }
}

TEST_CASE("views that exchange deltas in any order reach the highest index", "[documents]")
{
    rc::prop("deltas in any order", []() {
        std::vector<DocumentView> views(4);
        std::uint64_t index = 0;
        const std::vector<int> steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000));
        for (const int step : steps) {
            DocumentView &view = views[static_cast<std::size_t>(step) % views.size()];
            if (step % 5 == 0) {
                ++index;
                applyDelta(view, DocumentDelta{0, index, 0, {{"k" + std::to_string(step % 3), index, std::to_string(index)}}}, step);
                continue;
            }
            const DocumentView &from = views[static_cast<std::size_t>(step / 7) % views.size()];
            const std::uint64_t before = view.m_index;
            applyDelta(view, deltaSince(from, view.m_index, step), step);
            RC_ASSERT(view.m_index >= before);
            RC_ASSERT(view.m_index >= from.m_index);
        }
    });
}
