#pragma once

#include "kernel/callconfig.h"

#include <cstdint>

namespace knapweedslip
{
/** What runs on a serving group, as far as it is known. */
struct ReplicaLoad
{
    /** Requests that have had their first event. */
    int m_writing = 0;
    /** Requests that have not. */
    int m_waiting = 0;
    /** Reading still to be done for those that wait, at a pace of 1. */
    double m_unreadMs = 0.0;
    /** Tokens of context held by all of them. */
    std::int64_t m_contextTokens = 0;
};

/** Time to read a prompt of @p tokens, at a pace of 1. */
double readMs(const StepModel &engines, std::int64_t tokens);

/** Time of one pass that writes, without reading, at a pace of 1. */
double passMs(const StepModel &engines, const ReplicaLoad &load);

/**
 * Expected time from sending a request with a prompt of @p promptTokens to its first event. @p pace is the model's factor times how slow
 * the group was seen to be.
 */
double firstEventMs(const StepModel &engines, const ReplicaLoad &load, std::int64_t promptTokens, double pace);

/**
 * Longest pause between two events of a group that works: every step of a pass also reads as much as it may. Whoever else uses the group can
 * add no more than that.
 */
double longestPauseMs(const StepModel &engines, const ReplicaLoad &load, double pace);

/** Expected pause between two events of a stream while @p load runs. */
double eventPauseMs(const StepModel &engines, const ReplicaLoad &load, double pace);
}
