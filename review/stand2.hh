// Stand-ins of the platform for the cases of the second review: the store, model engines with groups of any size, servers of a plain service, and
// clients. Each follows PROTOCOL.md; a case adds the disruption. One thread serves each connection.
#pragma once

#include <boost/json/src.hpp>

#include <arpa/inet.h>
#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace json = boost::json;

/** Milliseconds of the steady clock since the start of the case. */
inline std::int64_t nowMs()
{
    static const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start).count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/** The record of a case: one line for what was sent, answered and run. */
class Record
{
public:
    void open(const std::string &path)
    {
        m_file.open(path);
    }
    void line(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%8.3f s  ", static_cast<double>(nowMs()) / 1000.0);
        m_file << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline Record &record()
{
    static Record instance;
    return instance;
}

// ---- HTTP ----

using Fields = std::vector<std::pair<std::string, std::string>>;

inline bool sameName(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && strcasecmp(a.c_str(), b.c_str()) == 0;
}

inline std::string field(const Fields &fields, const std::string &name)
{
    for (const std::pair<std::string, std::string> &entry : fields) {
        if (sameName(entry.first, name)) {
            return entry.second;
        }
    }
    return {};
}

struct Message
{
    /** Of a request: method and target. Of an answer: the status. */
    std::string m_method;
    std::string m_target;
    int m_status = 0;
    Fields m_fields;
    std::string m_body;
};

/** A connected socket with a read buffer. */
class Channel
{
public:
    explicit Channel(int fd)
        : m_fd(fd)
    {
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    ~Channel()
    {
        close();
    }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    void close()
    {
        const int fd = m_fd.exchange(-1);
        if (fd >= 0) {
            ::close(fd);
        }
    }
    /** Closes the connection with a reset. */
    void reset()
    {
        const linger none{1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
        close();
    }
    /** Makes a blocked read return, from another thread. */
    void interrupt()
    {
        ::shutdown(m_fd, SHUT_RDWR);
    }
    bool write(const std::string &text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t size = ::send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (size <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }
    /** Reads more bytes; false at the end, on an error, or after @p timeoutMs (-1: no limit). */
    bool fill(std::int64_t timeoutMs = -1)
    {
        pollfd poller{m_fd, POLLIN, 0};
        const int ready = ::poll(&poller, 1, static_cast<int>(timeoutMs));
        if (ready <= 0) {
            m_timedOut = ready == 0;
            return false;
        }
        char bytes[16384];
        const ssize_t size = ::recv(m_fd, bytes, sizeof bytes, 0);
        if (size <= 0) {
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }
    /** Reads up to @p end, which is left out. */
    bool readUntil(const std::string &end, std::string &text, std::int64_t timeoutMs = -1)
    {
        std::size_t found = 0;
        while ((found = m_buffer.find(end)) == std::string::npos) {
            if (!fill(timeoutMs)) {
                return false;
            }
        }
        text = m_buffer.substr(0, found);
        m_buffer.erase(0, found + end.size());
        return true;
    }
    bool readBytes(std::size_t size, std::string &text, std::int64_t timeoutMs = -1)
    {
        while (m_buffer.size() < size) {
            if (!fill(timeoutMs)) {
                return false;
            }
        }
        text += m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }
    /** Reads the head of a message, without its first line. */
    bool readHead(std::string &first, Fields &fields, std::int64_t timeoutMs = -1)
    {
        std::string head;
        if (!readUntil("\r\n\r\n", head, timeoutMs)) {
            return false;
        }
        std::size_t at = head.find("\r\n");
        first = head.substr(0, at);
        while (at != std::string::npos) {
            const std::size_t begin = at + 2;
            at = head.find("\r\n", begin);
            const std::string line = head.substr(begin, at == std::string::npos ? at : at - begin);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                const std::size_t value = line.find_first_not_of(" \t", colon + 1);
                fields.emplace_back(line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
            }
        }
        return true;
    }
    bool readBody(const Fields &fields, std::string &body, std::int64_t timeoutMs = -1)
    {
        if (strcasecmp(field(fields, "Transfer-Encoding").c_str(), "chunked") == 0) {
            while (true) {
                std::string size;
                if (!readUntil("\r\n", size, timeoutMs)) {
                    return false;
                }
                const std::size_t length = std::strtoul(size.c_str(), nullptr, 16);
                std::string end;
                if (!readBytes(length, body, timeoutMs) || !readBytes(2, end, timeoutMs)) {
                    return false;
                }
                if (length == 0) {
                    return true;
                }
            }
        }
        const std::string length = field(fields, "Content-Length");
        return length.empty() || readBytes(std::strtoul(length.c_str(), nullptr, 10), body, timeoutMs);
    }
    bool readRequest(Message &request)
    {
        std::string first;
        if (!readHead(first, request.m_fields)) {
            return false;
        }
        const std::size_t one = first.find(' ');
        const std::size_t two = first.find(' ', one + 1);
        request.m_method = first.substr(0, one);
        request.m_target = first.substr(one + 1, two - one - 1);
        return readBody(request.m_fields, request.m_body);
    }
    /** Reads an answer as a client does; the body of an answer to HEAD is empty. */
    bool readAnswer(const std::string &method, Message &answer, std::int64_t timeoutMs)
    {
        std::string first;
        if (!readHead(first, answer.m_fields, timeoutMs)) {
            return false;
        }
        m_firstLine = first;
        if (first.compare(0, 9, "HTTP/1.1 ") != 0) {
            return false;
        }
        answer.m_status = std::atoi(first.c_str() + 9);
        return method == "HEAD" || readBody(answer.m_fields, answer.m_body, timeoutMs);
    }

    std::atomic<int> m_fd;
    std::string m_buffer;
    std::string m_firstLine;
    bool m_timedOut = false;
    /** The last answer that was sent here, as it was sent. */
    std::string m_lastAnswer;
};

using ChannelPtr = std::shared_ptr<Channel>;

inline std::string statusText(int status)
{
    switch (status) {
    case 200:
        return "200 OK";
    case 202:
        return "202 Accepted";
    case 404:
        return "404 Not Found";
    case 409:
        return "409 Conflict";
    case 410:
        return "410 Gone";
    case 412:
        return "412 Precondition Failed";
    case 421:
        return "421 Misdirected Request";
    default:
        return std::to_string(status) + " Status";
    }
}

inline std::string answerText(int status, const Fields &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + statusText(status) + "\r\n";
    for (const std::pair<std::string, std::string> &entry : fields) {
        text += entry.first + ": " + entry.second + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline sockaddr_in endpoint(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline ChannelPtr connectTo(const std::string &ip, int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = endpoint(ip, port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_shared<Channel>(fd);
}

/** Listens, and serves each connection on a thread of its own until it ends. */
class Listener
{
public:
    using Serve = std::function<void(ChannelPtr)>;

    bool start(const std::string &ip, int port, Serve serve)
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        const sockaddr_in address = endpoint(ip, port);
        if (::bind(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || ::listen(m_fd, 512) != 0) {
            return false;
        }
        std::thread([this, serve]() {
            while (true) {
                const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    return;
                }
                const ChannelPtr channel = std::make_shared<Channel>(fd);
                {
                    const std::lock_guard<std::mutex> lock(m_mutex);
                    m_channels.insert(channel);
                }
                std::thread([this, serve, channel]() {
                    serve(channel);
                    channel->close();
                    const std::lock_guard<std::mutex> lock(m_mutex);
                    m_channels.erase(channel);
                }).detach();
            }
        }).detach();
        return true;
    }
    /** Stops listening and resets all connections, as the end of a process does. */
    void end()
    {
        ::shutdown(m_fd, SHUT_RDWR);
        ::close(m_fd);
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const ChannelPtr &channel : m_channels) {
            channel->interrupt();
        }
    }

private:
    int m_fd = -1;
    std::mutex m_mutex;
    std::set<ChannelPtr> m_channels;
};

// ---- JSON ----

inline json::object parseObject(const std::string &text)
{
    boost::system::error_code error;
    const json::value value = json::parse(text, error);
    return error || !value.is_object() ? json::object() : value.as_object();
}

inline std::string textOf(const json::object &object, const char *key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

inline std::int64_t numberOf(const json::object &object, const char *key, std::int64_t fallback = 0)
{
    const json::value *value = object.if_contains(key);
    boost::system::error_code error;
    return value != nullptr && value->is_number() ? value->to_number<std::int64_t>(error) : fallback;
}

inline const json::array &listOf(const json::object &object, const char *key)
{
    static const json::array none;
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_array() ? value->as_array() : none;
}

inline std::string toBase64(const std::string &bytes)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = static_cast<unsigned char>(bytes[i]) << 16U;
        group |= i + 1 < bytes.size() ? static_cast<unsigned char>(bytes[i + 1]) << 8U : 0U;
        group |= i + 2 < bytes.size() ? static_cast<unsigned char>(bytes[i + 2]) : 0U;
        text += digits[group >> 18U & 63U];
        text += digits[group >> 12U & 63U];
        text += i + 1 < bytes.size() ? digits[group >> 6U & 63U] : '=';
        text += i + 2 < bytes.size() ? digits[group & 63U] : '=';
    }
    return text;
}

inline std::string fromBase64(const std::string &text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        const int digit = c >= 'A' && c <= 'Z' ? c - 'A' : c >= 'a' && c <= 'z' ? c - 'a' + 26 : c >= '0' && c <= '9' ? c - '0' + 52 : c == '+' ? 62 : c == '/' ? 63 : -1;
        if (digit < 0) {
            continue;
        }
        group = group << 6U | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return bytes;
}

inline std::string queryOf(const std::string &target, const std::string &name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (pair.compare(0, name.size() + 1, name + "=") == 0) {
            std::string value;
            for (std::size_t i = name.size() + 1; i < pair.size(); ++i) {
                if (pair[i] == '%' && i + 2 < pair.size()) {
                    value += static_cast<char>(std::strtol(pair.substr(i + 1, 2).c_str(), nullptr, 16));
                    i += 2;
                } else {
                    value += pair[i];
                }
            }
            return value;
        }
        at = end;
    }
    return {};
}

inline std::string pathOf(const std::string &target)
{
    return target.substr(0, target.find('?'));
}

// ---- the platform's store ----

class Store
{
public:
    struct Item
    {
        std::string m_key;
        std::string m_value;
        std::uint64_t m_revision = 0;
        std::uint64_t m_created = 0;
        std::uint64_t m_lease = 0;
        bool m_deleted = false;
    };
    struct Lease
    {
        std::int64_t m_ttlMs = 0;
        std::int64_t m_endsMs = 0;
    };

    bool start(const std::string &ip, int port)
    {
        std::thread([this]() {
            while (true) {
                sleepMs(20);
                expire();
            }
        }).detach();
        return m_listener.start(ip, port, [this](const ChannelPtr &channel) {
            serve(*channel);
        });
    }
    /** Writes a key as the operator and the servers do; returns when the store has accepted it. */
    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_revision;
        apply(key, value, 0, false);
        m_changed.notify_all();
    }
    void remove(const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_items.count(key) > 0) {
            ++m_revision;
            apply(key, {}, 0, true);
            m_changed.notify_all();
        }
    }
    std::string value(const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = m_items.find(key);
        return found == m_items.end() ? std::string() : found->second.m_value;
    }
    /** Remembers the state, for a later return from this copy. */
    void takeCopy()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_copyItems = m_items;
        m_copyRevision = m_revision;
        m_copyLeases = m_leases;
        m_copyNextLease = m_nextLease;
    }
    /** The store is away: it refuses every call with 503, which says that nothing was done. */
    void setAway(bool away)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_away = away;
        m_changed.notify_all();
    }
    bool isAway()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_away;
    }
    /** The store comes back from its copy. */
    void restoreCopy()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_items = m_copyItems;
        m_revision = m_copyRevision;
        m_leases = m_copyLeases;
        m_nextLease = m_copyNextLease;
        for (std::pair<const std::uint64_t, Lease> &lease : m_leases) {
            lease.second.m_endsMs = nowMs() + lease.second.m_ttlMs;
        }
        m_history.clear();
        m_historyAfter = m_revision;
        ++m_era;
        m_away = false;
        m_changed.notify_all();
    }

private:
    void apply(const std::string &key, const std::string &value, std::uint64_t lease, bool deleted)
    {
        Item item{key, value, m_revision, m_revision, lease, deleted};
        const auto found = m_items.find(key);
        if (found != m_items.end()) {
            item.m_created = found->second.m_created;
        }
        if (deleted) {
            m_items.erase(key);
        } else {
            m_items[key] = item;
        }
        m_history.push_back(item);
    }
    static json::object toJson(const Item &item)
    {
        if (item.m_deleted) {
            return {{"key", item.m_key}, {"revision", item.m_revision}, {"deleted", true}};
        }
        return {{"key", item.m_key},
                {"value", toBase64(item.m_value)},
                {"revision", item.m_revision},
                {"created", item.m_created},
                {"leaseId", item.m_lease}};
    }
    void endLease(std::uint64_t id)
    {
        m_leases.erase(id);
        std::vector<std::string> keys;
        for (const std::pair<const std::string, Item> &entry : m_items) {
            if (entry.second.m_lease == id) {
                keys.push_back(entry.first);
            }
        }
        for (const std::string &key : keys) {
            ++m_revision;
            apply(key, {}, 0, true);
        }
        m_changed.notify_all();
    }
    void expire()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_away) {
            return;
        }
        std::vector<std::uint64_t> ended;
        for (const std::pair<const std::uint64_t, Lease> &lease : m_leases) {
            if (lease.second.m_endsMs <= nowMs()) {
                ended.push_back(lease.first);
            }
        }
        for (const std::uint64_t id : ended) {
            endLease(id);
        }
    }
    static bool begins(const std::string &text, const std::string &prefix)
    {
        return text.compare(0, prefix.size(), prefix) == 0;
    }
    std::pair<int, std::string> range(const std::string &target)
    {
        constexpr std::size_t PageItems = 500;
        const std::string prefix = queryOf(target, "pathPrefix");
        const std::string after = queryOf(target, "after");
        json::array entries;
        bool more = false;
        for (const std::pair<const std::string, Item> &entry : m_items) {
            if (!begins(entry.first, prefix) || (!after.empty() && entry.first <= after)) {
                continue;
            }
            if (entries.size() == PageItems) {
                more = true;
                break;
            }
            entries.push_back(toJson(entry.second));
        }
        return {200, json::serialize(json::object{{"entries", std::move(entries)}, {"hasMore", more}, {"at", m_revision}})};
    }
    std::pair<int, std::string> watch(const std::string &target, std::unique_lock<std::mutex> &lock)
    {
        const std::string prefix = queryOf(target, "pathPrefix");
        const std::uint64_t after = std::strtoull(queryOf(target, "after").c_str(), nullptr, 10);
        const std::int64_t untilMs = nowMs() + std::atoll(queryOf(target, "waitMs").c_str());
        const std::uint64_t era = m_era;
        while (true) {
            if (m_away || m_era != era) {
                return {503, "{}"};
            }
            if (after > m_revision || after < m_historyAfter) {
                return {410, "{}"};
            }
            json::array events;
            for (const Item &item : m_history) {
                if (item.m_revision > after && begins(item.m_key, prefix)) {
                    events.push_back(toJson(item));
                }
            }
            if (!events.empty() || nowMs() >= untilMs) {
                return {200, json::serialize(json::object{{"events", std::move(events)}, {"at", m_revision}})};
            }
            m_changed.wait_for(lock, std::chrono::milliseconds(std::max<std::int64_t>(1, untilMs - nowMs())));
        }
    }
    std::pair<int, std::string> commit(const std::string &body)
    {
        const json::object object = parseObject(body);
        json::array current;
        bool holds = true;
        for (const json::value &row : listOf(object, "precondition")) {
            const std::string key = textOf(row.as_object(), "key");
            const auto found = m_items.find(key);
            const std::uint64_t revision = found == m_items.end() ? 0 : found->second.m_revision;
            holds = holds && revision == static_cast<std::uint64_t>(numberOf(row.as_object(), "revision"));
            if (found != m_items.end()) {
                current.push_back(toJson(found->second));
            }
        }
        if (!holds) {
            return {412, json::serialize(json::object{{"entries", std::move(current)}})};
        }
        for (const json::value &row : listOf(object, "write")) {
            const std::uint64_t lease = static_cast<std::uint64_t>(numberOf(row.as_object(), "leaseId"));
            if (lease != 0 && m_leases.count(lease) == 0) {
                return {404, "{}"};
            }
        }
        ++m_revision;
        for (const json::value &row : listOf(object, "write")) {
            apply(textOf(row.as_object(), "key"),
                  fromBase64(textOf(row.as_object(), "value")),
                  static_cast<std::uint64_t>(numberOf(row.as_object(), "leaseId")),
                  false);
        }
        for (const json::value &key : listOf(object, "delete")) {
            apply(std::string(key.as_string()), {}, 0, true);
        }
        m_changed.notify_all();
        return {200, json::serialize(json::object{{"revision", m_revision}})};
    }
    std::pair<int, std::string> answer(const Message &request)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        const std::string path = pathOf(request.m_target);
        if (m_away) {
            return {503, "{}"};
        }
        if (path == "/-/kv-range") {
            return range(request.m_target);
        }
        if (path == "/-/kv-watch") {
            return watch(request.m_target, lock);
        }
        if (path == "/-/kv-txn") {
            return commit(request.m_body);
        }
        if (path == "/-/kv-key") {
            const auto found = m_items.find(queryOf(request.m_target, "key"));
            return found == m_items.end() ? std::pair<int, std::string>(404, "{}") : std::pair<int, std::string>(200, json::serialize(toJson(found->second)));
        }
        if (path == "/-/kv-lease") {
            const std::int64_t ttlMs = numberOf(parseObject(request.m_body), "ttlMs");
            const std::uint64_t id = m_nextLease++;
            m_leases[id] = {ttlMs, nowMs() + ttlMs};
            return {200, json::serialize(json::object{{"leaseId", id}, {"ttlMs", ttlMs}})};
        }
        const std::uint64_t id = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        const auto lease = m_leases.find(id);
        if (begins(path, "/-/kv-keep/")) {
            if (lease == m_leases.end()) {
                return {404, "{}"};
            }
            lease->second.m_endsMs = nowMs() + lease->second.m_ttlMs;
            return {200, json::serialize(json::object{{"ttlMs", lease->second.m_ttlMs}})};
        }
        if (begins(path, "/-/kv-lease-end/")) {
            endLease(id);
            return {200, "{}"};
        }
        return {404, "{}"};
    }
    void serve(Channel &channel)
    {
        while (true) {
            Message request;
            if (!channel.readRequest(request)) {
                return;
            }
            sleepMs(m_delayMs);
            const std::pair<int, std::string> reply = answer(request);
            std::uint64_t era = 0;
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                era = m_era;
            }
            if (!channel.write(answerText(reply.first, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era)}}, reply.second))) {
                return;
            }
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::vector<Item> m_history;
    std::uint64_t m_historyAfter = 0;
    std::uint64_t m_revision = 1;
    std::map<std::uint64_t, Lease> m_leases;
    std::uint64_t m_nextLease = 1;
    std::uint64_t m_era = 1;
    bool m_away = false;
    /** Each call takes this long (system page: 4 ms an answer). */
    std::int64_t m_delayMs = 4;
    std::map<std::string, Item> m_copyItems;
    std::uint64_t m_copyRevision = 0;
    std::map<std::uint64_t, Lease> m_copyLeases;
    std::uint64_t m_copyNextLease = 1;
    Listener m_listener;
};

