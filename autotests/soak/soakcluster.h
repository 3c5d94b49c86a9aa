#pragma once

#include "autotests/soak/soakplan.h"
#include "net/iothreads.h"
#include "standins/hostingengine.h"

#include <memory>
#include <string>
#include <vector>

namespace knapweedslip::soak
{
/** The stand-ins of one run, all in this process: the store, engines that serve in groups, and the upstreams of two plain services. */
struct SoakCluster
{
    standin::HostingStore m_store;
    standin::History m_history;
    standin::HostingCluster m_groups;
    standin::PartWords m_partWords;
    std::vector<std::unique_ptr<standin::HostingEngine>> m_upstreams;
    std::int64_t m_configVersion = 0;
};

struct SoakClusterShape
{
    /** First two numbers of all addresses. */
    std::string m_addressPrefix;
    int m_engines = 27;
    /** Upstreams of each of the two plain services. */
    int m_serviceUpstreams = 4;
    standin::HostingEngineTimes m_times;
};

/** Keys of clients; the second one comes and goes. */
std::vector<std::string> soakKeys();

/** Starts the upstreams and writes the first configuration. */
void startUpstreams(SoakCluster &cluster, asio::io_context &io, const SoakClusterShape &shape);
/** Writes the next version of the configuration; @p variant chooses what it changes. */
void writeConfig(SoakCluster &cluster, std::uint64_t variant);
/** Applies a disruption of the store or of upstreams, and ends it once its time is over. */
awaitable<void> disturb(SoakCluster &cluster, SoakEvent event);
}
