#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace knapweedslip
{
/** A daemon of the deployment, as far as work is given to daemons by their size. */
struct SizedDaemon
{
    std::string m_availabilityZone;
    /** Part of a processor that it may use. */
    double m_cpuShare = 0.0;
};

/** Daemons that did not answer, or knew less than the store would tell, and until when they are not asked again. */
using FailedSources = std::map<std::string, std::int64_t>;

/** What the choice of a source of news depends on. */
struct NewsView
{
    std::string m_self;
    std::string m_availabilityZone;
    /** This daemon keeps the serving groups: it needs news first hand. */
    bool m_leads = false;
    /** All daemons by name; this one need not be among them. */
    std::map<std::string, SizedDaemon> m_daemons;
    FailedSources m_failed;
};

/** Up to this number of daemons each watches the store itself: that is within a tenth of its reading rate (operators' configuration). */
inline constexpr std::size_t FewDaemons = 16;

/** Whether @p a comes before @p b when work is given to the largest daemon; the same on every daemon. */
bool comesFirst(const std::string &task, const std::string &a, const SizedDaemon &sizeOfA, const std::string &b, const SizedDaemon &sizeOfB);

/** Where a daemon takes the store's news from. */
struct NewsChoice
{
    /** Name of a daemon, or empty for the store itself. */
    std::string m_source;
    /** It watches the store for the others of its availability zone as well. */
    bool m_forOthers = false;
};

/**
 * Chooses a daemon to take the store's news from, or the store. One daemon of each availability zone watches for the
 * others there; who finds it failing asks the next, and then the store.
 */
NewsChoice chooseNewsSource(const NewsView &view, std::int64_t nowMs);
}
