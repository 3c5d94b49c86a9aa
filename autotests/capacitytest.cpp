// Guards against pages that disagree with the code: the capacity table and the catalogue of log events.

#include "benchmarks/capacitymodel.h"
#include "kernel/logevents.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace knapweedslip;

namespace
{
std::string readPage(const std::string &name)
{
    std::ifstream file(std::string(KNAPWEEDSLIP_SOURCE_DIR) + "/docs/" + name);
    REQUIRE(file);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}
}

TEST_CASE("the table of the capacity page matches its slopes", "[docs]")
{
    const std::string page = readPage("CAPACITY.md");
    const Result<Slopes> slopes = parseSlopes(page);
    REQUIRE_FALSE(failed(slopes));
    const Result<std::vector<CapacityLine>> lines = capacityLines(valueOf(slopes));
    REQUIRE_FALSE(failed(lines));
    CHECK_THAT(page, Catch::Contains(formatCapacity(valueOf(lines))));
    for (const CapacityLine &line : valueOf(lines)) {
        if (line.m_budget > 0.0 && line.m_value > line.m_budget) {
            INFO(line.m_role << ", " << line.m_what);
            CHECK_THAT(page, Catch::Contains("- " + line.m_role + ", " + line.m_what + ":"));
        }
    }
}

TEST_CASE("the event catalogue matches the table in the code", "[docs]")
{
    const std::string page = readPage("EVENTS.md");
    int last = 0;
    for (std::size_t i = 0; i < logEventTable().size(); ++i) {
        const LogEventRow &row = logEventTable()[i];
        CHECK(static_cast<std::size_t>(row.m_event) == i);
        CHECK(row.m_number > last);
        last = row.m_number;
        const std::string line = "| " + std::to_string(row.m_number) + " | " + std::string(row.m_name) + " | " + std::string(row.m_meaning) + " |";
        CHECK_THAT(page, Catch::Contains(line));
    }
    std::size_t rows = 0;
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);) {
        rows += line.compare(0, 3, "| 1") == 0 ? 1 : 0;
    }
    CHECK(rows == logEventTable().size());
}
