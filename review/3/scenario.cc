// A configuration that takes a key away, after the store came back from a copy.

#include "../client.hh"

namespace review
{
int storeDrill(const Options &options)
{
    constexpr std::int64_t RevokeMs = 5'000;
    constexpr std::int64_t CopyAgeMs = 6'000;
    constexpr std::int64_t AwayMs = 1'000;
    constexpr std::int64_t JudgedMs = 12'000;
    // Their threads run until the process ends.
    Store &store = *new Store(options.storePort);
    Runs &runs = *new Runs;
    std::vector<Upstream *> upstreams;
    for (int i = 1; i <= 9; ++i) {
        upstreams.push_back(new Upstream(store, runs, "orders-" + std::to_string(i), "zone-" + std::to_string(i % 3 + 1), UpstreamOptions()));
    }
    const std::vector<json::object> routes{route("order-status", "/status/", "idempotent", 1'500)};
    std::vector<json::object> moreRoutes = routes;
    moreRoutes.push_back(route("order-history", "/history/", "idempotent", 1'500));
    store.put("op/config", configText(7, routes, {{CallerKey}, {OtherKey}}));
    if (!waitUntilReady(options, 20'000)) {
        return CannotRun;
    }
    sleepMs(5'000);
    if (options.trouble) {
        store.copy();
    }
    sleepMs(CopyAgeMs - AwayMs / 2);
    const std::string second = configText(9, moreRoutes, {{CallerKey}, {OtherKey}});
    record("operator: version 9 (one more route) acknowledged at revision %lld", static_cast<long long>(store.put("op/config", second)));
    sleepMs(AwayMs / 2);
    if (options.trouble) {
        store.goAway();
        sleepMs(AwayMs);
        store.comeBack(true);
        // What the operator and the engines wrote is written again.
        record("operator: version 9 written again at revision %lld", static_cast<long long>(store.put("op/config", second)));
        for (Upstream *upstream : upstreams) {
            upstream->publish();
        }
    } else {
        sleepMs(AwayMs);
    }
    sleepMs(1'500);
    const std::int64_t revision = store.put("op/config", configText(12, moreRoutes, {{CallerKey}, {}}));
    const std::int64_t ackMs = nowMs();
    record("operator: version 12, which takes the key of tenant-2 away, acknowledged at revision %lld", static_cast<long long>(revision));
    int late = 0;
    int number = 0;
    int served = 0;
    while (nowMs() < ackMs + RevokeMs + JudgedMs) {
        for (std::size_t i = 0; i < options.entries.size(); ++i) {
            const std::int64_t sentMs = nowMs() - ackMs;
            const std::string id = "revoked-" + std::to_string(++number);
            const int status = sendOnce(options.entries[i], requestText("GET", "/status/" + std::to_string(number), id, OtherKey, 1'500, {}), 2'500);
            const bool ran = runs.count(id) > 0;
            record("request %s with the key of tenant-2 to daemon %zu, sent %lld ms after the ack: status %d%s", id.c_str(), i + 1, static_cast<long long>(sentMs), status,
                   ran ? ", ran" : "");
            late += ran && sentMs > RevokeMs ? 1 : 0;
            const std::string control = "sound-" + std::to_string(number);
            const int sound = sendOnce(options.entries[i], requestText("GET", "/status/" + std::to_string(number), control, CallerKey, 1'500, {}), 2'500);
            record("request %s with the key of tenant-1 to daemon %zu: status %d", control.c_str(), i + 1, sound);
            served += sound == 200 ? 1 : 0;
        }
        sleepMs(250);
    }
    record("result: %d requests ran that were sent later than %lld ms after the ack with a key that was taken away", late, static_cast<long long>(RevokeMs));
    if (served == 0) {
        return CannotRun;
    }
    return late > 0 ? Broken : Held;
}
}

int main(int argc, char **argv)
{
    return review::runScenario(argc, argv, review::storeDrill);
}
