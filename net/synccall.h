#pragma once

#include "net/httpclient.h"

#include <string>

namespace knapweedslip
{
/** One HTTP exchange for programs that do nothing else meanwhile. */
Result<HttpReply> syncCall(const std::string &address, const HttpRequest &request, std::int64_t timeoutMs);
}
