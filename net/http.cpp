// Problem: the programs are HTTP servers, clients and proxies, and need common types for requests, responses and errors.
// Approach: plain structs instead of Beast's types, and problem documents built from the error table.
// Beast's message templates in interfaces would make every unit that uses a request slow to compile.

#include "net/http.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>

namespace knapweedslip
{
namespace
{
bool equalNames(std::string_view a, std::string_view b)
{
    return beast::iequals(beast::string_view(a.data(), a.size()), beast::string_view(b.data(), b.size()));
}

/** Returns whether the comma-separated @p list contains @p name, compared without case. */
bool listContains(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        std::string_view item = list.substr(0, comma);
        item.remove_prefix(std::min(item.find_first_not_of(" \t"), item.size()));
        item = item.substr(0, item.find_last_not_of(" \t") + 1);
        if (equalNames(item, name)) {
            return true;
        }
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return false;
}
}

HeaderFields endToEndHeaders(const HeaderFields &headers)
{
    static constexpr std::array<std::string_view, 10> HopByHopFields{"Connection",
                                                                     "Keep-Alive",
                                                                     "Proxy-Connection",
                                                                     "Proxy-Authenticate",
                                                                     "Proxy-Authorization",
                                                                     "TE",
                                                                     "Trailer",
                                                                     "Transfer-Encoding",
                                                                     "Upgrade",
                                                                     "Content-Length"};
    HeaderFields endToEnd;
    for (const std::pair<std::string, std::string> &field : headers) {
        const bool isHopByHop = std::any_of(HopByHopFields.begin(), HopByHopFields.end(), [&field](std::string_view name) {
            return equalNames(field.first, name);
        });
        const bool isListed = std::any_of(headers.begin(), headers.end(), [&field](const std::pair<std::string, std::string> &other) {
            return equalNames(other.first, "Connection") && listContains(other.second, field.first);
        });
        if (!isHopByHop && !isListed && !equalNames(field.first, "Expect")) {
            endToEnd.push_back(field);
        }
    }
    return endToEnd;
}

std::string_view headerValue(const HeaderFields &headers, std::string_view name)
{
    const auto it = std::find_if(headers.begin(), headers.end(), [name](const std::pair<std::string, std::string> &field) {
        return beast::iequals(field.first, beast::string_view(name.data(), name.size()));
    });
    return it == headers.end() ? std::string_view() : std::string_view(it->second);
}

HeaderFields toFields(const http::fields &fields)
{
    HeaderFields headers;
    for (const http::fields::value_type &field : fields) {
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return headers;
}

bool hasUnsupportedTransferCoding(unsigned version, const HeaderFields &headers)
{
    constexpr unsigned FirstVersion = 11;
    int fields = 0;
    bool isChunked = true;
    for (const std::pair<std::string, std::string> &field : headers) {
        if (beast::iequals(field.first, "Transfer-Encoding")) {
            ++fields;
            isChunked = isChunked && beast::iequals(field.second, "chunked");
        }
    }
    return fields > 0 && (fields > 1 || !isChunked || version < FirstVersion);
}

bool hasInvalidFieldName(std::string_view head)
{
    constexpr std::string_view EndOfLine = "\r\n";
    constexpr std::string_view TokenSymbols = "!#$%&'*+-.^_`|~";
    const auto isTokenCharacter = [TokenSymbols](char c) {
        return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || TokenSymbols.find(c) != std::string_view::npos;
    };
    std::size_t end = head.find(EndOfLine);
    while (end != std::string_view::npos) {
        head.remove_prefix(end + EndOfLine.size());
        end = head.find(EndOfLine);
        const std::string_view line = head.substr(0, end);
        const std::size_t colon = line.find(':');
        const std::string_view name = colon == std::string_view::npos ? std::string_view() : line.substr(0, colon);
        if (!line.empty() && (name.empty() || !std::all_of(name.begin(), name.end(), isTokenCharacter))) {
            return true;
        }
    }
    return false;
}

bool isFinalStatus(unsigned status)
{
    constexpr unsigned First = 200;
    constexpr unsigned Last = 599;
    return status >= First && status <= Last;
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string queryValue(std::string_view target, std::string_view name)
{
    std::size_t start = target.find('?');
    while (start != std::string_view::npos) {
        const std::size_t end = target.find('&', start + 1);
        const std::string_view pair = target.substr(start + 1, end == std::string_view::npos ? end : end - start - 1);
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string() : std::string(pair.substr(equals + 1));
        }
        start = end;
    }
    return {};
}

HttpReply jsonReply(unsigned status, const std::string &body)
{
    HttpReply reply;
    reply.m_status = status;
    reply.m_headers.emplace_back("Content-Type", "application/json");
    reply.m_body = body;
    return reply;
}

HttpReply problemReply(const Error &error, std::int64_t retryAfterMs)
{
    constexpr std::int64_t MsPerSecond = 1'000;
    boost::json::object problem;
    problem["type"] = "urn:knapweedslip:problem:" + std::string(errorName(error.m_code));
    problem["title"] = errorText(error.m_code);
    problem["status"] = errorStatus(error.m_code);
    problem["detail"] = error.m_detail;
    HttpReply reply;
    reply.m_status = errorStatus(error.m_code);
    reply.m_headers.emplace_back("Content-Type", "application/problem+json");
    if (retryAfterMs > 0) {
        const std::int64_t seconds = (retryAfterMs + MsPerSecond - 1) / MsPerSecond;
        problem["retry_after_s"] = seconds;
        reply.m_headers.emplace_back("Retry-After", std::to_string(seconds));
    }
    reply.m_body = boost::json::serialize(problem);
    return reply;
}
}
