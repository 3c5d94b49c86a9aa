// A stand-in for the platform's store: items, pages, watches, transactions and leases as the pages describe them.
#pragma once

#include "http.hh"

#include <boost/json.hpp>

#include <condition_variable>
#include <deque>
#include <map>
#include <set>

namespace review
{
namespace json = boost::json;

inline json::object toObject(const std::string &text)
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
    const std::int64_t number = value != nullptr && value->is_number() ? value->to_number<std::int64_t>(error) : fallback;
    return error ? fallback : number;
}

inline const json::array &listOf(const json::object &object, const char *key)
{
    static const json::array none;
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_array() ? value->as_array() : none;
}

inline constexpr const char *Base64Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

inline std::string toBase64(const std::string &bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = group << 8U | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j > bytes.size() ? '=' : Base64Digits[group >> (18U - 6U * j) & 63U];
        }
    }
    return text;
}

inline std::string fromBase64(const std::string &text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        const char *digit = std::strchr(Base64Digits, c);
        if (digit == nullptr || c == '=' || c == '\0') {
            break;
        }
        group = group << 6U | static_cast<std::uint32_t>(digit - Base64Digits);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> static_cast<unsigned>(bits) & 255U);
        }
    }
    return bytes;
}

class Store
{
public:
    /** How the store treats the callers at one of its addresses. */
    enum class Mode {
        Serves,
        /** Calls get 503. */
        Busy,
        /** Calls get no answer. */
        Silent,
    };

    Store()
    {
        std::thread([this]() {
            while (true) {
                sleepMs(20);
                expireLeases();
            }
        }).detach();
    }

    /** Serves callers at @p address, whose mode can be changed later. */
    void listen(const std::string &address)
    {
        m_modes[address] = Mode::Serves;
        serveAt(address, [this, address](Channel &channel, const HttpMessage &request) {
            return serve(channel, request, address);
        });
    }
    void setMode(const std::string &address, Mode mode)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_modes[address] = mode;
        m_changed.notify_all();
    }
    void setModeOfAll(Mode mode)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (std::pair<const std::string, Mode> &entry : m_modes) {
            entry.second = mode;
        }
        m_changed.notify_all();
    }
    /** Writes an item as the operator and the servers do. */
    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_revision;
        write({key, value, 0, 0, 0, false});
    }
    void remove(const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_items.count(key) > 0) {
            ++m_revision;
            write({key, {}, 0, 0, 0, true});
        }
    }
    std::string value(const std::string &key)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = m_items.find(key);
        return found == m_items.end() ? std::string() : found->second.m_value;
    }
    void startAtEra(std::uint64_t era)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_era = era;
    }
    void takeCopy()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_copy = {m_revision, m_nextLease, m_items, m_leases};
    }
    /** Comes back from the copy, in the next era. The history is gone. */
    void restoreCopy()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_revision = m_copy.m_revision;
        m_nextLease = m_copy.m_nextLease;
        m_items = m_copy.m_items;
        m_leases = m_copy.m_leases;
        for (std::pair<const std::uint64_t, Lease> &lease : m_leases) {
            lease.second.m_endsMs = nowMs() + lease.second.m_ttlMs;
        }
        m_history.clear();
        m_historyFrom = m_revision;
        ++m_era;
        m_changed.notify_all();
    }

