// Pattern: clients send bodies without end, or stop just short of it and keep the connection. Together they must not hold more than the VM has, and must not
// keep ordinary clients out.

#include "kernel/ingressbudget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>
#include <set>

using namespace knapweedslip;

namespace
{
/** Opens a connection that has received @p bytes of a request at @p nowMs. */
ConnectionId openReading(IngressBudget &budget, std::size_t bytes, std::int64_t nowMs)
{
    const ConnectionId id = budget.open(nowMs);
    budget.setPhase(id, ConnectionPhase::Reading, nowMs);
    budget.hold(id, bytes, nowMs);
    return id;
}
}

TEST_CASE("requests that have stopped are ended first, the longest ago first, then those that hold most", "[ingress]")
{
    IngressBudget budget;
    budget.setLimits({1'000, 0});
    const ConnectionId large = openReading(budget, 500, 5'000);
    const ConnectionId stoppedLater = openReading(budget, 100, 2'000);
    const ConnectionId stoppedFirst = openReading(budget, 100, 1'000);
    const ConnectionId small = openReading(budget, 50, 5'000);
    CHECK(budget.chooseEnded(small, 5'000).empty());
    budget.hold(small, 400, 5'100);
    CHECK(budget.chooseEnded(small, 5'100) == std::vector<ConnectionId>{stoppedFirst});
    budget.hold(small, 450, 5'200);
    CHECK(budget.chooseEnded(small, 5'200) == std::vector<ConnectionId>{stoppedLater});
    budget.hold(small, 510, 5'300);
    // The cause itself holds most.
    CHECK(budget.chooseEnded(small, 5'300) == std::vector<ConnectionId>{small});
    CHECK(budget.bytes() == 500);
    budget.close(large);
    CHECK(budget.bytes() == 0);
}

// Guards against clients that never finish and keep ordinary clients out, which was so when whatever arrived next was refused.
TEST_CASE("a short request is read while others hold the whole budget", "[ingress]")
{
    IngressBudget budget;
    budget.setLimits({1'000, 0});
    for (int client = 0; client < 10; ++client) {
        openReading(budget, 100, 1'000);
    }
    const ConnectionId ordinary = openReading(budget, 20, 1'010);
    const std::vector<ConnectionId> ended = budget.chooseEnded(ordinary, 1'010);
    CHECK(ended.size() == 1);
    CHECK(std::count(ended.begin(), ended.end(), ordinary) == 0);
    CHECK(budget.setPhase(ordinary, ConnectionPhase::Serving, 1'020));
    CHECK_FALSE(budget.setPhase(ended.front(), ConnectionPhase::Serving, 1'020));
}

TEST_CASE("with too many connections, the one without a complete request for longest is ended, never one that is served", "[ingress]")
{
    IngressBudget budget;
    budget.setLimits({0, 3});
    const ConnectionId served = budget.open(1'000);
    const ConnectionId idle = budget.open(1'100);
    const ConnectionId reading = openReading(budget, 100, 1'050);
    budget.setPhase(served, ConnectionPhase::Serving, 1'000);
    budget.hold(reading, 200, 1'900);
    const ConnectionId next = budget.open(2'000);
    CHECK(budget.chooseEnded(next, 2'000) == std::vector<ConnectionId>{reading});
    budget.setPhase(next, ConnectionPhase::Serving, 2'000);
    budget.setPhase(idle, ConnectionPhase::Serving, 2'000);
    const ConnectionId last = budget.open(2'100);
    CHECK(budget.chooseEnded(last, 2'100) == std::vector<ConnectionId>{last});
    CHECK(budget.connections() == 3);
}

// Guards against a budget that shrinks for ever, and against a request that is ended although it may run.
TEST_CASE("whatever connections do, the limits hold, and each one is ended once", "[ingress]")
{
    rc::prop("any sequence", []() {
        IngressBudget budget;
        budget.setLimits({1'000, 8});
        std::map<ConnectionId, std::size_t> held;
        std::map<ConnectionId, ConnectionPhase> phases;
        std::set<ConnectionId> ended;
        std::int64_t nowMs = 0;
        const int steps = *rc::gen::inRange(1, 200);
        for (int step = 0; step < steps; ++step) {
            nowMs += *rc::gen::inRange(0, 700);
            ConnectionId id = static_cast<ConnectionId>(*rc::gen::inRange(1, 20));
            const int action = *rc::gen::inRange(0, 5);
            if (action == 0) {
                id = budget.open(nowMs);
                held[id] = 0;
                phases[id] = ConnectionPhase::Idle;
            } else if (action == 1) {
                budget.close(id);
                held.erase(id);
                phases.erase(id);
                ended.erase(id);
            } else if (action == 2) {
                const ConnectionPhase phase = static_cast<ConnectionPhase>(*rc::gen::inRange(0, 3));
                const bool isSet = budget.setPhase(id, phase, nowMs);
                RC_ASSERT(isSet == (phases.count(id) > 0 && ended.count(id) == 0));
                if (isSet) {
                    phases[id] = phase;
                }
            } else {
                const std::size_t bytes = static_cast<std::size_t>(*rc::gen::inRange(0, 600));
                budget.hold(id, bytes, nowMs);
                if (held.count(id) > 0) {
                    held[id] = bytes;
                }
            }
            for (const ConnectionId chosen : budget.chooseEnded(id, nowMs)) {
                RC_ASSERT(phases.at(chosen) != ConnectionPhase::Serving);
                RC_ASSERT(ended.insert(chosen).second);
            }
            std::size_t bytes = 0;
            std::size_t mayEnd = 0;
            std::size_t readingBytes = 0;
            for (const std::pair<const ConnectionId, std::size_t> &entry : held) {
                if (ended.count(entry.first) == 0) {
                    bytes += entry.second;
                    mayEnd += phases.at(entry.first) == ConnectionPhase::Serving ? 0 : 1;
                    readingBytes += phases.at(entry.first) == ConnectionPhase::Reading ? entry.second : 0;
                }
            }
            RC_ASSERT(budget.bytes() == bytes);
            RC_ASSERT(budget.connections() == held.size() - ended.size());
            RC_ASSERT((bytes <= 1'000 || readingBytes == 0));
            RC_ASSERT((budget.connections() <= 8 || mayEnd == 0));
        }
    });
}

// Guards against idle connections, each of which keeps a small buffer, that leave no room for any request.
TEST_CASE("idle connections that hold the whole budget do not keep a request out", "[ingress]")
{
    IngressBudget budget;
    budget.setLimits({40 * 4'096, 0});
    for (int client = 0; client < 40; ++client) {
        const ConnectionId id = budget.open(1'000 + client);
        budget.hold(id, 4'096, 1'000 + client);
        CHECK(budget.chooseEnded(id, 1'000 + client).empty());
    }
    const ConnectionId request = openReading(budget, 500, 2'000);
    const std::vector<ConnectionId> ended = budget.chooseEnded(request, 2'000);
    CHECK(std::count(ended.begin(), ended.end(), request) == 0);
    CHECK(budget.bytes() <= 40 * 4'096);
}

TEST_CASE("without limits no connection is ended", "[ingress]")
{
    IngressBudget budget;
    for (int client = 0; client < 100; ++client) {
        const ConnectionId id = openReading(budget, 1'000'000, client);
        CHECK(budget.chooseEnded(id, client).empty());
    }
}
