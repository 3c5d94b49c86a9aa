// Guards against answers that are believed although they were made for another request or altered (rules REFUSED and TWICE): a late second copy of a
// refusal, taken for the answer to the next request, made that request run at a second upstream, or denied that it ran.

#include "kernel/upstreamanswer.h"
#include "platform/callheaders.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace knapweedslip;

namespace
{
AnswerClaims claims(const std::string &requestId, bool isSuccess, bool isSigned, bool isNotRun, bool isEncoded = false)
{
    AnswerClaims result;
    result.m_requestId = requestId;
    result.m_success = isSuccess;
    result.m_signed = isSigned;
    result.m_notRun = isNotRun;
    result.m_contentEncoded = isEncoded;
    return result;
}
}

// Guards against a second copy of an earlier answer that decides over the next request on the connection.
TEST_CASE("an answer proves something only to the request that it names", "[answer]")
{
    struct Row
    {
        const char *m_description;
        AnswerClaims m_claims;
        std::string m_requestId;
        bool m_reused;
        AnswerProof m_proof;
    };
    const std::vector<Row> rows{
        {"its own result", claims("r2", true, true, false), "r2", true, AnswerProof::Answered},
        {"its own error", claims("r2", false, true, false), "r2", true, AnswerProof::Answered},
        {"its own refusal", claims("r2", false, false, true), "r2", true, AnswerProof::NotRun},
        {"its own refusal, first on the connection", claims("r2", false, false, true), "r2", false, AnswerProof::NotRun},
        {"late copy of a refusal", claims("r1", false, false, true), "r2", true, AnswerProof::OtherRequest},
        {"late copy of a result", claims("r1", true, true, false), "r2", true, AnswerProof::OtherRequest},
        {"late copy of an altered result", claims("r1", true, false, false, true), "r2", true, AnswerProof::OtherRequest},
        {"refusal that names no request", claims("", false, false, true), "r2", true, AnswerProof::Spoiled},
        {"result that names no request", claims("", true, true, false), "r2", true, AnswerProof::Spoiled},
        {"wrong id, first on the connection", claims("r1", false, false, true), "r2", false, AnswerProof::Spoiled},
        {"no signature", claims("r2", true, false, false), "r2", true, AnswerProof::Spoiled},
        {"altered result", claims("r2", true, true, false, true), "r2", true, AnswerProof::Spoiled},
        {"altered refusal", claims("r2", false, false, true, true), "r2", true, AnswerProof::Spoiled},
        {"result that denies that it ran", claims("r2", true, true, true), "r2", true, AnswerProof::Spoiled},
        {"answer to an order", claims("", true, true, false), "", true, AnswerProof::Answered},
        {"late copy of a client's answer where that to an order is due", claims("r1", true, true, false), "", true, AnswerProof::OtherRequest},
        {"late copy of a client's refusal where that to a probe is due", claims("r1", false, true, true), "", true, AnswerProof::OtherRequest},
    };
    for (const Row &row : rows) {
        CAPTURE(row.m_description);
        CHECK(proveAnswer(row.m_claims, row.m_requestId, row.m_reused) == row.m_proof);
    }
}

// Guards against the copy of an engine's earlier answer that counts as the answer to an order (rules TWO and PARTIAL).
TEST_CASE("an answer to an order is believed if it names the order or is the first on its connection", "[answer]")
{
    struct Row
    {
        const char *m_named;
        bool m_reused;
        AnswerProof m_proof;
    };
    const Row row = GENERATE(values<Row>({
        {"o2", true, AnswerProof::Answered},
        {"o2", false, AnswerProof::Answered},
        {"o1", true, AnswerProof::OtherRequest},
        {"o1", false, AnswerProof::Spoiled},
        {"", true, AnswerProof::Spoiled},
        {"", false, AnswerProof::Answered},
    }));
    INFO("names \"" << row.m_named << "\", connection " << (row.m_reused ? "reused" : "new"));
    CHECK(proveOrderAnswer(claims(row.m_named, true, false, false), "o2", row.m_reused) == row.m_proof);
}

// Guards against any combination of claims of which a part is believed for the wrong request.
TEST_CASE("no answer to another request proves that one has run or has not", "[answer]")
{
    rc::prop("claims of another request", [](bool isSuccess, bool isSigned, bool isNotRun, bool isEncoded, bool isReused, bool namesOne) {
        const std::string named = namesOne ? "r1" : "";
        const AnswerProof proof = proveAnswer(claims(named, isSuccess, isSigned, isNotRun, isEncoded), "r2", isReused);
        RC_ASSERT(proof == AnswerProof::OtherRequest || proof == AnswerProof::Spoiled);
    });
}

// Guards against a decoder that hides which request an answer names.
TEST_CASE("a refusal on the wire proves nothing to the next request on its connection", "[answer][platform]")
{
    const HeaderFields refusal{{"Attempt-Id", "r1"}, {"Not-Executed", "1"}, {"Server-Load", "6,4,6"}};
    for (const unsigned status : {421U, 429U, 503U}) {
        CAPTURE(status);
        const AnswerClaims decoded = platform::decodeResponseHeaders(status, refusal).m_claims;
        CHECK(proveAnswer(decoded, "r1", true) == AnswerProof::NotRun);
        CHECK(proveAnswer(decoded, "r2", true) == AnswerProof::OtherRequest);
    }
}

// Guards against a status that promises "not run" and is passed on although the upstream has run the request (REFUSED).
TEST_CASE("a status that promises that a request has not run is believed only if the upstream declares it", "[answer][platform]")
{
    struct Row
    {
        unsigned m_status;
        bool m_declares;
        AnswerProof m_proof;
    };
    const Row row = GENERATE(values<Row>({
        {200, false, AnswerProof::Answered},
        {400, false, AnswerProof::Answered},
        {400, true, AnswerProof::NotRun},
        {408, false, AnswerProof::Spoiled},
        {408, true, AnswerProof::NotRun},
        {421, false, AnswerProof::NotRun},
        {429, false, AnswerProof::Spoiled},
        {429, true, AnswerProof::NotRun},
        {500, false, AnswerProof::Answered},
        {503, false, AnswerProof::Spoiled},
        {503, true, AnswerProof::NotRun},
        {504, false, AnswerProof::Answered},
    }));
    CAPTURE(row.m_status, row.m_declares);
    HeaderFields headers{{"Attempt-Id", "r1"}, {"Server-Stamp", "s"}};
    if (row.m_declares) {
        headers.emplace_back("Not-Executed", "1");
    }
    CHECK(proveAnswer(platform::decodeResponseHeaders(row.m_status, headers).m_claims, "r1", false) == row.m_proof);
}
