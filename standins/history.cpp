// Problem: checkers must see which requests really ran, not what the daemons assume.
// Approach: each stand-in records its events in a bounded list of JSON lines, which is read over HTTP.

#include "standins/history.h"

#include "net/asio.h"

namespace knapweedslip::standin
{
void record(History &history, const std::string &kind, const std::string &fields)
{
    std::string line = "{\"at_ms\":" + std::to_string(steadyMs()) + ",\"kind\":\"" + kind + "\"";
    line += fields.empty() ? "}" : "," + fields + "}";
    history.m_lines.push_back(std::move(line));
    if (history.m_lines.size() > History::MaxEvents) {
        history.m_lines.pop_front();
    }
}

std::string dumpHistory(const History &history)
{
    std::string text;
    for (const std::string &line : history.m_lines) {
        text += line;
        text += '\n';
    }
    return text;
}
}
