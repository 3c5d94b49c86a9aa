// Problem: the store counts every call, and with 90 daemons that each watch the store the watches cost more than all decisions made from them.
// Approach: in each availability zone the largest daemon watches the store for the others. Every daemon computes the same ranking, so no
// election is needed; two daemons that know different lists of daemons only cost one more call. A daemon whose source fails asks the next
// one, and then the store.
// A fixed assignment fails with its VM, and an election needs the store.

#include "kernel/updatesource.h"

#include "kernel/hashing.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
constexpr const char *UpdatesTask = "news";
/** If this many sources fail, the fault is probably not theirs, and the store is asked instead. */
constexpr std::ptrdiff_t MaxFailedSources = 2;
}

bool ranksBefore(const std::string &task, const std::string &a, const DaemonSize &sizeOfA, const std::string &b, const DaemonSize &sizeOfB)
{
    if (sizeOfA.m_cpuShare != sizeOfB.m_cpuShare) {
        return sizeOfA.m_cpuShare > sizeOfB.m_cpuShare;
    }
    return rendezvousWeight(task, a) > rendezvousWeight(task, b);
}

UpdateSourceChoice chooseUpdateSource(const UpdateSourceView &view, std::int64_t nowMs)
{
    if (view.m_isLeader || view.m_daemons.size() <= MaxSmallDeployment) {
        return {};
    }
    const std::ptrdiff_t failed = std::count_if(view.m_failed.begin(), view.m_failed.end(), [nowMs](const std::pair<const std::string, std::int64_t> &entry) {
        return entry.second > nowMs;
    });
    if (failed >= MaxFailedSources) {
        return {};
    }
    std::string best;
    const DaemonSize *bestSize = nullptr;
    for (const std::pair<const std::string, DaemonSize> &entry : view.m_daemons) {
        const auto failure = view.m_failed.find(entry.first);
        const bool eligible = entry.second.m_availabilityZone == view.m_availabilityZone && (failure == view.m_failed.end() || failure->second <= nowMs);
        if (eligible && (bestSize == nullptr || ranksBefore(UpdatesTask, entry.first, entry.second, best, *bestSize))) {
            best = entry.first;
            bestSize = &entry.second;
        }
    }
    const bool isFirst = best == view.m_self;
    return {isFirst ? std::string() : best, isFirst};
}
}
