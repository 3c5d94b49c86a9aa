// Case 7: a request crashes each server that begins to run it, and comes again through any daemon. The servers go silent when they crash and come back under
// the id that they had. The daemons take the successor for the server that they have lost, and send it the request again.
// With TROUBLE=0 the same request crashes nothing.
#include "../stand2.hh"

namespace
{
constexpr int Daemons = 3;
constexpr int Servers = 4;
constexpr int Port = 8066;
/** The servers are back after two seconds, and register a moment after they have begun to listen. */
constexpr std::int64_t AwayMs = 2'000;
constexpr std::int64_t RegistersAfterMs = 350;
constexpr std::int64_t ColdMs = 0;
/** Bounds of SYSTEM.md and RULES.md. */
constexpr std::int64_t ContactMs = 3'000;
constexpr int CrashesUntilBound = 3;
constexpr int MostRetries = 3;
constexpr std::int64_t RunMs = 60'000;
const std::string PoisonBody = "poison";

struct Found
{
    std::mutex m_mutex;
    std::map<std::string, std::int64_t> m_sent;
    /** Attempts with the request that crashes servers which reached one, and when. */
    std::vector<std::pair<std::string, std::int64_t>> m_reached;
    int m_answered = 0;
};

void sendRequest(ChannelPtr &channel, const Daemon &daemon, const std::string &attempt, bool isPoison, Found &found)
{
    if (channel == nullptr) {
        channel = connectTo(daemon.ip(), Daemon::Port);
    }
    {
        const std::lock_guard<std::mutex> lock(found.m_mutex);
        found.m_sent[attempt] = nowMs();
    }
    record().line(attempt + " is sent to " + daemon.name() + (isPoison ? ", the request that comes again" : ""));
    const std::string target = isPoison ? "POST /order/17" : "GET /status/" + attempt;
    Message answer;
    const bool answered = channel != nullptr
                          && channel->write(target + " HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer " + (isPoison ? "shop-key" : "other-key")
                                            + "\r\nDeadline-Ms: 1500\r\nAttempt-Id: " + attempt
                                            + (isPoison ? "\r\nContent-Length: " + std::to_string(PoisonBody.size()) + "\r\n\r\n" + PoisonBody : "\r\n\r\n"))
                          && channel->readAnswer("GET", answer, 3'000);
    record().line(attempt + " through " + daemon.name() + ": " + (answered ? std::to_string(answer.m_status) : std::string("no answer")));
    if (!answered) {
        channel = nullptr;
    }
    const std::lock_guard<std::mutex> lock(found.m_mutex);
    found.m_answered += answered && answer.m_status == 200 ? 1 : 0;
}

int play(Scene &scene)
{
    if (scene.open(Daemons) != 0) {
        return 2;
    }
    static Found found;
    static std::mutex serversMutex;
    static std::vector<std::unique_ptr<PlainServer>> servers;
    static std::function<bool(int, bool)> addServer;
    static int lifetimes = 0;
    static Scene &deployment = scene;
    addServer = [](int number, bool isBack) {
        const std::lock_guard<std::mutex> lock(serversMutex);
        const bool hasNewId = std::getenv("NEWID") != nullptr && isBack;
        const std::string id = "s-" + std::to_string(number) + (hasNewId ? "-" + std::to_string(++lifetimes) : std::string());
        servers.push_back(
            std::make_unique<PlainServer>(deployment.m_store, id, deployment.m_prefix + "." + std::to_string(100 + number), Port, Scene::zone(number)));
        servers.back()->m_run = [number](PlainServer &server, const Message &request) {
            const std::string attempt = field(request.m_fields, "Attempt-Id");
            record().line(attempt + " runs at " + server.id());
            if (request.m_body != PoisonBody) {
                return;
            }
            {
                const std::lock_guard<std::mutex> guard(found.m_mutex);
                found.m_reached.emplace_back(attempt, nowMs());
            }
            if (hasTrouble()) {
                record().line("server " + server.id() + " goes silent");
                server.goDark();
                std::thread([&server, number]() {
                    sleepMs(AwayMs);
                    server.crash();
                    if (addServer(number, true)) {
                        record().line("server " + servers.back()->id() + " is back");
                    }
                }).detach();
            }
        };
        return servers.back()->start(ColdMs, isBack ? RegistersAfterMs : 0);
    };
    for (int i = 1; i <= Servers; ++i) {
        if (!addServer(i, false)) {
            return 2;
        }
    }
    scene.m_store.put(
        "op/config",
        R"({"version":1,"limits":{},"routes":[{"name":"order","host":"api.example","pathPrefix":"/order/","routeType":"non_idempotent","service":"app","timeoutMs":800,"latencyTargetMs":150,"maxAttempts":1,"priority":2},{"name":"status","host":"api.example","pathPrefix":"/status/","routeType":"idempotent","service":"app","timeoutMs":800,"latencyTargetMs":150,"maxAttempts":2,"priority":2}],"services":[{"name":"app","healthPath":"/healthz","maxConns":110,"coldStartS":0.0,"coldPerS":0.0}],"tenants":[{"name":"shop","apiKeys":["shop-key"],"priority":1},{"name":"other","apiKeys":["other-key"],"priority":1}]})");
    if (!scene.startDaemons()) {
        return 2;
    }
    sleepMs(4'000);
    std::atomic<bool> stop{false};
    std::vector<std::thread> clients;
    for (int i = 0; i < 2 * Daemons; ++i) {
        const Daemon &daemon = *scene.m_daemons[static_cast<std::size_t>(i % Daemons)];
        clients.emplace_back([&daemon, i, &stop]() {
            ChannelPtr channel;
            for (int round = 0; !stop; ++round) {
                sendRequest(channel, daemon, "other" + std::to_string(i) + "-" + std::to_string(round), false, found);
                sleepMs(4'000);
            }
        });
    }
    clients.emplace_back([&scene, &stop]() {
        for (int round = 0; !stop; ++round) {
            ChannelPtr channel;
            sendRequest(channel, *scene.m_daemons[static_cast<std::size_t>(round % Daemons)], "again-" + std::to_string(round), true, found);
            sleepMs(700);
        }
    });
    sleepMs(RunMs);
    stop = true;
    for (std::thread &client : clients) {
        client.join();
    }
    const std::lock_guard<std::mutex> lock(found.m_mutex);
    const int reached = static_cast<int>(found.m_reached.size());
    int retries = 0;
    if (reached >= CrashesUntilBound) {
        const std::int64_t boundMs = found.m_reached[CrashesUntilBound - 1].second + ContactMs;
        for (const std::pair<std::string, std::int64_t> &attempt : found.m_reached) {
            retries += found.m_sent[attempt.first] > boundMs ? 1 : 0;
        }
    }
    record().line("requests answered with 200: " + std::to_string(found.m_answered) + "; the request that comes again reached servers " + std::to_string(reached)
                  + " times, and " + std::to_string(retries) + " times later than " + std::to_string(ContactMs) + " ms after the third; bound "
                  + std::to_string(MostRetries));
    if (found.m_answered == 0 || reached == 0) {
        return 2;
    }
    return hasTrouble() && retries > MostRetries ? 1 : 0;
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
