// Problem: the answers to orders decide which replicas are opened and which engines are free. An engine in trouble may send an answer a second time, where
// the next one on its connection is due, and the status of an answer does not tell which order it is for.
// Approach: each order has an id, which an engine may repeat in the answer. A connection on which an answer has none is used only once.
// Without that, the copy of an earlier answer counts as "closed", and members are told to join another replica while their head still serves.

#include "daemons/ordercall.h"

#include "platform/callheaders.h"
#include "platform/enginecalls.h"

namespace knapweedslip
{
namespace
{
MatchResponse matchOrder(std::string requestId)
{
    return [id = std::move(requestId)](const HttpReply &reply, bool reused) {
        const AnswerClaims claims = platform::decodeResponseHeaders(reply.m_status, reply.m_headers).m_claims;
        switch (proveOrderAnswer(claims, id, reused)) {
        case AnswerProof::Answered:
            return claims.m_requestId.empty() ? ResponseMatch::OwnUnnamed : ResponseMatch::Own;
        case AnswerProof::OtherRequest:
            return ResponseMatch::Other;
        case AnswerProof::NotRun:
        case AnswerProof::Spoiled:
            break;
        }
        return ResponseMatch::Unknown;
    };
}
}

awaitable<Result<HttpReply>> orderCall(ConnectionPool &pool, const EngineOrder &order, std::int64_t timeoutMs)
{
    const std::string requestId = "order-" + toHex(randomId());
    HttpRequest request = platform::makeOrderRequest(order, requestId);
    co_return co_await httpCall(pool, order.m_address, std::move(request), timeoutMs, MaxControlReplyBytes, matchOrder(requestId));
}
}