// ---- servers ----

/** Figures of a deployment, from the sheets of SYSTEM.md. */
struct Figures
{
    std::int64_t m_heartbeatMs = 1'200;
    std::int64_t m_loadMs = 16'000;
    std::int64_t m_warmUpMs = 1'600;
    std::int64_t m_warmJoinMs = 200;
    std::int64_t m_formMs = 300;
    int m_groupSize = 4;
    int m_events = 25;
    std::int64_t m_eventMs = 45;
    std::int64_t m_prefillMs = 60;
    /** For so long a group stands still that has lost a member, before it is broken. */
    std::int64_t m_stallMs = 6'000;
};

class Engine;

/** All engines of a deployment by id, so that a head can tell which members were ever ready. */
struct Engines
{
    std::mutex m_mutex;
    std::map<std::string, Engine *> m_byId;
    /** A client has sent a request: before, loads take a tenth of the time. */
    std::atomic<bool> m_serving{false};
};

/** A model engine: orders, groups, reports and streams as PROTOCOL.md tells them. */
class Engine
{
public:
    /** Called before an answer to a client's request, an order or a report is sent; sends it, and what comes with it. */
    using Answer = std::function<void(Engine &, Channel &, const Message &, const std::string &)>;
    /** Called when a request begins to run, with the state of its group. */
    using Begin = std::function<void(Engine &, const Message &, const std::string &group, std::uint64_t epoch, const std::vector<std::string> &members)>;

