#include "autotests/soak/soakclients.h"

#include "platform/names.h"

#include <algorithm>

namespace knapweedslip::soak
{
namespace
{
constexpr std::int64_t ConnectTimeoutMs = 1'000;

struct RequestKind
{
    const char *m_path;
    bool m_runsOnce;
    bool m_isStream;
    std::int64_t m_timeLimitMs;
    /** Share of the requests, in percent. */
    int m_share;
};

constexpr RequestKind Kinds[] = {{"/once/", true, false, 1'500, 50},
                                 {"/notice/", true, true, 4'000, 10},
                                 {"/digest/", false, true, 4'000, 5},
                                 {"/read/", false, false, 1'500, 10},
                                 {"/stream/", false, true, 8'000, 25}};

struct Connection
{
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    int m_daemon = 0;
};

const RequestKind &chooseKind(std::mt19937_64 &random)
{
    int share = std::uniform_int_distribution<int>(0, 99)(random);
    for (const RequestKind &kind : Kinds) {
        if (share < kind.m_share) {
            return kind;
        }
        share -= kind.m_share;
    }
    return Kinds[0];
}

/** Returns words that make the upstream work for a time, and sometimes a body that takes several writes. */
std::string requestBody(std::mt19937_64 &random, const std::string &id)
{
    const int draw = std::uniform_int_distribution<int>(0, 99)(random);
    std::string body = id;
    if (draw < 20) {
        body += " WORKS-" + std::to_string(std::uniform_int_distribution<int>(100, 1'200)(random));
    }
    if (draw >= 95) {
        body += std::string(100'000, '.');
    }
    return body;
}

std::string streamText(int events)
{
    std::string text;
    for (int event = 0; event < events; ++event) {
        text += "id: " + std::to_string(event) + "\ndata: token\n\n";
    }
    return text;
}

awaitable<void> readAnswer(Connection &connection, const RequestKind &kind, const std::string &id, int events, bool &isReusable, AttemptRecord &attempt)
{
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    const auto [error, size] = co_await http::async_read(connection.m_stream, connection.m_buffer, parser, UseTuple);
    attempt.m_endedMs = steadyMs();
    attempt.m_status = parser.is_header_done() ? parser.get().result_int() : 0;
    attempt.m_isComplete = !error;
    isReusable = !error && parser.get().keep_alive();
    if (error) {
        co_return;
    }
    const bool isOwn = parser.get()[platform::header::RequestId] == id && !parser.get()[platform::header::Signature].empty();
    attempt.m_isWhole = isOwn && parser.get().body() == (kind.m_isStream ? streamText(events) : R"({"done":true})");
}
}

std::string attemptPrefix(std::uint64_t seed)
{
    return "s" + std::to_string(seed) + "-";
}

awaitable<void> runClient(const SoakClientSettings &settings, int number, const bool &stop, std::vector<AttemptRecord> &attempts)
{
    constexpr std::uint64_t ClientSeeds = 1'000'003;
    std::mt19937_64 random(settings.m_seed * ClientSeeds + static_cast<std::uint64_t>(number));
    const auto below = [&random](std::size_t end) {
        return std::uniform_int_distribution<std::size_t>(0, end - 1)(random);
    };
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    std::unique_ptr<Connection> connection;
    for (int round = 0; !stop; ++round) {
        if (connection == nullptr) {
            const int daemon = static_cast<int>(below(settings.m_daemons.size()));
            connection = std::make_unique<Connection>(Connection{beast::tcp_stream(executor), {}, daemon});
            connection->m_stream.expires_after(std::chrono::milliseconds(ConnectTimeoutMs));
            const Tcp::endpoint endpoint = valueOf(parseEndpoint(settings.m_daemons[static_cast<std::size_t>(daemon)]));
            const auto [error] = co_await connection->m_stream.async_connect(endpoint, UseTuple);
            if (error) {
                connection.reset();
                co_await sleepFor(20);
                continue;
            }
        }
        const RequestKind &kind = chooseKind(random);
        AttemptRecord attempt;
        attempt.m_id = attemptPrefix(settings.m_seed) + std::to_string(number) + "-" + std::to_string(round);
        attempt.m_runsOnce = kind.m_runsOnce;
        attempt.m_daemon = connection->m_daemon + 1;
        attempt.m_sentMs = steadyMs();
        http::request<http::string_body> request(http::verb::post, kind.m_path + std::to_string(round), 11);
        request.set(http::field::host, "api");
        request.set(platform::header::Authorization, "Bearer " + settings.m_keys[below(settings.m_keys.size())]);
        request.set(platform::header::RequestId, attempt.m_id);
        request.set(platform::header::TimeLeftMs, std::to_string(kind.m_timeLimitMs));
        request.set(platform::header::Model, below(3) == 0 ? "large" : "model");
        request.set(platform::header::TokenEstimate, "100,100");
        request.body() = requestBody(random, attempt.m_id);
        request.prepare_payload();
        bool isReusable = false;
        connection->m_stream.expires_after(std::chrono::milliseconds(kind.m_timeLimitMs + 1'000));
        // A write that fails shows when the answer is read; a daemon may answer before it has read a long body.
        co_await http::async_write(connection->m_stream, request, UseTuple);
        attempt.m_endedMs = steadyMs();
        co_await readAnswer(*connection, kind, attempt.m_id, settings.m_events, isReusable, attempt);
        attempts.push_back(attempt);
        if (!isReusable) {
            connection.reset();
        }
        co_await sleepFor(static_cast<std::int64_t>(below(static_cast<std::size_t>(settings.m_maxPauseMs))));
    }
}
}
