// Problem: when the store was away for all, or comes back from a copy, keys are missing for a moment whose writers live and write them again. When only this
// daemon was away, what is missing has left, and must not be used any longer.
// Approach: such removals are held back while an outage for all is what the daemons' answers show, see StoreOutage, and applied at the moment at which they no
// longer show that, or at which the writers' time has passed.
// Applying them with the store's next answer instead would add the time of a watch, in which upstreams that have left get requests.

#include "daemons/entryremovals.h"

#include "net/logging.h"
#include "platform/names.h"

namespace knapweedslip
{
namespace
{
/** Interval between checks of the removals that are held back, in ms: a fraction of the time between two reports of a daemon. */
constexpr std::int64_t HeldBackPollMs = 25;

bool isUpstreamKey(const std::string &key)
{
    return key.compare(0, platform::key::Upstream.size(), platform::key::Upstream) == 0;
}

/** Returns until when @p key may be written again if the store lost it; negative if it cannot have lost it. */
std::int64_t writtenAgainUntilMs(const EntryContext &context, const std::string &key)
{
    const std::int64_t sinceMs = isUpstreamKey(key) ? storeRecoveredMs(context) : context.m_eraRisenMs;
    return sinceMs < 0 ? -1 : sinceMs + context.m_settings.m_addressReuseMs;
}

void applyHeldBackRemoval(EntryContext &context, const std::string &key)
{
    if (isUpstreamKey(key)) {
        dropUpstream(context, key.substr(platform::key::Upstream.size()), "not listed again after the store's outage", nullptr);
        return;
    }
    const std::string zone = key.substr(platform::key::EvacuatedZone.size());
    context.m_evacuatedZones.erase(zone);
    context.m_availability.setZonesOutOfService(context.m_evacuatedZones);
    logEvent(LogEvent::EvacuationChanged, {{"availability_zone", zone}, {"out_of_service", false}, {"revision", std::int64_t(0)}});
}
}

std::int64_t storeRecoveredMs(const EntryContext &context)
{
    return std::max({context.m_storeOutage.recoveredMs(), context.m_sourceRecoveredMs, context.m_eraRisenMs});
}

bool holdBackRemoval(EntryContext &context, const StoreItem &removal)
{
    const std::int64_t nowMs = steadyMs();
    const std::int64_t untilMs = writtenAgainUntilMs(context, removal.m_key);
    if (nowMs >= untilMs) {
        return false;
    }
    if (context.m_heldBackRemovals.insert(removal.m_key).second) {
        const bool isUpstream = isUpstreamKey(removal.m_key);
        const std::string_view prefix = isUpstream ? platform::key::Upstream : platform::key::EvacuatedZone;
        logEvent(LogEvent::RemovalHeldBack,
                 {{isUpstream ? "upstream" : "availability_zone", removal.m_key.substr(prefix.size())},
                  {"for_ms", untilMs - nowMs},
                  {"revision", static_cast<std::int64_t>(removal.m_position.m_revision)}});
    }
    return true;
}

void dropUpstream(EntryContext &context, const std::string &id, const char *why, const StoreItem *item)
{
    const auto found = context.m_upstreams.find(id);
    if (found == context.m_upstreams.end()) {
        return;
    }
    const UpstreamEntry last = std::move(found->second);
    context.m_upstreams.erase(found);
    context.m_reconciler.markUnlisted(id);
    context.m_availability.markUnlisted(id, steadyMs());
    logEvent(LogEvent::UpstreamChanged,
             {{"upstream", id},
              {"change", std::string(why)},
              {"leaving", last.m_leaving},
              {"started_ms", last.m_startedMs},
              {"write", last.m_writeNumber},
              {"entry_age_ms", steadyMs() - last.m_readMs},
              {"proof_age_ms", steadyMs() - context.m_confirmedMs},
              {"revision", item == nullptr ? std::int64_t(-1) : static_cast<std::int64_t>(item->m_position.m_revision)}});
}

awaitable<void> runHeldBackRemovals(EntryContext &context)
{
    while (true) {
        const std::int64_t nowMs = steadyMs();
        bool changed = false;
        for (auto it = context.m_heldBackRemovals.begin(); it != context.m_heldBackRemovals.end();) {
            if (nowMs < writtenAgainUntilMs(context, *it)) {
                ++it;
                continue;
            }
            applyHeldBackRemoval(context, *it);
            it = context.m_heldBackRemovals.erase(it);
            changed = true;
        }
        if (changed) {
            refreshSelectors(context);
        }
        co_await sleepFor(HeldBackPollMs);
    }
}
}
