#include "kernel/fairqueue.h"
#include "kernel/retrybudget.h"
#include "kernel/sharding.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <map>
#include <set>

using namespace knapweedslip;

TEST_CASE("busy workspaces are served by weight", "[queue]")
{
    FairQueue queue;
    std::uint64_t id = 0;
    for (int i = 0; i < 400; ++i) {
        queue.push({++id, "big", 0, 0, 1.0}, 3);
        queue.push({++id, "small", 0, 0, 1.0}, 1);
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 400; ++i) {
        ++served[queue.pop()->m_workspace];
    }
    CHECK(served["big"] == 300);
    CHECK(served["small"] == 100);
}

TEST_CASE("a workspace that was idle gains no credit and does not wait behind a backlog", "[queue]")
{
    FairQueue queue;
    std::uint64_t id = 0;
    for (int i = 0; i < 1'000; ++i) {
        queue.push({++id, "flood", 0, 0, 1.0}, 1);
    }
    for (int i = 0; i < 500; ++i) {
        queue.pop();
    }
    queue.push({++id, "late", 0, 0, 1.0}, 1);
    queue.push({++id, "late", 0, 0, 1.0}, 1);
    int position = 0;
    while (queue.pop()->m_workspace != "late") {
        ++position;
    }
    CHECK(position <= 1);
    CHECK(queue.pop()->m_workspace == "flood");
}

TEST_CASE("the queue does not lose, duplicate or reorder requests", "[queue]")
{
    rc::prop("against a map of one list per workspace", []() {
        FairQueue queue;
        std::map<std::string, std::deque<std::uint64_t>> model;
        std::uint64_t nextId = 0;
        const std::vector<int> steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000));
        for (const int step : steps) {
            const std::string workspace(1, static_cast<char>('a' + step % 3));
            switch (step % 4) {
            case 0:
            case 1:
                queue.push({++nextId, workspace, 0, step, 1.0 + step % 5}, 1 + step % 4, step % 7 == 0);
                if (step % 7 == 0) {
                    model[workspace].push_front(nextId);
                } else {
                    model[workspace].push_back(nextId);
                }
                break;
            case 2: {
                const std::optional<QueuedRequest> popped = queue.pop();
                if (popped) {
                    RC_ASSERT(model[popped->m_workspace].front() == popped->m_id);
                    model[popped->m_workspace].pop_front();
                }
                break;
            }
            default:
                if (!model[workspace].empty()) {
                    RC_ASSERT(queue.remove(workspace, model[workspace].back()));
                    model[workspace].pop_back();
                }
                break;
            }
            std::size_t size = 0;
            for (const std::pair<const std::string, std::deque<std::uint64_t>> &flow : model) {
                RC_ASSERT(queue.waiting(flow.first) == flow.second.size());
                size += flow.second.size();
            }
            RC_ASSERT(queue.size() == size);
            RC_ASSERT((queue.activeWeight() > 0) == (size > 0));
        }
    });
}

TEST_CASE("requests past their deadline are removed together", "[queue]")
{
    FairQueue queue;
    queue.push({1, "a", 0, 100, 1.0}, 1);
    queue.push({2, "a", 0, 300, 1.0}, 1);
    queue.push({3, "b", 0, 50, 1.0}, 1);
    CHECK(queue.removeLate(200).size() == 2);
    CHECK(queue.pop()->m_id == 2);
    CHECK(queue.activeWeight() == 0);
}

TEST_CASE("removing an upstream changes one element of a shard", "[queue]")
{
    std::vector<std::string> upstreams;
    for (int i = 0; i < 50; ++i) {
        upstreams.push_back("u" + std::to_string(i));
    }
    const std::vector<std::string> before = selectShard("w", upstreams, 4);
    REQUIRE(before.size() == 4);
    for (const std::string &gone : before) {
        std::vector<std::string> rest = upstreams;
        rest.erase(std::find(rest.begin(), rest.end(), gone));
        const std::vector<std::string> after = selectShard("w", rest, 4);
        std::set<std::string> kept(after.begin(), after.end());
        int same = 0;
        for (const std::string &name : before) {
            same += kept.count(name) > 0 ? 1 : 0;
        }
        CHECK(same == 3);
    }
    CHECK(selectShard("w", {"only"}, 4).size() == 1);
}
