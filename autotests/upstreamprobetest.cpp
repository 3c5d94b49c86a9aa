// Guards against a successor under the same id being taken for the upstream that has ended, so that a request which ends upstreams is never refused (BUDGET).

#include "kernel/upstreamprobe.h"
#include "platform/entrydecoder.h"

#include <catch2/catch.hpp>

using namespace knapweedslip;

TEST_CASE("a probe tells a later lifetime of an upstream from the one that was asked for", "[probe][crash]")
{
    struct ProbeRow
    {
        const char *m_name;
        std::int64_t m_askedMs;
        unsigned m_status;
        const char *m_report;
        ProbeResult m_result;
    };
    constexpr std::int64_t StartedMs = 1'796'000'000'000;
    const ProbeRow rows[] = {
        {"the same lifetime", StartedMs, 200, R"({"born":1796000000000,"seq":3})", ProbeResult::Answered},
        {"the same lifetime fails", StartedMs, 503, R"({"born":1796000000000})", ProbeResult::Answered},
        {"another upstream", StartedMs, 421, "", ProbeResult::Gone},
        {"a later lifetime", StartedMs, 200, R"({"born":1796000002350,"seq":0})", ProbeResult::Gone},
        {"a later lifetime that fails", StartedMs, 503, R"({"born":1796000002350})", ProbeResult::Gone},
        {"a later lifetime whose clock is behind", StartedMs, 200, R"({"born":1795999999000})", ProbeResult::Gone},
        {"the answer names no start", StartedMs, 200, R"({"seq":3})", ProbeResult::Answered},
        {"the answer cannot be read", StartedMs, 200, "no report", ProbeResult::Answered},
        {"the list named no start", 0, 200, R"({"born":1796000002350})", ProbeResult::Answered},
    };
    for (const ProbeRow &row : rows) {
        INFO(row.m_name);
        UpstreamEntry entry;
        platform::applyReport(entry, row.m_report);
        CHECK(judgeProbeReply({"i-1", row.m_askedMs}, {row.m_status, entry.m_startedMs}) == row.m_result);
    }
}
