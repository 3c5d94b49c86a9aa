// Problem: the store counts every call, and at 90 daemons each with a watch of its own the calls cost more than all that is decided with them.
// Approach: in each availability zone the largest daemon watches for the others, agreed on by rank alone, without election or agreement:
// two daemons that see different lists only cost a call more. A daemon that finds its source failing goes to the next one and then to the store.
// A fixed assignment fails with its VM; an election needs the store.

#include "kernel/newssource.h"

#include "kernel/hashing.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
constexpr const char *NewsTask = "news";
/** So many failing sources in one zone mean that the fault is not theirs: the store is asked. */
constexpr std::ptrdiff_t MaxFailed = 2;
}

bool comesFirst(const std::string &task, const std::string &a, const SizedDaemon &sizeOfA, const std::string &b, const SizedDaemon &sizeOfB)
{
    if (sizeOfA.m_cpuShare != sizeOfB.m_cpuShare) {
        return sizeOfA.m_cpuShare > sizeOfB.m_cpuShare;
    }
    return rendezvousWeight(task, a) > rendezvousWeight(task, b);
}

NewsChoice chooseNewsSource(const NewsView &view, std::int64_t nowMs)
{
    if (view.m_leads || view.m_daemons.size() <= FewDaemons) {
        return {};
    }
    const std::ptrdiff_t failed = std::count_if(view.m_failed.begin(), view.m_failed.end(), [nowMs](const std::pair<const std::string, std::int64_t> &entry) {
        return entry.second > nowMs;
    });
    if (failed >= MaxFailed) {
        return {};
    }
    std::string best;
    const SizedDaemon *bestSize = nullptr;
    for (const std::pair<const std::string, SizedDaemon> &entry : view.m_daemons) {
        const auto failure = view.m_failed.find(entry.first);
        const bool asked = entry.second.m_availabilityZone == view.m_availabilityZone && (failure == view.m_failed.end() || failure->second <= nowMs);
        if (asked && (bestSize == nullptr || comesFirst(NewsTask, entry.first, entry.second, best, *bestSize))) {
            best = entry.first;
            bestSize = &entry.second;
        }
    }
    const bool isFirst = best == view.m_self;
    return {isFirst ? std::string() : best, isFirst};
}
}
