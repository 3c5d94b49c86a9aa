#pragma once

#include <cstdint>
#include <deque>
#include <string>

namespace knapweedslip::standin
{
/** Events of a stand-in, oldest first, as JSON lines with the time in ms of the machine's steady clock, which all processes share. */
struct History
{
    static constexpr std::size_t MaxEvents = 200'000;
    std::deque<std::string> m_lines;
};

/** Appends {"at_ms":…, "kind":kind, …fields}; @p fields is the inside of a JSON object, or empty. */
void record(History &history, const std::string &kind, const std::string &fields);
std::string dumpHistory(const History &history);
}
