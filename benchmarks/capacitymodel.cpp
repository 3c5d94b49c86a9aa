// Problem: the capacity page must agree with the measured slopes.
// Approach: this model computes the page's table from the slopes, and a test recomputes the table from the slopes listed in the page.

#include "benchmarks/capacitymodel.h"

#include "kernel/intents.h"

#include <cmath>
#include <cstdio>
#include <sstream>

namespace knapweedslip
{
namespace
{
// Target size of the deployment, from the requirements.
constexpr double Daemons = 410.0;
constexpr double Engines = 12'000.0;
constexpr double GroupVms = 32.0;
constexpr double Regions = 12.0;
constexpr double Zones = 28.0;
constexpr double RequestsPerSecond = 12'000.0;
constexpr double TokensPerSecond = 5'700'000.0;
constexpr double ChangesPerDay = 90'000.0;
constexpr double FailuresPerDay = 90.0;
constexpr double ReplacementsPerDay = 1'300.0;
constexpr double SecondsPerDay = 86'400.0;
constexpr double Workspaces = 400.0;
// Budgets from the requirements.
constexpr double CoreBudgetPercent = 1.1;
constexpr double MemoryBudgetMb = 128.0;
constexpr double BytesBudgetKb = 7.0;
constexpr double StoreWritesBudget = 300.0;
constexpr double StoreReadsBudget = 2'000.0;
// Settings of the daemons and properties of the load.
constexpr double TicksPerSecond = 20.0;
constexpr double GossipRoundsPerSecond = 5.0;
constexpr double MembersPerMessageSent = 17.0;
constexpr double WatchersPerZone = 2.0;
constexpr double WatchesPerSecond = 1.0;
constexpr double ProbesPerSecond = 4.0;
constexpr double PlacementRoundsPerSecond = 10.0;
constexpr double LeaseRenewalsPerSecond = 1.0;
constexpr double WritesPerGroupChange = 4.0;
constexpr double PaidShare = 0.02;
constexpr double Kilo = 1'000.0;
constexpr double Mega = 1'000'000.0;
constexpr double PercentPerNs = 100.0 / 1e9;

double slope(const Slopes &slopes, const char *name)
{
    const auto it = slopes.find(name);
    return it == slopes.end() ? 0.0 : it->second;
}

struct RegionSizes
{
    double m_daemons = Daemons / Regions;
    double m_engines = Engines / Regions;
    double m_groups = Engines / GroupVms / Regions;
    double m_changes = ChangesPerDay / SecondsPerDay;
    double m_domainWrites = (FailuresPerDay + ReplacementsPerDay) * WritesPerGroupChange / SecondsPerDay / Regions;
    double m_notifiedPeers = 3.0 + std::ceil(std::log2(Daemons / Regions));
};

void addGateway(std::vector<CapacityLine> &lines, const Slopes &slopes, const RegionSizes &sizes)
{
    const double tick = TicksPerSecond * sizes.m_groups * slope(slopes, "tick_ns_per_upstream");
    const double tableBuild = (sizes.m_changes + sizes.m_domainWrites)
                              * (sizes.m_groups * slope(slopes, "table_ns_per_group") + Workspaces * slope(slopes, "table_ns_per_workspace"));
    const double rounds = 2.0 * GossipRoundsPerSecond;
    const double notifications = 2.0 * sizes.m_notifiedPeers * (sizes.m_changes + sizes.m_domainWrites);
    const double membersSent = rounds * MembersPerMessageSent + notifications;
    const double gossip = 2.0 * membersSent * slope(slopes, "heartbeat_ns_per_member");
    lines.push_back({"gateway",
                     "control, processor",
                     (tick + tableBuild + gossip) * PercentPerNs,
                     "% of a core",
                     CoreBudgetPercent,
                     "one tick over the region's groups; compiled tables; bounded gossip"});
    const double state = sizes.m_groups * slope(slopes, "state_bytes_per_group") + Workspaces * slope(slopes, "state_bytes_per_workspace")
                         + Daemons * slope(slopes, "state_bytes_per_member") + slope(slopes, "process_base_mb") * Mega;
    lines.push_back({"gateway", "state", state / Mega, "MB", MemoryBudgetMb, "regional scope; prefix map bounded at 65,536 entries"});
    const double sent = (rounds + notifications) * slope(slopes, "heartbeat_bytes_base") + membersSent * slope(slopes, "heartbeat_bytes_per_member");
    const double documents = sizes.m_changes * Workspaces * slope(slopes, "plan_bytes_per_workspace")
                             + sizes.m_domainWrites * sizes.m_groups * slope(slopes, "document_bytes_per_group");
    lines.push_back(
        {"gateway", "gossip sent", sent / Kilo, "KB/s", BytesBudgetKb, "16 members a round; a new view is announced to log2(n) + 4 peers without members"});
    lines.push_back({"gateway", "configuration received", documents / Kilo, "KB/s", BytesBudgetKb, "whole plan document on each change"});
    lines.push_back({"gateway",
                     "decisions, processor",
                     RequestsPerSecond / Daemons * slope(slopes, "decision_ns") * PercentPerNs,
                     "% of a core",
                     0.0,
                     "sampling from the available list"});
    lines.push_back({"gateway",
                     "tokens, processor",
                     TokensPerSecond / Daemons * slope(slopes, "relay_us_per_token") * Kilo * PercentPerNs,
                     "% of a core",
                     0.0,
                     "events of one read are checked and forwarded together"});
}

void addController(std::vector<CapacityLine> &lines, const Slopes &slopes, const RegionSizes &sizes)
{
    const double vms = Engines / Daemons;
    const double probes = vms * ProbesPerSecond;
    const double placement = PlacementRoundsPerSecond * vms * slope(slopes, "placement_ns_per_vm");
    lines.push_back({"controller",
                     "placement, processor",
                     placement * PercentPerNs,
                     "% of a core",
                     CoreBudgetPercent,
                     "a domain at a time, sharded over controllers by lease"});
    lines.push_back({"controller",
                     "probes, processor",
                     probes * slope(slopes, "probe_us") * Kilo * PercentPerNs,
                     "% of a core",
                     CoreBudgetPercent,
                     "each VM probed by one controller"});
    lines.push_back({"controller",
                     "probes sent and received",
                     probes * slope(slopes, "probe_bytes") / Kilo,
                     "KB/s",
                     BytesBudgetKb,
                     "HTTP status of each VM 4 times a second"});
    const double state = vms * slope(slopes, "state_bytes_per_vm") + sizes.m_groups * slope(slopes, "state_bytes_per_group")
                         + Daemons * slope(slopes, "state_bytes_per_member") + slope(slopes, "process_base_mb") * Mega;
    lines.push_back({"controller", "state", state / Mega, "MB", MemoryBudgetMb, "only domains whose lease it holds"});
}

void addAdmin(std::vector<CapacityLine> &lines, const Slopes &slopes, const RegionSizes &sizes)
{
    const double checks = ChangesPerDay / SecondsPerDay * Workspaces * slope(slopes, "table_ns_per_workspace");
    lines.push_back(
        {"admin", "changes, processor", checks * PercentPerNs, "% of a core", CoreBudgetPercent, "any admin takes any change; compare-and-swap orders them"});
    const double state = Workspaces * slope(slopes, "plan_bytes_per_workspace") * 17.0 + sizes.m_groups * slope(slopes, "state_bytes_per_group")
                         + slope(slopes, "process_base_mb") * Mega;
    lines.push_back({"admin", "state", state / Mega, "MB", MemoryBudgetMb, "17 stored plans"});
}

void addStore(std::vector<CapacityLine> &lines, const Slopes &slopes, const RegionSizes &sizes)
{
    const double writesOfGroups = sizes.m_domainWrites * Regions;
    lines.push_back({"store",
                     "plan and group writes",
                     ChangesPerDay / SecondsPerDay + writesOfGroups,
                     "calls/s",
                     StoreWritesBudget,
                     "one value for the plan, one per fabric domain"});
    lines.push_back(
        {"store", "lease renewals", Daemons * LeaseRenewalsPerSecond, "calls/s", StoreWritesBudget, "one lease per controller, renewed every second"});
    const double paid = RequestsPerSecond * PaidShare;
    lines.push_back({"store",
                     "intent writes",
                     paid * slope(slopes, "intent_writes_per_paid_call"),
                     "calls/s",
                     StoreWritesBudget,
                     "group commit by shard, 37 writes a second and gateway"});
    constexpr double StoredResponseBytes = 100.0;
    constexpr double LedgerBudgetMb = static_cast<double>(IntentShards * MaxIntentShardBytes) / Mega;
    const double ledger = paid * static_cast<double>(IntentLifetimeS) * (slope(slopes, "ledger_bytes_per_key") + StoredResponseBytes);
    lines.push_back({"store", "intent ledger", ledger / Mega, "MB", LedgerBudgetMb, "64 shards of 384 KB, keys kept 6 h"});
    const double watchers = WatchersPerZone * Zones * (WatchesPerSecond + ChangesPerDay / SecondsPerDay + writesOfGroups);
    lines.push_back({"store", "watches", watchers, "calls/s", StoreReadsBudget, "2 watchers a zone, the rest by gossip"});
    const double response = Engines / GroupVms * slope(slopes, "document_bytes_per_group") + Workspaces * slope(slopes, "plan_bytes_per_workspace") * 17.0;
    lines.push_back({"store", "one watch answer", response / Kilo, "KB", 1'000.0, "every document in each answer"});
    lines.push_back({"watcher",
                     "watch answers received",
                     response * (WatchesPerSecond + ChangesPerDay / SecondsPerDay + writesOfGroups) / Kilo,
                     "KB/s",
                     BytesBudgetKb,
                     "every document in each answer"});
}
}

const std::vector<SlopeRow> &slopeTable()
{
    static const std::vector<SlopeRow> table{
        {"decision_ns", "ns", "arrival, routing, dispatch and end of one request, 12,000 upstreams"},
        {"decision_ratio", "ratio", "the same at 12,000 upstreams over 50"},
        {"tick_ns_per_upstream", "ns", "one tick of the scheduler, by upstream"},
        {"table_ns_per_group", "ns", "compiling a view into a route table, by group of 32 VMs"},
        {"table_ns_per_workspace", "ns", "the same, by workspace of the plan"},
        {"state_bytes_per_group", "bytes", "document, table and scheduler state, by group of 32 VMs"},
        {"state_bytes_per_workspace", "bytes", "document, plan and scheduler queues, by workspace"},
        {"state_bytes_per_member", "bytes", "membership, by daemon"},
        {"state_bytes_per_vm", "bytes", "state of a controller, by VM"},
        {"process_base_mb", "MB", "resident memory of an idle gateway"},
        {"heartbeat_bytes_base", "bytes", "heartbeat message without members"},
        {"heartbeat_bytes_per_member", "bytes", "heartbeat message, by member named"},
        {"heartbeat_ns_per_member", "ns", "encoding and decoding a heartbeat, by member named"},
        {"document_bytes_per_group", "bytes", "domain document, by group of 32 VMs"},
        {"plan_bytes_per_workspace", "bytes", "plan document, by workspace"},
        {"placement_ns_per_vm", "ns", "one placement round of a domain, by VM"},
        {"probe_us", "us", "processor time of a controller for one probe"},
        {"probe_bytes", "bytes", "request and answer of one probe"},
        {"intent_writes_per_paid_call", "calls", "store writes by paid call at 240 a second over 8 gateways"},
        {"ledger_bytes_per_key", "bytes", "intent ledger, by key without its stored response"},
        {"relay_us_per_token", "us", "processor time of a gateway for one relayed token"},
    };
    return table;
}

Result<std::vector<CapacityLine>> capacityLines(const Slopes &slopes)
{
    for (const SlopeRow &row : slopeTable()) {
        if (slopes.count(row.m_name) == 0) {
            return Error{ErrorCode::InvalidArgument, std::string("slope missing: ") + row.m_name};
        }
    }
    const RegionSizes sizes;
    std::vector<CapacityLine> lines;
    addGateway(lines, slopes, sizes);
    addController(lines, slopes, sizes);
    addAdmin(lines, slopes, sizes);
    addStore(lines, slopes, sizes);
    return lines;
}

std::string formatCapacity(const std::vector<CapacityLine> &lines)
{
    std::ostringstream out;
    out << "| role | what | at the target | budget | share of budget | mechanism |\n| --- | --- | --- | --- | --- | --- |\n";
    for (const CapacityLine &line : lines) {
        char value[64];
        char budget[64] = "none set";
        char share[64] = "";
        std::snprintf(value, sizeof value, "%.3g %s", line.m_value, line.m_unit.c_str());
        if (line.m_budget > 0.0) {
            std::snprintf(budget, sizeof budget, "%.3g %s", line.m_budget, line.m_unit.c_str());
            const double ratio = line.m_value / line.m_budget;
            std::snprintf(share, sizeof share, ratio > 1.0 ? "**%.2f: over budget**" : "%.2f", ratio);
        }
        out << "| " << line.m_role << " | " << line.m_what << " | " << value << " | " << budget << " | " << share << " | " << line.m_mechanism << " |\n";
    }
    return out.str();
}

std::string formatSlopes(const Slopes &slopes)
{
    std::ostringstream out;
    out << "| slope | value | unit | what |\n| --- | --- | --- | --- |\n";
    for (const SlopeRow &row : slopeTable()) {
        const auto it = slopes.find(row.m_name);
        char value[64];
        std::snprintf(value, sizeof value, "%.4g", it == slopes.end() ? 0.0 : it->second);
        out << "| " << row.m_name << " | " << value << " | " << row.m_unit << " | " << row.m_meaning << " |\n";
    }
    return out.str();
}

Result<Slopes> parseSlopes(const std::string &page)
{
    Slopes slopes;
    std::istringstream lines(page);
    std::string line;
    while (std::getline(lines, line)) {
        for (const SlopeRow &row : slopeTable()) {
            const std::string start = std::string("| ") + row.m_name + " | ";
            if (line.compare(0, start.size(), start) == 0) {
                slopes[row.m_name] = std::strtod(line.c_str() + start.size(), nullptr);
            }
        }
    }
    if (slopes.size() != slopeTable().size()) {
        return Error{ErrorCode::MalformedRequest, "the page lacks slopes"};
    }
    return slopes;
}
}
