// Problem: tests need upstreams that a request ends, as processes see it: connections reset, the address not listening, another id afterwards.
// Approach: sockets of its own instead of HttpServer, so that a crash can reset all of them and an answer can break the protocol.

#include "standins/hostingengine.h"

#include "net/jsonfields.h"
#include "platform/callheaders.h"
#include "platform/names.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <sstream>
#include <utility>

namespace knapweedslip::standin
{
namespace json = boost::json;

namespace
{
constexpr unsigned NotExecutedStatus = 503;
constexpr unsigned FailedStatus = 500;
constexpr unsigned MisdirectedStatus = 421;
/** Longest body of a request: as long as clients may send by default (operators' configuration). */
constexpr std::size_t MaxRequestBytes = 4 * 1024 * 1024;
constexpr const char *CrashWord = "CRASH";
constexpr const char *CrashInAnswerWord = "CRASH-IN-ANSWER";
constexpr const char *CrashInEventWord = "CRASH-IN-EVENT";
constexpr const char *UnsizedWord = "UNSIZED";
constexpr const char *CrashSilentWord = "CRASH-SILENT";
constexpr const char *CrashDarkWord = "CRASH-DARK";
constexpr std::string_view EndlessWord = "ENDLESS-";
constexpr const char *WorksWord = "WORKS-";
constexpr const char *PausesWord = "PAUSES-";
constexpr const char *PaddedWord = "PADDED-";

/** Path prefixes of the plain service whose answers are streams. */
constexpr std::string_view DigestPrefix = "/digest/";
constexpr std::string_view NoticePrefix = "/notice/";

/** Time between an answer and its copy on the idle connection, in ms. */
constexpr std::int64_t IdleCopyMs = 2;

bool contains(const std::string &text, const char *word)
{
    return text.find(word) != std::string::npos;
}

/** Returns the number that follows @p word in @p text, or @p fallback if the word is not there. */
std::int64_t numberAfter(const std::string &text, const char *word, std::int64_t fallback)
{
    const std::size_t found = text.find(word);
    return found == std::string::npos ? fallback : std::strtoll(text.c_str() + found + std::strlen(word), nullptr, 10);
}

/** Returns the part that the word in @p text names, or std::nullopt if it has no such word. */
std::optional<EndlessPart> endlessPart(const std::string &text)
{
    const std::size_t found = text.find(EndlessWord);
    if (found == std::string::npos) {
        return std::nullopt;
    }
    std::string name;
    for (std::size_t i = found + EndlessWord.size(); i < text.size() && std::isupper(static_cast<unsigned char>(text[i])) != 0; ++i) {
        name += static_cast<char>(std::tolower(static_cast<unsigned char>(text[i])));
    }
    return enumFromName<EndlessPart>(EndlessPartNames, name);
}

/** Returns @p text several times, so that it is sent in few writes. */
std::string manyTimes(const std::string &text)
{
    constexpr std::size_t BlockBytes = 16 * 1024;
    std::string block;
    while (block.size() < BlockBytes) {
        block += text;
    }
    return block;
}

/** Returns the words of all parts of the prompt but the last. */
std::string wordsOfParts(const HttpRequest &request, const PartWords &partWords)
{
    const std::string prompt = "," + std::string(headerValue(request.m_headers, platform::header::PromptParts));
    const std::size_t last = prompt.rfind(',');
    std::string words;
    for (const std::pair<const std::string, std::string> &part : partWords) {
        words += prompt.find("," + part.first + ":") < last ? " " + part.second : std::string();
    }
    return words;
}

/** Returns the head of an answer that ends with its connection. */
std::string unsizedHead(const HttpRequest &request, const std::string &moreLines)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + std::string(platform::header::RequestId) + ": "
           + std::string(headerValue(request.m_headers, platform::header::RequestId)) + "\r\n" + platform::header::Signature + ": stand-in\r\n" + moreLines
           + "\r\n";
}

/** Calls a function at the end of a scope. */
class ScopeExit
{
public:
    explicit ScopeExit(std::function<void()> action)
        : m_action(std::move(action))
    {
    }
    ~ScopeExit()
    {
        m_action();
    }
    ScopeExit(const ScopeExit &) = delete;
    ScopeExit &operator=(const ScopeExit &) = delete;

private:
    std::function<void()> m_action;
};

std::string describeRequest(const HttpRequest &request, const std::string &engine)
{
    return "\"engine\":\"" + engine + "\",\"attempt\":\"" + std::string(headerValue(request.m_headers, platform::header::RequestId)) + "\",\"path\":\""
           + request.m_target + "\",\"crashes\":" + (contains(request.m_body, CrashWord) ? "true" : "false");
}
}

