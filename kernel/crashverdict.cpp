// Problem: of the dozens of requests that an upstream takes along, and of the parts of their prompts, at most one is the cause; the others must go on.
// Approach: each end counts against the suspect that is at the most ends of all that were there. A request is weighed against suspects that it does not
// have itself: where a bad part explains the ends, requests that only share the rest of its prompt are not refused.
// Counting ends for each suspect alone would refuse whatever is popular, and requests that were moved together with the cause.

#include "kernel/crashledger.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
bool hasSuspect(const CrashSuspects &request, std::uint64_t suspect)
{
    return suspect == request.m_request || std::find(request.m_parts.begin(), request.m_parts.end(), suspect) != request.m_parts.end();
}

/** Returns the most of these runs of which each was sent after the one before had ended. */
int countSuccessive(std::vector<CrashRun> runs)
{
    // Taking the run that ends first each time finds the most runs that follow each other.
    std::sort(runs.begin(), runs.end(), [](const CrashRun &a, const CrashRun &b) {
        return a.m_endedMs < b.m_endedMs;
    });
    int successive = 0;
    std::int64_t lastEndMs = 0;
    for (const CrashRun &run : runs) {
        if (successive == 0 || run.m_sentMs >= lastEndMs) {
            ++successive;
            lastEndMs = run.m_endedMs;
        }
    }
    return successive;
}

/** Returns the number of moments at which these runs ended. */
int countMoments(std::vector<CrashRun> runs)
{
    std::sort(runs.begin(), runs.end(), [](const CrashRun &a, const CrashRun &b) {
        return a.m_endedMs < b.m_endedMs;
    });
    int moments = 0;
    std::int64_t momentMs = 0;
    for (const CrashRun &run : runs) {
        if (moments == 0 || run.m_endedMs - momentMs >= CrashLedger::MomentMs) {
            ++moments;
            momentMs = run.m_endedMs;
        }
    }
    return moments;
}

/** Returns whether a part that no other suspect explains is taken for the cause of these ends. */
bool isEnoughForPart(const std::vector<CrashRun> &runs)
{
    return static_cast<int>(runs.size()) >= CrashLedger::PartEndsUntilPoison && countMoments(runs) >= CrashLedger::PartEndsUntilPoison
           && countSuccessive(runs) >= 2;
}
}

int CrashLedger::countEnds(std::uint64_t suspect, Counted counted) const
{
    const Suspect *record = find(suspect);
    if (record == nullptr) {
        return 0;
    }
    return counted == Counted::Confirmed ? record->m_ended : static_cast<int>(record->m_open.size());
}

bool CrashLedger::isExplained(const CrashSuspects &request, std::uint64_t upstream, int ends, Counted counted) const
{
    const std::set<std::uint64_t> &others = m_suspectsAt.at(upstream);
    return std::any_of(others.begin(), others.end(), [this, &request, upstream, ends, counted](std::uint64_t other) {
        return !hasSuspect(request, other) && m_suspects.at(other).m_open.count(upstream) > 0 && countEnds(other, counted) >= ends;
    });
}

std::vector<CrashRun> CrashLedger::unexplainedRuns(std::uint64_t part, const CrashSuspects &request, Counted counted, std::int64_t nowMs) const
{
    const Suspect &record = m_suspects.at(part);
    const int ends = countEnds(part, counted);
    std::vector<CrashRun> runs;
    std::size_t examined = 0;
    for (auto it = record.m_open.begin(); it != record.m_open.end() && examined < MaxExaminedEnds; ++it, ++examined) {
        const Entry &entry = record.m_entries.at(*it);
        const bool counts = !entry.m_unconfirmed || (counted == Counted::Suspected && nowMs - entry.m_observedMs <= MaxUnconfirmedMs);
        if (counts && !isExplained(request, *it, ends, counted)) {
            runs.push_back(entry.m_run);
        }
    }
    return runs;
}

