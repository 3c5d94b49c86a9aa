// Tests that input from the hosting platform, upstreams and clients is decoded correctly, including malformed and forged input.

#include "kernel/hashing.h"
#include "net/loadreportcodec.h"
#include "platform/callheaders.h"
#include "platform/configdecoder.h"
#include "platform/enginecalls.h"
#include "platform/entrydecoder.h"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

using namespace knapweedslip;

namespace
{
constexpr const char *ConfigText = R"({"version":7,"routes":[
{"name":"r1","host":"a.example","pathPrefix":"/x/","routeType":"streaming","timeoutMs":8000,"latencyTargetMs":300,"priority":1,
 "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"maxAttempts":2,"public":false,"resumable":true,"itlTargetMs":250},
{"name":"r2","host":"a.example","pathPrefix":"/y/","routeType":"a kind of tomorrow","timeoutMs":800,"service":"s2"}],
"services":[{"name":"s1","healthPath":"/h","maxConns":344,"coldPerS":26.0,"backend":{"slots":26,"stride":7,"step_ms":5.95,"read_per_s":50700.0,
 "loadsPerS":4.5,"loads_at_once":6,"formMs":300.0,"usual":{"prompt":1115,"answer":178},
 "modelList":[{"name":"m","size":4,"share":0.57,"pace":0.6,"loadS":16.0,"warmupS":1.6}]}},{"name":"s2"}],
"limits":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeoutMs":300,"idleTimeoutMs":400},
"tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":0}]})";
}

TEST_CASE("the operators' configuration is decoded with its units", "[entry][platform]")
{
    const Result<CallConfigPtr> decoded = platform::decodeConfig(ConfigText, {3, 42});
    REQUIRE(!failed(decoded));
    const CallConfig &config = *valueOf(decoded);
    CHECK(config.m_version == 7);
    CHECK(config.m_position == StorePosition{3, 42});
    const CallRoute *route = findRoute(config, "a.example", "/x/1");
    REQUIRE(route != nullptr);
    CHECK(route->m_kind == CallKind::Streaming);
    CHECK(route->m_interTokenTargetMs == 250);
    CHECK(route->m_targets.size() == 2);
    // An unknown kind is treated as the one with the weakest guarantees.
    CHECK(findRoute(config, "a.example", "/y/1")->m_kind == CallKind::NonIdempotent);
    const EngineTiming &engines = *config.m_services.at("s1").m_engines;
    CHECK(engines.m_prefillTokensPerMs == Approx(50.7));
    CHECK(engines.m_openMs == 300);
    CHECK(engines.m_models.front().m_warmUpMs == 1'600);
    CHECK(engines.m_models.front().m_loadMs == 16'000);
    CHECK(!config.m_services.at("s2").m_engines);
    CHECK(config.m_limits.m_idleTimeoutMs == 400);
    CHECK(findWorkspace(config, "k2")->m_priority == 0);
    CHECK(failed(platform::decodeConfig("{\"version\":8}", {3, 43})));
    CHECK(failed(platform::decodeConfig("not json", {3, 44})));
}

TEST_CASE("a complete upstream entry is decoded, and one without a usable field is an error", "[entry][platform]")
{
    struct EntryCase
    {
        const char *m_description;
        std::string m_text;
        bool m_valid;
    };
    const EntryCase entryCase = GENERATE(values<EntryCase>({
        {"complete", R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,"state":"ready","coldLeftMs":500,"born":5})", true},
        {"no service", R"({"address":"10.0.0.1:80","zone":"z","state":"ready"})", false},
        {"an invalid address", R"({"service":"s","address":"nowhere","zone":"z","state":"ready"})", false},
        {"an unknown state", R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"dancing"})", false},
        {"a field of the wrong type", R"({"service":7,"address":"10.0.0.1:80","zone":"z","state":"ready"})", false},
        {"binary data", "\xff\x00\x01", false},
    }));
    INFO(entryCase.m_description);
    const Result<UpstreamEntry> entry = platform::decodeEntry("i-1", entryCase.m_text, 1'000);
    REQUIRE(failed(entry) != entryCase.m_valid);
    if (entryCase.m_valid) {
        CHECK(valueOf(entry).m_coldUntilMs == 1'500);
        CHECK(valueOf(entry).m_startedMs == 5);
        CHECK(!valueOf(entry).m_leaving);
    }
}

TEST_CASE("an entry gives the domain, staged models, replica and phase of an engine", "[entry][platform]")
{
    const std::string text = R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"draining","domain":"d1","staged":["m"],
        "group":{"name":"m.17","epoch":17,"rank":2,"state":"open"},"modelList":[],"seq":12})";
    const Result<UpstreamEntry> entry = platform::decodeEntry("i-1", text, 0);
    REQUIRE(!failed(entry));
    CHECK(valueOf(entry).m_leaving);
    CHECK(valueOf(entry).m_domain == "d1");
    CHECK(valueOf(entry).m_stagedModels == std::vector<std::string>{"m"});
    CHECK(valueOf(entry).m_replica == ReplicaRef{"m.17", 17});
    CHECK(valueOf(entry).m_phase == MemberPhase::Open);
    // The same field counts writes in an entry and orders in a report.
    CHECK(valueOf(entry).m_writeNumber == 12);
    CHECK(valueOf(entry).m_ordersBegun == -1);
    UpstreamEntry reported = valueOf(entry);
    platform::applyReport(reported, R"({"seq":3})");
    CHECK(reported.m_writeNumber == 12);
    CHECK(reported.m_ordersBegun == 3);
    CHECK(replicaModel(valueOf(entry).m_replica.m_name) == "m");
}

