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

/** Starts the log to standard output; @p process names the daemon in every line. Called once, before any thread starts. */
void startLogging(const std::string &process);
/**
 * Writes what is held, as far as that takes no longer than a fraction of a second, and ends the log. Returns @p status, or ends the process with
 * it at once when nobody reads its output. Called last.
 */
int stopLogging(int status);

/**
 * Adds one line, a JSON object: time, level, event number and name, process, then the fields. Never waits: lines are held in a buffer of
 * bounded size and written by a thread of their own. When the buffer fills up, informational lines are dropped first, then all; the next
 * line that is written tells how many. Keys and secrets must not be passed.
 */
void logEvent(LogEvent event, std::initializer_list<LogField> fields = {});

/** Lines dropped since the start. */
std::uint64_t droppedLogLines();
}
