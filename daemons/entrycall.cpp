// Problem: each request must be admitted under a single configuration, end in time, and be explicable from the log afterwards.
// Approach: a request is admitted once, under the configuration in force at that time, and keeps that configuration. An attempt object holds the
// connection, so that a periodic check can abort the attempt. Every end of a request is logged.
// A timer for each wait of each request would cost several system calls per request, and requests would still end in many places in the code.

#include "daemons/entrycall.h"

#include "daemons/entryavailability.h"

#include "daemons/entryloadreports.h"
#include "kernel/hashing.h"
#include "kernel/requestfingerprint.h"
#include "net/logging.h"

#include <algorithm>
#include <utility>

namespace knapweedslip
{
namespace
{
/** When a client should retry if this daemon has no configuration, or none that is confirmed to be current, in ms: other daemons may have one. */
constexpr std::int64_t NoConfigurationRetryMs = 300;

/** Longest time by which a request that waited for a crash verdict goes on later, in ms: several times the time in which an upstream begins to run it. */
constexpr std::int64_t CrashSpreadMs = 1'000;

/** Time over which the daemons begin to try a request again that ran on upstreams which were lost together, in ms. */
constexpr std::uint64_t CrashTrialSpreadMs = 4'000;

std::string workspaceName(const EntryCall &call)
{
    return call.m_admission.m_workspace == nullptr ? std::string() : call.m_admission.m_workspace->m_name;
}
}

EntryAttempt::EntryAttempt(EntryCall &call)
    : m_call(call)
{
}

EntryAttempt::~EntryAttempt()
{
    m_call.m_running->m_connection = nullptr;
    m_call.m_context.m_bufferedAnswerBytes -= m_bufferedBytes;
}

awaitable<OpenResult> EntryAttempt::open(AttemptTarget target, std::optional<std::int64_t> lastEventId, std::int64_t maxIdleMs)
{
    EntryContext &context = m_call.m_context;
    m_upstream = {target.m_upstream, target.m_address, 0};
    const auto listed = context.m_upstreams.find(target.m_upstream);
    if (listed != context.m_upstreams.end()) {
        m_upstream.m_startedMs = listed->second.m_startedMs;
    }
    m_call.m_running->m_cause = m_call.m_running->m_cause == AbortCause::CallerLeft ? AbortCause::CallerLeft : AbortCause::None;
    m_connection = takePooled(maxIdleMs);
    if (m_connection == nullptr) {
        Result<HttpConnectionPtr> fresh = co_await httpConnect(target.m_address, std::min(ConnectTimeoutMs, std::max<std::int64_t>(1, timeLeftMs(m_call))));
        if (failed(fresh)) {
            m_error = describe(errorOf(fresh));
            if (isConnectionRefused(errorOf(fresh))) {
                learnEnded(context, upstreamLifetime(m_upstream.m_id, m_upstream.m_startedMs), steadyMs());
            }
            co_return OpenResult::NotSent;
        }
        m_connection = std::move(valueOf(fresh));
        m_connection->m_bootId = target.m_upstream;
        m_connection->m_stream.expires_never();
    }
    if (m_call.m_exchange.callerDisconnected() || timeLeftMs(m_call) <= 0) {
        m_error = "the time ran out or the client left before the request was sent";
        co_return OpenResult::NotSent;
    }
    HttpRequest request;
    request.m_method = m_call.m_exchange.request().m_method;
    request.m_target = m_call.m_exchange.request().m_target;
    platform::UpstreamHeaders headers;
    headers.m_upstream = target.m_upstream;
    headers.m_workspace = workspaceName(m_call);
    headers.m_timeLeftMs = timeLeftMs(m_call);
    headers.m_lastEventId = lastEventId;
    headers.m_priority = upstreamPriority(m_call);
    request.m_headers = platform::makeUpstreamHeaders(m_call.m_exchange.request().m_headers, headers);
    ++m_call.m_sends;
    m_call.m_sentTo.insert(target.m_upstream);
    m_sentMs = steadyMs();
    m_call.m_running->m_connection = m_connection.get();
    m_stream = std::make_unique<HttpStream>(*m_connection);
    Result<Done> opened = co_await m_stream->open(request, HttpStream::NoTimeout, m_call.m_exchange.body());
    if (!failed(opened)) {
        opened = co_await readHeader();
    }
    if (failed(opened)) {
        m_error = describe(errorOf(opened));
        if (errorOf(opened).m_code == ErrorCode::ConnectionLost) {
            handleMissingAnswer();
        }
        co_return OpenResult::Lost;
    }
    recordKeepAlive(*m_connection, m_headers);
    co_return OpenResult::Answered;
}

HttpConnectionPtr EntryAttempt::takePooled(std::int64_t maxIdleMs)
{
    EntryContext &context = m_call.m_context;
    if (m_call.m_sentTo.count(m_upstream.m_id) > 0) {
        return nullptr;
    }
    HttpConnectionPtr connection = context.m_connections.take(context.m_io.get_executor(), m_upstream.m_address, m_upstream.m_id);
    const bool isFresh = connection != nullptr && (maxIdleMs == 0 || steadyMs() - connection->m_idleSinceMs < maxIdleMs);
    return isFresh ? std::move(connection) : nullptr;
}

awaitable<Result<Done>> EntryAttempt::readHeader()
{
    for (int skipped = 0;; ++skipped) {
        m_status = m_stream->status();
        m_headers = m_stream->headers();
        m_answer = platform::decodeResponseHeaders(m_status, m_headers);
        m_proof = proveAnswer(m_answer.m_claims, m_call.m_caller.m_requestId, m_connection->m_reused);
        if (m_proof != AnswerProof::OtherRequest) {
            co_return Done{};
        }
        ++m_call.m_context.m_metrics.m_otherAnswers;
        logEvent(LogEvent::OtherAnswerDropped,
                 {{"request", m_call.m_caller.m_requestId},
                  {"upstream", m_upstream.m_id},
                  {"answers", m_answer.m_claims.m_requestId},
                  {"status", static_cast<std::int64_t>(m_status)}});
        if (skipped == MaxSkippedResponses) {
            co_return Error{ErrorCode::ProtocolViolation, "too many answers to other requests"};
        }
        const Result<Done> next = co_await m_stream->skipResponse(MaxAnswerBytes, HttpStream::NoTimeout);
        if (failed(next)) {
            co_return errorOf(next);
        }
    }
}

HttpStream &EntryAttempt::stream()
{
    return *m_stream;
}

unsigned EntryAttempt::status() const
{
    return m_status;
}

const HeaderFields &EntryAttempt::headers() const
{
    return m_headers;
}

const platform::ResponseHeaders &EntryAttempt::answer() const
{
    return m_answer;
}

AnswerProof EntryAttempt::proof() const
{
    return m_proof;
}

void EntryAttempt::learnFromAnswer()
{
    if (m_proof == AnswerProof::NotRun || m_proof == AnswerProof::Answered) {
        knapweedslip::learnFromAnswer(m_call.m_context, {m_upstream.m_id, m_upstream.m_startedMs}, m_answer, m_call.m_caller.m_requestId);
    }
}

const std::string &EntryAttempt::error() const
{
    return m_error;
}

awaitable<Result<Done>> EntryAttempt::readBody(std::string &body)
{
    EntryContext &context = m_call.m_context;
    while (true) {
        const Result<std::string_view> piece = co_await m_stream->read(HttpStream::NoTimeout);
        if (failed(piece)) {
            handleMissingAnswer();
            co_return errorOf(piece);
        }
        const std::string_view bytes = valueOf(piece);
        if (bytes.empty()) {
            co_return Done{};
        }
        m_bufferedBytes += bytes.size();
        context.m_bufferedAnswerBytes += bytes.size();
        if (m_bufferedBytes > MaxAnswerBytes || context.m_bufferedAnswerBytes > MaxBufferedAnswerBytes) {
            co_return Error{ErrorCode::ProtocolViolation, "the answer is too long"};
        }
        body.append(bytes);
    }
}

void EntryAttempt::handleMissingAnswer()
{
    if (ranOn()) {
        return;
    }
    // Other attempts were aborted by this daemon, mostly at upstreams that live: their requests go on to the best upstream.
    m_call.m_mayEndUpstreams = m_call.m_mayEndUpstreams || m_call.m_running->m_cause == AbortCause::None;
    checkUpstreamEnded(m_call.m_context, m_upstream, m_call.m_suspects, m_sentMs, CheckedAnswer::Missing);
}

bool EntryAttempt::ranOn() const
{
    return m_firstEventMs >= 0 && steadyMs() - m_firstEventMs > CrashWindowMs;
}

void EntryAttempt::handleRefusal()
{
    constexpr unsigned Misdirected = 421;
    learnFromAnswer();
    if (m_status == Misdirected) {
        checkUpstream(m_call.m_context, m_upstream);
    }
}

void EntryAttempt::recordEvent()
{
    m_firstEventMs = m_firstEventMs < 0 ? steadyMs() : m_firstEventMs;
    if (ranOn()) {
        m_call.m_context.m_crashLedger.recordSurvived(m_call.m_suspects, steadyMs());
    }
}

void EntryAttempt::recordFinished()
{
    if (m_stream->endsWithConnection() && !ranOn()) {
        checkUpstreamEnded(m_call.m_context, m_upstream, m_call.m_suspects, m_sentMs, CheckedAnswer::MayBeComplete);
    } else {
        m_call.m_context.m_crashLedger.recordSurvived(m_call.m_suspects, steadyMs());
    }
}

void EntryAttempt::finish()
{
    m_call.m_running->m_connection = nullptr;
    // What is held of the answer for the client counts in EntryContext::m_clientBacklogs from now on.
    m_call.m_context.m_bufferedAnswerBytes -= std::exchange(m_bufferedBytes, 0);
    if (m_stream != nullptr && m_stream->reusable()) {
        m_stream.reset();
        m_call.m_context.m_connections.give(std::move(m_connection));
    }
}

int upstreamPriority(const EntryCall &call)
{
    // Late answers are worth less, so they follow those that may still be in time, in the same order.
    constexpr int LatePriorities = 5;
    constexpr int LowestPriority = 9;
    return std::clamp(call.m_admission.m_priority + (call.m_isLate ? LatePriorities : 0), 0, LowestPriority);
}

std::int64_t timeLeftMs(const EntryCall &call)
{
    return call.m_context.m_endsNow ? 0 : call.m_deadlineMs - steadyMs();
}

RefusalReason overdueReason(const EntryCall &call)
{
    return call.m_context.m_endsNow ? RefusalReason::Draining : RefusalReason::TimeOver;
}

void logClientCut(const EntryCall &call, BacklogCut reason, std::optional<std::int64_t> lastEventId)
{
    ++call.m_context.m_metrics.m_cut;
    logEvent(LogEvent::ClientCut,
             {{"request", call.m_caller.m_requestId},
              {"workspace", workspaceName(call)},
              {"reason", std::string(enumName(BacklogCutNames, reason))},
              {"last_event", lastEventId.value_or(-1)},
              {"held_for_all", static_cast<std::int64_t>(call.m_context.m_clientBacklogs->bytes())},
              {"sends", static_cast<std::int64_t>(call.m_sends)},
              {"after_ms", steadyMs() - call.m_arrivedMs}});
}

void logCallEnd(const EntryCall &call, const char *outcome, unsigned status, const std::string &detail)
{
    logEvent(LogEvent::CallEnded,
             {{"request", call.m_caller.m_requestId},
              {"route", call.m_admission.m_route == nullptr ? std::string() : call.m_admission.m_route->m_name},
              {"workspace", workspaceName(call)},
              {"outcome", std::string(outcome)},
              {"status", static_cast<std::int64_t>(status)},
              {"sends", static_cast<std::int64_t>(call.m_sends)},
              {"took_ms", steadyMs() - call.m_arrivedMs},
              {"expected_first_ms", call.m_expectedMs},
              {"first_ms", call.m_firstEventMs},
              {"config_version", call.m_config == nullptr ? std::int64_t(-1) : call.m_config->m_version},
              {"detail", detail}});
}

void logCallSent(const EntryCall &call, const std::string &upstream, const std::string &group, double expectedMs, std::int64_t coldUntilMs)
{
    static const UpstreamEntry unlisted;
    const auto found = call.m_context.m_upstreams.find(upstream);
    const UpstreamEntry &entry = found == call.m_context.m_upstreams.end() ? unlisted : found->second;
    const DepartureAges ages = call.m_context.m_availability.departureAges({upstream, entry.m_startedMs}, steadyMs());
    logEvent(LogEvent::CallSent,
             {{"request", call.m_caller.m_requestId},
              {"fingerprint", toHex(call.m_suspects.m_request)},
              {"parts", joinHex(call.m_caller.m_promptParts)},
              {"upstream", upstream},
              {"group", group},
              {"send", static_cast<std::int64_t>(call.m_sends + 1)},
              {"expected_ms", expectedMs},
              {"cold_left_ms", std::max<std::int64_t>(0, coldUntilMs - steadyMs())},
              {"daemons", static_cast<std::int64_t>(call.m_context.m_coldMembers.count(steadyMs()))},
              {"left_ms", timeLeftMs(call)},
              {"started_ms", entry.m_startedMs},
              {"write", entry.m_writeNumber},
              {"revision", static_cast<std::int64_t>(entry.m_position.m_revision)},
              {"entry_age_ms", steadyMs() - entry.m_readMs},
              {"removal_age_ms", ages.m_removedMs},
              {"heard_leaving_age_ms", ages.m_heardMs},
              {"proof_age_ms", steadyMs() - call.m_context.m_confirmedMs}});
}

void logAttemptFailed(const EntryCall &call, const std::string &upstream, AttemptOutcome outcome, const std::string &what)
{
    if (outcome == AttemptOutcome::MayHaveRun) {
        ++call.m_context.m_metrics.m_unanswered.at(static_cast<std::size_t>(call.m_running->m_cause));
    }
    logEvent(LogEvent::AttemptFailed,
             {{"request", call.m_caller.m_requestId},
              {"fingerprint", toHex(call.m_suspects.m_request)},
              {"upstream", upstream},
              {"may_have_run", outcome == AttemptOutcome::MayHaveRun},
              {"ended_by", std::string(enumName(AbortCauseNames, call.m_running->m_cause))},
              {"what", what},
              {"after_ms", steadyMs() - call.m_arrivedMs}});
}

CrashFinding judgeCrashes(const EntryCall &call)
{
    const std::uint64_t delayMs = hash64(call.m_context.m_settings.m_name, call.m_suspects.m_request) % CrashTrialSpreadMs;
    return call.m_context.m_crashLedger.judge(call.m_suspects, steadyMs(), static_cast<std::int64_t>(delayMs));
}

awaitable<CrashVerdict> waitForCrashVerdict(EntryCall &call)
{
    constexpr std::int64_t PollMs = 20;
    const auto mustWait = [&call]() {
        return judgeCrashes(call).m_verdict == CrashVerdict::Undecided && timeLeftMs(call) > 0 && !call.m_exchange.callerDisconnected();
    };
    while (mustWait()) {
        const CrashFinding finding = judgeCrashes(call);
        logEvent(LogEvent::CrashUndecided,
                 {{"request", call.m_caller.m_requestId},
                  {"fingerprint", toHex(call.m_suspects.m_request)},
                  {"part", finding.m_isPart ? toHex(finding.m_suspect) : std::string()},
                  {"upstreams_ended", static_cast<std::int64_t>(finding.m_upstreams)},
                  {"after_ms", steadyMs() - call.m_arrivedMs}});
        while (mustWait()) {
            co_await sleepFor(PollMs);
        }
        if (judgeCrashes(call).m_verdict == CrashVerdict::MaySend) {
            // Copies that wait at several daemons go on at different times, so that the fate of the first one stops the others.
            std::uniform_int_distribution<std::int64_t> spreadMs(0, CrashSpreadMs);
            const std::int64_t untilMs = steadyMs() + spreadMs(call.m_context.m_random);
            while (steadyMs() < untilMs && timeLeftMs(call) > 0) {
                co_await sleepFor(PollMs);
            }
        }
    }
    co_return judgeCrashes(call).m_verdict;
}

std::int64_t poisonRetryAfterMs(const EntryCall &call)
{
    return call.m_context.m_crashLedger.remainingMs(judgeCrashes(call), steadyMs());
}

awaitable<void> refuseCall(EntryCall &call, RefusalReason reason, std::int64_t retryAfterMs)
{
    if (reason == RefusalReason::Draining) {
        // Another daemon accepts the client's new connection at once.
        constexpr std::int64_t DrainingRetryMs = 20;
        retryAfterMs = DrainingRetryMs;
    }
    const unsigned status = refusalStatus(reason);
    ++call.m_context.m_metrics.m_refused.at(static_cast<std::size_t>(reason));
    const CrashFinding finding = reason == RefusalReason::PoisonRequest ? judgeCrashes(call) : CrashFinding();
    logEvent(LogEvent::RequestRefused,
             {{"request", call.m_caller.m_requestId},
              {"fingerprint", toHex(call.m_suspects.m_request)},
              {"parts", joinHex(call.m_caller.m_promptParts)},
              {"poison_part", finding.m_isPart ? toHex(finding.m_suspect) : std::string()},
              {"upstreams_ended", static_cast<std::int64_t>(finding.m_upstreams)},
              {"route", call.m_admission.m_route == nullptr ? std::string() : call.m_admission.m_route->m_name},
              {"workspace", workspaceName(call)},
              {"reason", std::string(enumName(RefusalReasonNames, reason))},
              {"status", static_cast<std::int64_t>(status)},
              {"retry_after_ms", retryAfterMs},
              {"sends", static_cast<std::int64_t>(call.m_sends)},
              {"after_ms", steadyMs() - call.m_arrivedMs},
              {"proof_age_ms", call.m_context.m_confirmedMs < 0 ? std::int64_t(-1) : steadyMs() - call.m_context.m_confirmedMs},
              {"config_version", call.m_config == nullptr ? std::int64_t(-1) : call.m_config->m_version}});
    HttpReply reply = platform::makeErrorReply(status, call.m_caller.m_requestId, retryAfterMs, std::string(enumName(RefusalReasonNames, reason)));
    co_await call.m_exchange.respond(std::move(reply));
}

awaitable<void> serveClient(EntryContext &context, HttpExchange &exchange)
{
    EntryCall call(context, exchange);
    call.m_arrivedMs = steadyMs();
    call.m_caller = platform::decodeCallerHeaders(exchange.request());
    call.m_config = context.m_config;
    ++context.m_metrics.m_requests;
    CallRequest callRequest;
    callRequest.m_host = call.m_caller.m_host;
    callRequest.m_path = pathOf(exchange.request().m_target);
    callRequest.m_key = call.m_caller.m_key;
    callRequest.m_timeLeftMs = call.m_caller.m_timeLeftMs.value_or(-1);
    ConfigAge age;
    age.m_ageMs = context.m_confirmedMs < 0 ? -1 : call.m_arrivedMs - context.m_confirmedMs;
    call.m_admission = admitCall(call.m_config.get(), age, context.m_settings.m_configAgeLimits, callRequest);
    call.m_deadlineMs = call.m_arrivedMs + call.m_admission.m_timeLimitMs;
    if (call.m_admission.m_reason != RefusalReason::None) {
        const bool denied = call.m_admission.m_reason == RefusalReason::UnknownRoute || call.m_admission.m_reason == RefusalReason::UnknownKey;
        co_await refuseCall(call, call.m_admission.m_reason, denied ? 0 : NoConfigurationRetryMs);
        co_return;
    }
    if (context.m_stopping && !acceptsDuringShutdown(context.m_shutdownDeadlines, call.m_admission.m_route->m_kind, call.m_arrivedMs, call.m_deadlineMs)) {
        co_await refuseCall(call, RefusalReason::Draining, 0);
        co_return;
    }
    context.m_serving = true;
    call.m_suspects = {requestFingerprint(workspaceName(call), exchange.request().m_target, exchange.request().m_body), call.m_caller.m_promptParts};
    if (judgeCrashes(call).m_verdict == CrashVerdict::Poison) {
        co_await refuseCall(call, RefusalReason::PoisonRequest, poisonRetryAfterMs(call));
        co_return;
    }
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    call.m_service = chooseService(*call.m_config, *call.m_admission.m_route, uniform(context.m_random));
    if (call.m_service == nullptr) {
        co_await refuseCall(call, RefusalReason::NoUpstream, NoConfigurationRetryMs);
        co_return;
    }
    resendBudget(context, call.m_service->m_name).request(call.m_arrivedMs);
    call.m_running = std::make_shared<RunningCall>();
    call.m_running->m_deadlineMs = call.m_deadlineMs;
    call.m_running->m_service = call.m_service->m_name;
    context.m_running.insert(call.m_running);
    if (call.m_admission.m_route->m_kind != CallKind::NonIdempotent) {
        // A call that may run only once is not aborted: its effect is still wanted although its answer is not.
        exchange.onCallerDisconnect([running = call.m_running]() {
            abortAttempt(*running, AbortCause::CallerLeft);
        });
    }
    if (call.m_service->m_engines) {
        co_await relayGeneration(call);
    } else if (call.m_admission.m_route->m_kind == CallKind::Streaming) {
        co_await relayServiceStream(call);
    } else {
        co_await relayServiceCall(call);
    }
    context.m_running.erase(call.m_running);
    context.m_metrics.m_answers.add(static_cast<double>(steadyMs() - call.m_arrivedMs));
}

void superviseCalls(EntryContext &context)
{
    applyLoadReports(context);
    if (context.m_sendCrashes) {
        context.m_sendCrashes();
    }
    const std::int64_t nowMs = steadyMs();
    const std::vector<ReplicaRef> silent = context.m_replicaSelector.findSilentReplicas(context.m_availability, nowMs);
    for (const ReplicaRef &replica : silent) {
        context.m_reconciler.suspect(replica, nowMs);
        if (!context.m_reportedSilent.insert(replica).second) {
            continue;
        }
        if (context.m_sendLoadReport) {
            context.m_sendLoadReport();
        }
        ++context.m_metrics.m_silences;
        const TrackedReplica *tracked = context.m_replicaSelector.find(replica);
        logEvent(LogEvent::ReplicaSilent,
                 {{"group", replica.m_name},
                  {"epoch", static_cast<std::int64_t>(replica.m_epoch)},
                  {"silent_ms", tracked == nullptr ? std::int64_t(-1) : nowMs - tracked->m_progressMs},
                  {"writing", static_cast<std::int64_t>(tracked == nullptr ? 0 : tracked->m_ownLoad.m_decoding)},
                  {"waiting", static_cast<std::int64_t>(tracked == nullptr ? 0 : tracked->m_ownLoad.m_waiting)},
                  {"slowness", tracked == nullptr ? 0.0 : tracked->m_slowness}});
    }
    for (auto it = context.m_reportedSilent.begin(); it != context.m_reportedSilent.end();) {
        it = std::find(silent.begin(), silent.end(), *it) == silent.end() ? context.m_reportedSilent.erase(it) : std::next(it);
    }
    const std::vector<std::uint64_t> stuck = context.m_replicaSelector.findStuckStreams(nowMs);
    for (const std::shared_ptr<RunningCall> &call : context.m_running) {
        if (context.m_endsNow) {
            abortAttempt(*call, AbortCause::Stopping);
        } else if (nowMs >= call->m_deadlineMs) {
            abortAttempt(*call, AbortCause::TimeOver);
        } else if (call->m_attemptDeadlineMs > 0 && nowMs >= call->m_attemptDeadlineMs) {
            abortAttempt(*call, AbortCause::AttemptTimeout);
        } else if (call->m_mayTryAnotherReplica && call->m_cause == AbortCause::None) {
            const bool isSilent = std::find(silent.begin(), silent.end(), call->m_replica) != silent.end();
            const bool isStuck = call->m_streamId != 0 && std::find(stuck.begin(), stuck.end(), call->m_streamId) != stuck.end();
            // Without resend budget the attempt goes on: its replica may still answer.
            if ((isSilent || isStuck) && resendBudget(context, call->m_service).trySpend(nowMs)) {
                call->m_resendPaid = true;
                abortAttempt(*call, isSilent ? AbortCause::ReplicaSilent : AbortCause::StreamStuck);
            }
        }
    }
}
}
