// Problem: a request that ends every upstream which runs it may come to any daemon, also after a restart or while messages are lost. An upstream that
// ends may break its connections, leave them silent, or be out of reach, and a successor may soon answer at its address.
// Approach: a daemon whose attempt has no complete answer asks for the upstream by name at its address. What it observes goes into the store, under
// a key of its own that outlives the process, and into datagrams, which are faster and also arrive while the store is down.
// The list of upstreams alone shows an end only after three missed heartbeats, which is later than the request may come again. A broken connection alone
// neither proves an end nor comes with each.

#include "daemons/entrycrashes.h"

#include "daemons/entryavailability.h"
#include "kernel/upstreamprobe.h"
#include "net/crashcodec.h"
#include "net/logging.h"
#include "platform/callheaders.h"
#include "platform/enginecalls.h"
#include "platform/entrydecoder.h"

namespace knapweedslip
{
namespace
{
/** Longest wait for a connection to the upstream, and for its answer, in ms: both take a few ms within a region. */
constexpr std::int64_t ProbeConnectTimeoutMs = 150;
constexpr std::int64_t ProbeAnswerTimeoutMs = 150;
/** Interval between two probes of an upstream that does not answer, in ms. */
constexpr std::int64_t ProbeIntervalMs = 500;
/**
 * How long an upstream that does not answer is checked, in ms: the list drops it after three missed heartbeats of 1.2 s and the relay of the update, later
 * while the store is away.
 */
constexpr std::int64_t MaxCheckMs = 10'000;
constexpr std::int64_t ListPollMs = 100;
/** Interval between checks for observations to store, and the least time between two writes, in ms: an upstream that ends causes several observations. */
constexpr std::int64_t PublishPollMs = 100;
constexpr std::int64_t PublishPauseMs = 400;
constexpr std::int64_t PublishRetryMs = 1'000;

/** Upstreams that are listed again are checked only while fewer checks than this run: after a long outage of the store all of them are. */
constexpr std::size_t MaxListedAgainChecks = 32;

awaitable<ProbeResult> probeUpstream(EntryContext &context, const UpstreamInstance &upstream)
{
    // A pooled connection may be one that the upstream left silent.
    Result<HttpConnectionPtr> connected = co_await httpConnect(upstream.m_address, ProbeConnectTimeoutMs);
    if (failed(connected)) {
        co_return isConnectionRefused(errorOf(connected)) ? ProbeResult::Gone : ProbeResult::NoAnswer;
    }
    HttpConnectionPtr connection = std::move(valueOf(connected));
    const HttpRequest request = platform::makeReportRequest(upstream.m_id);
    const Result<HttpReply> reply = co_await httpExchange(*connection, request, ProbeAnswerTimeoutMs, MaxControlReplyBytes);
    if (failed(reply)) {
        co_return ProbeResult::NoAnswer;
    }
    const HttpReply &answer = valueOf(reply);
    UpstreamEntry report;
    platform::applyReport(report, answer.m_body);
    const ProbeResult result = judgeProbeReply({upstream.m_id, upstream.m_startedMs}, {answer.m_status, report.m_startedMs});
    if (result == ProbeResult::Gone) {
        co_return result;
    }
    if (platform::decodeResponseHeaders(answer.m_status, answer.m_headers).m_leaving) {
        learnLeaving(context, {upstream.m_id, upstream.m_startedMs}, {});
    }
    if (!connection->m_closing) {
        connection->m_bootId = upstream.m_id;
        context.m_connections.give(std::move(connection));
    }
    co_return result;
}

bool isListed(const EntryContext &context, const UpstreamInstance &upstream)
{
    return context.m_upstreams.count(upstream.m_id) > 0;
}

/** Returns whether the list has a later lifetime of the upstream. */
bool hasStartedAnew(const EntryContext &context, const UpstreamInstance &upstream)
{
    const auto found = context.m_upstreams.find(upstream.m_id);
    return found != context.m_upstreams.end() && found->second.m_startedMs != upstream.m_startedMs;
}

/** Records that the upstream does not answer the requests that wait for its check. */
void recordUnconfirmed(EntryContext &context, std::uint64_t lifetime)
{
    for (const std::pair<const std::uint64_t, UnansweredRun> &request : context.m_endChecks.at(lifetime)) {
        context.m_crashLedger.recordUnconfirmed({request.first, request.second.m_parts}, lifetime, request.second.m_run, steadyMs());
    }
}

awaitable<EndCheckOutcome> checkEnd(EntryContext &context, UpstreamInstance upstream, std::uint64_t lifetime)
{
    const std::int64_t startedMs = steadyMs();
    while (steadyMs() - startedMs < MaxCheckMs) {
        const ProbeResult probe = co_await probeUpstream(context, upstream);
        if (probe == ProbeResult::Gone || hasStartedAnew(context, upstream)) {
            co_return EndCheckOutcome::Ended;
        }
        if (probe == ProbeResult::Answered) {
            // An upstream that has only lost its connection to the store leaves the list too.
            co_return EndCheckOutcome::Lives;
        }
        recordUnconfirmed(context, lifetime);
        const std::int64_t probedMs = steadyMs();
        while (steadyMs() - probedMs < ProbeIntervalMs) {
            if (!isListed(context, upstream)) {
                co_return EndCheckOutcome::Ended;
            }
            co_await sleepFor(ListPollMs);
        }
    }
    co_return EndCheckOutcome::Unknown;
}

awaitable<void> runEndCheck(EntryContext &context, UpstreamInstance upstream, std::uint64_t lifetime)
{
    const std::int64_t startedMs = steadyMs();
    const EndCheckOutcome outcome = co_await checkEnd(context, upstream, lifetime);
    const auto waiting = context.m_endChecks.extract(lifetime);
    ++context.m_metrics.m_endChecks.at(static_cast<std::size_t>(outcome));
    logEvent(LogEvent::UpstreamChecked,
             {{"upstream", upstream.m_id},
              {"outcome", std::string(enumName(EndCheckOutcomeNames, outcome))},
              {"requests", static_cast<std::int64_t>(waiting.mapped().size())},
              {"took_ms", steadyMs() - startedMs}});
    if (outcome == EndCheckOutcome::Ended) {
        learnEnded(context, lifetime, steadyMs());
    }
    if (outcome == EndCheckOutcome::Lives) {
        context.m_availability.recordLives({upstream.m_id, upstream.m_startedMs}, steadyMs());
        context.m_availability.endListedAgain(upstream.m_id);
        for (const std::pair<const std::uint64_t, UnansweredRun> &request : waiting.mapped()) {
            const CrashSuspects suspects(request.first, request.second.m_parts);
            context.m_crashLedger.recordLives(suspects, lifetime, steadyMs());
            if (request.second.m_mayBeComplete) {
                context.m_crashLedger.recordSurvived(suspects, steadyMs());
            }
        }
    }
    if (outcome != EndCheckOutcome::Ended) {
        co_return;
    }
    for (const std::pair<const std::uint64_t, UnansweredRun> &request : waiting.mapped()) {
        const std::uint64_t fingerprint = request.first;
        const CrashSuspects suspects(fingerprint, request.second.m_parts);
        context.m_crashLedger.recordEnd(suspects, lifetime, request.second.m_run, steadyMs());
        const CrashFinding finding = context.m_crashLedger.judge(suspects, steadyMs());
        logEvent(LogEvent::UpstreamEnded,
                 {{"upstream", upstream.m_id},
                  {"fingerprint", toHex(fingerprint)},
                  {"parts", joinHex(request.second.m_parts)},
                  {"requests", static_cast<std::int64_t>(waiting.mapped().size())},
                  {"upstreams_ended", static_cast<std::int64_t>(context.m_crashLedger.upstreamsEnded(fingerprint))},
                  {"suspected_part", finding.m_isPart ? toHex(finding.m_suspect) : std::string()},
                  {"suspected_part_upstreams", static_cast<std::int64_t>(finding.m_isPart ? finding.m_upstreams : 0)},
                  {"poison", finding.m_verdict == CrashVerdict::Poison}});
    }
}

/** Grants a lease for the observations if there is none or it has run for half of its time. Returns none if that fails. */
awaitable<platform::StoreLease> leaseForCrashes(EntryContext &context, platform::StoreLease lease, std::int64_t grantedMs)
{
    if (lease.m_id != 0 && lease.m_era == context.m_store.m_era && steadyMs() - grantedMs < CrashLedger::RetentionMs / 2) {
        co_return lease;
    }
    const Result<platform::StoreLease> granted =
        co_await platform::storeGrantLease(context.m_store, CrashLedger::RetentionMs, context.m_settings.m_storeTimeoutMs);
    co_return failed(granted) ? platform::StoreLease() : valueOf(granted);
}
}

void checkUpstreamEnded(EntryContext &context, UpstreamInstance upstream, const CrashSuspects &suspects, std::int64_t sentMs, CheckedAnswer answer)
{
    const std::uint64_t lifetime = upstreamLifetime(upstream.m_id, upstream.m_startedMs);
    checkUpstream(context, std::move(upstream));
    context.m_endChecks[lifetime][suspects.m_request] = {{sentMs, steadyMs()}, suspects.m_parts, answer == CheckedAnswer::MayBeComplete};
}

void checkUpstream(EntryContext &context, UpstreamInstance upstream)
{
    const std::uint64_t lifetime = upstreamLifetime(upstream.m_id, upstream.m_startedMs);
    const auto [found, isNew] = context.m_endChecks.try_emplace(lifetime);
    if (isNew) {
        asio::co_spawn(context.m_io, runEndCheck(context, std::move(upstream), lifetime), asio::detached);
    }
}

void checkListedAgain(EntryContext &context, UpstreamInstance upstream)
{
    if (context.m_endChecks.size() >= MaxListedAgainChecks) {
        return;
    }
    constexpr std::int64_t LongestProbeMs = ProbeConnectTimeoutMs + ProbeAnswerTimeoutMs;
    context.m_availability.withhold(upstream.m_id, UpstreamAvailability::AnyEpoch, WithheldReason::ListedAgain, LongestProbeMs, steadyMs());
    checkUpstream(context, std::move(upstream));
}

void mergeCrashes(EntryContext &context, const std::vector<CrashObservation> &observations, bool own)
{
    const std::int64_t nowMs = steadyMs();
    context.m_crashLedger.merge(observations, own, nowMs);
    for (const CrashObservation &observation : observations) {
        if (!observation.m_refuted && !observation.m_unconfirmed) {
            learnEnded(context, observation.m_upstream, nowMs - observation.m_ageMs);
        }
    }
}

void applyStoredCrashes(EntryContext &context, const std::string &name, const StoreItem &item)
{
    // A removal only means that the lease has ended; observations expire here by their own age.
    if (item.m_deleted) {
        return;
    }
    const Result<std::vector<CrashObservation>> observations = decodeCrashes(item.m_value);
    if (failed(observations)) {
        logEvent(LogEvent::PeerRejected, {{"daemon", name}, {"error", describe(errorOf(observations))}});
        return;
    }
    // The first write of this process replaces what its predecessor stored, so it has to contain that.
    const bool isPredecessor = name == context.m_settings.m_name && !context.m_crashesStored;
    mergeCrashes(context, valueOf(observations), isPredecessor);
}

awaitable<void> publishCrashes(EntryContext &context)
{
    platform::StoreLease lease;
    std::int64_t grantedMs = 0;
    std::uint64_t storedVersion = 0;
    std::uint64_t storedEra = 0;
    while (true) {
        // What was stored in an earlier era may be lost.
        const bool isStored = context.m_crashLedger.ownVersion() == storedVersion && (storedVersion == 0 || storedEra == context.m_store.m_era);
        if (!context.m_mirrorSynced || isStored) {
            co_await sleepFor(PublishPollMs);
            continue;
        }
        const std::int64_t askedMs = steadyMs();
        const platform::StoreLease current = co_await leaseForCrashes(context, lease, grantedMs);
        grantedMs = current.m_id == lease.m_id && current.m_era == lease.m_era ? grantedMs : askedMs;
        lease = current;
        bool stored = false;
        if (lease.m_id != 0) {
            const std::uint64_t version = context.m_crashLedger.ownVersion();
            const std::vector<CrashObservation> own = context.m_crashLedger.ownObservations(CrashLedger::MaxOwn, CrashLedger::RetentionMs, steadyMs());
            platform::StoreTransaction transaction;
            transaction.m_writes.push_back({std::string(CrashesPrefix) + context.m_settings.m_name, encodeCrashes(own), lease.m_id});
            const Result<platform::StoreCommitResult> written =
                co_await platform::storeCommit(context.m_store, std::move(transaction), context.m_settings.m_storeTimeoutMs);
            stored = !failed(written) && valueOf(written).m_position.m_era == lease.m_era;
            storedEra = lease.m_era;
            const bool leaseEnded = failed(written) && errorOf(written).m_code == ErrorCode::NotFound;
            lease = leaseEnded ? platform::StoreLease() : lease;
            storedVersion = stored ? version : storedVersion;
            context.m_crashesStored = context.m_crashesStored || stored;
        }
        co_await sleepFor(stored ? PublishPauseMs : PublishRetryMs);
    }
}
}
