// Problem: an answer may arrive in parts from several upstreams, and parts may be late, truncated, repeated, missing or belong to another
// request.
// Approach: every token event carries its request id, generation and offset. Only the next offset is forwarded, and the end event is
// accepted only if its token count equals the number of forwarded tokens.
// Relying on the order of arrival would join the wrong parts after a resume, and a closed connection does not show that the answer is
// complete.

#include "kernel/tokenstream.h"

namespace knapweedslip
{
TokenEventResult acceptTokenEvent(TokenStreamState &state, const TokenEvent &event)
{
    if (event.m_requestId != state.m_requestId || event.m_generation != state.m_generation) {
        return TokenEventResult::WrongStream;
    }
    if (event.m_endOfStream) {
        state.m_complete = event.m_offset == state.m_nextOffset;
        return state.m_complete ? TokenEventResult::Complete : TokenEventResult::Gap;
    }
    if (event.m_offset < state.m_nextOffset) {
        return TokenEventResult::Duplicate;
    }
    if (event.m_offset > state.m_nextOffset) {
        return TokenEventResult::Gap;
    }
    ++state.m_nextOffset;
    return TokenEventResult::Forward;
}
}
