#pragma once

#include "net/httpclient.h"

#include <string>

namespace knapweedslip
{
/** Makes one HTTP call and blocks the thread until it ends. For programs that do nothing else meanwhile. */
Result<HttpReply> syncCall(const std::string &address, const HttpRequest &request, std::int64_t timeoutMs);
}
