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

/** Names and values of header fields. */
using HeaderFields = std::vector<std::pair<std::string, std::string>>;

/** A request, as sent or received. */
struct HttpRequest
{
    std::string m_method = "GET";
    /** Path and query. */
    std::string m_target = "/";
    HeaderFields m_headers;
    std::string m_body;
};

/** An answer with its whole body. */
struct HttpReply
{
    unsigned m_status = 200;
    HeaderFields m_headers;
    std::string m_body;
};

/** Value of the first field called @p name (any case), or empty. */
std::string_view headerValue(const HeaderFields &headers, std::string_view name);

/** The target without its query. */
std::string_view pathOf(std::string_view target);
/** Value of query parameter @p name, or empty. */
std::string queryValue(std::string_view target, std::string_view name);

/** The fields that are meant for the other end: without those that concern one connection, or are named by "Connection". */
HeaderFields endToEndHeaders(const HeaderFields &headers);

/** A JSON answer. */
HttpReply jsonReply(unsigned status, const std::string &body);
/** A problem document (RFC 9457) for @p error; @p retryAfterMs above 0 adds Retry-After in whole seconds. */
HttpReply problemReply(const Error &error, std::int64_t retryAfterMs = 0);
}