struct HostingEngine::Connection
{
    explicit Connection(Tcp::socket socket)
        : m_stream(std::move(socket))
    {
    }

    awaitable<bool> write(std::string text)
    {
        const auto [error, size] = co_await asio::async_write(m_stream, asio::buffer(text), UseTuple);
        co_return !error;
    }

    static std::string toText(const HttpReply &reply, const HttpRequest &request)
    {
        http::response<http::string_body> message(static_cast<http::status>(reply.m_status), 11);
        message.set(platform::header::RequestId, std::string(headerValue(request.m_headers, platform::header::RequestId)));
        for (const std::pair<std::string, std::string> &field : reply.m_headers) {
            message.set(field.first, field.second);
        }
        message.body() = reply.m_body;
        message.prepare_payload();
        std::ostringstream text;
        text << message;
        return text.str();
    }

    awaitable<bool> respond(const HttpReply &reply, const HttpRequest &request)
    {
        std::string text = toText(reply, request);
        co_return co_await write(std::move(text));
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    /** Copy of an earlier answer, which comes before the next one. */
    std::string m_lateCopy;
};

HostingEngine::HostingEngine(asio::io_context &io,
                             HostingStore &store,
                             History &history,
                             const PartWords &partWords,
                             const std::string &address,
                             UpstreamEntry entry,
                             HostingEngineTimes times)
    : m_io(io)
    , m_store(store)
    , m_history(history)
    , m_partWords(partWords)
    , m_address(address)
    , m_entry(std::move(entry))
    , m_times(times)
    , m_random(std::hash<std::string>()(address))
{
}

std::string HostingEngine::entryText(std::int64_t count) const
{
    json::object object{{"service", m_entry.m_service},
                        {"address", m_address},
                        {"zone", m_entry.m_availabilityZone},
                        {"version", "1"},
                        {"slots", m_entry.m_slots},
                        {"state", m_words.m_listedAsLeaving ? "draining" : "ready"},
                        {"coldLeftMs", 0},
                        {"born", m_entry.m_startedMs},
                        {"seq", count}};
    if (!m_entry.m_domain.empty()) {
        object["domain"] = m_entry.m_domain;
        object["modelList"] = json::array();
        json::array staged;
        for (const std::string &model : m_entry.m_stagedModels) {
            staged.emplace_back(model);
        }
        object["staged"] = std::move(staged);
        if (!m_entry.m_replica.empty()) {
            object["group"] = json::object{{"name", m_entry.m_replica.m_name},
                                           {"epoch", m_entry.m_replica.m_epoch},
                                           {"rank", m_entry.m_rank},
                                           {"state", std::string(enumName(MemberPhaseNames, m_entry.m_phase))}};
        }
    }
    return json::serialize(object);
}

void HostingEngine::setWords(const HostingEngineWords &words)
{
    const std::string key = std::string(platform::key::Upstream) + m_entry.m_id;
    if (words.m_lateReportMs > 0) {
        // The write was made before the words, and is carried out after them.
        ++m_writes;
        asio::co_spawn(m_io, publishLate(key, entryText(m_writes), words.m_lateReportMs), asio::detached);
    }
    m_words = words;
    m_words.m_quietUntilMs = 0;
    publish();
    m_words.m_quietUntilMs = words.m_quietUntilMs;
    if (words.m_unlisted) {
        hostingRemove(m_store, key);
    }
}

void HostingEngine::setFaults(const AnswerFaults &faults)
{
    m_faults = faults;
}

bool HostingEngine::happens(double share)
{
    return std::uniform_real_distribution<double>()(m_random) < share;
}

awaitable<void> HostingEngine::breakOff(Connection &connection, std::string text, std::size_t end)
{
    std::uniform_int_distribution<std::size_t> anyByte(0, end - 1);
    text.resize(anyByte(m_random));
    co_await connection.write(std::move(text));
    const bool resets = happens(0.5);
    boost::system::error_code ignored;
    connection.m_stream.socket().set_option(asio::socket_base::linger(resets, 0), ignored);
    connection.m_stream.socket().close(ignored);
}

awaitable<void> HostingEngine::answerWithoutEnd(Connection &connection, const HttpRequest &request, EndlessPart part)
{
    const std::string chunked = unsizedHead(request, "Transfer-Encoding: chunked\r\n");
    std::string head;
    std::string block = manyTimes("x");
    switch (part) {
    case EndlessPart::Head:
        head = "HTTP/1.1 200 OK\r\nX-Filler: ";
        break;
    case EndlessPart::Fields:
        head = "HTTP/1.1 200 OK\r\n";
        block = manyTimes("X-Filler: x\r\n");
        break;
    case EndlessPart::Informational:
        block = manyTimes("HTTP/1.1 100 Continue\r\n\r\n");
        break;
    case EndlessPart::Size:
        head = chunked + "5;";
        break;
    case EndlessPart::Trailer:
        head = chunked + "0\r\n";
        block = manyTimes("X-Filler: x\r\n");
        break;
    case EndlessPart::Body:
        head = unsizedHead(request, {});
        break;
    case EndlessPart::Chunks:
        head = chunked;
        block = manyTimes("4\r\nxxxx\r\n");
        break;
    }
    const std::uint64_t lifetime = m_lifetime;
    bool open = co_await connection.write(head);
    std::uint64_t bytes = 0;
    while (open && lifetime == m_lifetime && m_alive) {
        open = co_await connection.write(block);
        bytes += open ? block.size() : 0;
    }
    record(m_history, "endless", describeRequest(request, m_entry.m_id) + ",\"bytes\":" + std::to_string(bytes));
}

awaitable<void> HostingEngine::answerLeader(Connection &connection, HttpReply reply, HttpRequest request)
{
    if (!m_times.m_namesOrders) {
        // Answers name the request by what its header says.
        request.m_headers.clear();
    }
    const bool isOrder = pathOf(request.m_target) == platform::path::Order;
    const std::optional<EndlessPart> endless = isOrder ? m_faults.m_endlessOrderReply : m_faults.m_endlessReport;
    if (endless) {
        co_await answerWithoutEnd(connection, request, *endless);
        co_return;
    }
    if (happens(m_faults.m_brokenReplyShare)) {
        std::string text = Connection::toText(reply, request);
        const std::size_t end = text.size();
        co_await breakOff(connection, std::move(text), end);
        co_return;
    }
    if (happens(m_faults.m_copiedControlShare)) {
        connection.m_lateCopy = Connection::toText(reply, request);
    }
    co_await respond(connection, std::move(reply), request);
}

awaitable<void> HostingEngine::answerClient(Connection &connection, HttpReply reply, const HttpRequest &request, double copiedShare)
{
    if (m_words.m_leaving) {
        reply.m_headers.emplace_back(platform::header::Leaving, "1");
    }
    std::string text = Connection::toText(reply, request);
    if (happens(m_faults.m_brokenHeadShare)) {
        const std::size_t headEnd = text.find("\r\n\r\n") + 4;
        record(m_history, "broke-off", describeRequest(request, m_entry.m_id));
        co_await breakOff(connection, std::move(text), headEnd);
        co_return;
    }
    if (happens(m_faults.m_cutShare)) {
        text.resize(text.size() - 1);
        co_await connection.write(std::move(text));
        boost::system::error_code ignored;
        connection.m_stream.socket().shutdown(Tcp::socket::shutdown_both, ignored);
        co_return;
    }
    std::string copy = happens(copiedShare) ? text : std::string();
    co_await connection.write(std::move(text));
    if (!copy.empty() && m_faults.m_copiesWhileIdle) {
        co_await sleepFor(IdleCopyMs);
        co_await connection.write(std::move(copy));
    } else {
        connection.m_lateCopy = std::move(copy);
    }
}

const UpstreamEntry &HostingEngine::entry() const
{
    return m_entry;
}

std::string HostingEngine::headerLines() const
{
    return m_words.m_leaving ? std::string(platform::header::Leaving) + ": 1\r\n" : std::string();
}

awaitable<void> HostingEngine::respond(Connection &connection, HttpReply reply, const HttpRequest &request)
{
    if (m_words.m_leaving) {
        reply.m_headers.emplace_back(platform::header::Leaving, "1");
    }
    co_await connection.respond(reply, request);
}

void HostingEngine::publish()
{
    if (m_words.m_unlisted || steadyMs() < m_words.m_quietUntilMs) {
        return;
    }
    ++m_writes;
    hostingPut(m_store, std::string(platform::key::Upstream) + m_entry.m_id, entryText(m_writes));
}

awaitable<void> HostingEngine::publishLate(std::string key, std::string text, std::int64_t afterMs)
{
    co_await sleepFor(afterMs);
    hostingPut(m_store, key, text);
}

void HostingEngine::publishAgain()
{
    if (m_alive) {
        publish();
    }
}

awaitable<void> HostingEngine::publishFirst(std::uint64_t lifetime)
{
    if (m_times.m_registerMs > 0) {
        co_await sleepFor(m_times.m_registerMs);
    }
    if (m_alive && m_lifetime == lifetime) {
        publish();
    }
}

awaitable<void> HostingEngine::removeAfterMissedHeartbeats(std::string id, std::uint64_t lifetime)
{
    constexpr int HeartbeatsUntilRemoval = 3;
    co_await sleepFor(HeartbeatsUntilRemoval * m_times.m_heartbeatMs);
    const bool isWrittenAgain = m_entry.m_id == id && m_lifetime != lifetime && m_writes > 0;
    if (!isWrittenAgain) {
        hostingRemove(m_store, std::string(platform::key::Upstream) + id);
    }
}

void HostingEngine::beginLifetime()
{
    ++m_lifetime;
    m_alive = true;
    m_orders = 0;
    m_writes = 0;
    m_fence = 0;
    m_words = {};
    if (m_entry.m_id.empty() || !m_times.m_keepsId) {
        m_entry.m_id = "i-" + toHex(randomId());
    }
    m_entry.m_startedMs = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    m_entry.m_replica = {};
    m_entry.m_rank = -1;
    m_entry.m_phase = MemberPhase::None;
    m_members.clear();
    m_highestEpoch = 0;
    m_stalledMs = -1;
    m_runningRequests = std::make_shared<int>(0);
    if (m_cluster != nullptr) {
        m_cluster->m_engines[m_entry.m_id] = this;
    }
    const Tcp::endpoint endpoint = valueOf(parseEndpoint(m_address));
    // The acceptor of a predecessor that stood still has the address.
    m_acceptor.reset();
    m_acceptor = std::make_shared<Tcp::acceptor>(m_io, endpoint, true);
    record(m_history, "started", "\"engine\":\"" + m_entry.m_id + "\"");
    asio::co_spawn(m_io, publishFirst(m_lifetime), asio::detached);
    asio::co_spawn(m_io, acceptConnections(m_acceptor, m_lifetime), asio::detached);
}

void HostingEngine::crash(const HttpRequest &cause)
{
    record(m_history, "ended", describeRequest(cause, m_entry.m_id) + ",\"connections\":" + std::to_string(m_connections.size()));
    m_alive = false;
    if (m_cluster != nullptr) {
        m_cluster->m_engines.erase(m_entry.m_id);
    }
    boost::system::error_code ignored;
    const bool isDark = contains(cause.m_body, CrashDarkWord);
    if (isDark || contains(cause.m_body, CrashSilentWord)) {
        // An acceptor that only stops accepting still lets the system complete connections.
        isDark ? m_acceptor->cancel(ignored) : m_acceptor->close(ignored);
        asio::co_spawn(m_io, keepSilent(std::exchange(m_connections, {})), asio::detached);
        return;
    }
    m_acceptor->close(ignored);
    for (const ConnectionPtr &connection : m_connections) {
        // The system closes the connections of a process that exits; those of one that is killed with unread bytes are reset.
        const bool resets = !contains(cause.m_body, CrashInAnswerWord) && !contains(cause.m_body, CrashInEventWord);
        connection->m_stream.socket().set_option(asio::socket_base::linger(resets, 0), ignored);
        connection->m_stream.socket().close(ignored);
    }
    m_connections.clear();
}

void HostingEngine::loseProcess()
{
    if (m_alive) {
        crash(HttpRequest());
    }
}

awaitable<void> HostingEngine::keepSilent(std::set<ConnectionPtr> connections)
{
    co_await sleepFor(m_times.m_silentMs);
    for (const ConnectionPtr &connection : connections) {
        boost::system::error_code ignored;
        connection->m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        connection->m_stream.socket().close(ignored);
    }
}

awaitable<void> HostingEngine::run()
{
    constexpr std::int64_t PollMs = 20;
    while (true) {
        beginLifetime();
        std::int64_t heartbeatMs = steadyMs();
        while (m_alive) {
            co_await sleepFor(PollMs);
            if (m_alive) {
                updateGroup();
            }
            if (m_alive && steadyMs() - heartbeatMs >= m_times.m_heartbeatMs) {
                heartbeatMs = steadyMs();
                if (m_times.m_hidesHeartbeats) {
                    ++m_writes;
                } else {
                    publish();
                }
            }
        }
        asio::co_spawn(m_io, removeAfterMissedHeartbeats(m_entry.m_id, m_lifetime), asio::detached);
        co_await sleepFor(m_times.m_restartMs);
    }
}

awaitable<void> HostingEngine::acceptConnections(std::shared_ptr<Tcp::acceptor> acceptor, std::uint64_t lifetime)
{
    while (true) {
        auto [error, socket] = co_await acceptor->async_accept(UseTuple);
        if (error) {
            co_return;
        }
        boost::system::error_code ignored;
        socket.set_option(Tcp::no_delay(true), ignored);
        const ConnectionPtr connection = std::make_shared<Connection>(std::move(socket));
        m_connections.insert(connection);
        asio::co_spawn(m_io, serve(connection, lifetime), asio::detached);
    }
}

awaitable<void> HostingEngine::serve(ConnectionPtr connection, std::uint64_t lifetime)
{
    while (lifetime == m_lifetime && m_alive) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(MaxRequestBytes);
        const auto [error, size] = co_await http::async_read(connection->m_stream, connection->m_buffer, parser, UseTuple);
        if (error || lifetime != m_lifetime || !m_alive) {
            break;
        }
        HttpRequest request;
        request.m_method = std::string(parser.get().method_string());
        request.m_target = std::string(parser.get().target());
        for (const http::fields::value_type &field : parser.get()) {
            request.m_headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
        }
        request.m_body = parser.get().body();
        request.m_body += wordsOfParts(request, m_partWords);
        if (!connection->m_lateCopy.empty()) {
            record(m_history, "late-copy", describeRequest(request, m_entry.m_id));
            std::string copy = std::exchange(connection->m_lateCopy, {});
            co_await connection->write(std::move(copy));
        }
        co_await serveRequest(*connection, request, lifetime);
    }
    m_connections.erase(connection);
}

