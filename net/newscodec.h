#pragma once

#include "kernel/errors.h"
#include "kernel/storemirror.h"

#include <cstdint>
#include <string>

namespace knapweedslip
{
/** Reply of an entry daemon to another one that follows the store through it. Times are ages in ms when the reply is made. */
struct NewsAnswer
{
    StoreUpdates m_news;
    /** Age of the sender's last confirmation: it has everything that the store accepted before. */
    std::int64_t m_proofAgeMs = 0;
    /** Time since the store became reachable again after an outage; negative when the sender saw none. */
    std::int64_t m_regainedAgeMs = -1;
};

/** Returns @p answer as a FlatBuffers buffer; the schema is wire/news.fbs. */
std::string encodeNews(const NewsAnswer &answer);
/** Returns an error ProtocolViolation when @p bytes fail verification or an item has no key. */
Result<NewsAnswer> decodeNews(const std::string &bytes);
}
