#pragma once

#include "kernel/placement.h"
#include "net/node.h"

#include <map>
#include <string>
#include <vector>

namespace knapweedslip
{
/** Asks VMs for their state at a fixed rate and remembers the answers. Works on the control thread. */
class Prober
{
public:
    Prober(Node &node, const ControllerSettings &settings);

    /** The VMs to be probed from now on, with their listed places. Others are forgotten. */
    void setTargets(const std::string &domain, const std::vector<VmState> &vms);
    /** What is known of the VMs of @p domain; those not answered yet are missing. */
    std::vector<VmState> states(const std::string &domain) const;
    /** All VMs of the domain were asked at least once. */
    bool complete(const std::string &domain) const;

private:
    struct Target
    {
        VmState m_state;
        bool m_asked = false;
        bool m_busy = false;
        bool m_listedLeaving = false;
        int m_failures = 0;
        std::int64_t m_idleSinceMs = -1;
    };
    using Targets = std::map<std::string, Target>;

    awaitable<void> loop();
    awaitable<void> probe(std::string domain, std::string vm);
    void takeFailure(Target &target, bool refused) const;
    static void takeStatus(Target &target, const std::string &body);

    Node &m_node;
    const ControllerSettings &m_settings;
    ConnectionPool m_pool;
    std::map<std::string, Targets> m_domains;
};
}
