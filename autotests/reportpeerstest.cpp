// Guards against a daemon that is told nothing because the store turned it away, and that takes this for silence of the others (rule DRAIN, incident of issue
// 49): its registration had ended, and they sent it no reports any longer.

#include "kernel/reportpeers.h"

#include <catch2/catch.hpp>

using namespace knapweedslip;

namespace
{
constexpr const char *Self = "self:1";
constexpr const char *OtherAddress = "10.0.0.2:7003";
constexpr const char *NewAddress = "10.0.0.3:7003";

/** What happens to the daemon "other". */
enum class PeerStep {
    Registers,
    /** At NewAddress. */
    RegistersElsewhere,
    LosesRegistration,
    Reports,
    /** From NewAddress. */
    ReportsElsewhere,
};

struct TimedStep
{
    std::int64_t m_atMs = 0;
    PeerStep m_step = PeerStep::Registers;
};

void apply(ReportPeers &peers, const TimedStep &step)
{
    switch (step.m_step) {
    case PeerStep::Registers:
        peers.setRegistered("other", OtherAddress);
        break;
    case PeerStep::RegistersElsewhere:
        peers.setRegistered("other", NewAddress);
        break;
    case PeerStep::LosesRegistration:
        peers.endRegistration("other", step.m_atMs);
        break;
    case PeerStep::Reports:
        peers.recordReport("other", OtherAddress, step.m_atMs);
        break;
    case PeerStep::ReportsElsewhere:
        peers.recordReport("other", NewAddress, step.m_atMs);
        break;
    }
}
}

// Guards against reports that end with a registration, as in the incident DRAIN of issue 49, and against reports to a daemon that is gone for good.
TEST_CASE("a daemon gets reports while it is registered, was so lately, or sends reports", "[report-peers]")
{
    constexpr std::int64_t Keep = ReportPeers::KeepMs;
    struct Row
    {
        const char *m_description;
        std::vector<TimedStep> m_steps;
        std::int64_t m_atMs;
        /** Null for none. */
        const char *m_recipient;
    };
    const std::vector<Row> rows{
        {"nothing is known", {}, 0, nullptr},
        {"registered", {{0, PeerStep::Registers}}, 10 * Keep, OtherAddress},
        {"its registration has ended", {{0, PeerStep::Registers}, {1'000, PeerStep::LosesRegistration}}, 1'000 + Keep, OtherAddress},
        {"it ended long ago", {{0, PeerStep::Registers}, {1'000, PeerStep::LosesRegistration}}, 1'001 + Keep, nullptr},
        {"it ended long ago, but its reports arrive",
         {{0, PeerStep::Registers}, {1'000, PeerStep::LosesRegistration}, {Keep, PeerStep::Reports}},
         2 * Keep,
         OtherAddress},
        {"its reports end too", {{0, PeerStep::Registers}, {1'000, PeerStep::LosesRegistration}, {Keep, PeerStep::Reports}}, 2 * Keep + 1, nullptr},
        {"it is registered again", {{0, PeerStep::Registers}, {1'000, PeerStep::LosesRegistration}, {9'000, PeerStep::Registers}}, 10 * Keep, OtherAddress},
        {"a new VM has its name", {{0, PeerStep::Registers}, {1'000, PeerStep::LosesRegistration}, {9'000, PeerStep::RegistersElsewhere}}, 9'000, NewAddress},
        {"it was never registered here, but sends reports", {{0, PeerStep::Reports}}, Keep, OtherAddress},
        {"the same, later", {{0, PeerStep::Reports}}, Keep + 1, nullptr},
        {"the same, from another address", {{0, PeerStep::Reports}, {10, PeerStep::ReportsElsewhere}}, 10, NewAddress},
        {"a registration says where reports go", {{0, PeerStep::Registers}, {10, PeerStep::ReportsElsewhere}}, 10, OtherAddress},
    };
    const bool removesOld = GENERATE(true, false);
    for (const Row &row : rows) {
        CAPTURE(row.m_description, removesOld);
        ReportPeers peers;
        peers.setRegistered("self", Self);
        for (const TimedStep &step : row.m_steps) {
            apply(peers, step);
        }
        if (removesOld) {
            peers.takeChanges(1'000, row.m_atMs);
        }
        const std::vector<std::string> expected = row.m_recipient == nullptr ? std::vector<std::string>() : std::vector<std::string>{row.m_recipient};
        CHECK(peers.recipients("self", row.m_atMs) == expected);
    }
}

// Guards against logs that do not tell which daemons were heard during an outage.
TEST_CASE("a daemon that falls silent, or is heard again, is told once", "[report-peers]")
{
    constexpr std::int64_t SilentMs = 1'000;
    ReportPeers peers;
    peers.setRegistered("other", OtherAddress);
    CHECK(peers.takeChanges(SilentMs, 0).empty());
    peers.recordReport("other", OtherAddress, 100);
    const std::vector<ContactChange> heard = peers.takeChanges(SilentMs, 200);
    REQUIRE(heard.size() == 1);
    CHECK((heard[0].m_heard && heard[0].m_daemon == "other" && heard[0].m_ageMs == 100));
    CHECK(peers.heardCount() == 1);
    CHECK(peers.takeChanges(SilentMs, 1'100).empty());
    const std::vector<ContactChange> silent = peers.takeChanges(SilentMs, 1'101);
    REQUIRE(silent.size() == 1);
    CHECK((!silent[0].m_heard && silent[0].m_ageMs == 1'001));
    CHECK(peers.heardCount() == 0);
    CHECK(peers.takeChanges(SilentMs, 5'000).empty());
}

// Guards against datagrams with ever new names that fill the memory, or keep out daemons that are registered.
TEST_CASE("senders that were never registered are bounded in number", "[report-peers]")
{
    ReportPeers peers;
    for (std::size_t i = 0; i < 3 * ReportPeers::MaxUnknown; ++i) {
        peers.recordReport("unknown-" + std::to_string(i), OtherAddress, 0);
    }
    CHECK(peers.recipients("self", 0).size() == ReportPeers::MaxUnknown);
    peers.setRegistered("registered", NewAddress);
    peers.setRegistered("unknown-0", NewAddress);
    peers.recordReport("one more", OtherAddress, 0);
    peers.recordReport("too many", OtherAddress, 0);
    CHECK(peers.recipients("self", 0).size() == ReportPeers::MaxUnknown + 2);
    peers.takeChanges(1'000, ReportPeers::KeepMs + 1);
    CHECK(peers.recipients("self", ReportPeers::KeepMs + 1).size() == 2);
    peers.recordReport("later", OtherAddress, ReportPeers::KeepMs + 1);
    CHECK(peers.recipients("self", ReportPeers::KeepMs + 1).size() == 3);
}
