#pragma once

#include "kernel/callconfig.h"

#include <cstdint>

namespace knapweedslip
{
/** Known load of one replica. */
struct ReplicaLoad
{
    /** Requests that have had their first event. */
    int m_decoding = 0;
    /** Requests that have not had their first event. */
    int m_waiting = 0;
    /** Prefill time still needed for the waiting requests, at a pace of 1. */
    double m_pendingPrefillMs = 0.0;
    /** Tokens of context held by all of these requests. */
    std::int64_t m_contextTokens = 0;
};

/** Returns the time to prefill a prompt of @p tokens, in ms, at a pace of 1. */
double prefillMs(const EngineTiming &engines, std::int64_t tokens);

/** Returns the time of one decode pass without any prefill, in ms, at a pace of 1. */
double decodePassMs(const EngineTiming &engines, const ReplicaLoad &load);

/**
 * Returns the expected time from sending a request with a prompt of @p promptTokens to its first event, in ms. @p pace is a factor on all times:
 * the pace of the model times the measured slowness of the replica.
 */
double firstEventMs(const EngineTiming &engines, const ReplicaLoad &load, std::int64_t promptTokens, double pace);

/**
 * Returns the longest pause between two events of a working replica, in ms: all slots are in use, and every step of a pass also prefills a full
 * chunk. Requests of other gateways cannot make it longer.
 */
double longestPauseMs(const EngineTiming &engines, const ReplicaLoad &load, double pace);

/** Returns the expected pause between two events of a stream under @p load, in ms. */
double eventPauseMs(const EngineTiming &engines, const ReplicaLoad &load, double pace);
}
