#pragma once

#include <boost/json.hpp>

#include <istream>
#include <string>
#include <vector>

namespace knapweedslip
{
/** What the logs of all daemons show about one request. */
struct RequestExplanation
{
    /** The request's log lines and the related lines shortly before them (its groups, its daemons' store and leadership), sorted by time. */
    std::vector<boost::json::object> m_lines;
    /** One sentence for each step of the request, the cause of its end last. */
    std::vector<std::string> m_findings;
    /** Number of lines that are not JSON objects. */
    std::size_t m_unreadableLines = 0;
};

/**
 * Reads @p logs (JSON lines of any daemons, in any order) and explains request @p id. Lines that are not JSON objects are counted and skipped.
 * Reads each log once and keeps only the request's lines and lines that may be related to it.
 */
RequestExplanation explainRequest(const std::vector<std::istream *> &logs, const std::string &id);

/** Why the daemons did or did not use an upstream. */
struct UpstreamExplanation
{
    /** The lines that name the upstream, and those about its availability zone, sorted by time. */
    std::vector<boost::json::object> m_lines;
    /** One sentence for each change of what a daemon believes about the upstream; the last one tells what held in the end. */
    std::vector<std::string> m_findings;
};

/** Explains from @p logs why the daemons did or did not use the upstream @p id. Reads each log once and keeps only lines that may be about it. */
UpstreamExplanation explainUpstream(const std::vector<std::istream *> &logs, const std::string &id);

/** Returns @p explanation as text, like the other one. */
std::string formatExplanation(const UpstreamExplanation &explanation, const std::string &id);

/** Returns @p explanation as text: one line per log line with time, process, event and fields, then the numbered findings. */
std::string formatExplanation(const RequestExplanation &explanation, const std::string &id);
}
