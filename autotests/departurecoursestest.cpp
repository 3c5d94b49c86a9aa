// Guards against courses of events that take back what a daemon knew of an upstream that leaves (rule DRAIN), or that keep an upstream out of use that lives:
// writes that are carried out late, entries that lapse, copies of the store, upstreams that restart under their id, daemons that the store turns away.

#include "kernel/crashledger.h"
#include "kernel/upstreamavailability.h"

#include <catch2/catch.hpp>
#include <random>

using namespace knapweedslip;

namespace
{
constexpr std::int64_t StepMs = 50;
constexpr std::int64_t EndMs = 90'000;
constexpr std::int64_t HeartbeatMs = 1'200;
constexpr std::int64_t LapseMs = 3 * HeartbeatMs;
/** Longest time between two reads of the store by a daemon that it answers. */
constexpr std::int64_t MaxReadIntervalMs = 900;

struct CourseOptions
{
    const char *m_name = "";
    double m_lateShare = 0.0;
    bool m_leavesInList = true;
    bool m_drills = false;
    bool m_isTurnedAway = false;
    bool m_isCutOff = false;
    /** Planted fault: the daemon drops what it knows of upstreams that are not listed. */
    bool m_forgets = false;
};

struct CourseResult
{
    /** Steps in which an upstream was available although the daemon had read that it leaves. */
    int m_takenBack = 0;
    /** Steps in which an upstream was not available although it lived, did not leave, and had written as usual for long. */
    int m_leftOut = 0;
    int m_departures = 0;
    int m_availableSteps = 0;
};

struct Write
{
    std::int64_t m_atMs = 0;
    UpstreamEntry m_entry;
};

/** One upstream with successive lifetimes under one id, the store, and one daemon. */
class ListCourse
{
public:
    ListCourse(const CourseOptions &options, unsigned seed)
        : m_options(options)
        , m_random(seed)
    {
        m_availability.setLapseMs(LapseMs);
    }

    CourseResult run()
    {
        for (m_nowMs = 0; m_nowMs < EndMs; m_nowMs += StepMs) {
            actAsUpstream();
            actAsStore();
            actAsDaemon();
            check();
        }
        return m_result;
    }

private:
    std::int64_t between(std::int64_t least, std::int64_t most)
    {
        return std::uniform_int_distribution<std::int64_t>(least, most)(m_random);
    }
    bool happens(double share)
    {
        return std::uniform_real_distribution<double>()(m_random) < share;
    }

    void beginLifetime()
    {
        m_startedMs = m_nowMs + 1;
        m_writes = 0;
        m_nextWriteMs = m_nowMs;
        m_leavesMs = m_nowMs + between(6'000, 40'000);
        m_endsMs = m_leavesMs + between(2'000, 20'000);
        m_cutFromMs = m_options.m_isCutOff ? m_nowMs + between(3'000, 20'000) : EndMs;
        m_cutUntilMs = m_cutFromMs + between(4'000, 9'000);
        m_regularSinceMs = m_nowMs;
        m_saidInStoreMs = -1;
    }

    void actAsUpstream()
    {
        if (m_startedMs < 0 || m_nowMs >= m_endsMs) {
            beginLifetime();
        }
        const bool isCut = m_nowMs >= m_cutFromMs && m_nowMs < m_cutUntilMs;
        const bool leaves = m_nowMs >= m_leavesMs;
        if (leaves && !m_options.m_leavesInList) {
            if (m_saidInStoreMs < 0 && !isCut) {
                m_stored.reset();
                m_saidInStoreMs = m_nowMs;
            }
            return;
        }
        if (isCut) {
            m_regularSinceMs = m_nowMs;
        }
        const bool wordIsDue = leaves && !m_saidLeaving;
        if (m_nowMs < m_nextWriteMs && !wordIsDue) {
            return;
        }
        m_nextWriteMs = m_nowMs + HeartbeatMs;
        m_saidLeaving = leaves;
        Write write;
        write.m_entry.m_id = "u";
        write.m_entry.m_startedMs = m_startedMs;
        write.m_entry.m_writeNumber = ++m_writes;
        write.m_entry.m_leaving = leaves;
        const bool isLate = !leaves && happens(m_options.m_lateShare);
        write.m_atMs = m_nowMs + (isLate ? between(1, Departures::MaxLateWriteMs - MaxReadIntervalMs - 100) : 0);
        m_regularSinceMs = isLate ? m_nowMs : m_regularSinceMs;
        if (!isCut) {
            m_underway.push_back(write);
        }
    }

