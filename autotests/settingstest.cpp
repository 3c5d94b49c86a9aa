#include "net/settings.h"
#include "kernel/plan.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace knapweedslip;

namespace
{
std::string readText(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string describeFindings(const std::filesystem::path &path)
{
    const std::string name = path.filename().string();
    std::variant<GatewaySettings, Findings> gateway = Findings{};
    if (name.rfind("gateway", 0) == 0) {
        gateway = readGatewaySettings(path.string());
        return std::holds_alternative<Findings>(gateway) ? describe(std::get<Findings>(gateway)) : std::string();
    }
    if (name.rfind("controller", 0) == 0) {
        const std::variant<ControllerSettings, Findings> settings = readControllerSettings(path.string());
        return std::holds_alternative<Findings>(settings) ? describe(std::get<Findings>(settings)) : std::string();
    }
    if (name.rfind("admin", 0) == 0) {
        const std::variant<AdminSettings, Findings> settings = readAdminSettings(path.string());
        return std::holds_alternative<Findings>(settings) ? describe(std::get<Findings>(settings)) : std::string();
    }
    const std::variant<Plan, Findings> plan = parsePlan(readText(path), path.string());
    return std::holds_alternative<Findings>(plan) ? describe(std::get<Findings>(plan)) : std::string();
}
}

TEST_CASE("both example deployments have no findings", "[settings]")
{
    int files = 0;
    for (const char *deployment : {"tsakalos", "doucko"}) {
        for (const std::filesystem::directory_entry &entry :
             std::filesystem::directory_iterator(std::string(KNAPWEEDSLIP_SOURCE_DIR) + "/examples/" + deployment)) {
            if (entry.path().extension() == ".yaml") {
                INFO(entry.path().string());
                CHECK(describeFindings(entry.path()).empty());
                ++files;
            }
        }
    }
    CHECK(files == 2 * 25);
}

TEST_CASE("every invalid setting is a finding with its line and column", "[settings]")
{
    const std::filesystem::path folder = std::filesystem::temp_directory_path() / ("knapweedslip-settings-" + std::to_string(::getpid()));
    std::filesystem::create_directories(folder);
    std::ofstream(folder / "short.key") << "short\n";
    std::ofstream(folder / "gateway.yaml") << "name: g\n"
                                              "listen: localhost:80\n"
                                              "status_listen: 127.0.0.1:99999\n"
                                              "peer_listen: 127.0.0.1:1\n"
                                              "store_address: 127.0.0.1:2\n"
                                              "peer_secret_file: short.key\n"
                                              "operator_key_file: none.key\n"
                                              "worker_threads: 0\n"
                                              "default_deadline_ms: soon\n"
                                              "admission_policy: best\n"
                                              "colour: red\n"
                                              "peers:\n"
                                              "  - {name: x, address: 127.0.0.1:3, role: king, availability_zone: z}\n";
    const std::string findings = describeFindings(folder / "gateway.yaml");
    for (const char *expected : {":1:1: key 'availability_zone' is missing",
                                 ":2:9: 'listen' must be ip:port",
                                 ":3:16: 'status_listen' must be ip:port",
                                 ":6:19: the key in",
                                 ":7:20: cannot read a key",
                                 ":8:17: 'worker_threads' must be from 1 to 64",
                                 ":9:22: 'default_deadline_ms' must be a whole number",
                                 ":10:19: 'admission_policy': 'best' is not one of:",
                                 ":11:1: unknown key 'colour'",
                                 ":13:43: 'role' must be gateway, controller or admin"}) {
        CHECK_THAT(findings, Catch::Contains(expected));
    }
    std::filesystem::remove_all(folder);
    CHECK_THAT(describeFindings("/nowhere/gateway.yaml"), Catch::Contains("the file cannot be read"));
}
