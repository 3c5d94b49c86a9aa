#include "kernel/upstreamprobe.h"

namespace knapweedslip
{
ProbeResult judgeProbeReply(const UpstreamLifetime &upstream, const ProbeReply &reply)
{
    constexpr unsigned Misdirected = 421;
    const bool isKnown = upstream.m_startedMs != 0 && reply.m_startedMs != 0;
    const bool isOtherLifetime = isKnown && reply.m_startedMs != upstream.m_startedMs;
    return reply.m_status == Misdirected || isOtherLifetime ? ProbeResult::Gone : ProbeResult::Answered;
}
}
