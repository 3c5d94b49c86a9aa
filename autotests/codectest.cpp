#include "net/httpclient.h"
#include "net/keys.h"
#include "net/metrics.h"
#include "net/peercodec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace knapweedslip;

namespace
{
HeartbeatMessage makeHeartbeat()
{
    HeartbeatMessage message;
    message.m_sender = "g1";
    message.m_viewIndex = 7;
    message.m_confirmationAgeMs = 12;
    Member member;
    member.m_name = "c1";
    member.m_role = Role::Controller;
    member.m_availabilityZone = "z";
    member.m_incarnation = 3;
    member.m_heartbeat = 4;
    member.m_viewIndex = 6;
    member.m_ready = true;
    member.m_synced = true;
    member.m_ageMs = 55;
    message.m_members = {member};
    message.m_reports = {{UpstreamReport{"u", 9, ReportKind::SetApart}, 100}};
    message.m_crashRecords = {{CrashRecord{11, 1, 2, 0, -1}, 200}};
    return message;
}
}

TEST_CASE("peer messages are unchanged by encoding and decoding", "[codec]")
{
    const Result<PeerMessage> decoded = decodePeerMessage(encodePeerMessage(makeHeartbeat()));
    REQUIRE_FALSE(failed(decoded));
    const HeartbeatMessage &message = std::get<HeartbeatMessage>(valueOf(decoded));
    CHECK(message.m_sender == "g1");
    CHECK(message.m_confirmationAgeMs == 12);
    REQUIRE(message.m_members.size() == 1);
    CHECK(message.m_members[0].m_role == Role::Controller);
    CHECK(message.m_members[0].m_synced);
    CHECK_FALSE(message.m_members[0].m_leaving);
    CHECK(message.m_members[0].m_ageMs == 55);
    CHECK(message.m_reports[0].m_report.m_kind == ReportKind::SetApart);
    CHECK(message.m_crashRecords[0].m_record.m_sharedCrashes == 2);
    const DocumentDelta delta{1, 2, 3, {{"k", 2, std::string("a\0b", 3)}}};
    const Result<PeerMessage> again = decodePeerMessage(encodePeerMessage(delta));
    REQUIRE_FALSE(failed(again));
    CHECK(std::get<DocumentDelta>(valueOf(again)).m_documents[0].m_value == std::string("a\0b", 3));
}

TEST_CASE("malformed peer messages neither crash the decoder nor yield an unknown report kind", "[codec][fuzz]")
{
    const std::string good = encodePeerMessage(makeHeartbeat());
    for (std::size_t length = 0; length < good.size(); ++length) {
        decodePeerMessage(good.substr(0, length));
    }
    rc::prop("random bytes changed", [&good]() {
        std::string bytes = good;
        const std::vector<std::pair<int, char>> changes = *rc::gen::container<std::vector<std::pair<int, char>>>(
            rc::gen::pair(rc::gen::inRange(0, static_cast<int>(good.size())), rc::gen::arbitrary<char>()));
        for (const std::pair<int, char> &change : changes) {
            bytes[static_cast<std::size_t>(change.first)] = change.second;
        }
        const Result<PeerMessage> decoded = decodePeerMessage(bytes);
        if (!failed(decoded) && std::holds_alternative<HeartbeatMessage>(valueOf(decoded))) {
            for (const AgedReport &report : std::get<HeartbeatMessage>(valueOf(decoded)).m_reports) {
                RC_ASSERT(report.m_report.m_kind <= ReportKind::SetApart);
            }
        }
    });
    rc::prop("any bytes", []() {
        decodePeerMessage(*rc::gen::arbitrary<std::string>());
    });
}

TEST_CASE("base64 and keys", "[codec]")
{
    rc::prop("decoding reverses encoding", []() {
        const std::string bytes = *rc::gen::arbitrary<std::string>();
        RC_ASSERT(valueOf(decodeBase64(encodeBase64(bytes))) == bytes);
    });
    CHECK(failed(decodeBase64("a")));
    CHECK(failed(decodeBase64("****")));
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(equalSecrets("abc", "abc"));
    CHECK_FALSE(equalSecrets("abc", "abd"));
    CHECK_FALSE(equalSecrets("abc", "abcd"));
    CHECK(failed(readSecret("/nowhere/key")));
}

TEST_CASE("server-sent events are split correctly whatever the chunk boundaries", "[codec]")
{
    rc::prop("chunks of any length", []() {
        const std::string stream = "data: {\"a\":1}\n\nevent: error\ndata: x\n\ndata: [DONE]\n\n";
        EventSplitter splitter;
        std::vector<std::string> events;
        std::size_t at = 0;
        while (at < stream.size()) {
            const std::size_t length = *rc::gen::inRange<std::size_t>(1, 9);
            for (const std::string &event : splitter.feed(std::string_view(stream).substr(at, length))) {
                events.push_back(event);
            }
            at += length;
        }
        RC_ASSERT(events == (std::vector<std::string>{"{\"a\":1}", "[DONE]"}));
    });
}

// Guards against an upstream that sends bytes without end inside one event, which filled a gateway's memory until the request's time was over (issue 49).
TEST_CASE("an event that does not end is given up", "[codec]")
{
    const std::size_t pieceBytes = GENERATE(std::size_t(1), std::size_t(4), std::size_t(8'192));
    const std::string piece(pieceBytes, 'x');
    EventSplitter splitter;
    CHECK(splitter.feed("data: first\n\ndata: ").size() == 1);
    std::size_t fed = 6;
    for (; fed <= EventReassembler::MaxEventBytes; fed += pieceBytes) {
        splitter.feed(piece);
    }
    CHECK(splitter.isTooLong());
    CHECK(splitter.feed("\n\ndata: next\n\n").empty());
}

TEST_CASE("histograms return quantiles and the Prometheus text format", "[metrics]")
{
    LatencyHistogram histogram;
    CHECK(histogram.quantile(0.5) == 0.0);
    for (int i = 1; i <= 1'000; ++i) {
        histogram.add(i);
    }
    histogram.add(0.0);
    CHECK(histogram.count() == 1'001);
    CHECK(histogram.quantile(0.5) == Approx(500.0).epsilon(0.15));
    CHECK(histogram.quantile(0.99) == Approx(990.0).epsilon(0.15));
    const std::string text = histogram.expose("name_ms", "help");
    CHECK_THAT(text, Catch::Contains("name_ms_bucket{le=\"+Inf\"} 1001"));
    CHECK_THAT(text, Catch::Contains("# TYPE name_ms histogram"));
}
