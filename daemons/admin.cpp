// Problem: several operators change the plan during the day, sometimes at the same time, and must know when a change is in force everywhere.
// Approach: a full plan is written on condition of a base revision. An edit of one field needs no base revision, because it is applied again
// to the current plan after a conflict. Every refusal is a problem document. The status of a rollout comes from the gossip of the daemons.
// Unconditional writes of the full plan would silently undo the changes of other operators.

#include "daemons/planeditor.h"
#include "net/daemonmain.h"

#include <boost/json.hpp>

#include <charconv>
#include <map>

namespace knapweedslip
{
namespace json = boost::json;

namespace
{
struct AdminContext
{
    AdminSettings m_settings;
    Node *m_node = nullptr;
};

json::object planObject(const PlanDocument &plan, bool withSheet)
{
    json::object object;
    object["revision"] = plan.m_revision;
    object["author"] = plan.m_author;
    object["reason"] = plan.m_reason;
    object["unix_seconds"] = plan.m_unixSeconds;
    object["write_id"] = plan.m_writeId;
    if (withSheet) {
        object["sheet"] = plan.m_sheet;
    }
    return object;
}

HttpReply refusalReply(const ChangeRefusal &refusal)
{
    HttpReply reply = problemReply(refusal.m_error);
    json::value body = json::parse(reply.m_body);
    json::array findings;
    for (const Finding &finding : refusal.m_findings) {
        findings.push_back(json::object{{"line", finding.m_line}, {"column", finding.m_column}, {"text", finding.m_text}});
    }
    body.as_object()["findings"] = std::move(findings);
    body.as_object()["current_revision"] = refusal.m_currentRevision;
    reply.m_body = json::serialize(body);
    return reply;
}

/**
 * Returns what @p plan means for the existing groups: how many belong to its models, how many of these accept work,
 * and how many VMs the latter have. Also counts the workspaces of the plan.
 */
json::object describeEffect(const Plan &plan, const DocumentView &view)
{
    int groups = 0;
    int servingGroups = 0;
    int servingVms = 0;
    for (const DomainRecord &record : domainRecords(view)) {
        for (const GroupRecord &group : record.m_groups) {
            if (findModel(plan, group.m_model) == nullptr) {
                continue;
            }
            ++groups;
            const bool serves = isZoneInService(plan, record.m_availabilityZone) && (group.m_phase == GroupPhase::Warm || group.m_phase == GroupPhase::Cold);
            servingGroups += serves ? 1 : 0;
            servingVms += serves ? static_cast<int>(group.m_members.size()) : 0;
        }
    }
    json::object object;
    object["groups"] = groups;
    object["groups_taking_work"] = servingGroups;
    object["accelerators_taking_work"] = servingVms;
    object["workspaces"] = plan.m_workspaces.size();
    return object;
}

HttpReply changeReply(const AdminContext &context, const std::variant<ChangeResult, ChangeRefusal> &result, bool dryRun)
{
    if (const ChangeRefusal *refusal = std::get_if<ChangeRefusal>(&result)) {
        logEvent(LogEvent::PlanRefused, {{"error", describe(refusal->m_error)}});
        return refusalReply(*refusal);
    }
    const ChangeResult &change = std::get<ChangeResult>(result);
    json::object object = planObject(change.m_plan, dryRun);
    object["dry_run"] = dryRun;
    object["view_index"] = change.m_viewIndex;
    const std::variant<Plan, Findings> plan = parsePlan(change.m_plan.m_sheet, "plan");
    if (const Plan *parsed = std::get_if<Plan>(&plan)) {
        object["effect"] = describeEffect(*parsed, context.m_node->view());
    }
    object["accepted"] = change.m_accepted;
    // 202: the plan is in the store, but it is not yet known whether more than half of the daemons have it.
    const unsigned status = change.m_accepted || dryRun ? 200 : 202;
    HttpReply reply = jsonReply(status, json::serialize(object));
    reply.m_headers.emplace_back("ETag", "\"" + std::to_string(change.m_plan.m_revision) + "\"");
    return reply;
}

/** Parses a revision, with or without the quotes of an ETag. Returns nullopt if @p text is not a number. */
std::optional<std::uint64_t> parseRevision(std::string_view text)
{
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
        text = text.substr(1, text.size() - 2);
    }
    std::uint64_t revision = 0;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), revision);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return revision;
}

