// Engines spoil the bytes of one event in some of their answers. Each stream that is answered as complete must have every event once.

#include "../engines.hh"

namespace review
{
namespace
{
constexpr int Engines = 12;
constexpr int GroupSize = 2;
constexpr int Clients = 30;
constexpr std::int64_t TrafficMs = 40'000;
constexpr std::int64_t DeadlineMs = 5'000;

struct Seen
{
    std::atomic<int> sent{0}, complete{0}, failed{0}, wrong{0};
};

/** Returns the ids of the events in @p body, in order. */
std::vector<int> eventIds(const std::string &body)
{
    std::vector<int> ids;
    for (std::size_t at = 0; (at = body.find("id: ", at)) != std::string::npos; ++at) {
        ids.push_back(std::atoi(body.c_str() + at + 4));
    }
    return ids;
}

void check(const std::string &id, const Message &reply, int events, Seen &seen)
{
    const std::vector<int> ids = eventIds(reply.body);
    std::string text;
    bool isWhole = static_cast<int>(ids.size()) == events;
    for (std::size_t i = 0; i < ids.size(); ++i) {
        isWhole = isWhole && ids[i] == static_cast<int>(i);
        text += (i > 0 ? "," : "") + std::to_string(ids[i]);
    }
    ++seen.complete;
    if (!isWhole) {
        ++seen.wrong;
        record("ORDER: %s was answered 200 with Server-Stamp %s and ended as complete, with the events %s instead of 0 to %d", id.c_str(),
               reply.field("Server-Stamp").c_str(), text.c_str(), events - 1);
    }
}

void runClient(const Options &options, int number, int events, std::int64_t untilMs, Seen &seen)
{
    for (int i = 1; nowMs() < untilMs; ++i) {
        const std::string id = "client-" + std::to_string(number) + "-" + std::to_string(i);
        const ChannelPtr channel = connectTo(options.entries[static_cast<std::size_t>(number + i) % options.entries.size()]);
        ++seen.sent;
        if (channel == nullptr || !channel->send(answerRequest(id, DeadlineMs))) {
            ++seen.failed;
            continue;
        }
        const std::optional<Message> reply = readMessage(*channel, nowMs() + DeadlineMs + 500);
        if (reply && reply->status == 200) {
            check(id, *reply, events, seen);
        } else {
            ++seen.failed;
            record("%s: %s", id.c_str(), reply ? ("status " + std::to_string(reply->status)).c_str() : "broken off, or no answer");
            sleepMs(100);
        }
    }
}

/** Half of the engines spoil some of their answers, in several episodes. */
void spoilAnswers(Fabric &fabric, const std::vector<ModelEngine *> &engines)
{
    constexpr double SpoiledShare = 0.03;
    constexpr int Episodes = 5;
    constexpr std::int64_t EpisodeMs = 6'000;
    constexpr std::int64_t PauseMs = 1'500;
    const auto spoil = [&](double share) {
        const Lock lock(fabric.mutex);
        for (std::size_t i = 0; i < engines.size(); i += 2) {
            engines[i]->m_spoiledShare = share;
        }
    };
    for (int episode = 1; episode <= Episodes; ++episode) {
        record("half of the engines spoil 3 in 100 of their answers for %lld ms", static_cast<long long>(EpisodeMs));
        spoil(SpoiledShare);
        sleepMs(EpisodeMs);
        spoil(0.0);
        sleepMs(PauseMs);
    }
}

int scenario(const Options &options)
{
    // Not freed: the threads of the stand-ins use them until the process ends.
    Store &store = *new Store(options.storePort);
    Runs &runs = *new Runs;
    Fabric &fabric = *new Fabric;
    EngineOptions engineOptions;
    engineOptions.eventsPerPass = 4;
    store.put("op/config", modelConfigText(GroupSize, engineOptions));
    std::vector<ModelEngine *> engines;
    for (int i = 0; i < Engines; ++i) {
        const std::string zone = "zone-" + std::to_string(i % 3 + 1);
        engines.push_back(new ModelEngine(store, runs, fabric, zone, "domain-" + zone, engineOptions));
    }
    if (!waitUntilReady(options, 15'000) || !waitUntilServed(options, fabric)) {
        return CannotRun;
    }
    Seen seen;
    std::vector<std::thread> clients;
    for (int number = 1; number <= Clients; ++number) {
        clients.emplace_back(runClient, std::cref(options), number, engineOptions.events, nowMs() + TrafficMs, std::ref(seen));
    }
    if (options.trouble) {
        spoilAnswers(fabric, engines);
    }
    for (std::thread &client : clients) {
        client.join();
    }
    record("result: %d streams sent, %d answered as complete, %d failed; %d of the complete ones lack events", seen.sent.load(), seen.complete.load(),
           seen.failed.load(), seen.wrong.load());
    if (seen.complete < seen.sent / 2) {
        return CannotRun;
    }
    return seen.wrong > 0 ? Broken : Held;
}
}
}

int main(int argc, char **argv)
{
    return review::runScenario(argc, argv, review::scenario);
}
