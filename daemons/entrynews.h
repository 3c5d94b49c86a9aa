#pragma once

#include "daemons/entrycontext.h"
#include "net/newscodec.h"

#include <string>

namespace knapweedslip
{
/** Answers another daemon that takes the store's news from this one; waits for some when there is none. */
awaitable<void> serveNews(EntryContext &context, HttpExchange &exchange);

/** Asks the daemon at @p address for what is lacking here. Fails when its proof is too old to be worth following. */
awaitable<Result<NewsAnswer>> askNews(EntryContext &context, std::string address);
}
