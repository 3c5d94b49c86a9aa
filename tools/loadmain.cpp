// Problem: anyone must be able to repeat a measurement and see how much its results vary.
// Approach: one program runs experiments over many seeds in virtual time, generates load over HTTP and checks recorded histories. It writes JSON
// reports, which benchmarks/plot.sh plots.

#include "kernel/registry.h"
#include "tools/experiment.h"
#include "tools/historycheck.h"
#include "tools/httpload.h"

#include <CLI/CLI.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace knapweedslip
{
namespace json = boost::json;

namespace
{
struct ExperimentOptions
{
    std::string m_name;
    int m_seeds = 10;
    std::uint64_t m_firstSeed = 1;
    std::string m_report;
    int m_threads = 4;
};

/** Values of each figure over all seeds, by its name. */
using Samples = std::map<std::string, std::vector<double>>;

Samples runVariant(const Experiment &experiment, const std::string &variant, const ExperimentOptions &options)
{
    std::vector<Figures> runs(static_cast<std::size_t>(options.m_seeds));
    std::vector<std::thread> threads;
    threads.reserve(static_cast<std::size_t>(options.m_threads));
    for (int t = 0; t < options.m_threads; ++t) {
        threads.emplace_back([&, t]() {
            for (int seed = t; seed < options.m_seeds; seed += options.m_threads) {
                runs[static_cast<std::size_t>(seed)] = experiment.m_run(variant, options.m_firstSeed + static_cast<std::uint64_t>(seed));
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    Samples samples;
    for (const Figures &figures : runs) {
        for (const std::pair<const std::string, double> &figure : figures) {
            samples[figure.first].push_back(figure.second);
        }
    }
    return samples;
}

int runExperiment(const ExperimentOptions &options)
{
    const Result<Experiment> found = findPlugin<Experiment>(options.m_name);
    if (failed(found)) {
        std::cerr << describe(errorOf(found)) << "\n";
        return 2;
    }
    const Experiment &experiment = valueOf(found);
    std::cout << "experiment " << experiment.m_name << ": " << experiment.m_help << "\n"
              << options.m_seeds << " seeds from " << options.m_firstSeed << "; median (minimum to maximum)\n";
    json::array report;
    for (const std::string &variant : experiment.m_variants()) {
        const Samples samples = runVariant(experiment, variant, options);
        std::cout << variant << "\n";
        json::object figures;
        for (const std::pair<const std::string, std::vector<double>> &sample : samples) {
            const double median = computeQuantile(sample.second, 0.5);
            const double low = *std::min_element(sample.second.begin(), sample.second.end());
            const double high = *std::max_element(sample.second.begin(), sample.second.end());
            std::cout << "  " << sample.first << " " << median << " (" << low << " to " << high << ")\n";
            figures[sample.first] = json::object{{"median", median}, {"min", low}, {"max", high}};
        }
        report.push_back(json::object{{"variant", variant}, {"figures", std::move(figures)}});
    }
    if (!options.m_report.empty()) {
        const json::object reportObject{{"experiment", experiment.m_name}, {"seeds", options.m_seeds}, {"variants", std::move(report)}};
        std::ofstream(options.m_report) << json::serialize(reportObject) << "\n";
    }
    return 0;
}

struct CheckOptions
{
    std::vector<std::string> m_files;
    std::int64_t m_graceMs = 2'000;
    std::int64_t m_detectMs = 2'000;
    std::int64_t m_withinMs = 5'000;
    std::uint64_t m_coldLimit = 1;
};

int checkHistories(const CheckOptions &options)
{
    std::string text;
    for (const std::string &path : options.m_files) {
        std::ifstream file(path);
        if (!file) {
            std::cerr << path << ": the file cannot be read\n";
            return 2;
        }
        std::ostringstream content;
        content << file.rdbuf();
        text += content.str();
    }
    const Result<HistoryEvents> events = decodeHistory(text);
    if (failed(events)) {
        std::cerr << describe(errorOf(events)) << "\n";
        return 2;
    }
    const HistoryEvents &history = valueOf(events);
    const std::vector<std::pair<const char *, Violations>> checks{
        {"no tokens from a group that lost a member", checkNoTokensAfterMemberLoss(history, options.m_detectMs)},
        {"no VM in two groups", checkOneGroupPerVm(history)},
        {"cold upstreams within their limit", checkColdLimit(history, options.m_coldLimit)},
        {"no new requests for a closed zone or VM", checkNoDispatchWhileClosed(history, options.m_graceMs)},
        {"complete responses have the expected text", checkCompleteResponses(history, expectedText)},
        {"requests reported as not run did not run", checkNotRun(history)},
        {"each idempotency key ran at most once", checkAtMostOnce(history)},
        {"no request was broken by a planned stop", checkPlannedStop(history)},
        {"configuration never reverts", checkConfiguration(history, options.m_withinMs)},
    };
    std::cout << history.size() << " events\n";
    std::size_t violations = 0;
    for (const std::pair<const char *, Violations> &check : checks) {
        std::cout << (check.second.empty() ? "held      " : "VIOLATED  ") << check.first << "\n";
        for (const std::string &violation : check.second) {
            std::cout << "    " << violation << "\n";
        }
        violations += check.second.size();
    }
    return violations == 0 ? 0 : 1;
}

void addExperiment(CLI::App &app, ExperimentOptions &options, std::function<int()> &run)
{
    std::string names;
    for (const Experiment &experiment : registeredPlugins<Experiment>()) {
        names += std::string("\n  ") + experiment.m_name + ": " + experiment.m_help;
    }
    CLI::App *command = app.add_subcommand("experiment", "compare policies in virtual time");
    command->footer("Experiments:" + names);
    command->add_option("name", options.m_name, "experiment")->required();
    command->add_option("--seeds", options.m_seeds, "number of seeds")->check(CLI::Range(1, 1'000));
    command->add_option("--first-seed", options.m_firstSeed, "first seed");
    command->add_option("--report", options.m_report, "JSON report for the plots");
    command->add_option("--threads", options.m_threads, "number of parallel runs")->check(CLI::Range(1, 64));
    command->callback([&]() {
        run = [&options]() {
            return runExperiment(options);
        };
    });
}

void addCheck(CLI::App &app, CheckOptions &options, std::function<int()> &run)
{
    CLI::App *command = app.add_subcommand("check-history", "check recorded histories for violations of the system's guarantees");
    command->add_option("files", options.m_files, "history files")->required();
    command->add_option("--grace-ms", options.m_graceMs, "time after closing in which a zone or VM may still receive new requests");
    command->add_option("--detect-ms", options.m_detectMs, "time after a member's death in which its group may still produce tokens");
    command->add_option("--within-ms", options.m_withinMs, "longest time until a configuration is in force");
    command->add_option("--cold-limit", options.m_coldLimit, "concurrent requests allowed on a cold upstream");
    command->callback([&]() {
        run = [&options]() {
            return checkHistories(options);
        };
    });
}

void addLoadOptions(CLI::App &command, HttpLoadOptions &options)
{
    command.add_option("--target", options.m_targets, "ip:port of a gateway; may be repeated")->required();
    command.add_option("--key-file", options.m_keyFile, "file with the workspace's key")->required();
    command.add_option("--rate", options.m_rate, "requests a second, open loop")->check(CLI::Range(0.1, 20'000.0));
    command.add_option("--seconds", options.m_seconds, "duration")->check(CLI::Range(1, 3'600));
    command.add_option("--seed", options.m_seed, "seed of arrivals and prompts");
    command.add_option("--deadline-ms", options.m_deadlineMs, "deadline of each request");
    command.add_option("--history", options.m_history, "file for the recorded history");
    command.add_option("--report", options.m_report, "file for the JSON report");
}

void addLoad(CLI::App &app, HttpLoadOptions &options, std::function<int()> &run)
{
    CLI::App *completions = app.add_subcommand("completions", "send completions over HTTP and check each response");
    addLoadOptions(*completions, options);
    completions->add_option("--model", options.m_model, "model")->required();
    completions->add_option("--max-tokens", options.m_maxTokens, "tokens of each response");
    completions->add_flag("--allow-cut", options.m_allowCut, "gateways are killed during the run, so connections may be cut");
    completions->callback([&]() {
        run = [&options]() {
            return loadCompletions(options);
        };
    });
    CLI::App *paid = app.add_subcommand("paid", "send calls that must run at most once, each several times at random");
    addLoadOptions(*paid, options);
    paid->add_option("--service", options.m_service, "service")->required();
    paid->add_option("--resends", options.m_sendsPerCall, "number of times each call is sent, to random gateways");
    paid->callback([&]() {
        run = [&options]() {
            return loadPaid(options);
        };
    });
}
}
}

int main(int argc, char **argv)
{
    using namespace knapweedslip;
    CLI::App app("Load, experiments and checks", "knapweedslip-load");
    app.require_subcommand(1);
    app.footer("Examples:\n"
               "  knapweedslip-load experiment zone-move --seeds 10 --report zone.report.json\n"
               "  knapweedslip-load completions --target 127.0.1.1:7000 --key-file w.key --model m --rate 50 --seconds 10");
    std::function<int()> run;
    ExperimentOptions experiment;
    CheckOptions check;
    HttpLoadOptions load;
    addExperiment(app, experiment, run);
    addCheck(app, check, run);
    addLoad(app, load, run);
    CLI11_PARSE(app, argc, argv);
    return run();
}
