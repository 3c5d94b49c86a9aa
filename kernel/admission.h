#pragma once

#include <cstddef>
#include <cstdint>

namespace knapweedslip
{
/** Input of an admission policy: the request and the state of its pool and workspace. */
struct AdmissionQuery
{
    std::int64_t m_nowMs = 0;
    std::int64_t m_deadlineMs = 0;
    /** Requests of this gateway that run in the pool. */
    int m_running = 0;
    /** Requests of this gateway that the pool can run at the same time. */
    double m_slots = 0.0;
    /** Mean time that a request holds a slot, in ms. */
    double m_serviceMs = 0.0;
    /** Waiting requests of all workspaces. */
    std::size_t m_waitingInPool = 0;
    /** Waiting requests of this request's flow. */
    std::size_t m_waitingInWorkspace = 0;
    /** Limit on the waiting requests of the workspace. */
    std::size_t m_maxQueued = 0;
    /** The workspace's weight divided by the weights of all waiting workspaces, itself included. */
    double m_share = 1.0;
};

/** Whether a request may wait. */
struct AdmissionDecision
{
    bool m_admitted = true;
    bool m_deadlineUnreachable = false;
    /** Expected wait, in ms; the retry time if the request is refused. */
    std::int64_t m_waitMs = 0;
};

/** Decides whether a request that cannot be dispatched immediately may wait. A policy is a plug-in. */
struct AdmissionPolicy
{
    const char *m_name = nullptr;
    const char *m_help = nullptr;
    AdmissionDecision (*m_admit)(const AdmissionQuery &query) = nullptr;
    /** Whether workspaces are served by weight. Otherwise all requests wait in one flow. */
    bool m_fair = true;
    /** Whether waiting requests are refused as soon as they can no longer finish in time. */
    bool m_refuseLate = true;
};
}
