// Problem: a connection may bring an answer that was made for another request, or that is not as the upstream made it.
// Approach: the id of the request comes first; only an answer that names this request is read for what it says. A claim that the request has not run
// needs the same proof as a result: whoever believes a false one runs the request twice.
// If each caller checked the parts that it uses, one would use a part that it has not checked.

#include "kernel/upstreamanswer.h"

namespace knapweedslip
{
AnswerProof proveAnswer(const AnswerClaims &claims, std::string_view requestId, bool reused)
{
    if (claims.m_requestId != requestId) {
        // A first answer, or one without an id, is no late copy: nothing better will follow it.
        return reused && !claims.m_requestId.empty() ? AnswerProof::OtherRequest : AnswerProof::Spoiled;
    }
    if (claims.m_contentEncoded) {
        return AnswerProof::Spoiled;
    }
    if (claims.m_notRun) {
        return claims.m_success ? AnswerProof::Spoiled : AnswerProof::NotRun;
    }
    if (claims.m_promisesNotRun) {
        return AnswerProof::Spoiled;
    }
    return claims.m_signed ? AnswerProof::Answered : AnswerProof::Spoiled;
}

AnswerProof proveOrderAnswer(const AnswerClaims &claims, std::string_view requestId, bool reused)
{
    if (claims.m_requestId == requestId || (claims.m_requestId.empty() && !reused)) {
        return AnswerProof::Answered;
    }
    return reused && !claims.m_requestId.empty() ? AnswerProof::OtherRequest : AnswerProof::Spoiled;
}
}
