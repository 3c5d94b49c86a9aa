// Problem: an on-call engineer has a request's id and the logs of all daemons, and must find out why the request failed.
// Approach: select the lines that name the request and the lines logged shortly before about the groups and the store it depended on, sort them by
// time, and describe each step in a sentence. The last sentence names the cause.
// Searching the logs for the request's id misses the most important line, because the line about the cause does not contain that id.

#include "tools/explain.h"

#include "net/jsonfields.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <map>
#include <set>
#include <sstream>

namespace knapweedslip
{
namespace json = boost::json;

namespace
{
/** Maximum age in ms of a related line, relative to a step of the request. A broken group is replaced in less time. */
constexpr std::int64_t MaxContextAgeMs = 3'000;

/** Returns the explanations of the reasons in `request-refused` and `stream-broken`, by reason. */
const std::map<std::string, std::string> &reasonTexts()
{
    static const std::map<std::string, std::string> texts{
        {"no-upstream", "no upstream could take it at that moment"},
        {"overloaded", "every group would have sent the first event too late or was full"},
        {"stale-keys", "the daemon could not confirm that the key was still valid"},
        {"no-configuration", "the daemon had no current configuration yet"},
        {"attempts-spent", "the attempts of its route or the resend budget that all daemons share were used up"},
        {"outcome-unknown", "it was sent and may have run, so it was not sent again; only the upstream's own record tells"},
        {"time-over", "its deadline had passed"},
        {"no-time", "its deadline had passed on arrival"},
        {"draining", "the daemon was shutting down"},
        {"poison-request", "upstreams ended whenever they ran it or another request with the same part of the prompt"},
        {"turned-away", "every upstream that could serve it turns requests away and said for how long; the lines upstream-withheld name them"},
        {"unknown-route", "the configuration in force has no such route"},
        {"unknown-key", "the configuration in force does not contain its key"},
    };
    return texts;
}

/** Returns the time of a log line in ms since 1970, or -1 when it cannot be parsed. */
std::int64_t parseTimeMs(const json::object &line)
{
    std::istringstream text(stringField(line, "time"));
    std::tm parts{};
    char point = 0;
    std::int64_t ms = 0;
    text >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S") >> point >> ms;
    constexpr std::int64_t MsPerSecond = 1'000;
    return text.fail() ? -1 : static_cast<std::int64_t>(timegm(&parts)) * MsPerSecond + ms;
}

void sortByTime(std::vector<json::object> &lines)
{
    std::stable_sort(lines.begin(), lines.end(), [](const json::object &a, const json::object &b) {
        return parseTimeMs(a) < parseTimeMs(b);
    });
}

/** Returns whether lines of event @p name may explain a request that they do not name. */
bool isContext(const std::string &name)
{
    static const std::set<std::string> names{"replica-silent",
                                             "replica-changed",
                                             "engine-silent",
                                             "store-lost",
                                             "store-recovered",
                                             "process-stopping",
                                             "config-adopted",
                                             "leadership-lost",
                                             "news-source-failed"};
    return names.count(name) > 0;
}

/** Returns whether @p line, which does not name the request, concerns a group or daemon of @p requestLines shortly before one of them. */
bool isRelated(const json::object &line, const std::vector<json::object> &requestLines)
{
    const std::string name = stringField(line, "name");
    const std::string group = stringField(line, "group");
    const std::string process = stringField(line, "process");
    const std::int64_t atMs = parseTimeMs(line);
    return std::any_of(requestLines.begin(), requestLines.end(), [&](const json::object &step) {
        const std::int64_t stepMs = parseTimeMs(step);
        const bool isRecent = atMs >= 0 && stepMs >= 0 && atMs <= stepMs && stepMs - atMs <= MaxContextAgeMs;
        if (!isRecent) {
            return false;
        }
        // A line about a group counts whichever daemon logged it, any other line only if the daemon that handled the request logged it.
        return group.empty() ? stringField(step, "process") == process : group == stringField(step, "group");
    });
}

/** Returns whether @p line says that an upstream ended under the request of @p refused, or under another one with the part for which that was refused. */
bool endedUnder(const json::object &line, const json::object &refused)
{
    const std::string part = stringField(refused, "poison_part");
    const std::string parts = "," + stringField(line, "parts") + ",";
    return part.empty() ? stringField(line, "fingerprint") == stringField(refused, "fingerprint") : parts.find("," + part + ",") != std::string::npos;
}

/** Returns a sentence that names the upstreams behind @p refused, a request that was refused as poison. */
std::string describeEnds(const std::vector<json::object> &ends, const json::object &refused)
{
    std::set<std::string> upstreams;
    for (const json::object &line : ends) {
        if (endedUnder(line, refused)) {
            upstreams.insert(stringField(line, "upstream"));
        }
    }
    std::string names;
    for (const std::string &upstream : upstreams) {
        names += (names.empty() ? " " : ", ") + upstream;
    }
    return "upstreams that ended under it in these logs: " + std::to_string(upstreams.size()) + (names.empty() ? "" : ":") + names;
}

std::string describeReason(const std::string &reason)
{
    const auto text = reasonTexts().find(reason);
    return reason + (text == reasonTexts().end() ? std::string() : " (" + text->second + ")");
}

/** Returns a sentence about a log line, or an empty string for events that need none. */
std::string describeStep(const json::object &line)
{
    const std::string name = stringField(line, "name");
    std::ostringstream text;
    if (name == "call-sent") {
        const std::string group = stringField(line, "group");
        text << "send " << integerField(line, "send") << " to " << (group.empty() ? "upstream " + stringField(line, "upstream") : "group " + group) << " with "
             << integerField(line, "left_ms") << " ms left";
        if (integerField(line, "cold_left_ms") > 0) {
            text << ", cold for another " << integerField(line, "cold_left_ms") << " ms, with its limit divided by " << integerField(line, "daemons")
                 << " daemons";
        }
    } else if (name == "attempt-failed") {
        const std::string what = stringField(line, "what");
        const bool canceledByDaemon = what.find("Operation canceled") != std::string::npos;
        text << "that attempt failed: " << what
             << (canceledByDaemon ? " (canceled by this daemon: the client disconnected, the deadline passed, or the group stopped responding)" : "");
    } else if (name == "replica-silent") {
        text << "group " << stringField(line, "group") << " made no progress for " << integerField(line, "silent_ms") << " ms, as seen by "
             << stringField(line, "process");
    } else if (name == "replica-changed" && stringField(line, "phase") == "closing") {
        text << "group " << stringField(line, "group") << " was closed: " << stringField(line, "cause");
    } else if (name == "store-lost") {
        text << "the daemon had lost the store: " << stringField(line, "error");
    } else if (name == "stream-resumed") {
        text << "the stream resumed at group " << stringField(line, "group") << " after event " << integerField(line, "last_event", -1);
    } else if (name == "request-refused") {
        const std::string reason = stringField(line, "reason");
        const bool ran = reason == "outcome-unknown";
        text << "refused with " << integerField(line, "status") << ": " << describeReason(reason)
             << (ran ? "" : "; it has not run; retry after " + std::to_string(integerField(line, "retry_after_ms")) + " ms");
        const std::string part = stringField(line, "poison_part");
        text << (part.empty() ? "" : "; the part of the prompt is " + part);
    } else if (name == "stream-broken") {
        text << "cut after event " << integerField(line, "last_event", -1) << " and " << integerField(line, "sends")
             << " sends: " << describeReason(stringField(line, "reason"));
    } else if (name == "caller-left") {
        text << "the client disconnected after " << integerField(line, "after_ms") << " ms and event " << integerField(line, "last_event", -1);
    } else if (name == "call-ended") {
        text << stringField(line, "outcome") << " with " << integerField(line, "status") << " after " << integerField(line, "took_ms") << " ms";
    }
    return text.str();
}
}

RequestExplanation explainRequest(const std::vector<std::istream *> &logs, const std::string &id)
{
    RequestExplanation explanation;
    std::vector<json::object> requestLines;
    std::vector<json::object> context;
    std::vector<json::object> ends;
    for (std::istream *log : logs) {
        for (std::string text; std::getline(*log, text);) {
            json::object line = parseJsonObject(text);
            if (line.empty()) {
                explanation.m_unreadableLines += text.empty() ? 0 : 1;
            } else if (stringField(line, "request") == id) {
                requestLines.push_back(std::move(line));
            } else if (stringField(line, "name") == "upstream-ended") {
                ends.push_back(std::move(line));
            } else if (isContext(stringField(line, "name"))) {
                context.push_back(std::move(line));
            }
        }
    }
    for (json::object &line : context) {
        if (isRelated(line, requestLines)) {
            explanation.m_lines.push_back(std::move(line));
        }
    }
    std::move(requestLines.begin(), requestLines.end(), std::back_inserter(explanation.m_lines));
    sortByTime(explanation.m_lines);
    for (const json::object &line : explanation.m_lines) {
        const std::string text = describeStep(line);
        if (!text.empty()) {
            explanation.m_findings.push_back(text);
        }
        if (stringField(line, "reason") == "poison-request") {
            explanation.m_findings.push_back(describeEnds(ends, line));
        }
    }
    return explanation;
}

namespace
{
/** Returns the explanations of the reasons in `upstream-withheld`, by reason. */
const std::map<std::string, std::string> &withheldTexts()
{
    static const std::map<std::string, std::string> texts{
        {"ended", "it has ended, as this daemon or another one found out"},
        {"says-leaving", "its own answer says that it will stop; it gets nothing more until it has restarted"},
        {"turned-away", "it turned a request away and named this time"},
    };
    return texts;
}

/** Returns a sentence about a line that concerns an upstream, or an empty string for events that need none. */
std::string describeUpstreamStep(const json::object &line)
{
    const std::string name = stringField(line, "name");
    const std::string process = stringField(line, "process");
    std::ostringstream text;
    if (name == "upstream-withheld") {
        const std::string reason = stringField(line, "reason");
        const auto meaning = withheldTexts().find(reason);
        const std::int64_t forMs = integerField(line, "for_ms");
        text << process << " sends it no requests" << (forMs >= 0 ? " for " + std::to_string(forMs) + " ms" : std::string()) << ": " << reason
             << (meaning == withheldTexts().end() ? std::string() : " (" + meaning->second + ")");
    } else if (name == "upstream-changed") {
        text << "the list, as " << process << " sees it: " << stringField(line, "change") << (boolField(line, "leaving") ? ", leaving" : "");
        if (!stringField(line, "group").empty()) {
            text << ", rank " << integerField(line, "rank") << " of group " << stringField(line, "group") << ", " << stringField(line, "phase");
        }
        if (integerField(line, "cold_ms") > 0) {
            text << ", cold for " << integerField(line, "cold_ms") << " ms";
        }
    } else if (name == "evacuation-changed") {
        text << "its availability zone " << stringField(line, "availability_zone")
             << (boolField(line, "out_of_service") ? " was taken out of service" : " was put back into service") << ", as " << process << " sees it";
    } else if (name == "upstream-unreadable") {
        text << process << " cannot use its entry in the list: " << stringField(line, "error");
    } else if (name == "upstream-ended") {
        text << process << " found that it had ended";
    } else if (name == "engine-silent") {
        text << "it did not answer a probe of " << process << ": " << stringField(line, "error");
    } else if (name == "attempt-failed") {
        text << "a request of " << process << " failed there: " << stringField(line, "what");
    } else if (name == "retry-after-ignored") {
        text << "it turned a request of " << process << " away with a time that is no number of seconds (" << stringField(line, "form")
             << "), which is ignored";
    }
    return text.str();
}

/** Returns how many daemons withhold the upstream at the time of the last line, by reason. */
std::string describeLastState(const std::vector<json::object> &lines)
{
    struct Words
    {
        bool m_leaving = false;
        std::int64_t m_turnedAwayUntilMs = -1;
    };
    std::map<std::string, Words> byDaemon;
    for (const json::object &line : lines) {
        const std::string name = stringField(line, "name");
        Words &words = byDaemon[stringField(line, "process")];
        if (name == "upstream-withheld" && stringField(line, "reason") == "says-leaving") {
            words.m_leaving = true;
        } else if (name == "upstream-withheld") {
            words.m_turnedAwayUntilMs = parseTimeMs(line) + integerField(line, "for_ms");
        } else if (name == "upstream-changed" && stringField(line, "change") == "new") {
            words = {};
        }
    }
    int leaving = 0;
    int turnedAway = 0;
    for (const std::pair<const std::string, Words> &entry : byDaemon) {
        leaving += entry.second.m_leaving ? 1 : 0;
        turnedAway += !entry.second.m_leaving && entry.second.m_turnedAwayUntilMs > parseTimeMs(lines.back()) ? 1 : 0;
    }
    return "at the last line, " + std::to_string(leaving) + " daemons know from it that it leaves, and it turns requests of " + std::to_string(turnedAway)
           + " more away";
}
}

UpstreamExplanation explainUpstream(const std::vector<std::istream *> &logs, const std::string &id)
{
    UpstreamExplanation explanation;
    std::vector<json::object> evacuations;
    std::set<std::string> zones;
    for (std::istream *log : logs) {
        for (std::string text; std::getline(*log, text);) {
            json::object line = parseJsonObject(text);
            if (stringField(line, "upstream") == id || stringField(line, "engine") == id) {
                zones.insert(stringField(line, "availability_zone"));
                explanation.m_lines.push_back(std::move(line));
            } else if (stringField(line, "name") == "evacuation-changed") {
                evacuations.push_back(std::move(line));
            }
        }
    }
    zones.erase(std::string());
    for (json::object &line : evacuations) {
        if (zones.count(stringField(line, "availability_zone")) > 0) {
            explanation.m_lines.push_back(std::move(line));
        }
    }
    sortByTime(explanation.m_lines);
    for (const json::object &line : explanation.m_lines) {
        const std::string text = describeUpstreamStep(line);
        if (!text.empty()) {
            explanation.m_findings.push_back(text);
        }
    }
    if (!explanation.m_lines.empty()) {
        explanation.m_findings.push_back(describeLastState(explanation.m_lines));
    }
    return explanation;
}

namespace
{
/** Appends @p lines, one per log line with time, process, event and fields, and then the numbered @p findings. */
void appendLines(std::ostringstream &text, const std::vector<json::object> &lines, const std::vector<std::string> &findings)
{
    for (const json::object &line : lines) {
        text << stringField(line, "time") << ' ' << stringField(line, "process") << ' ' << stringField(line, "name");
        for (const json::key_value_pair &field : line) {
            static const std::set<std::string_view> printedFields{"time", "process", "name", "event", "level"};
            if (printedFields.count(std::string_view(field.key().data(), field.key().size())) == 0) {
                text << ' ' << field.key() << '=' << json::serialize(field.value());
            }
        }
        text << '\n';
    }
    for (std::size_t i = 0; i < findings.size(); ++i) {
        text << (i + 1) << ". " << findings[i] << '\n';
    }
}
}

std::string formatExplanation(const RequestExplanation &explanation, const std::string &id)
{
    std::ostringstream text;
    if (explanation.m_lines.empty()) {
        text << "No line names request " << id << ". Its lines may have been dropped (dropped_before), or it never reached these daemons.\n";
    }
    appendLines(text, explanation.m_lines, explanation.m_findings);
    if (explanation.m_unreadableLines > 0) {
        text << explanation.m_unreadableLines << " lines are no JSON objects and were skipped.\n";
    }
    return text.str();
}

std::string formatExplanation(const UpstreamExplanation &explanation, const std::string &id)
{
    std::ostringstream text;
    if (explanation.m_lines.empty()) {
        text << "No line names upstream " << id << ". The list of upstreams never had it, or its lines were dropped (dropped_before).\n";
    }
    appendLines(text, explanation.m_lines, explanation.m_findings);
    return text.str();
}
}
