// Stand-in for model engines, which form groups by the leader's orders.

#pragma once

#include "client.hh"

namespace review
{
struct EngineOptions
{
    std::int64_t joinMs = 200, warmUpMs = 1'100, loadMs = 12'000, formMs = 300, stallMs = 6'000;
    std::int64_t eventMs = 30;
    int events = 32;
    int slots = 26;
    /** Events that one pass of the engine makes; they are written as one chunk. */
    int eventsPerPass = 1;
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
    /** Answers without end so far, and the time until which their bytes, all together, keep a link of 1,000 Mbit/s busy. */
    int endless = 0;
    std::int64_t linkBusyUntilUs = 0;
    std::mt19937_64 random{1};
    /** When the next answer of a head that may be faulty is complete, one of the head's other members begins to drain. */
    bool isArmed = false;
    /** A second copy of that answer comes late. */
    bool sendsExtras = false;
    /** Engines refuse orders with an old fencing token. */
    bool isFenced = true;
    /** Engines leave some orders unanswered and carry them out late. */
    bool leavesOrders = false;
    int ordersAnswered = 0;
    int ordersLeft = 0;
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
        m_listener = std::make_unique<Listener>(0, [this](const ChannelPtr &channel) {
            serve(channel);
        });
        m_address = m_listener->address();
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
                const std::string gone = now >= m_goneAtMs ? std::exchange(m_goneId, {}) : std::string();
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
        m_lateOrder.clear();
        m_leavesNextJoin = false;
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
            if (now >= m_awayUntilMs && m_goneId.empty()) {
                m_listener->open();
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
            m_hasClosed = true;
            record("%s has closed %s", m_id.c_str(), m_group.c_str());
        }
        carryOutLateOrder(now);
        if (m_drainsUntilMs != 0 && now >= m_drainsUntilMs && !headHasWork()) {
            record("%s has left", m_id.c_str());
            end(now, m_options.awayMs, 0);
        }
    }
    /** Ends this lifetime. The system closes its connections, and its entry is removed after @p entryMs. */
    void end(std::int64_t now, std::int64_t awayMs, std::int64_t entryMs)
    {
        m_isAlive = false;
        m_goneId = m_id;
        m_goneAtMs = now + entryMs;
        m_fabric.byId.erase(m_id);
        m_awayUntilMs = now + awayMs;
        forgetGroup();
        m_listener->close();
        for (const std::weak_ptr<Channel> &open : m_channels) {
            if (const ChannelPtr channel = open.lock()) {
                shutdown(channel->fd, SHUT_RDWR);
            }
        }
        m_channels.clear();
    }
    /**
     * Returns whether the order @p body is left unanswered: the first open order of each group, and the first join after that open order was carried out
     * late. Both are carried out 2 to 12 s after they came.
     */
    bool leavesUnanswered(const std::string &body, std::int64_t now)
    {
        constexpr std::int64_t LateJoinMs = 5'000;
        const bool isOpen = body.find("\"op\":\"open\"") != std::string::npos && m_state == State::Ready && m_rank == 0 && m_lateGroup != m_group;
        const bool isJoin = body.find("\"op\":\"join\"") != std::string::npos && m_leavesNextJoin;
        if (!m_fabric.leavesOrders || (!isOpen && !isJoin)) {
            return false;
        }
        if (isOpen) {
            m_lateGroup = m_group;
            m_lateOrder = body;
            m_lateCameMs = now;
            m_hasClosed = false;
        } else {
            m_leavesNextJoin = false;
            std::thread([this, body, id = m_id]() {
                sleepMs(LateJoinMs);
                const Lock lock(m_fabric.mutex);
                if (m_isAlive && m_id == id) {
                    execute(body);
                }
            }).detach();
        }
        ++m_fabric.ordersLeft;
        record("%s leaves an order unanswered: %s", m_id.c_str(), body.c_str());
        return true;
    }
    /** Carries out an open order that was left unanswered once its group has been closed, if that is 2 to 12 s after it came, and otherwise after 12 s. */
    void carryOutLateOrder(std::int64_t now)
    {
        constexpr std::int64_t EarliestMs = 2'000;
        constexpr std::int64_t LatestMs = 12'000;
        if (m_lateOrder.empty()) {
            return;
        }
        const std::int64_t ageMs = now - m_lateCameMs;
        const bool isClosed = m_hasClosed && m_state == State::Ready && m_group == m_lateGroup && ageMs >= EarliestMs;
        if (isClosed || ageMs >= LatestMs) {
            record("%s carries out an order that came %lld ms ago: %s", m_id.c_str(), static_cast<long long>(ageMs), m_lateOrder.c_str());
            m_leavesNextJoin = isClosed;
            execute(std::exchange(m_lateOrder, {}));
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
        if (m_fabric.isFenced && number("fencingToken") < m_fence) {
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

    /** Sends the size line of a chunk that doesn't end, until the caller closes, at the speed of a link of 1,000 Mbit/s for all such answers together. */
    void sendWithoutEnd(Channel &channel, const Message &request)
    {
        constexpr std::int64_t BytesPerMs = 125'000;
        constexpr std::size_t BlockBytes = 64 * 1024;
        record("%s answers %s with bytes without end", m_id.c_str(), request.field("Attempt-Id").c_str());
        const std::string block(BlockBytes, 'x');
        std::int64_t sent = 0;
        for (bool open = channel.send("5;"); open; sent += BlockBytes) {
            Lock lock(m_fabric.mutex);
            const std::int64_t nowUs = nowMs() * 1'000;
            m_fabric.linkBusyUntilUs = std::max(m_fabric.linkBusyUntilUs, nowUs) + static_cast<std::int64_t>(BlockBytes) * 1'000 / BytesPerMs;
            const std::int64_t waitMs = (m_fabric.linkBusyUntilUs - nowUs) / 1'000;
            lock.unlock();
            if (waitMs > 0) {
                sleepMs(waitMs);
            }
            open = channel.send(block);
        }
        record("%s sent %lld KB for %s until the caller closed", m_id.c_str(), static_cast<long long>(sent / 1024), request.field("Attempt-Id").c_str());
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
        const bool isEndless = std::uniform_real_distribution<double>()(m_fabric.random) < m_endlessShare;
        m_fabric.endless += isEndless ? 1 : 0;
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
        if (isEndless) {
            sendWithoutEnd(channel, request);
            lock.lock();
            return end(false);
        }
        const std::string last = request.field("Last-Event-Id");
        const int first = last.empty() ? 0 : std::atoi(last.c_str()) + 1;
        lock.lock();
        const bool isSpoiled = m_spoiledShare > 0.0 && first < m_options.events && std::uniform_real_distribution<double>()(m_fabric.random) < m_spoiledShare;
        const int spoiled = isSpoiled ? std::uniform_int_distribution<int>(first, m_options.events - 1)(m_fabric.random) : -1;
        lock.unlock();
        for (int event = first; event < m_options.events;) {
            const int passEnd = std::min(event + m_options.eventsPerPass, m_options.events);
            sleepMs(m_options.eventMs * (passEnd - event));
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
            std::string text;
            for (; event < passEnd; ++event) {
                if (event == spoiled) {
                    record("%s spoils event %d of %s", m_id.c_str(), event, request.field("Attempt-Id").c_str());
                    text += "\x01?\xfe: #" + std::to_string(event) + "\n\x02\x7f\n\n";
                } else {
                    text += "id: " + std::to_string(event) + "\ndata: token\n\n";
                }
            }
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
            } else if (request->target == "/-/order" && leavesUnanswered(request->body, nowMs())) {
                lock.unlock();
                while (channel.receive(Forever)) {
                }
                return;
            } else if (request->target == "/-/order") {
                ++m_fabric.ordersAnswered;
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
            if (m_fabric.isArmed && m_mayBeFaulty && m_state == State::Open && m_members.size() > 1) {
                m_fabric.isArmed = false;
                drainMember();
                if (m_fabric.sendsExtras) {
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
    bool m_mayBeFaulty = false;
    /** The last member of the group begins to drain if this is an open head. Fabric::mutex must be held. */
    bool drainMemberOfOpenHead()
    {
        const bool isOpen = m_isAlive && m_state == State::Open && m_members.size() > 1;
        if (isOpen) {
            drainMember();
        }
        return isOpen;
    }
    /** The last member of the group begins to drain if this is an open head with an order that it has still to carry out. Fabric::mutex must be held. */
    bool drainMemberBeforeLateOrder(std::int64_t withinMs)
    {
        constexpr std::int64_t LatestMs = 12'000;
        const bool isDue = m_isAlive && m_state == State::Open && m_members.size() > 1 && !m_lateOrder.empty() && nowMs() + withinMs < m_lateCameMs + LatestMs;
        if (isDue) {
            drainMember();
        }
        return isDue;
    }
    /** Share of the answers that have no end. */
    double m_endlessShare = 0.0;
    /** Share of the answers in which the bytes of one event are spoiled. */
    double m_spoiledShare = 0.0;

private:
    Store &m_store;
    Runs &m_runs;
    Fabric &m_fabric;
    std::unique_ptr<Listener> m_listener;
    std::string m_zone, m_domain, m_address, m_id, m_goneId;
    std::int64_t m_goneAtMs = 0;
    /** The open order that was left unanswered, the group that it opens, and when it came. */
    std::string m_lateOrder, m_lateGroup;
    std::int64_t m_lateCameMs = 0;
    bool m_hasClosed = false, m_leavesNextJoin = false;
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
inline std::string modelConfigText(int size, const EngineOptions &options, bool isResumable = true, std::int64_t timeoutMs = 5'000)
{
    const json::object stream{{"name", "order-answer"}, {"host", "shop.example"}, {"pathPrefix", "/answer/"}, {"routeType", "streaming"}, {"service", "llm"},
                              {"timeoutMs", timeoutMs}, {"latencyTargetMs", 400}, {"itlTargetMs", 300}, {"priority", 1}, {"maxAttempts", 2}, {"sticky", true},
                              {"resumable", isResumable}};
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

inline std::string answerRequest(const std::string &id, std::int64_t deadlineMs)
{
    std::string text = requestText("POST", "/answer/x", id, CallerKey, deadlineMs, "question " + id);
    return text.insert(text.find("Content-Length"), "Model: m\r\nToken-Usage: 100,32\r\nPrompt-Prefix: 1:90,2:10\r\n");
}

/** Sends requests until a group serves; traffic has begun then. */
inline bool waitUntilServed(const Options &options, Fabric &fabric)
{
    const std::int64_t untilMs = nowMs() + 20'000;
    for (int number = 1; sendOnce(options.entries.front(), answerRequest("first-" + std::to_string(number), 5'000), 5'500) != 200; ++number) {
        if (nowMs() > untilMs) {
            record("no group serves");
            return false;
        }
        sleepMs(200);
    }
    const Lock lock(fabric.mutex);
    fabric.hasTraffic = true;
    return true;
}
}
