// Problem: command-line tools make one HTTP call and have nothing to do until it ends, but the client is asynchronous.
// Approach: run a private io_context until the call has ended.

#include "net/synccall.h"

namespace knapweedslip
{
Result<HttpReply> syncCall(const std::string &address, const HttpRequest &request, std::int64_t timeoutMs)
{
    asio::io_context context(1);
    ConnectionPool pool;
    Result<HttpReply> result = Error{ErrorCode::Io, "the call did not end"};
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
