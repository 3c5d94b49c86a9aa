// Guards against a soak that finds nothing because its checks do: each rule is shown to reject a planted fault.

#include "autotests/soak/soakrules.h"
#include "autotests/soak/soakplan.h"

#include <catch2/catch.hpp>

using namespace knapweedslip;

namespace
{
soak::AttemptRecord attempt(unsigned status, bool runsOnce, bool isComplete = true, bool isWhole = true)
{
    soak::AttemptRecord record;
    record.m_id = "a";
    record.m_runsOnce = runsOnce;
    record.m_status = status;
    record.m_isComplete = isComplete;
    record.m_isWhole = isWhole;
    return record;
}
}

TEST_CASE("the soak's checks find each planted fault, and nothing in what is allowed", "[soak]")
{
    struct Row
    {
        const char *m_description;
        soak::AttemptRecord m_attempt;
        /** Kinds of events that the stand-ins recorded for the attempt. */
        std::vector<const char *> m_events;
        /** The rule that is broken, or empty. */
        std::string m_rule;
    };
    const Row row = GENERATE(values<Row>({
        {"an answer", attempt(200, true), {"arrived", "ran"}, ""},
        {"a run without an answer", attempt(0, true, false), {"arrived", "ran"}, ""},
        {"a refusal that has not run", attempt(503, true), {"arrived"}, ""},
        {"an unknown outcome", attempt(502, true), {"ran"}, ""},
        {"a repeatable request that ran twice", attempt(200, false), {"ran", "ran"}, ""},
        {"a repeatable request that was refused and ran", attempt(503, false), {"ran"}, ""},
        {"an answer that broke off", attempt(200, false, false, false), {"ran"}, ""},
        {"two runs", attempt(200, true), {"ran", "ran"}, "TWICE"},
        {"503 and a run", attempt(503, true), {"ran"}, "REFUSED"},
        {"429 and a run", attempt(429, true), {"ran"}, "REFUSED"},
        {"421 and a run", attempt(421, true), {"ran"}, "REFUSED"},
        {"408 and a run", attempt(408, true), {"ran"}, "REFUSED"},
        {"another body", attempt(200, false, true, false), {"ran"}, "MIXED"},
        {"a join of another group", attempt(200, true), {"two"}, "TWO"},
        {"a member that was never ready", attempt(200, true), {"partial"}, "PARTIAL"},
    }));
    INFO(row.m_description);
    standin::History history;
    for (const char *kind : row.m_events) {
        standin::record(history, kind, "\"attempt\":\"a\"");
    }
    const std::vector<soak::Breach> breaches = soak::findBreaches({row.m_attempt}, history);
    REQUIRE(breaches.size() == (row.m_rule.empty() ? 0 : 1));
    if (!row.m_rule.empty()) {
        CHECK(breaches.front().m_rule == row.m_rule);
    }
}

TEST_CASE("the soak's plan depends on its seed alone, and names only what exists", "[soak]")
{
    const soak::SoakShape shape{3, 5, 2, 60'000};
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const std::vector<soak::SoakEvent> plan = soak::planSoak(seed, shape);
        const std::vector<soak::SoakEvent> again = soak::planSoak(seed, shape);
        REQUIRE(plan.size() == again.size());
        for (std::size_t i = 0; i < plan.size(); ++i) {
            const int places = soak::concernsDaemon(plan[i].m_kind)            ? shape.m_daemons
                               : plan[i].m_kind == soak::Disruption::EmptyZone ? shape.m_zones
                                                                               : shape.m_upstreams;
            CHECK((plan[i].m_first >= 0 && plan[i].m_first < places));
            CHECK((plan[i].m_atMs == again[i].m_atMs && plan[i].m_kind == again[i].m_kind && plan[i].m_variant == again[i].m_variant));
        }
    }
}
