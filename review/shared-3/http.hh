// A small HTTP/1.1 server and client over blocking sockets, one thread for each connection, for the stand-ins of this review.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <functional>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review
{
/** Time in ms of a clock that also counts while the machine is suspended. */
inline std::int64_t nowMs()
{
    std::timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time.tv_sec * 1000LL + time.tv_nsec / 1000000LL;
}

inline void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

using Fields = std::vector<std::pair<std::string, std::string>>;

inline std::string fieldOf(const Fields &fields, const std::string &name)
{
    for (const std::pair<std::string, std::string> &field : fields) {
        if (strcasecmp(field.first.c_str(), name.c_str()) == 0) {
            return field.second;
        }
    }
    return {};
}

struct HttpMessage
{
    /** Of a request. */
    std::string m_method;
    std::string m_target;
    /** Of a response. */
    int m_status = 0;
    Fields m_fields;
    std::string m_body;
    /** False if a response ended before its length or its last chunk. */
    bool m_isComplete = true;

    std::string field(const std::string &name) const
    {
        return fieldOf(m_fields, name);
    }
    std::string path() const
    {
        return m_target.substr(0, m_target.find('?'));
    }
    std::string query(const std::string &name) const
    {
        std::size_t start = m_target.find('?');
        while (start != std::string::npos) {
            const std::size_t end = m_target.find('&', start + 1);
            const std::string pair = m_target.substr(start + 1, end == std::string::npos ? end : end - start - 1);
            const std::size_t equals = pair.find('=');
            if (pair.substr(0, equals) == name) {
                return decode(equals == std::string::npos ? std::string() : pair.substr(equals + 1));
            }
            start = end;
        }
        return {};
    }

private:
    static std::string decode(const std::string &text)
    {
        std::string decoded;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                decoded += text[i];
            }
        }
        return decoded;
    }
};

