// Problem: all asynchronous code needs one clock, one way to parse addresses and one way to wait.
// Approach: a few functions over Asio that return errors as values instead of throwing.
// If each caller used Asio directly, clocks would be mixed and exceptions would cross interfaces.

#include "net/asio.h"

#include <array>
#include <charconv>
#include <ctime>
#include <random>

namespace knapweedslip
{
std::int64_t steadyMs()
{
    // std::chrono::steady_clock stops while the VM is suspended, but leases keep running out. CLOCK_BOOTTIME counts that time as well.
    constexpr std::int64_t MsPerSecond = 1'000;
    constexpr std::int64_t NsPerMs = 1'000'000;
    std::timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time.tv_sec * MsPerSecond + time.tv_nsec / NsPerMs;
}

std::int64_t unixSeconds()
{
    return std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

Result<Tcp::endpoint> parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        return Error{ErrorCode::InvalidArgument, "'" + address + "' is not ip:port"};
    }
    boost::system::error_code error;
    const asio::ip::address ip = asio::ip::make_address(address.substr(0, colon), error);
    std::uint16_t port = 0;
    const char *end = address.data() + address.size();
    const std::from_chars_result parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc() || parsed.ptr != end) {
        return Error{ErrorCode::InvalidArgument, "'" + address + "' is not ip:port"};
    }
    return Tcp::endpoint(ip, port);
}

awaitable<bool> sleepFor(std::int64_t ms)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, std::chrono::milliseconds(ms));
    const auto [error] = co_await timer.async_wait(UseTuple);
    co_return !error;
}

std::uint64_t randomId()
{
    thread_local std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string toHex(std::uint64_t value)
{
    std::array<char, 16> digits{};
    const std::to_chars_result end = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
    return std::string(digits.data(), end.ptr);
}

std::string joinHex(const std::vector<std::uint64_t> &values)
{
    std::string text;
    for (const std::uint64_t value : values) {
        text += (text.empty() ? "" : ",") + toHex(value);
    }
    return text;
}
}