/** Reads the author, reason, base revision and dry run of a change from headers and query. Fails without a base if @p needsBase is set. */
Result<ChangeRequest> parseChangeRequest(const HttpRequest &request, bool needsBase)
{
    ChangeRequest planChange;
    planChange.m_author = std::string(headerValue(request.m_headers, "X-Author"));
    planChange.m_reason = std::string(headerValue(request.m_headers, "X-Reason"));
    planChange.m_dryRun = queryValue(request.m_target, "dry_run") == "true";
    if (planChange.m_author.empty() || planChange.m_reason.empty()) {
        return Error{ErrorCode::MalformedRequest, "headers X-Author and X-Reason are required: who changes the plan, and why"};
    }
    const std::string_view match = headerValue(request.m_headers, "If-Match");
    if (match.empty() && needsBase) {
        return Error{ErrorCode::PreconditionRequired, "header If-Match is required: the revision that the change is based on"};
    }
    if (!match.empty()) {
        planChange.m_baseRevision = parseRevision(match);
        if (!planChange.m_baseRevision) {
            return Error{ErrorCode::MalformedRequest, "header If-Match: not a revision number"};
        }
    }
    return planChange;
}

Result<json::object> bodyObject(const HttpRequest &request)
{
    boost::system::error_code error;
    const json::value value = json::parse(request.m_body, error);
    if (error || !value.is_object()) {
        return Error{ErrorCode::MalformedRequest, "body: not a JSON object"};
    }
    return value.as_object();
}

/** Returns the edit for a request that changes one zone, VM or model. @p part is the path segment "zones", "vms" or "models". */
Result<PlanEdit> parsePartEdit(const std::string &part, const std::string &name, const json::object &body)
{
    if (part == "zones") {
        const json::value *state = body.if_contains("state");
        const bool known = state != nullptr && state->is_string() && (state->as_string() == "in" || state->as_string() == "out");
        if (!known) {
            return Error{ErrorCode::MalformedRequest, "field state: must be in or out"};
        }
        const ZoneState zoneState = state->as_string() == "in" ? ZoneState::In : ZoneState::Out;
        return PlanEdit([name, zoneState](const std::string &yaml) {
            return withZoneState(yaml, name, zoneState);
        });
    }
    if (part == "vms") {
        const json::value *drained = body.if_contains("drained");
        if (drained == nullptr || !drained->is_bool()) {
            return Error{ErrorCode::MalformedRequest, "field drained: must be true or false"};
        }
        const bool flag = drained->as_bool();
        return PlanEdit([name, flag](const std::string &yaml) {
            return withDrainedVm(yaml, name, flag);
        });
    }
    if (part == "models") {
        const json::value *groups = body.if_contains("groups");
        if (groups == nullptr || !groups->is_int64() || groups->as_int64() < 0 || groups->as_int64() > 20'000) {
            return Error{ErrorCode::MalformedRequest, "field groups: must be a whole number from 0 to 20000"};
        }
        const int count = static_cast<int>(groups->as_int64());
        return PlanEdit([name, count](const std::string &yaml) {
            return withGroupCount(yaml, name, count);
        });
    }
    return Error{ErrorCode::NotFound, part};
}

json::array listGroups(const DocumentView &view)
{
    json::array groups;
    for (const DomainRecord &record : domainRecords(view)) {
        for (const GroupRecord &group : record.m_groups) {
            json::array vms;
            for (const MemberRecord &member : group.m_members) {
                vms.push_back(json::string(member.m_vm));
            }
            groups.push_back(json::object{{"id", group.m_id},
                                          {"model", group.m_model},
                                          {"availability_zone", record.m_availabilityZone},
                                          {"phase", enumName(GroupPhaseNames, group.m_phase)},
                                          {"generation", group.m_generation},
                                          {"controller", record.m_holder},
                                          {"vms", std::move(vms)}});
        }
    }
    return groups;
}

