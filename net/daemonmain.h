#pragma once

#include "net/logging.h"
#include "net/node.h"

#include <CLI/CLI.hpp>

#include <iostream>
#include <string>
#include <variant>

namespace knapweedslip
{
/** Exit statuses of the daemons. */
inline constexpr int ExitBadSettings = 2;
inline constexpr int ExitCannotListen = 4;

/** Starts @p node and runs it until its planned stop; returns the exit status of the process. */
inline int runNode(Node &node)
{
    const Result<Done> started = node.start();
    if (failed(started)) {
        logEvent(LogEvent::ListenFailed, {{"error", describe(errorOf(started))}});
        return ExitCannotListen;
    }
    return node.run();
}

/**
 * Parses the command line that the daemons share (--settings FILE, --check-settings), reads the settings with @p read, and calls @p run.
 * Returns the exit status of the process.
 */
template<typename Settings>
int daemonMain(int argc,
               char **argv,
               const std::string &name,
               const std::string &purpose,
               std::variant<Settings, Findings> (*read)(const std::string &),
               int (*run)(const Settings &))
{
    CLI::App app(purpose, name);
    std::string path;
    bool checkOnly = false;
    app.add_option("--settings", path, "YAML file with the settings")->required();
    app.add_flag("--check-settings", checkOnly, "read the settings, print all findings and exit");
    app.footer("Example:\n  " + name + " --settings examples/tsakalos/" + name.substr(name.find('-') + 1)
               + "-1.yaml\nExit status: 0 stopped as planned, 2 bad settings, 3 drain limit reached, 4 cannot listen");
    CLI11_PARSE(app, argc, argv);
    const std::variant<Settings, Findings> settings = read(path);
    if (const Findings *findings = std::get_if<Findings>(&settings)) {
        std::cerr << describe(*findings);
        return ExitBadSettings;
    }
    if (checkOnly) {
        std::cout << path << ": no findings\n";
        return 0;
    }
    const Settings &validSettings = std::get<Settings>(settings);
    startLogging(validSettings.m_common.m_name);
    const int status = run(validSettings);
    return stopLogging(status);
}
}
