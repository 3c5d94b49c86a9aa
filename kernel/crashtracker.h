#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace knapweedslip
{
/** How strongly a request is suspected of crashing upstreams. */
enum class CrashSuspicion {
    /** No recent crash is known, or the request has finished since. */
    None,
    /** Was running, not isolated, when an upstream crashed; may run again only while isolated. */
    Suspect,
    /** Crashed an upstream while isolated, or was running at SharedCrashLimit crashes without isolation; is refused. */
    Blocked,
};

/** Crashes of upstreams that happened while requests with one fingerprint ran on them. */
struct CrashRecord
{
    std::uint64_t m_fingerprint = 0;
    /** Crashes while the request was isolated. */
    std::uint32_t m_isolatedCrashes = 0;
    /** Crashes while the request was not isolated. */
    std::uint32_t m_sharedCrashes = 0;
    /** Time of the last crash, or of the clearing after it. */
    std::int64_t m_updatedMs = 0;
    /** Crashes up to this time no longer count, because the request finished at this time; negative if never. Not sent to peers. */
    std::int64_t m_clearedMs = -1;
};

/**
 * Records which requests were running when an upstream crashed, to find requests that cause crashes. Gateways exchange their records
 * and merge them. Keeps at most MaxRecords; the least recently updated are dropped first.
 */
class CrashTracker
{
public:
    static constexpr std::size_t MaxRecords = 4'096;
    static constexpr std::uint32_t SharedCrashLimit = 3;
    /** Records older than this are ignored. */
    static constexpr std::int64_t RecordLifeMs = 15 * 60 * 1'000;

    /** Counts a crash against @p fingerprint. */
    void recordCrash(std::uint64_t fingerprint, bool isolated, std::int64_t nowMs);
    /** Must be called when the request has finished. Crashes up to now no longer count, even if a peer reports them again. */
    void clear(std::uint64_t fingerprint, std::int64_t nowMs);
    /** Merges the record of a peer. Counts never decrease; crashes up to the time of the last clear are ignored. */
    void merge(const CrashRecord &record);
    CrashSuspicion suspicionOf(std::uint64_t fingerprint, std::int64_t nowMs) const;
    /** Returns the records that are not older than RecordLifeMs. */
    std::vector<CrashRecord> records(std::int64_t nowMs) const;

private:
    /** Returns the record of @p fingerprint, created if needed, and makes it the most recently updated one. */
    CrashRecord &findOrCreate(std::uint64_t fingerprint);

    /** Most recently updated first. */
    std::list<CrashRecord> m_records;
    std::unordered_map<std::uint64_t, std::list<CrashRecord>::iterator> m_index;
};
}
