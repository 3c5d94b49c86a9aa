// Pattern: clients hold bytes for some time and take them at different speeds; the limits hold after each decision, and only clients that are behind are cut.

#include "kernel/clientbacklog.h"

#include <catch2/catch.hpp>
#include <random>

using namespace knapweedslip;

namespace
{
/** Bytes that are held for a client at a time. */
struct HeldBytes
{
    std::size_t m_client;
    std::size_t m_bytes;
    std::int64_t m_addedMs;
};

struct TakenBytes
{
    std::size_t m_client;
    std::size_t m_bytes;
};
}

// Guards against a client that is cut for what another one holds, and against limits that are not kept.
TEST_CASE("a client is cut if too much is held for it, or if it is the furthest behind when the total is spent", "[entry][backlog]")
{
    struct Row
    {
        const char *m_description;
        ClientBacklogLimits m_limits;
        /** Client 2 has a complete answer. The last one is the cause. */
        std::vector<HeldBytes> m_held;
        std::vector<TakenBytes> m_taken;
        /** The clients that are cut, in order, and why. */
        std::vector<std::pair<std::size_t, BacklogCut>> m_cut;
    };
    const Row row = GENERATE(values<Row>({
        {"nothing is held", {100, 1000}, {{0, 0, 0}}, {}, {}},
        {"at both limits", {100, 200}, {{0, 100, 0}, {1, 100, 0}}, {}, {}},
        {"no limits", {0, 0}, {{0, 100'000, 0}, {1, 100'000, 0}}, {}, {}},
        {"above the limit for one", {100, 1000}, {{0, 100, 0}, {1, 101, 10}}, {}, {{1, BacklogCut::ClientFull}}},
        {"what was taken does not count", {100, 1000}, {{0, 90, 0}, {0, 90, 500}}, {{0, 80}}, {}},
        {"a complete answer may be longer", {100, 1000}, {{0, 100, 0}, {2, 900, 0}}, {}, {}},
        {"the one that is behind is cut for another", {1000, 1000}, {{0, 501, 0}, {1, 500, 900}}, {}, {{0, BacklogCut::TotalSpent}}},
        {"so is a complete answer", {1000, 1000}, {{2, 700, 0}, {1, 301, 900}}, {}, {{2, BacklogCut::TotalSpent}}},
        {"one that takes its oldest bytes is not behind", {1000, 1000}, {{0, 300, 0}, {0, 200, 800}, {1, 601, 500}}, {{0, 300}}, {}},
        {"the age of the oldest bytes counts", {1000, 1000}, {{0, 300, 0}, {0, 500, 800}, {1, 501, 500}}, {{0, 300}}, {{1, BacklogCut::TotalSpent}}},
        {"one that takes a little of much stays behind", {1000, 1000}, {{0, 600, 0}, {1, 500, 500}}, {{0, 50}}, {{0, BacklogCut::TotalSpent}}},
        {"one that holds little is spared, however old", {1000, 1000}, {{0, 10, 0}, {1, 500, 500}, {3, 600, 900}}, {}, {{1, BacklogCut::TotalSpent}}},
        {"the only one", {0, 1000}, {{0, 1001, 0}}, {}, {{0, BacklogCut::TotalSpent}}},
        {"several, until the total fits",
         {0, 500},
         {{0, 400, 0}, {1, 400, 200}, {3, 400, 400}},
         {},
         {{0, BacklogCut::TotalSpent}, {1, BacklogCut::TotalSpent}}},
    }));
    INFO(row.m_description);
    ClientBacklog backlog;
    backlog.setLimits(row.m_limits);
    constexpr std::size_t Clients = 4;
    std::vector<BacklogId> ids;
    for (std::size_t client = 0; client < Clients; ++client) {
        ids.push_back(backlog.open(client == 2));
    }
    for (const HeldBytes &held : row.m_held) {
        backlog.hold(ids[held.m_client], held.m_bytes, held.m_addedMs);
    }
    for (const TakenBytes &taken : row.m_taken) {
        backlog.release(ids[taken.m_client], taken.m_bytes);
    }
    const BacklogId cause = ids[row.m_held.back().m_client];
    for (const std::pair<std::size_t, BacklogCut> &expected : row.m_cut) {
        const std::optional<ClientBacklog::Cut> cut = backlog.chooseCut(cause);
        REQUIRE(cut);
        CHECK(cut->m_client == ids[expected.first]);
        CHECK(cut->m_reason == expected.second);
    }
    CHECK_FALSE(backlog.chooseCut(cause));
}

// Guards against bytes that stay accounted for after their client has gone, and against a total that is exceeded for good.
TEST_CASE("the account of what is held for clients is exact and within the limits, whatever they do", "[entry][backlog]")
{
    constexpr ClientBacklogLimits Limits{5'000, 20'000};
    for (unsigned seed = 1; seed <= 50; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        ClientBacklog backlog;
        backlog.setLimits(Limits);
        std::map<BacklogId, std::size_t> held;
        for (int step = 0; step < 2'000; ++step) {
            if (held.size() < 12) {
                held[backlog.open(false)] = 0;
            }
            const auto client = std::next(held.begin(), static_cast<std::ptrdiff_t>(random() % held.size()));
            const std::size_t bytes = random() % 1'000;
            switch (random() % 8) {
            case 0:
                backlog.close(client->first);
                held.erase(client);
                break;
            case 1:
            case 2:
                backlog.release(client->first, std::min(bytes, client->second));
                client->second -= std::min(bytes, client->second);
                break;
            default: {
                const BacklogId cause = client->first;
                backlog.hold(cause, bytes, step * 10);
                client->second += bytes;
                for (std::optional<ClientBacklog::Cut> cut = backlog.chooseCut(cause); cut; cut = backlog.chooseCut(cause)) {
                    REQUIRE(held.erase(cut->m_client) == 1);
                }
            }
            }
            std::size_t total = 0;
            for (const std::pair<const BacklogId, std::size_t> &entry : held) {
                total += entry.second;
                REQUIRE(entry.second <= Limits.m_maxClientBytes);
            }
            REQUIRE(backlog.bytes() == total);
            REQUIRE(total <= Limits.m_maxTotalBytes);
        }
    }
}