void HostingEngine::setCluster(HostingCluster &cluster)
{
    m_cluster = &cluster;
}

void HostingEngine::enterPhaseLater(MemberPhase phase, std::int64_t afterMs)
{
    asio::co_spawn(
        m_io,
        [](HostingEngine &engine, MemberPhase next, std::int64_t waitMs, std::uint64_t lifetime, ReplicaRef replica) -> awaitable<void> {
            co_await sleepFor(waitMs);
            if (engine.m_alive && engine.m_lifetime == lifetime && engine.m_entry.m_replica == replica) {
                engine.m_entry.m_phase = next;
                if (next == MemberPhase::Ready && engine.m_cluster != nullptr) {
                    engine.m_cluster->m_ready.insert({engine.m_entry.m_id, replica});
                }
                engine.publish();
            }
        }(*this, phase, afterMs, m_lifetime, m_entry.m_replica),
        asio::detached);
}

bool HostingEngine::delayOrder(const std::string &body)
{
    if (!happens(m_faults.m_lateOrderShare)) {
        return false;
    }
    const bool isLate = happens(0.5);
    const std::int64_t afterMs = isLate ? std::uniform_int_distribution<std::int64_t>(0, m_faults.m_lateOrderMs)(m_random) : 0;
    asio::co_spawn(
        m_io,
        [](HostingEngine &engine, std::string order, std::int64_t waitMs, std::uint64_t lifetime) -> awaitable<void> {
            if (waitMs > 0) {
                co_await sleepFor(waitMs);
            }
            if (engine.m_alive && engine.m_lifetime == lifetime) {
                record(engine.m_history, "late-order", "\"engine\":\"" + engine.m_entry.m_id + "\",\"late_ms\":" + std::to_string(waitMs));
                engine.executeOrder(order);
            }
        }(*this, body, afterMs, m_lifetime),
        asio::detached);
    return true;
}

