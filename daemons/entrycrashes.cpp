// Problem: a request that ends every upstream which runs it may come to any daemon, also after a restart or while messages are lost.
// Approach: a daemon that loses a connection asks the upstream's address whether anything still listens. What it observes goes into the store, under
// a key of its own that outlives the process, and into datagrams, which are faster and also arrive while the store is down.
// The list of upstreams alone shows an end only after three missed heartbeats, which is later than the request may come again.

#include "daemons/entrycrashes.h"

#include "net/crashcodec.h"
#include "net/logging.h"

namespace knapweedslip
{
namespace
{
/** Longest wait for a connection that shows whether the upstream still listens, in ms: connecting takes a few ms within a region. */
constexpr std::int64_t ProbeConnectTimeoutMs = 150;
/** How long an upstream that cannot be reached may stay in the list after its end, in ms: three missed heartbeats of 1.2 s and the relay of the update. */
constexpr std::int64_t ListedAfterEndMs = 6'000;
constexpr std::int64_t ListPollMs = 100;
/** Interval between checks for observations to store, and the least time between two writes, in ms: an upstream that ends causes several observations. */
constexpr std::int64_t PublishPollMs = 100;
constexpr std::int64_t PublishPauseMs = 400;
constexpr std::int64_t PublishRetryMs = 1'000;

/** Returns whether the list no longer has this lifetime of the upstream. */
bool isUnlisted(const EntryContext &context, const UpstreamInstance &upstream)
{
    const auto found = context.m_upstreams.find(upstream.m_id);
    return found == context.m_upstreams.end() || found->second.m_startedMs != upstream.m_startedMs;
}

awaitable<bool> hasEnded(EntryContext &context, UpstreamInstance upstream)
{
    const std::int64_t startedMs = steadyMs();
    const Result<HttpConnectionPtr> connection = co_await httpConnect(upstream.m_address, ProbeConnectTimeoutMs);
    if (failed(connection) && isConnectionRefused(errorOf(connection))) {
        co_return true;
    }
    // An upstream that is out of reach may live. It has ended if the store removes it.
    while (failed(connection) && !isUnlisted(context, upstream) && steadyMs() - startedMs < ListedAfterEndMs) {
        co_await sleepFor(ListPollMs);
    }
    co_return isUnlisted(context, upstream);
}

awaitable<void> runEndCheck(EntryContext &context, UpstreamInstance upstream, std::uint64_t lifetime)
{
    const std::int64_t startedMs = steadyMs();
    const bool ended = co_await hasEnded(context, upstream);
    const EndCheckOutcome outcome = ended ? EndCheckOutcome::Ended : EndCheckOutcome::Lives;
    const auto waiting = context.m_endChecks.extract(lifetime);
    ++context.m_metrics.m_endChecks.at(static_cast<std::size_t>(outcome));
    logEvent(LogEvent::UpstreamChecked,
             {{"upstream", upstream.m_id},
              {"outcome", std::string(enumName(EndCheckOutcomeNames, outcome))},
              {"requests", static_cast<std::int64_t>(waiting.empty() ? 0 : waiting.mapped().size())},
              {"took_ms", steadyMs() - startedMs}});
    if (!ended || waiting.empty()) {
        co_return;
    }
    for (const std::uint64_t fingerprint : waiting.mapped()) {
        context.m_crashLedger.recordEnd(fingerprint, lifetime, steadyMs());
        logEvent(LogEvent::UpstreamEnded,
                 {{"upstream", upstream.m_id},
                  {"fingerprint", toHex(fingerprint)},
                  {"requests", static_cast<std::int64_t>(waiting.mapped().size())},
                  {"upstreams_ended", static_cast<std::int64_t>(context.m_crashLedger.upstreamsEnded(fingerprint))},
                  {"poison", context.m_crashLedger.verdict(fingerprint, steadyMs()) == CrashVerdict::Poison}});
    }
}

/** Grants a lease for the observations if there is none or it has run for half of its time. Returns 0 if that fails. */
awaitable<std::uint64_t> leaseForCrashes(EntryContext &context, std::uint64_t lease, std::int64_t grantedMs)
{
    if (lease != 0 && steadyMs() - grantedMs < CrashLedger::RetentionMs / 2) {
        co_return lease;
    }
    const Result<platform::StoreLease> granted =
        co_await platform::storeGrantLease(context.m_store, CrashLedger::RetentionMs, context.m_settings.m_storeTimeoutMs);
    co_return failed(granted) ? 0 : valueOf(granted).m_id;
}
}

void checkUpstreamEnded(EntryContext &context, UpstreamInstance upstream, std::uint64_t fingerprint)
{
    const std::uint64_t lifetime = upstreamLifetime(upstream.m_id, upstream.m_startedMs);
    const bool isRunning = context.m_endChecks.count(lifetime) > 0;
    context.m_endChecks[lifetime].insert(fingerprint);
    if (!isRunning) {
        asio::co_spawn(context.m_io, runEndCheck(context, std::move(upstream), lifetime), asio::detached);
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
    context.m_crashLedger.merge(valueOf(observations), isPredecessor, steadyMs());
}

awaitable<void> publishCrashes(EntryContext &context)
{
    std::uint64_t lease = 0;
    std::int64_t grantedMs = 0;
    std::uint64_t storedVersion = 0;
    while (true) {
        if (!context.m_mirrorSynced || context.m_crashLedger.ownVersion() == storedVersion) {
            co_await sleepFor(PublishPollMs);
            continue;
        }
        const std::int64_t askedMs = steadyMs();
        const std::uint64_t current = co_await leaseForCrashes(context, lease, grantedMs);
        grantedMs = current == lease ? grantedMs : askedMs;
        lease = current;
        bool stored = false;
        if (lease != 0) {
            const std::uint64_t version = context.m_crashLedger.ownVersion();
            const std::vector<CrashObservation> own = context.m_crashLedger.ownObservations(CrashLedger::MaxOwn, CrashLedger::RetentionMs, steadyMs());
            platform::StoreTransaction transaction;
            transaction.m_writes.push_back({std::string(CrashesPrefix) + context.m_settings.m_name, encodeCrashes(own), lease});
            const Result<platform::StoreCommitResult> written =
                co_await platform::storeCommit(context.m_store, std::move(transaction), context.m_settings.m_storeTimeoutMs);
            stored = !failed(written);
            lease = failed(written) && errorOf(written).m_code == ErrorCode::NotFound ? 0 : lease;
            storedVersion = stored ? version : storedVersion;
            context.m_crashesStored = context.m_crashesStored || stored;
        }
        co_await sleepFor(stored ? PublishPauseMs : PublishRetryMs);
    }
}
}