    void actAsStore()
    {
        for (auto it = m_underway.begin(); it != m_underway.end();) {
            if (it->m_atMs > m_nowMs) {
                ++it;
                continue;
            }
            if (it->m_entry.m_leaving && it->m_entry.m_startedMs == m_startedMs && m_saidInStoreMs < 0) {
                m_saidInStoreMs = m_nowMs;
            }
            m_stored = it->m_entry;
            m_storedMs = m_nowMs;
            ++m_revision;
            it = m_underway.erase(it);
        }
        if (m_stored && m_nowMs - m_storedMs > LapseMs) {
            m_stored.reset();
        }
        if (m_options.m_drills && m_nowMs >= m_nextCopyMs) {
            if (m_hasCopy) {
                m_stored = m_copy;
                m_storedMs = m_nowMs;
                ++m_revision;
                ++m_era;
                m_regularSinceMs = m_nowMs;
            } else {
                m_copy = m_stored;
            }
            m_hasCopy = !m_hasCopy;
            m_nextCopyMs = m_nowMs + between(2'000, 8'000);
        }
    }

    void actAsDaemon()
    {
        if (m_options.m_isTurnedAway && m_nowMs >= m_awayUntilMs + 15'000) {
            m_awayUntilMs = m_nowMs + 9'000;
        }
        if (m_nowMs < m_nextReadMs || m_nowMs < m_awayUntilMs) {
            return;
        }
        m_nextReadMs = m_nowMs + between(100, MaxReadIntervalMs);
        // The word, or the removal, may have been replaced before the daemon reads.
        const bool showsWord = m_stored && m_stored->m_startedMs == m_startedMs && m_stored->m_leaving;
        // If the list showed no write for about as long as entries take to lapse, a later one may be that of a live upstream.
        const bool seemsLapsed = m_nowMs - m_shownMs >= LapseMs - 2 * MaxReadIntervalMs;
        const bool isPrompt = m_nowMs - m_provenMs <= MaxReadIntervalMs + StepMs;
        const bool showsRemoval = !m_stored && !m_options.m_leavesInList && m_saidInStoreMs >= 0 && !seemsLapsed && isPrompt;
        if (m_stored && m_readRevision != m_revision) {
            m_shownMs = m_storedMs;
            UpstreamEntry entry = *m_stored;
            entry.m_writtenAfterMs = m_readEra == m_era ? m_provenMs : -1;
            if (m_availability.observe(entry, m_nowMs) == EntryOrder::Current) {
                m_listedStart = entry.m_startedMs;
                m_listedEra = m_era;
            }
        } else if (!m_stored && m_listedStart >= 0) {
            m_availability.recordRemoval("u", m_listedEra != m_era, m_nowMs);
            m_availability.markUnlisted("u", m_nowMs);
            m_listedStart = -1;
            if (m_options.m_forgets) {
                m_availability = UpstreamAvailability();
            }
        }
        if ((showsWord || showsRemoval) && m_knownLeaving != m_startedMs) {
            m_knownLeaving = m_startedMs;
            ++m_result.m_departures;
        }
        m_provenMs = m_nowMs;
        m_readEra = m_era;
        m_readRevision = m_revision;
    }

    void check()
    {
        const bool isAvailable = m_listedStart >= 0 && m_availability.check("u", UpstreamAvailability::AnyEpoch, m_nowMs).m_reason == WithheldReason::None;
        m_result.m_availableSteps += isAvailable ? 1 : 0;
        m_result.m_takenBack += isAvailable && m_listedStart == m_knownLeaving && m_knownLeaving == m_startedMs ? 1 : 0;
        const bool isSteady = m_nowMs - m_regularSinceMs > Departures::MaxLateWriteMs + 2 * HeartbeatMs && m_nowMs - m_provenMs < MaxReadIntervalMs;
        m_result.m_leftOut += isSteady && m_nowMs < m_leavesMs && !isAvailable ? 1 : 0;
    }