    Engine(Store &store, Engines &engines, Figures figures, std::string id, std::string ip, int port, std::string zone, std::string domain)
        : m_store(store)
        , m_engines(engines)
        , m_figures(figures)
        , m_id(std::move(id))
        , m_ip(std::move(ip))
        , m_port(port)
        , m_zone(std::move(zone))
        , m_domain(std::move(domain))
        , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    {
    }
    bool start()
    {
        {
            const std::lock_guard<std::mutex> lock(m_engines.m_mutex);
            m_engines.m_byId[m_id] = this;
        }
        if (!m_listener.start(m_ip, m_port, [this](const ChannelPtr &channel) {
                serve(*channel);
            })) {
            return false;
        }
        publish();
        std::thread([this]() {
            std::int64_t beatMs = nowMs();
            while (m_alive) {
                sleepMs(5);
                bool changed = checkMembers();
                changed = advance() || changed;
                if (nowMs() - beatMs >= m_figures.m_heartbeatMs) {
                    beatMs = nowMs();
                    changed = true;
                }
                if (changed && m_alive) {
                    publish();
                }
            }
            // The list drops the entry after three reports have been missed.
            sleepMs(3 * m_figures.m_heartbeatMs);
            m_store.remove("servers/" + m_id);
        }).detach();
        return true;
    }
    /** Ends as a process does that crashes: its connections break, nothing listens, and nothing is written to the store any more. */
    void crash()
    {
        m_alive = false;
        m_listener.end();
    }
    /** The model whose weights are on the host, which it keeps across restarts. */
    void setStaged(const std::string &model)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_staged = model;
    }
    const std::string &id() const
    {
        return m_id;
    }
    /** Returns whether this engine was ever ready in the group with this name, epoch and list. */
    bool wasReady(const std::string &group, std::uint64_t epoch, const std::vector<std::string> &members)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        advanceLocked();
        return m_wasReady.count(key(group, epoch, members)) > 0;
    }
    /** Returns whether this engine is alive and in the group. */
    bool isIn(const std::string &group, std::uint64_t epoch)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_alive && m_group == group && m_epoch == epoch;
    }
    std::string describe()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        advanceLocked();
        return m_id + " is " + (m_group.empty() ? "in no group" : m_state + " in " + m_group);
    }

    Answer m_answer;
    Begin m_begin;
    /** Answers given to orders and requests for reports, and to all requests. */
    std::atomic<int> m_controlAnswers{0};
    std::atomic<int> m_answers{0};

