#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace knapweedslip
{
/** What is known of the length of an answer before the request runs, in tokens. */
struct AnswerLengthHints
{
    /** The client's estimate; 0 if it gave none. */
    std::int64_t m_hintTokens = 0;
    /** The answer is not longer than this; 0 if that is not known. */
    std::int64_t m_maxTokens = 0;
};

/**
 * Predicts the length of answers from the clients' estimates and from the answers that were seen. Clients' estimates are right at the median but often far
 * off, so they are combined with the mean of the route. Memory: one entry for each route.
 */
class AnswerLength
{
public:
    /** Records that an answer on @p route had @p tokens. */
    void record(const std::string &route, std::int64_t tokens);
    /** Returns the expected length of an answer on @p route, at least 1. @p meanTokens is used until an answer on the route was seen. */
    double expectedTokens(const std::string &route, const AnswerLengthHints &hints, std::int64_t meanTokens) const;

private:
    std::map<std::string, double> m_meanByRoute;
};
}
