#pragma once

#include "kernel/errors.h"

#include <boost/asio.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace knapweedslip
{
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using asio::awaitable;

/** Completion token of every asynchronous call here: the error code comes as a value, no exception is thrown. */
inline constexpr auto UseTuple = asio::as_tuple(asio::use_awaitable);

/** Milliseconds of a clock that only goes forward, also while the VM is suspended. */
std::int64_t steadyMs();
/** Seconds since 1970. */
std::int64_t unixSeconds();

/** "ip:port" to an endpoint; names are not resolved. */
Result<Tcp::endpoint> parseEndpoint(const std::string &address);

/** Waits; returns false when cancelled. */
awaitable<bool> sleepFor(std::int64_t ms);

/** A random 64-bit number from the operating system's generator, for identities. */
std::uint64_t randomId();
/** Lower-case hexadecimal. */
std::string toHex(std::uint64_t value);
}
