#pragma once

#include "kernel/errors.h"
#include "kernel/storemirror.h"

#include <cstdint>
#include <string>

namespace knapweedslip
{
/** Reply of an entry daemon to another entry daemon that receives store updates through it. Times are ages in ms when the reply is made. */
struct StoreUpdatesReply
{
    StoreUpdates m_updates;
    /** Age of the sender's last confirmation. The sender has everything that the store accepted before that confirmation. */
    std::int64_t m_confirmationAgeMs = 0;
    /** Time since the store became reachable again after an outage; negative when the sender saw none. */
    std::int64_t m_recoveredAgeMs = -1;
};

/** Returns @p reply as a FlatBuffers buffer; the schema is wire/news.fbs. */
std::string encodeStoreUpdates(const StoreUpdatesReply &reply);
/** Returns an error ProtocolViolation when @p bytes fail verification or an item has no key. */
Result<StoreUpdatesReply> decodeStoreUpdates(const std::string &bytes);
}
