#pragma once

#include "kernel/errors.h"

#include <boost/asio.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace knapweedslip
{
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using asio::awaitable;

/** Completion token for asynchronous calls. The call returns its error code as a value instead of throwing. */
inline constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

/** Returns the milliseconds of a monotonic clock that also counts the time for which the VM is suspended. */
std::int64_t steadyMs();
/** Returns the Unix time in seconds. */
std::int64_t unixSeconds();

/** Parses "ip:port". Host names are not resolved. Fails with InvalidArgument. */
Result<Tcp::endpoint> parseEndpoint(const std::string &address);

/** Waits for @p ms. Returns false when cancelled. */
awaitable<bool> sleepFor(std::int64_t ms);

/** Returns a random 64-bit number from the operating system's generator, for use as an identifier. */
std::uint64_t randomId();
/** Returns @p value in lower-case hexadecimal, without leading zeros. */
std::string toHex(std::uint64_t value);
/** Returns @p values in hexadecimal, separated by commas. */
std::string joinHex(const std::vector<std::uint64_t> &values);
}
