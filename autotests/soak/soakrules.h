#pragma once

#include "standins/history.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace knapweedslip::soak
{
/** What a client saw of one attempt. */
struct AttemptRecord
{
    std::string m_id;
    /** Must run once at most. */
    bool m_runsOnce = false;
    int m_daemon = 0;
    std::int64_t m_sentMs = 0;
    std::int64_t m_endedMs = 0;
    /** 0 if the connection ended without an answer, or the client stopped waiting. */
    unsigned m_status = 0;
    bool m_isComplete = false;
    /** The body is that of the upstream; only for complete answers with status 200. */
    bool m_isWhole = false;
};

/** A broken rule, by its name on the platform's pages, and what shows it. */
struct Breach
{
    std::string m_rule;
    std::string m_detail;
};

/** Compares what clients saw with what the stand-ins recorded. Fails with a breach "INCOMPLETE" if the history is not whole. */
std::vector<Breach> findBreaches(const std::vector<AttemptRecord> &attempts, const standin::History &history);
}
