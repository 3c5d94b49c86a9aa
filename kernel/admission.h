#pragma once

#include <cstddef>
#include <cstdint>

namespace knapweedslip
{
/** What an admission policy knows about the pool and the workspace of a request. */
struct AdmissionQuery
{
    std::int64_t m_nowMs = 0;
    std::int64_t m_deadlineMs = 0;
    /** Requests that run in the pool from this gateway. */
    int m_running = 0;
    /** Requests that the pool bears from this gateway. */
    double m_slots = 0.0;
    /** Mean time a request holds a slot, in ms. */
    double m_serviceMs = 0.0;
    std::size_t m_waitingAll = 0;
    std::size_t m_waitingWorkspace = 0;
    std::size_t m_maxQueued = 0;
    /** This workspace's weight over that of all waiting workspaces, itself included. */
    double m_share = 1.0;
};

/** Whether a request may wait, or when to come back. */
struct AdmissionVerdict
{
    bool m_admitted = true;
    bool m_deadlineUnreachable = false;
    /** Expected wait, in ms. */
    std::int64_t m_waitMs = 0;
};

/** Decides on requests that cannot be dispatched at once. A policy is a plug-in. */
struct AdmissionPolicy
{
    const char *m_name = nullptr;
    const char *m_help = nullptr;
    AdmissionVerdict (*m_admit)(const AdmissionQuery &query) = nullptr;
    /** Workspaces are served by weight; otherwise all wait in one line. */
    bool m_fair = true;
    /** Waiting requests that can no longer finish in time are refused. */
    bool m_dropLate = true;
};
}
