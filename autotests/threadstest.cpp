#include "autotests/fixtures.h"
#include "daemons/dispatcher.h"
#include "net/iothreads.h"
#include "net/metrics.h"
#include "net/snapshotcell.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace knapweedslip;
using namespace knapweedslip::test;

TEST_CASE("readers of a snapshot cell see consistent values that never get older", "[threads]")
{
    struct Pair
    {
        std::uint64_t m_a = 0;
        std::uint64_t m_b = 0;
    };
    SnapshotCell<Pair> cell;
    cell.publish(std::make_shared<const Pair>());
    std::atomic<bool> done{false};
    std::atomic<int> inconsistent{0};
    std::vector<std::thread> readers;
    for (int i = 0; i < 3; ++i) {
        readers.emplace_back([&]() {
            SnapshotCell<Pair>::Reader reader;
            std::uint64_t last = 0;
            while (!done) {
                const std::shared_ptr<const Pair> value = cell.read(reader);
                inconsistent += value->m_a != value->m_b || value->m_a < last ? 1 : 0;
                last = value->m_a;
            }
        });
    }
    for (std::uint64_t k = 1; k <= 2'000; ++k) {
        cell.publish(std::make_shared<const Pair>(Pair{k, k}));
    }
    done = true;
    for (std::thread &reader : readers) {
        reader.join();
    }
    CHECK(inconsistent == 0);
    CHECK(cell.current()->m_a == 2'000);
}

TEST_CASE("requests of several threads share the limits of one dispatcher", "[threads]")
{
    SchedulerSettings settings;
    settings.m_self = "g1";
    Result<std::unique_ptr<Dispatcher>> created = Dispatcher::create(settings);
    Dispatcher &dispatcher = *valueOf(created);
    constexpr int Limit = 3;
    constexpr int Requests = 300;
    dispatcher.setTable(RouteTableBuilder().model("m").workspace("w").upstream("u", Limit).build());
    IoThreads threads(3);
    std::atomic<int> running{0};
    std::atomic<int> maxRunning{0};
    std::atomic<int> finished{0};
    std::vector<asio::io_context *> workers = threads.workers();
    for (int i = 0; i < Requests; ++i) {
        const WorkRequest request = makeRequest(static_cast<std::uint64_t>(i) + 1, "w", steadyMs() + 60'000);
        asio::co_spawn(
            *workers[static_cast<std::size_t>(i) % workers.size()],
            [&, request]() -> awaitable<void> {
                const Action action = co_await dispatcher.submit(request);
                if (action.m_kind == ActionKind::Dispatch) {
                    const int now = ++running;
                    int seen = maxRunning;
                    while (now > seen && !maxRunning.compare_exchange_weak(seen, now)) { }
                    co_await sleepFor(1);
                    --running;
                    dispatcher.finish(request.m_id, AttemptEnd::Finished);
                }
                if (++finished == Requests) {
                    threads.stop();
                }
            },
            asio::detached);
    }
    threads.run();
    CHECK(finished == Requests);
    CHECK(maxRunning <= Limit);
    CHECK(running == 0);
    CHECK(dispatcher.counters().m_dispatched >= static_cast<std::uint64_t>(Limit));
}

TEST_CASE("a watched attempt is cancelled on its own thread when its upstream is reported in doubt", "[threads]")
{
    SchedulerSettings settings;
    Result<std::unique_ptr<Dispatcher>> created = Dispatcher::create(settings);
    Dispatcher &dispatcher = *valueOf(created);
    dispatcher.setTable(RouteTableBuilder().model("m").workspace("w").upstream("u").build());
    IoThreads threads(1);
    Upstream upstream;
    upstream.m_id = "u";
    upstream.m_generation = 1;
    std::thread::id cancelledOn;
    std::thread::id worker;
    asio::post(*threads.workers().front(), [&]() {
        worker = std::this_thread::get_id();
        dispatcher.watchAttempt(1, upstream, threads.workers().front()->get_executor(), [&]() {
            cancelledOn = std::this_thread::get_id();
            threads.stop();
        });
        asio::post(threads.control(), [&]() {
            dispatcher.report({"u", 1, ReportKind::Doubt});
        });
    });
    threads.run();
    CHECK(cancelledOn == worker);
}

TEST_CASE("several threads can add to one histogram", "[threads]")
{
    LatencyHistogram histogram;
    std::vector<std::thread> writers;
    for (int i = 0; i < 4; ++i) {
        writers.emplace_back([&histogram]() {
            for (int k = 0; k < 1'000; ++k) {
                histogram.add(k);
            }
        });
    }
    for (std::thread &writer : writers) {
        writer.join();
    }
    CHECK(histogram.count() == 4'000);
}