void HostingEngine::recordJoin(const ReplicaRef &replica)
{
    const auto describe = [](const ReplicaRef &ref) {
        return ref.m_name + "/" + std::to_string(ref.m_epoch);
    };
    const std::string fields = "\"engine\":\"" + m_entry.m_id + "\",\"group\":\"" + describe(replica) + "\",\"from\":\"" + describe(m_entry.m_replica) + "\"";
    record(m_history, "joined", fields);
    if (m_cluster == nullptr || m_members.empty() || m_entry.m_replica.empty()) {
        return;
    }
    const auto head = m_cluster->m_engines.find(m_members.front());
    const bool isInGroup = head != m_cluster->m_engines.end() && head->second->m_entry.m_replica == m_entry.m_replica;
    const MemberPhase phase = isInGroup ? head->second->m_entry.m_phase : MemberPhase::None;
    if (phase == MemberPhase::Open || phase == MemberPhase::Closing) {
        record(m_history, "two", fields + ",\"head\":\"" + m_members.front() + "\",\"phase\":\"" + std::string(enumName(MemberPhaseNames, phase)) + "\"");
    }
}

HttpReply HostingEngine::join(const ReplicaRef &replica, const std::vector<std::string> &members)
{
    if (m_entry.m_replica == replica) {
        if (m_cluster != nullptr && members != m_members) {
            return jsonReply(412, "{}");
        }
        return jsonReply(m_entry.m_phase == MemberPhase::Joining ? 202 : 200, "{}");
    }
    if (replica.m_epoch < m_highestEpoch) {
        return jsonReply(412, "{}");
    }
    recordJoin(replica);
    ++m_orders;
    m_highestEpoch = replica.m_epoch;
    m_members = members;
    m_stalledMs = -1;
    m_entry.m_replica = replica;
    m_entry.m_rank = m_cluster == nullptr ? 0 : static_cast<int>(std::find(members.begin(), members.end(), m_entry.m_id) - members.begin());
    m_entry.m_phase = MemberPhase::Joining;
    enterPhaseLater(MemberPhase::Ready, m_times.m_joinMs);
    return jsonReply(202, "{}");
}

