#pragma once

#include "kernel/placement.h"
#include "net/node.h"

#include <map>
#include <string>
#include <vector>

namespace knapweedslip
{
/** Requests the state of VMs at a fixed interval and keeps the last replies. Must be used on the control thread. */
class Prober
{
public:
    Prober(Node &node, const ControllerSettings &settings);

    /** Replaces the probed VMs of @p domain. The state of a VM is kept unless its address changed. */
    void setTargets(const std::string &domain, const std::vector<VmState> &vms);
    /** Returns the last known state of every VM of @p domain. A VM that has never answered is not alive. */
    std::vector<VmState> states(const std::string &domain) const;
    /** Returns true if every VM of @p domain has answered or has been found dead at least once. */
    bool allProbed(const std::string &domain) const;

private:
    struct Target
    {
        VmState m_state;
        bool m_probed = false;
        bool m_probing = false;
        /** The store lists the VM as leaving. */
        bool m_listedLeaving = false;
        int m_failures = 0;
        /** -1 while requests run or the state is unknown. */
        std::int64_t m_idleSinceMs = -1;
    };
    using Targets = std::map<std::string, Target>;

    awaitable<void> probeLoop();
    awaitable<void> probe(std::string domain, std::string vm);
    void recordFailure(Target &target, bool refused) const;
    static void applyStatus(Target &target, const std::string &body);

    Node &m_node;
    const ControllerSettings &m_settings;
    ConnectionPool m_pool;
    std::map<std::string, Targets> m_domains;
};
}
