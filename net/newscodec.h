#pragma once

#include "kernel/errors.h"
#include "kernel/storemirror.h"

#include <cstdint>
#include <string>

namespace knapweedslip
{
/** An answer from one daemon to another that takes the store's news from it. Times are ages in ms at the moment of the answer. */
struct NewsAnswer
{
    StoreNews m_news;
    std::int64_t m_proofAgeMs = 0;
    /** Since the store answered again after an outage; negative when none was seen. */
    std::int64_t m_regainedAgeMs = -1;
};

std::string encodeNews(const NewsAnswer &answer);
Result<NewsAnswer> decodeNews(const std::string &bytes);
}