json::array listDaemons(Node &node, std::uint64_t index)
{
    json::array daemons;
    const std::int64_t nowMs = steadyMs();
    for (const PeerAddress &peer : node.membership().m_peers) {
        if (peer.m_name == node.settings().m_name) {
            continue;
        }
        const auto it = node.membership().m_members.find(peer.m_name);
        const bool isAlive = isMemberAlive(node.membership(), peer.m_name, nowMs);
        const std::uint64_t peerIndex = it == node.membership().m_members.end() ? 0 : it->second.m_viewIndex;
        daemons.push_back(json::object{{"name", peer.m_name},
                                       {"role", enumName(RoleNames, peer.m_role)},
                                       {"availability_zone", peer.m_availabilityZone},
                                       {"lives", isAlive},
                                       {"ready", isAlive && it->second.m_ready},
                                       {"view_index", peerIndex},
                                       {"behind", peerIndex < index}});
    }
    return daemons;
}

HttpReply statusReply(AdminContext &context, std::uint64_t index)
{
    Node &node = *context.m_node;
    json::object object;
    object["view_index"] = node.view().m_index;
    const Reachability reachability = node.reachability();
    object["known_daemons"] = reachability.m_knownDaemons;
    object["reachable_daemons"] = reachability.m_reachableDaemons;
    object["quorum"] = hasQuorum(reachability);
    const Result<std::shared_ptr<const RouteTable>> table = buildRouteTable(node.view());
    if (!failed(table)) {
        object["plan_revision"] = valueOf(table)->m_planRevision;
        json::array zones;
        for (const ZonePlan &zone : valueOf(table)->m_plan.m_zones) {
            zones.push_back(json::object{{"name", zone.m_name}, {"state", zone.m_state == ZoneState::In ? "in" : "out"}});
        }
        object["availability_zones"] = std::move(zones);
    }
    object["groups"] = listGroups(node.view());
    json::array daemons = listDaemons(node, index == 0 ? node.view().m_index : index);
    std::int64_t behind = 0;
    for (const json::value &daemon : daemons) {
        behind += daemon.at("behind").as_bool() && daemon.at("lives").as_bool() ? 1 : 0;
    }
    object["daemons_behind"] = behind;
    object["in_force_everywhere"] = behind == 0;
    object["daemons"] = std::move(daemons);
    return jsonReply(200, json::serialize(object));
}

HttpReply historyReply(const std::vector<PlanDocument> &history)
{
    json::array plans;
    for (const PlanDocument &plan : history) {
        plans.push_back(planObject(plan, false));
    }
    return jsonReply(200, json::serialize(plans));
}

HttpReply planReply(const PlanDocument &plan)
{
    HttpReply reply = jsonReply(200, json::serialize(planObject(plan, true)));
    reply.m_headers.emplace_back("ETag", "\"" + std::to_string(plan.m_revision) + "\"");
    return reply;
}

