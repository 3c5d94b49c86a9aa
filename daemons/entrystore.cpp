// Problem: configuration, zones, upstreams and daemons change in the store; each call there costs, history may be dropped, and a key that was
// taken away must be known to be gone.
// Approach: one watch over everything, asked again after a short pause so that many changes come in one answer. An answer proves that all
// that was accepted before it was asked for is known. When history is gone, everything is read anew.
// A watch for each kind costs several times the calls, and their answers come in no common order.

#include "daemons/entrystore.h"

#include "kernel/hashing.h"
#include "net/jsonfields.h"
#include "net/logging.h"
#include "platform/configdecoder.h"
#include "platform/entrydecoder.h"
#include "platform/names.h"

#include <boost/json.hpp>

namespace knapweedslip
{
namespace json = boost::json;

namespace
{
using platform::StoreItem;
using platform::StoreItems;

constexpr std::string_view DaemonPrefix = "knapweedslip/vm/";
constexpr const char *LeaderKey = "knapweedslip/leader";
/** Everything in the store: the operators' part, the upstreams' and this system's. */
constexpr const char *WatchedPrefix = "";

/** Longest wait of a watch, in ms; the proof that the configuration is current gets this old while nothing changes. */
constexpr std::int64_t WatchWaitMs = 800;
/** Pause between two watches, in ms: upstreams renew their entries all the time, and one answer is to hold many of them. */
constexpr std::int64_t WatchPauseMs = 150;
/** The pause grows by this with each daemon, in ms, so that the calls of all daemons together stay below a hundred a second. */
constexpr std::int64_t WatchPausePerDaemonMs = 10;
/** Longest pause, in ms: with the wait of a call it stays below half of the shortest bound on taking news in force (2 s). */
constexpr std::int64_t LongestWatchPauseMs = 850;
/** Pause after a failed call, in ms. */
constexpr std::int64_t RetryPauseMs = 100;
/** Life of this daemon's entry, in ms: longer than a restart takes to be noticed by the balancer, shorter than the window of resends. */
constexpr std::int64_t PresenceTtlMs = 4'000;
/** Renewals in one life of a lease: two may be lost. */
constexpr std::int64_t RenewalsPerLife = 3;
/** The lease counts as held until this part of its life is left, in ms: a renewal's answer says when it arrived only by its sending. */
constexpr std::int64_t LeaseMarginMs = 100;
/** Daemons try to take the leadership one after the other, this far apart, in ms: a call and its answer. */
constexpr std::int64_t CampaignStepMs = 40;
constexpr std::int64_t CampaignTickMs = 25;

bool startsWith(const std::string &text, std::string_view prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

/** What this daemon holds of the store. */
struct Mirror
{
    std::map<std::string, std::uint64_t> m_revisions;
    std::uint64_t m_at = 0;
    bool m_synced = false;
    bool m_lost = false;
    std::int64_t m_lostSinceMs = 0;
    std::int64_t m_regainedMs = -1;
    /** Upstreams whose entries vanished while the store was away, and until when they are kept. */
    std::map<std::string, std::int64_t> m_doubtful;
    std::set<std::string> m_unreadable;
};

void takeConfig(EntryContext &context, const StoreItem &item)
{
    if (item.m_deleted || (context.m_config != nullptr && item.m_revision <= context.m_config->m_revision)) {
        return;
    }
    Result<CallConfigPtr> config = platform::decodeConfig(item.m_value, item.m_revision);
    if (failed(config)) {
        logEvent(LogEvent::ConfigUnreadable, {{"revision", static_cast<std::int64_t>(item.m_revision)}, {"error", describe(errorOf(config))}});
        return;
    }
    context.m_config = valueOf(config);
    logEvent(LogEvent::ConfigAdopted,
             {{"version", context.m_config->m_version},
              {"revision", static_cast<std::int64_t>(item.m_revision)},
              {"routes", static_cast<std::int64_t>(context.m_config->m_routes.size())},
              {"workspaces", static_cast<std::int64_t>(context.m_config->m_workspaces.size())}});
    if (const CallService *service = engineService(*context.m_config)) {
        context.m_keeper.setService(*service);
    }
}

void takeEvacuation(EntryContext &context, const std::string &zone, const StoreItem &item)
{
    const bool changed = item.m_deleted ? context.m_evacuatedZones.erase(zone) > 0 : context.m_evacuatedZones.insert(zone).second;
    if (changed) {
        logEvent(LogEvent::EvacuationChanged,
                 {{"availability_zone", zone}, {"out_of_service", !item.m_deleted}, {"revision", static_cast<std::int64_t>(item.m_revision)}});
    }
}

void dropUpstream(EntryContext &context, const std::string &id, const char *why)
{
    if (context.m_upstreams.erase(id) > 0) {
        context.m_keeper.forget(id);
        context.m_coldGates.erase(id);
        logEvent(LogEvent::UpstreamChanged, {{"upstream", id}, {"change", std::string(why)}});
    }
}

void takeUpstream(EntryContext &context, Mirror &mirror, const std::string &id, const StoreItem &item)
{
    const std::int64_t nowMs = steadyMs();
    if (item.m_deleted) {
        const bool storeWasAway = mirror.m_regainedMs >= 0 && nowMs - mirror.m_regainedMs < context.m_settings.m_addressReuseMs;
        if (storeWasAway && context.m_upstreams.count(id) > 0) {
            mirror.m_doubtful.emplace(id, mirror.m_regainedMs + context.m_settings.m_addressReuseMs);
        } else {
            dropUpstream(context, id, "gone");
        }
        return;
    }
    mirror.m_doubtful.erase(id);
    Result<UpstreamEntry> decoded = platform::decodeEntry(id, item.m_value, nowMs);
    if (failed(decoded)) {
        if (mirror.m_unreadable.insert(id).second) {
            logEvent(LogEvent::UpstreamUnreadable, {{"upstream", id}, {"error", describe(errorOf(decoded))}});
        }
        dropUpstream(context, id, "unreadable");
        return;
    }
    UpstreamEntry &entry = valueOf(decoded);
    const auto known = context.m_upstreams.find(id);
    const bool changed = known == context.m_upstreams.end() || known->second.m_leaving != entry.m_leaving || known->second.m_bornMs != entry.m_bornMs
                         || known->second.m_phase != entry.m_phase || !(known->second.m_replica == entry.m_replica);
    if (changed) {
        logEvent(LogEvent::UpstreamChanged,
                 {{"upstream", id},
                  {"change", std::string(known == context.m_upstreams.end() ? "new" : "changed")},
                  {"leaving", entry.m_leaving},
                  {"group", entry.m_replica.m_name},
                  {"rank", static_cast<std::int64_t>(entry.m_rank)},
                  {"phase", std::string(enumName(MemberPhaseNames, entry.m_phase))},
                  {"cold_ms", entry.m_coldUntilMs > 0 ? entry.m_coldUntilMs - nowMs : std::int64_t(0)},
                  {"revision", static_cast<std::int64_t>(item.m_revision)}});
    }
    if (!entry.m_domain.empty()) {
        context.m_keeper.observe(entry, nowMs);
    }
    context.m_upstreams[id] = std::move(entry);
}

void takeDaemon(EntryContext &context, const std::string &name, const StoreItem &item)
{
    if (item.m_deleted) {
        context.m_peers.erase(name);
    } else {
        const json::object object = parseJsonObject(item.m_value);
        context.m_peers[name] = {name, textField(object, "address"), textField(object, "availability_zone")};
    }
    logEvent(LogEvent::DaemonsChanged, {{"daemon", name}, {"gone", item.m_deleted}, {"daemons", static_cast<std::int64_t>(daemonCount(context))}});
}

void takeItem(EntryContext &context, Mirror &mirror, const StoreItem &item)
{
    std::uint64_t &revision = mirror.m_revisions[item.m_key];
    if (item.m_revision <= revision) {
        return;
    }
    revision = item.m_revision;
    if (item.m_key == platform::key::Config) {
        takeConfig(context, item);
    } else if (startsWith(item.m_key, platform::key::EvacuatedZone)) {
        takeEvacuation(context, item.m_key.substr(platform::key::EvacuatedZone.size()), item);
    } else if (startsWith(item.m_key, platform::key::Upstream)) {
        takeUpstream(context, mirror, item.m_key.substr(platform::key::Upstream.size()), item);
    } else if (startsWith(item.m_key, DaemonPrefix)) {
        takeDaemon(context, item.m_key.substr(DaemonPrefix.size()), item);
    } else if (item.m_key == LeaderKey) {
        context.m_leader = item.m_deleted ? std::string() : item.m_value;
        logEvent(LogEvent::LeaderSeen, {{"leader", context.m_leader}, {"revision", static_cast<std::int64_t>(item.m_revision)}});
    }
    if (item.m_deleted) {
        mirror.m_revisions.erase(item.m_key);
    }
}

void noteAnswer(EntryContext &context, Mirror &mirror, std::int64_t askedMs)
{
    context.m_proofMs = std::max(context.m_proofMs, askedMs);
    if (mirror.m_lost) {
        mirror.m_lost = false;
        mirror.m_regainedMs = steadyMs();
        logEvent(LogEvent::StoreRecovered, {{"away_ms", mirror.m_regainedMs - mirror.m_lostSinceMs}});
    }
}

void noteFailure(const EntryContext &context, Mirror &mirror, const Error &error)
{
    if (!mirror.m_lost) {
        mirror.m_lost = true;
        mirror.m_lostSinceMs = steadyMs();
        logEvent(LogEvent::StoreLost, {{"error", describe(error)}, {"proof_age_ms", context.m_proofMs < 0 ? -1 : steadyMs() - context.m_proofMs}});
    }
}

/** Reads everything, page by page. Pages are no snapshot: the watch goes on from the revision of the first. */
awaitable<Result<Done>> readAll(EntryContext &context, Mirror &mirror)
{
    std::map<std::string, std::uint64_t> before = mirror.m_revisions;
    std::string after;
    std::uint64_t firstAt = 0;
    const std::int64_t askedMs = steadyMs();
    while (true) {
        Result<StoreItems> page = co_await platform::storeRange(context.m_store, WatchedPrefix, after, context.m_settings.m_storeTimeoutMs);
        if (failed(page)) {
            co_return errorOf(page);
        }
        noteAnswer(context, mirror, -1);
        firstAt = firstAt == 0 ? valueOf(page).m_at : firstAt;
        for (const StoreItem &item : valueOf(page).m_items) {
            before.erase(item.m_key);
            takeItem(context, mirror, item);
            after = item.m_key;
        }
        if (!valueOf(page).m_more || valueOf(page).m_items.empty()) {
            break;
        }
    }
    for (const std::pair<const std::string, std::uint64_t> &entry : before) {
        StoreItem gone;
        gone.m_key = entry.first;
        gone.m_deleted = true;
        gone.m_revision = std::max(firstAt, entry.second + 1);
        takeItem(context, mirror, gone);
    }
    mirror.m_at = firstAt;
    mirror.m_synced = true;
    noteAnswer(context, mirror, askedMs);
    co_return Done{};
}

void dropDoubtful(EntryContext &context, Mirror &mirror)
{
    const std::int64_t nowMs = steadyMs();
    for (auto it = mirror.m_doubtful.begin(); it != mirror.m_doubtful.end();) {
        if (nowMs >= it->second) {
            dropUpstream(context, it->first, "not back after the store was away");
            it = mirror.m_doubtful.erase(it);
        } else {
            ++it;
        }
    }
}

std::int64_t watchPause(const EntryContext &context)
{
    // The leader's repairs wait for what the list says.
    return leads(context) ? WatchPauseMs : std::clamp(WatchPausePerDaemonMs * daemonCount(context), WatchPauseMs, LongestWatchPauseMs);
}

awaitable<Result<Done>> watchOnce(EntryContext &context, Mirror &mirror)
{
    const std::int64_t askedMs = steadyMs();
    Result<StoreItems> changes = co_await platform::storeWatch(context.m_store, WatchedPrefix, mirror.m_at, WatchWaitMs, context.m_settings.m_storeTimeoutMs);
    if (failed(changes)) {
        if (errorOf(changes).m_code == ErrorCode::NotFound) {
            mirror.m_synced = false;
            logEvent(LogEvent::HistoryLost, {{"revision", static_cast<std::int64_t>(mirror.m_at)}});
        }
        co_return errorOf(changes);
    }
    for (const StoreItem &item : valueOf(changes).m_items) {
        takeItem(context, mirror, item);
    }
    mirror.m_at = std::max(mirror.m_at, valueOf(changes).m_at);
    noteAnswer(context, mirror, askedMs);
    co_return Done{};
}
}

awaitable<void> followStore(EntryContext &context)
{
    Mirror mirror;
    while (!context.m_stopping) {
        Result<Done> done = Done{};
        if (mirror.m_synced) {
            done = co_await watchOnce(context, mirror);
        } else {
            done = co_await readAll(context, mirror);
        }
        dropDoubtful(context, mirror);
        refreshBooks(context);
        if (failed(done) && errorOf(done).m_code != ErrorCode::NotFound) {
            noteFailure(context, mirror, errorOf(done));
            co_await sleepFor(RetryPauseMs);
        } else if (!failed(done)) {
            co_await sleepFor(watchPause(context));
        }
    }
}

awaitable<void> keepPresence(EntryContext &context)
{
    const std::string key = std::string(DaemonPrefix) + context.m_settings.m_name;
    const std::string value =
        json::serialize(json::object{{"address", context.m_settings.m_peerListen}, {"availability_zone", context.m_settings.m_availabilityZone}});
    std::uint64_t lease = 0;
    while (!context.m_stopping) {
        if (lease == 0) {
            const Result<platform::StoreLease> granted = co_await platform::storeLease(context.m_store, PresenceTtlMs, context.m_settings.m_storeTimeoutMs);
            if (!failed(granted)) {
                platform::StoreTransaction transaction;
                transaction.m_writes.push_back({key, value, valueOf(granted).m_id});
                const Result<platform::StoreAnswer> written =
                    co_await platform::storeCommit(context.m_store, std::move(transaction), context.m_settings.m_storeTimeoutMs);
                lease = failed(written) ? 0 : valueOf(granted).m_id;
            }
        } else {
            const Result<std::int64_t> kept = co_await platform::storeKeep(context.m_store, lease, context.m_settings.m_storeTimeoutMs);
            if (failed(kept) && errorOf(kept).m_code == ErrorCode::NotFound) {
                lease = 0;
                continue;
            }
        }
        co_await sleepFor(lease == 0 ? RetryPauseMs : PresenceTtlMs / RenewalsPerLife);
    }
    if (lease != 0) {
        co_await platform::storeEndLease(context.m_store, lease, context.m_settings.m_storeTimeoutMs);
    }
}

namespace
{
/** Place of this daemon in the order in which daemons try to lead. */
std::int64_t campaignRank(const EntryContext &context)
{
    const std::uint64_t own = rendezvousWeight(LeaderKey, context.m_settings.m_name);
    std::int64_t rank = 0;
    for (const std::pair<const std::string, EntryPeer> &peer : context.m_peers) {
        rank += peer.first != context.m_settings.m_name && rendezvousWeight(LeaderKey, peer.first) > own ? 1 : 0;
    }
    return rank;
}

void loseLeadership(EntryContext &context, const char *why)
{
    logEvent(LogEvent::LeadershipLost, {{"fence", static_cast<std::int64_t>(context.m_leadership.m_fence)}, {"reason", std::string(why)}});
    context.m_leadership = {};
}

awaitable<void> renewLeadership(EntryContext &context)
{
    const std::int64_t askedMs = steadyMs();
    const std::uint64_t fence = context.m_leadership.m_fence;
    const Result<std::int64_t> kept = co_await platform::storeKeep(context.m_store, context.m_leadership.m_lease, context.m_settings.m_leaseMs / 2);
    if (context.m_leadership.m_fence != fence || fence == 0) {
        co_return;
    }
    if (!failed(kept)) {
        context.m_leadership.m_validUntilMs = askedMs + valueOf(kept) - LeaseMarginMs;
    } else if (errorOf(kept).m_code == ErrorCode::NotFound) {
        loseLeadership(context, "the lease has ended");
    } else if (steadyMs() >= context.m_leadership.m_validUntilMs) {
        loseLeadership(context, "the lease could not be renewed");
    }
}

awaitable<void> tryToLead(EntryContext &context)
{
    const std::int64_t askedMs = steadyMs();
    const std::int64_t timeoutMs = context.m_settings.m_leaseMs / 2;
    const Result<platform::StoreLease> lease = co_await platform::storeLease(context.m_store, context.m_settings.m_leaseMs, timeoutMs);
    if (failed(lease)) {
        co_return;
    }
    platform::StoreTransaction transaction;
    transaction.m_conditions.push_back({LeaderKey, 0});
    transaction.m_writes.push_back({LeaderKey, context.m_settings.m_name, valueOf(lease).m_id});
    const Result<platform::StoreAnswer> answer = co_await platform::storeCommit(context.m_store, std::move(transaction), timeoutMs);
    if (failed(answer) || !valueOf(answer).m_done) {
        // Also an unclear write dies with its lease.
        co_await platform::storeEndLease(context.m_store, valueOf(lease).m_id, timeoutMs);
        co_return;
    }
    context.m_leadership.m_fence = valueOf(answer).m_revision;
    context.m_leadership.m_lease = valueOf(lease).m_id;
    context.m_leadership.m_validUntilMs = askedMs + valueOf(lease).m_ttlMs - LeaseMarginMs;
    context.m_leader = context.m_settings.m_name;
    logEvent(LogEvent::LeadershipTaken, {{"fence", static_cast<std::int64_t>(context.m_leadership.m_fence)}, {"lease_ms", valueOf(lease).m_ttlMs}});
    if (context.m_config != nullptr) {
        if (const CallService *service = engineService(*context.m_config)) {
            context.m_keeper.beginTerm(context.m_leadership.m_fence, *service, steadyMs());
        }
    }
}
}

awaitable<void> campaign(EntryContext &context)
{
    std::int64_t vacantSinceMs = -1;
    std::int64_t renewedMs = 0;
    while (!context.m_stopping) {
        const std::int64_t nowMs = steadyMs();
        if (context.m_leadership.m_fence != 0) {
            vacantSinceMs = -1;
            if (nowMs >= context.m_leadership.m_validUntilMs) {
                loseLeadership(context, "the lease ran out");
            } else if (context.m_leadership.m_renewNow || nowMs - renewedMs >= context.m_settings.m_leaseMs / RenewalsPerLife) {
                renewedMs = nowMs;
                context.m_leadership.m_renewNow = false;
                co_await renewLeadership(context);
            }
        } else if (!context.m_leader.empty() || context.m_proofMs < 0 || context.m_config == nullptr) {
            vacantSinceMs = -1;
        } else {
            vacantSinceMs = vacantSinceMs < 0 ? nowMs : vacantSinceMs;
            if (nowMs - vacantSinceMs >= campaignRank(context) * CampaignStepMs) {
                co_await tryToLead(context);
                renewedMs = steadyMs();
                vacantSinceMs = -1;
            }
        }
        co_await sleepFor(CampaignTickMs);
    }
}

awaitable<void> leaveDeployment(EntryContext &context)
{
    if (context.m_leadership.m_fence != 0) {
        const std::uint64_t lease = context.m_leadership.m_lease;
        loseLeadership(context, "planned stop");
        co_await platform::storeEndLease(context.m_store, lease, context.m_settings.m_storeTimeoutMs);
    }
}
}
