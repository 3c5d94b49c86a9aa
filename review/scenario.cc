// Stand-ins for the platform's store, upstreams and clients, and the scenarios of the cases in this folder. The daemons under test are separate
// processes, which run.sh starts. Threads and blocking sockets are used, so that each byte and its time are under the control of a scenario.

#include <boost/json/src.hpp>

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace json = boost::json;
using Lock = std::unique_lock<std::mutex>;

namespace
{
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CannotRun = 2;

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

const std::int64_t StartMs = nowMs();
std::mutex recordMutex;
std::FILE *recordFile = nullptr;

/** Writes one line with the time since the start, in ms. */
__attribute__((format(printf, 1, 2))) void record(const char *format, ...)
{
    const Lock lock(recordMutex);
    std::fprintf(recordFile, "%7lld ", static_cast<long long>(nowMs() - StartMs));
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(recordFile, format, arguments);
    va_end(arguments);
    std::fputc('\n', recordFile);
    std::fflush(recordFile);
}

std::string base64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63U] : '=';
        }
    }
    return text;
}

std::string unbase64(const std::string &text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        const int value = c >= 'A' && c <= 'Z' ? c - 'A' : c >= 'a' && c <= 'z' ? c - 'a' + 26 : c >= '0' && c <= '9' ? c - '0' + 52 : c == '+' ? 62 : c == '/' ? 63 : -1;
        if (value < 0) {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255U);
        }
    }
    return bytes;
}

// --- HTTP over blocking sockets ---

using Fields = std::vector<std::pair<std::string, std::string>>;

struct Message
{
    /** Method and target of a request. */
    std::string method, target;
    int status = 0;
    Fields fields;
    std::string body;
    bool keepsOpen = true;

    std::string field(const char *name) const
    {
        for (const auto &[key, value] : fields) {
            if (strcasecmp(key.c_str(), name) == 0) {
                return value;
            }
        }
        return {};
    }
};

