// Problem: configuration, zones, upstreams and daemons change in the store. Each call to the store has a cost, the store may drop its history, and
// it must be known when a client's key has been revoked.
// Approach: one watch covers all keys. It is repeated after a short pause, so that one answer contains many changes. An answer confirms that every
// change accepted before the request is known. If the history was dropped, all keys are read again. In a large deployment most daemons get the
// updates from another daemon (see fetchStoreUpdates()), with the age of that daemon's confirmation, and call the store only if that fails.
// A watch for each kind of key would cost several times as many calls, and their answers would arrive in no common order.

#include "daemons/entrystore.h"

#include "daemons/entrycrashes.h"
#include "daemons/entryremovals.h"
#include "daemons/entrystoreupdates.h"
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
using platform::StoreItems;

constexpr std::string_view DaemonPrefix = "knapweedslip/vm/";
constexpr const char *LeaderKey = "knapweedslip/leader";
/** All keys of the store: those of the operators, of the upstreams and of this system. */
constexpr const char *WatchedPrefix = "";

/** Longest wait of a watch, in ms: the confirmation that the configuration is current gets this old while nothing changes. */
constexpr std::int64_t WatchWaitMs = 800;
/** Pause between two watches, in ms: upstreams renew their entries all the time, and one answer should contain many renewals. */
constexpr std::int64_t WatchPauseMs = 150;
/** The pause grows by this much with each daemon, in ms, so that all daemons together make fewer than a hundred calls per second. */
constexpr std::int64_t WatchPausePerDaemonMs = 10;
/** Longest pause between two watches, in ms: with the wait of a call it stays below half of the shortest limit for applying a change (2 s). */
constexpr std::int64_t MaxWatchPauseMs = 850;
/** Pause after a failed call, in ms; doubled with each consecutive failure. */
constexpr std::int64_t RetryPauseMs = 100;
/**
 * Longest pause after failed calls, in ms: a daemon that reaches the store again applies all changes within half of the shortest limit for that
 * (2 s).
 */
constexpr std::int64_t MaxRetryPauseMs = 800;
/** Pause between two watches of a daemon that serves updates to others, in ms: the delay over two daemons stays below half a second. */
constexpr std::int64_t SourceWatchPauseMs = 250;
/**
 * Longest wait of a watch of such a daemon, in ms: together with the wait of the daemons that request updates (300 ms), the age of their
 * confirmation stays near a second.
 */
constexpr std::int64_t SourceWatchWaitMs = 500;
/** Pause between two requests to another daemon, in ms: changes made at the same time arrive in one answer. */
constexpr std::int64_t PeerFetchPauseMs = 100;
/** How long a daemon that failed as a source is not used, in ms: about the time after which its registration expires (4 s). */
constexpr std::int64_t AvoidFailedSourceMs = 4'000;
/** Time to live of this daemon's registration, in ms: longer than the balancer takes to notice a restart, shorter than the window of resends. */
constexpr std::int64_t RegistrationTtlMs = 4'000;
/** All daemons that have to register again do so within this time for each of them, in ms: both calls of each stay within half of the store's rate. */
constexpr std::int64_t RegisterAgainPerDaemonMs = 10;
/** Renewals within the time to live of a lease: two may be lost. */
constexpr std::int64_t RenewalsPerTtl = 3;
/** The lease counts as held until this long before its end, in ms: only the time at which a renewal was sent is known, not when the store received it. */
constexpr std::int64_t LeaseMarginMs = 100;
/** Interval between the attempts of successive daemons to become the leader, in ms: the duration of one call. */
constexpr std::int64_t ElectionStaggerMs = 40;
constexpr std::int64_t ElectionPollMs = 25;

