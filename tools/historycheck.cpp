// Problem: a guarantee must be verified against what really happened, not against the state of the daemons.
// Approach: callers, stand-ins and daemons record events in one history. Each guarantee has a checker that reads only the history.
// Assertions inside a daemon see only its own state, which may be wrong after a fault.

#include "tools/historycheck.h"

#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace knapweedslip
{
namespace json = boost::json;

namespace
{
std::string timeSuffix(const HistoryEvent &event)
{
    return " at " + std::to_string(event.m_atMs) + " ms";
}
}

Violations checkNoTokensAfterMemberLoss(const HistoryEvents &events, std::int64_t detectMs)
{
    Violations violations;
    // Time of the first loss, by group and its generation at that time.
    std::map<std::pair<std::string, std::uint64_t>, std::int64_t> lostAt;
    for (const HistoryEvent &event : events) {
        if (event.m_kind == HistoryKind::VmLost) {
            lostAt.try_emplace({event.m_place, event.m_number}, event.m_atMs);
        } else if (event.m_kind == HistoryKind::Token) {
            const auto lost = lostAt.find({event.m_place, event.m_number});
            if (lost != lostAt.end() && event.m_atMs > lost->second + detectMs) {
                violations.push_back("group " + event.m_place + " produced a token without all its members" + timeSuffix(event));
            }
        }
    }
    return violations;
}

Violations checkOneGroupPerVm(const HistoryEvents &events)
{
    struct Record
    {
        std::uint64_t m_index = 0;
        std::map<std::string, std::string> m_groupByVm;
    };
    Violations violations;
    std::map<std::string, Record> records;
    std::map<std::string, std::uint64_t> highestFencingTokens;
    for (const HistoryEvent &event : events) {
        if (event.m_kind == HistoryKind::Recorded) {
            Record &record = records[event.m_place];
            if (record.m_index != event.m_number) {
                record = Record{event.m_number, {}};
            }
            if (event.m_subject.empty()) {
                continue;
            }
            record.m_groupByVm.try_emplace(event.m_subject, event.m_key);
            for (const std::pair<const std::string, Record> &other : records) {
                const auto recorded = other.second.m_groupByVm.find(event.m_subject);
                const bool inTwoGroups = recorded != other.second.m_groupByVm.end() && (other.first != event.m_place || recorded->second != event.m_key);
                if (inTwoGroups) {
                    violations.push_back("VM " + event.m_subject + " is in " + recorded->second + " and " + event.m_key + timeSuffix(event));
                }
            }
        } else if (event.m_kind == HistoryKind::Joined) {
            std::uint64_t &highest = highestFencingTokens[event.m_subject];
            if (event.m_number < highest) {
                violations.push_back("VM " + event.m_subject + " accepted an order with an old fencing token" + timeSuffix(event));
            }
            highest = std::max(highest, event.m_number);
        }
    }
    return violations;
}

Violations checkColdLimit(const HistoryEvents &events, std::uint64_t limit)
{
    Violations violations;
    for (const HistoryEvent &event : events) {
        if (event.m_kind == HistoryKind::Run && event.m_flag && event.m_number > limit) {
            violations.push_back("cold " + event.m_place + " ran " + std::to_string(event.m_number) + " requests" + timeSuffix(event));
        }
    }
    return violations;
}

Violations checkNoDispatchWhileClosed(const HistoryEvents &events, std::int64_t graceMs)
{
    Violations violations;
    std::map<std::string, std::int64_t> closedAt;
    for (const HistoryEvent &event : events) {
        if (event.m_kind == HistoryKind::Closed) {
            closedAt.try_emplace(event.m_place, event.m_atMs);
        } else if (event.m_kind == HistoryKind::Opened) {
            closedAt.erase(event.m_place);
        } else if (event.m_kind == HistoryKind::Dispatched) {
            const auto closed = closedAt.find(event.m_place);
            if (closed != closedAt.end() && event.m_atMs > closed->second + graceMs) {
                violations.push_back("new request for " + event.m_place + " from " + event.m_subject + timeSuffix(event));
            }
        }
    }
    return violations;
}

Violations checkCompleteResponses(const HistoryEvents &events, std::string (*expected)(const std::string &request))
{
    Violations violations;
    for (const HistoryEvent &event : events) {
        if (event.m_kind == HistoryKind::Answer && event.m_place == "whole" && event.m_key != expected(event.m_subject)) {
            violations.push_back("request " + event.m_subject + " received a wrong response" + timeSuffix(event));
        }
    }
    return violations;
}

Violations checkNotRun(const HistoryEvents &events)
{
    std::set<std::string> ran;
    for (const HistoryEvent &event : events) {
        if (event.m_kind == HistoryKind::Run) {
            ran.insert(event.m_subject);
        }
    }
    Violations violations;
    for (const HistoryEvent &event : events) {
        if (event.m_kind == HistoryKind::Answer && event.m_place == "not-run" && ran.count(event.m_subject) > 0) {
            violations.push_back("request " + event.m_subject + " was reported as not run but ran" + timeSuffix(event));
        }
    }
    return violations;
}

Violations checkAtMostOnce(const HistoryEvents &events)
{
    Violations violations;
    std::set<std::string> keys;
    for (const HistoryEvent &event : events) {
        if (event.m_kind == HistoryKind::Run && !event.m_key.empty() && !keys.insert(event.m_key).second) {
            violations.push_back("key " + event.m_key + " ran again" + timeSuffix(event));
        }
    }
    return violations;
}

Violations checkPlannedStop(const HistoryEvents &events)
{
    Violations violations;
    std::set<std::string> inProgress;
    for (const HistoryEvent &event : events) {
        if (event.m_kind == HistoryKind::StopBegan) {
            inProgress.insert(event.m_place);
        } else if (event.m_kind == HistoryKind::Answer && event.m_place == "broken" && inProgress.count(event.m_subject) > 0) {
            violations.push_back("request " + event.m_subject + " was broken by a planned stop" + timeSuffix(event));
        }
    }
    return violations;
}

Violations checkConfiguration(const HistoryEvents &events, std::int64_t withinMs)
{
    Violations violations;
    std::map<std::string, std::uint64_t> inForce;
    std::vector<HistoryEvent> accepted;
    for (const HistoryEvent &event : events) {
        if (event.m_kind == HistoryKind::Accepted) {
            accepted.push_back(event);
        } else if (event.m_kind == HistoryKind::Adopted) {
            std::uint64_t &index = inForce[event.m_subject];
            if (event.m_number < index) {
                violations.push_back("daemon " + event.m_subject + " returned to index " + std::to_string(event.m_number) + timeSuffix(event));
            }
            index = event.m_number;
        } else if (event.m_kind == HistoryKind::Dispatched) {
            const bool stale = std::any_of(accepted.begin(), accepted.end(), [&](const HistoryEvent &change) {
                return event.m_atMs > change.m_atMs + withinMs && event.m_number < change.m_number;
            });
            if (stale) {
                violations.push_back("daemon " + event.m_subject + " dispatched with old index " + std::to_string(event.m_number) + timeSuffix(event));
            }
        }
    }
    return violations;
}

std::string encodeHistory(const HistoryEvents &events)
{
    std::string text;
    for (const HistoryEvent &event : events) {
        json::object object;
        object["at_ms"] = event.m_atMs;
        object["kind"] = enumName(HistoryKindNames, event.m_kind);
        object["subject"] = event.m_subject;
        object["place"] = event.m_place;
        object["key"] = event.m_key;
        object["number"] = event.m_number;
        object["flag"] = event.m_flag;
        text += json::serialize(object) + "\n";
    }
    return text;
}

Result<HistoryEvents> decodeHistory(const std::string &text)
{
    HistoryEvents events;
    std::istringstream lines(text);
    std::string line;
    int number = 0;
    while (std::getline(lines, line)) {
        ++number;
        try {
            const json::value value = json::parse(line);
            const std::optional<HistoryKind> kind = enumFromName<HistoryKind>(HistoryKindNames, json::value_to<std::string>(value.at("kind")));
            if (!kind) {
                return Error{ErrorCode::MalformedRequest, "line " + std::to_string(number) + ": unknown kind"};
            }
            HistoryEvent event;
            event.m_atMs = value.at("at_ms").to_number<std::int64_t>();
            event.m_kind = *kind;
            event.m_subject = json::value_to<std::string>(value.at("subject"));
            event.m_place = json::value_to<std::string>(value.at("place"));
            event.m_key = json::value_to<std::string>(value.at("key"));
            event.m_number = value.at("number").to_number<std::uint64_t>();
            event.m_flag = value.at("flag").as_bool();
            events.push_back(std::move(event));
        } catch (const std::exception &exception) {
            return Error{ErrorCode::MalformedRequest, "line " + std::to_string(number) + ": " + exception.what()};
        }
    }
    std::stable_sort(events.begin(), events.end(), [](const HistoryEvent &a, const HistoryEvent &b) {
        return a.m_atMs < b.m_atMs;
    });
    return events;
}
}
