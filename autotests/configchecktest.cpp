// Failure: a mistake in the operators' configuration is put in force, because the check that runs before it is sent does not report it, reports it without
// the entry that it is in, or reports something in a configuration without mistakes. Each row names the mistake that it guards against.

#include "kernel/callconfig.h"
#include "platform/configtextcheck.h"

#include <catch2/catch.hpp>

using namespace knapweedslip;

namespace
{
constexpr const char *ConfigText = R"({"version":2,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":200,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"routes":[
{"name":"stream","host":"api","pathPrefix":"/stream/","routeType":"streaming","service":"llm","timeoutMs":8000,"latencyTargetMs":1000,"itlTargetMs":250,"maxAttempts":3,"resumable":true,"sticky":true},
{"name":"once","host":"api","pathPrefix":"/once/","routeType":"non_idempotent","service":"app","timeoutMs":1500,"latencyTargetMs":500,"maxAttempts":2,"public":false},
{"name":"read","host":"api","pathPrefix":"/read/","routeType":"idempotent","split":[{"service":"app","weight":9},{"service":"next","weight":1}],"latencyTargetMs":500,"priority":9}],
"services":[{"name":"app","healthPath":"/h","maxConns":344,"coldPerS":26.0,"coldStartS":1.5},{"name":"next"},
{"name":"llm","backend":{"slots":26,"kvCapacity":1590000,"stride":4,"step_ms":5.95,"per_seq_ms":0.1,"context_per_k":0.01,"read_per_s":50700,"pairs_per_m":0.01,
"chunk":512,"loadsPerS":10,"loads_at_once":4,"formMs":100.0,"usual":{"prompt":1000,"answer":100},"report_lag_ms":200.0,"keptModelCount":1,"far_x":4.0,
"modelList":[{"name":"big","size":4,"share":0.57,"pace":1.0,"loadS":16,"warmupS":1.6},{"name":"small","size":1,"share":0.43,"pace":0.5,"loadS":1,"warmupS":0.1}]}}],
"tenants":[{"name":"caller","apiKeys":["secret-a","secret-b"],"priority":0},{"name":"other","apiKeys":["secret-c"]}]})";

/** Returns the valid configuration with @p from, which must occur, replaced by @p to. */
std::string configWith(const std::string &from, const std::string &to)
{
    std::string text = ConfigText;
    const std::size_t at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string lines(const ConfigFindings &findings)
{
    std::string text;
    for (const ConfigFinding &finding : findings) {
        text += std::string(enumName(ConfigFindingKindNames, finding.m_kind)) + ": " + finding.m_place + ": " + finding.m_text + "\n";
    }
    return text;
}

struct ConfigRow
{
    const char *m_mistake;
    /** Part of the valid configuration, and what replaces it. */
    const char *m_from;
    const char *m_to;
    /** Beginnings of all findings, in order. */
    std::vector<std::string> m_findings;
};

void checkFindings(const ConfigFindings &findings, const std::vector<std::string> &expected)
{
    INFO(lines(findings));
    REQUIRE(findings.size() == expected.size());
    for (std::size_t i = 0; i < findings.size(); ++i) {
        CHECK(lines({findings[i]}).rfind(expected[i], 0) == 0);
    }
    CHECK(lines(findings).find("secret") == std::string::npos);
}
}

