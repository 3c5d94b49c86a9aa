// HTTP/1.1 over blocking sockets, one thread for each connection, so that each byte and its time are under the control of a scenario.

#pragma once

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

namespace review
{
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CannotRun = 2;

inline std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline const std::int64_t StartMs = nowMs();
inline std::mutex recordMutex;
inline std::FILE *recordFile = nullptr;

/** Writes one line with the time since the start, in ms. */
__attribute__((format(printf, 1, 2))) inline void record(const char *format, ...)
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

inline std::string base64(const std::string &bytes)
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

inline std::string unbase64(const std::string &text)
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
inline std::optional<Message> readHead(Channel &channel, std::int64_t untilMs)
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
inline bool readBody(Channel &channel, Message &message, std::int64_t untilMs)
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

inline std::optional<Message> readMessage(Channel &channel, std::int64_t untilMs)
{
    std::optional<Message> message = readHead(channel, untilMs);
    if (message && !readBody(channel, *message, untilMs)) {
        return std::nullopt;
    }
    return message;
}

inline std::string responseText(int status, const Fields &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto &[key, value] : fields) {
        text += key + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline sockaddr_in addressOf(const std::string &text)
{
    const std::size_t colon = text.find(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

inline ChannelPtr connectTo(const std::string &address)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = addressOf(address);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&target), sizeof target) != 0) {
        close(fd);
        return nullptr;
    }
    return std::make_shared<Channel>(fd);
}

/** A listening socket on a loopback port that can be closed and opened again, as when a process ends and starts. */
class Listener
{
public:
    /** Calls @p serve on a thread for each connection. Port 0 is any free one. */
    Listener(int port, std::function<void(ChannelPtr)> serve)
        : m_port(port)
        , m_serve(std::move(serve))
    {
        open();
    }
    void open()
    {
        m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = addressOf("127.0.0.1:" + std::to_string(m_port));
        socklen_t size = sizeof address;
        if (bind(m_fd, reinterpret_cast<sockaddr *>(&address), size) != 0 || listen(m_fd, 512) != 0) {
            std::perror("listen");
            std::exit(CannotRun);
        }
        getsockname(m_fd, reinterpret_cast<sockaddr *>(&address), &size);
        m_port = ntohs(address.sin_port);
        std::thread([fd = m_fd, serve = m_serve]() {
            while (true) {
                const int accepted = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted >= 0) {
                    std::thread(serve, std::make_shared<Channel>(accepted)).detach();
                } else if (errno == EINVAL || errno == EBADF) {
                    ::close(fd);
                    return;
                }
            }
        }).detach();
    }
    /** Connections are refused from now on. */
    void close()
    {
        shutdown(m_fd, SHUT_RDWR);
    }
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_port);
    }

private:
    int m_fd = -1;
    int m_port;
    std::function<void(ChannelPtr)> m_serve;
};

/** Listens on a loopback port (0: any free one) for as long as this process runs. Returns the address. */
inline std::string listenOn(int port, std::function<void(ChannelPtr)> serve)
{
    return (new Listener(port, std::move(serve)))->address();
}
}
