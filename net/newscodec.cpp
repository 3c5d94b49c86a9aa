// Problem: store updates arrive from other processes and may be malformed.
// Approach: FlatBuffers, with its verifier run before any access, converted to plain structs. Reading an unverified buffer could crash.

#include "net/newscodec.h"

#include "wire/news_generated.h"

#include <algorithm>
#include <limits>

namespace knapweedslip
{
namespace
{
std::int32_t shortAge(std::int64_t ageMs)
{
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(ageMs, -1, std::numeric_limits<std::int32_t>::max()));
}
}

std::string encodeNews(const NewsAnswer &answer)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<wire::NewsItem>> items;
    for (const StoreItem &item : answer.m_news.m_items) {
        const flatbuffers::Offset<flatbuffers::String> key = builder.CreateString(item.m_key);
        const flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> value =
            builder.CreateVector(reinterpret_cast<const std::uint8_t *>(item.m_value.data()), item.m_value.size());
        items.push_back(wire::CreateNewsItem(builder, key, value, item.m_revision, item.m_lease, item.m_deleted));
    }
    builder.Finish(wire::CreateNews(builder,
                                    answer.m_news.m_completeRevision,
                                    answer.m_news.m_isSnapshot,
                                    shortAge(answer.m_proofAgeMs),
                                    shortAge(answer.m_regainedAgeMs),
                                    builder.CreateVector(items)));
    return std::string(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
}

Result<NewsAnswer> decodeNews(const std::string &bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    if (!wire::VerifyNewsBuffer(verifier)) {
        return Error{ErrorCode::ProtocolViolation, "store updates fail verification"};
    }
    const wire::News *read = wire::GetNews(bytes.data());
    NewsAnswer answer;
    answer.m_news.m_completeRevision = read->at();
    answer.m_news.m_isSnapshot = read->whole();
    answer.m_proofAgeMs = read->proof_age_ms();
    answer.m_regainedAgeMs = read->regained_age_ms();
    if (read->items() != nullptr) {
        for (const wire::NewsItem *item : *read->items()) {
            if (item->key() == nullptr) {
                return Error{ErrorCode::ProtocolViolation, "store update has no key"};
            }
            StoreItem decoded;
            decoded.m_key = item->key()->str();
            if (item->value() != nullptr) {
                decoded.m_value.assign(reinterpret_cast<const char *>(item->value()->data()), item->value()->size());
            }
            decoded.m_revision = item->revision();
            decoded.m_lease = item->lease();
            decoded.m_deleted = item->deleted();
            answer.m_news.m_items.push_back(std::move(decoded));
        }
    }
    return answer;
}
}