TEST_CASE("a mistake in the operators' configuration is reported with its entry", "[entry][configcheck]")
{
    const ConfigRow row = GENERATE(values<ConfigRow>({
        {"findings in a valid configuration", "\"version\":2", "\"version\":2", {}},
        {"text that is no JSON", "\"version\":2", "\"version\":", {"error: configuration: the text is not a JSON object; correct it at line 1 "}},
        {"text after the configuration",
         "\"secret-c\"]}]}",
         "\"secret-c\"]}]}}",
         {"error: configuration: the text is not a JSON object; correct it at line 10"}},
        {"no version", "\"version\":2,", "", {"error: configuration: 'version' is missing"}},
        {"a version that is no number", "\"version\":2", "\"version\":\"2\"", {"error: configuration: 'version' must be a whole number"}},
        {"a misspelt field", "\"timeoutMs\":8000", "\"timeoutMS\":8000", {"error: route stream: 'timeoutMS' is not a known field"}},
        {"a misspelt limit", "maxBodyBytes", "maxBodybytes", {"error: limit maxBodybytes: 'limits.maxBodybytes' is not a known field"}},
        {"a field of engines with a fraction", "\"slots\":26", "\"slots\":2.5", {"error: service llm: 'backend.slots' must be a whole number"}},
        {"a number as text", "\"pace\":0.5", "\"pace\":\"0.5\"", {"error: service llm, model small: 'pace' must be a number"}},
        {"a flag that is no Boolean", "\"public\":false", "\"public\":\"no\"", {"error: route once: 'public' must be true or false"}},
        {"a number beyond 32 bits", "\"priority\":9", "\"priority\":4294967296", {"error: route read: 'priority' is too large"}},
        {"a limit of zero", "\"maxBodyBytes\":200", "\"maxBodyBytes\":0", {"error: limit maxBodyBytes: 'limits.maxBodyBytes' must be above 0"}},
        {"a negative number", "\"maxConns\":344", "\"maxConns\":-1", {"error: service app: 'maxConns' must not be negative"}},
        {"a replica without engines", "\"size\":4", "\"size\":0", {"error: service llm, model big: 'size' must be above 0"}},
        {"a negative weight", "\"weight\":9", "\"weight\":-9", {"error: route read, target app: 'weight' must not be negative"}},
        {"a nested object of a wrong type",
         "\"usual\":{\"prompt\":1000,\"answer\":100}",
         "\"usual\":7",
         {"error: service llm: 'backend.usual' must be an object"}},
        {"a list entry that is no object", "{\"name\":\"next\"}", "{\"name\":\"next\"},7", {"error: service number 3: is not an object"}},
        {"keys that are no list", "[\"secret-c\"]", "\"secret-c\"", {"error: workspace other: 'apiKeys' must be a list"}},
        {"a key that is no text", "\"secret-c\"", "7", {"error: workspace other: 'apiKeys' must be a list"}},
        {"a route without a name", "{\"name\":\"once\",", "{", {"error: route number 2: 'name' is missing"}},
        {"an empty name", "\"name\":\"other\"", "\"name\":\"\"", {"error: workspace number 2: 'name' is empty"}},
        {"two services of one name",
         "{\"name\":\"next\"}",
         "{\"name\":\"next\"},{\"name\":\"next\"}",
         {"error: service next: 'name' is that of another entry as well"}},
        {"an unknown route kind", "\"idempotent\"", "\"idempotnt\"", {"error: route read: 'routeType' is unknown"}},
        {"a route without a latency target", "\"timeoutMs\":1500,\"latencyTargetMs\":500,", "", {"error: route once: 'latencyTargetMs' is missing"}},
        {"a route without a service",
         "\"service\":\"llm\",",
         "",
         {"never-matches: route stream: it has no target service", "never-matches: service llm: no route"}},
        {"an empty list of targets",
         "[{\"service\":\"app\",\"weight\":9},{\"service\":\"next\",\"weight\":1}]",
         "[]",
         {"never-matches: route read: it has no target service", "never-matches: service next: no route"}},
        {"a route with two kinds of targets", "\"split\":", "\"service\":\"app\",\"split\":", {"error: route read: 'service' is given as well as 'split'"}},
        {"a stream from a service without engines", "\"service\":\"llm\"", "\"service\":\"next\"", {"never-matches: service llm: no route reaches it"}},
        {"a stream that is split between a service with engines and one without",
         "\"service\":\"llm\"",
         "\"split\":[{\"service\":\"llm\",\"weight\":90},{\"service\":\"next\",\"weight\":10}]",
         {}},
        {"a hidden route", "\"/once/\"", "\"/stream/\"", {"never-matches: route once: route stream has the same host and path prefix"}},
        {"a hidden route whose host is written differently",
         "\"host\":\"api\",\"pathPrefix\":\"/once/\"",
         "\"host\":\"API:80\",\"pathPrefix\":\"/stream/\"",
         {"never-matches: route once: route stream has the same host and path prefix"}},
        {"a prefix that does not begin with a slash", "\"/once/\"", "\"once/\"", {"never-matches: route once: the path prefix 'once/'"}},
        {"a prefix that does not end with a slash", "\"/once/\"", "\"/once\"", {"never-matches: route once: the path prefix '/once'"}},
        {"a target that does not exist",
         "\"service\":\"next\"",
         "\"service\":\"nxt\"",
         {"never-matches: route read: the target service nxt", "never-matches: service next"}},
        {"a target of weight 0", "\"weight\":1", "\"weight\":0", {"never-matches: route read: the target service next has weight 0"}},
        {"a key of two workspaces",
         "\"secret-c\"",
         "\"secret-d\",\"secret-b\"",
         {"never-matches: workspace other: its key number 2 is also one of workspace caller"}},
        {"a service that no route reaches",
         "{\"name\":\"next\"}",
         "{\"name\":\"next\"},{\"name\":\"old\"}",
         {"never-matches: service old: no route reaches it"}},
        {"a timeout below the latency target",
         "\"timeoutMs\":1500",
         "\"timeoutMs\":499",
         {"contradiction: route once: the timeout of 499 ms is below the latency target of 500 ms"}},
        // By hand: 1,000 tokens at 50.7 a ms, half a million pairs at 0.01 ms a million, and a pass of 4 steps of 5.95 ms make 43.53 ms.
        {"a latency target that an idle replica cannot meet",
         "\"latencyTargetMs\":1000",
         "\"latencyTargetMs\":43",
         {"contradiction: route stream: the latency target of 43 ms cannot be met: an idle replica of model big of service llm needs 44 ms"}},
        // By hand: 4 steps of 5.95 + 0.1 + 0.01 ms make 24.24 ms; the small model needs half of that.
        {"a pause target that an idle replica cannot meet",
         "\"itlTargetMs\":250",
         "\"itlTargetMs\":12",
         {"contradiction: route stream: the pause target of 12 ms cannot be met: an idle replica of model big of service llm needs 25 ms",
          "contradiction: route stream: the pause target of 12 ms cannot be met: an idle replica of model small of service llm needs 13 ms"}},
        {"a finding about targets that are just met", "\"latencyTargetMs\":1000,\"itlTargetMs\":250", "\"latencyTargetMs\":44,\"itlTargetMs\":25", {}},
        {"a route priority above 9", "\"priority\":9", "\"priority\":10", {"contradiction: route read: the priority is 10"}},
        {"a negative workspace priority", "\"priority\":0", "\"priority\":-1", {"contradiction: workspace caller: the priority is -1"}},
        {"no attempt at all", "\"maxAttempts\":3", "\"maxAttempts\":0", {"contradiction: route stream: the maximum number of attempts is 0"}},
        {"shares that add up to less than 1", "\"share\":0.57", "\"share\":0.5", {"contradiction: service llm: the shares of its models add up to 0.93"}},
        {"a finding about rounded shares", "\"share\":0.57", "\"share\":0.56", {}},
        {"only the first of several mistakes",
         "\"maxAttempts\":3,\"resumable\":true",
         "\"maxAttempts\":0,\"resumable\":1,\"priority\":11",
         {"error: route stream: 'resumable'", "contradiction: route stream: the maximum number", "contradiction: route stream: the priority is 11"}},
    }));
    INFO(row.m_mistake);
    checkFindings(platform::checkConfigText(configWith(row.m_from, row.m_to), std::nullopt), row.m_findings);
}

