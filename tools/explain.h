#pragma once

#include <boost/json.hpp>

#include <istream>
#include <string>
#include <vector>

namespace knapweedslip
{
/** What the logs of all daemons tell of one request. */
struct RequestStory
{
    /** Its own lines, and those about its groups, its daemons' store and the groups' keeper shortly before, by time. */
    std::vector<boost::json::object> m_lines;
    /** Why it ended as it did, in words, the cause last. */
    std::vector<std::string> m_findings;
    /** Lines that could not be read. */
    std::size_t m_unreadable = 0;
};

/**
 * Reads @p logs (JSON lines of any daemons, in any order) and explains request @p id. Lines that are no JSON objects are counted and passed over.
 * Costs one pass over the logs and memory for the lines that may matter.
 */
RequestStory explainRequest(const std::vector<std::istream *> &logs, const std::string &id);

/** The story as text, a line each: time, process, event, fields; then the findings. */
std::string formatStory(const RequestStory &story, const std::string &id);
}