HttpReply HostingEngine::executeOrder(const std::string &body)
{
    const json::object order = parseJsonObject(body);
    const std::string kind = stringField(order, "op");
    const ReplicaRef replica{stringField(order, "group"), static_cast<std::uint64_t>(integerField(order, "epoch"))};
    if (integerField(order, "fencingToken") < m_fence) {
        return jsonReply(412, "{}");
    }
    if (integerField(order, "precondition", m_orders) != m_orders) {
        return jsonReply(409, "{}");
    }
    m_fence = integerField(order, "fencingToken");
    if (kind == "join") {
        std::vector<std::string> members;
        const json::value *listed = order.if_contains("members");
        for (const json::value &member : listed != nullptr && listed->is_array() ? listed->as_array() : json::array()) {
            members.push_back(json::value_to<std::string>(member));
        }
        return join(replica, members);
    }
    if (kind == "phase") {
        m_entry.m_stagedModels = {stringField(order, "modelName")};
        publish();
        return jsonReply(200, "{}");
    }
    if (!(m_entry.m_replica == replica)) {
        return jsonReply(409, "{}");
    }
    if (kind == "open") {
        if (m_entry.m_phase == MemberPhase::Open) {
            return jsonReply(200, "{}");
        }
        if (m_entry.m_phase != MemberPhase::Ready || m_entry.m_rank != 0) {
            return jsonReply(409, "{}");
        }
        ++m_orders;
        record(m_history, "opens", "\"engine\":\"" + m_entry.m_id + "\",\"group\":\"" + replica.m_name + "/" + std::to_string(replica.m_epoch) + "\"");
        enterPhaseLater(MemberPhase::Open, m_times.m_openMs);
        return jsonReply(202, "{}");
    }
    ++m_orders;
    if (kind == "close") {
        // The requests of a group that closes without waiting are cut off by waitForGroup().
        const bool waits = m_cluster != nullptr && *m_runningRequests > 0 && stringField(order, "closeMode") == "queue";
        const bool isServing = m_entry.m_phase == MemberPhase::Open || m_entry.m_phase == MemberPhase::Closing;
        m_entry.m_phase = waits && isServing ? MemberPhase::Closing : MemberPhase::Ready;
        publish();
        return jsonReply(m_entry.m_phase == MemberPhase::Closing ? 202 : 200, "{}");
    }
    m_entry.m_replica = {};
    m_entry.m_phase = MemberPhase::None;
    m_members.clear();
    publish();
    return jsonReply(200, "{}");
}

