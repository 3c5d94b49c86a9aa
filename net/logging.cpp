// Problem: every decision must be searchable by its request, and a slow or stopped reader of the log must not delay requests.
// Approach: one JSON object per line, and a bounded buffer that a separate thread writes out through easylogging++. Lines that do not fit are
// dropped and counted.
// Writing from a thread that serves requests would block it as soon as the pipe is full.

#include "net/logging.h"

#include <boost/json.hpp>
#include <easylogging++.h>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <mutex>
#include <thread>
#include <vector>

INITIALIZE_EASYLOGGINGPP

namespace knapweedslip
{
namespace json = boost::json;

namespace
{
/** Capacity of the buffer in lines: what the busiest gateway logs in one second. */
constexpr std::size_t MaxBufferedLines = 4'096;
/** With this many lines in the buffer informational lines are dropped, which leaves space for warnings and errors. */
constexpr std::size_t MaxBufferedLinesForInfo = MaxBufferedLines * 3 / 4;
/** Time between two writes, so that one system call writes many lines. */
constexpr std::chrono::milliseconds BatchInterval(50);
/** Longest time that stopLogging() waits for the writer thread. */
constexpr std::chrono::milliseconds FlushTimeout(200);

struct LogBuffer
{
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<std::string> m_lines;
    std::uint64_t m_droppedSinceLine = 0;
    bool m_stopping = false;
    bool m_stopped = false;
    std::string m_process;
    std::atomic<std::uint64_t> m_dropped{0};
    bool m_started = false;
};

/** Returns the buffer. It is never destroyed: the writer thread may still use it when the process ends while blocked on its output. */
LogBuffer &buffer()
{
    static LogBuffer *logBuffer = new LogBuffer;
    return *logBuffer;
}

constexpr std::array<std::string_view, 3> LevelNames{"info", "warning", "error"};

std::string formatUtcTime()
{
    const std::chrono::system_clock::time_point now = std::chrono::system_clock::now();
    const std::int64_t ms = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    const std::time_t seconds = static_cast<std::time_t>(ms / 1'000);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 40> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(text.data() + length, text.size() - length, ".%03dZ", static_cast<int>(ms % 1'000));
    return text.data();
}

json::value toJson(const LogValue &value)
{
    return std::visit(
        [](const auto &alternative) -> json::value {
            return json::value(alternative);
        },
        value);
}

std::string formatLine(const LogEventRow &row, std::initializer_list<LogField> fields, std::uint64_t dropped)
{
    json::object line;
    line["time"] = formatUtcTime();
    line["level"] = LevelNames.at(static_cast<std::size_t>(row.m_level));
    line["event"] = row.m_number;
    line["name"] = row.m_name;
    line["process"] = buffer().m_process;
    for (const LogField &field : fields) {
        line[json::string_view(field.first.data(), field.first.size())] = toJson(field.second);
    }
    if (dropped > 0) {
        line["dropped_before"] = dropped;
    }
    return json::serialize(line);
}

void writeLoop()
{
    LogBuffer &logBuffer = buffer();
    std::vector<std::string> lines;
    while (true) {
        bool stopping = false;
        {
            std::unique_lock<std::mutex> lock(logBuffer.m_mutex);
            logBuffer.m_changed.wait(lock, [&logBuffer]() {
                return logBuffer.m_stopping || !logBuffer.m_lines.empty();
            });
            lines.swap(logBuffer.m_lines);
            stopping = logBuffer.m_stopping;
        }
        std::string text;
        for (const std::string &line : lines) {
            text += text.empty() ? line : "\n" + line;
        }
        lines.clear();
        if (!text.empty()) {
            LOG(INFO) << text;
        }
        if (stopping) {
            const std::lock_guard<std::mutex> lock(logBuffer.m_mutex);
            if (logBuffer.m_lines.empty()) {
                logBuffer.m_stopped = true;
                logBuffer.m_changed.notify_all();
                return;
            }
            continue;
        }
        std::this_thread::sleep_for(BatchInterval);
    }
}
}

void startLogging(const std::string &process)
{
    LogBuffer &logBuffer = buffer();
    logBuffer.m_process = process;
    el::Configurations configurations;
    configurations.setToDefault();
    configurations.setGlobally(el::ConfigurationType::Format, "%msg");
    configurations.setGlobally(el::ConfigurationType::ToFile, "false");
    configurations.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configurations);
    logBuffer.m_started = true;
    std::thread(writeLoop).detach();
}

int stopLogging(int status)
{
    LogBuffer &logBuffer = buffer();
    std::unique_lock<std::mutex> lock(logBuffer.m_mutex);
    if (!logBuffer.m_started) {
        return status;
    }
    logBuffer.m_stopping = true;
    logBuffer.m_changed.notify_all();
    const bool written = logBuffer.m_changed.wait_for(lock, FlushTimeout, [&logBuffer]() {
        return logBuffer.m_stopped;
    });
    if (!written) {
        // The writer thread is blocked on a full pipe and holds the lock of the stream, so std::exit() would block when it flushes the stream.
        std::_Exit(status);
    }
    return status;
}

void logEvent(LogEvent event, std::initializer_list<LogField> fields)
{
    const LogEventRow &row = logEventRow(event);
    LogBuffer &logBuffer = buffer();
    const std::lock_guard<std::mutex> lock(logBuffer.m_mutex);
    const std::size_t limit = row.m_level == LogLevel::Info ? MaxBufferedLinesForInfo : MaxBufferedLines;
    if (logBuffer.m_lines.size() >= limit) {
        ++logBuffer.m_droppedSinceLine;
        ++logBuffer.m_dropped;
        return;
    }
    logBuffer.m_lines.push_back(formatLine(row, fields, logBuffer.m_droppedSinceLine));
    logBuffer.m_droppedSinceLine = 0;
    if (logBuffer.m_lines.size() == 1) {
        logBuffer.m_changed.notify_one();
    }
}

std::uint64_t droppedLogLines()
{
    return buffer().m_dropped;
}
}
