// The operator, the clients, and what all scenarios need.

#pragma once

#include "upstream.hh"

namespace review
{
inline json::object route(const char *name, const char *prefix, const char *type, std::int64_t timeoutMs)
{
    return {{"name", name}, {"host", "shop.example"}, {"pathPrefix", prefix}, {"routeType", type}, {"service", "orders"}, {"timeoutMs", timeoutMs},
            {"latencyTargetMs", 150}, {"priority", 1}, {"maxAttempts", 2}};
}

/** Returns a configuration in which @p keys are the keys of the tenants, in turn; a tenant may have none. */
inline std::string configText(std::int64_t version, const std::vector<json::object> &routes, const std::vector<std::vector<std::string>> &keys)
{
    json::array tenants;
    for (std::size_t i = 0; i < keys.size(); ++i) {
        json::array list(keys[i].begin(), keys[i].end());
        tenants.push_back(json::object{{"name", "tenant-" + std::to_string(i + 1)}, {"apiKeys", std::move(list)}});
    }
    return json::serialize(json::object{{"version", version},
                                        {"routes", json::array(routes.begin(), routes.end())},
                                        {"services", json::array{json::object{{"name", "orders"}, {"healthPath", "/healthz"}, {"maxConns", 110}}}},
                                        {"limits", json::object{{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 5000}, {"idleTimeoutMs", 20000}}},
                                        {"tenants", std::move(tenants)}});
}

struct Options
{
    bool trouble = true;
    int storePort = 0;
    std::vector<std::string> entries, readiness;
    /** Folder in which pid-N holds the process id of daemon N. */
    std::string folder;
};

/** Returns the process id of daemon @p number, from 1, or 0 while it isn't running. */
inline pid_t daemonPid(const Options &options, std::size_t number)
{
    std::FILE *file = std::fopen((options.folder + "/pid-" + std::to_string(number)).c_str(), "r");
    int pid = 0;
    if (file != nullptr) {
        pid = std::fscanf(file, "%d", &pid) == 1 ? pid : 0;
        std::fclose(file);
    }
    return pid;
}

/** Returns the memory of a process in bytes, or 0 if it has ended. */
inline std::int64_t residentBytes(pid_t pid)
{
    std::FILE *file = std::fopen(("/proc/" + std::to_string(pid) + "/statm").c_str(), "r");
    long long total = 0;
    long long resident = 0;
    if (file != nullptr) {
        resident = std::fscanf(file, "%lld %lld", &total, &resident) == 2 ? resident : 0;
        std::fclose(file);
    }
    return resident * sysconf(_SC_PAGESIZE);
}

inline std::string requestText(const std::string &method, const std::string &target, const std::string &id, const std::string &key, std::int64_t deadlineMs, const std::string &body)
{
    return method + " " + target + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(deadlineMs)
           + "\r\nAuthorization: Bearer " + key + "\r\n" + (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

/** Waits until every daemon reports that it is ready. */
inline bool waitUntilReady(const Options &options, std::int64_t withinMs)
{
    const std::int64_t untilMs = nowMs() + withinMs;
    for (const std::string &address : options.readiness) {
        while (true) {
            const ChannelPtr channel = connectTo(address);
            if (channel != nullptr && channel->send("GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")) {
                const std::optional<Message> reply = readMessage(*channel, nowMs() + 1'000);
                if (reply && reply->status == 200) {
                    break;
                }
            }
            if (nowMs() > untilMs) {
                record("no daemon is ready at %s", address.c_str());
                return false;
            }
            sleepMs(100);
        }
    }
    record("all daemons are ready");
    return true;
}

/** Sends one request on a new channel. Returns its status, or 0 if there was no answer. */
inline int sendOnce(const std::string &entry, const std::string &text, std::int64_t waitMs)
{
    const ChannelPtr channel = connectTo(entry);
    if (channel == nullptr || !channel->send(text)) {
        return 0;
    }
    const std::optional<Message> reply = readMessage(*channel, nowMs() + waitMs);
    return reply ? reply->status : 0;
}

inline const char *const CallerKey = "key-of-tenant-1";
inline const char *const OtherKey = "key-of-tenant-2";


inline void printFreePorts(int count)
{
    std::vector<int> sockets;
    for (int i = 0; i < count; ++i) {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address = addressOf("127.0.0.1:0");
        socklen_t size = sizeof address;
        if (bind(fd, reinterpret_cast<sockaddr *>(&address), size) != 0) {
            std::exit(CannotRun);
        }
        getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
        std::printf("%d\n", ntohs(address.sin_port));
        sockets.push_back(fd);
    }
    for (const int fd : sockets) {
        close(fd);
    }
}

inline std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    for (std::size_t start = 0; start < text.size();) {
        const std::size_t end = std::min(text.find(',', start), text.size());
        parts.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

/** Runs @p scenario with the arguments that common.sh passes. */
inline int runScenario(int argc, char **argv, int (*scenario)(const Options &))
{
    if (argc == 3 && std::string(argv[1]) == "ports") {
        printFreePorts(std::atoi(argv[2]));
        return 0;
    }
    if (argc != 7) {
        std::fprintf(stderr, "usage: %s ports COUNT | %s TROUBLE STORE-PORT ENTRIES READINESS FOLDER RECORD\n", argv[0], argv[0]);
        return CannotRun;
    }
    signal(SIGPIPE, SIG_IGN);
    constexpr unsigned LongestRunS = 115;
    alarm(LongestRunS);
    Options options;
    options.trouble = std::string(argv[1]) != "0";
    options.storePort = std::atoi(argv[2]);
    options.entries = split(argv[3]);
    options.readiness = split(argv[4]);
    options.folder = argv[5];
    recordFile = std::fopen(argv[6], "w");
    if (recordFile == nullptr) {
        return CannotRun;
    }
    const int status = scenario(options);
    record("exit status %d", status);
    std::fflush(nullptr);
    // The threads of the stand-ins still use what the scenario made.
    std::_Exit(status);
}
}
