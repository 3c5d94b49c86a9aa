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
 * Holds @p removal back if the store may have lost its key and the writer may write it again: the key of an upstream after an outage for all, that of an
 * evacuated zone after the store came back from a copy. Returns whether it does. runHeldBackRemovals() applies the removal once it is known that the store was
 * not away, or the time for writing again has passed.
 */
bool holdBackRemoval(EntryContext &context, const StoreItem &removal);

/** Stops using upstream @p id, which @p item removed or made unreadable, or which was held back until now if @p item is null. */
void dropUpstream(EntryContext &context, const std::string &id, const char *why, const StoreItem *item);

/** Applies removals that were held back, each as soon as it no longer has to be. Does not return. */
awaitable<void> runHeldBackRemovals(EntryContext &context);
}
