#pragma once

#include "daemons/entrycontext.h"
#include "kernel/admitcall.h"
#include "platform/callheaders.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace knapweedslip
{
/** One client's request on its way through this daemon. */
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
    /** Holds the route and workspace below. */
    CallConfigPtr m_config;
    CallVerdict m_verdict;
    const CallService *m_service = nullptr;
    std::int64_t m_arrivedMs = 0;
    std::int64_t m_endMs = 0;
    /** Sends so far. */
    int m_sends = 0;
    /** When the first event was expected at the first send, and when it came, in ms after the arrival; -1 when there was none. */
    double m_expectedMs = -1.0;
    std::int64_t m_firstEventMs = -1;
    std::shared_ptr<RunningCall> m_running;
};

/** A serving upstream, chosen for one attempt. */
struct AttemptTarget
{
    std::string m_upstream;
    std::string m_address;
};

/** How the opening of an attempt ended. */
enum class AttemptOpen {
    /** The answer's header is there. */
    Answered,
    /** Nothing was sent. */
    NotSent,
    /** It may have run. */
    Lost,
};

/** One exchange with an upstream; registers itself with the running call, so that it can be ended from outside. */
class EntryAttempt
{
public:
    explicit EntryAttempt(EntryCall &call);
    ~EntryAttempt();
    EntryAttempt(const EntryAttempt &) = delete;
    EntryAttempt &operator=(const EntryAttempt &) = delete;

    /**
     * Connects, sends the request and reads the header of the answer. With @p freshWithinMs above 0 only connections that were idle for less
     * are used again.
     */
    awaitable<AttemptOpen> open(AttemptTarget target, std::optional<std::int64_t> lastEventId, std::int64_t freshWithinMs);
    HttpStream &stream();
    unsigned status() const;
    const HeaderFields &headers() const;
    const platform::AnswerHeaders &answer() const;
    /** The answer is signed, of this request, and as its upstream made it. */
    bool genuine() const;
    /** What went wrong, for the log. */
    const std::string &error() const;
    /** The answer was read to its end: the connection may be kept. */
    void finish();

private:
    EntryCall &m_call;
    HttpConnectionPtr m_connection;
    std::unique_ptr<HttpStream> m_stream;
    HeaderFields m_headers;
    platform::AnswerHeaders m_answer;
    unsigned m_status = 0;
    std::string m_error;
};

/** Longest wait for a connection, in ms: a new one takes a few ms within a region, and a lost first packet is sent again after a second. */
inline constexpr std::int64_t ConnectTimeoutMs = 150;

/** Time left until the final answer is due. */
std::int64_t timeLeftMs(const EntryCall &call);

/** Ends the request with an answer of this system's own and says why in the log. */
awaitable<void> refuseCall(EntryCall &call, RefusalReason reason, std::int64_t retryAfterMs);
/** Writes the last log line of a request. */
void logCallEnd(const EntryCall &call, const char *outcome, unsigned status, const std::string &detail);
void logCallSent(const EntryCall &call, const std::string &upstream, const std::string &group, double expectedMs);
void logAttemptFailed(const EntryCall &call, const std::string &upstream, const std::string &what);

/** Serves a call of a plain service. */
awaitable<void> relayServiceCall(EntryCall &call);
/** Serves a generation on a serving group. */
awaitable<void> relayGeneration(EntryCall &call);
/** Serves one request of a client. */
awaitable<void> serveClient(EntryContext &context, HttpExchange &exchange);
/** Ends attempts whose time is over or whose group is silent; called a few dozen times a second. */
void superviseCalls(EntryContext &context);
}
