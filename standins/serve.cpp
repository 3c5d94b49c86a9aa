// Problem: all stand-ins need the same code to listen and to stop on a signal.
// Approach: two shared functions.

#include "standins/serve.h"

#include <csignal>
#include <iostream>

namespace knapweedslip::standin
{
bool listenOn(IoThreads &threads, const std::string &address, HttpHandler handler, std::vector<std::shared_ptr<HttpServer>> &servers)
{
    Result<std::shared_ptr<HttpServer>> server = HttpServer::create({&threads.control()}, address, std::move(handler));
    if (failed(server)) {
        std::cerr << describe(errorOf(server)) << "\n";
        return false;
    }
    servers.push_back(valueOf(server));
    return true;
}

void runUntilSignal(IoThreads &threads)
{
    asio::signal_set signals(threads.control(), SIGTERM, SIGINT);
    signals.async_wait([&threads](const boost::system::error_code &, int) {
        threads.stop();
    });
    threads.run();
}
}
