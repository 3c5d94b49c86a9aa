#pragma once

#include "daemons/entrycontext.h"
#include "net/storeupdatescodec.h"

#include <string>

namespace knapweedslip
{
/** Answers another daemon's request for store updates. Waits a short time for updates if there are none. */
awaitable<void> serveStoreUpdates(EntryContext &context, HttpExchange &exchange);

/** Requests the store updates that are missing here from the daemon at @p address. Fails if that daemon's confirmation is too old. */
awaitable<Result<StoreUpdatesReply>> fetchStoreUpdates(EntryContext &context, std::string address);
}
