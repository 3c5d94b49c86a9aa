#pragma once

#include "daemons/entrycontext.h"

namespace knapweedslip
{
/**
 * Returns when the store was found to answer again after it was last away for all, as far as is known now; negative if that is not known. What other daemons
 * tell later may take it back.
 */
std::int64_t storeRecoveredMs(const EntryContext &context);

/**
 * Keeps in use what @p removal removes if the store may have lost that key and its writer may write it again: an upstream's after an outage for all, an
 * evacuated zone's after the store came back from a copy. Returns whether it does. Once it is known that the store was not away, or the time for writing
 * again has passed, runHeldBackRemovals() applies the removal.
 */
bool holdBackRemoval(EntryContext &context, const StoreItem &removal);

/** Stops using upstream @p id, which @p item removed or made unreadable, or which was held back until now if @p item is null. */
void dropUpstream(EntryContext &context, const std::string &id, const char *why, const StoreItem *item);

/** Applies removals that were held back, each as soon as it no longer has to be. Does not return. */
awaitable<void> runHeldBackRemovals(EntryContext &context);
}
