// Problem: serving requests, following the store and leading all depend on the same state of the deployment.
// Approach: one plain struct that is used by one thread, and functions that derive the selectors' input from it.
// Several owners that exchange messages would each hold a different state.

#include "daemons/entrycontext.h"

namespace knapweedslip
{
namespace
{
/**
 * Oldest view of the other daemons, in ms, with which this one uses its part of the extra resends. Most outages of the store are shorter, and
 * resends are needed most while nobody can repair replicas.
 */
constexpr std::int64_t MaxResendViewAgeMs = 5'000;
}

void abortAttempt(RunningCall &call, AbortCause cause)
{
    if (call.m_cause != AbortCause::None) {
        return;
    }
    call.m_cause = cause;
    if (call.m_connection != nullptr) {
        boost::system::error_code ignored;
        call.m_connection->m_stream.socket().close(ignored);
    }
}

EntryContext::EntryContext(asio::io_context &io, EntrySettings settings)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_random(randomId())
    , m_storeOutage(shortestOutageMs(m_settings))
    , m_resendMembers(m_settings.m_name, m_settings.m_resends.m_windowMs, MaxResendViewAgeMs)
    , m_coldMembers(m_settings.m_name, ColdLimiter::WindowMs)
{
    m_store.m_address = m_settings.m_storeAddress;
    m_availability.setLapseMs(EntryLapseReports * m_settings.m_upstreamHeartbeatMs);
}

bool isLeader(const EntryContext &context)
{
    return context.m_leadership.m_fence != 0 && steadyMs() < context.m_leadership.m_validUntilMs;
}

int daemonCount(const EntryContext &context)
{
    const bool listed = context.m_peers.count(context.m_settings.m_name) > 0;
    return static_cast<int>(context.m_peers.size()) + (listed ? 0 : 1);
}

std::map<std::string, DaemonSize> daemonSizes(const EntryContext &context)
{
    std::map<std::string, DaemonSize> daemons;
    for (const std::pair<const std::string, EntryPeer> &peer : context.m_peers) {
        daemons[peer.first] = {peer.second.m_availabilityZone, peer.second.m_cpuShare};
    }
    daemons[context.m_settings.m_name] = {context.m_settings.m_availabilityZone, context.m_settings.m_cpuShare};
    return daemons;
}

namespace
{
void refreshReplicas(EntryContext &context, const CallService &service)
{
    std::map<std::string, int> sizes;
    for (const ServedModel &model : service.m_engines->m_models) {
        sizes[model.m_name] = model.m_vmsPerReplica;
    }
    for (const CompleteReplica &listed : completeReplicas(context.m_upstreams, sizes)) {
        if (listed.m_phase == MemberPhase::Open) {
            context.m_completeReplicas[listed.m_ref] = listed;
        }
    }
    std::vector<TrackedReplica> replicas;
    for (auto it = context.m_completeReplicas.begin(); it != context.m_completeReplicas.end();) {
        const CompleteReplica &listed = it->second;
        const auto found = context.m_upstreams.find(listed.m_head);
        if (found == context.m_upstreams.end() || found->second.m_phase != MemberPhase::Open || !(found->second.m_replica == listed.m_ref)) {
            it = context.m_completeReplicas.erase(it);
            continue;
        }
        ++it;
        const UpstreamEntry &head = found->second;
        TrackedReplica replica;
        replica.m_ref = listed.m_ref;
        replica.m_model = replicaModel(listed.m_ref.m_name);
        replica.m_head = head.m_id;
        replica.m_address = head.m_address;
        replica.m_availabilityZone = head.m_availabilityZone;
        replica.m_coldUntilMs = head.m_coldUntilMs;
        replicas.push_back(std::move(replica));
    }
    // Up to MaxSmallDeployment daemons exchange load reports so often that each request can go to the single best replica.
    context.m_replicaSelector.setRandomizeNearBest(daemonCount(context) > static_cast<int>(MaxSmallDeployment));
    context.m_replicaSelector.setService(service);
    context.m_replicaSelector.setReplicas(replicas);
}

void refreshService(EntryContext &context, const CallService &service)
{
    std::vector<TrackedUpstream> upstreams;
    for (const std::pair<const std::string, UpstreamEntry> &entry : context.m_upstreams) {
        if (entry.second.m_service != service.m_name) {
            continue;
        }
        TrackedUpstream upstream;
        upstream.m_id = entry.first;
        upstream.m_address = entry.second.m_address;
        upstream.m_availabilityZone = entry.second.m_availabilityZone;
        upstream.m_slots = entry.second.m_slots;
        upstream.m_coldUntilMs = entry.second.m_coldUntilMs;
        upstreams.push_back(std::move(upstream));
    }
    context.m_upstreamSelector.setUpstreams(service.m_name, upstreams);
}
}

void refreshSelectors(EntryContext &context)
{
    if (context.m_config == nullptr) {
        return;
    }
    const std::int64_t nowMs = steadyMs();
    context.m_coldLimiter.removeIdle(nowMs);
    const int daemons = context.m_resendMembers.count(nowMs);
    ResendLimits limits = context.m_settings.m_resends;
    if (!context.m_resendMembers.isCurrent(context.m_confirmedMs, nowMs)) {
        // The other daemons may divide the extra resends without this one.
        limits.m_extra = 0.0;
    }
    for (const std::pair<const std::string, CallService> &entry : context.m_config->m_services) {
        context.m_resendBudgets[entry.first].setLimits(limits, daemons, nowMs);
        if (entry.second.m_engines) {
            refreshReplicas(context, entry.second);
        } else {
            refreshService(context, entry.second);
        }
    }
}

ResendBudget &resendBudget(EntryContext &context, const std::string &service)
{
    return context.m_resendBudgets[service];
}

std::int64_t spreadOwnReturnMs(EntryContext &context, std::int64_t waitMs)
{
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    return spreadReturnMs(waitMs, uniform(context.m_random));
}

bool allowColdRequest(EntryContext &context, const std::string &upstream, std::int64_t coldUntilMs, double coldPerSecond, std::int64_t nowMs)
{
    if (coldUntilMs <= nowMs || coldPerSecond <= 0.0) {
        return true;
    }
    const double limit = coldPerSecond * context.m_settings.m_coldShare;
    const bool allowed = context.m_coldLimiter.trySend(context.m_coldMembers, upstream, limit, context.m_confirmedMs, nowMs);
    ++(allowed ? context.m_metrics.m_coldSent : context.m_metrics.m_coldWithheld);
    if (!allowed) {
        const std::int64_t forMs = context.m_coldLimiter.retryMs(upstream, nowMs);
        context.m_availability.withhold(upstream, UpstreamAvailability::AnyEpoch, WithheldReason::Cold, forMs, nowMs);
    }
    return allowed;
}
}
