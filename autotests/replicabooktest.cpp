// Pattern: streams with prompts of very different length share groups with other gateways; a group dies under them, or only reads.

#include "kernel/replicabook.h"
#include "autotests/entryfixtures.h"
#include "kernel/pulse.h"

#include <catch2/catch.hpp>

using namespace knapweedslip;

namespace
{
BookedReplica group(const std::string &model, std::uint64_t epoch, const std::string &zone = "a")
{
    BookedReplica replica;
    replica.m_ref = {replicaName(model, epoch), epoch};
    replica.m_model = model;
    replica.m_head = "engine-" + std::to_string(epoch);
    replica.m_address = "127.0.0.1:1";
    replica.m_availabilityZone = zone;
    replica.m_usable = true;
    return replica;
}

ReplicaBook bookOf(const std::vector<BookedReplica> &replicas)
{
    ReplicaBook book;
    book.setService(engineServiceFixture());
    book.setReplicas(replicas);
    return book;
}

/** Longest pass of a working group of "big", all slots in use and every step reading a whole chunk, in ms. */
double longestPass()
{
    return longestPauseMs(*engineServiceFixture().m_engines, {}, 1.0);
}
}

TEST_CASE("a group that reads long prompts is not silent", "[entry][book]")
{
    ReplicaBook book = bookOf({group("big", 1)});
    const std::uint64_t writer = book.begin(*book.find({"big.1", 1}), 1'000, 0);
    std::int64_t nowMs = 50;
    book.event(writer, 1, nowMs);
    // Another gateway's prompts make each pass as long as it can be.
    for (int pass = 0; pass < 20; ++pass) {
        const std::int64_t nextMs = nowMs + static_cast<std::int64_t>(longestPass());
        for (; nowMs < nextMs; nowMs += 15) {
            CHECK(book.findSilent(nowMs).empty());
        }
        nowMs = nextMs;
        book.event(writer, 1, nowMs);
    }
}

TEST_CASE("a group that stops is silent within one longest pass and a supervision interval", "[entry][book]")
{
    ReplicaBook book = bookOf({group("big", 1), group("big", 2)});
    const std::uint64_t writer = book.begin(*book.find({"big.1", 1}), 1'000, 0);
    book.event(writer, 1, 40);
    const std::int64_t limitMs = 40 + static_cast<std::int64_t>(longestPass()) + BookSettings().m_silenceSlackMs;
    CHECK(book.findSilent(limitMs - 1).empty());
    const std::vector<ReplicaRef> silent = book.findSilent(limitMs + 15);
    REQUIRE(silent.size() == 1);
    CHECK(silent.front().m_epoch == 1);
    const BookedReplica *chosen = book.choose("big", 100, "a", {}, limitMs + 15);
    REQUIRE(chosen != nullptr);
    CHECK(chosen->m_ref.m_epoch == 2);
}

TEST_CASE("work that another gateway sees proves a group alive", "[entry][book]")
{
    ReplicaBook book = bookOf({group("big", 1)});
    book.begin(*book.find({"big.1", 1}), 1'000, 0);
    PeerLoad peer;
    peer.m_progressMs = 1'000;
    book.setPeerLoads({{1, peer}});
    CHECK(book.findSilent(1'300).empty());
    CHECK(book.findSilent(3'000).size() == 1);
}

TEST_CASE("a stream whose answer was lost goes on elsewhere though its group works", "[entry][book]")
{
    // An engine may run a request whose answer is lost on its way; its client gives up after 2 s without an event.
    const bool writing = GENERATE(false, true);
    ReplicaBook book = bookOf({group("small", 1)});
    const std::uint64_t lost = book.begin(*book.find({"small.1", 1}), 500, 0);
    const std::uint64_t other = book.begin(*book.find({"small.1", 1}), 500, 0);
    if (writing) {
        book.event(lost, 1, 40);
    }
    std::vector<std::uint64_t> stuck;
    std::int64_t nowMs = 40;
    for (; stuck.empty() && nowMs < 2'000; nowMs += 30) {
        book.event(other, 1, nowMs);
        stuck = book.findStuck(nowMs);
    }
    CHECK(stuck == std::vector<std::uint64_t>{lost});
    // Long before the client gives up, and longer than any working group takes.
    CHECK(nowMs < 1'000);
    CHECK(nowMs > 400);
    CHECK(book.findSilent(nowMs).empty());
}

TEST_CASE("a stream in a queue that is longer than expected stays where it is", "[entry][book]")
{
    // Other gateways fill the group: what was sent here earlier writes on, what comes now waits for a slot.
    ReplicaBook book = bookOf({group("small", 1)});
    const std::uint64_t earlier = book.begin(*book.find({"small.1", 1}), 500, 0);
    book.event(earlier, 1, 40);
    const std::uint64_t queued = book.begin(*book.find({"small.1", 1}), 500, 100);
    for (std::int64_t nowMs = 130; nowMs < 1'400; nowMs += 30) {
        CAPTURE(nowMs);
        book.event(earlier, 1, nowMs);
        REQUIRE(book.findStuck(nowMs).empty());
    }
    // By then its answer counts as lost: the client leaves after 2 s.
    book.event(earlier, 1, 1'510);
    CHECK(book.findStuck(1'520) == std::vector<std::uint64_t>{queued});
}

TEST_CASE("a slow group is not silent while it works at its own pace", "[entry][book]")
{
    ReplicaBook book = bookOf({group("small", 1)});
    const std::uint64_t writer = book.begin(*book.find({"small.1", 1}), 500, 0);
    std::int64_t nowMs = 100;
    for (int i = 0; i < 60; ++i) {
        book.event(writer, 1, nowMs);
        nowMs += 125;
    }
    CHECK(book.find({"small.1", 1})->m_slowness > 2.0);
    CHECK(book.findSilent(nowMs + 300).empty());
}

TEST_CASE("requests go where their first event is expected soonest", "[entry][book]")
{
    struct Row
    {
        const char *m_what;
        ReplicaLoad m_first;
        ReplicaLoad m_second;
        std::uint64_t m_epoch;
    };
    const Row row = GENERATE(values<Row>({
        {"all equal: the own zone", {}, {}, 2},
        {"a prompt waits at home", {0, 1, 0.0, 0}, {0, 1, 120.0, 4'000}, 1},
        {"all slots are taken at home", {4, 0, 0.0, 4'000}, {26, 4, 0.0, 30'000}, 1},
        {"a little more at home", {10, 0, 0.0, 9'000}, {12, 0, 0.0, 11'000}, 2},
    }));
    INFO(row.m_what);
    ReplicaBook book = bookOf({group("big", 1, "b"), group("big", 2, "a")});
    book.setPeerLoads({{1, PeerLoad{row.m_first, 0}}, {2, PeerLoad{row.m_second, 0}}});
    const BookedReplica *chosen = book.choose("big", 1'000, "a", {}, 0);
    REQUIRE(chosen != nullptr);
    CHECK(chosen->m_ref.m_epoch == row.m_epoch);
}

TEST_CASE("what was booked is given back however a stream ends", "[entry][book]")
{
    ReplicaBook book = bookOf({group("big", 1)});
    for (int i = 0; i < 50; ++i) {
        const std::uint64_t stream = book.begin(*book.find({"big.1", 1}), 100 * i, i);
        if (i % 3 != 0) {
            book.event(stream, 1, i + 50);
        }
        book.end(stream);
        book.end(stream);
    }
    const BookedReplica *replica = book.find({"big.1", 1});
    REQUIRE(replica != nullptr);
    CHECK(replica->m_own.m_writing == 0);
    CHECK(replica->m_own.m_waiting == 0);
    CHECK(replica->m_own.m_contextTokens == 0);
    CHECK(replica->m_own.m_unreadMs == Approx(0.0).margin(1e-6));
}

TEST_CASE("pulses of the others add up, and are forgotten", "[entry][pulse]")
{
    PulseBook pulses;
    DaemonPulse pulse;
    pulse.m_sender = "b";
    pulse.m_number = 1;
    pulse.m_groups = {{7, {2, 1, 300.0, 3'000}, 20, false}};
    pulses.take(pulse, 1'000);
    pulse.m_sender = "c";
    pulse.m_groups = {{7, {1, 0, 0.0, 1'000}, 5, true}};
    pulses.take(pulse, 1'010);
    const PeerView view = pulses.view(1'050);
    REQUIRE(view.m_loads.count(7) == 1);
    CHECK(view.m_loads.at(7).m_load.m_writing == 3);
    CHECK(view.m_loads.at(7).m_load.m_waiting == 1);
    CHECK(view.m_loads.at(7).m_progressMs == 1'005);
    CHECK(view.m_silent == std::vector<std::uint64_t>{7});
    SECTION("a pulse that comes late does not undo a newer one")
    {
        DaemonPulse old = pulse;
        old.m_sender = "b";
        old.m_number = 0;
        old.m_groups.clear();
        pulses.take(old, 1'060);
        CHECK(pulses.view(1'060).m_loads.at(7).m_load.m_writing == 3);
    }
    SECTION("a daemon that is silent no longer counts")
    {
        CHECK(pulses.view(1'010 + PulseBook::LifeMs + 1).m_loads.empty());
    }
    SECTION("a daemon that started anew counts from the beginning")
    {
        pulse.m_number = 1;
        pulse.m_groups.clear();
        pulses.take(pulse, 1'010 + PulseBook::LifeMs + 1);
        CHECK(pulses.heard(1'010 + PulseBook::LifeMs + 2) == 1);
    }
}
