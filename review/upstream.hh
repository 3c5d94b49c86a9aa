// Stand-in for an upstream of a plain service.

#pragma once

#include "store.hh"

namespace review
{
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
    void setExtraShare(double share)
    {
        const Lock lock(m_slotMutex);
        m_options.extraShare = share;
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
}
