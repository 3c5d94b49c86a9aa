// Problem: an answer may arrive in parts from several upstreams, and parts may be late, truncated, repeated, missing or belong to another
// request.
// Approach: every token event carries its request id, generation and offset. Only the next offset is forwarded, and the end event is
// accepted only if its token count equals the number of forwarded tokens.
// Relying on the order of arrival would join the wrong parts after a resume, and a closed connection does not show that the answer is
// complete.

#include "kernel/streamjoin.h"

namespace knapweedslip
{
JoinVerdict joinEvent(StreamJoin &join, const TokenEvent &event)
{
    if (event.m_requestId != join.m_requestId || event.m_generation != join.m_generation) {
        return JoinVerdict::Foreign;
    }
    if (event.m_last) {
        join.m_complete = event.m_offset == join.m_nextOffset;
        return join.m_complete ? JoinVerdict::Complete : JoinVerdict::Gap;
    }
    if (event.m_offset < join.m_nextOffset) {
        return JoinVerdict::Duplicate;
    }
    if (event.m_offset > join.m_nextOffset) {
        return JoinVerdict::Gap;
    }
    ++join.m_nextOffset;
    return JoinVerdict::Pass;
}
}
