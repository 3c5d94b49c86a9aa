// A small deployment for the cases of this review: daemons as separate processes, the store, model engines in groups, upstreams of a plain service, and
// clients. Everything that is sent, answered and run goes into the record.
#pragma once

#include "store.hh"

#include <csignal>
#include <fstream>
#include <iostream>
#include <random>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>

namespace review
{
/** The record of a run. Thread-safe. */
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
        , m_startMs(nowMs())
    {
    }
    void add(const std::string &line)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_file << nowMs() - m_startMs << " ms " << line << std::endl;
    }
    void breach(const std::string &rule, const std::string &line)
    {
        ++m_breaches[rule];
        add("BREACH of " + rule + ": " + line);
    }
    int breaches(const std::string &rule)
    {
        return m_breaches[rule];
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    std::int64_t m_startMs;
    std::map<std::string, std::atomic<int>> m_breaches;
};

struct Run
{
    std::string m_server;
    std::int64_t m_atMs = 0;
};

struct Deployment;

/** A server of the deployment: a model engine, which serves in groups, or an upstream of a plain service. Its state is guarded by Deployment::m_mutex. */
struct Server
{
    std::string m_id;
    std::string m_address;
    std::string m_service;
    std::string m_zone;
    /** Empty for a plain service. */
    std::string m_domain;
    std::int64_t m_bornMs = 0;
    std::int64_t m_writes = 0;
    bool m_isDraining = false;
    bool m_isListed = true;
    bool m_isAlive = true;
    std::int64_t m_coldUntilMs = 0;

    std::string m_group;
    std::int64_t m_epoch = 0;
    int m_rank = -1;
    std::vector<std::string> m_members;
    /** joining, ready, open, closing, broken; empty without a group. */
    std::string m_state;
    /** When the state changes by itself, and to what. */
    std::int64_t m_changesMs = 0;
    std::string m_nextState;
    std::int64_t m_stalledMs = -1;
    std::int64_t m_highestEpoch = 0;
    std::int64_t m_fence = 0;
    std::int64_t m_orders = 0;
    std::string m_staged;
    std::string m_lastModel;
    int m_running = 0;
    int m_requests = 0;

    std::shared_ptr<HttpListener> m_listener;
    /** It stands still: its address takes connections, and nothing is answered. */
    std::atomic<bool> m_isDark = false;

    /** Called with each request; if it returns true, it has answered or closed the channel, and the second value tells whether to go on with the channel. */
    std::function<std::pair<bool, bool>(Channel &, const HttpMessage &)> m_fault;
};

struct Model
{
    std::string m_name;
    int m_size = 1;
    std::int64_t m_loadMs = 0;
    std::int64_t m_warmMs = 0;
};

struct Daemon
{
    int m_number = 0;
    pid_t m_pid = -1;
    std::string m_ip;
    std::string m_storeAddress;
    std::string client() const
    {
        return m_ip + ":8227";
    }
    std::string readiness() const
    {
        return m_ip + ":8220";
    }
};

/** What a client got. */
struct Answer
{
    int m_status = 0;
    bool m_isComplete = false;
    HttpMessage m_message;
    std::int64_t m_sentMs = 0;
    std::int64_t m_endMs = 0;
};

/** Ends the run because it cannot show anything. */
[[noreturn]] inline void cannotRun(const std::string &why)
{
    std::cerr << "cannot run: " << why << "\n";
    std::_Exit(2);
}

struct Deployment
{
    explicit Deployment(const std::string &recordPath)
        : m_record(recordPath)
        , m_random(std::random_device()())
    {
        std::signal(SIGPIPE, SIG_IGN);
        char folder[] = "/tmp/review-XXXXXX";
        m_folder = ::mkdtemp(folder);
        // An address range of this run's own.
        for (int tries = 0; tries < 50; ++tries) {
            m_prefix = "127." + std::to_string(20 + m_random() % 200) + "." + std::to_string(m_random() % 250);
            const int fd = listenAt(m_prefix + ".250:8223");
            if (fd >= 0) {
                ::close(fd);
                break;
            }
        }
        std::thread([this]() {
            while (true) {
                sleepMs(10);
                advance();
            }
        }).detach();
    }