bool startsWith(const std::string &text, std::string_view prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

/** State of following the store, besides the copy of its content. */
struct FollowState
{
    std::int64_t m_unreachableSinceMs = 0;
    /** Consecutive failed calls. */
    int m_failures = 0;
    FailedSources m_failedSources;
    /** Daemon from which updates are fetched; empty for the store. */
    std::string m_source;
    /** Other daemons fetch their updates from this one. */
    bool m_watchesForZone = false;
    /** Number of items in the last answer to a watch. */
    std::size_t m_lastItemCount = 0;
    /** Upstreams with an unreadable entry that was already logged. */
    std::set<std::string> m_loggedUnreadable;
};

std::int64_t revisionOf(const StoreItem &item)
{
    return static_cast<std::int64_t>(item.m_position.m_revision);
}

void applyConfig(EntryContext &context, const StoreItem &item)
{
    if (item.m_deleted) {
        return;
    }
    Result<CallConfigPtr> config = platform::decodeConfig(item.m_value, item.m_position);
    if (failed(config)) {
        logEvent(LogEvent::ConfigUnreadable, {{"revision", revisionOf(item)}, {"error", describe(errorOf(config))}});
        return;
    }
    if (context.m_config != nullptr && !supersedes(*valueOf(config), *context.m_config)) {
        logEvent(LogEvent::ConfigKept,
                 {{"version", context.m_config->m_version},
                  {"offered_version", valueOf(config)->m_version},
                  {"era", static_cast<std::int64_t>(item.m_position.m_era)},
                  {"revision", revisionOf(item)}});
        return;
    }
    context.m_config = valueOf(config);
    logEvent(LogEvent::ConfigAdopted,
             {{"version", context.m_config->m_version},
              {"era", static_cast<std::int64_t>(item.m_position.m_era)},
              {"revision", revisionOf(item)},
              {"routes", static_cast<std::int64_t>(context.m_config->m_routes.size())},
              {"workspaces", static_cast<std::int64_t>(context.m_config->m_workspaces.size())}});
    if (const CallService *service = findEngineService(*context.m_config)) {
        context.m_reconciler.setService(*service);
    }
}

void applyEvacuation(EntryContext &context, const std::string &zone, const StoreItem &item)
{
    if (item.m_deleted && context.m_evacuatedZones.count(zone) > 0 && holdBackRemoval(context, item)) {
        return;
    }
    context.m_heldBackRemovals.erase(item.m_key);
    const bool changed = item.m_deleted ? context.m_evacuatedZones.erase(zone) > 0 : context.m_evacuatedZones.insert(zone).second;
    if (changed) {
        context.m_availability.setZonesOutOfService(context.m_evacuatedZones);
        logEvent(LogEvent::EvacuationChanged, {{"availability_zone", zone}, {"out_of_service", !item.m_deleted}, {"revision", revisionOf(item)}});
    }
}

/**
 * Returns whether two entries describe the same state of an upstream. Small differences in the end of the cold phase are ignored: each renewal
 * contains the remaining time, which varies with the delay of the renewal.
 */
bool describesSameState(const UpstreamEntry &a, const UpstreamEntry &b)
{
    constexpr std::int64_t ColdSlackMs = 300;
    return a.m_service == b.m_service && a.m_address == b.m_address && a.m_availabilityZone == b.m_availabilityZone && a.m_slots == b.m_slots
           && a.m_leaving == b.m_leaving && a.m_startedMs == b.m_startedMs && a.m_domain == b.m_domain && a.m_stagedModels == b.m_stagedModels
           && a.m_replica == b.m_replica && a.m_rank == b.m_rank && a.m_phase == b.m_phase && std::abs(a.m_coldUntilMs - b.m_coldUntilMs) <= ColdSlackMs;
}

/** What an item of the store changes. */
enum class ItemEffect {
    Changes,
    /** It only renews what is known. */
    Renews,
    /** It is older than what is known. */
    None,
};

/** Applies the removal of the entry of upstream @p id. */
void applyUpstreamRemoval(EntryContext &context, const std::string &id, const StoreItem &item)
{
    const auto known = context.m_upstreams.find(id);
    if (known == context.m_upstreams.end()) {
        return;
    }
    const std::int64_t startedMs = known->second.m_startedMs;
    const bool mayBeLost = item.m_position.m_era != known->second.m_position.m_era;
    if (context.m_availability.recordRemoval(id, mayBeLost, steadyMs())) {
        context.m_reconciler.markLeaving(id, startedMs);
    } else if (holdBackRemoval(context, item)) {
        return;
    }
    context.m_heldBackRemovals.erase(item.m_key);
    dropUpstream(context, id, "gone", &item);
}

/** Records that the list still shows @p entry, which is older than what is known of its upstream. */
void ignoreEntry(EntryContext &context, const UpstreamEntry &entry, EntryOrder order)
{
    logEvent(LogEvent::EntryIgnored,
             {{"upstream", entry.m_id},
              {"reason", std::string(enumName(EntryOrderNames, order))},
              {"leaving", entry.m_leaving},
              {"started_ms", entry.m_startedMs},
              {"write", entry.m_writeNumber},
              {"revision", static_cast<std::int64_t>(entry.m_position.m_revision)}});
    const auto known = context.m_upstreams.find(entry.m_id);
    if (entry.m_leaving && known != context.m_upstreams.end() && known->second.m_startedMs == entry.m_startedMs) {
        known->second.m_leaving = true;
        context.m_reconciler.markLeaving(entry.m_id, entry.m_startedMs);
    }
}

/** Applies a change of the entry of upstream @p id. */
ItemEffect applyUpstream(EntryContext &context, FollowState &followState, const std::string &id, const StoreItem &item)
{
    const std::int64_t nowMs = steadyMs();
    if (item.m_deleted) {
        applyUpstreamRemoval(context, id, item);
        return ItemEffect::Changes;
    }
    Result<UpstreamEntry> decoded = platform::decodeEntry(id, item.m_value, nowMs);
    if (failed(decoded)) {
        if (followState.m_loggedUnreadable.insert(id).second) {
            logEvent(LogEvent::UpstreamUnreadable, {{"upstream", id}, {"error", describe(errorOf(decoded))}});
        }
        context.m_heldBackRemovals.erase(item.m_key);
        dropUpstream(context, id, "unreadable", &item);
        return ItemEffect::Changes;
    }
    UpstreamEntry &entry = valueOf(decoded);
    entry.m_position = item.m_position;
    entry.m_readMs = nowMs;
    // What the store accepted before this time was known already, unless it comes from an older copy of the store.
    const bool isSameEra = item.m_position.m_era == context.m_mirror.completeTo().m_era;
    entry.m_writtenAfterMs = isSameEra ? context.m_confirmedMs : -1;
    const UpstreamLifetime lifetime{id, entry.m_startedMs};
    // An entry whose removal was held back stayed in use.
    const bool isListedAgain = context.m_upstreams.count(id) == 0 && context.m_availability.isRemoved(lifetime);
    const EntryOrder order = context.m_availability.observe(entry, nowMs);
    if (order != EntryOrder::Current) {
        ignoreEntry(context, entry, order);
        return ItemEffect::None;
    }
    entry.m_leaving = context.m_availability.isLeaving(lifetime);
    if (isListedAgain && !entry.m_leaving) {
        checkListedAgain(context, {id, entry.m_address, entry.m_startedMs});
    }
    context.m_heldBackRemovals.erase(item.m_key);
    const auto known = context.m_upstreams.find(id);
    const bool isUpdate = known == context.m_upstreams.end() || !describesSameState(known->second, entry);
    const bool changed = known == context.m_upstreams.end() || known->second.m_leaving != entry.m_leaving || known->second.m_startedMs != entry.m_startedMs
                         || known->second.m_phase != entry.m_phase || !(known->second.m_replica == entry.m_replica);
    if (changed) {
        logEvent(LogEvent::UpstreamChanged,
                 {{"upstream", id},
                  {"change", std::string(known == context.m_upstreams.end() ? "new" : "changed")},
                  {"availability_zone", entry.m_availabilityZone},
                  {"leaving", entry.m_leaving},
                  {"group", entry.m_replica.m_name},
                  {"rank", static_cast<std::int64_t>(entry.m_rank)},
                  {"phase", std::string(enumName(MemberPhaseNames, entry.m_phase))},
                  {"cold_ms", entry.m_coldUntilMs > 0 ? entry.m_coldUntilMs - nowMs : std::int64_t(0)},
                  {"started_ms", entry.m_startedMs},
                  {"write", entry.m_writeNumber},
                  {"proof_age_ms", nowMs - context.m_confirmedMs},
                  {"revision", revisionOf(item)}});
    }
    if (!entry.m_domain.empty()) {
        context.m_reconciler.observe(entry, nowMs);
    }
    context.m_upstreams[id] = std::move(entry);
    return isUpdate ? ItemEffect::Changes : ItemEffect::Renews;
}

void applyDaemon(EntryContext &context, const std::string &name, const StoreItem &item)
{
    if (item.m_deleted) {
        context.m_peers.erase(name);
        context.m_reportPeers.endRegistration(name, steadyMs());
        context.m_coldMembers.remove(name, steadyMs());
        context.m_resendMembers.remove(name, steadyMs());
    } else {
        context.m_coldMembers.add(name, steadyMs());
        context.m_resendMembers.add(name, steadyMs());
        const json::object object = parseJsonObject(item.m_value);
        context.m_peers[name] = {name, stringField(object, "address"), stringField(object, "availability_zone"), doubleField(object, "cpu_share")};
        context.m_reportPeers.setRegistered(name, stringField(object, "address"));
    }
    logEvent(LogEvent::DaemonsChanged, {{"daemon", name}, {"gone", item.m_deleted}, {"daemons", static_cast<std::int64_t>(daemonCount(context))}});
}

void applyItem(EntryContext &context, FollowState &followState, const StoreItem &item)
{
    if (!context.m_mirror.isNewer(item)) {
        return;
    }
    ItemEffect effect = ItemEffect::Changes;
    if (item.m_key == platform::key::Config) {
        applyConfig(context, item);
    } else if (startsWith(item.m_key, platform::key::EvacuatedZone)) {
        applyEvacuation(context, item.m_key.substr(platform::key::EvacuatedZone.size()), item);
    } else if (startsWith(item.m_key, platform::key::Upstream)) {
        effect = applyUpstream(context, followState, item.m_key.substr(platform::key::Upstream.size()), item);
    } else if (startsWith(item.m_key, DaemonPrefix)) {
        applyDaemon(context, item.m_key.substr(DaemonPrefix.size()), item);
    } else if (startsWith(item.m_key, CrashesPrefix)) {
        applyStoredCrashes(context, item.m_key.substr(CrashesPrefix.size()), item);
    } else if (item.m_key == LeaderKey) {
        context.m_leader = item.m_deleted ? std::string() : item.m_value;
        logEvent(LogEvent::LeaderSeen, {{"leader", context.m_leader}, {"revision", revisionOf(item)}});
    }
    if (effect == ItemEffect::None) {
        context.m_mirror.keep(item);
    } else {
        context.m_mirror.put(item, effect == ItemEffect::Changes);
    }
}

void recordStoreAnswer(EntryContext &context, const FollowState &followState, std::int64_t askedMs)
{
    context.m_confirmedMs = std::max(context.m_confirmedMs, askedMs);
    context.m_storeOutage.recordProof(askedMs);
    if (context.m_storeOutage.isOver()) {
        return;
    }
    const std::int64_t nowMs = steadyMs();
    const std::int64_t awayForAllMs = context.m_storeOutage.end(nowMs);
    logEvent(LogEvent::StoreRecovered,
             {{"away_ms", nowMs - followState.m_unreachableSinceMs},
              {"away_for_all_ms", awayForAllMs},
              {"removals_held_back", awayForAllMs >= shortestOutageMs(context.m_settings)},
              {"daemons_heard", static_cast<std::int64_t>(context.m_reportPeers.heardCount())}});
}

void recordStoreFailure(EntryContext &context, FollowState &followState, const Error &error)
{
    if (context.m_storeOutage.isOver()) {
        context.m_storeOutage.begin();
        followState.m_unreachableSinceMs = steadyMs();
        logEvent(LogEvent::StoreLost,
                 {{"error", describe(error)},
                  {"proof_age_ms", context.m_confirmedMs < 0 ? -1 : steadyMs() - context.m_confirmedMs},
                  {"daemons_heard", static_cast<std::int64_t>(context.m_reportPeers.heardCount())}});
    }
}

/**
 * Must be called before items of @p era are applied. If it is a later one than before, the store may get again what it lost: until then what is known of
 * upstreams and evacuated zones is kept.
 */
void enterEra(EntryContext &context, std::uint64_t era)
{
    if (era <= context.m_followedEra) {
        return;
    }
    const StorePosition known = context.m_mirror.completeTo();
    context.m_followedEra = era;
    context.m_store.m_era = std::max(context.m_store.m_era, era);
    if (known == StorePosition()) {
        // Nothing was read before.
        return;
    }
    context.m_eraRisenMs = steadyMs();
    logEvent(LogEvent::StoreEraRisen,
             {{"era", static_cast<std::int64_t>(era)},
              {"known_era", static_cast<std::int64_t>(known.m_era)},
              {"known_revision", static_cast<std::int64_t>(known.m_revision)},
              {"config_version", context.m_config == nullptr ? std::int64_t(-1) : context.m_config->m_version}});
}

/** Applies the removal of @p keys (with the position of their last write), which were found missing as of @p position. */
void removeKeys(EntryContext &context, FollowState &followState, const std::map<std::string, StorePosition> &keys, const StorePosition &position)
{
    for (const std::pair<const std::string, StorePosition> &entry : keys) {
        StoreItem removal;
        removal.m_key = entry.first;
        removal.m_deleted = true;
        removal.m_position = std::max(position, {entry.second.m_era, entry.second.m_revision + 1});
        applyItem(context, followState, removal);
    }
}

/** Reads all keys, page by page. The pages are not one snapshot, so the watch continues from the position of the first. */
awaitable<Result<Done>> readWholeStore(EntryContext &context, FollowState &followState)
{
    std::map<std::string, StorePosition> missing = context.m_mirror.positions();
    std::string after;
    std::optional<StorePosition> first;
    const std::int64_t askedMs = steadyMs();
    context.m_mirrorSynced = false;
    while (true) {
        Result<StoreItems> page = co_await platform::storeRange(context.m_store, WatchedPrefix, after, context.m_settings.m_storeTimeoutMs);
        if (failed(page)) {
            co_return errorOf(page);
        }
        recordStoreAnswer(context, followState, -1);
        first = first.value_or(valueOf(page).m_completeTo);
        if (valueOf(page).m_completeTo.m_era != first->m_era) {
            co_return Error{ErrorCode::StoreUnavailable, "the store came back from a copy while it was read"};
        }
        enterEra(context, first->m_era);
        for (const StoreItem &item : valueOf(page).m_items) {
            missing.erase(item.m_key);
            applyItem(context, followState, item);
            after = item.m_key;
        }
        if (!valueOf(page).m_hasMore || valueOf(page).m_items.empty()) {
            break;
        }
    }
    removeKeys(context, followState, missing, *first);
    context.m_mirror.resetTo(*first);
    context.m_mirrorSynced = true;
    recordStoreAnswer(context, followState, askedMs);
    co_return Done{};
}

std::int64_t watchPause(const EntryContext &context, const FollowState &followState)
{
    // The leader needs a current list of upstreams to repair replicas.
    if (isLeader(context)) {
        return WatchPauseMs;
    }
    if (followState.m_watchesForZone) {
        // A watch without changes has already waited, so no pause is needed.
        return followState.m_lastItemCount == 0 ? 0 : SourceWatchPauseMs;
    }
    return std::clamp(WatchPausePerDaemonMs * daemonCount(context), WatchPauseMs, MaxWatchPauseMs);
}

std::int64_t retryPause(const FollowState &followState)
{
    constexpr int MaxDoublings = 3;
    return std::min(RetryPauseMs << std::min(followState.m_failures, MaxDoublings), MaxRetryPauseMs);
}

/** Returns the daemon from which to fetch updates now, or an empty string for the store itself. Logs a change. */
std::string selectUpdateSource(EntryContext &context, FollowState &followState)
{
    const std::int64_t nowMs = steadyMs();
    std::erase_if(followState.m_failedSources, [nowMs](const std::pair<const std::string, std::int64_t> &failure) {
        return failure.second <= nowMs;
    });
    UpdateSourceView view;
    view.m_self = context.m_settings.m_name;
    view.m_availabilityZone = context.m_settings.m_availabilityZone;
    view.m_isLeader = isLeader(context);
    view.m_daemons = daemonSizes(context);
    view.m_failed = followState.m_failedSources;
    const UpdateSourceChoice choice = context.m_mirrorSynced ? chooseUpdateSource(view, nowMs) : UpdateSourceChoice();
    const std::string &source = choice.m_source;
    followState.m_watchesForZone = choice.m_watchesForZone;
    if (source != followState.m_source) {
        followState.m_source = source;
        logEvent(LogEvent::NewsSourceChanged,
                 {{"source", source.empty() ? std::string("store") : source}, {"proof_age_ms", steadyMs() - context.m_confirmedMs}});
    }
    return source;
}

/** Fetches the updates that are missing here from the daemon @p source. */
awaitable<Result<Done>> fetchFromPeer(EntryContext &context, FollowState &followState, const std::string &source)
{
    const std::int64_t askedMs = steadyMs();
    const Result<StoreUpdatesReply> answer = co_await fetchStoreUpdates(context, context.m_peers.at(source).m_address);
    if (failed(answer)) {
        followState.m_failedSources[source] = steadyMs() + AvoidFailedSourceMs;
        logEvent(LogEvent::NewsSourceFailed, {{"source", source}, {"error", describe(errorOf(answer))}, {"after_ms", steadyMs() - askedMs}});
        co_return errorOf(answer);
    }
    const StoreUpdates &updates = valueOf(answer).m_updates;
    const std::int64_t recoveredAgeMs = valueOf(answer).m_recoveredAgeMs;
    context.m_sourceRecoveredMs = recoveredAgeMs < 0 ? -1 : askedMs - recoveredAgeMs;
    enterEra(context, updates.m_completeTo.m_era);
    for (const StoreItem &item : updates.m_items) {
        applyItem(context, followState, item);
    }
    if (updates.m_isSnapshot) {
        std::map<std::string, StorePosition> missing = context.m_mirror.positions();
        for (const StoreItem &item : updates.m_items) {
            missing.erase(item.m_key);
        }
        removeKeys(context, followState, missing, updates.m_completeTo);
        context.m_mirror.resetTo(updates.m_completeTo);
    }
    context.m_mirror.markCompleteTo(updates.m_completeTo);
    // The source determined the age after the request was sent, so the confirmation is at least as recent as this.
    recordStoreAnswer(context, followState, askedMs - valueOf(answer).m_confirmationAgeMs);
    co_return Done{};
}

awaitable<Result<Done>> watchStore(EntryContext &context, FollowState &followState)
{
    const std::int64_t askedMs = steadyMs();
    const std::int64_t waitMs = followState.m_watchesForZone ? SourceWatchWaitMs : WatchWaitMs;
    Result<StoreItems> changes =
        co_await platform::storeWatch(context.m_store, WatchedPrefix, context.m_mirror.completeTo().m_revision, waitMs, context.m_settings.m_storeTimeoutMs);
    if (failed(changes)) {
        if (errorOf(changes).m_code == ErrorCode::NotFound) {
            context.m_mirrorSynced = false;
            logEvent(LogEvent::HistoryLost, {{"revision", static_cast<std::int64_t>(context.m_mirror.completeTo().m_revision)}});
        }
        co_return errorOf(changes);
    }
    if (valueOf(changes).m_completeTo.m_era != context.m_mirror.completeTo().m_era) {
        // The revision that was asked for is not one of this era.
        context.m_mirrorSynced = false;
        co_return Error{ErrorCode::NotFound, "the store came back from a copy"};
    }
    followState.m_lastItemCount = valueOf(changes).m_items.size();
    // Removals in the first answer after an outage may have to be held back.
    recordStoreAnswer(context, followState, -1);
    for (const StoreItem &item : valueOf(changes).m_items) {
        applyItem(context, followState, item);
    }
    context.m_mirror.markCompleteTo(valueOf(changes).m_completeTo);
    recordStoreAnswer(context, followState, askedMs);
    co_return Done{};
}
}

