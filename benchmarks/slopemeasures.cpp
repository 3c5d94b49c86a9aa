// Problem: the cost of state and events must be known as a function of size, not at one size only.
// Approach: build the real structures at several sizes, measure time or heap bytes of each, and fit a line through them.

#include "benchmarks/slopemeasures.h"

#include "kernel/intents.h"
#include "kernel/membership.h"
#include "kernel/placement.h"
#include "kernel/registry.h"
#include "kernel/routetable.h"
#include "kernel/scheduler.h"
#include "net/peercodec.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <functional>

namespace knapweedslip
{
namespace
{
constexpr int GroupVms = 32;
constexpr int Repeats = 5;

double nowNs()
{
    return static_cast<double>(std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::steady_clock::now().time_since_epoch()).count());
}

/** Returns the shortest time of several runs, in ns. */
double fastestRunNs(const std::function<void()> &run)
{
    double best = 0.0;
    for (int i = 0; i < Repeats; ++i) {
        const double start = nowNs();
        run();
        const double elapsed = nowNs() - start;
        best = i == 0 ? elapsed : std::min(best, elapsed);
    }
    return best;
}

/** Returns the number of allocated heap bytes. */
double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

/** Stores the slope of @p fit and prints the fit. */
void recordSlope(Slopes &slopes, const char *name, const Fit &fit)
{
    slopes[name] = fit.m_slope;
    std::printf("%s: slope %.4g, base %.4g, spread %.1f%%, points", name, fit.m_slope, fit.m_intercept, fit.m_maxDeviation * 100.0);
    for (const std::pair<double, double> &point : fit.m_points) {
        std::printf(" (%g, %.4g)", point.first, point.second);
    }
    std::printf("\n");
}

DomainRecord makeRecord(int groups)
{
    DomainRecord record;
    record.m_domain = "zone-1-fabric-1";
    record.m_availabilityZone = "zone-1";
    record.m_holder = "controller-1";
    for (int g = 0; g < groups; ++g) {
        GroupRecord group;
        group.m_id = "zone-1-fabric-1/model/" + std::to_string(g);
        group.m_generation = static_cast<std::uint64_t>(g) + 1;
        group.m_model = "model";
        group.m_version = "1";
        group.m_phase = GroupPhase::Warm;
        for (int i = 0; i < GroupVms; ++i) {
            const std::string vm = "zone-1-" + std::to_string(g * GroupVms + i);
            group.m_members.push_back({vm, "10.1.100.100:8000", vm + "-0123456789abcdef"});
        }
        record.m_groups.push_back(std::move(group));
    }
    return record;
}

std::string makePlanYaml(int workspaces)
{
    std::string yaml = "models:\n  - {name: model, version: \"1\", group_vms: 32, groups: 1000, group_requests: 64, cold_requests: 1}\n"
                       "availability_zones:\n  - {name: zone-1, state: in}\nworkspaces:\n";
    for (int i = 0; i < workspaces; ++i) {
        yaml += "  - {name: workspace-" + std::to_string(i) + ", priority: 1, weight: 1, max_queued_requests: 200, key_sha256: " + std::string(64, 'a') + "}\n";
    }
    return yaml;
}

DocumentView makeView(int groups, int workspaces)
{
    PlanDocument plan;
    plan.m_revision = 1;
    plan.m_sheet = makePlanYaml(workspaces);
    DocumentView view;
    view.m_index = 2;
    view.m_documents[PlanKey] = Document{PlanKey, 1, encodePlanHistory({plan})};
    const std::string key = std::string(DomainKeyPrefix) + "zone-1-fabric-1";
    view.m_documents[key] = Document{key, 2, encodeDomainRecord(makeRecord(groups))};
    return view;
}

std::unique_ptr<Scheduler> makeScheduler()
{
    SchedulerSettings settings;
    settings.m_self = "gateway-1";
    Result<std::unique_ptr<Scheduler>> created = Scheduler::create(settings);
    return std::move(valueOf(created));
}

WorkRequest makeRequest(std::uint64_t id)
{
    WorkRequest request;
    request.m_id = id;
    request.m_workspace = "workspace-0";
    request.m_pool = "model";
    request.m_deadlineMs = 1'000'000;
    request.m_fingerprint = id;
    request.m_query.m_prefixes = {id % 97};
    return request;
}

double decisionNs(int upstreams)
{
    const DocumentView view = makeView(upstreams, 10);
    const std::unique_ptr<Scheduler> scheduler = makeScheduler();
    Actions actions;
    scheduler->setTable(valueOf(buildRouteTable(view)), 0, actions);
    constexpr int Requests = 20'000;
    std::uint64_t id = 0;
    return fastestRunNs([&]() {
               for (int i = 0; i < Requests; ++i) {
                   actions.clear();
                   scheduler->addRequest(makeRequest(++id), 1, actions);
                   scheduler->finish(id, AttemptEnd::Finished, 2, actions);
               }
           })
           / Requests;
}

void measureDecisions(Slopes &slopes)
{
    const double small = decisionNs(50);
    const double large = decisionNs(12'000);
    slopes["decision_ns"] = large;
    slopes["decision_ratio"] = large / small;
    std::printf("decision: %.0f ns at 50 upstreams, %.0f ns at 12000, ratio %.2f\n", small, large, large / small);
}

void measureTables(Slopes &slopes)
{
    std::vector<std::pair<double, double>> tick;
    std::vector<std::pair<double, double>> build;
    std::vector<std::pair<double, double>> state;
    for (const int groups : {50, 100, 200, 400}) {
        const double before = heapBytes();
        const DocumentView view = makeView(groups, 10);
        const std::unique_ptr<Scheduler> scheduler = makeScheduler();
        Actions actions;
        scheduler->setTable(valueOf(buildRouteTable(view)), 0, actions);
        state.emplace_back(groups, heapBytes() - before);
        tick.emplace_back(groups, fastestRunNs([&]() {
                              scheduler->tick(10, actions);
                          }));
        build.emplace_back(groups, fastestRunNs([&]() {
                               buildRouteTable(view);
                           }));
    }
    recordSlope(slopes, "tick_ns_per_upstream", fitLine(tick));
    recordSlope(slopes, "table_ns_per_group", fitLine(build));
    recordSlope(slopes, "state_bytes_per_group", fitLine(state));
    build.clear();
    state.clear();
    std::vector<std::pair<double, double>> bytes;
    for (const int workspaces : {50, 100, 200, 400}) {
        const double before = heapBytes();
        const DocumentView view = makeView(10, workspaces);
        const std::shared_ptr<const RouteTable> table = valueOf(buildRouteTable(view));
        state.emplace_back(workspaces, heapBytes() - before);
        build.emplace_back(workspaces, fastestRunNs([&]() {
                               buildRouteTable(view);
                           }));
        bytes.emplace_back(workspaces, static_cast<double>(view.m_documents.at(PlanKey).m_value.size()));
    }
    recordSlope(slopes, "table_ns_per_workspace", fitLine(build));
    recordSlope(slopes, "state_bytes_per_workspace", fitLine(state));
    recordSlope(slopes, "plan_bytes_per_workspace", fitLine(bytes));
    bytes.clear();
    for (const int groups : {10, 20, 40}) {
        bytes.emplace_back(groups, static_cast<double>(encodeDomainRecord(makeRecord(groups)).size()));
    }
    recordSlope(slopes, "document_bytes_per_group", fitLine(bytes));
}

HeartbeatMessage makeHeartbeat(int members)
{
    HeartbeatMessage message;
    message.m_sender = "gateway-1";
    for (int i = 0; i < members; ++i) {
        Member member;
        member.m_name = "controller-" + std::to_string(i);
        member.m_availabilityZone = "region-1-zone-1";
        member.m_incarnation = 1'700'000'000'000ULL;
        member.m_heartbeat = 100'000;
        member.m_viewIndex = 1'000'000;
        member.m_ready = true;
        member.m_synced = true;
        member.m_ageMs = 100;
        message.m_members.push_back(member);
    }
    return message;
}

void measureMembership(Slopes &slopes)
{
    std::vector<std::pair<double, double>> bytes;
    std::vector<std::pair<double, double>> time;
    std::vector<std::pair<double, double>> state;
    for (const int members : {4, 8, 16, 32}) {
        const HeartbeatMessage message = makeHeartbeat(members);
        bytes.emplace_back(members, static_cast<double>(encodePeerMessage(message).size()));
        constexpr int Messages = 200;
        time.emplace_back(members, fastestRunNs([&]() {
                                       for (int i = 0; i < Messages; ++i) {
                                           decodePeerMessage(encodePeerMessage(message));
                                       }
                                   }) / Messages);
    }
    for (const int members : {100, 200, 400}) {
        const double before = heapBytes();
        Membership membership;
        mergeMembers(membership, makeHeartbeat(members).m_members, 0);
        state.emplace_back(members, heapBytes() - before);
    }
    const Fit fit = fitLine(bytes);
    recordSlope(slopes, "heartbeat_bytes_per_member", fit);
    // The base is the fitted intercept plus the length prefix and the signature of a frame.
    constexpr double FrameBytes = 36.0;
    slopes["heartbeat_bytes_base"] = fit.m_intercept + FrameBytes;
    recordSlope(slopes, "heartbeat_ns_per_member", fitLine(time));
    recordSlope(slopes, "state_bytes_per_member", fitLine(state));
}

void measurePlacement(Slopes &slopes)
{
    std::vector<std::pair<double, double>> time;
    std::vector<std::pair<double, double>> state;
    const Plan plan = std::get<Plan>(parsePlan(makePlanYaml(1), "bench"));
    const PlacementRule rule = valueOf(findPlugin<PlacementRule>("regroup"));
    for (const int groups : {2, 4, 8}) {
        const double before = heapBytes();
        PlacementInput input;
        input.m_record = makeRecord(groups);
        input.m_plan = &plan;
        input.m_wanted["model"] = groups;
        input.m_gateways = {"gateway-1"};
        for (const GroupRecord &group : input.m_record.m_groups) {
            for (const MemberRecord &member : group.m_members) {
                VmState vm;
                vm.m_vm = member.m_vm;
                vm.m_address = member.m_address;
                vm.m_alive = true;
                vm.m_bootId = member.m_bootId;
                vm.m_group = group.m_id;
                vm.m_generation = group.m_generation;
                vm.m_loaded = "model@1";
                input.m_vms.push_back(vm);
            }
        }
        const double vms = static_cast<double>(input.m_vms.size());
        state.emplace_back(vms, heapBytes() - before);
        time.emplace_back(vms, fastestRunNs([&]() {
                              placeDomain(rule, input);
                          }));
    }
    recordSlope(slopes, "placement_ns_per_vm", fitLine(time));
    recordSlope(slopes, "state_bytes_per_vm", fitLine(state));
}

/** Costs of the intents of paid calls at one gateway. */
struct IntentCosts
{
    double m_writesPerCall = 0.0;
    double m_claimP99Ms = 0.0;
};

/**
 * Simulates the claims and results of paid calls at one gateway. A shard with pending operations waits for the gateway's next write slot, and one
 * write commits all pending operations of its shard. With @p writesPerSecond 0 each operation is written separately, at once.
 */
IntentCosts simulateLedger(double callsPerSecond, double writesPerSecond)
{
    constexpr int Calls = 20'000;
    constexpr double CallMs = 20.0;
    constexpr double WriteMs = 10.0;
    constexpr double BurstWrites = 10.0;
    std::mt19937_64 random(7);
    std::exponential_distribution<double> gap(callsPerSecond / 1'000.0);
    std::vector<double> writeTimeOfShard(IntentShards, -1.0);
    double nextWriteMs = 0.0;
    double writes = 0.0;
    std::vector<double> waits;
    const auto addOperation = [&](double at, std::size_t shard) {
        if (writesPerSecond <= 0.0) {
            writes += 1.0;
            return WriteMs;
        }
        if (writeTimeOfShard[shard] < at) {
            const double msPerWrite = 1'000.0 / writesPerSecond;
            nextWriteMs = std::max(nextWriteMs, at - BurstWrites * msPerWrite) + msPerWrite;
            writeTimeOfShard[shard] = std::max(at, nextWriteMs);
            writes += 1.0;
        }
        return writeTimeOfShard[shard] - at + WriteMs;
    };
    double at = 0.0;
    std::vector<std::pair<double, std::size_t>> records;
    std::size_t nextRecord = 0;
    for (int i = 0; i < Calls; ++i) {
        at += gap(random);
        std::sort(records.begin() + static_cast<std::ptrdiff_t>(nextRecord), records.end());
        for (; nextRecord < records.size() && records[nextRecord].first <= at; ++nextRecord) {
            addOperation(records[nextRecord].first, records[nextRecord].second);
        }
        const std::size_t shard = random() % IntentShards;
        const double wait = addOperation(at, shard);
        waits.push_back(wait);
        records.emplace_back(at + wait + CallMs, shard);
    }
    std::sort(waits.begin(), waits.end());
    return IntentCosts{writes / Calls, waits[waits.size() * 99 / 100]};
}

void measureIntents(Slopes &slopes)
{
    constexpr double Gateways = 8.0;
    constexpr double WritesPerSecond = 37.0;
    for (const double rate : {10.0, 30.0, 240.0, 1'000.0, 4'000.0}) {
        const IntentCosts alone = simulateLedger(rate / Gateways, 0.0);
        const IntentCosts grouped = simulateLedger(rate / Gateways, WritesPerSecond);
        std::printf("intents: %.0f paid calls a second over 8 gateways: one write each %.0f writes/s; group commit %.0f writes/s, claim p99 %.0f ms\n",
                    rate,
                    rate * alone.m_writesPerCall,
                    rate * grouped.m_writesPerCall,
                    grouped.m_claimP99Ms);
    }
    constexpr double TargetPaidPerSecond = 240.0;
    slopes["intent_writes_per_paid_call"] = simulateLedger(TargetPaidPerSecond / Gateways, WritesPerSecond).m_writesPerCall;
    std::vector<std::pair<double, double>> bytes;
    for (const int entries : {100, 200, 400}) {
        std::vector<IntentOp> ops;
        for (int i = 0; i < entries; ++i) {
            IntentOp op;
            op.m_key = intentKey("workspace", std::to_string(i));
            op.m_nonce = static_cast<std::uint64_t>(i);
            op.m_owner = "gateway-1/1700000000000";
            ops.push_back(op);
        }
        bytes.emplace_back(entries, static_cast<double>(encodeIntentShard(applyIntents({}, ops, 1).m_updatedShard).size()));
    }
    recordSlope(slopes, "ledger_bytes_per_key", fitLine(bytes));
}
}

Fit fitLine(std::vector<std::pair<double, double>> points)
{
    Fit fit;
    double sumX = 0.0;
    double sumY = 0.0;
    double sumXx = 0.0;
    double sumXy = 0.0;
    for (const std::pair<double, double> &point : points) {
        sumX += point.first;
        sumY += point.second;
        sumXx += point.first * point.first;
        sumXy += point.first * point.second;
    }
    const double n = static_cast<double>(points.size());
    fit.m_slope = (n * sumXy - sumX * sumY) / (n * sumXx - sumX * sumX);
    fit.m_intercept = (sumY - fit.m_slope * sumX) / n;
    for (const std::pair<double, double> &point : points) {
        const double line = fit.m_intercept + fit.m_slope * point.first;
        fit.m_maxDeviation = std::max(fit.m_maxDeviation, std::abs(line - point.second) / std::max(1.0, point.second));
    }
    fit.m_points = std::move(points);
    return fit;
}

void measureSlopes(Slopes &slopes)
{
    measureDecisions(slopes);
    measureTables(slopes);
    measureMembership(slopes);
    measurePlacement(slopes);
    measureIntents(slopes);
}
}
