// Guards against daemons that end, or stop following the store, because another writer left one odd entry among those of the upstreams: deeply nested, with
// a number that is too large, a port out of range, or bytes that cannot be read. Run with the sanitizers too, which find overflows.

#include "net/storeupdatescodec.h"
#include "platform/configdecoder.h"
#include "platform/entrydecoder.h"

#include <catch2/catch.hpp>
#include <limits>

using namespace knapweedslip;

namespace
{
/** Returns a usable entry in which @p field has the JSON value @p value. */
std::string entryWith(const std::string &field, const std::string &value)
{
    const std::vector<std::pair<std::string, std::string>> fields{{"service", "\"app\""},
                                                                  {"address", "\"10.0.0.1:8080\""},
                                                                  {"zone", "\"z\""},
                                                                  {"version", "\"1\""},
                                                                  {"slots", "26"},
                                                                  {"state", "\"ready\""},
                                                                  {"coldLeftMs", "0"},
                                                                  {"seq", "4"},
                                                                  {"born", "1700000000000"},
                                                                  {"domain", "\"d\""},
                                                                  {"modelList", "[]"},
                                                                  {"staged", "[\"m\"]"},
                                                                  {"group", R"({"name":"g","epoch":12,"rank":0,"state":"open"})"}};
    std::string text;
    for (const std::pair<std::string, std::string> &entry : fields) {
        text += (text.empty() ? "{\"" : ",\"") + entry.first + "\":" + (entry.first == field ? value : entry.second);
    }
    return text + "}";
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::vector<std::string> oddValues()
{
    return {"null",
            "true",
            "\"text\"",
            "\"\"",
            "[]",
            "{}",
            "0",
            "-1",
            "0.5",
            "1e308",
            "-1e308",
            "9223372036854775807",
            "-9223372036854775808",
            "9223372036854775808",
            "18446744073709551615",
            "18446744073709551616",
            "99999999999999999999999999999999",
            "2147483648",
            "-2147483649",
            "4294967297",
            "\"10.0.0.1:99999\"",
            "\"10.0.0.1:-1\"",
            "\"10.0.0.1:4294967376\"",
            "\"10.0.0.1\"",
            "\":8080\"",
            "\"[::1]:8080\"",
            "\"\xff\xfe\"",
            "\"\\ud800\"",
            "\"\\u0000\"",
            "\"" + std::string(1'000'000, 'x') + "\"",
            nested(20),
            nested(100'000),
            std::string(100'000, '['),
            R"({"name":1,"epoch":-1,"rank":1e300,"state":"x"})",
            R"({"epoch":18446744073709551615,"rank":9223372036854775807})"};
}
}

TEST_CASE("an odd field of an upstream's entry is an error or a bounded value", "[entry][platform][odd]")
{
    constexpr std::int64_t NowMs = 1'000'000'000;
    constexpr std::int64_t DayMs = 86'400'000;
    for (const char *field :
         {"service", "address", "zone", "version", "slots", "state", "coldLeftMs", "seq", "born", "domain", "modelList", "staged", "group"}) {
        for (const std::string &value : oddValues()) {
            CAPTURE(field, value.substr(0, 60));
            const Result<UpstreamEntry> decoded = platform::decodeEntry("i-1", entryWith(field, value), NowMs);
            if (failed(decoded)) {
                CHECK(errorOf(decoded).m_code == ErrorCode::ProtocolViolation);
                continue;
            }
            const UpstreamEntry &entry = valueOf(decoded);
            CHECK(entry.m_slots >= 1);
            CHECK(entry.m_slots <= platform::MaxSlots);
            CHECK(entry.m_coldUntilMs >= 0);
            CHECK(entry.m_coldUntilMs <= NowMs + DayMs);
            CHECK(entry.m_address == "10.0.0.1:8080");
            UpstreamEntry reported = entry;
            platform::applyReport(reported, entryWith(field, value));
            CHECK(reported.m_address == entry.m_address);
        }
    }
}

TEST_CASE("an entry that cannot be read as a whole is an error, and passes unchanged from daemon to daemon", "[entry][platform][odd]")
{
    StoreUpdatesReply updates;
    std::vector<std::string> texts = oddValues();
    texts.insert(texts.end(), {"", "{", "{\"service\":", std::string("\0\1\2", 3), std::string(1'000'000, '{')});
    for (const std::string &text : texts) {
        CAPTURE(text.substr(0, 60));
        CHECK(failed(platform::decodeEntry("i-1", text, 0)));
        CHECK(failed(platform::decodeConfig(text, {1, 2})));
        UpstreamEntry entry;
        platform::applyReport(entry, text);
        StoreItem item;
        item.m_key = "servers/odd-" + std::to_string(updates.m_updates.m_items.size());
        item.m_value = text;
        updates.m_updates.m_items.push_back(std::move(item));
    }
    const Result<StoreUpdatesReply> passed = decodeStoreUpdates(encodeStoreUpdates(updates));
    REQUIRE_FALSE(failed(passed));
    REQUIRE(valueOf(passed).m_updates.m_items.size() == texts.size());
    for (std::size_t i = 0; i < texts.size(); ++i) {
        CHECK(valueOf(passed).m_updates.m_items[i].m_value == texts[i]);
    }
}

TEST_CASE("odd numbers in the configuration are bounded", "[entry][platform][odd]")
{
    for (const std::string &value : oddValues()) {
        CAPTURE(value.substr(0, 60));
        const std::string text = R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","service":"s","timeoutMs":)" + value + R"(,"priority":)"
                                 + value + R"(,"maxAttempts":)" + value + R"(}],"services":[{"name":"s","coldPerS":)" + value + R"(,"maxConns":)" + value
                                 + R"(,"backend":{"slots":)" + value + R"(,"stride":)" + value + R"(,"modelList":[{"name":"m","size":)" + value + R"(,"loadS":)"
                                 + value + R"(}]}}],"limits":{"maxBodyBytes":)" + value + R"(}})";
        const Result<CallConfigPtr> decoded = platform::decodeConfig(text, {1, 2});
        if (failed(decoded)) {
            continue;
        }
        const CallConfig &config = *valueOf(decoded);
        REQUIRE(config.m_routes.size() == 1);
        const CallService &service = config.m_services.at("s");
        if (service.m_engines && !service.m_engines->m_models.empty()) {
            CHECK(service.m_engines->m_models.front().m_vmsPerReplica >= 1);
            CHECK(std::abs(service.m_engines->m_models.front().m_loadMs) <= platform::MaxConfiguredMs);
        }
        CHECK(config.m_routes.front().m_timeoutMs <= platform::MaxConfiguredMs);
    }
}