awaitable<void> followStore(EntryContext &context)
{
    FollowState followState;
    while (!context.m_stopping) {
        const std::string source = selectUpdateSource(context, followState);
        Result<Done> done = Done{};
        if (!source.empty()) {
            done = co_await fetchFromPeer(context, followState, source);
        } else if (context.m_mirrorSynced && context.m_store.m_era == context.m_mirror.completeTo().m_era) {
            done = co_await watchStore(context, followState);
        } else {
            done = co_await readWholeStore(context, followState);
        }
        refreshSelectors(context);
        if (!source.empty()) {
            // After a failure the next source, or the store, is tried at once.
            co_await sleepFor(failed(done) ? 0 : PeerFetchPauseMs);
        } else if (failed(done) && errorOf(done).m_code != ErrorCode::NotFound) {
            recordStoreFailure(context, followState, errorOf(done));
            co_await sleepFor(retryPause(followState));
            ++followState.m_failures;
        } else if (!failed(done)) {
            followState.m_failures = 0;
            co_await sleepFor(watchPause(context, followState));
        }
    }
}

awaitable<void> maintainRegistration(EntryContext &context)
{
    const std::string key = std::string(DaemonPrefix) + context.m_settings.m_name;
    const std::string value = json::serialize(json::object{{"address", context.m_settings.m_peerListen},
                                                           {"availability_zone", context.m_settings.m_availabilityZone},
                                                           {"cpu_share", context.m_settings.m_cpuShare}});
    platform::StoreLease lease;
    while (!context.m_stopping) {
        if (lease.m_id == 0) {
            const Result<platform::StoreLease> granted =
                co_await platform::storeGrantLease(context.m_store, RegistrationTtlMs, context.m_settings.m_storeTimeoutMs);
            if (!failed(granted)) {
                platform::StoreTransaction transaction;
                transaction.m_writes.push_back({key, value, valueOf(granted).m_id});
                const Result<platform::StoreCommitResult> written =
                    co_await platform::storeCommit(context.m_store, std::move(transaction), context.m_settings.m_storeTimeoutMs);
                const bool registered = !failed(written) && valueOf(written).m_position.m_era == valueOf(granted).m_era;
                lease = registered ? valueOf(granted) : platform::StoreLease();
            }
        } else {
            const Result<std::int64_t> kept = co_await platform::storeRenewLease(context.m_store, lease, context.m_settings.m_storeTimeoutMs);
            if (failed(kept) && errorOf(kept).m_code == ErrorCode::NotFound) {
                const bool isEarlierEra = lease.m_era != context.m_store.m_era;
                lease = {};
                // All daemons register again after the store came back from a copy.
                const std::int64_t spreadMs = isEarlierEra ? RegisterAgainPerDaemonMs * daemonCount(context) : 0;
                std::uniform_int_distribution<std::int64_t> pauseMs(0, spreadMs);
                co_await sleepFor(pauseMs(context.m_random));
                continue;
            }
        }
        co_await sleepFor(lease.m_id == 0 ? RetryPauseMs : RegistrationTtlMs / RenewalsPerTtl);
    }
    if (lease.m_id != 0) {
        co_await platform::storeEndLease(context.m_store, lease, context.m_settings.m_storeTimeoutMs);
    }
}