private:
    static std::string key(const std::string &group, std::uint64_t epoch, const std::vector<std::string> &members)
    {
        std::string text = group + "/" + std::to_string(epoch);
        for (const std::string &member : members) {
            text += "," + member;
        }
        return text;
    }
    /** Returns whether a member that was ready in this engine's group has died, left or joined another group. */
    bool hasLostMember()
    {
        std::string group;
        std::uint64_t epoch = 0;
        std::vector<std::string> members;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            group = m_group;
            epoch = m_epoch;
            members = m_members;
        }
        for (const std::string &member : members) {
            Engine *engine = nullptr;
            {
                const std::lock_guard<std::mutex> lock(m_engines.m_mutex);
                const auto found = m_engines.m_byId.find(member);
                engine = found == m_engines.m_byId.end() ? nullptr : found->second;
            }
            if (engine != nullptr && engine->wasReady(group, epoch, members) && !engine->isIn(group, epoch)) {
                return true;
            }
        }
        return false;
    }
    /** A head whose group has stood still for too long is broken. */
    bool checkMembers()
    {
        const bool isLost = hasLostMember();
        const std::lock_guard<std::mutex> lock(m_mutex);
        const bool mayBreak = isLost && m_rank == 0 && (m_state == "open" || m_state == "closing");
        m_lostSinceMs = !mayBreak ? -1 : m_lostSinceMs < 0 ? nowMs() : m_lostSinceMs;
        if (mayBreak && nowMs() - m_lostSinceMs >= m_figures.m_stallMs) {
            m_state = "broken";
            return true;
        }
        return false;
    }
    bool advance()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return advanceLocked();
    }
    /** Carries out what is due; returns whether the entry changes. */
    bool advanceLocked()
    {
        bool changed = false;
        const std::int64_t now = nowMs();
        if (!m_staging.empty() && now >= m_stagedAtMs) {
            m_staged = m_staging;
            m_staging.clear();
            changed = true;
        }
        if (m_state == "joining" && now >= m_readyAtMs) {
            if (m_joinLoads) {
                m_staged = m_model;
            }
            m_state = "ready";
            m_lastModel = m_model;
            m_wasReady.insert(key(m_group, m_epoch, m_members));
            changed = true;
        }
        if (m_state == "ready" && m_openAtMs >= 0 && now >= m_openAtMs) {
            m_openAtMs = -1;
            m_state = "open";
            changed = true;
        }
        if (m_state == "closing" && m_running == 0) {
            m_state = "ready";
            changed = true;
        }
        return changed;
    }
    std::string stateText(std::int64_t seq)
    {
        json::object object{{"service", "llm"},
                            {"address", m_ip + ":" + std::to_string(m_port)},
                            {"zone", m_zone},
                            {"version", "v1"},
                            {"slots", 26},
                            {"state", "ready"},
                            {"coldLeftMs", 0},
                            {"phase", "mixed"},
                            {"busy", false},
                            {"born", m_born},
                            {"domain", m_domain},
                            {"queued", 0},
                            {"active", m_running.load()},
                            {"kvInUse", 0},
                            {"kvSize", 1590000},
                            {"sessions", 0},
                            {"pace", 1.0},
                            {"seq", seq}};
        json::array models;
        if (!m_lastModel.empty()) {
            models.push_back(json::object{{"name", m_lastModel}, {"version", 1}, {"loras", json::array()}});
        }
        object["modelList"] = std::move(models);
        json::array staged;
        if (!m_staged.empty()) {
            staged.emplace_back(m_staged);
        }
        object["staged"] = std::move(staged);
        if (!m_group.empty()) {
            object["group"] = json::object{{"name", m_group}, {"epoch", m_epoch}, {"rank", m_rank}, {"state", m_state}};
        }
        return json::serialize(object);
    }
    void publish()
    {
        std::string text;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            text = stateText(++m_writes);
        }
        m_store.put("servers/" + m_id, text);
    }
    std::int64_t loadMs() const
    {
        return m_engines.m_serving ? m_figures.m_loadMs : m_figures.m_loadMs / 10;
    }
    int join(const json::object &order, const std::string &group, std::uint64_t epoch)
    {
        std::vector<std::string> members;
        for (const json::value &member : listOf(order, "members")) {
            members.emplace_back(member.as_string());
        }
        if (epoch < m_maxEpoch || (group == m_group && epoch == m_epoch && members != m_members)) {
            return 412;
        }
        if (group == m_group && epoch == m_epoch) {
            return m_state == "joining" ? 202 : 200;
        }
        const auto own = std::find(members.begin(), members.end(), m_id);
        if (own == members.end()) {
            return 409;
        }
        m_maxEpoch = epoch;
        m_group = group;
        m_epoch = epoch;
        m_members = members;
        m_rank = static_cast<int>(own - members.begin());
        m_model = textOf(order, "modelName");
        m_state = "joining";
        m_openAtMs = -1;
        m_joinLoads = false;
        const std::int64_t now = nowMs();
        if (m_lastModel == m_model) {
            m_readyAtMs = now + m_figures.m_warmJoinMs;
        } else if (m_staged == m_model || m_staging == m_model) {
            m_readyAtMs = std::max(now, m_staging == m_model ? m_stagedAtMs : now) + m_figures.m_warmUpMs;
        } else {
            m_joinLoads = true;
            m_readyAtMs = now + loadMs();
        }
        ++m_seq;
        return 202;
    }
    int execute(const json::object &order)
    {
        const std::string op = textOf(order, "op");
        const std::uint64_t fence = static_cast<std::uint64_t>(numberOf(order, "fencingToken"));
        if (fence < m_fence) {
            return 412;
        }
        m_fence = fence;
        if (order.if_contains("precondition") != nullptr && numberOf(order, "precondition") != m_seq) {
            return 409;
        }
        const std::string group = textOf(order, "group");
        const std::uint64_t epoch = static_cast<std::uint64_t>(numberOf(order, "epoch"));
        if (op == "join") {
            return join(order, group, epoch);
        }
        if (op == "phase") {
            const std::string model = textOf(order, "modelName");
            if (m_staged == model) {
                return 200;
            }
            if (m_staging != model) {
                m_staging = model;
                m_stagedAtMs = nowMs() + loadMs();
                ++m_seq;
            }
            return 202;
        }
        if (group != m_group || epoch != m_epoch) {
            return 409;
        }
        if (op == "open") {
            if (m_state == "open") {
                return 200;
            }
            if (m_state != "ready" || m_rank != 0) {
                return 409;
            }
            if (m_openAtMs < 0) {
                m_openAtMs = nowMs() + m_figures.m_formMs;
                ++m_seq;
            }
            return 202;
        }
        if (op == "close") {
            if (m_state == "ready") {
                m_openAtMs = -1;
                return 200;
            }
            if (m_state != "open" && m_state != "closing") {
                return 409;
            }
            ++m_seq;
            m_state = textOf(order, "closeMode") == "preempt" || m_running == 0 ? "ready" : "closing";
            return m_state == "ready" ? 200 : 202;
        }
        if (op == "leave") {
            ++m_seq;
            m_group.clear();
            m_state.clear();
            m_members.clear();
            m_openAtMs = -1;
            return 200;
        }
        return 400;
    }
    void send(Channel &channel, const Message &request, const std::string &text)
    {
        ++m_answers;
        if (m_answer) {
            m_answer(*this, channel, request, text);
        } else {
            channel.write(text);
        }
        channel.m_lastAnswer = text;
    }
    /** Returns whether the stream has ended as it should. */
    bool stream(Channel &channel, const Message &request)
    {
        const std::string attempt = field(request.m_fields, "Attempt-Id");
        const std::string last = field(request.m_fields, "Last-Event-Id");
        if (!channel.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: " + attempt + "\r\nServer-Stamp: " + m_id
                           + "\r\nTransfer-Encoding: chunked\r\n\r\n")) {
            return false;
        }
        for (int event = last.empty() ? 1 : std::atoi(last.c_str()) + 1; event <= m_figures.m_events; ++event) {
            sleepMs(event == 1 ? m_figures.m_prefillMs : m_figures.m_eventMs);
            while (hasLostMember()) {
                // Nothing moves; a head that was closed or is broken cuts its work off.
                sleepMs(10);
                const std::lock_guard<std::mutex> lock(m_mutex);
                if (!m_alive || (m_state != "open" && m_state != "closing")) {
                    return false;
                }
            }
            const std::string text = "id: " + std::to_string(event) + "\ndata: tokens\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (!channel.write(size + text + "\r\n")) {
                return false;
            }
        }
        return channel.write("0\r\n\r\n");
    }
    void serveClient(Channel &channel, const Message &request)
    {
        const std::string attempt = field(request.m_fields, "Attempt-Id");
        std::string group;
        std::uint64_t epoch = 0;
        std::vector<std::string> members;
        int refused = 0;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            advanceLocked();
            refused = !m_group.empty() && m_rank > 0 ? 421 : m_state != "open" ? 503 : 0;
            group = m_group;
            epoch = m_epoch;
            members = m_members;
            m_running += refused == 0 ? 1 : 0;
        }
        if (refused != 0) {
            send(channel, request, answerText(refused, {{"Attempt-Id", attempt}, {"Not-Executed", "1"}}, ""));
            return;
        }
        if (m_begin) {
            m_begin(*this, request, group, epoch, members);
        }
        const bool isComplete = stream(channel, request);
        --m_running;
        if (!isComplete) {
            channel.close();
        }
    }
    void serve(Channel &channel)
    {
        while (true) {
            Message request;
            if (!channel.readRequest(request) || !m_alive) {
                return;
            }
            const std::string expected = field(request.m_fields, "Expect-Instance");
            const std::string path = pathOf(request.m_target);
            if (!expected.empty() && expected != m_id) {
                send(channel, request, answerText(421, {{"Attempt-Id", field(request.m_fields, "Attempt-Id")}, {"Instance-Id", m_id}}, ""));
            } else if (path == "/-/report") {
                std::string text;
                {
                    const std::lock_guard<std::mutex> lock(m_mutex);
                    advanceLocked();
                    text = stateText(m_seq);
                }
                ++m_controlAnswers;
                send(channel, request, answerText(200, {{"Content-Type", "application/json"}}, text));
            } else if (path == "/-/order") {
                int status = 0;
                {
                    const std::lock_guard<std::mutex> lock(m_mutex);
                    advanceLocked();
                    status = execute(parseObject(request.m_body));
                    advanceLocked();
                }
                publish();
                ++m_controlAnswers;
                record().line("engine " + m_id + " answers " + std::to_string(status) + " to " + request.m_body);
                send(channel, request, answerText(status, {{"Content-Type", "application/json"}}, "{}"));
            } else {
                serveClient(channel, request);
            }
        }
    }

    Store &m_store;
    Engines &m_engines;
    Figures m_figures;
    std::string m_id;
    std::string m_ip;
    int m_port;
    std::string m_zone;
    std::string m_domain;
    std::int64_t m_born;
    Listener m_listener;

    std::mutex m_mutex;
    std::int64_t m_writes = 0;
    std::int64_t m_seq = 0;
    std::uint64_t m_fence = 0;
    std::uint64_t m_maxEpoch = 0;
    std::string m_group;
    std::uint64_t m_epoch = 0;
    int m_rank = 0;
    std::vector<std::string> m_members;
    std::string m_model;
    std::string m_state;
    std::string m_lastModel;
    std::string m_staged;
    std::string m_staging;
    std::int64_t m_stagedAtMs = 0;
    bool m_joinLoads = false;
    std::int64_t m_readyAtMs = 0;
    std::int64_t m_openAtMs = -1;
    std::int64_t m_lostSinceMs = -1;
    std::set<std::string> m_wasReady;
    std::atomic<int> m_running{0};
    std::atomic<bool> m_alive{true};
};

