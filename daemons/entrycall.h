#pragma once

#include "daemons/entrycontext.h"
#include "daemons/entrycrashes.h"
#include "kernel/admitcall.h"
#include "kernel/attemptcounter.h"
#include "kernel/upstreamanswer.h"
#include "platform/callheaders.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace knapweedslip
{
/** One client's request while this daemon serves it. */
struct EntryCall
{
    EntryCall(EntryContext &context, HttpExchange &exchange)
        : m_context(context)
        , m_exchange(exchange)
    {
    }

    EntryContext &m_context;
    HttpExchange &m_exchange;
    platform::CallerHeaders m_caller;
    /** Owns the route, workspace and service that the members below point to. */
    CallConfigPtr m_config;
    CallAdmission m_admission;
    /** Empty until the request is admitted. */
    CrashSuspects m_suspects;
    /** The connection of an attempt broke soon after the request had been sent, so that the request may be what ended the upstream. */
    bool m_mayEndUpstreams = false;
    const CallService *m_service = nullptr;
    std::int64_t m_arrivedMs = 0;
    /** When the final answer is due. */
    std::int64_t m_deadlineMs = 0;
    /** How often the request was sent to an upstream so far, and to which ones. */
    int m_sends = 0;
    std::set<std::string> m_sentTo;
    /** Time of the first event as predicted at the first send, in ms after the arrival; -1 if there was no prediction. */
    double m_expectedMs = -1.0;
    /** Expected length of the answer to a generation request, in tokens. */
    double m_answerTokens = 0.0;
    /** How long the client had waited when the request arrived, as far as is known, in ms. */
    std::int64_t m_waitedMs = 0;
    /** The answer can no longer come within the latency target. */
    bool m_isLate = false;
    /** Time at which the first event came, in ms after the arrival; -1 if none came. */
    std::int64_t m_firstEventMs = -1;
    std::shared_ptr<RunningCall> m_running;
};

/** The upstream that was chosen for one attempt. */
struct AttemptTarget
{
    std::string m_upstream;
    std::string m_address;
};

/** Result of opening an attempt. */
enum class OpenResult {
    /** The header of the answer was received. */
    Answered,
    /** Nothing was sent. */
    NotSent,
    /** No header was received, but the request may have run. */
    Lost,
};

/** One exchange with an upstream. Registers its connection with the running call, so that abortAttempt() can close it. */
class EntryAttempt
{
public:
    explicit EntryAttempt(EntryCall &call);
    ~EntryAttempt();
    EntryAttempt(const EntryAttempt &) = delete;
    EntryAttempt &operator=(const EntryAttempt &) = delete;

    /**
     * Connects, sends the request and reads the header of its answer; late copies of answers to other requests that come first are dropped. If
     * @p maxIdleMs is above 0, a pooled connection is reused only if it was idle for less than that. An upstream that was sent this request before gets
     * it on a new connection, where no copy of its earlier answer can come.
     */
    awaitable<OpenResult> open(AttemptTarget target, std::optional<std::int64_t> lastEventId, std::int64_t maxIdleMs);
    HttpStream &stream();
    unsigned status() const;
    const HeaderFields &headers() const;
    const platform::ResponseHeaders &answer() const;
    /** Returns what the answer proves. Must be asked before anything else of the answer is used; it is never OtherRequest. */
    AnswerProof proof() const;
    /**
     * Records what the upstream says of itself in an answer that proves to be its own. Must be called when that was, but for a stream, read to its end.
     */
    void learnFromAnswer();
    /** Returns what went wrong, for the log. */
    const std::string &error() const;
    /**
     * Reads the rest of the answer into @p body. Fails with ProtocolViolation once it is longer than MaxAnswerBytes, or the answers that are being read
     * are together longer than MaxBufferedAnswerBytes. What was read counts until finish(), or as long as this object exists.
     */
    awaitable<Result<Done>> readBody(std::string &body);
    /**
     * Must be called when the attempt ended before the end of the answer, whatever ended it. Finds out whether the request may have ended the upstream: a
     * connection that stays silent until this daemon closes it is no proof that the upstream lives.
     */
    void handleMissingAnswer();
    /**
     * Must be called when the upstream refused to run the request. Learns from the answer, and checks the upstream if the request was not for it: a successor
     * at its address may have answered, or it serves in another role.
     */
    void handleRefusal();
    /** Must be called when an event of the answer has arrived: an upstream that goes on after it has begun to answer does not end under the request. */
    void recordEvent();
    /**
     * Must be called when the answer was read to its end, before finish(). The request has finished; but where the answer ends with its connection, an upstream
     * that has ended looks the same, so that it is checked first.
     */
    void recordFinished();
    /** Must be called when the answer was read to its end. Returns the connection to the pool if it can be reused. */
    void finish();

private:
    /** Returns whether the request has run for so long that it is not what ends the upstream. */
    bool ranOn() const;
    /** Takes a pooled connection to the upstream, or null if there is none that this request may use. */
    HttpConnectionPtr takePooled(std::int64_t maxIdleMs);
    /** Decodes the header of the answer, and drops answers to other requests that came before it. */
    awaitable<Result<Done>> readHeader();

    EntryCall &m_call;
    UpstreamInstance m_upstream;
    std::int64_t m_sentMs = 0;
    /** Time at which the first event arrived, and with it the run began; -1 before. */
    std::int64_t m_firstEventMs = -1;
    HttpConnectionPtr m_connection;
    std::unique_ptr<HttpStream> m_stream;
    HeaderFields m_headers;
    platform::ResponseHeaders m_answer;
    AnswerProof m_proof = AnswerProof::Spoiled;
    unsigned m_status = 0;
    std::string m_error;
    /** This attempt's part of EntryContext::m_bufferedAnswerBytes. */
    std::size_t m_bufferedBytes = 0;
};

/** Longest sum of the answers of plain services that are being read: a quarter of the smallest VM's memory. */
inline constexpr std::size_t MaxBufferedAnswerBytes = 40 * 1024 * 1024;

/** Longest wait for a new connection, in ms: connecting takes a few ms within a region, and a lost first packet is sent again after a second. */
inline constexpr std::int64_t ConnectTimeoutMs = 150;

/** Returns the priority that the request has at the upstream; 0 is the most urgent, 9 the least. */
int upstreamPriority(const EntryCall &call);
/** Returns the time until the final answer is due, in ms; 0 or less when it is overdue. */
std::int64_t timeLeftMs(const EntryCall &call);
/** Returns why a request that is overdue gets its final answer: its time or that of the daemon is over. */
RefusalReason overdueReason(const EntryCall &call);

/** Returns whether the request may be sent (again), as far as is known of upstreams that ended under it or a part of its prompt. */
CrashFinding judgeCrashes(const EntryCall &call);
/** Waits while that is undecided. Returns Undecided only if the time is over or the client has left. */
awaitable<CrashVerdict> waitForCrashVerdict(EntryCall &call);
/** Returns how long a poison request is refused, in ms. */
std::int64_t poisonRetryAfterMs(const EntryCall &call);

/** Answers the request with the status of @p reason and logs the reason. No time to retry is given if @p retryAfterMs is 0. */
awaitable<void> refuseCall(EntryCall &call, RefusalReason reason, std::int64_t retryAfterMs);
/** Logs and counts that the client was cut for @p reason; @p lastEventId is the last event of its stream that was handed over. */
void logClientCut(const EntryCall &call, BacklogCut reason, std::optional<std::int64_t> lastEventId);
/** Logs the end of a request. */
void logCallEnd(const EntryCall &call, const char *outcome, unsigned status, const std::string &detail);
/** Logs that the request is about to be sent to @p upstream, cold until @p coldUntilMs; @p group is empty for a plain service. */
void logCallSent(const EntryCall &call, const std::string &upstream, const std::string &group, double expectedMs, std::int64_t coldUntilMs);
/** Logs that the attempt at @p upstream failed, and why; @p outcome tells whether the upstream may have run it. */
void logAttemptFailed(const EntryCall &call, const std::string &upstream, AttemptOutcome outcome, const std::string &what);

/** Serves a call to a plain service. */
awaitable<void> relayServiceCall(EntryCall &call);
/** Serves a call to a plain service whose answer is a series of events. */
awaitable<void> relayServiceStream(EntryCall &call);
/** Serves a generation on a replica. */
awaitable<void> relayGeneration(EntryCall &call);
/** Serves one request of a client. */
awaitable<void> serveClient(EntryContext &context, HttpExchange &exchange);
/** Aborts attempts that are overdue, whose replica is silent, or whose stream is stuck. Must be called a few dozen times a second. */
void superviseCalls(EntryContext &context);
}
