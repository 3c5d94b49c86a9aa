#pragma once

#include "kernel/logevents.h"

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace knapweedslip
{
/** One field of a log line. */
using LogField = std::pair<std::string_view, std::string>;

/** Sets up logging to standard error; @p process names the daemon in every line. Called once, before any thread starts. */
void startLogging(const std::string &process);

/**
 * Writes one line: time, level, event number and name, then the fields as key=value. Values with spaces are quoted.
 * Keys and secrets must not be passed.
 */
void logEvent(LogEvent event, std::initializer_list<LogField> fields = {});
}
