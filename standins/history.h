#pragma once

#include <cstdint>
#include <deque>
#include <string>

namespace knapweedslip::standin
{
/** Events of a stand-in as JSON lines, oldest first. Times are in ms of the steady clock, which all processes of a machine share. */
struct History
{
    static constexpr std::size_t MaxEvents = 200'000;
    std::deque<std::string> m_lines;
};

/** Appends an event of kind @p kind with the current time. @p fields holds more JSON fields without braces, or is empty. */
void record(History &history, const std::string &kind, const std::string &fields);
/** Returns all events, one JSON object per line. */
std::string dumpHistory(const History &history);
}
