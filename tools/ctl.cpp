// Problem: operators change and monitor the system from a shell, by hand and in scripts.
// Approach: one subcommand per task, which calls the administration API. Output is text or, with --output json, JSON for scripts. Exit statuses
// distinguish conflicts, refused changes and an unreachable system.

#include "kernel/logevents.h"
#include "kernel/plan.h"
#include "net/keys.h"
#include "net/synccall.h"
#include "platform/configtextcheck.h"
#include "tools/ctlformat.h"
#include "tools/explain.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <iostream>
#include <sstream>

namespace knapweedslip
{
namespace json = boost::json;

namespace
{
constexpr int ExitOk = 0;
constexpr int ExitRefused = 1;
constexpr int ExitUsage = 2;
constexpr int ExitConflict = 3;
constexpr int ExitUnreachable = 4;
constexpr int ExitNotInForce = 5;
constexpr std::int64_t CallTimeoutMs = 20'000;
constexpr std::int64_t RolloutPollMs = 100;
constexpr unsigned StatusConflict = 412;

/** Command-line options. */
struct Options
{
    std::string m_admin = "127.0.0.1:7300";
    std::string m_keyFile;
    std::string m_output = "text";
    std::string m_author;
    std::string m_reason;
    std::string m_file;
    std::string m_inForceFile;
    bool m_hasInForce = false;
    std::string m_name;
    std::string m_state;
    std::string m_address;
    std::string m_request;
    bool m_explainsUpstream = false;
    std::vector<std::string> m_logs;
    std::uint64_t m_revision = 0;
    bool m_hasBase = false;
    std::uint64_t m_base = 0;
    int m_groups = 0;
    bool m_dryRun = false;
    bool m_wait = false;
    std::int64_t m_waitMs = 10'000;
};

/** Exit status and body of an API call; the body is null when the call failed. */
struct Response
{
    int m_exit = ExitOk;
    json::value m_body;
};

std::string readFile(const std::string &path, bool &found)
{
    std::ifstream file(path);
    // A directory can be opened, but not read.
    file.peek();
    found = file.is_open() && !file.bad();
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int exitStatus(unsigned status)
{
    constexpr unsigned FirstError = 400;
    if (status < FirstError) {
        return ExitOk;
    }
    return status == StatusConflict ? ExitConflict : ExitRefused;
}

Response callApi(const Options &options, const std::string &address, HttpRequest request)
{
    const Result<Secret> key = readSecret(options.m_keyFile);
    if (failed(key)) {
        std::cerr << describe(errorOf(key)) << "\n";
        return {ExitUsage, nullptr};
    }
    request.m_headers.emplace_back("Authorization", "Bearer " + valueOf(key).m_text);
    const Result<HttpReply> reply = syncCall(address, request, CallTimeoutMs);
    if (failed(reply)) {
        std::cerr << address << ": " << describe(errorOf(reply)) << "\n";
        return {ExitUnreachable, nullptr};
    }
    boost::system::error_code error;
    Response response;
    response.m_body = json::parse(valueOf(reply).m_body, error);
    response.m_exit = exitStatus(valueOf(reply).m_status);
    if (response.m_exit != ExitOk && response.m_body.is_object()) {
        std::cerr << formatProblem(response.m_body.as_object());
    }
    return response;
}

HttpRequest makeChangeRequest(const Options &options, const std::string &method, const std::string &target, const std::string &body)
{
    HttpRequest request;
    request.m_method = method;
    request.m_target = target;
    if (options.m_dryRun) {
        request.m_target += target.find('?') == std::string::npos ? "?dry_run=true" : "&dry_run=true";
    }
    request.m_headers.emplace_back("X-Author", options.m_author);
    request.m_headers.emplace_back("X-Reason", options.m_reason);
    if (options.m_hasBase) {
        request.m_headers.emplace_back("If-Match", std::to_string(options.m_base));
    }
    request.m_body = body;
    return request;
}

HttpRequest makeReadRequest(const std::string &target)
{
    HttpRequest request;
    request.m_target = target;
    return request;
}

void printResponse(const Options &options, const Response &response, const std::string &text)
{
    if (response.m_exit == ExitOk) {
        std::cout << (options.m_output == "json" ? json::serialize(response.m_body) + "\n" : text);
    }
}

std::string formatStatus(const json::object &status)
{
    std::string text = formatFields(status);
    const auto table = [&](const char *key, const std::vector<std::string> &columns) {
        const json::value *rows = status.if_contains(key);
        if (rows != nullptr && rows->is_array()) {
            text += "\n" + formatTable(rows->as_array(), columns);
        }
    };
    table("availability_zones", {"name", "state"});
    table("groups", {"id", "model", "availability_zone", "phase", "generation", "controller", "vms"});
    table("daemons", {"name", "role", "availability_zone", "lives", "ready", "view_index", "behind"});
    return text;
}

/** Polls until every live daemon uses view @p index or the wait time is over; returns the exit status. */
int waitForRollout(const Options &options, std::uint64_t index)
{
    const std::int64_t deadlineMs = steadyMs() + options.m_waitMs;
    Response response;
    do {
        response = callApi(options, options.m_admin, makeReadRequest("/v1/status?index=" + std::to_string(index)));
        if (response.m_exit != ExitOk) {
            return response.m_exit;
        }
        if (response.m_body.at("in_force_everywhere").as_bool()) {
            std::cerr << "in force on every live daemon\n";
            return ExitOk;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(RolloutPollMs));
    } while (steadyMs() < deadlineMs);
    std::cerr << "not in force everywhere yet:\n";
    for (const json::value &daemon : response.m_body.at("daemons").as_array()) {
        if (daemon.at("behind").as_bool()) {
            std::cerr << "  " << json::value_to<std::string>(daemon.at("name")) << (daemon.at("lives").as_bool() ? " is behind\n" : " is not alive\n");
        }
    }
    return ExitNotInForce;
}

int applyChange(const Options &options, const HttpRequest &request)
{
    const Response response = callApi(options, options.m_admin, request);
    std::string text;
    if (response.m_exit == ExitOk) {
        text = formatFields(response.m_body.as_object());
        if (const json::value *effect = response.m_body.as_object().if_contains("effect")) {
            text += "effect:\n" + formatFields(effect->as_object());
        }
    }
    printResponse(options, response, text);
    if (response.m_exit != ExitOk || options.m_dryRun || !options.m_wait) {
        return response.m_exit;
    }
    return waitForRollout(options, response.m_body.at("view_index").to_number<std::uint64_t>());
}

int checkPlan(const Options &options)
{
    bool found = false;
    const std::string yaml = readFile(options.m_file, found);
    if (!found) {
        std::cerr << options.m_file << ": the file cannot be read\n";
        return ExitUsage;
    }
    const std::variant<Plan, Findings> plan = parsePlan(yaml, options.m_file);
    if (const Findings *findings = std::get_if<Findings>(&plan)) {
        std::cerr << describe(*findings);
        return ExitRefused;
    }
    std::cout << options.m_file << ": no findings\n";
    return ExitOk;
}

int checkConfigFile(const Options &options)
{
    std::vector<std::string> texts;
    for (const std::string &path : {options.m_file, options.m_hasInForce ? options.m_inForceFile : options.m_file}) {
        bool found = false;
        texts.push_back(readFile(path, found));
        if (!found) {
            std::cerr << path << ": the file cannot be read\n";
            return ExitUsage;
        }
    }
    const std::optional<std::string> inForce = options.m_hasInForce ? std::make_optional(texts.back()) : std::nullopt;
    const auto isControl = [](unsigned char c) {
        return std::iscntrl(c) != 0;
    };
    bool clean = true;
    std::string lines;
    Response response;
    json::array &rows = response.m_body.emplace_array();
    for (const ConfigFinding &finding : platform::checkConfigText(texts.front(), inForce)) {
        const std::string kind(enumName(ConfigFindingKindNames, finding.m_kind));
        rows.push_back(json::object{{"kind", kind}, {"place", finding.m_place}, {"text", finding.m_text}});
        std::string line = kind + ": " + finding.m_place + ": " + finding.m_text;
        // Names may hold line breaks, but a finding has one line.
        std::replace_if(line.begin(), line.end(), isControl, ' ');
        lines += line + "\n";
        clean = clean && finding.m_kind == ConfigFindingKind::Difference;
    }
    printResponse(options, response, clean ? lines + options.m_file + (lines.empty() ? ": no findings\n" : ": no findings besides the differences\n") : lines);
    return clean ? ExitOk : ExitRefused;
}

int applyPlan(const Options &options)
{
    const int checked = checkPlan(options);
    if (checked != ExitOk) {
        return checked;
    }
    bool found = false;
    const std::string yaml = readFile(options.m_file, found);
    return applyChange(options, makeChangeRequest(options, "PUT", "/v1/plan", yaml));
}

int showStatus(const Options &options)
{
    const Response response = callApi(options, options.m_admin, makeReadRequest("/v1/status"));
    printResponse(options, response, response.m_exit == ExitOk ? formatStatus(response.m_body.as_object()) : std::string());
    return response.m_exit;
}

int showPlan(const Options &options)
{
    const Response response = callApi(options, options.m_admin, makeReadRequest("/v1/plan"));
    printResponse(options, response, response.m_exit == ExitOk ? json::value_to<std::string>(response.m_body.at("sheet")) + "\n" : std::string());
    return response.m_exit;
}

int showHistory(const Options &options)
{
    const Response response = callApi(options, options.m_admin, makeReadRequest("/v1/plan/history"));
    const std::string text =
        response.m_exit == ExitOk ? formatTable(response.m_body.as_array(), {"revision", "author", "reason", "unix_seconds"}) : std::string();
    printResponse(options, response, text);
    return response.m_exit;
}

int dumpProcess(const Options &options)
{
    const Response response = callApi(options, options.m_address, makeReadRequest("/debug/state"));
    printResponse(options, response, response.m_exit == ExitOk ? json::serialize(response.m_body) + "\n" : std::string());
    return response.m_exit;
}

int listEvents(const Options &options)
{
    json::array rows;
    for (const LogEventRow &row : logEventTable()) {
        rows.push_back(json::object{{"number", row.m_number}, {"name", row.m_name}, {"meaning", row.m_meaning}});
    }
    Response response;
    response.m_body = rows;
    printResponse(options, response, formatTable(rows, {"number", "name", "meaning"}));
    return ExitOk;
}

int explainLogs(const Options &options)
{
    std::vector<std::ifstream> files;
    std::vector<std::istream *> logs;
    files.reserve(options.m_logs.size());
    for (const std::string &path : options.m_logs) {
        files.emplace_back(path);
        if (!files.back()) {
            std::cerr << path << ": the file cannot be read\n";
            return ExitUsage;
        }
        logs.push_back(&files.back());
    }
    bool isEmpty = true;
    if (options.m_explainsUpstream) {
        const UpstreamExplanation explanation = explainUpstream(logs, options.m_request);
        std::cout << formatExplanation(explanation, options.m_request);
        isEmpty = explanation.m_lines.empty();
    } else {
        const RequestExplanation explanation = explainRequest(logs, options.m_request);
        std::cout << formatExplanation(explanation, options.m_request);
        isEmpty = explanation.m_lines.empty();
    }
    return isEmpty ? ExitRefused : ExitOk;
}

void addChangeOptions(CLI::App &command, Options &options)
{
    command.add_option("--author", options.m_author, "author of the change")->required();
    command.add_option("--reason", options.m_reason, "reason for the change")->required();
    command.add_flag("--dry-run", options.m_dryRun, "show the effect and change nothing");
    command.add_flag("--wait", options.m_wait, "wait until the change is in force on every live daemon");
    command.add_option("--wait-ms", options.m_waitMs, "longest wait");
}

void addBaseOption(CLI::App &command, Options &options, bool needed)
{
    CLI::Option *option = command.add_option("--base", options.m_base, "revision that the change is based on");
    if (needed) {
        option->required();
    }
    option->each([&options](const std::string &) {
        options.m_hasBase = true;
    });
}

void addPlanCommands(CLI::App &app, Options &options, std::function<int()> &run)
{
    CLI::App *check = app.add_subcommand("check", "check a plan file and print all findings");
    check->add_option("file", options.m_file, "YAML file of the plan")->required();
    check->callback([&]() {
        run = [&options]() {
            return checkPlan(options);
        };
    });
    CLI::App *apply = app.add_subcommand("apply", "put a plan in force");
    apply->add_option("file", options.m_file, "YAML file of the plan")->required();
    addChangeOptions(*apply, options);
    addBaseOption(*apply, options, true);
    apply->callback([&]() {
        run = [&options]() {
            return applyPlan(options);
        };
    });
    CLI::App *rollback = app.add_subcommand("rollback", "put an earlier plan in force as a new revision");
    rollback->add_option("revision", options.m_revision, "earlier revision")->required();
    addChangeOptions(*rollback, options);
    addBaseOption(*rollback, options, true);
    rollback->callback([&]() {
        run = [&options]() {
            return applyChange(options, makeChangeRequest(options, "POST", "/v1/plan/rollback?revision=" + std::to_string(options.m_revision), {}));
        };
    });
}

void addConfigCommands(CLI::App &app, Options &options, std::function<int()> &run)
{
    CLI::App *config = app.add_subcommand("config", "work on the operators' configuration of the hosting platform");
    config->require_subcommand(1);
    CLI::App *check = config->add_subcommand("check", "check a configuration before it is sent and print all findings; needs no administration API");
    check->add_option("file", options.m_file, "JSON file of the configuration")->required();
    CLI::Option *inForce = check->add_option("--in-force", options.m_inForceFile, "JSON file of the configuration in force; print what differs from it");
    inForce->each([&options](const std::string &) {
        options.m_hasInForce = true;
    });
    check->callback([&]() {
        run = [&options]() {
            return checkConfigFile(options);
        };
    });
}

void addResourceCommands(CLI::App &app, Options &options, std::function<int()> &run)
{
    CLI::App *zone = app.add_subcommand("zone", "take an availability zone out of service or bring it back");
    zone->add_option("name", options.m_name, "availability zone")->required();
    zone->add_option("state", options.m_state, "in or out")->required()->check(CLI::IsMember({"in", "out"}));
    addChangeOptions(*zone, options);
    addBaseOption(*zone, options, false);
    zone->callback([&]() {
        run = [&options]() {
            return applyChange(options, makeChangeRequest(options, "POST", "/v1/zones/" + options.m_name, R"({"state":")" + options.m_state + R"("})"));
        };
    });
    for (const bool drained : {true, false}) {
        CLI::App *drain = app.add_subcommand(drained ? "drain" : "undrain",
                                             drained ? "let a VM finish its requests and remove it from its group" : "let a VM receive requests again");
        drain->add_option("vm", options.m_name, "VM")->required();
        addChangeOptions(*drain, options);
        addBaseOption(*drain, options, false);
        drain->callback([&options, &run, drained]() {
            run = [&options, drained]() {
                const std::string body = std::string(R"({"drained":)") + (drained ? "true}" : "false}");
                return applyChange(options, makeChangeRequest(options, "POST", "/v1/vms/" + options.m_name, body));
            };
        });
    }
    CLI::App *groups = app.add_subcommand("groups", "set the number of groups of a model");
    groups->add_option("model", options.m_name, "model")->required();
    groups->add_option("count", options.m_groups, "number of groups")->required();
    addChangeOptions(*groups, options);
    addBaseOption(*groups, options, false);
    groups->callback([&]() {
        run = [&options]() {
            return applyChange(options,
                               makeChangeRequest(options, "POST", "/v1/models/" + options.m_name, R"({"groups":)" + std::to_string(options.m_groups) + "}"));
        };
    });
}

void addReadCommands(CLI::App &app, Options &options, std::function<int()> &run)
{
    const auto add = [&](const char *name, const char *help, int (*command)(const Options &)) {
        CLI::App *sub = app.add_subcommand(name, help);
        sub->callback([&options, &run, command]() {
            run = [&options, command]() {
                return command(options);
            };
        });
        return sub;
    };
    add("status", "groups, availability zones and daemons", showStatus);
    add("plan", "print the plan in force", showPlan);
    add("history", "list the changes of the plan with author, reason and time", showHistory);
    add("events", "list the numbered log events", listEvents);
    add("dump", "print the state of one daemon", dumpProcess)->add_option("address", options.m_address, "its status_listen address")->required();
    CLI::App *explain = add("explain", "explain from log files why a request ended as it did, or why an upstream is not used", explainLogs);
    explain->add_flag("--upstream", options.m_explainsUpstream, "the id is that of an upstream");
    explain->add_option("id", options.m_request, "the id of the request or upstream")->required();
    explain->add_option("logs", options.m_logs, "log files of all daemons")->required();
    CLI::App *rollout = app.add_subcommand("rollout", "wait until a view is in force on every live daemon");
    rollout->add_option("index", options.m_revision, "view index printed by a change")->required();
    rollout->add_option("--wait-ms", options.m_waitMs, "longest wait");
    rollout->callback([&]() {
        run = [&options]() {
            return waitForRollout(options, options.m_revision);
        };
    });
}
}
}

int main(int argc, char **argv)
{
    using namespace knapweedslip;
    CLI::App app("Operators' command line of knapweedslip", "knapweedslipctl");
    Options options;
    std::function<int()> run;
    app.add_option("--admin", options.m_admin, "address of an administration API");
    app.add_option("--key-file", options.m_keyFile, "file with the operators' key");
    app.add_option("--output", options.m_output, "text or json")->check(CLI::IsMember({"text", "json"}));
    app.require_subcommand(1);
    app.footer("Examples:\n"
               "  knapweedslipctl --key-file operator.key status\n"
               "  knapweedslipctl --key-file operator.key apply monday.yaml --base 4 --author dana --reason 'Monday plan' --wait\n"
               "  knapweedslipctl --key-file operator.key zone attica-2 out --author dana --reason 'switch work' --wait\n"
               "  knapweedslipctl config check config.json --in-force current.json\n"
               "  knapweedslipctl explain 9992af0c649e5da9 logs/*.jsonl\n"
               "  knapweedslipctl explain --upstream i-7f3a91c2 logs/*.jsonl\n"
               "Exit status: 0 done, 1 refused (explain: no line names the id; config check: findings), 2 usage, 3 conflict, 4 not reachable, 5 not in force "
               "everywhere in time");
    addPlanCommands(app, options, run);
    addConfigCommands(app, options, run);
    addResourceCommands(app, options, run);
    addReadCommands(app, options, run);
    CLI11_PARSE(app, argc, argv);
    return run();
}