    CourseOptions m_options;
    std::mt19937 m_random;
    std::int64_t m_nowMs = 0;
    CourseResult m_result;

    std::int64_t m_startedMs = -1;
    std::int64_t m_writes = 0;
    std::int64_t m_nextWriteMs = 0;
    std::int64_t m_leavesMs = 0;
    std::int64_t m_endsMs = 0;
    std::int64_t m_cutFromMs = 0;
    std::int64_t m_cutUntilMs = 0;
    bool m_saidLeaving = false;
    /** Since when every write was carried out at once. */
    std::int64_t m_regularSinceMs = 0;

    std::vector<Write> m_underway;
    std::optional<UpstreamEntry> m_stored;
    std::int64_t m_storedMs = 0;
    /** When the store accepted that this lifetime leaves. */
    std::int64_t m_saidInStoreMs = -1;
    /** Rises with each write. */
    std::uint64_t m_revision = 0;
    std::uint64_t m_era = 1;
    bool m_hasCopy = false;
    std::optional<UpstreamEntry> m_copy;
    std::int64_t m_nextCopyMs = 5'000;

    UpstreamAvailability m_availability;
    std::int64_t m_nextReadMs = 0;
    std::int64_t m_provenMs = -1;
    std::uint64_t m_readEra = 0;
    std::uint64_t m_readRevision = 0;
    /** When the store accepted the last write that the daemon has read. */
    std::int64_t m_shownMs = 0;
    std::int64_t m_awayUntilMs = 0;
    std::int64_t m_listedStart = -1;
    std::uint64_t m_listedEra = 0;
    /** Start of the lifetime of which the daemon has read that it leaves. */
    std::int64_t m_knownLeaving = -1;
};

CourseResult total(const CourseOptions &options)
{
    CourseResult sum;
    for (unsigned seed = 1; seed <= 100; ++seed) {
        const CourseResult result = ListCourse(options, seed).run();
        sum.m_takenBack += result.m_takenBack;
        sum.m_leftOut += result.m_leftOut;
        sum.m_departures += result.m_departures;
        sum.m_availableSteps += result.m_availableSteps;
    }
    return sum;
}
}

// Guards against words that a daemon unlearns when the list's order is not that in which the upstream spoke.
TEST_CASE("in random courses of the list a daemon never unlearns that an upstream leaves, and uses those that live", "[departures]")
{
    const CourseOptions options = GENERATE(values<CourseOptions>({{"as usual", 0.0, true, false, false, false, false},
                                                                  {"removed without a word", 0.0, false, false, false, false, false},
                                                                  {"late writes", 0.3, true, false, false, false, false},
                                                                  {"late writes, removed without a word", 0.3, false, false, false, false, false},
                                                                  {"drills", 0.0, true, true, false, false, false},
                                                                  {"late writes, drills", 0.3, true, true, false, false, false},
                                                                  {"entries lapse", 0.0, true, false, false, true, false},
                                                                  {"entries lapse, removed without a word", 0.0, false, false, false, true, false},
                                                                  {"the store turns the daemon away", 0.2, true, false, true, false, false},
                                                                  {"all of it", 0.2, true, true, true, true, false}}));
    CAPTURE(options.m_name);
    const CourseResult result = total(options);
    CHECK(result.m_takenBack == 0);
    CHECK(result.m_leftOut == 0);
    CHECK(result.m_departures > 50);
    CHECK(result.m_availableSteps > 20'000);
}

// Shows that the check above finds a daemon that forgets.
TEST_CASE("random courses of the list find a daemon that forgets what it knew of upstreams that are no longer listed", "[departures]")
{
    CHECK(total({"forgets", 0.3, true, true, false, true, true}).m_takenBack > 0);
}
