// Problem: logs must be searchable by event and field, from several threads, without secrets.
// Approach: easylogging++ carries the lines; each has a numbered event and key=value fields.
// Free text cannot be filtered, and writing to the stream directly mixes the lines of threads.

#include "net/logging.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace knapweedslip
{
namespace
{
std::string quoted(const std::string &value)
{
    const bool plain = !value.empty() && value.find_first_of(" \"\n=") == std::string::npos;
    if (plain) {
        return value;
    }
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c == '\n' ? ' ' : c;
    }
    return text + "\"";
}

std::string &processName()
{
    static std::string name;
    return name;
}
}

void startLogging(const std::string &process)
{
    processName() = process;
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configurations);
}

void logEvent(LogEvent event, std::initializer_list<LogField> fields)
{
    const LogEventRow &row = logEventRow(event);
    std::string line = "process=" + processName() + " event=" + std::to_string(row.m_number) + " name=" + std::string(row.m_name);
    for (const LogField &field : fields) {
        line += " " + std::string(field.first) + "=" + quoted(field.second);
    }
    switch (row.m_level) {
    case LogLevel::Info:
        LOG(INFO) << "level=info " << line;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << "level=warning " << line;
        break;
    case LogLevel::Error:
        LOG(ERROR) << "level=error " << line;
        break;
    }
}
}
