#pragma once

#include "daemons/entrycontext.h"

namespace knapweedslip
{
/** One lifetime of an upstream to which a request was sent. */
struct UpstreamInstance
{
    std::string m_id;
    std::string m_address;
    std::int64_t m_startedMs = 0;
};

/** What an attempt got whose upstream is checked. */
enum class CheckedAnswer {
    /** No complete answer. */
    Missing,
    /** An answer that ended with its connection, as it also does when the upstream ends. */
    MayBeComplete,
};

/**
 * Must be called when an attempt at @p upstream, which got the request at @p sentMs, ended without an answer that is complete for certain before the request
 * had run there for CrashWindowMs, whatever ended the attempt. Finds out, in the background, whether the upstream has ended, and records that in the crash
 * ledger. Costs at most one connection to each upstream at a time, and two a second to one that does not answer.
 */
void checkUpstreamEnded(EntryContext &context, UpstreamInstance upstream, const CrashSuspects &suspects, std::int64_t sentMs, CheckedAnswer answer);

/** Finds out in the same way whether @p upstream has ended, which its answer to a request leaves open. */
void checkUpstream(EntryContext &context, UpstreamInstance upstream);

/**
 * Must be called when the entry of @p upstream is listed again after it was removed. It has lapsed and the upstream lives, or a late write has brought it back
 * after the upstream has left: the upstream itself is asked, and gets no requests until it answers or the time for that is over.
 */
void checkListedAgain(EntryContext &context, UpstreamInstance upstream);

/** Merges what another daemon, or an earlier process of this one (@p own), observed. Upstreams that it found to have ended get no new requests here either. */
void mergeCrashes(EntryContext &context, const std::vector<CrashObservation> &observations, bool own);

/** A request that ran on an upstream for longer than this, in ms, is not what ended it. */
inline constexpr std::int64_t CrashWindowMs = 1'000;

/** Applies the observations that the daemon @p name has stored. */
void applyStoredCrashes(EntryContext &context, const std::string &name, const StoreItem &item);

/** Stores this daemon's observations whenever they change, also during a planned stop; does not return. */
awaitable<void> publishCrashes(EntryContext &context);

/** Key prefix of the observations; the name of the daemon follows. */
inline constexpr std::string_view CrashesPrefix = "knapweedslip/crashes/";
}
