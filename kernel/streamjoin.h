#pragma once

#include <cstdint>
#include <string>

namespace knapweedslip
{
/** One token event of an engine's stream. */
struct TokenEvent
{
    std::string m_requestId;
    std::uint64_t m_generation = 0;
    /** Place of the token in the answer, from 0. */
    std::uint64_t m_offset = 0;
    /** The last event; m_offset is then the number of tokens of the answer. */
    bool m_last = false;
};

enum class JoinVerdict {
    /** The next token: pass it on. */
    Pass,
    /** A token that was passed on already: drop it. */
    Duplicate,
    /** The end, and every token was passed on. */
    Complete,
    /** Tokens are missing: this attempt is broken. */
    Gap,
    /** Another request's answer, or another generation's: this attempt is broken. */
    Foreign,
};

/** What the caller has been given so far, over all attempts of one request. */
struct StreamJoin
{
    std::string m_requestId;
    /** Generation of the upstream of the current attempt. */
    std::uint64_t m_generation = 0;
    std::uint64_t m_nextOffset = 0;
    bool m_complete = false;
};

/** Judges @p event and moves @p join on when the token is to be passed. */
JoinVerdict joinEvent(StreamJoin &join, const TokenEvent &event);
}
