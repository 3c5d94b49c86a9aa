// Problem: an on-call engineer has a request's id and the logs of all daemons, and needs the cause.
// Approach: the lines that name the request, in order of time, then what was logged shortly before about the groups and the store that they depend on;
// a finding for each step, so that the last one names the cause.
// Searching by hand misses the line that matters most, because that one does not name the request.

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
/** Lines about a group or the store matter when they are at most this old, in ms: a broken group is formed anew in less. */
constexpr std::int64_t ContextMs = 3'000;

/** Meaning of a reason in `request-refused` and `stream-broken`. */
const std::map<std::string, std::string> &reasonTexts()
{
    static const std::map<std::string, std::string> texts{
        {"no-upstream", "no upstream could take it at that moment"},
        {"overloaded", "every group would have given the first event too late, or said that it was full"},
        {"stale-keys", "the daemon could not prove that the key was still valid, so it was not honoured"},
        {"no-configuration", "the daemon had no current configuration yet"},
        {"attempts-spent", "the attempts of its route, or the budget of resends that all daemons share, were spent"},
        {"outcome-unknown", "it was sent and may have run, so it was not sent again; only the upstream's own record tells"},
        {"time-over", "its time was over"},
        {"no-time", "it came without time left"},
        {"draining", "the daemon was stopping"},
        {"unknown-route", "the configuration in force has no such route"},
        {"unknown-key", "the configuration in force does not hold its key"},
    };
    return texts;
}

/** Milliseconds since 1970 of a log line; -1 when its time cannot be read. */
std::int64_t timeOf(const json::object &line)
{
    std::istringstream text(textField(line, "time"));
    std::tm parts{};
    char point = 0;
    std::int64_t ms = 0;
    text >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S") >> point >> ms;
    constexpr std::int64_t MsPerSecond = 1'000;
    return text.fail() ? -1 : static_cast<std::int64_t>(timegm(&parts)) * MsPerSecond + ms;
}

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

/** Whether @p line, which does not name the request, tells something of what @p own depended on. */
bool concerns(const json::object &line, const std::vector<json::object> &own)
{
    const std::string name = textField(line, "name");
    const std::string group = textField(line, "group");
    const std::string process = textField(line, "process");
    const std::int64_t atMs = timeOf(line);
    return std::any_of(own.begin(), own.end(), [&](const json::object &step) {
        const std::int64_t stepMs = timeOf(step);
        const bool near = atMs >= 0 && stepMs >= 0 && atMs <= stepMs && stepMs - atMs <= ContextMs;
        if (!near) {
            return false;
        }
        // What is told of a group counts from every daemon; the rest from the daemon that had the request.
        return group.empty() ? textField(step, "process") == process : group == textField(step, "group");
    });
}

std::string nameOf(const std::string &reason)
{
    const auto text = reasonTexts().find(reason);
    return reason + (text == reasonTexts().end() ? std::string() : " (" + text->second + ")");
}

std::string finding(const json::object &line)
{
    const std::string name = textField(line, "name");
    std::ostringstream text;
    if (name == "call-sent") {
        const std::string group = textField(line, "group");
        text << "send " << numberField(line, "send") << " to " << (group.empty() ? "upstream " + textField(line, "upstream") : "group " + group) << " with "
             << numberField(line, "left_ms") << " ms left";
    } else if (name == "attempt-failed") {
        const std::string what = textField(line, "what");
        const bool own = what.find("Operation canceled") != std::string::npos;
        text << "that attempt failed: " << what << (own ? " (ended by this daemon itself: the client left, time was over, or the group fell silent)" : "");
    } else if (name == "replica-silent") {
        text << "group " << textField(line, "group") << " showed no work for " << numberField(line, "silent_ms") << " ms, seen at "
             << textField(line, "process");
    } else if (name == "replica-changed" && textField(line, "phase") == "closing") {
        text << "group " << textField(line, "group") << " was closed: " << textField(line, "cause");
    } else if (name == "store-lost") {
        text << "the daemon had lost the store: " << textField(line, "error");
    } else if (name == "stream-resumed") {
        text << "it went on at group " << textField(line, "group") << " after event " << numberField(line, "last_event", -1);
    } else if (name == "request-refused") {
        const std::string reason = textField(line, "reason");
        const bool ran = reason == "outcome-unknown";
        text << "refused with " << numberField(line, "status") << ": " << nameOf(reason)
             << (ran ? "" : "; it has not run, to come back after " + std::to_string(numberField(line, "retry_after_ms")) + " ms");
    } else if (name == "stream-broken") {
        text << "cut after event " << numberField(line, "last_event", -1) << " and " << numberField(line, "sends")
             << " sends: " << nameOf(textField(line, "reason"));
    } else if (name == "caller-left") {
        text << "the client closed its connection after " << numberField(line, "after_ms") << " ms and event " << numberField(line, "last_event", -1);
    } else if (name == "call-ended") {
        text << textField(line, "outcome") << " with " << numberField(line, "status") << " after " << numberField(line, "took_ms") << " ms";
    }
    return text.str();
}
}

RequestStory explainRequest(const std::vector<std::istream *> &logs, const std::string &id)
{
    RequestStory story;
    std::vector<json::object> own;
    std::vector<json::object> context;
    for (std::istream *log : logs) {
        for (std::string text; std::getline(*log, text);) {
            json::object line = parseJsonObject(text);
            if (line.empty()) {
                story.m_unreadable += text.empty() ? 0 : 1;
            } else if (textField(line, "request") == id) {
                own.push_back(std::move(line));
            } else if (isContext(textField(line, "name"))) {
                context.push_back(std::move(line));
            }
        }
    }
    for (json::object &line : context) {
        if (concerns(line, own)) {
            story.m_lines.push_back(std::move(line));
        }
    }
    std::move(own.begin(), own.end(), std::back_inserter(story.m_lines));
    std::stable_sort(story.m_lines.begin(), story.m_lines.end(), [](const json::object &a, const json::object &b) {
        return timeOf(a) < timeOf(b);
    });
    for (const json::object &line : story.m_lines) {
        const std::string text = finding(line);
        if (!text.empty()) {
            story.m_findings.push_back(text);
        }
    }
    return story;
}

std::string formatStory(const RequestStory &story, const std::string &id)
{
    std::ostringstream text;
    if (story.m_lines.empty()) {
        text << "No line names request " << id << ". Its lines may have been dropped (dropped_before), or it never came to these daemons.\n";
    }
    for (const json::object &line : story.m_lines) {
        text << textField(line, "time") << ' ' << textField(line, "process") << ' ' << textField(line, "name");
        for (const json::key_value_pair &field : line) {
            static const std::set<std::string_view> told{"time", "process", "name", "event", "level"};
            if (told.count(std::string_view(field.key().data(), field.key().size())) == 0) {
                text << ' ' << field.key() << '=' << json::serialize(field.value());
            }
        }
        text << '\n';
    }
    for (std::size_t i = 0; i < story.m_findings.size(); ++i) {
        text << (i + 1) << ". " << story.m_findings[i] << '\n';
    }
    if (story.m_unreadable > 0) {
        text << story.m_unreadable << " lines are no JSON objects and were passed over.\n";
    }
    return text.str();
}
}
