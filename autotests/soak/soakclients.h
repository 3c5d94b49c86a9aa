#pragma once

#include "autotests/soak/soakrules.h"
#include "net/http.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace knapweedslip::soak
{
struct SoakClientSettings
{
    /** Addresses of the daemons, "ip:port". */
    std::vector<std::string> m_daemons;
    std::vector<std::string> m_keys;
    int m_events = 25;
    std::uint64_t m_seed = 1;
    /** Longest pause between two requests of one client, in ms. */
    std::int64_t m_maxPauseMs = 60;
};

/** Begins each Attempt-Id of one run. */
std::string attemptPrefix(std::uint64_t seed);

/**
 * Sends requests one after the other until @p stop is set, on one connection for as long as the daemon keeps it open, also while that daemon is being stopped.
 * What cannot be answered in its time is given up, and a refused request is sent again under another id. Appends what it saw to @p attempts.
 */
awaitable<void> runClient(const SoakClientSettings &settings, int number, const bool &stop, std::vector<AttemptRecord> &attempts);
}