bool HostingEngine::isGroupComplete() const
{
    if (m_cluster == nullptr) {
        return true;
    }
    return std::all_of(m_members.begin(), m_members.end(), [this](const std::string &member) {
        const auto found = m_cluster->m_engines.find(member);
        return found != m_cluster->m_engines.end() && found->second->m_entry.m_replica == m_entry.m_replica;
    });
}

void HostingEngine::updateGroup()
{
    const bool serves = m_entry.m_phase == MemberPhase::Open || m_entry.m_phase == MemberPhase::Closing;
    if (!serves || isGroupComplete()) {
        m_stalledMs = -1;
    } else if (m_stalledMs < 0) {
        m_stalledMs = steadyMs();
    } else if (steadyMs() - m_stalledMs > m_times.m_stallMs) {
        m_entry.m_phase = MemberPhase::Broken;
        publish();
    }
    if (m_entry.m_phase == MemberPhase::Closing && *m_runningRequests == 0) {
        m_entry.m_phase = MemberPhase::Ready;
        publish();
    }
}

awaitable<bool> HostingEngine::waitForGroup(std::uint64_t lifetime)
{
    constexpr std::int64_t PollMs = 20;
    while (lifetime == m_lifetime && m_alive && m_stalledMs >= 0) {
        co_await sleepFor(PollMs);
    }
    const bool serves = m_entry.m_domain.empty() || m_entry.m_phase == MemberPhase::Open || m_entry.m_phase == MemberPhase::Closing;
    co_return lifetime == m_lifetime &&m_alive &&serves;
}

