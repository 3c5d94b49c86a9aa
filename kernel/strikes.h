#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace knapweedslip
{
enum class Suspicion {
    /** Nothing known against it. */
    None,
    /** Was running on an upstream that crashed: may run again only by itself. */
    Suspect,
    /** Crashed an upstream on which it ran by itself, or was there at too many crashes: refused. */
    Convicted,
};

/** What is known against one request fingerprint. */
struct StrikeRecord
{
    std::uint64_t m_fingerprint = 0;
    /** Crashes while it ran by itself. */
    std::uint32_t m_alone = 0;
    /** Crashes while it ran among others. */
    std::uint32_t m_crowd = 0;
    std::int64_t m_lastMs = 0;
    /** Strikes up to this time were cleared by a run to the end; negative: never. Not sent to peers. */
    std::int64_t m_clearedMs = -1;
};

/**
 * Strikes against requests that were running when their upstream crashed, shared between gateways by merging.
 * At most MaxRecords are kept; the oldest are forgotten first.
 */
class StrikeBook
{
public:
    static constexpr std::size_t MaxRecords = 4'096;
    static constexpr std::uint32_t CrowdLimit = 3;
    static constexpr std::int64_t ForgetMs = 15 * 60 * 1'000;

    void strike(std::uint64_t fingerprint, bool alone, std::int64_t nowMs);
    /** It ran to its end: strikes up to now no longer count, also when a peer repeats them. */
    void clear(std::uint64_t fingerprint, std::int64_t nowMs);
    /** Takes over what a peer knows; counts never go down. */
    void merge(const StrikeRecord &record);
    Suspicion judge(std::uint64_t fingerprint, std::int64_t nowMs) const;
    /** Records younger than ForgetMs. */
    std::vector<StrikeRecord> records(std::int64_t nowMs) const;

private:
    StrikeRecord &touch(std::uint64_t fingerprint);

    std::list<StrikeRecord> m_records;
    std::unordered_map<std::uint64_t, std::list<StrikeRecord>::iterator> m_index;
};
}
