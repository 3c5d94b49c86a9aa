// Tests the functions on HTTP messages that need no connection.

#include "net/http.h"

#include <catch2/catch.hpp>

using namespace knapweedslip;

// Guards against a request inside the body of another one that runs as a request of its own, since the outer one counts as one without a body (UNASKED).
TEST_CASE("a request is refused unless its transfer coding is chunked and nothing else", "[http]")
{
    struct Row
    {
        const char *m_description;
        unsigned m_version;
        HeaderFields m_headers;
        bool m_isUnsupported;
    };
    const Row row = GENERATE(values<Row>({
        {"none", 11, {{"Host", "a"}, {"Content-Length", "3"}}, false},
        {"none, 1.0", 10, {{"Host", "a"}}, false},
        {"chunked", 11, {{"Transfer-Encoding", "chunked"}}, false},
        {"chunked in capitals", 11, {{"TRANSFER-ENCODING", "CHUNKED"}}, false},
        {"chunked, 1.0", 10, {{"Transfer-Encoding", "chunked"}}, true},
        {"gzip", 11, {{"Transfer-Encoding", "gzip"}}, true},
        {"identity", 11, {{"Transfer-Encoding", "identity"}}, true},
        {"unknown", 11, {{"Transfer-Encoding", "xchunked"}}, true},
        {"empty", 11, {{"Transfer-Encoding", ""}}, true},
        {"chunked is not the last", 11, {{"Transfer-Encoding", "chunked, identity"}}, true},
        {"chunked is the last", 11, {{"Transfer-Encoding", "gzip, chunked"}}, true},
        {"chunked twice", 11, {{"Transfer-Encoding", "chunked, chunked"}}, true},
        {"two fields", 11, {{"Transfer-Encoding", "chunked"}, {"transfer-encoding", "chunked"}}, true},
        {"two fields, the last is not chunked", 11, {{"Transfer-Encoding", "chunked"}, {"Transfer-Encoding", "identity"}}, true},
        {"with a length", 11, {{"Content-Length", "3"}, {"Transfer-Encoding", "gzip"}}, true},
    }));
    INFO(row.m_description);
    CHECK(hasUnsupportedTransferCoding(row.m_version, row.m_headers) == row.m_isUnsupported);
}