void HostingEngine::recordMembers(const HttpRequest &request)
{
    if (m_cluster == nullptr) {
        return;
    }
    for (const std::string &member : m_members) {
        if (m_cluster->m_ready.count({member, m_entry.m_replica}) == 0) {
            record(m_history, "partial", describeRequest(request, m_entry.m_id) + ",\"member\":\"" + member + "\"");
        }
    }
}

awaitable<void> HostingEngine::answerResumed(Connection &connection, const HttpRequest &request)
{
    const ResumedReply kind = m_faults.m_resumedReply;
    record(m_history, "answered-otherwise", describeRequest(request, m_entry.m_id));
    if (kind == ResumedReply::Closed) {
        std::string head = unsizedHead(request, headerLines());
        co_await connection.write(std::move(head));
        boost::system::error_code ignored;
        connection.m_stream.socket().shutdown(Tcp::socket::shutdown_both, ignored);
        co_return;
    }
    HttpReply reply;
    reply.m_status = kind == ResumedReply::ErrorText ? 200 : kind == ResumedReply::Refusal ? NotExecutedStatus : FailedStatus;
    reply.m_body = "ERROR: the engine has failed\n\n";
    if (kind == ResumedReply::Refusal) {
        reply.m_headers.emplace_back(platform::header::NotRun, "1");
    } else if (kind != ResumedReply::Error) {
        reply.m_headers.emplace_back(platform::header::Signature, "stand-in");
    }
    co_await respond(connection, std::move(reply), request);
}

awaitable<void> HostingEngine::streamEvents(Connection &connection, const HttpRequest &request, std::uint64_t lifetime)
{
    const platform::CallerHeaders caller = platform::decodeCallerHeaders(request);
    if (caller.m_lastEventId && m_faults.m_resumedReply != ResumedReply::Events) {
        co_await answerResumed(connection, request);
        co_return;
    }
    std::uniform_int_distribution<std::int64_t> anyEvent(0, m_times.m_events - 1);
    const std::int64_t spoilt = !caller.m_lastEventId && happens(m_faults.m_spoiltStreamShare) ? anyEvent(m_random) : -1;
    const std::int64_t broken = !caller.m_lastEventId && happens(m_faults.m_brokenStreamShare) ? anyEvent(m_random) : -1;
    const std::int64_t eventMs = numberAfter(request.m_body, PausesWord, m_times.m_eventMs);
    const std::string token = "token" + std::string(static_cast<std::size_t>(numberAfter(request.m_body, PaddedWord, 0)), 'x');
    const bool isUnsized = contains(request.m_body, UnsizedWord);
    const std::string head = unsizedHead(request, headerLines() + (isUnsized ? "" : "Transfer-Encoding: chunked\r\n"));
    if (happens(m_faults.m_brokenHeadShare)) {
        record(m_history, "broke-off", describeRequest(request, m_entry.m_id));
        co_await breakOff(connection, head, head.size());
        co_return;
    }
    bool open = co_await connection.write(head);
    for (std::int64_t event = caller.m_lastEventId.value_or(-1) + 1; open && event < m_times.m_events;) {
        const std::int64_t passEnd = std::min<std::int64_t>(event + m_times.m_eventsPerPass, m_times.m_events);
        const std::int64_t events = passEnd - event;
        const bool breaks = event <= broken && broken < passEnd;
        std::string text;
        for (; event < passEnd; ++event) {
            text += event == spoilt ? "\x01?\xfe: #\n\x02\n\n" : "id: " + std::to_string(event) + "\ndata: " + token + "\n\n";
        }
        if (breaks && isUnsized) {
            // Only an end inside an event tells such a stream from a whole one.
            text.resize(text.size() - 3);
        }
        std::array<char, 32> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
        const std::string chunk = isUnsized ? text : size.data() + text + "\r\n";
        open = co_await connection.write(chunk);
        if (breaks) {
            boost::system::error_code ignored;
            connection.m_stream.socket().shutdown(Tcp::socket::shutdown_both, ignored);
            co_return;
        }
        co_await sleepFor(eventMs * events);
        const bool goesOn = co_await waitForGroup(lifetime);
        if (lifetime != m_lifetime || !m_alive) {
            co_return;
        }
        if (!goesOn) {
            boost::system::error_code ignored;
            connection.m_stream.socket().shutdown(Tcp::socket::shutdown_both, ignored);
            co_return;
        }
    }
    if (open) {
        record(m_history, "streamed", describeRequest(request, m_entry.m_id));
    }
    if (open && isUnsized) {
        boost::system::error_code ignored;
        connection.m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    } else if (open) {
        const std::string last = "0\r\n\r\n";
        co_await connection.write(last);
    }
}

