#pragma once

#include "kernel/enumnames.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace knapweedslip
{
/** One value of the platform's store and the store's index of its last write. */
struct Document
{
    std::string m_key;
    std::uint64_t m_modifyIndex = 0;
    std::string m_value;
};

/** Copy of every configuration document as of one index of the store. */
struct DocumentView
{
    /** Every write up to this index is in the view. */
    std::uint64_t m_index = 0;
    std::map<std::string, Document> m_documents;
    /** Time at which the view was last known to be the newest, in ms of the local steady clock; negative: never. */
    std::int64_t m_confirmedAtMs = -1;
};

/** Documents newer than a given index, as sent by the store's watch or by a peer. */
struct DocumentDelta
{
    std::uint64_t m_sinceIndex = 0;
    std::uint64_t m_index = 0;
    /** How long ago the sender's view was last confirmed, in ms; negative: never. */
    std::int64_t m_confirmationAgeMs = -1;
    std::vector<Document> m_documents;
};

enum class AdoptOutcome {
    /** Newer documents are now in the view. */
    Adopted,
    /** The same index, and a younger confirmation was taken. */
    Confirmed,
    /** Lower than what is held, or no news: nothing was taken. */
    Ignored,
    /** The delta starts after this view's index; a whole delta must be asked for. */
    Gap,
};

/**
 * Takes over @p delta. The index of a view and of each document never goes down.
 * @param nowMs local time at which the answer arrived
 */
AdoptOutcome adopt(DocumentView &view, const DocumentDelta &delta, std::int64_t nowMs);

/** The documents of @p view written after @p sinceIndex. */
DocumentDelta deltaSince(const DocumentView &view, std::uint64_t sinceIndex, std::int64_t nowMs);

/** The document under @p key or null. */
const Document *findDocument(const DocumentView &view, const std::string &key);

/** Age of the last confirmation in ms, or a value above every limit when there was none. */
std::int64_t confirmationAgeMs(const DocumentView &view, std::int64_t nowMs);

/** What a daemon knows about its own connection to the rest. */
struct Reach
{
    /** Daemons named in the settings, this one included. */
    int m_knownDaemons = 1;
    /** Synced daemons heard from lately, this one included if it is synced. */
    int m_reachableDaemons = 0;
    /** Highest index that one of them says it holds. */
    std::uint64_t m_newestIndex = 0;
};

/** More than half of the known daemons are reachable. */
bool hasQuorum(const Reach &reach);

enum class Freshness {
    /** Confirmed lately. */
    Current,
    /** Not confirmed, but with a quorum, none of which holds more: nothing can have been accepted without one of them holding it. */
    StoreOutage,
    /** Neither: this daemon must take no new work. */
    Stale,
};

inline constexpr EnumNames<3> FreshnessNames{"current", "store-outage", "stale"};

/**
 * Decides whether this daemon may take new work.
 * The administration API accepts a change only with a quorum, so a set of daemons with a quorum holds one that has heard of it.
 */
Freshness judgeFreshness(const DocumentView &view, const Reach &reach, std::int64_t nowMs, std::int64_t maxAgeMs);
}
