// Problem: an accepted configuration must take effect on every daemon within seconds and must never revert, although daemons start
// during outages, peers hold older copies and responses arrive out of order.
// Approach: the store's write index is the only order. A delta is applied only if it starts at or before the view's index, and a
// document only if its own index is higher. Each delta carries the time since the sender's last confirmation, so a daemon can bound
// the age of its view without asking the store itself.
// Comparing revisions inside the values fails when two operators write at the same time, and trusting the latest response fails when
// responses overtake each other.

#include "kernel/documents.h"

#include <algorithm>
#include <limits>

namespace knapweedslip
{
namespace
{
/** Updates the time of the last confirmation if the new one is later. Returns whether it was. */
bool updateConfirmation(DocumentView &view, std::int64_t ageMs, std::int64_t nowMs)
{
    if (ageMs < 0 || nowMs - ageMs <= view.m_confirmedAtMs) {
        return false;
    }
    view.m_confirmedAtMs = nowMs - ageMs;
    return true;
}

void updateDocument(DocumentView &view, const Document &document)
{
    Document &existing = view.m_documents[document.m_key];
    if (document.m_modifyIndex > existing.m_modifyIndex) {
        existing = document;
    }
}
}

ApplyOutcome applyDelta(DocumentView &view, const DocumentDelta &delta, std::int64_t nowMs)
{
    if (delta.m_index < view.m_index) {
        return ApplyOutcome::Ignored;
    }
    if (delta.m_index == view.m_index) {
        return updateConfirmation(view, delta.m_confirmationAgeMs, nowMs) ? ApplyOutcome::Confirmed : ApplyOutcome::Ignored;
    }
    if (delta.m_sinceIndex > view.m_index) {
        return ApplyOutcome::Gap;
    }
    for (const Document &document : delta.m_documents) {
        updateDocument(view, document);
    }
    view.m_index = delta.m_index;
    updateConfirmation(view, delta.m_confirmationAgeMs, nowMs);
    return ApplyOutcome::Applied;
}

DocumentDelta deltaSince(const DocumentView &view, std::uint64_t sinceIndex, std::int64_t nowMs)
{
    DocumentDelta delta;
    delta.m_sinceIndex = sinceIndex;
    delta.m_index = view.m_index;
    delta.m_confirmationAgeMs = view.m_confirmedAtMs < 0 ? -1 : std::max<std::int64_t>(0, nowMs - view.m_confirmedAtMs);
    for (const std::pair<const std::string, Document> &entry : view.m_documents) {
        if (entry.second.m_modifyIndex > sinceIndex) {
            delta.m_documents.push_back(entry.second);
        }
    }
    return delta;
}

const Document *findDocument(const DocumentView &view, const std::string &key)
{
    const auto it = view.m_documents.find(key);
    return it == view.m_documents.end() ? nullptr : &it->second;
}

std::int64_t confirmationAgeMs(const DocumentView &view, std::int64_t nowMs)
{
    if (view.m_confirmedAtMs < 0) {
        return std::numeric_limits<std::int64_t>::max();
    }
    return nowMs - view.m_confirmedAtMs;
}

bool hasQuorum(const Reachability &reach)
{
    return reach.m_reachableDaemons * 2 > reach.m_knownDaemons;
}

Freshness evaluateFreshness(const DocumentView &view, const Reachability &reach, std::int64_t nowMs, std::int64_t maxAgeMs)
{
    if (confirmationAgeMs(view, nowMs) <= maxAgeMs) {
        return Freshness::Current;
    }
    // A view that was never confirmed may be older than all the other views.
    if (view.m_confirmedAtMs >= 0 && hasQuorum(reach) && reach.m_newestIndex <= view.m_index) {
        return Freshness::StoreOutage;
    }
    return Freshness::Stale;
}
}
