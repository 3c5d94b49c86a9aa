// Guards against a large deployment in which every daemon watches the store, and against sources that crash, hang or are refused by the store.

#include "kernel/updatesource.h"

#include <catch2/catch.hpp>
#include <set>

using namespace knapweedslip;

namespace
{
UpdateSourceView deployment(int daemons, const std::string &self)
{
    UpdateSourceView view;
    for (int i = 0; i < daemons; ++i) {
        // Two large VMs in each of three zones.
        view.m_daemons["vm-" + std::to_string(i)] = {std::string(1, static_cast<char>('a' + i % 3)), i < 6 ? 0.5 : 0.12};
    }
    view.m_self = self;
    view.m_availabilityZone = view.m_daemons[self].m_availabilityZone;
    return view;
}
}

TEST_CASE("one large daemon of each zone watches the store", "[entry][news]")
{
    std::set<std::string> watchers;
    for (int i = 0; i < 90; ++i) {
        const std::string self = "vm-" + std::to_string(i);
        const UpdateSourceView view = deployment(90, self);
        const UpdateSourceChoice choice = chooseUpdateSource(view, 0);
        CHECK(choice.m_watchesForZone == choice.m_source.empty());
        if (choice.m_watchesForZone) {
            watchers.insert(self);
            CHECK(view.m_daemons.at(self).m_cpuShare == 0.5);
        } else {
            CHECK(view.m_daemons.at(choice.m_source).m_availabilityZone == view.m_availabilityZone);
        }
    }
    CHECK(watchers.size() == 3);
}

TEST_CASE("daemons that ask the store itself", "[entry][news]")
{
    const std::int64_t nowMs = 1'000;
    const std::string first = chooseUpdateSource(deployment(90, "vm-89"), nowMs).m_source;
    REQUIRE_FALSE(first.empty());
    UpdateSourceView second = deployment(90, "vm-89");
    second.m_failed[first] = nowMs + 1;
    const std::string next = chooseUpdateSource(second, nowMs).m_source;
    struct Row
    {
        const char *m_name;
        int m_daemons;
        bool m_isLeader;
        FailedSources m_failed;
        std::string m_source;
    };
    const std::vector<Row> rows{
        {"many daemons", 90, false, {}, first},
        {"few daemons", 8, false, {}, {}},
        {"the leader", 90, true, {}, {}},
        {"its source failed", 90, false, {{first, nowMs + 1}}, next},
        {"its source failed some time ago", 90, false, {{first, nowMs}}, first},
        {"two sources failed", 90, false, {{first, nowMs + 1}, {next, nowMs + 1}}, {}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.m_name);
        UpdateSourceView view = deployment(row.m_daemons, row.m_daemons == 8 ? "vm-7" : "vm-89");
        view.m_isLeader = row.m_isLeader;
        view.m_failed = row.m_failed;
        CHECK(chooseUpdateSource(view, nowMs).m_source == row.m_source);
    }
    CHECK(next != first);
    // The next daemon watches the store for the others as soon as it sees the failure itself.
    UpdateSourceView successor = deployment(90, next);
    successor.m_failed[first] = nowMs + 1;
    CHECK(chooseUpdateSource(successor, nowMs).m_watchesForZone);
}