TEST_CASE("order requests hold the fields that their kind needs, and response statuses are decoded", "[entry][platform]")
{
    EngineOrder order;
    order.m_kind = EngineOrderKind::Join;
    order.m_engine = "i-1";
    order.m_fence = 9;
    order.m_replica = {"m.3", 3};
    order.m_model = "m";
    order.m_members = {"i-1", "i-2"};
    const HttpRequest join = platform::makeOrderRequest(order, "order-1");
    const boost::json::value body = boost::json::parse(join.m_body);
    CHECK(body.at("op") == "join");
    CHECK(body.at("epoch") == 3);
    CHECK(body.at("fencingToken") == 9);
    CHECK(body.at("members").as_array().size() == 2);
    CHECK(headerValue(join.m_headers, "Expect-Instance") == "i-1");
    CHECK(!body.as_object().contains("precondition"));
    order.m_expectedOrders = 4;
    CHECK(boost::json::parse(platform::makeOrderRequest(order, "order-1").m_body).at("precondition") == 4);
    order.m_kind = EngineOrderKind::Close;
    order.m_preempt = true;
    CHECK(boost::json::parse(platform::makeOrderRequest(order, "order-1").m_body).at("closeMode") == "preempt");
    CHECK(platform::decodeOrderReply(200) == OrderReply::Done);
    CHECK(platform::decodeOrderReply(202) == OrderReply::Begun);
    CHECK(platform::decodeOrderReply(409) == OrderReply::Unfit);
    CHECK(platform::decodeOrderReply(412) == OrderReply::Fenced);
    CHECK(platform::decodeOrderReply(421) == OrderReply::WrongEngine);
}

namespace
{
struct PromptPartsRow
{
    std::string m_text;
    std::vector<std::uint64_t> m_parts;
};

std::string manyParts(std::size_t count)
{
    std::string text;
    for (std::size_t i = 1; i <= count; ++i) {
        text += toHex(i) + ":1,";
    }
    return text;
}

const std::vector<PromptPartsRow> &promptPartsRows()
{
    static const std::vector<PromptPartsRow> rows{
        {"", {}},
        {"5c1e07a2:800", {}},
        {"5c1e07a2:800,91bd3f06:410,e4402b7d:250", {0x5c1e07a2, 0x91bd3f06}},
        {" A1 : 5 ,0a1:6, b2:7,c3:8", {0xa1, 0xb2}},
        {"a1:5,b2:6,", {0xa1}},
        {"a1:5,b2:6,, ,", {0xa1}},
        {"a1,b2:many,c3", {0xa1, 0xb2}},
        {":5,g1:5,0x1:5,-1:5,1 2:5,a1:5,c3:5", {0xa1}},
        {"ffffffffffffffff:1,b2:1", {0xffffffffffffffff}},
        {"10000000000000000:1,b2:1", {hash64("10000000000000000")}},
        {",", {}},
        {",,,,", {}},
        {std::string(100'000, 'a') + ",b2:1", {hash64(std::string(100'000, 'a'))}},
    };
    return rows;
}
}

