#include "kernel/plan.h"
#include "kernel/routetable.h"

#include <catch2/catch.hpp>

using namespace knapweedslip;

namespace
{
const std::string ValidPlan = R"(models:
  - {name: m, version: "1", group_vms: 2, groups: 3, group_requests: 8, cold_requests: 1}
services:
  - name: s
    max_requests: 4
    idempotent_methods: [GET]
    upstreams:
      - {vm: s-1, address: "127.0.0.1:1", availability_zone: a}
availability_zones:
  - {name: a, state: in}
  - {name: b, state: out}
workspaces:
  - {name: w, priority: 1, weight: 2, key_sha256: 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef}
)";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}
}

TEST_CASE("a valid plan is parsed", "[plan]")
{
    const std::variant<Plan, Findings> result = parsePlan(ValidPlan, "f");
    REQUIRE(std::holds_alternative<Plan>(result));
    const Plan &plan = std::get<Plan>(result);
    CHECK(isZoneInService(plan, "a"));
    CHECK_FALSE(isZoneInService(plan, "b"));
    CHECK_FALSE(isZoneInService(plan, "c"));
    CHECK(findModel(plan, "m")->m_groupVms == 2);
    CHECK(findService(plan, "s")->m_upstreams.size() == 1);
}

TEST_CASE("each error in a plan is reported with its position", "[plan]")
{
    struct Row
    {
        const char *m_from;
        const char *m_to;
        int m_line;
        const char *m_text;
    };
    const std::vector<Row> rows{
        {"state: out", "state: uot", 11, "'state' must be 'in' or 'out'"},
        {"groups: 3", "groups: many", 2, "'groups' must be a whole number"},
        {"group_vms: 2", "group_vms: 0", 2, "'group_vms' must be from 1 to 256"},
        {"cold_requests: 1", "cold_requests: 9", 2, "'cold_requests' must not exceed 'group_requests'"},
        {"weight: 2", "wieght: 2", 13, "unknown key 'wieght'"},
        {"availability_zone: a", "availability_zone: z", 4, "upstream 's-1' is in the unknown availability zone 'z'"},
        {"{name: b", "{name: a", 11, "availability zone 'a' is defined twice"},
        {"0123456789abcdef0123", "0123", 13, "'key_sha256' must be 64 lower-case hexadecimal digits"},
        {"max_requests: 4", "max_requests: [", 6, ""},
    };
    for (const Row &row : rows) {
        INFO(row.m_to);
        const std::variant<Plan, Findings> result = parsePlan(replaced(ValidPlan, row.m_from, row.m_to), "f");
        REQUIRE(std::holds_alternative<Findings>(result));
        const Finding &finding = std::get<Findings>(result).front();
        CHECK(finding.m_file == "f");
        CHECK_THAT(finding.m_text, Catch::Contains(row.m_text));
        if (*row.m_text != '\0') {
            CHECK(finding.m_line == row.m_line);
        }
    }
}

TEST_CASE("all findings are reported together", "[plan]")
{
    const std::string bad = replaced(replaced(ValidPlan, "state: out", "state: x"), "weight: 2", "weight: x");
    const std::variant<Plan, Findings> result = parsePlan(bad, "f");
    REQUIRE(std::holds_alternative<Findings>(result));
    CHECK(std::get<Findings>(result).size() == 2);
}

TEST_CASE("an edit keeps the rest of the plan", "[plan]")
{
    const std::variant<std::string, Findings> out = withZoneState(ValidPlan, "a", ZoneState::Out);
    REQUIRE(std::holds_alternative<std::string>(out));
    const std::variant<Plan, Findings> plan = parsePlan(std::get<std::string>(out), "f");
    REQUIRE(std::holds_alternative<Plan>(plan));
    CHECK_FALSE(isZoneInService(std::get<Plan>(plan), "a"));
    CHECK(std::get<Plan>(plan).m_workspaces.size() == 1);
    CHECK(std::holds_alternative<Findings>(withZoneState(ValidPlan, "nowhere", ZoneState::Out)));
    const std::variant<std::string, Findings> drained = withDrainedVm(ValidPlan, "v1", true);
    REQUIRE(std::holds_alternative<std::string>(drained));
    CHECK(std::get<Plan>(parsePlan(std::get<std::string>(drained), "f")).m_drainedVms == std::vector<std::string>{"v1"});
    const std::variant<std::string, Findings> groups = withGroupCount(ValidPlan, "m", 7);
    CHECK(std::get<Plan>(parsePlan(std::get<std::string>(groups), "f")).m_models.front().m_groups == 7);
}

TEST_CASE("a route table contains only upstreams that may accept new work", "[plan]")
{
    PlanDocument plan;
    plan.m_revision = 3;
    plan.m_sheet = ValidPlan;
    DomainRecord record;
    record.m_domain = "d";
    record.m_availabilityZone = "a";
    struct Row
    {
        const char *m_name;
        GroupPhase m_phase;
        std::size_t m_members;
        const char *m_zone;
        bool m_takesWork;
        bool m_generationListed;
    };
    const std::vector<Row> rows{
        {"warm", GroupPhase::Warm, 2, "a", true, true},
        {"cold", GroupPhase::Cold, 2, "a", true, true},
        {"member missing", GroupPhase::Warm, 1, "a", false, false},
        {"forming", GroupPhase::Forming, 2, "a", false, false},
        {"broken", GroupPhase::Broken, 2, "a", false, false},
        {"draining", GroupPhase::Draining, 2, "a", false, true},
        {"zone out", GroupPhase::Warm, 2, "b", false, true},
    };
    for (const Row &row : rows) {
        INFO(row.m_name);
        GroupRecord group;
        group.m_id = "d/m/1";
        group.m_model = "m";
        group.m_version = "1";
        group.m_generation = 4;
        group.m_phase = row.m_phase;
        for (std::size_t i = 0; i < row.m_members; ++i) {
            group.m_members.push_back({"v" + std::to_string(i), "127.0.0.1:1", "b"});
        }
        record.m_availabilityZone = row.m_zone;
        record.m_groups = {group};
        DocumentView view;
        view.m_documents[PlanKey] = Document{PlanKey, 1, encodePlanHistory({plan})};
        view.m_documents[std::string(DomainKeyPrefix) + "d"] = Document{"d", 2, encodeDomainRecord(record)};
        const Result<std::shared_ptr<const RouteTable>> table = buildRouteTable(view);
        REQUIRE_FALSE(failed(table));
        CHECK(valueOf(table)->m_planRevision == 3);
        CHECK(valueOf(table)->m_upstreams.size() == (row.m_takesWork ? 1U : 0U));
        CHECK((valueOf(table)->m_generations.count("d/m/1") == 1) == row.m_generationListed);
    }
}

TEST_CASE("a domain record is unchanged by encoding and decoding", "[plan]")
{
    DomainRecord record;
    record.m_domain = "d";
    record.m_fence = 7;
    record.m_lastGeneration = 9;
    GroupRecord group;
    group.m_id = "g";
    group.m_phase = GroupPhase::Cold;
    group.m_coldHolder = "gw";
    group.m_members = {{"v", "a:1", "b"}};
    record.m_groups = {group};
    const Result<DomainRecord> decoded = decodeDomainRecord(encodeDomainRecord(record));
    REQUIRE_FALSE(failed(decoded));
    CHECK(encodeDomainRecord(valueOf(decoded)) == encodeDomainRecord(record));
    CHECK(failed(decodeDomainRecord("{}")));
    CHECK(failed(decodeDomainRecord("not json")));
    record.m_groups.push_back(group);
    CHECK(findDuplicateVm(record) == "v");
}
