#pragma once

#include "net/httpserver.h"
#include "net/iothreads.h"

#include <string>
#include <vector>

namespace knapweedslip::standin
{
/** Starts an HTTP server on @p address and adds it to @p servers. On failure prints the error and returns false. */
bool listenOn(IoThreads &threads, const std::string &address, HttpHandler handler, std::vector<std::shared_ptr<HttpServer>> &servers);
/** Runs @p threads until SIGTERM or SIGINT. */
void runUntilSignal(IoThreads &threads);
}
