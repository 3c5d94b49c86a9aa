// Problem: command-line tools make one call and wait for it.
// Approach: run a context of their own until the answer is there.

#include "net/synccall.h"

namespace knapweedslip
{
Result<HttpReply> syncCall(const std::string &address, const HttpRequest &request, std::int64_t timeoutMs)
{
    asio::io_context context(1);
    ConnectionPool pool;
    Result<HttpReply> result = Error{ErrorCode::Io, "not called"};
    asio::co_spawn(
        context,
        [&]() -> awaitable<void> {
            result = co_await httpCall(pool, address, request, timeoutMs);
        },
        asio::detached);
    context.run();
    return result;
}
}
