// Pattern: routes and keys change, and the store may be unreachable, while clients keep sending requests.

#include "kernel/admitcall.h"
#include "autotests/entryfixtures.h"
#include "platform/configdecoder.h"

#include <catch2/catch.hpp>
#include <random>

using namespace knapweedslip;

namespace
{
struct AdmissionCase
{
    const char *m_description;
    bool m_hasConfig;
    std::int64_t m_ageMs;
    const char *m_host;
    const char *m_path;
    const char *m_key;
    std::int64_t m_timeLeftMs;
    RefusalReason m_reason;
    const char *m_route;
};

const ConfigAgeLimits Limits{4'000, 1'000};

/** Finds the route by comparing @p path with every route. */
const CallRoute *findRouteByScan(const CallConfig &config, std::string_view path)
{
    const CallRoute *best = nullptr;
    for (const CallRoute &route : config.m_routes) {
        const bool begins = path.compare(0, route.m_pathPrefix.size(), route.m_pathPrefix) == 0;
        if (begins && (best == nullptr || route.m_pathPrefix.size() > best->m_pathPrefix.size())) {
            best = &route;
        }
    }
    return best;
}
}

TEST_CASE("admission depends on the route, the key and the age of the configuration", "[entry][admit]")
{
    const std::shared_ptr<CallConfig> config = configFixture();
    const AdmissionCase row = GENERATE(values<AdmissionCase>({
        {"a keyed stream", true, 100, "shop.example", "/write/1", "key-1", 5'000, RefusalReason::None, "stream"},
        {"the longest prefix wins", true, 100, "SHOP.example:80", "/write/pay/1", "key-2", 5'000, RefusalReason::None, "pay"},
        {"a public route needs no key", true, 100, "shop.example", "/other/", "", 5'000, RefusalReason::None, "open"},
        {"a public route needs no proof", true, -1, "shop.example", "/other/", "", 5'000, RefusalReason::None, "open"},
        {"a wrong key", true, 100, "shop.example", "/write/1", "key-3", 5'000, RefusalReason::UnknownKey, "stream"},
        {"a wrong key may be a new one", true, 1'500, "shop.example", "/write/1", "key-3", 5'000, RefusalReason::StaleKeys, "stream"},
        {"a key that may be gone", true, 4'001, "shop.example", "/write/1", "key-1", 5'000, RefusalReason::StaleKeys, "stream"},
        {"a key that is good enough", true, 4'000, "shop.example", "/write/1", "key-1", 5'000, RefusalReason::None, "stream"},
        {"an unknown host", true, 100, "other.example", "/write/1", "key-1", 5'000, RefusalReason::UnknownRoute, nullptr},
        {"an unknown host may be new", true, 1'001, "other.example", "/write/1", "key-1", 5'000, RefusalReason::NoConfiguration, nullptr},
        {"no configuration yet", false, -1, "shop.example", "/write/1", "key-1", 5'000, RefusalReason::NoConfiguration, nullptr},
        {"no time", true, 100, "shop.example", "/write/1", "key-1", 0, RefusalReason::NoTime, "stream"},
    }));
    INFO(row.m_description);
    CallRequest query;
    query.m_host = row.m_host;
    query.m_path = row.m_path;
    query.m_key = row.m_key;
    query.m_timeLeftMs = row.m_timeLeftMs;
    const CallAdmission verdict = admitCall(row.m_hasConfig ? config.get() : nullptr, ConfigAge{row.m_ageMs}, Limits, query);
    CHECK(verdict.m_reason == row.m_reason);
    REQUIRE((verdict.m_route != nullptr) == (row.m_route != nullptr));
    if (row.m_route != nullptr) {
        CHECK(verdict.m_route->m_name == row.m_route);
    }
}

TEST_CASE("the time limit is the shorter of the client's and the route's", "[entry][admit]")
{
    const std::shared_ptr<CallConfig> config = configFixture();
    CallRequest query;
    query.m_host = "shop.example";
    query.m_path = "/write/pay/1";
    query.m_key = "key-1";
    query.m_timeLeftMs = 300;
    CHECK(admitCall(config.get(), ConfigAge{0}, Limits, query).m_timeLimitMs == 300);
    query.m_timeLeftMs = 5'000;
    CHECK(admitCall(config.get(), ConfigAge{0}, Limits, query).m_timeLimitMs == 800);
    query.m_timeLeftMs = -1;
    CHECK(admitCall(config.get(), ConfigAge{0}, Limits, query).m_timeLimitMs == 800);
}

TEST_CASE("only an unknown outcome and a timeout have a status that does not rule out a run", "[entry][admit]")
{
    for (std::size_t i = 1; i < RefusalReasonNames.size(); ++i) {
        const RefusalReason reason = static_cast<RefusalReason>(i);
        const bool mayHaveRun = reason == RefusalReason::OutcomeUnknown || reason == RefusalReason::TimeOver;
        INFO(enumName(RefusalReasonNames, reason));
        CHECK((refusalStatus(reason) == 502 || refusalStatus(reason) == 504) == mayHaveRun);
    }
}

TEST_CASE("the indexed route lookup finds the same routes as a scan", "[entry][admit]")
{
    std::mt19937 random(20261204);
    CallConfig config;
    for (int i = 0; i < 200; ++i) {
        CallRoute route;
        route.m_name = std::to_string(i);
        route.m_host = "h";
        route.m_pathPrefix = "/";
        for (unsigned depth = random() % 4; depth > 0; --depth) {
            route.m_pathPrefix += std::string(1, static_cast<char>('a' + random() % 4)) + "/";
        }
        const CallRoute *same = nullptr;
        for (const CallRoute &other : config.m_routes) {
            same = other.m_pathPrefix == route.m_pathPrefix ? &other : same;
        }
        if (same == nullptr) {
            config.m_routes.push_back(route);
        }
    }
    indexConfig(config);
    for (int i = 0; i < 2'000; ++i) {
        std::string path = "/";
        for (unsigned depth = random() % 6; depth > 0; --depth) {
            path += std::string(1, static_cast<char>('a' + random() % 5)) + (random() % 4 == 0 ? "" : "/");
        }
        const CallRoute *expected = findRouteByScan(config, path);
        const CallRoute *found = findRoute(config, "h", path);
        INFO(path);
        CHECK(found == expected);
    }
}

TEST_CASE("requests of a route are split by weight", "[entry][admit]")
{
    const std::shared_ptr<CallConfig> config = configFixture();
    const CallRoute &pay = config->m_routes[1];
    CHECK(chooseService(*config, pay, 0.0)->m_name == "orders");
    CHECK(chooseService(*config, pay, 0.89)->m_name == "orders");
    CHECK(chooseService(*config, pay, 0.91)->m_name == "orders-next");
    CallRoute nowhere = pay;
    nowhere.m_targets = {{"gone", 1}};
    CHECK(chooseService(*config, nowhere, 0.5) == nullptr);
}

TEST_CASE("a daemon that is shutting down accepts no stream that it might have to cut off", "[entry][admit]")
{
    // Guards against a failure seen on the users' bench: a stream that was accepted on an open connection 4.3 s after the stop signal was
    // cut off at the end of the shutdown.
    struct Row
    {
        const char *m_description;
        CallKind m_kind;
        std::int64_t m_nowMs;
        std::int64_t m_callEndMs;
        bool m_accepted;
    };
    const Row row = GENERATE(values<Row>({
        {"a stream just after the signal", CallKind::Streaming, 1'500, 9'500, true},
        {"a stream long after it", CallKind::Streaming, 5'300, 13'300, false},
        {"a call that ends in time", CallKind::NonIdempotent, 5'300, 6'100, true},
        {"a call that may not", CallKind::Idempotent, 7'900, 8'700, false},
    }));
    INFO(row.m_description);
    CHECK(acceptsDuringShutdown(ShutdownDeadlines{3'600, 8'200, 8'600}, row.m_kind, row.m_nowMs, row.m_callEndMs) == row.m_accepted);
}

// Guards against requests that are taken when the time for a stop is nearly over, where the platform gives little of it (LOST).
TEST_CASE("a shutdown leaves what it accepts as much time as it accepts, and time to answer what cannot end", "[entry][admit]")
{
    struct Row
    {
        std::int64_t m_graceMs;
        std::int64_t m_acceptMs;
        std::int64_t m_endMs;
    };
    const Row row = GENERATE(values<Row>({{8'000, 2'600, 7'200}, {30'000, 2'600, 27'000}, {4'000, 1'800, 3'600}, {1'000, 450, 900}, {100, 45, 90}}));
    constexpr std::int64_t NowMs = 50;
    const ShutdownDeadlines deadlines = planShutdown(NowMs, row.m_graceMs);
    CHECK(deadlines.m_acceptUntilMs == NowMs + row.m_acceptMs);
    CHECK(deadlines.m_endMs == NowMs + row.m_endMs);
    CHECK(deadlines.m_exitMs > deadlines.m_endMs);
    CHECK(deadlines.m_exitMs < NowMs + row.m_graceMs);
}

TEST_CASE("a request that may have run never gets a status that rules out a run", "[entry][admit]")
{
    for (std::size_t i = 1; i < RefusalReasonNames.size(); ++i) {
        const RefusalReason reason = static_cast<RefusalReason>(i);
        INFO(enumName(RefusalReasonNames, reason));
        CHECK(reasonAfterDispatch(reason, false) == reason);
        CHECK(refusalStatus(reasonAfterDispatch(reason, true)) != 503);
        CHECK(refusalStatus(reasonAfterDispatch(reason, true)) != 429);
    }
}

// Guards against keys that are admitted although the configuration has taken the last one away (CONFIG, ROUTE).
TEST_CASE("a configuration with an empty list of workspaces admits no key", "[entry][admit]")
{
    struct Row
    {
        const char *m_description;
        const char *m_tenants;
        const char *m_path;
        std::int64_t m_ageMs;
        RefusalReason m_reason;
    };
    const Row row = GENERATE(values<Row>({
        {"no list: no key is needed", "", "/keyed/1", 100, RefusalReason::None},
        {"a list with the key", R"(,"tenants":[{"name":"t","apiKeys":["k"]}])", "/keyed/1", 100, RefusalReason::None},
        {"an empty list", R"(,"tenants":[])", "/keyed/1", 100, RefusalReason::UnknownKey},
        {"an empty list that may be old", R"(,"tenants":[])", "/keyed/1", 1'500, RefusalReason::StaleKeys},
        {"a workspace without keys", R"(,"tenants":[{"name":"t","apiKeys":[]}])", "/keyed/1", 100, RefusalReason::UnknownKey},
        {"a list without a workspace that can be read", R"(,"tenants":["t"])", "/keyed/1", 100, RefusalReason::UnknownKey},
        {"a public route", R"(,"tenants":[])", "/open/1", 100, RefusalReason::None},
    }));
    INFO(row.m_description);
    const std::string text = R"({"version":2,"services":[{"name":"s"}],"routes":[
{"name":"keyed","host":"h","pathPrefix":"/keyed/","routeType":"non_idempotent","timeoutMs":1000,"service":"s"},
{"name":"open","host":"h","pathPrefix":"/open/","routeType":"non_idempotent","timeoutMs":1000,"service":"s","public":true}])"
                             + std::string(row.m_tenants) + "}";
    const Result<CallConfigPtr> config = platform::decodeConfig(text, {1, 1});
    REQUIRE(!failed(config));
    CallRequest query;
    query.m_host = "h";
    query.m_path = row.m_path;
    query.m_key = "k";
    CHECK(admitCall(valueOf(config).get(), ConfigAge{row.m_ageMs}, Limits, query).m_reason == row.m_reason);
}

TEST_CASE("a configuration whose workspaces are not a list is an error", "[entry][admit]")
{
    for (const char *tenants : {"null", "{}", "\"t\"", "0"}) {
        INFO(tenants);
        CHECK(failed(platform::decodeConfig(R"({"version":2,"services":[],"routes":[],"tenants":)" + std::string(tenants) + "}", {1, 1})));
    }
}