/** A connected socket with the bytes that were received and not yet used. */
struct Channel
{
    explicit Channel(int descriptor)
        : fd(descriptor)
    {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Channel()
    {
        close(fd);
    }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    /** Receives more bytes. Returns false at the end, on an error, or if nothing comes until @p untilMs. */
    bool receive(std::int64_t untilMs)
    {
        pollfd wait{fd, POLLIN, 0};
        const std::int64_t left = untilMs - nowMs();
        if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char bytes[16384];
        const ssize_t size = recv(fd, bytes, sizeof bytes, 0);
        if (size <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }
    bool send(const std::string &bytes) const
    {
        for (std::size_t sent = 0; sent < bytes.size();) {
            const ssize_t size = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }

    int fd;
    std::string buffer;
};

using ChannelPtr = std::shared_ptr<Channel>;

constexpr std::int64_t Forever = 1'000'000'000'000;

/** Reads the head of a request or response; its bytes are removed from the channel's buffer. */
std::optional<Message> readHead(Channel &channel, std::int64_t untilMs)
{
    std::size_t end = 0;
    while ((end = channel.buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!channel.receive(untilMs)) {
            return std::nullopt;
        }
    }
    const std::string head = channel.buffer.substr(0, end + 2);
    channel.buffer.erase(0, end + 4);
    Message message;
    std::size_t line = head.find("\r\n");
    const std::string start = head.substr(0, line);
    const std::size_t space = start.find(' ');
    if (start.rfind("HTTP/", 0) == 0) {
        message.status = std::atoi(start.c_str() + space + 1);
    } else {
        message.method = start.substr(0, space);
        message.target = start.substr(space + 1, start.find(' ', space + 1) - space - 1);
    }
    for (line += 2; line < head.size();) {
        const std::size_t next = head.find("\r\n", line);
        const std::size_t colon = head.find(':', line);
        const std::size_t value = std::min(head.find_first_not_of(' ', colon + 1), next);
        message.fields.emplace_back(head.substr(line, colon - line), head.substr(value, next - value));
        line = next + 2;
    }
    message.keepsOpen = strcasecmp(message.field("Connection").c_str(), "close") != 0;
    return message;
}

/** Reads the body that belongs to the head @p message. */
bool readBody(Channel &channel, Message &message, std::int64_t untilMs)
{
    if (!message.field("Transfer-Encoding").empty()) {
        while (true) {
            std::size_t line = 0;
            while ((line = channel.buffer.find("\r\n")) == std::string::npos) {
                if (!channel.receive(untilMs)) {
                    return false;
                }
            }
            const std::size_t size = std::strtoul(channel.buffer.c_str(), nullptr, 16);
            while (channel.buffer.size() < line + 4 + size) {
                if (!channel.receive(untilMs)) {
                    return false;
                }
            }
            message.body += channel.buffer.substr(line + 2, size);
            channel.buffer.erase(0, line + 4 + size);
            if (size == 0) {
                return true;
            }
        }
    }
    const std::size_t size = std::strtoul(message.field("Content-Length").c_str(), nullptr, 10);
    while (channel.buffer.size() < size) {
        if (!channel.receive(untilMs)) {
            return false;
        }
    }
    message.body = channel.buffer.substr(0, size);
    channel.buffer.erase(0, size);
    return true;
}

std::optional<Message> readMessage(Channel &channel, std::int64_t untilMs)
{
    std::optional<Message> message = readHead(channel, untilMs);
    if (message && !readBody(channel, *message, untilMs)) {
        return std::nullopt;
    }
    return message;
}

std::string responseText(int status, const Fields &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto &[key, value] : fields) {
        text += key + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

sockaddr_in addressOf(const std::string &text)
{
    const std::size_t colon = text.find(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

ChannelPtr connectTo(const std::string &address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = addressOf(address);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        close(fd);
        return nullptr;
    }
    return std::make_shared<Channel>(fd);
}

/** Listens on a loopback port (0: any free one) and calls @p serve on a thread for each connection. Returns the address. */
std::string listenOn(int port, std::function<void(ChannelPtr)> serve)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in address = addressOf("127.0.0.1:" + std::to_string(port));
    socklen_t size = sizeof address;
    if (bind(fd, reinterpret_cast<sockaddr *>(&address), size) != 0 || listen(fd, 512) != 0) {
        std::perror("listen");
        std::exit(CannotRun);
    }
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    std::thread([fd, serve]() {
        while (true) {
            const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted >= 0) {
                std::thread(serve, std::make_shared<Channel>(accepted)).detach();
            }
        }
    }).detach();
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

// --- The platform's store ---

struct Item
{
    std::string key, value;
    std::int64_t revision = 0, created = 0, lease = 0;
    bool deleted = false;
};

struct Lease
{
    std::int64_t ttlMs = 0, endsMs = 0;
};

struct StoreState
{
    std::map<std::string, Item> items;
    std::deque<Item> history;
    std::int64_t revision = 100;
    std::map<std::int64_t, Lease> leases;
};

class Store
{
public:
    explicit Store(int port)
    {
        address = listenOn(port, [this](const ChannelPtr &channel) {
            serve(*channel);
        });
        std::thread([this]() {
            while (true) {
                sleepMs(50);
                const Lock lock(m_mutex);
                expireLeases();
            }
        }).detach();
    }

    /** Writes a key as the operator or an engine does. Returns the revision; a write while the store is away waits for its return. */
    std::int64_t put(const std::string &key, const std::string &value)
    {
        Lock lock(m_mutex);
        m_changed.wait(lock, [this]() {
            return !m_away;
        });
        ++m_state.revision;
        apply({key, value, 0, 0, 0, false});
        return m_state.revision;
    }
    void remove(const std::string &key)
    {
        Lock lock(m_mutex);
        m_changed.wait(lock, [this]() {
            return !m_away;
        });
        if (m_state.items.count(key) > 0) {
            ++m_state.revision;
            apply({key, {}, 0, 0, 0, true});
        }
    }
    std::string value(const std::string &key)
    {
        const Lock lock(m_mutex);
        const auto found = m_state.items.find(key);
        return found == m_state.items.end() ? std::string() : found->second.value;
    }
    /** Keeps a copy of the content. */
    void copy()
    {
        const Lock lock(m_mutex);
        m_copy = m_state;
        record("store: a copy is made at revision %lld", static_cast<long long>(m_state.revision));
    }
    void goAway()
    {
        const Lock lock(m_mutex);
        m_away = true;
        m_changed.notify_all();
        record("store: goes away at revision %lld", static_cast<long long>(m_state.revision));
    }
    /** Comes back from the copy, if there is to be one, and otherwise with what it had. */
    void comeBack(bool fromCopy)
    {
        const Lock lock(m_mutex);
        if (fromCopy) {
            // Leases that were granted since the copy are gone. Their ids aren't given out again.
            const std::int64_t now = nowMs();
            m_state = m_copy;
            for (auto &[id, lease] : m_state.leases) {
                lease.endsMs = now + lease.ttlMs;
            }
            ++m_era;
        }
        m_away = false;
        m_changed.notify_all();
        record("store: is back at revision %lld, era %lld", static_cast<long long>(m_state.revision), static_cast<long long>(m_era));
    }
    std::int64_t revision()
    {
        const Lock lock(m_mutex);
        return m_state.revision;
    }

    std::string address;

private:
    static constexpr std::size_t MaxHistory = 20'000;

    void apply(Item item)
    {
        item.revision = m_state.revision;
        const auto found = m_state.items.find(item.key);
        item.created = found == m_state.items.end() ? item.revision : found->second.created;
        m_state.history.push_back(item);
        if (m_state.history.size() > MaxHistory) {
            m_state.history.pop_front();
        }
        if (item.deleted) {
            m_state.items.erase(item.key);
        } else {
            m_state.items[item.key] = std::move(item);
        }
        m_changed.notify_all();
    }
    void endLease(std::int64_t id)
    {
        m_state.leases.erase(id);
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_state.items) {
            if (item.lease == id) {
                keys.push_back(key);
            }
        }
        for (const std::string &key : keys) {
            ++m_state.revision;
            apply({key, {}, 0, 0, 0, true});
        }
    }
    void expireLeases()
    {
        if (m_away) {
            return;
        }
        std::vector<std::int64_t> over;
        for (const auto &[id, lease] : m_state.leases) {
            if (lease.endsMs <= nowMs()) {
                over.push_back(id);
            }
        }
        for (const std::int64_t id : over) {
            endLease(id);
        }
    }
    static json::object toJson(const Item &item)
    {
        if (item.deleted) {
            return {{"key", item.key}, {"revision", item.revision}, {"deleted", true}};
        }
        return {{"key", item.key}, {"value", base64(item.value)}, {"revision", item.revision}, {"created", item.created}, {"leaseId", item.lease}};
    }
    static std::string query(const std::string &target, const std::string &name)
    {
        for (std::size_t start = target.find('?'); start != std::string::npos; start = target.find('&', start + 1)) {
            const std::string pair = target.substr(start + 1, target.find('&', start + 1) - start - 1);
            if (pair.rfind(name + "=", 0) == 0) {
                std::string text;
                for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
                    if (pair[i] == '%' && i + 2 < pair.size()) {
                        text += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
                        i += 2;
                    } else {
                        text += pair[i];
                    }
                }
                return text;
            }
        }
        return {};
    }

    std::pair<int, json::object> range(const std::string &prefix, const std::string &after)
    {
        constexpr std::size_t MaxEntries = 500;
        json::array entries;
        bool hasMore = false;
        for (const auto &[key, item] : m_state.items) {
            if (key.rfind(prefix, 0) == 0 && key > after) {
                hasMore = entries.size() == MaxEntries;
                if (hasMore) {
                    break;
                }
                entries.push_back(toJson(item));
            }
        }
        return {200, {{"entries", std::move(entries)}, {"hasMore", hasMore}, {"at", m_state.revision}}};
    }
    std::pair<int, json::object> watch(Lock &lock, const std::string &prefix, std::int64_t after, std::int64_t waitMs)
    {
        const std::int64_t untilMs = nowMs() + waitMs;
        const std::int64_t era = m_era;
        while (true) {
            if (m_away || m_era != era) {
                return {503, {}};
            }
            const bool isGone = !m_state.history.empty() && m_state.history.front().revision > after + 1 && m_state.history.size() == MaxHistory;
            if (after > m_state.revision || isGone) {
                return {410, {}};
            }
            json::array events;
            for (auto it = m_state.history.rbegin(); it != m_state.history.rend() && it->revision > after; ++it) {
                if (it->key.rfind(prefix, 0) == 0) {
                    events.insert(events.begin(), toJson(*it));
                }
            }
            if (!events.empty() || nowMs() >= untilMs) {
                return {200, {{"events", std::move(events)}, {"at", m_state.revision}}};
            }
            m_changed.wait_for(lock, std::chrono::milliseconds(untilMs - nowMs()));
        }
    }
    std::pair<int, json::object> commit(const json::object &body)
    {
        const auto list = [&body](const char *name) {
            const json::value *value = body.if_contains(name);
            return value != nullptr && value->is_array() ? value->as_array() : json::array();
        };
        json::array failed;
        for (const json::value &row : list("precondition")) {
            const std::string key(row.at("key").as_string());
            const auto found = m_state.items.find(key);
            const std::int64_t revision = found == m_state.items.end() ? 0 : found->second.revision;
            if (revision != row.at("revision").to_number<std::int64_t>()) {
                failed.push_back(found == m_state.items.end() ? json::object{{"key", key}, {"revision", 0}} : toJson(found->second));
            }
        }
        if (!failed.empty()) {
            return {412, {{"entries", std::move(failed)}}};
        }
        for (const json::value &row : list("write")) {
            const json::value *lease = row.as_object().if_contains("leaseId");
            if (lease != nullptr && lease->to_number<std::int64_t>() != 0 && m_state.leases.count(lease->to_number<std::int64_t>()) == 0) {
                return {404, {}};
            }
        }
        ++m_state.revision;
        for (const json::value &row : list("write")) {
            const json::value *lease = row.as_object().if_contains("leaseId");
            apply({std::string(row.at("key").as_string()), unbase64(std::string(row.at("value").as_string())), 0, 0,
                   lease == nullptr ? 0 : lease->to_number<std::int64_t>(), false});
        }
        for (const json::value &key : list("delete")) {
            apply({std::string(key.as_string()), {}, 0, 0, 0, true});
        }
        return {200, {{"revision", m_state.revision}}};
    }
    std::pair<int, json::object> answer(const Message &request)
    {
        Lock lock(m_mutex);
        const std::string path = request.target.substr(0, request.target.find('?'));
        if (m_away) {
            return {503, {}};
        }
        boost::system::error_code ignored;
        const json::value parsed = json::parse(request.body.empty() ? "{}" : request.body, ignored);
        const json::object body = parsed.is_object() ? parsed.as_object() : json::object();
        if (path == "/-/kv-range") {
            return range(query(request.target, "pathPrefix"), query(request.target, "after"));
        }
        if (path == "/-/kv-key") {
            const auto found = m_state.items.find(query(request.target, "key"));
            return found == m_state.items.end() ? std::pair<int, json::object>(404, {}) : std::pair<int, json::object>(200, toJson(found->second));
        }
        if (path == "/-/kv-watch") {
            return watch(lock, query(request.target, "pathPrefix"), std::atoll(query(request.target, "after").c_str()),
                         std::atoll(query(request.target, "waitMs").c_str()));
        }
        if (path == "/-/kv-txn") {
            return commit(body);
        }
        if (path == "/-/kv-lease") {
            const std::int64_t ttl = std::max<std::int64_t>(1'000, body.at("ttlMs").to_number<std::int64_t>());
            m_state.leases[++m_lastLease] = {ttl, nowMs() + ttl};
            return {200, {{"leaseId", m_lastLease}, {"ttlMs", ttl}}};
        }
        const std::int64_t id = std::atoll(path.c_str() + path.rfind('/') + 1);
        const auto lease = m_state.leases.find(id);
        if (path.rfind("/-/kv-keep/", 0) == 0 && lease != m_state.leases.end()) {
            lease->second.endsMs = nowMs() + lease->second.ttlMs;
            return {200, {{"ttlMs", lease->second.ttlMs}}};
        }
        if (path.rfind("/-/kv-lease-end/", 0) == 0 && lease != m_state.leases.end()) {
            endLease(id);
            return {200, {}};
        }
        return {404, {}};
    }
    void serve(Channel &channel)
    {
        while (std::optional<Message> request = readMessage(channel, Forever)) {
            const auto [status, body] = answer(*request);
            Lock lock(m_mutex);
            const std::string era = std::to_string(m_era);
            lock.unlock();
            if (!channel.send(responseText(status, {{"Content-Type", "application/json"}, {"Store-Era", era}}, json::serialize(body)))) {
                return;
            }
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    StoreState m_state, m_copy;
    std::int64_t m_lastLease = 0;
    std::int64_t m_era = 1;
    bool m_away = false;
};

// --- Upstreams of a plain service ---

/** Requests that began to run, over all upstreams. */
struct Runs
{
    std::mutex mutex;
    std::map<std::string, std::vector<std::string>> upstreamsById;
    std::map<std::string, std::string> bodies;

    void add(const std::string &id, const std::string &upstream, const std::string &body)
    {
        const Lock lock(mutex);
        upstreamsById[id].push_back(upstream);
        bodies[id] = body;
        record("%s runs %s", upstream.c_str(), id.c_str());
    }
    std::string body(const std::string &id)
    {
        const Lock lock(mutex);
        const auto found = bodies.find(id);
        return found == bodies.end() ? std::string() : found->second;
    }
    std::size_t count(const std::string &id)
    {
        const Lock lock(mutex);
        const auto found = upstreamsById.find(id);
        return found == upstreamsById.end() ? 0 : found->second.size();
    }
};

struct UpstreamOptions
{
    std::string service = "orders";
    int slots = 6;
    int queue = 4;
    std::int64_t workMs = 30;
    /** Share of the answers after which a second copy of the answer comes late, where the answer to the next request is due. */
    double extraShare = 0.0;
};

class Upstream
{
public:
    Upstream(Store &store, Runs &runs, std::string id, std::string zone, UpstreamOptions options)
        : m_store(store)
        , m_runs(runs)
        , m_id(std::move(id))
        , m_zone(std::move(zone))
        , m_options(std::move(options))
        , m_random(std::hash<std::string>()(m_id))
    {
        m_address = listenOn(0, [this](const ChannelPtr &channel) {
            serve(*channel);
        });
        std::thread([this]() {
            constexpr std::int64_t HeartbeatMs = 1'200;
            while (true) {
                publish();
                sleepMs(HeartbeatMs);
            }
        }).detach();
    }
    void publish()
    {
        m_store.put("servers/" + m_id,
                    json::serialize(json::object{{"service", m_options.service},
                                                 {"address", m_address},
                                                 {"zone", m_zone},
                                                 {"version", 1},
                                                 {"slots", m_options.slots},
                                                 {"state", "ready"},
                                                 {"coldLeftMs", 0},
                                                 {"seq", 0},
                                                 {"born", m_bornMs}}));
    }
    int extrasOfRefusals() const
    {
        return m_extrasOfRefusals;
    }

private:
    Fields answerFields(const Message &request)
    {
        return {{"Attempt-Id", request.field("Attempt-Id")},
                {"Server-Load", std::to_string(std::min(m_taken.load(), m_options.slots)) + "," + std::to_string(std::max(0, m_taken - m_options.slots)) + ","
                                    + std::to_string(m_options.slots)}};
    }
    /** Runs @p request or turns it away. Returns the answer. */
    std::string answer(const Message &request)
    {
        Fields fields = answerFields(request);
        if (!request.field("Expect-Instance").empty() && request.field("Expect-Instance") != m_id) {
            return responseText(421, fields, {});
        }
        if (request.target.rfind("/-/", 0) == 0) {
            fields.emplace_back("Instance-Id", m_id);
            return responseText(200, fields, json::serialize(json::object{{"busy", false}, {"seq", 0}, {"born", m_bornMs}}));
        }
        if (request.field("Attempt-Id").empty()) {
            fields.emplace_back("Not-Executed", "1");
            return responseText(400, fields, {});
        }
        if (++m_taken > m_options.slots + m_options.queue) {
            --m_taken;
            fields.emplace_back("Not-Executed", "1");
            return responseText(503, fields, {});
        }
        Lock lock(m_slotMutex);
        m_slotFree.wait(lock, [this]() {
            return m_running < m_options.slots;
        });
        ++m_running;
        lock.unlock();
        m_runs.add(request.field("Attempt-Id"), m_id, request.body);
        sleepMs(m_options.workMs);
        lock.lock();
        --m_running;
        --m_taken;
        m_slotFree.notify_one();
        lock.unlock();
        fields.emplace_back("Server-Stamp", "stamp." + m_id + "." + request.field("Attempt-Id"));
        return responseText(200, fields, "done " + request.field("Attempt-Id") + "\n");
    }
    void serve(Channel &channel)
    {
        std::string extra;
        while (std::optional<Message> request = readMessage(channel, Forever)) {
            if (!extra.empty()) {
                record("%s sends a second copy of an earlier answer before it runs %s", m_id.c_str(), request->field("Attempt-Id").c_str());
                if (!channel.send(std::exchange(extra, {}))) {
                    return;
                }
            }
            const std::string text = answer(*request);
            const bool isRefusal = text.find("Not-Executed") != std::string::npos;
            if (isRefusal) {
                record("%s turns %s away, not run", m_id.c_str(), request->field("Attempt-Id").c_str());
            }
            if (!channel.send(text)) {
                return;
            }
            const Lock lock(m_slotMutex);
            if (request->target.rfind("/-/", 0) != 0 && std::uniform_real_distribution<double>()(m_random) < m_options.extraShare) {
                extra = text;
                m_extrasOfRefusals += isRefusal ? 1 : 0;
            }
        }
    }

    Store &m_store;
    Runs &m_runs;
    std::string m_id, m_zone, m_address;
    UpstreamOptions m_options;
    const std::int64_t m_bornMs = unixMs();
    std::mutex m_slotMutex;
    std::condition_variable m_slotFree;
    int m_running = 0;
    std::atomic<int> m_taken{0};
    std::atomic<int> m_extrasOfRefusals{0};
    std::mt19937_64 m_random;
};

// --- The operator and the clients ---

json::object route(const char *name, const char *prefix, const char *type, std::int64_t timeoutMs)
{
    return {{"name", name}, {"host", "shop.example"}, {"pathPrefix", prefix}, {"routeType", type}, {"service", "orders"}, {"timeoutMs", timeoutMs},
            {"latencyTargetMs", 150}, {"priority", 1}, {"maxAttempts", 2}};
}

/** Returns a configuration in which @p keys are the keys of the tenants, in turn; a tenant may have none. */
std::string configText(std::int64_t version, const std::vector<json::object> &routes, const std::vector<std::vector<std::string>> &keys)
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
    std::string scenario;
    bool trouble = true;
    int storePort = 0;
    std::vector<std::string> entries, readiness;
    std::vector<pid_t> pids;
};

std::string requestText(const std::string &method, const std::string &target, const std::string &id, const std::string &key, std::int64_t deadlineMs, const std::string &body)
{
    return method + " " + target + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " + std::to_string(deadlineMs)
           + "\r\nAuthorization: Bearer " + key + "\r\n" + (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

/** Waits until every daemon reports that it is ready. */
bool waitUntilReady(const Options &options, std::int64_t withinMs)
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
int sendOnce(const std::string &entry, const std::string &text, std::int64_t waitMs)
{
    const ChannelPtr channel = connectTo(entry);
    if (channel == nullptr || !channel->send(text)) {
        return 0;
    }
    const std::optional<Message> reply = readMessage(*channel, nowMs() + waitMs);
    return reply ? reply->status : 0;
}

const char *CallerKey = "key-of-tenant-1";
const char *OtherKey = "key-of-tenant-2";

// --- Model engines that form groups ---

struct EngineOptions
{
    std::int64_t joinMs = 200, warmUpMs = 1'100, loadMs = 12'000, formMs = 300, stallMs = 6'000;
    std::int64_t eventMs = 30;
    int events = 32;
    int slots = 26;
    /** How long an engine serves on after the store has its report that it drains, and how long it is away then. */
    std::int64_t drainMs = 2'500, awayMs = 1'000;
};

class ModelEngine;

/** What the engines share: one lock, the fabric, and what was seen. */
struct Fabric
{
    std::mutex mutex;
    std::map<std::string, ModelEngine *> byId;
    bool hasTraffic = false;
    int nextId = 1;
    int takenElsewhere = 0;
    int begunIncomplete = 0;
    int extras = 0;
    int answers = 0;
    /** The next complete answer of a head is followed by a second copy, late, and one of the head's other members begins to drain. */
    bool isArmed = false;
};

/** One host, on which an engine is started again under another id whenever it has ended. All state is guarded by Fabric::mutex. */
class ModelEngine
{
public:
    ModelEngine(Store &store, Runs &runs, Fabric &fabric, std::string zone, std::string domain, EngineOptions options)
        : m_store(store)
        , m_runs(runs)
        , m_fabric(fabric)
        , m_zone(std::move(zone))
        , m_domain(std::move(domain))
        , m_options(options)
    {
        {
            const Lock lock(m_fabric.mutex);
            begin();
        }
        m_address = listenOn(0, [this](const ChannelPtr &channel) {
            serve(channel);
        });
        std::thread([this]() {
            constexpr std::int64_t HeartbeatMs = 1'200;
            constexpr std::int64_t PollMs = 10;
            for (std::int64_t publishedMs = 0;; sleepMs(PollMs)) {
                Lock lock(m_fabric.mutex);
                const std::int64_t now = nowMs();
                advance(now);
                const bool isDue = m_isAlive && (m_isChanged || now - publishedMs >= HeartbeatMs);
                const std::string id = m_id;
                const std::string text = isDue ? json::serialize(entry()) : std::string();
                const std::string gone = std::exchange(m_goneId, {});
                m_isChanged = m_isChanged && !isDue;
                lock.unlock();
                if (!gone.empty()) {
                    m_store.remove("servers/" + gone);
                }
                if (isDue) {
                    publishedMs = now;
                    m_store.put("servers/" + id, text);
                }
            }
        }).detach();
    }

private:
    enum class State { None, Joining, Ready, Open, Closing, Broken };

    const char *stateName() const
    {
        static const char *names[] = {"", "joining", "ready", "open", "closing", "broken"};
        return names[static_cast<int>(m_state)];
    }
    void begin()
    {
        m_id = "i-" + std::to_string(m_fabric.nextId++);
        m_fabric.byId[m_id] = this;
        m_bornMs = unixMs();
        m_isAlive = true;
        m_isChanged = true;
        m_drainsUntilMs = 0;
        m_fence = m_seq = m_maxEpoch = 0;
        m_warmModel.clear();
        forgetGroup();
    }
    void forgetGroup()
    {
        m_group.clear();
        m_epoch = 0;
        m_members.clear();
        m_rank = -1;
        m_state = State::None;
        m_dueMs = 0;
        m_opens = false;
        ++m_membership;
        m_isChanged = true;
    }
    /** Carries out what is due. */
    void advance(std::int64_t now)
    {
        if (!m_isAlive) {
            if (now >= m_awayUntilMs) {
                begin();
            }
            return;
        }
        if (m_stagesUntilMs != 0 && now >= m_stagesUntilMs) {
            m_staged = m_staging;
            m_stagesUntilMs = 0;
            m_isChanged = true;
        }
        if (m_dueMs != 0 && now >= m_dueMs) {
            m_dueMs = 0;
            if (m_state == State::Joining) {
                m_state = State::Ready;
                m_staged = m_warmModel = m_model;
                record("%s is ready in %s", m_id.c_str(), m_group.c_str());
            } else if (m_state == State::Ready && m_opens) {
                m_state = State::Open;
                record("%s opens %s", m_id.c_str(), m_group.c_str());
            }
            m_opens = false;
            m_isChanged = true;
        }
        if (m_state == State::Closing && m_running == 0) {
            m_state = State::Ready;
            m_isChanged = true;
            record("%s has closed %s", m_id.c_str(), m_group.c_str());
        }
        if (m_drainsUntilMs != 0 && now >= m_drainsUntilMs && !headHasWork()) {
            record("%s has left", m_id.c_str());
            m_isAlive = false;
            m_goneId = m_id;
            m_fabric.byId.erase(m_id);
            m_awayUntilMs = now + m_options.awayMs;
            forgetGroup();
            for (const std::weak_ptr<Channel> &open : m_channels) {
                if (const ChannelPtr channel = open.lock()) {
                    shutdown(channel->fd, SHUT_RDWR);
                }
            }
            m_channels.clear();
        }
    }
    ModelEngine *headOfGroup() const
    {
        if (m_members.empty()) {
            return nullptr;
        }
        const auto found = m_fabric.byId.find(m_members.front());
        const bool isIn = found != m_fabric.byId.end() && found->second->m_group == m_group && found->second->m_epoch == m_epoch;
        return isIn ? found->second : nullptr;
    }
    bool headHasWork() const
    {
        const ModelEngine *head = headOfGroup();
        return head != nullptr && head->m_running > 0;
    }
    bool isComplete() const
    {
        return std::all_of(m_members.begin(), m_members.end(), [this](const std::string &member) {
            const auto found = m_fabric.byId.find(member);
            return found != m_fabric.byId.end() && found->second->m_group == m_group && found->second->m_epoch == m_epoch && found->second->m_state != State::Joining;
        });
    }
    json::object entry() const
    {
        json::object object{{"service", "llm"}, {"address", m_address}, {"zone", m_zone}, {"version", "v1"}, {"slots", m_options.slots},
                            {"state", m_drainsUntilMs == 0 ? "ready" : "draining"}, {"coldLeftMs", 0}, {"phase", "mixed"}, {"seq", m_seq}, {"born", m_bornMs},
                            {"domain", m_domain}};
        json::array models;
        if (!m_warmModel.empty()) {
            models.push_back(json::object{{"name", m_warmModel}, {"version", 1}, {"loras", json::array()}});
        }
        object["modelList"] = std::move(models);
        object["staged"] = m_staged.empty() ? json::array() : json::array{json::string(m_staged)};
        if (!m_group.empty()) {
            object["group"] = json::object{{"name", m_group}, {"epoch", m_epoch}, {"rank", m_rank}, {"state", stateName()}};
        }
        return object;
    }
    std::int64_t loadMs() const
    {
        return m_fabric.hasTraffic ? m_options.loadMs : m_options.loadMs / 10;
    }

    int join(const json::object &order, const std::string &group, std::int64_t epoch)
    {
        std::vector<std::string> members;
        for (const json::value &member : order.at("members").as_array()) {
            members.emplace_back(member.as_string());
        }
        const bool isSame = group == m_group && epoch == m_epoch;
        if (epoch < m_maxEpoch || (isSame && members != m_members)) {
            return 412;
        }
        if (isSame) {
            return m_state == State::Joining ? 202 : 200;
        }
        const ModelEngine *head = headOfGroup();
        if (head != nullptr && (head->m_state == State::Open || head->m_state == State::Closing)) {
            ++m_fabric.takenElsewhere;
            record("TWO: %s takes a join of %s while %s, the head of its group %s, is %s with %d requests", m_id.c_str(), group.c_str(), head->m_id.c_str(),
                   m_group.c_str(), head->stateName(), head->m_running);
        }
        const std::string model(order.at("modelName").as_string());
        forgetGroup();
        m_model = model;
        m_group = group;
        m_epoch = m_maxEpoch = epoch;
        m_members = members;
        m_rank = static_cast<int>(std::find(members.begin(), members.end(), m_id) - members.begin());
        m_state = State::Joining;
        std::int64_t takesMs = m_options.warmUpMs;
        if (m_warmModel == model) {
            takesMs = m_options.joinMs;
        } else if (m_staged != model) {
            takesMs = loadMs();
        }
        m_dueMs = nowMs() + takesMs;
        ++m_seq;
        return 202;
    }
    int execute(const std::string &text)
    {
        boost::system::error_code ignored;
        const json::value parsed = json::parse(text, ignored);
        if (!parsed.is_object()) {
            return 400;
        }
        const json::object &order = parsed.as_object();
        const auto string = [&order](const char *name) {
            const json::value *value = order.if_contains(name);
            return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
        };
        const auto number = [&order](const char *name) {
            const json::value *value = order.if_contains(name);
            return value != nullptr && value->is_number() ? value->to_number<std::int64_t>() : 0;
        };
        if (number("fencingToken") < m_fence) {
            return 412;
        }
        m_fence = number("fencingToken");
        const std::string op = string("op");
        const std::string group = string("group");
        const std::int64_t epoch = number("epoch");
        int status = 400;
        if (op == "phase") {
            status = m_staged == string("modelName") ? 200 : 202;
            if (status == 202 && m_stagesUntilMs == 0) {
                m_staging = string("modelName");
                m_stagesUntilMs = nowMs() + loadMs();
                ++m_seq;
            }
        } else if (op == "join") {
            status = join(order, group, epoch);
        } else if (group != m_group || epoch != m_epoch || m_group.empty()) {
            status = 409;
        } else if (op == "leave") {
            forgetGroup();
            ++m_seq;
            status = 200;
        } else if (op == "open") {
            status = m_state == State::Open ? 200 : m_state == State::Ready && m_rank == 0 ? 202 : 409;
            if (status == 202 && !m_opens) {
                m_opens = true;
                m_dueMs = nowMs() + m_options.formMs;
                ++m_seq;
            }
        } else if (op == "close") {
            status = m_state == State::Ready ? 200 : m_state == State::Open || m_state == State::Closing ? 202 : 409;
            if (status == 202) {
                m_state = string("closeMode") == "preempt" ? State::Ready : State::Closing;
                m_membership += m_state == State::Ready ? 1 : 0;
                m_isChanged = true;
                ++m_seq;
            }
        }
        record("%s answers %d to %s %s", m_id.c_str(), status, op.c_str(), group.c_str());
        return status;
    }

    /** Sends the events of a stream. Returns false if it has to be cut off. */
    bool stream(Channel &channel, const Message &request, std::string &copy)
    {
        Lock lock(m_fabric.mutex);
        const std::uint64_t membership = m_membership;
        ++m_running;
        const auto end = [&](bool isWhole) {
            --m_running;
            return isWhole;
        };
        m_runs.add(request.field("Attempt-Id"), m_id, request.body);
        for (const std::string &member : m_members) {
            const auto found = m_fabric.byId.find(member);
            const bool isJoining = found != m_fabric.byId.end() && (found->second->m_group != m_group || found->second->m_state == State::Joining)
                                   && found->second->m_drainsUntilMs == 0;
            if (isJoining) {
                ++m_fabric.begunIncomplete;
                record("%s begins %s in %s while %s isn't in it", m_id.c_str(), request.field("Attempt-Id").c_str(), m_group.c_str(), member.c_str());
            }
        }
        copy = "HTTP/1.1 200 X\r\nAttempt-Id: " + request.field("Attempt-Id") + "\r\nServer-Stamp: stamp." + m_id + "." + request.field("Attempt-Id")
               + "\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
        lock.unlock();
        if (!channel.send(copy)) {
            lock.lock();
            return end(false);
        }
        const std::string last = request.field("Last-Event-Id");
        for (int event = last.empty() ? 0 : std::atoi(last.c_str()) + 1; event < m_options.events; ++event) {
            sleepMs(m_options.eventMs);
            lock.lock();
            for (const std::int64_t sinceMs = nowMs(); membership == m_membership && !isComplete();) {
                lock.unlock();
                sleepMs(20);
                lock.lock();
                if (nowMs() - sinceMs > m_options.stallMs && membership == m_membership) {
                    m_state = State::Broken;
                    m_isChanged = true;
                    return end(false);
                }
            }
            if (membership != m_membership || !m_isAlive) {
                return end(false);
            }
            lock.unlock();
            const std::string text = "id: " + std::to_string(event) + "\ndata: token\n\n";
            char size[32];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            const std::string chunk = size + text + "\r\n";
            copy += chunk;
            if (!channel.send(chunk)) {
                lock.lock();
                return end(false);
            }
        }
        copy += "0\r\n\r\n";
        const bool isSent = channel.send("0\r\n\r\n");
        lock.lock();
        return end(isSent);
    }
    void serve(const ChannelPtr &shared)
    {
        Channel &channel = *shared;
        {
            const Lock lock(m_fabric.mutex);
            if (!m_isAlive) {
                return;
            }
            m_channels.push_back(shared);
        }
        std::string extra;
        while (std::optional<Message> request = readMessage(channel, Forever)) {
            if (!extra.empty()) {
                record("%s sends a second copy of an earlier answer where that to %s %s is due", m_id.c_str(), request->method.c_str(),
                       request->target == "/-/order" ? request->body.c_str() : request->target.c_str());
                if (!channel.send(std::exchange(extra, {}))) {
                    return;
                }
            }
            Lock lock(m_fabric.mutex);
            if (!m_isAlive) {
                return;
            }
            Fields fields{{"Attempt-Id", request->field("Attempt-Id")}};
            if (fields.front().second.empty()) {
                fields.clear();
            }
            if (m_drainsUntilMs != 0) {
                fields.emplace_back("Server-Leaving", "1");
            }
            const std::string expected = request->field("Expect-Instance");
            std::string text;
            if (!expected.empty() && expected != m_id) {
                text = responseText(421, fields, {});
            } else if (request->target == "/-/report") {
                fields.emplace_back("Content-Type", "application/json");
                json::object report = entry();
                report["busy"] = m_dueMs != 0;
                report["pace"] = 1.0;
                text = responseText(200, fields, json::serialize(report));
            } else if (request->target == "/-/order") {
                text = responseText(execute(request->body), fields, {});
            } else if (m_rank > 0) {
                text = responseText(421, fields, {});
            } else if (m_state != State::Open || m_running >= m_options.slots) {
                fields.emplace_back("Not-Executed", "1");
                text = responseText(503, fields, {});
            }
            lock.unlock();
            if (!text.empty()) {
                if (!channel.send(text)) {
                    return;
                }
                continue;
            }
            std::string copy;
            const bool isWhole = stream(channel, *request, copy);
            if (!isWhole) {
                shutdown(channel.fd, SHUT_RDWR);
                return;
            }
            lock.lock();
            ++m_fabric.answers;
            if (m_fabric.isArmed && m_state == State::Open && m_members.size() > 1) {
                m_fabric.isArmed = false;
                drainMember();
                if (m_hasExtras) {
                    ++m_fabric.extras;
                    extra = copy;
                }
            }
            lock.unlock();
        }
    }
    /** The last member of this head's group begins to drain. */
    void drainMember()
    {
        const auto found = m_fabric.byId.find(m_members.back());
        if (found != m_fabric.byId.end()) {
            found->second->m_drainsUntilMs = nowMs() + m_options.drainMs;
            found->second->m_isChanged = true;
            record("%s, a member of %s, drains", found->first.c_str(), m_group.c_str());
        }
    }

public:
    bool m_hasExtras = false;

private:
    Store &m_store;
    Runs &m_runs;
    Fabric &m_fabric;
    std::string m_zone, m_domain, m_address, m_id, m_goneId;
    EngineOptions m_options;
    std::vector<std::weak_ptr<Channel>> m_channels;
    bool m_isAlive = false, m_isChanged = false, m_opens = false;
    std::int64_t m_bornMs = 0, m_drainsUntilMs = 0, m_awayUntilMs = 0, m_fence = 0, m_seq = 0, m_maxEpoch = 0;
    std::string m_staged, m_staging, m_warmModel;
    std::int64_t m_stagesUntilMs = 0;
    std::string m_group, m_model;
    std::int64_t m_epoch = 0;
    std::vector<std::string> m_members;
    int m_rank = -1;
    State m_state = State::None;
    std::int64_t m_dueMs = 0;
    /** Rises with each change of the membership and when running requests are cut off. */
    std::uint64_t m_membership = 0;
    int m_running = 0;
};

/** Returns a configuration with one streaming route to model engines, whose model "m" needs @p size engines. */
std::string modelConfigText(int size, const EngineOptions &options)
{
    const json::object stream{{"name", "order-answer"}, {"host", "shop.example"}, {"pathPrefix", "/answer/"}, {"routeType", "streaming"}, {"service", "llm"},
                              {"timeoutMs", 5'000}, {"latencyTargetMs", 400}, {"itlTargetMs", 300}, {"priority", 1}, {"maxAttempts", 2}, {"sticky", true},
                              {"resumable", true}};
    const json::object model{{"name", "m"}, {"size", size}, {"share", 1.0}, {"pace", 1.0}, {"loadS", static_cast<double>(options.loadMs) / 1000.0},
                             {"warmupS", static_cast<double>(options.warmUpMs) / 1000.0}};
    const json::object backend{{"slots", options.slots}, {"kvCapacity", 1'590'000}, {"stride", 1}, {"modelList", json::array{model}},
                               {"step_ms", static_cast<double>(options.eventMs)}, {"per_seq_ms", 0.0445}, {"context_per_k", 0.00813}, {"read_per_s", 50'700.0},
                               {"pairs_per_m", 0.368}, {"chunk", 2048}, {"report_lag_ms", 200.0}, {"loadsPerS", 4.5}, {"loads_at_once", 6},
                               {"usual", json::object{{"prompt", 100}, {"answer", 32}}}, {"keptModelCount", 1}, {"far_x", 4.0}, {"formMs", options.formMs}};
    const json::object service{{"name", "llm"}, {"healthPath", "/healthz"}, {"maxConns", 344}, {"coldStartS", 0.0}, {"coldPerS", 0.0}, {"backend", backend}};
    return json::serialize(json::object{{"version", 7}, {"routes", json::array{stream}}, {"services", json::array{service}},
                                        {"limits", json::object{{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}},
                                        {"tenants", json::array{json::object{{"name", "tenant-1"}, {"apiKeys", json::array{CallerKey}}}}}});
}

// --- Scenario: a late second copy of a refusal ---

int lateRefusal(const Options &options)
{
    constexpr std::int64_t RunMs = 15'000;
    constexpr int Clients = 42;
    // The bench's kinds of disturbance give share 0.6 of the upstreams and 0.03 of their answers; one upstream of three is under that share.
    constexpr double ExtraShare = 0.03;
    // Their threads run until the process ends.
    Store &store = *new Store(options.storePort);
    Runs &runs = *new Runs;
    std::vector<Upstream *> upstreams;
    for (int i = 1; i <= 3; ++i) {
        UpstreamOptions upstream;
        upstream.extraShare = options.trouble && i == 1 ? ExtraShare : 0.0;
        upstreams.push_back(new Upstream(store, runs, "orders-" + std::to_string(i), "zone-" + std::to_string(i), upstream));
    }
    store.put("op/config", configText(7, {route("print-commit", "/orders/", "non_idempotent", 1'500)}, {{CallerKey}, {OtherKey}}));
    if (!waitUntilReady(options, 20'000)) {
        return CannotRun;
    }
    std::mutex mutex;
    std::map<std::string, int> statuses;
    std::vector<std::thread> clients;
    const std::int64_t endMs = nowMs() + RunMs;
    for (int client = 0; client < Clients; ++client) {
        clients.emplace_back([&, client]() {
            ChannelPtr channel;
            for (int number = 1; nowMs() < endMs; ++number) {
                const std::string id = "c" + std::to_string(client) + "-" + std::to_string(number);
                const std::string &entry = options.entries[static_cast<std::size_t>(client) % options.entries.size()];
                channel = channel == nullptr ? connectTo(entry) : channel;
                int status = 0;
                const std::int64_t sentMs = nowMs() - StartMs;
                if (channel != nullptr && channel->send(requestText("POST", "/orders/print", id, CallerKey, 1'500, "print order " + id))) {
                    const std::optional<Message> reply = readMessage(*channel, nowMs() + 2'500);
                    status = reply ? reply->status : 0;
                    if (!reply || !reply->keepsOpen) {
                        channel.reset();
                    }
                } else {
                    channel.reset();
                }
                record("%s, sent at %lld: status %d", id.c_str(), static_cast<long long>(sentMs), status);
                {
                    const Lock lock(mutex);
                    statuses[id] = status;
                }
                sleepMs(status == 200 ? 20 : 120);
            }
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    sleepMs(2'000);
    int twice = 0;
    int deniedButRan = 0;
    std::map<int, int> counts;
    for (const auto &[id, status] : statuses) {
        ++counts[status];
        const std::size_t ran = runs.count(id);
        if (ran > 1) {
            ++twice;
            record("TWICE: %s ran %zu times and was answered %d", id.c_str(), ran, status);
        }
        if (ran > 0 && (status == 503 || status == 429 || status == 408 || status == 421)) {
            ++deniedButRan;
            record("REFUSED: %s was answered %d and ran", id.c_str(), status);
        }
    }
    for (const auto &[status, count] : counts) {
        record("answers with status %d: %d", status, count);
    }
    record("second copies of refusals sent late: %d", upstreams.front()->extrasOfRefusals());
    record("result: %d requests ran twice, %d were answered as not run and ran", twice, deniedButRan);
    if (counts[200] < 500) {
        return CannotRun;
    }
    return twice > 0 || deniedButRan > 0 ? Broken : Held;
}

// --- Scenario: a configuration after the store came back from a copy ---

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

// --- Scenario: a request inside the body of another one ---

int smuggledRequest(const Options &options)
{
    Store &store = *new Store(options.storePort);
    Runs &runs = *new Runs;
    for (int i = 1; i <= 3; ++i) {
        new Upstream(store, runs, "orders-" + std::to_string(i), "zone-" + std::to_string(i), UpstreamOptions());
    }
    store.put("op/config", configText(7, {route("print-commit", "/orders/", "non_idempotent", 1'500)}, {{CallerKey}, {OtherKey}}));
    if (!waitUntilReady(options, 20'000)) {
        return CannotRun;
    }
    int smuggled = 0;
    int changed = 0;
    int answered = 0;
    int number = 0;
    for (const char *coding : {"gzip", "identity", "xchunked", "chunked, identity"}) {
        for (const std::string &entry : options.entries) {
            ++number;
            const std::string outer = "outer-" + std::to_string(number);
            const std::string inner = "inner-" + std::to_string(number);
            // The text of the order holds what looks like a request of another tenant.
            const std::string body = requestText("POST", "/orders/print", inner, OtherKey, 1'500, "print order");
            const std::string framing = options.trouble ? std::string("Transfer-Encoding: ") + coding : "Content-Length: " + std::to_string(body.size());
            const ChannelPtr channel = connectTo(entry);
            if (channel == nullptr) {
                return CannotRun;
            }
            channel->send("POST /orders/print HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + outer + "\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer " + CallerKey + "\r\n"
                          + framing + "\r\n\r\n" + body);
            record("client sends %s with a body of %zu bytes and \"%s\"", outer.c_str(), body.size(), framing.c_str());
            while (std::optional<Message> reply = readMessage(*channel, nowMs() + 1'000)) {
                ++answered;
                record("client has status %d for %s", reply->status, reply->field("Attempt-Id").c_str());
            }
            if (runs.count(outer) > 0 && runs.body(outer) != body) {
                ++changed;
                record("UNASKED: %s ran with a body of %zu bytes", outer.c_str(), runs.body(outer).size());
            }
            if (runs.count(inner) > 0) {
                ++smuggled;
                record("UNASKED: %s, which no client sent, ran", inner.c_str());
            }
        }
    }
    record("result: %d requests inside the body of another one ran, %d requests ran with another body", smuggled, changed);
    if (answered == 0) {
        return CannotRun;
    }
    return smuggled + changed > 0 ? Broken : Held;
}

// --- Scenario: a late second copy of an answer where the answer to an order is due ---

int lateOrderAnswer(const Options &options)
{
    constexpr std::int64_t RunMs = 85'000;
    constexpr std::int64_t CycleMs = 5'000;
    constexpr int Clients = 10;
    constexpr int EnginesPerDomain = 8;
    Store &store = *new Store(options.storePort);
    Runs &runs = *new Runs;
    Fabric &fabric = *new Fabric;
    const EngineOptions engineOptions;
    for (int i = 0; i < 2 * EnginesPerDomain; ++i) {
        ModelEngine *engine = new ModelEngine(store, runs, fabric, "zone-1", "domain-" + std::to_string(i / EnginesPerDomain), engineOptions);
        engine->m_hasExtras = options.trouble;
    }
    store.put("op/config", modelConfigText(3, engineOptions));
    if (!waitUntilReady(options, 20'000)) {
        return CannotRun;
    }
    const std::int64_t servedUntilMs = nowMs() + 20'000;
    const std::string more = "Model: m\r\nToken-Usage: 100,32\r\nPrompt-Prefix: 1:90,2:10\r\n";
    const auto answerRequest = [&more](const std::string &id) {
        std::string text = requestText("POST", "/answer/x", id, CallerKey, 5'000, "question " + id);
        return text.insert(text.find("Content-Length"), more);
    };
    for (int number = 1; sendOnce(options.entries.front(), answerRequest("first-" + std::to_string(number)), 5'500) != 200; ++number) {
        if (nowMs() > servedUntilMs) {
            record("no group serves");
            return CannotRun;
        }
        sleepMs(200);
    }
    {
        const Lock lock(fabric.mutex);
        fabric.hasTraffic = true;
    }
    const std::string leader = store.value("knapweedslip/leader");
    const std::size_t leaderIndex = static_cast<std::size_t>(std::max(0, std::atoi(leader.c_str() + leader.find('-') + 1) - 1)) % options.entries.size();
    record("leader: %s", leader.c_str());
    const std::int64_t endMs = nowMs() + RunMs;
    std::mutex mutex;
    std::map<int, int> statuses;
    std::vector<std::thread> clients;
    for (int client = 0; client < Clients; ++client) {
        clients.emplace_back([&, client]() {
            // The balancer's share of clients for each daemon is uneven.
            const std::string &entry = options.entries[client < 8 ? leaderIndex : (leaderIndex + 1 + static_cast<std::size_t>(client) % 2) % options.entries.size()];
            std::mt19937_64 random(static_cast<std::uint64_t>(client));
            for (int number = 1; nowMs() < endMs; ++number) {
                const std::string id = "c" + std::to_string(client) + "-" + std::to_string(number);
                const int status = sendOnce(entry, answerRequest(id), 5'500);
                record("%s: status %d", id.c_str(), status);
                {
                    const Lock lock(mutex);
                    ++statuses[status];
                }
                sleepMs(static_cast<std::int64_t>(random() % 500));
            }
        });
    }
    int answersAtExtra = 0;
    while (nowMs() < endMs - CycleMs) {
        sleepMs(CycleMs);
        const Lock lock(fabric.mutex);
        // Three second copies for each hundred answers at most.
        constexpr int AnswersPerExtra = 34;
        if (fabric.answers - answersAtExtra >= AnswersPerExtra) {
            answersAtExtra = fabric.answers;
            fabric.isArmed = true;
        }
    }
    for (std::thread &client : clients) {
        client.join();
    }
    const Lock lock(fabric.mutex);
    for (const auto &[status, count] : statuses) {
        record("answers with status %d: %d", status, count);
    }
    record("second copies of answers: %d, answers of engines: %d", fabric.extras, fabric.answers);
    record("result: %d engines took a join of another group while the head of theirs was open or closing; %d requests began in a group without a member",
           fabric.takenElsewhere, fabric.begunIncomplete);
    if (statuses[200] < 100) {
        return CannotRun;
    }
    return fabric.takenElsewhere > 0 ? Broken : Held;
}

// --- Entry point ---

void printFreePorts(int count)
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

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    for (std::size_t start = 0; start < text.size();) {
        const std::size_t end = std::min(text.find(',', start), text.size());
        parts.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}
}

int main(int argc, char **argv)
{
    if (argc == 3 && std::string(argv[1]) == "ports") {
        printFreePorts(std::atoi(argv[2]));
        return 0;
    }
    if (argc != 8) {
        std::fprintf(stderr, "usage: scenario ports COUNT | scenario NAME TROUBLE STORE-PORT ENTRIES READINESS PIDS RECORD\n");
        return CannotRun;
    }
    signal(SIGPIPE, SIG_IGN);
    Options options;
    options.scenario = argv[1];
    options.trouble = std::string(argv[2]) != "0";
    options.storePort = std::atoi(argv[3]);
    options.entries = split(argv[4]);
    options.readiness = split(argv[5]);
    for (const std::string &pid : split(argv[6])) {
        options.pids.push_back(std::atoi(pid.c_str()));
    }
    recordFile = std::fopen(argv[7], "w");
    if (recordFile == nullptr) {
        return CannotRun;
    }
    const std::map<std::string, int (*)(const Options &)> scenarios{{"late-refusal", lateRefusal}, {"store-drill", storeDrill}, {"smuggled-request", smuggledRequest}, {"late-order-answer", lateOrderAnswer}};
    const auto found = scenarios.find(options.scenario);
    const int status = found == scenarios.end() ? CannotRun : found->second(options);
    record("exit status %d", status);
    std::fflush(nullptr);
    std::_Exit(status);
}
