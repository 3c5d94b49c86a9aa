// Problem: store updates arrive from other processes and may be malformed.
// Approach: FlatBuffers, with its verifier run before any access, converted to plain structs. Reading an unverified buffer could crash.

#include "net/storeupdatescodec.h"

#include "wire/news_generated.h"

#include <algorithm>
#include <limits>

namespace knapweedslip
{
namespace
{
std::int32_t clampToInt32(std::int64_t ageMs)
{
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(ageMs, -1, std::numeric_limits<std::int32_t>::max()));
}
}

std::string encodeStoreUpdates(const StoreUpdatesReply &reply)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<wire::NewsItem>> items;
    for (const StoreItem &item : reply.m_updates.m_items) {
        const flatbuffers::Offset<flatbuffers::String> key = builder.CreateString(item.m_key);
        const flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> value =
            builder.CreateVector(reinterpret_cast<const std::uint8_t *>(item.m_value.data()), item.m_value.size());
        items.push_back(wire::CreateNewsItem(builder, key, value, item.m_position.m_revision, item.m_lease, item.m_deleted));
    }
    builder.Finish(wire::CreateNews(builder,
                                    reply.m_updates.m_completeTo.m_revision,
                                    reply.m_updates.m_isSnapshot,
                                    clampToInt32(reply.m_confirmationAgeMs),
                                    clampToInt32(reply.m_recoveredAgeMs),
                                    builder.CreateVector(items),
                                    reply.m_updates.m_completeTo.m_era));
    return std::string(reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize());
}

Result<StoreUpdatesReply> decodeStoreUpdates(const std::string &bytes)
{
    flatbuffers::Verifier verifier(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    if (!wire::VerifyNewsBuffer(verifier)) {
        return Error{ErrorCode::ProtocolViolation, "store updates fail verification"};
    }
    const wire::News *root = wire::GetNews(bytes.data());
    StoreUpdatesReply reply;
    reply.m_updates.m_completeTo = {root->era(), root->at()};
    reply.m_updates.m_isSnapshot = root->whole();
    reply.m_confirmationAgeMs = root->proof_age_ms();
    reply.m_recoveredAgeMs = root->regained_age_ms();
    if (root->items() != nullptr) {
        for (const wire::NewsItem *item : *root->items()) {
            if (item->key() == nullptr) {
                return Error{ErrorCode::ProtocolViolation, "store update has no key"};
            }
            StoreItem decoded;
            decoded.m_key = item->key()->str();
            if (item->value() != nullptr) {
                decoded.m_value.assign(reinterpret_cast<const char *>(item->value()->data()), item->value()->size());
            }
            decoded.m_position = {root->era(), item->revision()};
            decoded.m_lease = item->lease();
            decoded.m_deleted = item->deleted();
            reply.m_updates.m_items.push_back(std::move(decoded));
        }
    }
    return reply;
}
}
