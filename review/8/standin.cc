// Case 8: a route of type streaming whose service has no model engines. Its servers answer with streams that have neither a length nor chunks and end with their
// channel. A few of them break off inside an event. With TROUBLE=0 none does.
#include "../stand2.hh"

namespace
{
constexpr int Daemons = 3;
constexpr int Servers = 3;
constexpr int Port = 8066;
constexpr int Events = 12;
/** Every so many streams of the faulty server break off (site file: garble, x 0.05). */
constexpr int BreakEvery = 20;

std::atomic<int> streams{0};
std::atomic<int> broken{0};

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: {\"text\":\"part " + std::to_string(number) + "\"}\n\n";
}

/** A server of a streaming service. */
class StreamServer
{
public:
    StreamServer(Store &store, std::string id, std::string ip, std::string zone, bool isFaulty)
        : m_store(store)
        , m_id(std::move(id))
        , m_ip(std::move(ip))
        , m_zone(std::move(zone))
        , m_isFaulty(isFaulty)
    {
    }
    bool start()
    {
        std::thread([this]() {
            const std::int64_t born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
            for (std::int64_t write = 1;; ++write) {
                m_store.put("servers/" + m_id,
                            json::serialize(json::object{{"service", "notices"},
                                                         {"address", m_ip + ":" + std::to_string(Port)},
                                                         {"zone", m_zone},
                                                         {"version", "v1"},
                                                         {"slots", 6},
                                                         {"state", "ready"},
                                                         {"coldLeftMs", 0},
                                                         {"born", born},
                                                         {"seq", write}}));
                sleepMs(1'200);
            }
        }).detach();
        return m_listener.start(m_ip, Port, [this](const ChannelPtr &channel) {
            serve(*channel);
        });
    }

private:
    void serve(Channel &channel)
    {
        Message request;
        if (!channel.readRequest(request)) {
            return;
        }
        const std::string attempt = field(request.m_fields, "Attempt-Id");
        const std::string expected = field(request.m_fields, "Expect-Instance");
        if (!expected.empty() && expected != m_id) {
            channel.write(answerText(421, {{"Attempt-Id", attempt}, {"Instance-Id", m_id}}, ""));
            return;
        }
        if (pathOf(request.m_target) == "/-/report" || pathOf(request.m_target) == "/healthz") {
            channel.write(answerText(200, {{"Instance-Id", m_id}}, "{}"));
            return;
        }
        const int number = ++streams;
        const bool breaks = m_isFaulty && hasTrouble() && ++m_own % BreakEvery == BreakEvery / 2;
        record().line(attempt + " runs at " + m_id + (breaks ? ", and its stream will break off inside event 5" : "") + " (stream " + std::to_string(number) + ")");
        channel.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + attempt + "\r\nServer-Stamp: " + m_id + "\r\n\r\n");
        for (int i = 1; i <= Events; ++i) {
            sleepMs(5);
            if (breaks && i == 5) {
                ++broken;
                channel.write(event(i).substr(0, event(i).size() / 2));
                return;
            }
            if (!channel.write(event(i))) {
                return;
            }
        }
    }

    Store &m_store;
    std::string m_id;
    std::string m_ip;
    std::string m_zone;
    bool m_isFaulty;
    std::atomic<int> m_own{0};
    Listener m_listener;
};

struct Found
{
    std::atomic<int> m_complete{0};
    std::atomic<int> m_short{0};
    std::atomic<int> m_others{0};
};

void sendRequests(const Daemon &daemon, const std::string &name, Found &found, const std::atomic<bool> &stop)
{
    std::string whole;
    for (int i = 1; i <= Events; ++i) {
        whole += event(i);
    }
    ChannelPtr channel;
    for (int round = 0; !stop; ++round) {
        if (channel == nullptr) {
            channel = connectTo(daemon.ip(), Daemon::Port);
        }
        const std::string attempt = name + "-" + std::to_string(round);
        record().line(attempt + " is sent to " + daemon.name());
        Message answer;
        const bool isComplete = channel != nullptr
                                && channel->write("POST /notices/" + attempt + " HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer shop-key\r\nDeadline-Ms: 5000\r\n"
                                                  "Attempt-Id: " + attempt + "\r\nContent-Length: 2\r\n\r\nhi")
                                && channel->readAnswer("POST", answer, 6'000);
        // An answer without a length and chunks would end with the channel; these have one or the other.
        const bool isWhole = isComplete && answer.m_status == 200 && answer.m_body == whole;
        const bool isShort = isComplete && answer.m_status == 200 && answer.m_body != whole;
        found.m_complete += isWhole ? 1 : 0;
        found.m_short += isShort ? 1 : 0;
        found.m_others += !isWhole && !isShort ? 1 : 0;
        std::string tail = answer.m_body.substr(answer.m_body.size() - std::min<std::size_t>(answer.m_body.size(), 24));
        std::replace(tail.begin(), tail.end(), '\n', '|');
        record().line(attempt + ": " + (isWhole ? std::string("200, whole") : isShort ? "ORDER 200, Content-Length " + field(answer.m_fields, "Content-Length") + ", complete, but it ends with \"" + tail + "\"" : isComplete ? std::to_string(answer.m_status) : std::string("no complete answer")));
        if (!isComplete) {
            channel = nullptr;
        }
        sleepMs(50);
    }
}

int play(Scene &scene)
{
    if (scene.open(Daemons) != 0) {
        return 2;
    }
    static Found found;
    static std::vector<std::unique_ptr<StreamServer>> servers;
    for (int i = 1; i <= Servers; ++i) {
        servers.push_back(
            std::make_unique<StreamServer>(scene.m_store, "n-" + std::to_string(i), scene.m_prefix + "." + std::to_string(100 + i), Scene::zone(i), i == 1));
        if (!servers.back()->start()) {
            return 2;
        }
    }
    scene.m_store.put(
        "op/config",
        R"({"version":1,"limits":{},"routes":[{"name":"notices","host":"api.example","pathPrefix":"/notices/","routeType":"streaming","service":"notices","timeoutMs":5000,"latencyTargetMs":200,"maxAttempts":1,"priority":1,"itlTargetMs":200}],"services":[{"name":"notices","healthPath":"/healthz","maxConns":110,"coldStartS":0.0,"coldPerS":0.0}],"tenants":[{"name":"shop","apiKeys":["shop-key"],"priority":1}]})");
    if (!scene.startDaemons()) {
        return 2;
    }
    sleepMs(1'500);
    std::atomic<bool> stop{false};
    std::vector<std::thread> clients;
    for (int i = 0; i < 2 * Daemons; ++i) {
        const Daemon &daemon = *scene.m_daemons[static_cast<std::size_t>(i % Daemons)];
        clients.emplace_back([&daemon, i, &stop]() {
            sendRequests(daemon, "c" + std::to_string(i), found, stop);
        });
    }
    sleepMs(15'000);
    stop = true;
    for (std::thread &client : clients) {
        client.join();
    }
    record().line("streams that servers began: " + std::to_string(streams) + ", broken off inside an event: " + std::to_string(broken));
    record().line("answers that clients got as complete: " + std::to_string(found.m_complete) + " whole, " + std::to_string(found.m_short)
                  + " that end inside an event; others: " + std::to_string(found.m_others));
    if (found.m_complete == 0 || (hasTrouble() && broken == 0)) {
        return 2;
    }
    return found.m_short > 0 ? 1 : 0;
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
