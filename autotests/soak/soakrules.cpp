#include "autotests/soak/soakrules.h"

#include "net/jsonfields.h"

#include <algorithm>

namespace knapweedslip::soak
{
std::vector<Breach> findBreaches(const std::vector<AttemptRecord> &attempts, const standin::History &history)
{
    constexpr unsigned Ok = 200;
    static const std::vector<unsigned> promises{408, 421, 429, 503};
    std::vector<Breach> breaches;
    if (history.m_lines.size() >= standin::History::MaxEvents) {
        breaches.push_back({"INCOMPLETE", "the history of the stand-ins has lost its beginning"});
    }
    std::map<std::string, std::vector<std::string>> runs;
    for (const std::string &line : history.m_lines) {
        const boost::json::object event = parseJsonObject(line);
        const std::string kind = stringField(event, "kind");
        if (kind == "ran") {
            runs[stringField(event, "attempt")].push_back(line);
        } else if (kind == "two" || kind == "partial") {
            breaches.push_back({kind == "two" ? "TWO" : "PARTIAL", line});
        }
    }
    for (const AttemptRecord &attempt : attempts) {
        const auto found = runs.find(attempt.m_id);
        const std::size_t count = found == runs.end() ? 0 : found->second.size();
        const std::string detail = attempt.m_id + " at entry-" + std::to_string(attempt.m_daemon) + ", sent at " + std::to_string(attempt.m_sentMs)
                                   + " ms, ended at " + std::to_string(attempt.m_endedMs) + " ms with status " + std::to_string(attempt.m_status);
        const bool promisesNotRun = std::find(promises.begin(), promises.end(), attempt.m_status) != promises.end();
        if (attempt.m_runsOnce && count > 1) {
            breaches.push_back({"TWICE", detail + ": " + found->second[0] + " " + found->second[1]});
        }
        if (attempt.m_runsOnce && count > 0 && promisesNotRun) {
            breaches.push_back({"REFUSED", detail + ": " + found->second[0]});
        }
        if (attempt.m_status == Ok && attempt.m_isComplete && !attempt.m_isWhole) {
            breaches.push_back({"MIXED", detail});
        }
    }
    return breaches;
}
}