private:
    struct Item
    {
        std::string m_key;
        std::string m_value;
        std::uint64_t m_revision = 0;
        std::uint64_t m_created = 0;
        std::uint64_t m_lease = 0;
        bool m_isDeleted = false;
    };
    struct Lease
    {
        std::int64_t m_ttlMs = 0;
        std::int64_t m_endsMs = 0;
    };
    struct Copy
    {
        std::uint64_t m_revision = 0;
        std::uint64_t m_nextLease = 0;
        std::map<std::string, Item> m_items;
        std::map<std::uint64_t, Lease> m_leases;
    };

    static bool startsWith(const std::string &text, const std::string &prefix)
    {
        return text.compare(0, prefix.size(), prefix) == 0;
    }
    static json::object toJson(const Item &item)
    {
        if (item.m_isDeleted) {
            return {{"key", item.m_key}, {"revision", item.m_revision}, {"deleted", true}};
        }
        return {{"key", item.m_key}, {"value", toBase64(item.m_value)}, {"revision", item.m_revision}, {"created", item.m_created}, {"leaseId", item.m_lease}};
    }
    /** Writes or removes as part of the change that has the present revision. */
    void write(Item item)
    {
        item.m_revision = m_revision;
        const auto found = m_items.find(item.m_key);
        item.m_created = found == m_items.end() ? m_revision : found->second.m_created;
        if (item.m_isDeleted) {
            m_items.erase(item.m_key);
        } else {
            m_items[item.m_key] = item;
        }
        m_history.push_back(item);
        m_changed.notify_all();
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
            write({key, {}, 0, 0, 0, true});
        }
    }
    void expireLeases()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::vector<std::uint64_t> over;
        for (const std::pair<const std::uint64_t, Lease> &lease : m_leases) {
            if (lease.second.m_endsMs <= nowMs()) {
                over.push_back(lease.first);
            }
        }
        for (const std::uint64_t id : over) {
            endLease(id);
        }
    }
    bool answer(Channel &channel, int status, const std::string &body, std::uint64_t era)
    {
        return channel.respond(status, body, {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era)}});
    }
    bool serve(Channel &channel, const HttpMessage &request, const std::string &address)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        const Mode mode = m_modes[address];
        const std::uint64_t era = m_era;
        if (mode == Mode::Silent) {
            lock.unlock();
            sleepMs(30'000);
            return false;
        }
        if (mode == Mode::Busy) {
            lock.unlock();
            return answer(channel, 503, "{}", era);
        }
        int status = 200;
        const std::string body = respondTo(lock, request, address, status);
        lock.unlock();
        return status != 0 && answer(channel, status, body, era);
    }
    std::string respondTo(std::unique_lock<std::mutex> &lock, const HttpMessage &request, const std::string &address, int &status)
    {
        const std::string path = request.path();
        if (path == "/-/kv-range") {
            return readPage(request.query("pathPrefix"), request.query("after"));
        }
        if (path == "/-/kv-key") {
            const auto found = m_items.find(request.query("key"));
            status = found == m_items.end() ? 404 : 200;
            return found == m_items.end() ? "{}" : json::serialize(toJson(found->second));
        }
        if (path == "/-/kv-watch") {
            return watch(lock, request, address, status);
        }
        if (path == "/-/kv-txn") {
            return commit(toObject(request.m_body), status);
        }
        if (path == "/-/kv-lease") {
            const std::int64_t ttlMs = std::max<std::int64_t>(1'000, numberOf(toObject(request.m_body), "ttlMs"));
            const std::uint64_t id = m_nextLease++;
            m_leases[id] = {ttlMs, nowMs() + ttlMs};
            return json::serialize(json::object{{"leaseId", id}, {"ttlMs", ttlMs}});
        }
        const std::uint64_t id = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        const auto lease = m_leases.find(id);
        if (lease == m_leases.end()) {
            status = 404;
            return "{}";
        }
        if (startsWith(path, "/-/kv-keep/")) {
            lease->second.m_endsMs = nowMs() + lease->second.m_ttlMs;
            return json::serialize(json::object{{"ttlMs", lease->second.m_ttlMs}});
        }
        endLease(id);
        return "{}";
    }
    std::string readPage(const std::string &prefix, const std::string &after)
    {
        constexpr std::size_t PageItems = 500;
        json::array entries;
        bool hasMore = false;
        for (auto it = after.empty() ? m_items.lower_bound(prefix) : m_items.upper_bound(after); it != m_items.end() && startsWith(it->first, prefix); ++it) {
            hasMore = entries.size() == PageItems;
            if (hasMore) {
                break;
            }
            entries.push_back(toJson(it->second));
        }
        return json::serialize(json::object{{"entries", std::move(entries)}, {"hasMore", hasMore}, {"at", m_revision}});
    }
    std::string watch(std::unique_lock<std::mutex> &lock, const HttpMessage &request, const std::string &address, int &status)
    {
        const std::string prefix = request.query("pathPrefix");
        const std::uint64_t after = std::strtoull(request.query("after").c_str(), nullptr, 10);
        const std::int64_t untilMs = nowMs() + std::atoll(request.query("waitMs").c_str());
        const std::uint64_t era = m_era;
        while (true) {
            if (m_era != era || m_modes[address] != Mode::Serves) {
                // A watch that is waiting may be cut.
                status = 0;
                return {};
            }
            if (after > m_revision || after < m_historyFrom) {
                status = 410;
                return "{}";
            }
            json::array events;
            for (const Item &item : m_history) {
                if (item.m_revision > after && startsWith(item.m_key, prefix)) {
                    events.push_back(toJson(item));
                }
            }
            if (!events.empty() || nowMs() >= untilMs) {
                return json::serialize(json::object{{"events", std::move(events)}, {"at", m_revision}});
            }
            m_changed.wait_for(lock, std::chrono::milliseconds(std::max<std::int64_t>(1, untilMs - nowMs())));
        }
    }
    std::string commit(const json::object &call, int &status)
    {
        for (const json::value &row : listOf(call, "precondition")) {
            const auto found = m_items.find(textOf(row.as_object(), "key"));
            const std::uint64_t revision = found == m_items.end() ? 0 : found->second.m_revision;
            if (revision != static_cast<std::uint64_t>(numberOf(row.as_object(), "revision"))) {
                status = 412;
                return R"({"entries":[]})";
            }
        }
        for (const json::value &row : listOf(call, "write")) {
            const std::string key = textOf(row.as_object(), "key");
            const std::uint64_t lease = static_cast<std::uint64_t>(numberOf(row.as_object(), "leaseId"));
            if (startsWith(key, "op/") || startsWith(key, "servers/")) {
                status = 403;
                return "{}";
            }
            if (lease != 0 && m_leases.count(lease) == 0) {
                status = 404;
                return "{}";
            }
        }
        ++m_revision;
        for (const json::value &row : listOf(call, "write")) {
            const std::uint64_t lease = static_cast<std::uint64_t>(numberOf(row.as_object(), "leaseId"));
            write({textOf(row.as_object(), "key"), fromBase64(textOf(row.as_object(), "value")), 0, 0, lease, false});
        }
        for (const json::value &key : listOf(call, "delete")) {
            write({std::string(key.as_string()), {}, 0, 0, 0, true});
        }
        return json::serialize(json::object{{"revision", m_revision}});
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Mode> m_modes;
    std::uint64_t m_revision = 100;
    std::uint64_t m_era = 1;
    std::uint64_t m_nextLease = 1;
    std::uint64_t m_historyFrom = 0;
    std::map<std::string, Item> m_items;
    std::deque<Item> m_history;
    std::map<std::uint64_t, Lease> m_leases;
    Copy m_copy;
};
}
