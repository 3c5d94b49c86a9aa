// Problem: a daemon that the store does not answer cannot tell whether the store is away or only this daemon is cut off from it. After the one, removed entries
// come back; after the other, they are those of upstreams that have left. It may have been cut off from the other daemons as well.
// Approach: daemons tell each other since when they have had answers from the store, without a break, and how old the latest one is. The times that nobody's
// answers cover are outages; one that is covered later never was one.
// Counting from the reports that arrive meanwhile takes a daemon that hears nothing for a store that is away.

#include "kernel/storeoutage.h"

#include <algorithm>

namespace knapweedslip
{
StoreOutage::StoreOutage(std::int64_t minMs)
    : m_minMs(minMs)
{
}

void StoreOutage::begin()
{
    if (m_isOver) {
        m_isOver = false;
        m_longestMs = 0;
    }
}

void StoreOutage::advance(std::int64_t provenMs, std::int64_t nowMs)
{
    if (provenMs <= m_provenMs) {
        return;
    }
    if (m_provenMs >= 0 && !m_isOver) {
        m_longestMs = std::max(m_longestMs, provenMs - m_provenMs);
        if (provenMs - m_provenMs >= m_minMs) {
            m_outages.push_back({m_provenMs, provenMs, nowMs});
        }
        if (m_outages.size() > MaxOutages) {
            m_outages.erase(m_outages.begin());
        }
    }
    m_provenMs = provenMs;
}

void StoreOutage::recordProof(std::int64_t provenMs)
{
    if (provenMs < 0) {
        return;
    }
    breakOwnAnswers(provenMs);
    m_ownSinceMs = m_ownSinceMs < 0 ? provenMs : m_ownSinceMs;
    m_ownProofMs = std::max(m_ownProofMs, provenMs);
    advance(provenMs, provenMs);
}

void StoreOutage::recordAnswers(std::int64_t sinceMs, std::int64_t provenMs, std::int64_t nowMs)
{
    std::vector<Outage> left;
    for (const Outage &outage : m_outages) {
        const Outage before{outage.m_fromMs, std::min(outage.m_toMs, sinceMs), outage.m_foundMs};
        const Outage after{std::max(outage.m_fromMs, provenMs), outage.m_toMs, outage.m_foundMs};
        for (const Outage &part : {before, after}) {
            if (part.m_toMs - part.m_fromMs >= m_minMs) {
                left.push_back(part);
            }
        }
    }
    m_outages = std::move(left);
    advance(sinceMs, nowMs);
    m_provenMs = std::max(m_provenMs, provenMs);
}

void StoreOutage::breakOwnAnswers(std::int64_t nowMs)
{
    // While calls do not fail, proofs may be far apart because the store has nothing to tell.
    if (!m_isOver && nowMs - m_ownProofMs >= m_minMs) {
        m_ownSinceMs = -1;
    }
}

std::int64_t StoreOutage::end(std::int64_t nowMs)
{
    breakOwnAnswers(nowMs);
    advance(nowMs, nowMs);
    m_isOver = true;
    return m_longestMs;
}

bool StoreOutage::isOver() const
{
    return m_isOver;
}

std::int64_t StoreOutage::answeredSinceMs() const
{
    return m_ownSinceMs;
}

std::int64_t StoreOutage::recoveredMs() const
{
    std::int64_t recoveredMs = -1;
    for (const Outage &outage : m_outages) {
        recoveredMs = std::max(recoveredMs, outage.m_foundMs);
    }
    return recoveredMs;
}
}