namespace
{
/**
 * Returns the position of this daemon, from 0, in the order in which daemons try to become the leader. The leader's work grows with the
 * deployment, so the largest daemons come first.
 */
std::int64_t electionRank(const EntryContext &context)
{
    const std::map<std::string, DaemonSize> daemons = daemonSizes(context);
    const DaemonSize &own = daemons.at(context.m_settings.m_name);
    return std::count_if(daemons.begin(), daemons.end(), [&context, &own](const std::pair<const std::string, DaemonSize> &entry) {
        return entry.first != context.m_settings.m_name && ranksBefore(LeaderKey, entry.first, entry.second, context.m_settings.m_name, own);
    });
}

void endLeadership(EntryContext &context, const char *why)
{
    logEvent(LogEvent::LeadershipLost, {{"fence", static_cast<std::int64_t>(context.m_leadership.m_fence)}, {"reason", std::string(why)}});
    context.m_leadership = {};
}

awaitable<void> renewLeadership(EntryContext &context)
{
    const std::int64_t askedMs = steadyMs();
    const std::uint64_t fence = context.m_leadership.m_fence;
    const Result<std::int64_t> kept = co_await platform::storeRenewLease(context.m_store, context.m_leadership.m_lease, context.m_settings.m_leaseMs / 2);
    if (context.m_leadership.m_fence != fence || fence == 0) {
        co_return;
    }
    if (!failed(kept)) {
        context.m_leadership.m_validUntilMs = askedMs + valueOf(kept) - LeaseMarginMs;
    } else if (errorOf(kept).m_code == ErrorCode::NotFound) {
        endLeadership(context, "the lease no longer exists");
    } else if (steadyMs() >= context.m_leadership.m_validUntilMs) {
        endLeadership(context, "the lease could not be renewed");
    }
}

awaitable<void> tryAcquireLeadership(EntryContext &context)
{
    const std::int64_t askedMs = steadyMs();
    const std::int64_t timeoutMs = context.m_settings.m_leaseMs / 2;
    const Result<platform::StoreLease> lease = co_await platform::storeGrantLease(context.m_store, context.m_settings.m_leaseMs, timeoutMs);
    if (failed(lease)) {
        co_return;
    }
    platform::StoreTransaction transaction;
    transaction.m_conditions.push_back({LeaderKey, 0});
    transaction.m_writes.push_back({LeaderKey, context.m_settings.m_name, valueOf(lease).m_id});
    const Result<platform::StoreCommitResult> answer = co_await platform::storeCommit(context.m_store, std::move(transaction), timeoutMs);
    if (failed(answer) || !valueOf(answer).m_committed) {
        // If it is not known whether the write was applied, ending the lease removes it.
        co_await platform::storeEndLease(context.m_store, valueOf(lease), timeoutMs);
        co_return;
    }
    const StorePosition begun = valueOf(answer).m_position;
    if (begun.m_era != valueOf(lease).m_era) {
        // The key hangs on a lease of another era, which may be another daemon's by now.
        platform::StoreTransaction undo;
        undo.m_conditions.push_back({LeaderKey, begun.m_revision});
        undo.m_deletes.emplace_back(LeaderKey);
        co_await platform::storeCommit(context.m_store, std::move(undo), timeoutMs);
        co_return;
    }
    context.m_leadership.m_fence = fencingToken(begun);
    context.m_leadership.m_lease = valueOf(lease);
    context.m_leadership.m_validUntilMs = askedMs + valueOf(lease).m_ttlMs - LeaseMarginMs;
    context.m_leader = context.m_settings.m_name;
    logEvent(LogEvent::LeadershipTaken, {{"fence", static_cast<std::int64_t>(context.m_leadership.m_fence)}, {"lease_ms", valueOf(lease).m_ttlMs}});
    if (context.m_config != nullptr) {
        if (const CallService *service = findEngineService(*context.m_config)) {
            context.m_reconciler.beginTerm(context.m_leadership.m_fence, *service, context.m_settings.m_enginesCheckFence, steadyMs());
        }
    }
}
}

