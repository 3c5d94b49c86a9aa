// Stand-in for the platform's store.

#pragma once

#include "http.hh"

namespace review
{
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
}
