// Problem: an answer may come in parts from several upstreams, late, crossed with another's, cut, repeated or with a hole.
// Approach: every token event names its request, generation and offset; exactly the next offset is passed on, and the end counts only
// when it names as many tokens as were passed.
// Trusting the order of arrival joins the wrong parts after a resume, and a closed connection is no proof of the end.

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
