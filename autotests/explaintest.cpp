// Guards against an explanation that misses the cause of a failed request. The log lines come from docs/OPERATIONS.md, so that the page and the tool
// stay in agreement.

#include "tools/explain.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

using namespace knapweedslip;

namespace
{
/** Returns the log lines shown on the page, which are indented JSON objects. */
std::string pageLogLines()
{
    std::ifstream page(std::string(KNAPWEEDSLIP_SOURCE_DIR) + "/docs/OPERATIONS.md");
    std::string lines;
    for (std::string line; std::getline(page, line);) {
        if (line.rfind("    {", 0) == 0) {
            lines += line.substr(4) + "\n";
        }
    }
    return lines;
}

RequestExplanation explain(const std::string &log, const std::string &id)
{
    std::istringstream stream(log);
    return explainRequest({&stream}, id);
}
}

TEST_CASE("the explain command finds the cause in each example of the operations page", "[explain]")
{
    struct Row
    {
        const char *m_name;
        const char *m_request;
        std::size_t m_lines;
        const char *m_cause;
    };
    const std::vector<Row> rows{
        {"refused", "98217947bf1b262f", 1, "no-upstream (no upstream could take it at that moment); it has not run; retry after 700 ms"},
        {"cut with its group", "07804c5000128fd3", 5, "cut after event 25 and 2 sends: time-over"},
        {"outcome unknown", "0d135615094a6a68", 4, "it was sent and may have run"},
        {"a part that ends upstreams", "9762627030870", 1, "upstreams that ended under it in these logs: 2: i-911c8e80a7cc80a1, i-cb8df3196a4c11a"},
        {"a request that ends upstreams", "24366221335343", 1, "upstreams that ended under it in these logs: 1: i-788a466ba9e6333f"},
        {"cold upstream", "63ec0a7fe6ad10b7", 1, "cold for another 271 ms, with its limit divided by 79 daemons"},
    };
    const std::string log = pageLogLines();
    for (const Row &row : rows) {
        CAPTURE(row.m_name);
        const RequestExplanation explanation = explain(log, row.m_request);
        CHECK(explanation.m_unreadableLines == 0);
        CHECK(explanation.m_lines.size() == row.m_lines);
        REQUIRE_FALSE(explanation.m_findings.empty());
        CHECK(explanation.m_findings.back().find(row.m_cause) != std::string::npos);
    }
}

// Guards against an engine that gets no requests without anybody finding out why.
TEST_CASE("the explain command finds why an upstream is not used", "[explain][availability]")
{
    struct Row
    {
        const char *m_name;
        std::string m_log;
        const char *m_upstream;
        std::size_t m_findings;
        const char *m_finding;
    };
    const std::string changed =
        R"({"time":"2026-12-04T12:00:00.000Z","name":"upstream-changed","process":"p","upstream":"u","change":"new","availability_zone":"z"})";
    const std::string leaving =
        R"({"time":"2026-12-04T12:00:01.000Z","name":"upstream-withheld","process":"p","upstream":"u","reason":"says-leaving","for_ms":-1})";
    const std::string evacuated =
        R"({"time":"2026-12-04T12:00:02.000Z","name":"evacuation-changed","process":"p","availability_zone":"z","out_of_service":true})";
    const std::string other = R"({"time":"2026-12-04T12:00:02.000Z","name":"evacuation-changed","process":"p","availability_zone":"y","out_of_service":true})";
    const std::string restarted =
        R"({"time":"2026-12-04T12:00:03.000Z","name":"upstream-changed","process":"p","upstream":"u","change":"new","availability_zone":"z"})";
    const std::vector<Row> rows{
        {"the operations page", pageLogLines(), "i-666ac1f728fd7dc7", 4, "it turns requests of 2 more away"},
        {"leaves", leaving + "\n" + changed, "u", 3, "at the last line, 1 daemons know from it that it leaves"},
        {"restarted since", restarted + "\n" + leaving, "u", 3, "at the last line, 0 daemons know from it that it leaves"},
        {"its zone is out of service", evacuated + "\n" + other + "\n" + changed, "u", 3, "its availability zone z was taken out of service"},
        {"unknown", changed + "\ncut off {", "v", 0, ""},
    };
    for (const Row &row : rows) {
        CAPTURE(row.m_name);
        std::istringstream stream(row.m_log);
        const UpstreamExplanation explanation = explainUpstream({&stream}, row.m_upstream);
        const std::string text = formatExplanation(explanation, row.m_upstream);
        CHECK(explanation.m_findings.size() == row.m_findings);
        CHECK(text.find(row.m_finding) != std::string::npos);
        CHECK(explanation.m_lines.empty() == (text.find("No line names upstream") == 0));
    }
}

TEST_CASE("the explain command handles unsorted lines, truncated lines and unknown ids", "[explain]")
{
    const std::string late = R"({"time":"2026-01-01T00:00:02.000Z","name":"request-refused","process":"a","request":"r","reason":"stale-keys","status":503})";
    const std::string early = R"({"time":"2026-01-01T00:00:01.500Z","name":"store-lost","process":"a","error":"no answer in time"})";
    const std::string other = R"({"time":"2026-01-01T00:00:01.500Z","name":"store-lost","process":"b","error":"no answer in time"})";
    const std::string old = R"({"time":"2025-12-31T23:59:58.000Z","name":"store-lost","process":"a","error":"older than three seconds"})";
    RequestExplanation explanation = explain(late + "\n{\"torn\n" + other + "\n" + early + "\n\n", "r");
    REQUIRE(explanation.m_lines.size() == 2);
    CHECK(explanation.m_findings.front() == "the daemon had lost the store: no answer in time");
    CHECK(explanation.m_unreadableLines == 1);
    explanation = explain(old + "\n" + late, "r");
    CHECK(explanation.m_lines.size() == 1);
    explanation = explain(early + "\n" + late, "unknown");
    CHECK(explanation.m_lines.empty());
    CHECK(formatExplanation(explanation, "unknown").find("No line names request unknown") == 0);
}
