#pragma once

#include <string>
#include <string_view>

namespace knapweedslip
{
/** What an answer that arrives on a connection to an upstream says of itself. proveAnswer() decides how much of that is believed. */
struct AnswerClaims
{
    /** Id of the request that it answers; empty if it names none. */
    std::string m_requestId;
    /** Its status is one of success. */
    bool m_success = false;
    /** It has a signature, so the upstream itself made it. */
    bool m_signed = false;
    /** It declares that the upstream did not run the request and never will. */
    bool m_notRun = false;
    /** Its status promises clients that the request has not run. Only an upstream that declares the same can be quoted with it. */
    bool m_promisesNotRun = false;
    /** Its body has a content encoding, so it is not as the upstream made it. */
    bool m_contentEncoded = false;
};

/** What an answer proves about one request. */
enum class AnswerProof {
    /** The upstream answers this request: its status, fields and body may be used. */
    Answered,
    /** The upstream has not run this request and never will. */
    NotRun,
    /** It was made for another request that the connection has carried. It proves nothing; the answer to this request may follow. */
    OtherRequest,
    /** It cannot be attributed or was altered. It proves nothing, and no answer to this request will follow. */
    Spoiled,
};

/**
 * Returns what an answer proves about the request @p requestId. Nothing that an answer says may be used, neither its status nor its fields, before this was
 * called. @p reused tells whether the connection carried other requests before: an upstream may send a second copy of an earlier answer, late, where the
 * next answer is expected.
 */
AnswerProof proveAnswer(const AnswerClaims &claims, std::string_view requestId, bool reused);

/**
 * As proveAnswer(), for the answer to the order @p requestId: engines do not sign those, and some do not name the order in them. Such an answer is believed
 * only if its connection carried no other request before; no further request may be sent on that connection.
 */
AnswerProof proveOrderAnswer(const AnswerClaims &claims, std::string_view requestId, bool reused);
}
