#pragma once

#include "net/httpserver.h"
#include "net/iothreads.h"

#include <string>
#include <vector>

namespace knapweedslip::standin
{
/** Listens on @p address for @p handler; prints the error and returns false when that fails. */
bool listenOn(IoThreads &threads, const std::string &address, HttpHandler handler, std::vector<std::shared_ptr<HttpServer>> &servers);
/** Runs until SIGTERM or SIGINT. */
void runUntilSignal(IoThreads &threads);
}