awaitable<void> HostingEngine::serveRequest(Connection &connection, const HttpRequest &request, std::uint64_t lifetime)
{
    const std::string path(pathOf(request.m_target));
    const std::string_view expected = headerValue(request.m_headers, platform::header::ExpectUpstream);
    HttpReply reply;
    if (!expected.empty() && expected != m_entry.m_id) {
        reply.m_status = MisdirectedStatus;
        co_await respond(connection, std::move(reply), request);
        co_return;
    }
    if (path == platform::path::Report) {
        reply = jsonReply(200, entryText(m_orders));
        co_await answerLeader(connection, std::move(reply), request);
        co_return;
    }
    if (path == platform::path::Order) {
        if (delayOrder(request.m_body)) {
            co_return;
        }
        reply = executeOrder(request.m_body);
        co_await answerLeader(connection, std::move(reply), request);
        co_return;
    }
    const bool isEngine = !m_entry.m_domain.empty();
    if (isEngine && m_entry.m_rank > 0) {
        reply.m_status = MisdirectedStatus;
        co_await respond(connection, std::move(reply), request);
        co_return;
    }
    const bool goesOn = co_await waitForGroup(lifetime);
    if (lifetime != m_lifetime || !m_alive) {
        co_return;
    }
    if (!goesOn || (isEngine && m_entry.m_phase != MemberPhase::Open)) {
        reply.m_status = NotExecutedStatus;
        reply.m_headers.emplace_back(platform::header::NotRun, "1");
        co_await respond(connection, std::move(reply), request);
        co_return;
    }
    record(m_history, "arrived", describeRequest(request, m_entry.m_id));
    const std::int64_t turnAwayMs = m_words.m_turnAwayUntilMs - steadyMs();
    if (turnAwayMs > 0) {
        reply.m_status = NotExecutedStatus;
        reply.m_headers.emplace_back(platform::header::NotRun, "1");
        constexpr double MsPerSecond = 1'000.0;
        const std::string seconds = std::to_string(static_cast<double>(turnAwayMs) / MsPerSecond);
        reply.m_headers.emplace_back(platform::header::RetryAfter, m_words.m_retryAfter.empty() ? seconds : m_words.m_retryAfter);
        record(m_history, "turned-away", describeRequest(request, m_entry.m_id) + ",\"until_ms\":" + std::to_string(m_words.m_turnAwayUntilMs));
        co_await respond(connection, std::move(reply), request);
        co_return;
    }
    if (happens(m_faults.m_refusedShare)) {
        reply.m_status = NotExecutedStatus;
        reply.m_headers.emplace_back(platform::header::NotRun, "1");
        co_await answerClient(connection, std::move(reply), request, m_faults.m_copiedRefusalShare);
        co_return;
    }
    record(m_history, "ran", describeRequest(request, m_entry.m_id));
    recordMembers(request);
    ++*m_runningRequests;
    const ScopeExit ended([running = m_runningRequests]() {
        --*running;
    });
    const std::int64_t prefillMs = numberAfter(request.m_body, WorksWord, m_times.m_prefillMs);
    co_await sleepFor(prefillMs);
    if (lifetime != m_lifetime || !m_alive) {
        co_return;
    }
    if (contains(request.m_body, CrashInAnswerWord)) {
        const std::string head = unsizedHead(request, {});
        co_await connection.write(head);
    }
    if (contains(request.m_body, CrashInEventWord)) {
        const std::string text = unsizedHead(request, {}) + "id: 0\ndata: token\n\nid: 1\ndata: to";
        co_await connection.write(text);
        co_await sleepFor(m_times.m_eventMs);
    }
    if (contains(request.m_body, CrashWord)) {
        crash(request);
        co_return;
    }
    const std::optional<EndlessPart> endless = endlessPart(request.m_body);
    if (endless) {
        co_await answerWithoutEnd(connection, request, *endless);
        co_return;
    }
    if (m_words.m_leaving) {
        record(m_history, "said-leaving", describeRequest(request, m_entry.m_id));
    }
    const bool isStream = isEngine || path.starts_with(DigestPrefix) || path.starts_with(NoticePrefix);
    if (isStream) {
        co_await streamEvents(connection, request, lifetime);
        co_return;
    }
    if (happens(m_faults.m_resetShare)) {
        boost::system::error_code ignored;
        connection.m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
        connection.m_stream.socket().close(ignored);
        co_return;
    }
    reply = jsonReply(happens(m_faults.m_failedShare) ? m_faults.m_failedStatus : 200, R"({"done":true})");
    reply.m_headers.emplace_back(platform::header::Signature, "stand-in");
    co_await answerClient(connection, std::move(reply), request, m_faults.m_copiedAnswerShare);
}
}