    /** Ends all daemons and the process with @p status. */
    [[noreturn]] void end(int status)
    {
        for (Daemon &daemon : m_daemons) {
            kill(daemon, SIGKILL);
        }
        for (Daemon &daemon : m_daemons) {
            if (daemon.m_pid > 0) {
                waitpid(daemon.m_pid, nullptr, 0);
            }
        }
        const std::string command = m_folder;
        if (std::getenv("KEEP_LOGS") == nullptr) {
            for (const std::string &file : m_files) {
                ::unlink(file.c_str());
            }
            ::rmdir(m_folder.c_str());
        } else {
            std::cerr << "logs: " << m_folder << "\n";
        }
        std::cout.flush();
        std::_Exit(status);
    }

    // Servers

    Server &addServer(const std::string &service, const std::string &zone, const std::string &domain = {})
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const int number = static_cast<int>(m_servers.size()) + 1;
        m_servers.push_back(std::make_unique<Server>());
        Server &server = *m_servers.back();
        server.m_id = "i-" + std::to_string(1000 + number) + "-" + std::to_string(m_random() % 100000);
        server.m_address = m_prefix + "." + std::to_string(100 + number) + ":8120";
        server.m_service = service;
        server.m_zone = zone;
        server.m_domain = domain;
        server.m_bornMs = unixMs();
        listen(server);
        publish(server);
        return server;
    }
    void listen(Server &server)
    {
        server.m_listener = std::make_shared<HttpListener>(server.m_address, [this, &server](Channel &channel, const HttpMessage &request) {
            return serve(server, channel, request);
        });
        HttpListener::start(server.m_listener);
    }
    /** Answers nothing until the successor of @p server starts, and then resets the connection. */
    static bool stayDark(Server &server, Channel &channel)
    {
        while (server.m_isDark) {
            sleepMs(10);
        }
        channel.reset();
        return false;
    }
    /** A server stands still for @p darkMs. Then its successor starts at the address, with another id. Its entry lapses after three missed reports. */
    void goDark(Server &server, std::int64_t darkMs)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (server.m_isDark) {
            return;
        }
        const std::string id = server.m_id;
        m_record.add(id + " goes dark");
        server.m_isDark = true;
        server.m_isAlive = false;
        std::thread([this, id]() {
            sleepMs(3 * 1'200);
            m_store.remove("servers/" + id);
        }).detach();
        std::thread([this, &server, darkMs, id]() {
            sleepMs(darkMs);
            const std::lock_guard<std::mutex> again(m_mutex);
            server.m_id = "i-" + std::to_string(m_random() % 100000000);
            server.m_bornMs = unixMs();
            server.m_writes = 0;
            server.m_isAlive = true;
            server.m_isDark = false;
            publish(server);
            m_record.add(server.m_id + " starts at the address of " + id);
        }).detach();
    }
    /** The process of a server ends. It is back after @p awayMs, as a new lifetime with another id; its entry lapses after three missed reports. */
    void crash(Server &server, std::int64_t awayMs)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        if (!server.m_isAlive) {
            return;
        }
        const std::string id = server.m_id;
        m_record.add(id + " crashes");
        server.m_isAlive = false;
        server.m_listener->stop(m_crashResets);
        lock.unlock();
        std::thread([this, id]() {
            sleepMs(3 * 1'200);
            m_store.remove("servers/" + id);
        }).detach();
        std::thread([this, &server, awayMs]() {
            sleepMs(awayMs);
            const std::lock_guard<std::mutex> again(m_mutex);
            clearGroup(server);
            server.m_id = "i-" + std::to_string(m_random() % 100000000);
            server.m_bornMs = unixMs();
            server.m_writes = 0;
            server.m_highestEpoch = 0;
            server.m_fence = 0;
            server.m_orders = 0;
            server.m_lastModel.clear();
            server.m_running = 0;
            listen(server);
            server.m_isAlive = true;
            publish(server);
            m_record.add(server.m_id + " starts at the address of a server that crashed");
        }).detach();
    }
    static std::int64_t unixMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }
    /** What a server says of itself, with m_mutex held. */
    json::object describe(const Server &server, std::int64_t seq) const
    {
        json::object object{{"service", server.m_service},
                            {"address", server.m_address},
                            {"zone", server.m_zone},
                            {"version", "v1"},
                            {"slots", server.m_domain.empty() ? 6 : 26},
                            {"state", server.m_isDraining ? "draining" : "ready"},
                            {"coldLeftMs", std::max<std::int64_t>(0, server.m_coldUntilMs - nowMs())},
                            {"born", server.m_bornMs},
                            {"seq", seq}};
        if (!server.m_domain.empty()) {
            object["phase"] = "mixed";
            object["domain"] = server.m_domain;
            object["modelList"] = json::array();
            object["staged"] = server.m_staged.empty() ? json::array() : json::array{server.m_staged};
            if (!server.m_group.empty()) {
                object["group"] = json::object{{"name", server.m_group}, {"epoch", server.m_epoch}, {"rank", server.m_rank}, {"state", server.m_state}};
            }
        }
        return object;
    }
    /** Writes the entry of a server, with m_mutex held. */
    void publish(Server &server)
    {
        if (server.m_isAlive && server.m_isListed) {
            ++server.m_writes;
            m_store.put("servers/" + server.m_id, json::serialize(describe(server, server.m_writes)));
        }
    }
    Server *find(const std::string &id)
    {
        for (const std::unique_ptr<Server> &server : m_servers) {
            if (server->m_id == id) {
                return server.get();
            }
        }
        return nullptr;
    }
    const Model *model(const std::string &name) const
    {
        for (const Model &model : m_models) {
            if (model.m_name == name) {
                return &model;
            }
        }
        return nullptr;
    }
    static void clearGroup(Server &server)
    {
        server.m_group.clear();
        server.m_epoch = 0;
        server.m_rank = -1;
        server.m_members.clear();
        server.m_state.clear();
        server.m_nextState.clear();
        server.m_stalledMs = -1;
    }
    /** Carries out what is due, several times a second. */
    void advance()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::int64_t now = nowMs();
        const bool beats = now - m_beatMs >= 1'200;
        m_beatMs = beats ? now : m_beatMs;
        for (const std::unique_ptr<Server> &entry : m_servers) {
            Server &server = *entry;
            if (!server.m_isAlive) {
                continue;
            }
            bool changed = beats;
            if (!server.m_nextState.empty() && now >= server.m_changesMs) {
                server.m_state = std::exchange(server.m_nextState, {});
                if (server.m_state == "ready") {
                    m_everReady.insert({server.m_id, server.m_group + "/" + std::to_string(server.m_epoch)});
                }
                m_record.add(server.m_id + " is " + server.m_state + " in " + server.m_group);
                changed = true;
            }
            const bool serves = server.m_state == "open" || server.m_state == "closing";
            if (serves && server.m_rank == 0) {
                server.m_stalledMs = isComplete(server) ? -1 : server.m_stalledMs < 0 ? now : server.m_stalledMs;
                if (server.m_stalledMs >= 0 && now - server.m_stalledMs > StallMs) {
                    server.m_state = "broken";
                    m_record.add(server.m_id + " is broken in " + server.m_group);
                    changed = true;
                } else if (server.m_state == "closing" && server.m_running == 0) {
                    server.m_state = "ready";
                    m_record.add(server.m_id + " is ready, after closing, in " + server.m_group);
                    changed = true;
                }
            }
            if (changed) {
                publish(server);
            }
        }
    }
    bool isComplete(const Server &head)
    {
        return std::all_of(head.m_members.begin(), head.m_members.end(), [this, &head](const std::string &id) {
            const Server *member = find(id);
            return member != nullptr && member->m_isAlive && member->m_group == head.m_group && member->m_epoch == head.m_epoch;
        });
    }
    /** Rule TWO: an engine takes a join of another group while the head of its group is open or closing. With m_mutex held. */
    void checkJoin(const Server &server, const std::string &group)
    {
        const Server *head = server.m_members.empty() ? nullptr : find(server.m_members.front());
        const bool isInGroup = head != nullptr && head->m_isAlive && head->m_group == server.m_group && head->m_epoch == server.m_epoch;
        if (isInGroup && (head->m_state == "open" || head->m_state == "closing")) {
            m_record.breach("TWO", server.m_id + " takes a join of " + group + " while " + head->m_id + ", the head of its group " + server.m_group + ", is "
                                       + head->m_state);
        }
    }
    /** Carries out an order and returns the status of its answer. With m_mutex held. */
    int carryOut(Server &server, const json::object &order)
    {
        const std::string kind = textOf(order, "op");
        const std::string group = textOf(order, "group");
        const std::int64_t epoch = numberOf(order, "epoch");
        if (numberOf(order, "fencingToken") < server.m_fence) {
            return 412;
        }
        if (numberOf(order, "precondition", server.m_orders) != server.m_orders) {
            return 409;
        }
        server.m_fence = numberOf(order, "fencingToken");
        if (kind == "phase") {
            if (server.m_staged == textOf(order, "modelName")) {
                return 200;
            }
            ++server.m_orders;
            server.m_staged = textOf(order, "modelName");
            return 202;
        }
        if (kind == "join") {
            std::vector<std::string> members;
            for (const json::value &member : listOf(order, "members")) {
                members.emplace_back(member.as_string());
            }
            if (server.m_group == group && server.m_epoch == epoch) {
                return members != server.m_members ? 412 : server.m_state == "joining" ? 202 : 200;
            }
            const Model *joined = model(textOf(order, "modelName"));
            if (epoch < server.m_highestEpoch || joined == nullptr) {
                return epoch < server.m_highestEpoch ? 412 : 409;
            }
            checkJoin(server, group);
            ++server.m_orders;
            server.m_highestEpoch = epoch;
            server.m_group = group;
            server.m_epoch = epoch;
            server.m_members = members;
            server.m_rank = static_cast<int>(std::find(members.begin(), members.end(), server.m_id) - members.begin());
            server.m_state = "joining";
            server.m_nextState = "ready";
            const bool isStaged = server.m_staged == joined->m_name;
            const std::int64_t loadMs = m_hasTraffic ? joined->m_loadMs : joined->m_loadMs / 10;
            server.m_changesMs = nowMs() + (server.m_lastModel == joined->m_name ? 200 : isStaged ? joined->m_warmMs : loadMs);
            server.m_staged = joined->m_name;
            server.m_lastModel = joined->m_name;
            server.m_stalledMs = -1;
            publish(server);
            return 202;
        }
        if (server.m_group != group || server.m_epoch != epoch) {
            return 409;
        }
        if (kind == "open") {
            if (server.m_state == "open") {
                return 200;
            }
            if (server.m_state != "ready" || server.m_rank != 0) {
                return 409;
            }
            if (server.m_nextState.empty()) {
                ++server.m_orders;
                server.m_nextState = "open";
                server.m_changesMs = nowMs() + FormMs;
            }
            return 202;
        }
        if (kind == "close") {
            if (server.m_state == "ready") {
                // Also ends an opening that has begun.
                server.m_nextState.clear();
                return 200;
            }
            if (server.m_state != "open" && server.m_state != "closing" && server.m_state != "broken") {
                return 409;
            }
            ++server.m_orders;
            const bool waits = textOf(order, "closeMode") == "queue" && server.m_running > 0 && server.m_state != "broken";
            server.m_state = waits ? "closing" : "ready";
            publish(server);
            return waits ? 202 : 200;
        }
        ++server.m_orders;
        clearGroup(server);
        publish(server);
        return 200;
    }
    bool serve(Server &server, Channel &channel, const HttpMessage &request)
    {
        if (server.m_isDark) {
            return stayDark(server, channel);
        }
        const std::string expected = request.field("Expect-Instance");
        Fields fields;
        if (!request.field("Attempt-Id").empty()) {
            fields.emplace_back("Attempt-Id", request.field("Attempt-Id"));
        }
        if (!expected.empty() && expected != server.m_id) {
            fields.emplace_back("Instance-Id", server.m_id);
            return channel.respond(421, {}, fields);
        }
        if (server.m_fault) {
            const std::pair<bool, bool> done = server.m_fault(channel, request);
            if (done.first) {
                return done.second;
            }
        }
        if (request.path() == "/-/report") {
            const std::unique_lock<std::mutex> lock(m_mutex);
            const std::string body = json::serialize(describe(server, server.m_orders));
            return channel.respond(200, body, {{"Content-Type", "application/json"}});
        }
        if (request.path() == "/-/order") {
            std::unique_lock<std::mutex> lock(m_mutex);
            const int status = carryOut(server, toObject(request.m_body));
            m_record.add("order to " + server.m_id + ": " + request.m_body + " -> " + std::to_string(status));
            lock.unlock();
            return channel.respond(status, {}, fields);
        }
        return server.m_domain.empty() ? serveCall(server, channel, request, fields) : serveGeneration(server, channel, request, fields);
    }
    void noteRun(Server &server, const HttpMessage &request)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_hasTraffic = true;
        m_runs[request.field("Attempt-Id")].push_back({server.m_id, nowMs()});
        m_record.add(server.m_id + " runs " + request.field("Attempt-Id") + " " + request.m_method + " " + request.m_target + " for tenant "
                     + request.field("Tenant"));
    }
    std::string stamp() const
    {
        return "3e1b.07.5a2";
    }
    bool serveCall(Server &server, Channel &channel, const HttpMessage &request, Fields fields)
    {
        noteRun(server, request);
        sleepMs(m_callMs);
        fields.emplace_back("Server-Stamp", stamp());
        fields.emplace_back("Server-Load", "1,0,6");
        return channel.respond(200, "done " + request.field("Attempt-Id"), fields);
    }
    bool serveGeneration(Server &server, Channel &channel, const HttpMessage &request, Fields fields)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        if (server.m_rank != 0 || server.m_state.empty()) {
            lock.unlock();
            fields.emplace_back("At-Server", server.m_id);
            return channel.respond(421, {}, fields);
        }
        if (server.m_state != "open") {
            lock.unlock();
            fields.emplace_back("Not-Executed", "1");
            fields.emplace_back("At-Server", server.m_id);
            return channel.respond(503, {}, fields);
        }
        const std::string group = server.m_group;
        const std::int64_t epoch = server.m_epoch;
        for (const std::string &member : server.m_members) {
            if (m_everReady.count({member, group + "/" + std::to_string(epoch)}) == 0) {
                m_record.breach("PARTIAL", request.field("Attempt-Id") + " runs in " + group + ", in which " + member + " was never ready");
            }
        }
        ++server.m_running;
        lock.unlock();
        noteRun(server, request);
        sleepMs(m_firstEventMs);
        if (m_onFirstEvent && !m_onFirstEvent(server, request)) {
            return false;
        }
        std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nServer-Stamp: " + stamp() + "\r\n"
                           + (m_isUnframed ? "" : "Transfer-Encoding: chunked\r\n");
        for (const std::pair<std::string, std::string> &field : fields) {
            head += field.first + ": " + field.second + "\r\n";
        }
        bool open = channel.write(head + "\r\n");
        const std::string last = request.field("Last-Event-Id");
        for (int event = last.empty() ? 1 : std::atoi(last.c_str()) + 1; open && event <= m_events; ++event) {
            while (true) {
                lock.lock();
                const bool isSame = server.m_isAlive && server.m_group == group && server.m_epoch == epoch;
                const bool stands = isSame && server.m_stalledMs >= 0;
                const bool serves = isSame && (server.m_state == "open" || server.m_state == "closing");
                lock.unlock();
                if (!serves) {
                    open = false;
                    break;
                }
                if (!stands) {
                    break;
                }
                sleepMs(10);
            }
            if (!open) {
                break;
            }
            const std::string text = "id: " + std::to_string(event) + "\ndata: event " + std::to_string(event) + "\n\n";
            char size[24];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            open = !channel.isClosedByPeer() && channel.write(m_isUnframed ? text : size + text + "\r\n");
            sleepMs(m_eventMs);
        }
        open = open && !m_isUnframed && channel.write("0\r\n\r\n");
        lock.lock();
        if (server.m_group == group && server.m_epoch == epoch) {
            --server.m_running;
        }
        return open;
    }

    // Daemons

    Daemon &startDaemon(const std::string &zone)
    {
        m_daemons.emplace_back();
        Daemon &daemon = m_daemons.back();
        daemon.m_number = static_cast<int>(m_daemons.size());
        daemon.m_ip = m_prefix + "." + std::to_string(daemon.m_number);
        daemon.m_storeAddress = m_prefix + "." + std::to_string(200 + daemon.m_number) + ":8223";
        m_store.listen(daemon.m_storeAddress);
        const std::string path = settingsPath(daemon);
        m_files.push_back(path);
        m_files.push_back(path + ".log");
        // As rendered from deploy/entry.yaml.
        std::ofstream(path) << "name: \"edge-" << daemon.m_number << "\"\navailability_zone: \"" << zone << "\"\nlisten: \"" << daemon.client()
                            << "\"\nreadiness_listen: \"" << daemon.readiness() << "\"\nmetrics_listen: \"" << daemon.m_ip << ":9464\"\npeer_listen: \""
                            << daemon.m_ip << ":7340\"\ncpu_share: 0.25\nstore_address: \"" << daemon.m_storeAddress
                            << "\"\nlease_ms: 1000\nmax_key_age_ms: 5000\nresend_ratio: 0.2\nresend_extra: 132\nresend_window_s: 10\ncold_share: 1.5\n"
                               "engines_check_fence: true\nstop_grace_s: 8\naddress_reuse_s: 2\noverload_admission: true\nupstream_heartbeat_ms: 1200\n";
        launch(daemon);
        return daemon;
    }
    std::string settingsPath(const Daemon &daemon) const
    {
        return m_folder + "/edge-" + std::to_string(daemon.m_number) + ".yaml";
    }
    /** Starts the process with the command of deploy/system.toml. */
    void launch(Daemon &daemon)
    {
        const std::string variable = "KNAPWEEDSLIP_NODE_FILE=" + settingsPath(daemon);
        const std::string log = settingsPath(daemon) + ".log";
        const pid_t parent = ::getpid();
        daemon.m_pid = ::fork();
        if (daemon.m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) {
                ::_exit(1);
            }
            std::freopen(log.c_str(), "a", stdout);
            std::freopen(log.c_str(), "a", stderr);
            const rlimit files{4100, 4100};
            ::setrlimit(RLIMIT_NOFILE, &files);
            const char *program = std::getenv("ENTRY_PROGRAM") != nullptr ? std::getenv("ENTRY_PROGRAM") : "target/daemons/knapweedslip-entry";
            char *const arguments[] = {const_cast<char *>(program), nullptr};
            char *const environment[] = {const_cast<char *>(variable.c_str()), const_cast<char *>("PATH=/usr/bin:/bin"), nullptr};
            ::execve(program, arguments, environment);
            ::_exit(127);
        }
        m_record.add("edge-" + std::to_string(daemon.m_number) + " starts");
    }
    void kill(Daemon &daemon, int signal)
    {
        if (daemon.m_pid > 0) {
            m_record.add("edge-" + std::to_string(daemon.m_number) + " gets signal " + std::to_string(signal));
            ::kill(daemon.m_pid, signal);
        }
    }
    /** Kills the process and waits for its end. */
    void killNow(Daemon &daemon)
    {
        kill(daemon, SIGKILL);
        waitpid(daemon.m_pid, nullptr, 0);
        daemon.m_pid = -1;
    }
    /** Returns whether the process has ended, and how. */
    bool hasEnded(Daemon &daemon, int &how)
    {
        if (daemon.m_pid > 0 && waitpid(daemon.m_pid, &how, WNOHANG) == daemon.m_pid) {
            daemon.m_pid = -1;
        }
        return daemon.m_pid <= 0;
    }
    bool isReady(const Daemon &daemon)
    {
        return exchange(daemon.readiness(), "GET /-/readyz HTTP/1.1\r\nHost: r\r\n", {}, 500).m_status == 200;
    }
    bool waitUntil(std::int64_t timeoutMs, const std::function<bool()> &condition)
    {
        const std::int64_t untilMs = nowMs() + timeoutMs;
        while (!condition()) {
            if (nowMs() >= untilMs) {
                return false;
            }
            sleepMs(20);
        }
        return true;
    }
    bool allReady()
    {
        return std::all_of(m_daemons.begin(), m_daemons.end(), [this](const Daemon &daemon) {
            return isReady(daemon);
        });
    }

    // Clients

    std::string newId()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        char text[24];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(m_random()));
        return text;
    }
    std::string head(const std::string &method, const std::string &path, const std::string &id, const std::string &key, std::int64_t deadlineMs,
                     const std::string &more = {})
    {
        return method + " " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(deadlineMs)
               + "\r\nAuthorization: Bearer " + key + "\r\n" + more;
    }
    std::string generation(const std::string &model) const
    {
        return "Model: " + model + "\r\nToken-Usage: 100,80\r\nPrompt-Prefix: 5c1e07a2:40,91bd3f06:60\r\n";
    }
    /** Sends one request on a new connection and records the answer. */
    Answer call(const Daemon &daemon, const std::string &method, const std::string &path, const std::string &key, std::int64_t deadlineMs,
                const std::string &more = {}, const std::string &body = {}, std::string id = {})
    {
        id = id.empty() ? newId() : id;
        Answer answer;
        answer.m_sentMs = nowMs();
        m_record.add("client sends " + id + " " + method + " " + path + " with key " + key + " to edge-" + std::to_string(daemon.m_number));
        answer.m_message = exchange(daemon.client(), head(method, path, id, key, deadlineMs, more), body, deadlineMs + 1'000);
        answer.m_status = answer.m_message.m_status;
        answer.m_isComplete = answer.m_message.m_isComplete;
        answer.m_endMs = nowMs();
        m_record.add("client gets for " + id + ": " + std::to_string(answer.m_status) + (answer.m_isComplete ? "" : ", cut") + " after "
                     + std::to_string(answer.m_endMs - answer.m_sentMs) + " ms");
        return answer;
    }

    /** Time until a group that stands still is broken, and until a head that is told to open serves (the sheet's stallMs and formMs). */
    static constexpr std::int64_t StallMs = 6'000;
    static constexpr std::int64_t FormMs = 300;

    /** Called when a generation is about to write; false if the server has ended. */
    std::function<bool(Server &, const HttpMessage &)> m_onFirstEvent;

    Record m_record;
    Store m_store;
    std::mutex m_mutex;
    std::mt19937_64 m_random;
    std::string m_prefix;
    std::string m_folder;
    std::vector<std::string> m_files;
    std::vector<std::unique_ptr<Server>> m_servers;
    std::deque<Daemon> m_daemons;
    std::vector<Model> m_models;
    std::set<std::pair<std::string, std::string>> m_everReady;
    std::map<std::string, std::vector<Run>> m_runs;
    bool m_hasTraffic = false;
    std::int64_t m_beatMs = 0;
    std::int64_t m_callMs = 30;
    std::int64_t m_firstEventMs = 60;
    std::int64_t m_eventMs = 40;
    int m_events = 25;
    /** Streams have neither a length nor chunks, and end with their connection. */
    bool m_isUnframed = false;
    /** The end of a server resets its connections; otherwise they are closed, as the system does for a process that has read all that it was sent. */
    bool m_crashResets = true;
};