/** A server of a plain service: runs each request for a time and answers it. */
class PlainServer
{
public:
    /** Called when a request begins to run. */
    using Run = std::function<void(PlainServer &, const Message &)>;

    PlainServer(Store &store, std::string id, std::string ip, int port, std::string zone)
        : m_store(store)
        , m_id(std::move(id))
        , m_ip(std::move(ip))
        , m_port(port)
        , m_zone(std::move(zone))
        , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    {
    }
    /** The server is cold for @p coldMs from now on, and registers in the store @p registersAfterMs after it has begun to listen. */
    bool start(std::int64_t coldMs = 0, std::int64_t registersAfterMs = 0)
    {
        m_coldUntilMs = nowMs() + coldMs;
        if (!m_listener.start(m_ip, m_port, [this](const ChannelPtr &channel) {
                serve(*channel);
            })) {
            return false;
        }
        std::thread([this, registersAfterMs]() {
            std::int64_t wroteMs = nowMs() + registersAfterMs - m_heartbeatMs;
            std::int64_t write = 0;
            while (m_alive) {
                // A write that the store refuses is tried again soon.
                if (!m_dark && nowMs() - wroteMs >= m_heartbeatMs && !m_store.isAway()) {
                    wroteMs = nowMs();
                    m_store.put("servers/" + m_id, entry(++write));
                }
                sleepMs(10);
            }
            // The list drops the entry after three reports have been missed, unless a successor has written it again.
            sleepMs(wroteMs + 3 * m_heartbeatMs - nowMs());
            if (parseObject(m_store.value("servers/" + m_id))["born"] == m_born) {
                m_store.remove("servers/" + m_id);
            }
        }).detach();
        return true;
    }
    std::int64_t coldLeftMs() const
    {
        return std::max<std::int64_t>(0, m_coldUntilMs - nowMs());
    }
    /** Ends as a process does that crashes: its connections are reset and nothing listens. */
    void crash()
    {
        m_alive = false;
        m_listener.end();
    }
    /** Goes silent as a machine does that has crashed: nothing is answered or written any more, and channels hang until crash(). */
    void goDark()
    {
        m_dark = true;
    }
    const std::string &id() const
    {
        return m_id;
    }

