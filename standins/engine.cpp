// Problem: a test deployment has about fifty engine VMs and must run on one laptop.
// Approach: one process serves several VMs, each on its own port. Tests that kill engine processes start one VM per process.

#include "standins/enginevm.h"
#include "standins/serve.h"

#include <CLI/CLI.hpp>

namespace knapweedslip::standin
{
int run(const std::string &ip, int port, const std::string &prefix, int count, const EngineOptions &options)
{
    IoThreads threads(0);
    History history;
    std::vector<std::unique_ptr<EngineVm>> vms;
    std::vector<std::shared_ptr<HttpServer>> servers;
    for (int i = 0; i < count; ++i) {
        vms.push_back(std::make_unique<EngineVm>(prefix + std::to_string(i + 1), options, history));
        EngineVm *vm = vms.back().get();
        const std::string address = ip + ":" + std::to_string(port + i);
        const bool listens = listenOn(
            threads,
            address,
            [vm](HttpExchange &exchange) {
                return vm->serve(exchange);
            },
            servers);
        if (!listens) {
            return 2;
        }
    }
    runUntilSignal(threads);
    return 0;
}
}

int main(int argc, char **argv)
{
    CLI::App app("Stand-in for model engine VMs, with fault injection");
    std::string ip = "127.0.0.1";
    std::string prefix = "vm-";
    int port = 0;
    int count = 1;
    bool ignoreFencingToken = false;
    knapweedslip::standin::EngineOptions options;
    app.add_option("--ip", ip, "address to listen on");
    app.add_option("--port", port, "port of the first VM")->required();
    app.add_option("--count", count, "number of VMs");
    app.add_option("--vm-prefix", prefix, "prefix of the VM names; a number from 1 follows");
    app.add_option("--token-ms", options.m_tokenMs, "time between tokens");
    app.add_option("--first-token-ms", options.m_firstTokenMs, "time to the first token");
    app.add_option("--load-ms", options.m_loadMs, "time to load weights");
    app.add_option("--cold-ms", options.m_coldMs, "time for which an engine is cold after joining a group");
    app.add_option("--restart-ms", options.m_restartMs, "time until a crashed engine is back");
    app.add_option("--cold-requests", options.m_coldRequests, "concurrent requests that a cold engine can handle");
    app.add_flag("--ignore-fence", ignoreFencingToken, "accept orders with an old fencing token");
    CLI11_PARSE(app, argc, argv);
    options.m_checkFencingToken = !ignoreFencingToken;
    return knapweedslip::standin::run(ip, port, prefix, count, options);
}