/** The operator's config of a small deployment. @p keys are those of the second tenant, as JSON strings. */
inline std::string configText(int version, const std::string &keys, const std::string &moreRoutes = {}, int payTimeoutMs = 1'000)
{
    return R"({"version":)" + std::to_string(version)
           + R"(,"routes":[)" + moreRoutes + R"({"name":"r-quiz","host":"ficu95.example","pathPrefix":"/pufi791/","routeType":"streaming","timeoutMs":5000,"latencyTargetMs":200,)"
             R"("priority":1,"service":"huvo11a","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"itlTargetMs":200},)"
             R"({"name":"r-pay","host":"ficu95.example","pathPrefix":"/puxa403/","routeType":"non_idempotent","timeoutMs":)" + std::to_string(payTimeoutMs) + R"(,"latencyTargetMs":150,)"
             R"("priority":2,"service":"wuno96b","maxAttempts":1,"public":false},)"
             R"({"name":"r-read","host":"ficu95.example","pathPrefix":"/cufi504/","routeType":"idempotent","timeoutMs":1000,"latencyTargetMs":150,)"
             R"("priority":2,"service":"wuno96b","maxAttempts":2,"public":false}],)"
             R"("services":[{"name":"huvo11a","healthPath":"/healthz","maxConns":334,"coldStartS":3.0,"coldPerS":26.0,"backend":{"slots":26,"kvCapacity":1590000,)"
             R"("stride":7,"modelList":[{"name":"rada7437b5","size":3,"share":1.0,"pace":0.6,"loadS":12.0,"warmupS":1.1}],"step_ms":5.95,"per_seq_ms":0.0445,)"
             R"("context_per_k":0.00813,"read_per_s":50700.0,"pairs_per_m":0.368,"chunk":2048,"report_lag_ms":200.0,"loadsPerS":4.5,"loads_at_once":6,)"
             R"("usual":{"prompt":1115,"answer":178},"keptModelCount":1,"far_x":4.0,"formMs":300.0}},)"
             R"({"name":"wuno96b","healthPath":"/healthz","maxConns":100,"coldStartS":0.0,"coldPerS":0.0}],)"
             R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
             R"("tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"],"priority":1},{"name":"pomu114","apiKeys":[)"
           + keys + "]}]}";
}

inline constexpr const char *Key = "n2ctnfzs989anu6wsjnb";
inline constexpr const char *SecondKey = "anfqasnmgkcuyj8pjbvk";

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}
}
