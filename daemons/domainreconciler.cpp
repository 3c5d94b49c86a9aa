// Problem: only one controller at a time may form groups and send orders in a fabric domain, although controllers pause, race and die.
// Approach: a lease in the store names the holder. Every change of the record is a compare-and-swap. Orders carry the record's fencing token,
// and are sent only while the lease is certainly valid and after the orders of the previous holder have expired.
// A lease alone fails when its holder resumes after a pause and continues where it stopped.

#include "daemons/domainreconciler.h"

#include "kernel/routetable.h"
#include "net/logging.h"

#include <boost/json.hpp>

#include <algorithm>

namespace knapweedslip
{
namespace json = boost::json;

namespace
{
constexpr std::int64_t PreferredAcquireIntervalMs = 200;
constexpr std::int64_t OtherAcquireIntervalMs = 1'500;
/** The domain is released after another controller has been preferred for this long. */
constexpr std::int64_t ReleaseAfterMs = 3'000;
constexpr std::int64_t OrderTimeoutMs = 500;

std::string leaseKey(const std::string &domain)
{
    return "knapweedslip/claims/" + domain;
}

std::string orderBody(const Order &order)
{
    json::array peers;
    for (const std::string &address : order.m_peerAddresses) {
        peers.push_back(json::string(address));
    }
    json::object object;
    object["kind"] = enumName(OrderKindNames, order.m_kind);
    object["boot_id"] = order.m_bootId;
    object["fence"] = order.m_fence;
    object["group"] = order.m_group;
    object["generation"] = order.m_generation;
    object["rank"] = order.m_rank;
    object["loaded"] = order.m_loaded;
    object["peers"] = std::move(peers);
    return json::serialize(object);
}
}

DomainReconciler::DomainReconciler(
    Node &node, Prober &prober, const ControllerSettings &settings, const PlacementRule &rule, std::string domain, std::string service)
    : m_node(node)
    , m_prober(prober)
    , m_settings(settings)
    , m_rule(rule)
    , m_domain(std::move(domain))
    , m_service(std::move(service))
{
    m_leaseTimes.m_ttlMs = settings.m_leaseTtlMs;
    m_leaseTimes.m_marginMs = settings.m_leaseTtlMs / 3;
    m_leaseTimes.m_orderLifeMs = settings.m_orderLifeMs;
}

bool DomainReconciler::held() const
{
    return m_lease.m_held;
}

const DomainRecord &DomainReconciler::record() const
{
    return m_record;
}

const std::string &DomainReconciler::domain() const
{
    return m_domain;
}

std::vector<std::string> DomainReconciler::gateways() const
{
    return availableMembers(m_node.membership(), Role::Gateway, steadyMs());
}

awaitable<bool> DomainReconciler::readRecord()
{
    const Result<StoreValue> value = co_await storeRead(m_node.store(), DomainKeyPrefix + m_domain);
    if (failed(value)) {
        co_return false;
    }
    m_recordIndex = valueOf(value).m_modifyIndex;
    if (!valueOf(value).m_found) {
        m_record = DomainRecord{};
        m_record.m_domain = m_domain;
        co_return true;
    }
    Result<DomainRecord> record = decodeDomainRecord(valueOf(value).m_value);
    if (failed(record)) {
        logEvent(LogEvent::PlanUnreadable, {{"domain", m_domain}, {"error", describe(errorOf(record))}});
        co_return false;
    }
    m_record = std::move(valueOf(record));
    co_return true;
}

awaitable<bool> DomainReconciler::writeRecord(DomainRecord next)
{
    const Result<CasOutcome> written = co_await storeWrite(m_node.store(), DomainKeyPrefix + m_domain, encodeDomainRecord(next), m_recordIndex);
    const bool isWritten = !failed(written) && valueOf(written) == CasOutcome::Written;
    // Whether or not the write succeeded, continue with what the store holds and not with what was sent.
    const bool read = co_await readRecord();
    co_return isWritten &&read;
}

awaitable<void> DomainReconciler::tryAcquireLease(const ReconcileInput &input, const ControllerSession &session)
{
    const std::int64_t nowMs = steadyMs();
    if (!session.m_alive || nowMs < m_nextAcquireMs || m_node.isStopping()) {
        co_return;
    }
    m_nextAcquireMs = nowMs + (input.m_preferred ? PreferredAcquireIntervalMs : OtherAcquireIntervalMs);
    const Result<bool> acquired = co_await storeAcquire(m_node.store(), leaseKey(m_domain), m_node.settings().m_name, session.m_id);
    if (failed(acquired)) {
        co_return;
    }
    const bool read = co_await readRecord();
    if (!read || !valueOf(acquired)) {
        co_return;
    }
    DomainRecord next = m_record;
    next.m_holder = m_node.settings().m_name;
    next.m_availabilityZone = input.m_availabilityZone;
    ++next.m_fence;
    const std::uint64_t fence = next.m_fence;
    const bool written = co_await writeRecord(std::move(next));
    if (!written || m_record.m_fence != fence || m_record.m_holder != m_node.settings().m_name) {
        co_return;
    }
    m_lease.m_held = true;
    m_lease.m_fence = fence;
    m_lease.m_acquiredAtMs = steadyMs();
    m_lease.m_renewedAtMs = session.m_renewedAtMs;
    m_otherPreferredSinceMs = -1;
    logEvent(LogEvent::DomainClaimed, {{"domain", m_domain}, {"fence", std::to_string(fence)}});
}

awaitable<void> DomainReconciler::reconcile(ReconcileInput input, ControllerSession session)
{
    if (!m_lease.m_held) {
        co_await tryAcquireLease(input, session);
        // The last known holder continues to probe while the store is down, so that gateways still learn of lost VMs.
        if (!m_lease.m_held && m_record.m_holder != m_node.settings().m_name) {
            m_prober.setTargets(m_domain, {});
            co_return;
        }
    }
    m_lease.m_renewedAtMs = session.m_renewedAtMs;
    if (m_lease.m_held && (!session.m_alive || !isLeaseValid(m_lease, m_leaseTimes, steadyMs()))) {
        logEvent(LogEvent::DomainLost, {{"domain", m_domain}});
        m_lease.m_held = false;
    }
    m_prober.setTargets(m_domain, input.m_listed);
    reportToGateways(m_prober.states(m_domain));
    if (!m_lease.m_held || !m_prober.allProbed(m_domain)) {
        co_return;
    }
    if (input.m_preferred) {
        m_otherPreferredSinceMs = -1;
    } else if (m_otherPreferredSinceMs < 0) {
        m_otherPreferredSinceMs = steadyMs();
    } else if (steadyMs() - m_otherPreferredSinceMs > ReleaseAfterMs) {
        co_await release(session);
        co_return;
    }
    co_await updateRecordOrSendOrders(input);
}

awaitable<void> DomainReconciler::updateRecordOrSendOrders(const ReconcileInput &input)
{
    PlacementInput placement;
    placement.m_record = m_record;
    placement.m_vms = m_prober.states(m_domain);
    placement.m_plan = input.m_plan.get();
    placement.m_wanted = input.m_wanted;
    placement.m_gateways = gateways();
    placement.m_maxLoads = m_settings.m_maxLoads;
    const ServicePlan *service = m_service.empty() ? nullptr : findService(*input.m_plan, m_service);
    if (!m_service.empty() && service == nullptr) {
        co_return;
    }
    PlacementResult result = service != nullptr ? placeService(*service, placement) : placeDomain(m_rule, placement);
    if (result.m_changed) {
        if (!isLeaseValid(m_lease, m_leaseTimes, steadyMs())) {
            co_return;
        }
        const std::size_t groups = result.m_record.m_groups.size();
        if (co_await writeRecord(std::move(result.m_record))) {
            logEvent(LogEvent::GroupChanged, {{"domain", m_domain}, {"groups", std::to_string(groups)}, {"index", std::to_string(m_recordIndex)}});
        }
        if (m_record.m_fence != m_lease.m_fence) {
            logEvent(LogEvent::DomainLost, {{"domain", m_domain}});
            m_lease.m_held = false;
        }
        co_return;
    }
    for (Order &order : result.m_orders) {
        if (maySendOrder(m_lease, m_leaseTimes, order.m_fence, steadyMs()) && m_vmsWithOrder.insert(order.m_vm).second) {
            asio::co_spawn(m_node.context(), sendOrder(std::move(order)), asio::detached);
        }
    }
}

awaitable<void> DomainReconciler::sendOrder(Order order)
{
    HttpRequest request;
    request.m_method = "POST";
    request.m_target = "/control/order";
    request.m_body = orderBody(order);
    // Uses a new connection, which closes on timeout, so that the order cannot arrive later.
    const std::int64_t timeoutMs = std::min(OrderTimeoutMs, std::max<std::int64_t>(1, m_leaseTimes.m_orderLifeMs / 2));
    Result<HttpConnectionPtr> connection = co_await httpConnect(order.m_address, timeoutMs);
    Result<HttpReply> reply = failed(connection) ? Result<HttpReply>(errorOf(connection)) : Result<HttpReply>(HttpReply{});
    if (!failed(connection) && maySendOrder(m_lease, m_leaseTimes, order.m_fence, steadyMs())) {
        reply = co_await httpExchange(*valueOf(connection), request, timeoutMs, MaxControlReplyBytes);
    }
    constexpr unsigned Ok = 200;
    const bool accepted = !failed(reply) && valueOf(reply).m_status == Ok;
    logEvent(accepted ? LogEvent::OrderGiven : LogEvent::OrderFailed,
             {{"vm", order.m_vm},
              {"kind", std::string(enumName(OrderKindNames, order.m_kind))},
              {"group", order.m_group},
              {"generation", std::to_string(order.m_generation)},
              {"fence", std::to_string(order.m_fence)}});
    m_vmsWithOrder.erase(order.m_vm);
}

void DomainReconciler::reportToGateways(const std::vector<VmState> &vms)
{
    for (const GroupRecord &group : m_record.m_groups) {
        bool lost = false;
        bool cold = false;
        bool leaving = false;
        for (const MemberRecord &member : group.m_members) {
            const auto vm = std::find_if(vms.begin(), vms.end(), [&](const VmState &state) {
                return state.m_vm == member.m_vm;
            });
            lost = lost || vm == vms.end() || !vm->m_alive || vm->m_bootId != member.m_bootId;
            cold = cold || (vm != vms.end() && vm->m_cold);
            leaving = leaving || (vm != vms.end() && vm->m_leaving);
        }
        const bool serves = group.m_phase == GroupPhase::Cold || group.m_phase == GroupPhase::Warm;
        ReportKind kind = ReportKind::Recovered;
        if (lost) {
            kind = ReportKind::Doubt;
        } else if (cold && group.m_phase == GroupPhase::Warm) {
            kind = ReportKind::Cold;
        } else if (leaving) {
            kind = ReportKind::Leaving;
        }
        const auto lastReport = m_lastReports.find(group.m_id);
        const bool changed = lastReport == m_lastReports.end() ? kind != ReportKind::Recovered : lastReport->second != kind;
        // Gateways let these reports expire, so they are repeated for as long as they are true.
        const bool repeat = kind == ReportKind::Doubt || kind == ReportKind::Cold;
        if (serves && m_prober.allProbed(m_domain) && (changed || repeat)) {
            m_node.report(UpstreamReport{group.m_id, group.m_generation, kind});
        }
        m_lastReports[group.m_id] = kind;
    }
}

awaitable<void> DomainReconciler::release(ControllerSession session)
{
    if (!m_lease.m_held) {
        co_return;
    }
    m_lease.m_held = false;
    while (!m_vmsWithOrder.empty()) {
        co_await sleepFor(1);
    }
    m_nextAcquireMs = steadyMs() + OtherAcquireIntervalMs;
    m_otherPreferredSinceMs = -1;
    co_await storeRelease(m_node.store(), leaseKey(m_domain), session.m_id);
    logEvent(LogEvent::DomainReleased, {{"domain", m_domain}});
}
}
