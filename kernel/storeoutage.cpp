// Problem: a daemon that the store does not answer cannot tell whether the store is away or only this daemon is cut off from it. After the one, removed entries
// come back; after the other, they are those of upstreams that have left.
// Approach: daemons tell each other how old their latest answer from the store is, and the longest time without one counts.

#include "kernel/storeoutage.h"

#include <algorithm>

namespace knapweedslip
{
void StoreOutage::begin()
{
    if (m_isOver) {
        m_isOver = false;
        m_longestMs = 0;
    }
}

void StoreOutage::recordProof(std::int64_t provenMs)
{
    if (provenMs <= m_provenMs) {
        return;
    }
    if (m_provenMs >= 0) {
        m_longestMs = std::max(m_longestMs, provenMs - m_provenMs);
    }
    m_provenMs = provenMs;
}

std::int64_t StoreOutage::end(std::int64_t nowMs)
{
    recordProof(nowMs);
    m_isOver = true;
    return m_longestMs;
}

bool StoreOutage::isOver() const
{
    return m_isOver;
}
}
