#pragma once

#include "net/asio.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace knapweedslip
{
namespace beast = boost::beast;
namespace http = boost::beast::http;

/** Names and values of header fields, in the order of the message. */
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/** An HTTP request, as sent or received. */
struct HttpRequest
{
    std::string m_method = "GET";
    /** Path and query string. */
    std::string m_target = "/";
    HeaderFields m_headers;
    std::string m_body;
};

/** An HTTP response with its complete body. */
struct HttpReply
{
    unsigned m_status = 200;
    HeaderFields m_headers;
    std::string m_body;
};

/** Returns the value of the first field called @p name, compared without case, or an empty string. */
std::string_view headerValue(const HeaderFields &headers, std::string_view name);

/** Returns all fields of a message, in their order. */
HeaderFields toFields(const http::fields &fields);

/**
 * Returns whether a request of HTTP version @p version (11 for 1.1) with @p headers has a transfer coding under which the end of its body is not certain, or
 * that this server does not decode: anything but "chunked" in one field of an HTTP/1.1 request. Its body would be taken for the next request (RFC 9112, 6.1).
 */
bool hasUnsupportedTransferCoding(unsigned version, const HeaderFields &headers);

/**
 * Returns whether the name of a field in @p head, the lines of a response before the empty one, is no token (RFC 9110, 5.1): it is missing, or holds a blank or
 * a control character, also as its first. Such a line may hide a field or forge one, so that nothing of the response can be relied on.
 */
bool hasInvalidFieldName(std::string_view head);

/** Returns whether @p status is one of a final response (RFC 9110, 15): not an interim one, and in one of the classes that exist. */
bool isFinalStatus(unsigned status);

/** Returns @p target without its query string. */
std::string_view pathOf(std::string_view target);
/** Returns the value of query parameter @p name, or an empty string. Does not decode percent-encoding. */
std::string queryValue(std::string_view target, std::string_view name);

/**
 * Returns the end-to-end fields of @p headers. Leaves out hop-by-hop fields, which concern a single connection, fields that "Connection" lists,
 * "Content-Length" and "Expect".
 */
HeaderFields endToEndHeaders(const HeaderFields &headers);

/** Returns a JSON response. */
HttpReply jsonReply(unsigned status, const std::string &body);
/** Returns a problem document (RFC 9457) for @p error. If @p retryAfterMs is above 0, adds Retry-After, rounded up to whole seconds. */
HttpReply problemReply(const Error &error, std::int64_t retryAfterMs = 0);
}
