// Pattern: a second copy of an engine's earlier answer comes where the answer to an order is due.

#include "daemons/ordercall.h"

#include "platform/names.h"

#include <catch2/catch.hpp>

using namespace knapweedslip;

namespace
{
constexpr unsigned DoneStatus = 200;
constexpr unsigned BegunStatus = 202;

struct EngineCourse
{
    /** Its answers name the order. */
    bool m_namesOrders = true;
    /** The first answer comes once more where the next one on its connection is due. */
    bool m_copiesAnswer = false;
};

struct EngineRecord
{
    int m_connections = 0;
    int m_orders = 0;
    int m_copies = 0;
};

awaitable<void> serveConnection(Tcp::socket socket, EngineCourse course, EngineRecord &record)
{
    beast::flat_buffer buffer;
    std::string copy;
    while (true) {
        http::request<http::string_body> request;
        const auto [error, size] = co_await http::async_read(socket, buffer, request, UseTuple);
        if (error) {
            co_return;
        }
        if (!copy.empty()) {
            ++record.m_copies;
            co_await asio::async_write(socket, asio::buffer(copy), UseTuple);
            copy.clear();
        }
        const bool isFirst = ++record.m_orders == 1;
        std::string answer = "HTTP/1.1 " + std::to_string(isFirst ? DoneStatus : BegunStatus) + " X\r\nContent-Length: 2\r\n";
        if (course.m_namesOrders) {
            answer += std::string(platform::header::RequestId) + ": " + std::string(request[platform::header::RequestId]) + "\r\n";
        }
        answer += "\r\n{}";
        copy = isFirst && course.m_copiesAnswer ? answer : "";
        co_await asio::async_write(socket, asio::buffer(answer), UseTuple);
    }
}

awaitable<void> serveEngine(Tcp::acceptor &acceptor, EngineCourse course, EngineRecord &record)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    while (true) {
        auto [error, socket] = co_await acceptor.async_accept(UseTuple);
        if (error) {
            co_return;
        }
        ++record.m_connections;
        asio::co_spawn(executor, serveConnection(std::move(socket), course, record), asio::detached);
    }
}

awaitable<void> sendOrders(const std::string &address, int orders, std::vector<unsigned> &statuses)
{
    constexpr std::int64_t TimeoutMs = 1'000;
    ConnectionPool pool;
    EngineOrder order;
    order.m_address = address;
    for (int i = 0; i < orders; ++i) {
        const Result<HttpReply> reply = co_await orderCall(pool, order, TimeoutMs);
        statuses.push_back(failed(reply) ? 0 : valueOf(reply).m_status);
    }
}
}

// Guards against the copy of an earlier answer that counts as "the replica is closed" or "the member is ready" (rules TWO and PARTIAL).
TEST_CASE("the copy of an earlier answer is not the answer to an order", "[orders]")
{
    struct Row
    {
        const char *m_description;
        EngineCourse m_course;
        int m_connections;
    };
    const Row row = GENERATE(values<Row>({
        {"the engine names orders", {true, false}, 1},
        {"the engine names orders, a copy", {true, true}, 2},
        {"the engine names no orders", {false, false}, 4},
        {"the engine names no orders, a copy", {false, true}, 4},
    }));
    INFO(row.m_description);
    asio::io_context io(1);
    Tcp::acceptor acceptor(io, Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    EngineRecord record;
    std::vector<unsigned> statuses;
    asio::co_spawn(io, serveEngine(acceptor, row.m_course, record), asio::detached);
    asio::co_spawn(
        io,
        [&]() -> awaitable<void> {
            co_await sendOrders(address, 4, statuses);
            io.stop();
        },
        asio::detached);
    io.run();
    const std::vector<unsigned> expected{DoneStatus, BegunStatus, BegunStatus, BegunStatus};
    CHECK(statuses == expected);
    CHECK(record.m_connections == row.m_connections);
    CHECK(record.m_copies == (row.m_course.m_namesOrders && row.m_course.m_copiesAnswer ? 1 : 0));
}
