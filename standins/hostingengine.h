#pragma once

#include "kernel/enumnames.h"
#include "kernel/upstreams.h"
#include "net/http.h"
#include "standins/history.h"
#include "standins/hostingstore.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace knapweedslip::standin
{
/** Times of an engine, in ms. */
struct HostingEngineTimes
{
    /** From the arrival of a request until it begins to run. */
    std::int64_t m_prefillMs = 60;
    /** Between two events of a stream. */
    std::int64_t m_eventMs = 40;
    int m_events = 25;
    /** Events that are written at once, as one chunk. */
    int m_eventsPerPass = 1;
    /** How long the engine stays away after it has crashed. */
    std::int64_t m_restartMs = 2'000;
    /** An engine that has crashed comes back under its id. */
    bool m_keepsId = false;
    /** Its answers to orders and requests for reports name the request, if that has an id. */
    bool m_namesOrders = false;
    /** Time between the start of an engine and its first entry in the store. */
    std::int64_t m_registerMs = 0;
    /** How long the connections of an engine that has crashed silently stay open. */
    std::int64_t m_silentMs = 1'000;
    std::int64_t m_heartbeatMs = 1'200;
    /** Heartbeats only renew the entry, and the store shows no change. */
    bool m_hidesHeartbeats = false;
    /** Forming a group: joining, then opening. */
    std::int64_t m_joinMs = 100;
    std::int64_t m_openMs = 100;
    /** How long a group stands still without one of its members until it is broken. */
    std::int64_t m_stallMs = 2'000;
};

/** What an engine says of itself in its answers, beside its entry in the store. */
struct HostingEngineWords
{
    /** All answers say that the engine leaves. */
    bool m_leaving = false;
    /** The entry in the store says so too. */
    bool m_listedAsLeaving = false;
    /** The entry is removed, and the engine writes no other one. */
    bool m_unlisted = false;
    /** The entry as it was before is written once more after this time, in ms, as a write that is carried out late; 0 for never. */
    std::int64_t m_lateReportMs = 0;
    /** The engine writes nothing until this time. */
    std::int64_t m_quietUntilMs = 0;
    /** Requests are turned away until this time, with the time that is left. */
    std::int64_t m_turnAwayUntilMs = 0;
    /** Sent as Retry-After instead of the time that is left; empty if unused. */
    std::string m_retryAfter;
};

/** How an upstream answers a request to continue a stream. */
enum class ResumedReply {
    /** With the events that are left. */
    Events,
    /** With an error that it signs, one that it does not, and a refusal. */
    SignedError,
    Error,
    Refusal,
    /** With status 200 and the text of an error. */
    ErrorText,
    /** With a header and no event; the connection closes, or the answer has its end. */
    Closed,
};

inline constexpr EnumNames<6> ResumedReplyNames{"events", "signed-error", "error", "refusal", "error-text", "closed"};

/** The part of an answer that does not end. */
enum class EndlessPart {
    /** The value of a field of the head. */
    Head,
    /** The lines of the head. */
    Fields,
    /** Answers with status 100 before the answer. */
    Informational,
    /** The size line of a chunk. */
    Size,
    /** The fields after the last chunk. */
    Trailer,
    Body,
    /** Chunks that never hold the end of an event. */
    Chunks,
};

inline constexpr EnumNames<7> EndlessPartNames{"head", "fields", "informational", "size", "trailer", "body", "chunks"};

/** How an upstream spoils its answers to clients' requests. All shares are from 0 to 1. */
struct AnswerFaults
{
    /** Share of the requests that are turned away, as a full upstream does. */
    double m_refusedShare = 0.0;
    /** Share of these refusals, and of the other answers of a plain service, that come once more on their connection. */
    double m_copiedRefusalShare = 0.0;
    double m_copiedAnswerShare = 0.0;
    /** The copies come while the connection is idle; otherwise where the next answer is due. */
    bool m_copiesWhileIdle = false;
    /** Share of the answers of a plain service that are cut short, and of its connections that are reset while the request runs. */
    double m_cutShare = 0.0;
    double m_resetShare = 0.0;
    /** Share of the calls of a plain service that run and are answered with this status, signed. */
    double m_failedShare = 0.0;
    unsigned m_failedStatus = 500;
    /** Share of the streams in which the bytes of one event cannot be read, and of those that break off. Streams that are resumed have neither. */
    double m_spoiltStreamShare = 0.0;
    double m_brokenStreamShare = 0.0;
    ResumedReply m_resumedReply = ResumedReply::Events;
    /** Share of the answers to clients, streams too, that break off inside their head, and of those to orders and reports that break off anywhere. */
    double m_brokenHeadShare = 0.0;
    double m_brokenReplyShare = 0.0;
    /** Answers to orders, and to requests for reports, have this part without end. */
    std::optional<EndlessPart> m_endlessOrderReply;
    std::optional<EndlessPart> m_endlessReport;
    /** Share of the orders that are not answered: half of them are carried out at once, half up to m_lateOrderMs later. */
    double m_lateOrderShare = 0.0;
    std::int64_t m_lateOrderMs = 4'000;
    /** Share of the answers to orders and requests for reports that come once more on their connection, where the next answer is due. */
    double m_copiedControlShare = 0.0;
};

class HostingEngine;

/** The engines that form groups with each other. Without one, each engine forms groups alone, whatever members an order names. */
struct HostingCluster
{
    /** The engines that live, by id. */
    std::map<std::string, HostingEngine *> m_engines;
    /** Members that have been ready in a group, by id and group. */
    std::set<std::pair<std::string, ReplicaRef>> m_ready;
};

/** Words by the id of a part of a prompt: a request whose prompt has the part, other than as its last, is treated as if its body contained the words. */
using PartWords = std::map<std::string, std::string>;

/**
 * One upstream of the hosting platform, an engine that serves in groups or an upstream of a plain service. Words in the body of a
 * request choose what it does: CRASH ends the upstream when the request begins to run, CRASH-IN-ANSWER after the head of an answer without a length, as
 * an exit does; CRASH-IN-EVENT in the middle of the second event of such an answer; CRASH-SILENT as a process does whose end takes long: it no longer listens,
 * but its connections stay open for a while; CRASH-DARK as one that stands still: its address still takes connections, and nothing is answered until its
 * successor starts. ENDLESS- and the name of an EndlessPart in capitals, as in ENDLESS-HEAD: answered with bytes without end. UNSIZED: the stream has neither a
 * length nor chunks and ends with its connection. WORKS-n: it runs for n ms before its answer begins. PAUSES-n: the events of the stream come n ms apart.
 * PADDED-n: each event of the stream is n bytes longer. An upstream that has ended comes back under another id, unless its times say otherwise.
 */
class HostingEngine
{
public:
    HostingEngine(asio::io_context &io,
                  HostingStore &store,
                  History &history,
                  const PartWords &partWords,
                  const std::string &address,
                  UpstreamEntry entry,
                  HostingEngineTimes times);

    /** Serves, publishes its entry, and starts anew after each crash; does not return. */
    awaitable<void> run();
    /** Changes what the engine says of itself, until its lifetime ends. */
    void setWords(const HostingEngineWords &words);
    void setFaults(const AnswerFaults &faults);
    /** Makes it form groups with the other engines of @p cluster, which must outlive it. Must be called before run(). */
    void setCluster(HostingCluster &cluster);
    /** Writes its entry to the store again, if it is alive. */
    void publishAgain();
    const UpstreamEntry &entry() const;
    /** Ends this lifetime for no reason of its requests: every connection is reset, and nothing listens until the next one. */
    void loseProcess();

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    awaitable<void> acceptConnections(std::shared_ptr<Tcp::acceptor> acceptor, std::uint64_t lifetime);
    awaitable<void> serve(ConnectionPtr connection, std::uint64_t lifetime);
    awaitable<void> serveRequest(Connection &connection, const HttpRequest &request, std::uint64_t lifetime);
    /** Answers a request to continue a stream with something else than its events. */
    awaitable<void> answerResumed(Connection &connection, const HttpRequest &request);
    awaitable<void> streamEvents(Connection &connection, const HttpRequest &request, std::uint64_t lifetime);
    HttpReply executeOrder(const std::string &body);
    HttpReply join(const ReplicaRef &replica, const std::vector<std::string> &members);
    /** Changes the phase after @p afterMs if the engine is still in the same group. */
    void enterPhaseLater(MemberPhase phase, std::int64_t afterMs);
    /** Leaves an order without an answer, as the faults choose. Returns false if it is to be answered. */
    bool delayOrder(const std::string &body);
    /** Records a join of another group while the head of the present one serves (rule TWO). */
    void recordJoin(const ReplicaRef &replica);
    /** Returns whether all members of the group live and are in it. */
    bool isGroupComplete() const;
    /** Waits while the group stands still because a member is gone. Returns whether it serves. */
    awaitable<bool> waitForGroup(std::uint64_t lifetime);
    /** Records a request that runs in a group with a member that was never ready in it (rule PARTIAL). */
    void recordMembers(const HttpRequest &request);
    /** Breaks the group that has stood still for too long, and ends the closing of one whose requests have ended. */
    void updateGroup();
    /** Returns whether a fault with this share happens now. */
    bool happens(double share);
    /** Sends the beginning of @p text, up to a random byte before @p end, and closes or resets the connection. */
    awaitable<void> breakOff(Connection &connection, std::string text, std::size_t end);
    /** Sends the answer to a client's request, and a second copy of it with the probability @p copiedShare. */
    awaitable<void> answerClient(Connection &connection, HttpReply reply, const HttpRequest &request, double copiedShare);
    /** Answers with bytes without end, until the caller closes the connection or the lifetime ends. */
    awaitable<void> answerWithoutEnd(Connection &connection, const HttpRequest &request, EndlessPart part);
    /** Sends the answer to an order or a request for a report. */
    awaitable<void> answerLeader(Connection &connection, HttpReply reply, HttpRequest request);
    /** Adds the fields of all answers to @p reply and sends it. */
    awaitable<void> respond(Connection &connection, HttpReply reply, const HttpRequest &request);
    /** Returns the fields of all answers, as lines of a header. */
    std::string headerLines() const;
    /** Ends this lifetime in the way that the words of @p cause choose. */
    void crash(const HttpRequest &cause);
    /** Keeps @p connections open and silent for a time. */
    awaitable<void> keepSilent(std::set<ConnectionPtr> connections);
    void beginLifetime();
    /** Returns what the engine says of itself; @p count is its count of orders in a report and of writes in its entry. */
    std::string entryText(std::int64_t count) const;
    void publish();
    /** Writes the first entry of a lifetime when it is due. */
    awaitable<void> publishFirst(std::uint64_t lifetime);
    /** Removes the entry of a lifetime that has ended, as the store does after missed heartbeats, unless a later one has written it. */
    awaitable<void> removeAfterMissedHeartbeats(std::string id, std::uint64_t lifetime);
    /** Writes @p text as the entry with the key @p key after @p afterMs. */
    awaitable<void> publishLate(std::string key, std::string text, std::int64_t afterMs);

    asio::io_context &m_io;
    HostingStore &m_store;
    History &m_history;
    const PartWords &m_partWords;
    std::string m_address;
    UpstreamEntry m_entry;
    HostingEngineTimes m_times;
    std::uint64_t m_lifetime = 0;
    bool m_alive = false;
    std::int64_t m_orders = 0;
    /** Number of its writes of its entry in this lifetime. */
    std::int64_t m_writes = 0;
    HostingCluster *m_cluster = nullptr;
    /** Members of its group, head first. */
    std::vector<std::string> m_members;
    std::uint64_t m_highestEpoch = 0;
    /** Time since which its group stands still; -1 if it does not. */
    std::int64_t m_stalledMs = -1;
    /** Requests that run in this lifetime. Shared with those of an earlier one, which may end later. */
    std::shared_ptr<int> m_runningRequests = std::make_shared<int>(0);
    /** Highest fencing token of an order in this lifetime. */
    std::int64_t m_fence = 0;
    HostingEngineWords m_words;
    AnswerFaults m_faults;
    std::mt19937_64 m_random;
    std::shared_ptr<Tcp::acceptor> m_acceptor;
    std::set<ConnectionPtr> m_connections;
};
}