    static constexpr int Slots = 6;

    Run m_run;
    std::int64_t m_workMs = 30;

private:
    /** Returns whether the server had gone dark; then it has ended. */
    bool waitWhileDark()
    {
        const bool isDark = m_dark;
        while (m_dark && m_alive) {
            sleepMs(5);
        }
        return isDark;
    }
    std::string entry(std::int64_t write) const
    {
        return json::serialize(json::object{{"service", "app"},
                                            {"address", m_ip + ":" + std::to_string(m_port)},
                                            {"zone", m_zone},
                                            {"version", "v1"},
                                            {"slots", Slots},
                                            {"state", "ready"},
                                            {"coldLeftMs", coldLeftMs()},
                                            {"born", m_born},
                                            {"seq", write}});
    }
    void serve(Channel &channel)
    {
        while (m_alive) {
            Message request;
            if (!channel.readRequest(request) || !m_alive) {
                return;
            }
            if (waitWhileDark()) {
                return;
            }
            const Fields id{{"Attempt-Id", field(request.m_fields, "Attempt-Id")}};
            const std::string expected = field(request.m_fields, "Expect-Instance");
            if (!expected.empty() && expected != m_id) {
                channel.write(answerText(421, {id.front(), {"Instance-Id", m_id}}, ""));
                continue;
            }
            if (pathOf(request.m_target) == "/healthz" || pathOf(request.m_target) == "/-/report") {
                const std::string cold = std::to_string(coldLeftMs());
                const std::string body = pathOf(request.m_target) == "/-/report" ? "{\"born\":" + std::to_string(m_born) + "}" : "";
                if (!channel.write(answerText(200, {{"Instance-Id", m_id}, {"Cold-Ms", cold}}, body))) {
                    return;
                }
                continue;
            }
            if (m_run) {
                m_run(*this, request);
            }
            ++m_running;
            sleepMs(m_workMs);
            if (waitWhileDark()) {
                return;
            }
            const std::string load = std::to_string(--m_running) + ",0," + std::to_string(Slots);
            // A server has nothing to send after the head of an answer to HEAD.
            const std::string body = request.m_method == "HEAD" ? "" : "{\"done\":true}";
            if (!channel.write(answerText(200, {id.front(), {"Server-Stamp", m_id}, {"Server-Load", load}}, body))) {
                return;
            }
        }
    }