/** A connected socket. Reading times out at a deadline. */
class Channel
{
public:
    explicit Channel(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Channel()
    {
        close();
    }
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    void close()
    {
        if (m_fd >= 0) {
            ::close(std::exchange(m_fd, -1));
        }
    }
    void reset()
    {
        const linger now{1, 0};
        setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
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
    /** Returns whether the peer has closed or reset the connection. */
    bool isClosedByPeer()
    {
        char byte = 0;
        const ssize_t size = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }
    /** Reads more into the buffer; false at the end, on an error, or at @p deadlineMs. */
    bool fill(std::int64_t deadlineMs)
    {
        pollfd waiting{m_fd, POLLIN, 0};
        const std::int64_t leftMs = deadlineMs - nowMs();
        if (m_fd < 0 || leftMs <= 0 || ::poll(&waiting, 1, static_cast<int>(leftMs)) <= 0) {
            m_timedOut = true;
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
    bool readLine(std::string &line, std::int64_t deadlineMs)
    {
        std::size_t end = m_buffer.find("\r\n");
        while (end == std::string::npos) {
            if (!fill(deadlineMs)) {
                return false;
            }
            end = m_buffer.find("\r\n");
        }
        line = m_buffer.substr(0, end);
        m_buffer.erase(0, end + 2);
        return true;
    }
    bool readBytes(std::string &text, std::size_t size, std::int64_t deadlineMs)
    {
        while (m_buffer.size() < size) {
            if (!fill(deadlineMs)) {
                return false;
            }
        }
        text += m_buffer.substr(0, size);
        m_buffer.erase(0, size);
        return true;
    }
    /** Reads the first line and the fields of a message. */
    bool readHead(std::string &first, Fields &fields, std::int64_t deadlineMs)
    {
        if (!readLine(first, deadlineMs)) {
            return false;
        }
        std::string line;
        while (readLine(line, deadlineMs)) {
            if (line.empty()) {
                return true;
            }
            const std::size_t colon = line.find(':');
            std::string value = colon == std::string::npos ? std::string() : line.substr(colon + 1);
            value.erase(0, std::min(value.find_first_not_of(' '), value.size()));
            fields.emplace_back(line.substr(0, colon), value);
        }
        return false;
    }
    /** Reads the body of a message with these fields; @p toEnd if one without a length ends with the connection. */
    bool readBody(const Fields &fields, std::string &body, bool toEnd, std::int64_t deadlineMs)
    {
        if (strcasecmp(fieldOf(fields, "Transfer-Encoding").c_str(), "chunked") == 0) {
            std::string line;
            while (readLine(line, deadlineMs)) {
                const std::size_t size = std::strtoull(line.c_str(), nullptr, 16);
                if (size == 0) {
                    return readLine(line, deadlineMs);
                }
                if (!readBytes(body, size, deadlineMs) || !readLine(line, deadlineMs)) {
                    return false;
                }
            }
            return false;
        }
        const std::string length = fieldOf(fields, "Content-Length");
        if (!length.empty()) {
            return readBytes(body, std::strtoull(length.c_str(), nullptr, 10), deadlineMs);
        }
        while (toEnd && fill(deadlineMs)) {
        }
        body += std::exchange(m_buffer, {});
        return true;
    }
    bool readRequest(HttpMessage &request, std::int64_t deadlineMs)
    {
        std::string first;
        if (!readHead(first, request.m_fields, deadlineMs)) {
            return false;
        }
        const std::size_t space = first.find(' ');
        request.m_method = first.substr(0, space);
        request.m_target = first.substr(space + 1, first.rfind(' ') - space - 1);
        return readBody(request.m_fields, request.m_body, false, deadlineMs);
    }
    bool readResponse(HttpMessage &response, std::int64_t deadlineMs)
    {
        std::string first;
        if (!readHead(first, response.m_fields, deadlineMs) || first.size() < 12) {
            return false;
        }
        response.m_status = std::atoi(first.c_str() + 9);
        response.m_isComplete = readBody(response.m_fields, response.m_body, true, deadlineMs);
        return true;
    }
    bool respond(int status, const std::string &body = {}, const Fields &fields = {})
    {
        std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
        for (const std::pair<std::string, std::string> &field : fields) {
            text += field.first + ": " + field.second + "\r\n";
        }
        return write(text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    bool hasTimedOut() const
    {
        return m_timedOut;
    }
    int fd() const
    {
        return m_fd;
    }

private:
    int m_fd;
    std::string m_buffer;
    bool m_timedOut = false;
};

inline sockaddr_in endpointOf(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in endpoint{};
    endpoint.sin_family = AF_INET;
    endpoint.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &endpoint.sin_addr);
    return endpoint;
}

/** Returns a listening socket, or -1. */
inline int listenAt(const std::string &address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in endpoint = endpointOf(address);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&endpoint), sizeof endpoint) != 0 || ::listen(fd, 1024) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

/** Returns a connected channel, or null. */
inline std::unique_ptr<Channel> connectTo(const std::string &address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in endpoint = endpointOf(address);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&endpoint), sizeof endpoint) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_unique<Channel>(fd);
}

/** Answers one request; false closes the connection. */
using Handler = std::function<bool(Channel &, const HttpMessage &)>;

/** A listening address and its connections. stop() ends it as the end of a process does. */
class HttpListener
{
public:
    HttpListener(const std::string &address, Handler handler)
        : m_listener(listenAt(address))
        , m_handler(std::move(handler))
    {
        if (m_listener < 0) {
            throw std::runtime_error("cannot listen at " + address);
        }
    }
    /** Accepts connections until stop(). Must be called once. */
    static void start(const std::shared_ptr<HttpListener> &self)
    {
        std::thread([self]() {
            while (!self->m_isStopped) {
                pollfd waiting{self->m_listener, POLLIN, 0};
                if (::poll(&waiting, 1, 20) <= 0) {
                    continue;
                }
                const int fd = ::accept4(self->m_listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd >= 0) {
                    std::thread(serve, self, fd).detach();
                }
            }
        }).detach();
    }
    /** Nothing listens any longer, and all connections are closed; with @p resets they are reset. */
    void stop(bool resets)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopped = true;
        m_resets = resets;
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        const linger now{1, 0};
        for (const int fd : m_open) {
            if (resets) {
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
            }
            ::shutdown(fd, SHUT_RD);
        }
    }
    bool isStopped() const
    {
        return m_isStopped;
    }

private:
    static void serve(std::shared_ptr<HttpListener> self, int fd)
    {
        Channel channel(fd);
        {
            const std::lock_guard<std::mutex> lock(self->m_mutex);
            self->m_open.insert(fd);
        }
        while (!self->m_isStopped) {
            HttpMessage request;
            if (!channel.readRequest(request, nowMs() + 600'000) || self->m_isStopped || !self->m_handler(channel, request)) {
                break;
            }
        }
        const std::lock_guard<std::mutex> lock(self->m_mutex);
        self->m_open.erase(fd);
        if (self->m_isStopped && self->m_resets) {
            channel.reset();
        }
    }

    int m_listener;
    Handler m_handler;
    std::atomic<bool> m_isStopped = false;
    bool m_resets = false;
    std::mutex m_mutex;
    std::set<int> m_open;
};

/** Serves an address until the process ends. */
inline void serveAt(const std::string &address, Handler handler)
{
    HttpListener::start(std::make_shared<HttpListener>(address, std::move(handler)));
}

/** Sends one request on a new connection and reads the response. The status is 0 if there was none. */
inline HttpMessage exchange(const std::string &address, const std::string &head, const std::string &body, std::int64_t timeoutMs)
{
    HttpMessage response;
    const std::int64_t deadlineMs = nowMs() + timeoutMs;
    const std::unique_ptr<Channel> channel = connectTo(address);
    if (channel == nullptr || !channel->write(head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)
        || !channel->readResponse(response, deadlineMs)) {
        response.m_status = 0;
    }
    return response;
}
}
