// Problem: requests arrive at dozens of daemons, and each must decide at once whether the replicas of a model have room for a request.
// Approach: each daemon reports the work that it is offered. OverloadAdmission computes from the reports of all daemons which part of each rank of requests
// is admitted.
// Sending all requests and leaving the order to the engines lets nearly all of them wait until they are late.

#include "daemons/entryadmission.h"

#include "kernel/slottime.h"
#include "net/logging.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <numeric>
#include <utility>

namespace knapweedslip
{
namespace
{
/** The leader measures the demand of the models only while it hears at least this part of the daemons. */
constexpr double LeastHeardFraction = 0.5;
/** Interval between two looks at a delayed request, in ms: as long as the window of the demand meters, so that it counts as one request. */
constexpr std::int64_t DelayPollMs = static_cast<std::int64_t>(DemandMeter::WindowMs);
/** Part of its latency target by which a delayed request must be expected to have its first event. */
constexpr double DelayFraction = 0.9;
/** Longest delay, in ms: clients leave after 2 s without an event (client interface). */
constexpr std::int64_t MaxDelayMs = 1'000;
/** Shortest time after which a refused client should come back, in ms, and the width of the interval over which clients come back. */
constexpr std::int64_t LeastRetryMs = 1'000;
constexpr std::int64_t RetrySpreadMs = 1'000;
/** Shortest time between two log lines about the admission of one model, in ms. */
constexpr std::int64_t LogIntervalMs = 1'000;

double paceOf(const CallService &service, const std::string &model)
{
    const ServedModel *served = findModel(service, model);
    return served == nullptr ? 1.0 : served->m_pace;
}

/** Returns the mean number of requests that a replica of @p model may run so that first events are on time. */
double targetOccupancyOf(const EntryContext &context, const CallService &service, const std::string &model)
{
    SlotTimeQuery query;
    query.m_promptTokens = service.m_engines->m_meanPromptTokens;
    query.m_pace = paceOf(service, model);
    query.m_biasMs = context.m_replicaSelector.firstEventBias().biasMs(model);
    const auto target = context.m_latencyTargets.find(model);
    const double targetMs = target == context.m_latencyTargets.end() ? std::numeric_limits<double>::max() : target->second.m_targetMs;
    return targetOccupancy(*service.m_engines, targetMs, query);
}

double totalWork(const RankWork &work)
{
    return std::accumulate(work.begin(), work.end(), 0.0);
}

void recordLatencyTarget(EntryContext &context, const std::string &model, double targetMs, std::int64_t nowMs)
{
    /** The configuration may have replaced a target that no request has had for this long. */
    constexpr std::int64_t ForgetMs = 10'000;
    SeenLatencyTarget &seen = context.m_latencyTargets.try_emplace(model, SeenLatencyTarget{targetMs, nowMs}).first->second;
    if (targetMs <= seen.m_targetMs || nowMs - seen.m_seenMs > ForgetMs) {
        seen = {targetMs, nowMs};
    }
}

void logChange(EntryContext &context, const std::string &model)
{
    const bool isOverloaded = context.m_admission.isOverloaded(model);
    std::int64_t &loggedMs = context.m_admissionLoggedMs.try_emplace(model, -LogIntervalMs).first->second;
    bool &wasOverloaded = context.m_admissionOverloaded[model];
    const std::int64_t nowMs = steadyMs();
    if ((!isOverloaded && !wasOverloaded) || nowMs - loggedMs < LogIntervalMs) {
        return;
    }
    loggedMs = nowMs;
    wasOverloaded = isOverloaded;
    const ModelLoad &load = context.m_admission.load(model);
    std::string fractions;
    for (std::size_t rank = 0; rank < AdmissionRankCount; ++rank) {
        if (load.m_demand[rank] > 0.0) {
            const AdmissionRank decoded = rankAt(rank);
            fractions += (fractions.empty() ? "" : " ") + std::to_string(decoded.m_priority) + (decoded.m_late ? "-late-" : "-")
                         + std::string(enumName(RequestSizeNames, decoded.m_size)) + "=" + std::to_string(context.m_admission.fractions(model)[rank]);
        }
    }
    logEvent(LogEvent::AdmissionChanged,
             {{"model", model},
              {"overloaded", isOverloaded},
              {"capacity_slots", load.m_capacitySlots},
              {"in_flight", load.m_inFlight},
              {"demand_slots", std::accumulate(load.m_demand.begin(), load.m_demand.end(), 0.0)},
              {"admitted", fractions}});
}

/** What the decision on a request rests on. */
struct AdmissionInput
{
    AdmissionRank m_rank;
    double m_slotMs = 0.0;
    /** Until then the request may be delayed, in ms of steadyMs(). */
    std::int64_t m_delayUntilMs = 0;
};

AdmissionInput describeRequest(EntryCall &call)
{
    EntryContext &context = call.m_context;
    const EngineTiming &engines = *call.m_service->m_engines;
    const CallRoute &route = *call.m_admission.m_route;
    const std::string &model = call.m_caller.m_model;
    // A route without a latency target has no late answers.
    const double targetMs = route.m_latencyTargetMs > 0 ? static_cast<double>(route.m_latencyTargetMs) : std::numeric_limits<double>::infinity();
    recordLatencyTarget(context, model, targetMs, call.m_arrivedMs);
    SlotTimeQuery query;
    query.m_promptTokens = call.m_caller.m_promptTokens;
    query.m_answerTokens = call.m_answerTokens;
    query.m_pace = paceOf(*call.m_service, model);
    query.m_biasMs = context.m_replicaSelector.firstEventBias().biasMs(model);
    const double occupancy = targetOccupancyOf(context, *call.m_service, model);
    AdmissionInput input;
    input.m_slotMs = slotTimeMs(engines, occupancy, query);
    query.m_answerTokens = 0.0;
    const double firstEventMs = slotTimeMs(engines, occupancy, query);
    const double leftMs = targetMs - static_cast<double>(call.m_waitedMs);
    input.m_rank.m_priority = call.m_admission.m_priority;
    input.m_rank.m_late = firstEventMs > leftMs;
    input.m_rank.m_size = requestSize(input.m_slotMs, context.m_admission.meanSlotMs(model));
    const double delayMs = std::clamp(DelayFraction * leftMs - firstEventMs, 0.0, static_cast<double>(MaxDelayMs));
    input.m_delayUntilMs = call.m_arrivedMs + static_cast<std::int64_t>(delayMs);
    return input;
}
}

void updateAdmission(EntryContext &context, const PeerLoadSummary &summary)
{
    if (!context.m_settings.m_overloadAdmission || context.m_config == nullptr) {
        return;
    }
    const CallService *service = findEngineService(*context.m_config);
    const std::int64_t nowMs = steadyMs();
    if (service == nullptr) {
        return;
    }
    for (const std::pair<const std::string, RankWork> &own : context.m_admission.ownDemand(nowMs)) {
        const ModelOccupancy occupancy = context.m_replicaSelector.occupancy(context.m_availability, own.first, nowMs);
        ModelLoad load;
        load.m_capacitySlots = occupancy.m_fullSpeedReplicas * targetOccupancyOf(context, *service, own.first);
        load.m_inFlight = occupancy.m_inFlight;
        load.m_demand = own.second;
        const auto peers = summary.m_demand.find(modelKey(own.first));
        if (peers != summary.m_demand.end()) {
            std::transform(load.m_demand.begin(), load.m_demand.end(), peers->second.begin(), load.m_demand.begin(), std::plus<>());
        }
        context.m_admission.update(own.first, load, nowMs);
        logChange(context, own.first);
    }
}

void updateModelDemand(EntryContext &context, const PeerLoadSummary &summary)
{
    const CallService *service = context.m_config == nullptr ? nullptr : findEngineService(*context.m_config);
    if (!context.m_settings.m_replicasFollowDemand || !isLeader(context) || service == nullptr) {
        context.m_modelDemand.reset();
        context.m_reconciler.setDemand({});
        return;
    }
    const std::int64_t nowMs = steadyMs();
    if (summary.m_daemons + 1 >= LeastHeardFraction * daemonCount(context)) {
        const std::map<std::string, RankWork> own = context.m_admission.ownDemand(nowMs);
        std::map<std::string, double> slots;
        for (const ServedModel &model : service->m_engines->m_models) {
            const auto offered = own.find(model.m_name);
            const auto peers = summary.m_demand.find(modelKey(model.m_name));
            slots[model.m_name] =
                (offered == own.end() ? 0.0 : totalWork(offered->second)) + (peers == summary.m_demand.end() ? 0.0 : totalWork(peers->second));
        }
        context.m_modelDemand.record(slots, nowMs);
    }
    ReplicaDemand demand{context.m_modelDemand.shares(service->m_engines->m_models), context.m_modelDemand.slots(), {}};
    for (const ServedModel &model : service->m_engines->m_models) {
        demand.m_slotsPerReplica[model.m_name] = targetOccupancyOf(context, *service, model.m_name);
    }
    context.m_reconciler.setDemand(std::move(demand));
}

awaitable<AdmissionOutcome> admitGeneration(EntryCall &call)
{
    EntryContext &context = call.m_context;
    const std::string &model = call.m_caller.m_model;
    const AnswerLengthHints hints{call.m_caller.m_answerTokensHint, call.m_caller.m_maxAnswerTokens};
    call.m_answerTokens = context.m_answerLength.expectedTokens(call.m_admission.m_route->m_name, hints, call.m_service->m_engines->m_meanAnswerTokens);
    const std::int64_t givenMs = call.m_caller.m_timeLeftMs.value_or(-1);
    context.m_clientDeadlines.record(call.m_admission.m_route->m_name, givenMs);
    call.m_waitedMs = context.m_clientDeadlines.waitedMs(call.m_admission.m_route->m_name, givenMs);
    // A client that continues a stream has been admitted before.
    if (!context.m_settings.m_overloadAdmission || call.m_caller.m_lastEventId || findModel(*call.m_service, model) == nullptr) {
        co_return AdmissionOutcome::Admitted;
    }
    const AdmissionInput input = describeRequest(call);
    call.m_isLate = input.m_rank.m_late;
    while (true) {
        context.m_admission.offer(model, input.m_rank, input.m_slotMs, steadyMs());
        if (context.m_admission.admit(model, input.m_rank)) {
            co_return AdmissionOutcome::Admitted;
        }
        const bool isOver = timeLeftMs(call) <= DelayPollMs || call.m_exchange.callerDisconnected();
        if (isOver || steadyMs() + DelayPollMs > input.m_delayUntilMs) {
            co_return AdmissionOutcome::Refused;
        }
        co_await sleepFor(DelayPollMs);
    }
}

std::int64_t overloadRetryMs(EntryContext &context)
{
    std::uniform_int_distribution<std::int64_t> spreadMs(0, RetrySpreadMs);
    return LeastRetryMs + spreadMs(context.m_random);
}

void recordFirstEvent(EntryCall &call)
{
    if (call.m_sends != 1 || call.m_expectedMs < 0.0) {
        return;
    }
    FirstEventTimes &times = call.m_context.m_firstEventTimes[call.m_caller.m_model];
    times.m_expected.add(call.m_expectedMs);
    times.m_seen.add(static_cast<double>(call.m_firstEventMs));
}

void recordAnswerLength(EntryCall &call, std::int64_t events)
{
    if (call.m_service->m_engines) {
        call.m_context.m_answerLength.record(call.m_admission.m_route->m_name, events * call.m_service->m_engines->m_stepsPerPass);
    }
}

std::string admissionMetrics(const EntryContext &context)
{
    std::string text;
    const auto add = [&text](const std::string &name, const std::string &labels, double value) {
        text += name + "{" + labels + "} " + std::to_string(value) + "\n";
    };
    for (const std::pair<const std::string, double> &bias : context.m_replicaSelector.firstEventBias().all()) {
        add("knapweedslip_first_event_bias_ms", "model=\"" + bias.first + "\"", bias.second);
    }
    for (const std::pair<const std::string, FirstEventTimes> &times : context.m_firstEventTimes) {
        for (const char *quantile : {"0.5", "0.9"}) {
            const std::string labels = "model=\"" + times.first + "\",quantile=\"" + quantile + "\"";
            add("knapweedslip_first_event_expected_ms", labels, times.second.m_expected.quantile(std::stod(quantile)));
            add("knapweedslip_first_event_seen_ms", labels, times.second.m_seen.quantile(std::stod(quantile)));
        }
    }
    for (const std::pair<const std::string, SeenLatencyTarget> &target : context.m_latencyTargets) {
        const std::string model = "model=\"" + target.first + "\"";
        const ModelLoad &load = context.m_admission.load(target.first);
        add("knapweedslip_admission_capacity_slots", model, load.m_capacitySlots);
        add("knapweedslip_admission_in_flight", model, load.m_inFlight);
        for (std::size_t rank = 0; rank < AdmissionRankCount; ++rank) {
            if (load.m_demand[rank] > 0.0) {
                const AdmissionRank decoded = rankAt(rank);
                const std::string labels = model + ",priority=\"" + std::to_string(decoded.m_priority) + "\",size=\""
                                           + std::string(enumName(RequestSizeNames, decoded.m_size)) + "\",late=\"" + (decoded.m_late ? "1" : "0") + "\"";
                add("knapweedslip_admission_demand_slots", labels, load.m_demand[rank]);
                add("knapweedslip_admission_fraction", labels, context.m_admission.fractions(target.first)[rank]);
            }
        }
    }
    return text;
}
}