    Store &m_store;
    std::string m_id;
    std::string m_ip;
    int m_port;
    std::string m_zone;
    std::int64_t m_born;
    std::int64_t m_heartbeatMs = 1'200;
    std::int64_t m_coldUntilMs = 0;
    std::atomic<int> m_running{0};
    std::atomic<bool> m_alive{true};
    std::atomic<bool> m_dark{false};
    Listener m_listener;
};

// ---- the system's own processes ----

/** One process of the system, started with the command of the deploy file and settings rendered from its template. */
class Daemon
{
public:
    Daemon(std::string name, std::string ip, std::string zone, std::string storeAddress, std::string folder)
        : m_name(std::move(name))
        , m_ip(std::move(ip))
        , m_zone(std::move(zone))
        , m_storeAddress(std::move(storeAddress))
        , m_folder(std::move(folder))
    {
    }
    ~Daemon()
    {
        end(SIGKILL);
    }
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    static constexpr int Port = 8227;
    static constexpr int ReadyPort = 8220;

    bool start()
    {
        const std::string settings = m_folder + "/" + m_name + ".yaml";
        if (!render(settings)) {
            return false;
        }
        const std::string output = m_folder + "/" + m_name + ".log";
        m_pid = ::fork();
        if (m_pid == 0) {
            // The daemon ends with the program of the case, whatever ends that.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::signal(SIGPIPE, SIG_DFL);
            if (std::freopen(output.c_str(), "a", stdout) == nullptr || std::freopen(output.c_str(), "a", stderr) == nullptr) {
                ::_exit(127);
            }
            ::setenv("KNAPWEEDSLIP_NODE_FILE", settings.c_str(), 1);
            ::execl("target/daemons/knapweedslip-entry", "knapweedslip-entry", static_cast<char *>(nullptr));
            ::_exit(127);
        }
        record().line("started " + m_name + " at " + m_ip);
        return m_pid > 0;
    }
    void signal(int number)
    {
        record().line("signal " + std::to_string(number) + " to " + m_name);
        ::kill(m_pid, number);
    }
    /** Sends the signal and waits for the end; returns its wait status. */
    int end(int number)
    {
        int status = 0;
        if (m_pid > 0) {
            ::kill(m_pid, SIGCONT);
            ::kill(m_pid, number);
            ::waitpid(m_pid, &status, 0);
            m_pid = -1;
        }
        return status;
    }
    /** Returns true if the process has ended by itself, and its wait status. */
    bool hasEnded(int &status)
    {
        if (m_pid > 0 && ::waitpid(m_pid, &status, WNOHANG) == m_pid) {
            m_pid = -1;
            return true;
        }
        return m_pid <= 0;
    }
    bool isReady() const
    {
        const ChannelPtr channel = connectTo(m_ip, ReadyPort);
        Message answer;
        return channel != nullptr && channel->write("GET /-/readyz HTTP/1.1\r\nHost: " + m_ip + "\r\n\r\n") && channel->readAnswer("GET", answer, 1000)
               && answer.m_status == 200;
    }
    const std::string &ip() const
    {
        return m_ip;
    }
    const std::string &name() const
    {
        return m_name;
    }

private:
    /** Fills in the template of the deploy file, as the platform does. */
    bool render(const std::string &path) const
    {
        const std::map<std::string, std::string> values{{"nodeName|json", "\"" + m_name + "\""},
                                                        {"zone|json", "\"" + m_zone + "\""},
                                                        {"listen.frontend|json", "\"" + m_ip + ":" + std::to_string(Port) + "\""},
                                                        {"listen.readiness|json", "\"" + m_ip + ":" + std::to_string(ReadyPort) + "\""},
                                                        {"ip", m_ip},
                                                        {"internalPorts.0", "7340"},
                                                        {"limits.cpuQuota", "0.25"},
                                                        {"platform.address|json", "\"" + m_storeAddress + "\""},
                                                        {"platform.ttlMinMs", "1000"},
                                                        {"bounds.revokeMs", "5000"},
                                                        {"bounds.retryRatio", "0.2"},
                                                        {"bounds.retryExtra", "134"},
                                                        {"bounds.retryWindowS", "10"},
                                                        {"bounds.coldOverage", "1.5"},
                                                        {"bounds.fencingEnforced", "true"},
                                                        {"bounds.graceS", "8"},
                                                        {"bounds.reuseAfterS", "2"},
                                                        {"heartbeatMs", "1200"}};
        std::ifstream file("deploy/entry.yaml");
        std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
        for (std::size_t at = text.find("{{"); at != std::string::npos; at = text.find("{{", at)) {
            const std::size_t end = text.find("}}", at);
            const auto value = values.find(text.substr(at + 2, end - at - 2));
            if (value == values.end()) {
                std::fprintf(stderr, "no value for a placeholder of deploy/entry.yaml\n");
                return false;
            }
            text.replace(at, end + 2 - at, value->second);
            at += value->second.size();
        }
        std::ofstream(path) << text;
        return !text.empty();
    }

