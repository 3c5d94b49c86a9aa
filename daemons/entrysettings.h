#pragma once

#include "kernel/admitcall.h"
#include "kernel/findings.h"
#include "kernel/windowbudget.h"

#include <cstdint>
#include <string>
#include <variant>

namespace knapweedslip
{
/** Settings of the entry daemon; docs/SETTINGS.md explains each. */
struct EntrySettings
{
    std::string m_name;
    std::string m_availabilityZone;
    /** Address for clients. */
    std::string m_listen;
    /** Address that the balancer asks whether this daemon is ready. */
    std::string m_readinessListen;
    /** Address for metrics and the state dump; empty for none. */
    std::string m_metricsListen;
    /** UDP and TCP address for the other daemons. */
    std::string m_peerListen;
    /** Part of a processor that this daemon may use; the largest daemons do what is done once for many. */
    double m_cpuShare = 1.0;
    std::string m_storeAddress;
    std::int64_t m_storeTimeoutMs = 1'000;
    /** Shortest lease that the store gives. */
    std::int64_t m_leaseMs = 1'000;
    CurrencyLimits m_currency;
    ResendLimits m_resends;
    /** Part of what a cold upstream bears that is used. */
    double m_coldShare = 1.0;
    /** Time from the stop signal to the kill. */
    std::int64_t m_stopGraceMs = 8'000;
    /** An address may lead to another upstream this long after its owner has gone. */
    std::int64_t m_addressReuseMs = 2'000;
};

std::variant<EntrySettings, Findings> readEntrySettings(const std::string &path);
}
