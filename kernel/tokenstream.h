#pragma once

#include <cstdint>
#include <string>

namespace knapweedslip
{
/** One token event of an engine's stream. */
struct TokenEvent
{
    std::string m_requestId;
    /** Generation of the serving group that sent the event. */
    std::uint64_t m_generation = 0;
    /** Index of the token in the answer, from 0. */
    std::uint64_t m_offset = 0;
    /** Set for the event that ends the stream; m_offset is then the number of tokens in the answer. */
    bool m_endOfStream = false;
};

/** What to do with a token event. */
enum class TokenEventResult {
    /** The next token: forward it. */
    Forward,
    /** A token that was already forwarded: drop it. */
    Duplicate,
    /** The end of the stream, and every token was forwarded. */
    Complete,
    /** Tokens are missing, or the end names another number of tokens than were forwarded: the attempt has failed. */
    Gap,
    /** The event belongs to another request or another generation: the attempt has failed. */
    WrongStream,
};

/** What has been forwarded to the caller so far, over all attempts of one request. */
struct TokenStreamState
{
    std::string m_requestId;
    /** Generation that events of the current attempt must have. */
    std::uint64_t m_generation = 0;
    std::uint64_t m_nextOffset = 0;
    bool m_complete = false;
};

/** Checks @p event against @p state, and updates @p state when the token is to be forwarded or the stream ends. */
TokenEventResult acceptTokenEvent(TokenStreamState &state, const TokenEvent &event);
}