    std::string m_name;
    std::string m_ip;
    std::string m_zone;
    std::string m_storeAddress;
    std::string m_folder;
    pid_t m_pid = -1;
};

/** What a case has in common: a temporary folder, addresses of its own, the store and the daemons. */
struct Scene
{
    static constexpr int StorePort = 8223;

    /** Returns 0, or 2 if the scene cannot be set up. */
    int open(int daemons)
    {
        char folder[] = "/tmp/review-2.XXXXXX";
        if (::mkdtemp(folder) == nullptr) {
            return 2;
        }
        m_folder = folder;
        const unsigned seed = static_cast<unsigned>(::getpid()) * 2654435761U ^ static_cast<unsigned>(std::chrono::system_clock::now().time_since_epoch().count());
        m_prefix = "127." + std::to_string(20 + seed % 200) + "." + std::to_string(1 + seed / 256 % 250);
        if (!m_store.start(m_prefix + ".250", StorePort)) {
            return 2;
        }
        for (int i = 1; i <= daemons; ++i) {
            m_daemons.push_back(std::make_unique<Daemon>("edge-" + std::to_string(i), m_prefix + "." + std::to_string(i), zone(i), storeAddress(), m_folder));
        }
        return 0;
    }
    std::string storeAddress() const
    {
        return m_prefix + ".250:" + std::to_string(StorePort);
    }
    static std::string zone(int number)
    {
        return std::string("zone-") + static_cast<char>('a' + (number - 1) % 3);
    }
    bool startDaemons()
    {
        for (const std::unique_ptr<Daemon> &daemon : m_daemons) {
            if (!daemon->start()) {
                return false;
            }
        }
        return waitUntil(15'000, [this]() {
            return std::all_of(m_daemons.begin(), m_daemons.end(), [](const std::unique_ptr<Daemon> &daemon) {
                return daemon->isReady();
            });
        });
    }
    static bool waitUntil(std::int64_t timeoutMs, const std::function<bool()> &holds)
    {
        const std::int64_t untilMs = nowMs() + timeoutMs;
        while (nowMs() < untilMs) {
            if (holds()) {
                return true;
            }
            sleepMs(20);
        }
        return holds();
    }
    void close()
    {
        m_daemons.clear();
        if (std::getenv("KEEP") == nullptr) {
            const std::string command = "rm -rf " + m_folder;
            if (std::system(command.c_str()) != 0) {
                std::fprintf(stderr, "%s stays\n", m_folder.c_str());
            }
        }
    }

    std::string m_folder;
    std::string m_prefix;
    Store m_store;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
};

inline bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}
