// Problem: a deployment has some fifty engine VMs, and a laptop should carry them.
// Approach: one process serves several VMs, each on a port of its own; tests that kill processes start one VM each.

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
    CLI::App app("Stand-in of model engine VMs with faults on request");
    std::string ip = "127.0.0.1";
    std::string prefix = "vm-";
    int port = 0;
    int count = 1;
    bool ignoreFence = false;
    knapweedslip::standin::EngineOptions options;
    app.add_option("--ip", ip, "address to listen on");
    app.add_option("--port", port, "port of the first VM")->required();
    app.add_option("--count", count, "number of VMs");
    app.add_option("--vm-prefix", prefix, "VM names are this and a number from 1");
    app.add_option("--token-ms", options.m_tokenMs, "time between tokens");
    app.add_option("--first-token-ms", options.m_firstTokenMs, "time to the first token");
    app.add_option("--load-ms", options.m_loadMs, "time to load weights");
    app.add_option("--cold-ms", options.m_coldMs, "how long an engine is cold after joining");
    app.add_option("--restart-ms", options.m_restartMs, "how long a crashed engine is away");
    app.add_option("--cold-requests", options.m_coldRequests, "requests that a cold engine bears");
    app.add_flag("--ignore-fence", ignoreFence, "take orders with an old fencing number");
    CLI11_PARSE(app, argc, argv);
    options.m_checkFence = !ignoreFence;
    return knapweedslip::standin::run(ip, port, prefix, count, options);
}