namespace
{
/** Returns whether a leader that does not know yet that the store came back from a copy may still lead, as far as its own clock tells it. */
bool mayHaveOtherLeader(const EntryContext &context)
{
    return context.m_eraRisenMs >= 0 && steadyMs() - context.m_eraRisenMs < context.m_settings.m_leaseMs;
}
}

awaitable<void> runLeaderElection(EntryContext &context)
{
    std::int64_t vacantSinceMs = -1;
    std::int64_t renewedMs = 0;
    while (!context.m_stopping) {
        const std::int64_t nowMs = steadyMs();
        if (context.m_leadership.m_fence != 0) {
            vacantSinceMs = -1;
            if (nowMs >= context.m_leadership.m_validUntilMs) {
                endLeadership(context, "the lease expired");
            } else if (context.m_leadership.m_renewNow || nowMs - renewedMs >= context.m_settings.m_leaseMs / RenewalsPerTtl) {
                renewedMs = nowMs;
                context.m_leadership.m_renewNow = false;
                co_await renewLeadership(context);
            }
        } else if (!context.m_leader.empty() || context.m_confirmedMs < 0 || context.m_config == nullptr || mayHaveOtherLeader(context)) {
            vacantSinceMs = -1;
        } else {
            vacantSinceMs = vacantSinceMs < 0 ? nowMs : vacantSinceMs;
            if (nowMs - vacantSinceMs >= electionRank(context) * ElectionStaggerMs) {
                co_await tryAcquireLeadership(context);
                renewedMs = steadyMs();
                vacantSinceMs = -1;
            }
        }
        co_await sleepFor(ElectionPollMs);
    }
}

awaitable<void> releaseLeadership(EntryContext &context)
{
    if (context.m_leadership.m_fence != 0) {
        const platform::StoreLease lease = context.m_leadership.m_lease;
        endLeadership(context, "planned stop");
        co_await platform::storeEndLease(context.m_store, lease, context.m_settings.m_storeTimeoutMs);
    }
}
}
