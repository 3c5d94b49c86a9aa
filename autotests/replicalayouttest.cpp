// Pattern: domains of several sizes, models of several sizes, and engines that come and go one by one.

#include "kernel/replicalayout.h"
#include "autotests/entryfixtures.h"

#include <catch2/catch.hpp>
#include <set>

using namespace knapweedslip;

namespace
{
std::vector<LayoutDomain> emptyDomains(int domains, int engines)
{
    std::vector<LayoutDomain> list;
    for (int i = 0; i < domains; ++i) {
        LayoutDomain domain;
        domain.m_domain = "d" + std::to_string(i);
        domain.m_availabilityZone = std::string(1, static_cast<char>('a' + i % 3));
        domain.m_empty = engines;
        list.push_back(domain);
    }
    return list;
}

/** Replicas that a plan makes of @p model, and in how many zones they are. */
struct Made
{
    int m_replicas = 0;
    std::set<std::string> m_zones;
};

Made made(const LayoutPlan &plan, const std::vector<LayoutDomain> &domains, const ServedModel &model)
{
    Made result;
    for (const LayoutDomain &domain : domains) {
        const auto found = plan.find(domain.m_domain);
        const auto kept = domain.m_kept.find(model.m_name);
        int engines = kept == domain.m_kept.end() ? 0 : kept->second;
        if (found != plan.end() && found->second.count(model.m_name) > 0) {
            engines += found->second.at(model.m_name);
        }
        result.m_replicas += engines / model.m_size;
        if (engines >= model.m_size) {
            result.m_zones.insert(domain.m_availabilityZone);
        }
    }
    return result;
}
}

TEST_CASE("few engines are left over, and each model is in every zone", "[entry][layout]")
{
    const std::vector<ServedModel> models = engineServiceFixture().m_engines->m_models;
    const std::vector<LayoutDomain> domains = emptyDomains(6, 9);
    const LayoutPlan plan = planLayout(models, domains, {});
    const Made big = made(plan, domains, models[0]);
    const Made small = made(plan, domains, models[1]);
    CHECK(big.m_replicas * 4 + small.m_replicas * 3 >= 51);
    CHECK(big.m_zones.size() == 3);
    CHECK(small.m_zones.size() == 3);
}

TEST_CASE("large domains with replicas of 16 and 4", "[entry][layout]")
{
    const std::vector<ServedModel> models{{"big", 16, 0.5, 1.0, 16'000, 1'600}, {"small", 4, 0.5, 0.6, 12'000, 1'100}};
    const std::vector<LayoutDomain> domains = emptyDomains(6, 37);
    const LayoutPlan plan = planLayout(models, domains, {});
    const Made big = made(plan, domains, models[0]);
    const Made small = made(plan, domains, models[1]);
    CHECK(big.m_replicas * 16 + small.m_replicas * 4 == 6 * 36);
    CHECK(big.m_replicas >= 3);
    CHECK(small.m_replicas >= 6);
}

TEST_CASE("an engine that comes to a domain that lacks one completes its replica", "[entry][layout]")
{
    const std::vector<ServedModel> models = engineServiceFixture().m_engines->m_models;
    LayoutDomain domain;
    domain.m_domain = "d";
    domain.m_availabilityZone = "a";
    domain.m_kept = {{"big", 3}, {"small", 4}};
    domain.m_empty = 1;
    const LayoutPlan plan = planLayout(models, {domain}, {});
    CHECK(plan.at("d").at("big") == 1);
}

TEST_CASE("the plan is the same whoever makes it", "[entry][layout]")
{
    const std::vector<ServedModel> models = engineServiceFixture().m_engines->m_models;
    CHECK(planLayout(models, emptyDomains(8, 11), {}) == planLayout(models, emptyDomains(8, 11), {}));
}
