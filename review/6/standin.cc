// Case 6: the operators take the last key away, by a version of the config whose list of tenants is empty. From then on no request on a route that isn't public
// may run. With TROUBLE=0 that version keeps the tenant and its key.
#include "../stand2.hh"

namespace
{
constexpr int Daemons = 3;
constexpr int Servers = 3;
constexpr int Port = 8066;
/** Bounds of SYSTEM.md. */
constexpr std::int64_t RevokeMs = 5'000;

struct Sent
{
    std::int64_t m_sentMs = 0;
    std::string m_key;
};

struct Found
{
    std::mutex m_mutex;
    std::map<std::string, Sent> m_sent;
    std::map<std::string, std::int64_t> m_ran;
};

std::string config(int version, const std::string &tenants)
{
    return R"({"version":)" + std::to_string(version)
           + R"(,"limits":{},"routes":[{"name":"order","host":"api.example","pathPrefix":"/order/","routeType":"non_idempotent","service":"app","timeoutMs":800,"latencyTargetMs":150,"maxAttempts":1,"priority":2},{"name":"status","host":"api.example","pathPrefix":"/status/","routeType":"idempotent","service":"app","timeoutMs":800,"latencyTargetMs":150,"maxAttempts":2,"priority":2}],"services":[{"name":"app","healthPath":"/healthz","maxConns":110,"coldStartS":0.0,"coldPerS":0.0}],"tenants":)"
           + tenants + "}";
}

/** Sends ten requests a second with @p key through one daemon, on a kept channel. */
void sendRequests(const Daemon &daemon, const std::string &name, const std::string &key, Found &found, const std::atomic<bool> &stop, std::map<int, int> &statuses)
{
    ChannelPtr channel;
    for (int round = 0; !stop; ++round) {
        if (channel == nullptr) {
            channel = connectTo(daemon.ip(), Daemon::Port);
        }
        const std::string attempt = name + "-" + std::to_string(round);
        {
            const std::lock_guard<std::mutex> lock(found.m_mutex);
            found.m_sent[attempt] = {nowMs(), key};
        }
        record().line(attempt + " is sent to " + daemon.name());
        const bool isOrder = round % 2 == 0;
        Message answer;
        const bool answered = channel != nullptr
                              && channel->write((isOrder ? "POST /order/" : "GET /status/") + attempt + " HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer " + key
                                                + "\r\nDeadline-Ms: 1500\r\nAttempt-Id: " + attempt + (isOrder ? "\r\nContent-Length: 2\r\n\r\nhi" : "\r\n\r\n"))
                              && channel->readAnswer(isOrder ? "POST" : "GET", answer, 3'000);
        record().line(attempt + " with " + key + ": " + (answered ? std::to_string(answer.m_status) : std::string("no answer")));
        ++statuses[answered ? answer.m_status : 0];
        if (!answered) {
            channel = nullptr;
        }
        sleepMs(100);
    }
}

int play(Scene &scene)
{
    if (scene.open(Daemons) != 0) {
        return 2;
    }
    static Found found;
    static std::vector<std::unique_ptr<PlainServer>> servers;
    for (int i = 1; i <= Servers; ++i) {
        servers.push_back(
            std::make_unique<PlainServer>(scene.m_store, "s-" + std::to_string(i), scene.m_prefix + "." + std::to_string(100 + i), Port, Scene::zone(i)));
        servers.back()->m_run = [](PlainServer &server, const Message &request) {
            const std::string attempt = field(request.m_fields, "Attempt-Id");
            record().line(attempt + " runs at " + server.id() + " for tenant '" + field(request.m_fields, "Tenant") + "'");
            const std::lock_guard<std::mutex> lock(found.m_mutex);
            found.m_ran[attempt] = nowMs();
        };
        if (!servers.back()->start()) {
            return 2;
        }
    }
    const std::string tenant = R"([{"name":"shop","apiKeys":["shop-key"],"priority":1}])";
    scene.m_store.put("op/config", config(1, tenant));
    if (!scene.startDaemons()) {
        return 2;
    }
    std::atomic<bool> stop{false};
    std::vector<std::thread> clients;
    std::vector<std::map<int, int>> statuses(2 * Daemons);
    for (int i = 0; i < Daemons; ++i) {
        const Daemon &daemon = *scene.m_daemons[static_cast<std::size_t>(i)];
        clients.emplace_back([&, i]() {
            sendRequests(daemon, "shop" + std::to_string(i), "shop-key", found, stop, statuses[static_cast<std::size_t>(2 * i)]);
        });
        clients.emplace_back([&, i]() {
            sendRequests(daemon, "nobody" + std::to_string(i), "no-such-key", found, stop, statuses[static_cast<std::size_t>(2 * i + 1)]);
        });
    }
    sleepMs(5'000);
    scene.m_store.put("op/config", config(2, hasTrouble() ? "[]" : tenant));
    const std::int64_t ackMs = nowMs();
    record().line(std::string("the store has accepted version 2") + (hasTrouble() ? ", whose list of tenants is empty" : ", with the same tenant and key"));
    sleepMs(15'000);
    stop = true;
    for (std::thread &client : clients) {
        client.join();
    }
    const std::lock_guard<std::mutex> lock(found.m_mutex);
    int shopBefore = 0;
    int shopLate = 0;
    int unknown = 0;
    for (const std::pair<const std::string, std::int64_t> &run : found.m_ran) {
        const Sent &sent = found.m_sent[run.first];
        shopBefore += sent.m_key == "shop-key" && sent.m_sentMs < ackMs ? 1 : 0;
        shopLate += sent.m_key == "shop-key" && sent.m_sentMs > ackMs + RevokeMs ? 1 : 0;
        unknown += sent.m_key == "no-such-key" ? 1 : 0;
    }
    record().line("requests with the shop's key that ran: " + std::to_string(shopBefore) + " sent before version 2, " + std::to_string(shopLate)
                  + " sent later than " + std::to_string(RevokeMs) + " ms after its ack");
    record().line("requests that ran with a key that no config ever held: " + std::to_string(unknown));
    if (shopBefore == 0) {
        return 2;
    }
    return (hasTrouble() && shopLate > 0) || unknown > 0 ? 1 : 0;
}
}

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    nowMs();
    record().open(argc > 1 ? argv[1] : "record.txt");
    Scene scene;
    const int status = play(scene);
    scene.close();
    record().line("exit status " + std::to_string(status));
    std::fflush(nullptr);
    // Threads that still wait for connections go with the process.
    std::_Exit(status);
}
