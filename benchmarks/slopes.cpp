// Problem: anyone must be able to reproduce the figures of the capacity page.
// Approach: 'measure' measures the slopes that need only one process and takes the others, which benchmarks/processes.sh prints, from the command
// line. 'table' prints the capacity table from the slopes listed in a page.

#include "benchmarks/slopemeasures.h"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace knapweedslip
{
namespace
{
int measure(const std::vector<std::string> &given)
{
    Slopes slopes;
    for (const std::string &pair : given) {
        const std::size_t equals = pair.find('=');
        slopes[pair.substr(0, equals)] = std::strtod(pair.c_str() + equals + 1, nullptr);
    }
    measureSlopes(slopes);
    std::cout << "\n" << formatSlopes(slopes);
    const Result<std::vector<CapacityLine>> lines = capacityLines(slopes);
    if (failed(lines)) {
        std::cerr << describe(errorOf(lines)) << "; benchmarks/processes.sh measures the slopes that need several processes\n";
        return 1;
    }
    std::cout << "\n" << formatCapacity(valueOf(lines));
    return 0;
}

int table(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    const Result<Slopes> slopes = parseSlopes(text.str());
    if (failed(slopes)) {
        std::cerr << describe(errorOf(slopes)) << "\n";
        return 1;
    }
    std::cout << formatCapacity(valueOf(capacityLines(valueOf(slopes))));
    return 0;
}
}
}

int main(int argc, char **argv)
{
    using namespace knapweedslip;
    CLI::App app("Slopes of the capacity page", "knapweedslip-slopes");
    app.require_subcommand(1);
    std::vector<std::string> given;
    std::string page;
    CLI::App *measureCommand = app.add_subcommand("measure", "measure the slopes and print the page's tables");
    measureCommand->add_option("--given", given, "slope=value measured elsewhere");
    CLI::App *tableCommand = app.add_subcommand("table", "print the capacity table from the slopes in a page");
    tableCommand->add_option("page", page, "docs/CAPACITY.md")->required();
    CLI11_PARSE(app, argc, argv);
    return measureCommand->parsed() ? measure(given) : table(page);
}
