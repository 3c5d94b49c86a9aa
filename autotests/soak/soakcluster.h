#pragma once

#include "autotests/soak/soakplan.h"
#include "net/iothreads.h"
#include "standins/hostingengine.h"

#include <memory>
#include <string>
#include <vector>

namespace knapweedslip::soak
{
/** Which stand-ins a run has. */
struct SoakClusterShape
{
    /** First two numbers of all addresses. */
    std::string m_addressPrefix;
    int m_engines = 27;
    /** Engines of one fabric domain, and of one group of each of the two models. */
    int m_domainEngines = 9;
    int m_modelSize = 3;
    int m_largeModelSize = 4;
    /** Upstreams of each of the two plain services. */
    int m_serviceUpstreams = 4;
    /** Share of the answers to orders and requests for reports that engines send twice. */
    double m_copiedControlShare = 0.5;
    standin::HostingEngineTimes m_times;
};

/** The stand-ins of one run, all in this process: the store, engines that serve in groups, and the upstreams of two plain services. */
struct SoakCluster
{
    standin::HostingStore m_store;
    standin::History m_history;
    standin::HostingCluster m_groups;
    standin::PartWords m_partWords;
    std::vector<std::unique_ptr<standin::HostingEngine>> m_upstreams;
    SoakClusterShape m_shape;
    std::int64_t m_configVersion = 0;
};

/** Keys of clients; the second one comes and goes. */
std::vector<std::string> soakKeys();

/** Starts the upstreams that @p cluster's shape names, and writes the first configuration. */
void startUpstreams(SoakCluster &cluster, asio::io_context &io);
/** Writes the next version of the configuration; @p variant chooses what it changes. */
void writeConfig(SoakCluster &cluster, std::uint64_t variant);
/** Applies a disruption of the store or of upstreams, and ends it once its time is over. */
awaitable<void> disturb(SoakCluster &cluster, SoakEvent event);
}