TEST_CASE("what a configuration changes is reported field by field, without keys", "[entry][configcheck]")
{
    // The rows change the version in force, so that the valid configuration is the new one.
    const ConfigRow row = GENERATE(values<ConfigRow>({
        {"a version that stays", "\"version\":2", "\"version\":2", {"error: configuration: version 2 is not above 2"}},
        {"a version that falls",
         "\"version\":2",
         "\"version\":3",
         {"error: configuration: version 2 is not above 3", "difference: configuration: 'version' changes from 3 to 2"}},
        {"numbers that are only written differently", "\"version\":2,", "\"version\":1.0,", {"difference: configuration: 'version' changes from 1 to 2"}},
        {"a version in force that cannot be read", "\"version\":2", "version:2", {"error: version in force: the text is not a JSON object"}},
    }));
    INFO(row.m_mistake);
    checkFindings(platform::checkConfigText(ConfigText, configWith(row.m_from, row.m_to)), row.m_findings);
}

TEST_CASE("each kind of entry is compared with the version in force", "[entry][configcheck]")
{
    const ConfigRow row = GENERATE(values<ConfigRow>({
        {"a changed field of a route", "\"timeoutMs\":8000", "\"timeoutMs\":9000", {"difference: route stream: 'timeoutMs' changes from 9000 to 8000"}},
        {"a field that is added",
         "\"priority\":9",
         "\"maxAttempts\":1",
         {"difference: route read: 'priority' changes from not set to 9", "difference: route read: 'maxAttempts' changes from 1 to not set"}},
        {"a route of another name", "\"name\":\"once\"", "\"name\":\"twice\"", {"difference: route twice: is removed", "difference: route once: is added"}},
        {"a changed weight", "\"weight\":1}", "\"weight\":2}", {"difference: route read, target next: 'weight' changes from 2 to 1"}},
        {"a service that is added", ",{\"name\":\"next\"}", "", {"difference: service next: is added"}},
        {"a changed timing of engines", "\"slots\":26", "\"slots\":25", {"difference: service llm: 'backend.slots' changes from 25 to 26"}},
        {"a changed model", "\"loadS\":16", "\"loadS\":1.5", {"difference: service llm, model big: 'loadS' changes from 1.5 to 16"}},
        {"a field that only the engines use", "\"far_x\":4.0", "\"far_x\":3", {"difference: service llm: 'backend.far_x' changes from 3 to 4"}},
        {"a changed limit", "\"maxBodyBytes\":200", "\"maxBodyBytes\":100", {"difference: limit maxBodyBytes: 'limits.maxBodyBytes' changes from 100 to 200"}},
        {"a key that is removed",
         "[\"secret-c\"]",
         "[\"secret-c\",\"secret-d\"]",
         {"difference: workspace other: 'apiKeys' changes from a list of 2 to a list of 1"}},
        {"a key that is replaced", "[\"secret-c\"]", "[\"secret-d\"]", {"difference: workspace other: 'apiKeys' changes from a list of 1 to a list of 1"}},
        {"a workspace that is added", ",{\"name\":\"other\",\"apiKeys\":[\"secret-c\"]}", "", {"difference: workspace other: is added"}},
    }));
    INFO(row.m_mistake);
    std::string inForce = configWith(row.m_from, row.m_to);
    inForce.replace(inForce.find("\"version\":2"), 11, "\"version\":1");
    std::vector<std::string> expected{"difference: configuration: 'version' changes from 1 to 2"};
    expected.insert(expected.end(), row.m_findings.begin(), row.m_findings.end());
    checkFindings(platform::checkConfigText(ConfigText, inForce), expected);
}
