#pragma once

#include "kernel/enumnames.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace knapweedslip
{
/** A key and value of the platform's store, with the store index of their last write. */
struct Document
{
    std::string m_key;
    std::uint64_t m_modifyIndex = 0;
    std::string m_value;
};

/** Copy of every configuration document as of one index of the store. */
struct DocumentView
{
    /** The view contains every write up to this index. */
    std::uint64_t m_index = 0;
    std::map<std::string, Document> m_documents;
    /** Time in ms of the local steady clock at which the view was last known to be the newest; negative if it never was. */
    std::int64_t m_confirmedAtMs = -1;
};

/** The documents written after m_sinceIndex and up to m_index, as sent by the store's watch or by a peer. */
struct DocumentDelta
{
    std::uint64_t m_sinceIndex = 0;
    std::uint64_t m_index = 0;
    /** Time in ms since the sender's view was last known to be the newest; negative if it never was. */
    std::int64_t m_confirmationAgeMs = -1;
    std::vector<Document> m_documents;
};

/** Result of applying a delta to a view. */
enum class ApplyOutcome {
    /** The delta is newer than the view and was applied. */
    Applied,
    /** The delta has the view's index; only the time of the last confirmation was updated. */
    Confirmed,
    /** The delta is older than the view or adds nothing to it; the view is unchanged. */
    Ignored,
    /** The delta starts after the view's index; the caller must request a full delta. The view is unchanged. */
    Gap,
};

/**
 * Applies @p delta to @p view. Neither the index of the view nor that of any document ever decreases.
 * @param nowMs time in ms of the local steady clock at which the delta arrived
 */
ApplyOutcome applyDelta(DocumentView &view, const DocumentDelta &delta, std::int64_t nowMs);

/** Returns the documents of @p view that were written after @p sinceIndex. */
DocumentDelta deltaSince(const DocumentView &view, std::uint64_t sinceIndex, std::int64_t nowMs);

/** Returns the document with key @p key, or nullptr. */
const Document *findDocument(const DocumentView &view, const std::string &key);

/** Returns the time in ms since the view was last confirmed, or the largest value of the type if it never was. */
std::int64_t confirmationAgeMs(const DocumentView &view, std::int64_t nowMs);

/** How many daemons this one can reach, and how new their views are. */
struct Reachability
{
    /** Daemons named in the settings, including this one. */
    int m_knownDaemons = 1;
    /** Synced daemons heard from recently, including this one if it is synced. */
    int m_reachableDaemons = 0;
    /** Highest view index of this daemon and those heard from recently. */
    std::uint64_t m_newestIndex = 0;
};

/** Returns whether more than half of the known daemons are reachable. */
bool hasQuorum(const Reachability &reach);

/** Whether a view is recent enough to accept new work with it. */
enum class Freshness {
    /** Confirmed recently. */
    Current,
    /**
     * Not confirmed recently, but a quorum is reachable and none of its daemons holds a newer view. No newer change can have been accepted,
     * since one of these daemons would hold it.
     */
    StoreOutage,
    /** Neither of the two: this daemon must not accept new work. */
    Stale,
};

inline constexpr EnumNames<3> FreshnessNames{"current", "store-outage", "stale"};

/**
 * Decides whether this daemon may accept new work.
 * The administration API accepts a change only once a quorum holds it. Any two quorums share a daemon, so one daemon of a reachable quorum
 * holds every accepted change.
 * @param maxAgeMs longest time in ms since the last confirmation for Freshness::Current
 */
Freshness evaluateFreshness(const DocumentView &view, const Reachability &reach, std::int64_t nowMs, std::int64_t maxAgeMs);
}