TEST_CASE("the parts of a prompt are decoded but for the last, and malformed ones are left out", "[entry][platform][crash]")
{
    for (const PromptPartsRow &row : promptPartsRows()) {
        CAPTURE(row.m_text.substr(0, 100));
        CHECK(platform::decodePromptParts(row.m_text) == row.m_parts);
    }
    CHECK(platform::decodePromptParts(manyParts(10'000)).size() == platform::MaxPromptParts);
}

TEST_CASE("header fields that only this system may set replace those of a client", "[entry][platform]")
{
    HttpRequest request;
    request.m_headers = {{"Host", "a.example"},
                         {"Attempt-Id", "r1"},
                         {"Authorization", "Bearer k1"},
                         {"tenant", "somebody else"},
                         {"Deadline-Ms", "5000"},
                         {"Last-Event-Id", "3"},
                         {"Token-Usage", "1460,80"},
                         {"Connection", "keep-alive, X-Hop"},
                         {"X-Hop", "1"},
                         {"X-Kept", "2"},
                         {"Expect-Instance", "i-forged"},
                         {"Transfer-Encoding", "chunked"},
                         {"Request-Priority", "0"}};
    const platform::CallerHeaders caller = platform::decodeCallerHeaders(request);
    CHECK(caller.m_requestId == "r1");
    CHECK(caller.m_key == "k1");
    CHECK(caller.m_timeLeftMs == 5'000);
    CHECK(caller.m_lastEventId == 3);
    CHECK(caller.m_promptTokens == 1'460);
    CHECK(caller.m_maxAnswerTokens == 80);
    platform::UpstreamHeaders upstream;
    upstream.m_upstream = "i-1";
    upstream.m_workspace = "printers";
    upstream.m_timeLeftMs = 4'900;
    const HeaderFields sent = platform::makeUpstreamHeaders(request.m_headers, upstream);
    CHECK(headerValue(sent, "Tenant") == "printers");
    CHECK(headerValue(sent, "Expect-Instance") == "i-1");
    CHECK(headerValue(sent, "Deadline-Ms") == "4900");
    CHECK(headerValue(sent, "X-Kept") == "2");
    CHECK(headerValue(sent, "Attempt-Id") == "r1");
    for (const char *absent : {"Authorization", "X-Hop", "Transfer-Encoding", "Connection", "Last-Event-Id", "Request-Priority"}) {
        INFO(absent);
        CHECK(headerValue(sent, absent).empty());
    }
}

TEST_CASE("response headers give whether the request ran, the signature and the load of the upstream", "[entry][platform]")
{
    const platform::ResponseHeaders overloaded = platform::decodeResponseHeaders(503, {{"Not-Executed", "1"}, {"Server-Load", "26,4,26"}});
    CHECK(overloaded.m_claims.m_notRun);
    CHECK_FALSE(overloaded.m_claims.m_success);
    CHECK(overloaded.m_load == 30);
    CHECK(platform::decodeResponseHeaders(421, {}).m_claims.m_notRun);
    const platform::ResponseHeaders failed = platform::decodeResponseHeaders(503, {{"Attempt-Id", "r1"}, {"Server-Stamp", "s"}});
    CHECK(!failed.m_claims.m_notRun);
    CHECK(failed.m_claims.m_signed);
    CHECK(platform::decodeResponseHeaders(200, {{"Content-Encoding", "gzip"}}).m_claims.m_contentEncoded);
    CHECK(platform::decodeResponseHeaders(200, {}).m_claims.m_success);
    const HttpReply refusal = platform::makeErrorReply(503, "r1", 250, "overloaded");
    CHECK(headerValue(refusal.m_headers, "Retry-After") == "0.25");
    CHECK(headerValue(refusal.m_headers, "Server-Stamp").empty());
}

// Guards against values that an engine may send by mistake and that would take it out of use for good, or be read as another time.
TEST_CASE("the time after which an engine wants requests again is decoded, whatever its form", "[entry][platform][availability]")
{
    using platform::RetryAfterForm;
    struct Row
    {
        const char *m_text;
        RetryAfterForm m_form;
        std::int64_t m_ms;
    };
    const std::vector<Row> rows{{"", RetryAfterForm::Absent, 0},
                                {"  ", RetryAfterForm::Absent, 0},
                                {"0", RetryAfterForm::Seconds, 0},
                                {"0.0004", RetryAfterForm::Seconds, 1},
                                {"2", RetryAfterForm::Seconds, 2'000},
                                {" 1.25\t", RetryAfterForm::Seconds, 1'250},
                                {"99999999999999999999", RetryAfterForm::Seconds, platform::MaxRetryAfterMs},
                                {"-1", RetryAfterForm::Negative, 0},
                                {"-0.5", RetryAfterForm::Negative, 0},
                                {"Fri, 04 Dec 2026 12:00:00 GMT", RetryAfterForm::Date, 0},
                                {"inf", RetryAfterForm::Unreadable, 0},
                                {"nan", RetryAfterForm::Unreadable, 0},
                                {"1e3", RetryAfterForm::Unreadable, 0},
                                {"0x10", RetryAfterForm::Unreadable, 0},
                                {"2 s", RetryAfterForm::Unreadable, 0},
                                {"+2", RetryAfterForm::Unreadable, 0},
                                {"soon", RetryAfterForm::Unreadable, 0}};
    for (const Row &row : rows) {
        CAPTURE(row.m_text);
        const platform::RetryAfter decoded = platform::decodeRetryAfter(row.m_text);
        CHECK(decoded.m_form == row.m_form);
        CHECK(decoded.m_ms == row.m_ms);
    }
    const std::string huge(400, '9');
    CHECK(platform::decodeRetryAfter(huge).m_ms == platform::MaxRetryAfterMs);
    CHECK(platform::decodeRetryAfter("-" + huge).m_form == RetryAfterForm::Negative);
    CHECK(platform::decodeResponseHeaders(503, {{"Retry-After", "2"}}).m_retryAfter.m_ms == 2'000);
    CHECK(platform::decodeResponseHeaders(200, {{"Retry-After", "2"}}).m_retryAfter.m_form == RetryAfterForm::Absent);
    CHECK(platform::decodeResponseHeaders(200, {{"server-leaving", "1"}}).m_leaving);
    CHECK_FALSE(platform::decodeResponseHeaders(200, {{"Server-Leaving", "0"}}).m_leaving);
    CHECK_FALSE(platform::decodeResponseHeaders(200, {}).m_leaving);
}

TEST_CASE("load reports are encoded and decoded, and truncated ones are errors", "[entry][pulse]")
{
    DaemonLoadReport report;
    report.m_sender = "vm-1";
    report.m_number = 3;
    report.m_serving = true;
    report.m_groups = {{1'100'004, {3, 2, 41.5, 9'000}, 17, true}};
    report.m_proofAgeMs = 1'500;
    report.m_answeredForMs = 70'000;
    report.m_departures = {{1ULL << 63U, DepartureSource::Removed, 29'000}, {7, DepartureSource::Listed, 0}};
    const std::string bytes = encodeLoadReport(report);
    const Result<DaemonLoadReport> decodedReport = decodeLoadReport(bytes.data(), bytes.size());
    REQUIRE(!failed(decodedReport));
    CHECK(valueOf(decodedReport).m_sender == "vm-1");
    CHECK(valueOf(decodedReport).m_groups.front().m_load.m_decoding == 3);
    CHECK(valueOf(decodedReport).m_groups.front().m_progressAgeMs == 17);
    CHECK(valueOf(decodedReport).m_groups.front().m_silent);
    CHECK(valueOf(decodedReport).m_departures == report.m_departures);
    CHECK(valueOf(decodedReport).m_proofAgeMs == 1'500);
    CHECK(valueOf(decodedReport).m_answeredForMs == 70'000);
    CHECK(failed(decodeLoadReport(bytes.data(), bytes.size() / 2)));
    CHECK(failed(decodeLoadReport("", 0)));
}