CrashFinding CrashLedger::judgePart(std::uint64_t part, const CrashSuspects &request, std::int64_t nowMs) const
{
    if (countEnds(part, Counted::Suspected) < PartEndsUntilPoison) {
        return {};
    }
    CrashFinding finding{CrashVerdict::Undecided, part, true, upstreamsEnded(part)};
    if (isEnoughForPart(unexplainedRuns(part, request, Counted::Confirmed, nowMs))) {
        const Suspect &record = m_suspects.at(part);
        const bool isSettled = std::all_of(record.m_open.begin(), record.m_open.end(), [&record, nowMs](std::uint64_t upstream) {
            const Entry &entry = record.m_entries.at(upstream);
            return entry.m_unconfirmed || nowMs - entry.m_observedMs >= SettleMs;
        });
        finding.m_verdict = isSettled ? CrashVerdict::Poison : CrashVerdict::Undecided;
        return finding;
    }
    return isEnoughForPart(unexplainedRuns(part, request, Counted::Suspected, nowMs)) ? finding : CrashFinding();
}

CrashFinding CrashLedger::judgeRequest(const CrashSuspects &request, std::int64_t nowMs, std::int64_t trialDelayMs) const
{
    const Suspect *record = find(request.m_request);
    if (record == nullptr) {
        return {};
    }
    const int upstreams = record->m_ended;
    CrashFinding finding{CrashVerdict::Undecided, request.m_request, false, upstreams};
    int unconfirmed = 0;
    std::int64_t lastObservedMs = 0;
    bool isUnexplained = false;
    std::vector<CrashRun> runs;
    for (const std::uint64_t upstream : record->m_open) {
        const Entry &entry = record->m_entries.at(upstream);
        if (entry.m_unconfirmed) {
            unconfirmed += nowMs - entry.m_observedMs <= MaxUnconfirmedMs ? 1 : 0;
            continue;
        }
        lastObservedMs = runs.empty() ? entry.m_observedMs : std::max(lastObservedMs, entry.m_observedMs);
        runs.push_back(entry.m_run);
        // Requests that always come together are all refused in the end.
        const int endsOfCause = upstreams >= MaxUpstreams ? upstreams + 1 : upstreams;
        isUnexplained = isUnexplained || (upstreams >= UpstreamsUntilPoison && !isExplained(request, upstream, endsOfCause, Counted::Confirmed));
    }
    if (upstreams < UpstreamsUntilPoison) {
        return upstreams + unconfirmed < UpstreamsUntilPoison ? CrashFinding() : finding;
    }
    const int successive = countSuccessive(std::move(runs));
    const bool cameTogether = successive < UpstreamsUntilPoison && (successive < 2 || upstreams == UpstreamsUntilPoison);
    const std::int64_t undecidedMs = SettleMs + (cameTogether ? trialDelayMs : 0);
    if ((cameTogether && unconfirmed > 0) || nowMs - lastObservedMs < undecidedMs) {
        return finding;
    }
    finding.m_verdict = CrashVerdict::Poison;
    return isUnexplained && !cameTogether ? finding : CrashFinding();
}

CrashFinding CrashLedger::judge(const CrashSuspects &request, std::int64_t nowMs, std::int64_t trialDelayMs)
{
    dropExpired(nowMs);
    CrashFinding worst = judgeRequest(request, nowMs, trialDelayMs);
    for (const std::uint64_t part : request.m_parts) {
        const CrashFinding finding = judgePart(part, request, nowMs);
        if (static_cast<int>(finding.m_verdict) > static_cast<int>(worst.m_verdict)) {
            worst = finding;
        }
    }
    return worst;
}

CrashVerdict CrashLedger::verdict(const CrashSuspects &request, std::int64_t nowMs, std::int64_t trialDelayMs)
{
    return judge(request, nowMs, trialDelayMs).m_verdict;
}

std::int64_t CrashLedger::remainingMs(const CrashFinding &finding, std::int64_t nowMs) const
{
    const Suspect *record = find(finding.m_suspect);
    if (finding.m_verdict == CrashVerdict::MaySend || record == nullptr) {
        return 0;
    }
    std::vector<std::int64_t> observedMs;
    for (const std::uint64_t upstream : record->m_open) {
        observedMs.push_back(record->m_entries.at(upstream).m_observedMs);
    }
    std::sort(observedMs.begin(), observedMs.end());
    const std::size_t needed = static_cast<std::size_t>(finding.m_isPart ? PartEndsUntilPoison : UpstreamsUntilPoison);
    const std::int64_t decidingMs = observedMs.empty() ? nowMs : observedMs.at(observedMs.size() > needed ? observedMs.size() - needed : 0);
    return std::max<std::int64_t>(0, decidingMs + RetentionMs - nowMs);
}
}