awaitable<void> servePlanRead(AdminContext &context, HttpExchange &exchange, std::string path)
{
    const Result<std::vector<PlanDocument>> history = co_await readPlanHistory(*context.m_node);
    if (failed(history)) {
        co_await exchange.respond(problemReply(errorOf(history), 1'000));
        co_return;
    }
    if (path == "/v1/plan/history") {
        co_await exchange.respond(historyReply(valueOf(history)));
        co_return;
    }
    if (valueOf(history).empty()) {
        co_await exchange.respond(problemReply(Error{ErrorCode::NotFound, "no plan has been applied yet"}));
        co_return;
    }
    co_await exchange.respond(planReply(valueOf(history).front()));
}

awaitable<void> applyChange(AdminContext &context, HttpExchange &exchange, ChangeRequest planChange)
{
    const bool dryRun = planChange.m_dryRun;
    const std::variant<ChangeResult, ChangeRefusal> result = co_await changePlan(*context.m_node, std::move(planChange), context.m_settings.m_keptPlans);
    co_await exchange.respond(changeReply(context, result, dryRun));
}

awaitable<void> serveApply(AdminContext &context, HttpExchange &exchange)
{
    const HttpRequest request = exchange.request();
    Result<ChangeRequest> planChange = parseChangeRequest(request, true);
    if (failed(planChange)) {
        co_await exchange.respond(problemReply(errorOf(planChange)));
        co_return;
    }
    valueOf(planChange).m_edit = [yaml = request.m_body](const std::string &) -> std::variant<std::string, Findings> {
        return yaml;
    };
    co_await applyChange(context, exchange, std::move(valueOf(planChange)));
}

awaitable<void> serveRollback(AdminContext &context, HttpExchange &exchange)
{
    const HttpRequest request = exchange.request();
    Result<ChangeRequest> planChange = parseChangeRequest(request, true);
    const std::optional<std::uint64_t> targetRevision = parseRevision(queryValue(request.m_target, "revision"));
    const Result<std::vector<PlanDocument>> history = co_await readPlanHistory(*context.m_node);
    if (failed(planChange) || failed(history) || !targetRevision) {
        const Error error = failed(planChange) ? errorOf(planChange)
                            : failed(history)  ? errorOf(history)
                                               : Error{ErrorCode::MalformedRequest, "query parameter revision: must be a number"};
        co_await exchange.respond(problemReply(error));
        co_return;
    }
    for (const PlanDocument &plan : valueOf(history)) {
        if (plan.m_revision == *targetRevision) {
            valueOf(planChange).m_edit = [yaml = plan.m_sheet](const std::string &) -> std::variant<std::string, Findings> {
                return yaml;
            };
            co_await applyChange(context, exchange, std::move(valueOf(planChange)));
            co_return;
        }
    }
    co_await exchange.respond(problemReply(Error{ErrorCode::NotFound, "revision " + std::to_string(*targetRevision) + " is no longer in the history"}));
}

awaitable<void> servePartChange(AdminContext &context, HttpExchange &exchange, std::string part, std::string name)
{
    const HttpRequest request = exchange.request();
    Result<ChangeRequest> planChange = parseChangeRequest(request, false);
    const Result<json::object> body = bodyObject(request);
    Result<PlanEdit> edit = failed(body) ? Result<PlanEdit>(errorOf(body)) : parsePartEdit(part, name, valueOf(body));
    if (failed(planChange) || failed(edit)) {
        const Error error = failed(planChange) ? errorOf(planChange) : errorOf(edit);
        co_await exchange.respond(problemReply(error));
        co_return;
    }
    valueOf(planChange).m_edit = std::move(valueOf(edit));
    co_await applyChange(context, exchange, std::move(valueOf(planChange)));
}

awaitable<void> serveOperator(AdminContext &context, HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const std::string path(pathOf(request.m_target));
    const std::string expected = "Bearer " + context.m_settings.m_common.m_operatorKey.m_text;
    if (!equalSecrets(headerValue(request.m_headers, "Authorization"), expected)) {
        co_await exchange.respond(problemReply(Error{ErrorCode::Unauthorized, "the operators' key is required"}));
        co_return;
    }
    if (path == "/v1/status") {
        co_await exchange.respond(statusReply(context, parseRevision(queryValue(request.m_target, "index")).value_or(0)));
    } else if (request.m_method == "GET" && (path == "/v1/plan" || path == "/v1/plan/history")) {
        co_await servePlanRead(context, exchange, path);
    } else if (request.m_method == "PUT" && path == "/v1/plan") {
        co_await serveApply(context, exchange);
    } else if (request.m_method == "POST" && path == "/v1/plan/rollback") {
        co_await serveRollback(context, exchange);
    } else if (request.m_method == "POST" && path.compare(0, 4, "/v1/") == 0) {
        const std::size_t slash = path.find('/', 4);
        const std::string part = path.substr(4, slash == std::string::npos ? slash : slash - 4);
        const std::string name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
        co_await servePartChange(context, exchange, part, name);
    }
}

int runAdmin(const AdminSettings &settings)
{
    IoThreads threads(0);
    AdminContext context;
    context.m_settings = settings;
    std::shared_ptr<HttpServer> server;
    NodeHooks hooks;
    hooks.m_onStopAccepting = [&server]() {
        server->stopAccepting();
    };
    hooks.m_isDrained = [&server]() {
        return server->activeRequests() == 0;
    };
    Node node(threads, settings.m_common, std::move(hooks));
    context.m_node = &node;
    Result<std::shared_ptr<HttpServer>> listening = HttpServer::create({&threads.control()}, settings.m_common.m_listen, [&context](HttpExchange &exchange) {
        return serveOperator(context, exchange);
    });
    if (failed(listening)) {
        logEvent(LogEvent::ListenFailed, {{"error", describe(errorOf(listening))}});
        return ExitCannotListen;
    }
    server = valueOf(listening);
    return runNode(node);
}
}
}

int main(int argc, char **argv)
{
    using namespace knapweedslip;
    return daemonMain<AdminSettings>(argc, argv, "knapweedslip-admin", "Administration API: plan, status and history", readAdminSettings, runAdmin);
}
