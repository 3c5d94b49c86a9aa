#pragma once

#include "kernel/logevents.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace knapweedslip
{
using LogValue = std::variant<std::string, std::int64_t, double, bool>;
/** One field of a log line. */
using LogField = std::pair<std::string_view, LogValue>;

/** Starts the log to standard output. Each line names the daemon as @p process. Must be called once, before any thread starts. */
void startLogging(const std::string &process);
/**
 * Flushes the buffered lines, which takes a fraction of a second at most, and stops the log. Returns @p status. If nobody reads standard
 * output, ends the process with @p status at once instead. Must be called last.
 */
int stopLogging(int status);

/**
 * Logs one line, a JSON object: time, level, event number and name, process, then the fields. Never waits for output: lines go into a bounded
 * buffer that a separate thread writes out. When the buffer fills up, informational lines are dropped first, then all lines; the next line
 * that is logged gives the number of dropped ones. Keys and secrets must not be passed.
 */
void logEvent(LogEvent event, std::initializer_list<LogField> fields = {});

/** Returns the number of lines dropped since the start. */
std::uint64_t droppedLogLines();
}
