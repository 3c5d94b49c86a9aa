// Problem: a workspace that sends ten times its share must not make the others wait.
// Approach: start-time fair queueing. Each workspace has a flow with a virtual start tag. The flow with the lowest tag is served next, and
// its tag then rises by cost / weight. A flow that becomes non-empty starts at the current virtual time.
// One shared queue serves in order of arrival, so the largest sender would determine how long everyone waits.

#include "kernel/fairqueue.h"

#include <algorithm>

namespace knapweedslip
{
void FairQueue::activate(const std::string &workspace, Flow &flow)
{
    flow.m_startTag = std::max(flow.m_startTag, m_virtualTime);
    m_activeFlows.insert({flow.m_startTag, workspace});
    m_activeWeight += flow.m_weight;
}

void FairQueue::deactivate(const std::string &workspace, const Flow &flow)
{
    m_activeFlows.erase({flow.m_startTag, workspace});
    m_activeWeight -= flow.m_weight;
}

void FairQueue::push(const QueuedRequest &request, int weight, bool atFront)
{
    Flow &flow = m_flows[request.m_workspace];
    if (flow.m_requests.empty()) {
        flow.m_weight = std::max(1, weight);
        activate(request.m_workspace, flow);
    }
    if (atFront) {
        flow.m_requests.push_front(request);
    } else {
        flow.m_requests.push_back(request);
    }
    ++m_size;
}

std::vector<QueuedRequest> FairQueue::peek(std::size_t maxFlows) const
{
    std::vector<QueuedRequest> requests;
    for (auto it = m_activeFlows.begin(); it != m_activeFlows.end() && requests.size() < maxFlows; ++it) {
        requests.push_back(m_flows.at(it->second).m_requests.front());
    }
    return requests;
}

QueuedRequest FairQueue::popFrom(const std::string &workspace)
{
    Flow &flow = m_flows[workspace];
    deactivate(workspace, flow);
    m_virtualTime = std::max(m_virtualTime, flow.m_startTag);
    QueuedRequest request = flow.m_requests.front();
    flow.m_requests.pop_front();
    flow.m_startTag += request.m_cost / flow.m_weight;
    --m_size;
    if (!flow.m_requests.empty()) {
        activate(workspace, flow);
    }
    return request;
}

std::optional<QueuedRequest> FairQueue::pop()
{
    if (m_activeFlows.empty()) {
        return std::nullopt;
    }
    const std::string workspace = m_activeFlows.begin()->second;
    return popFrom(workspace);
}

bool FairQueue::remove(const std::string &workspace, std::uint64_t id)
{
    const auto flow = m_flows.find(workspace);
    if (flow == m_flows.end()) {
        return false;
    }
    std::deque<QueuedRequest> &requests = flow->second.m_requests;
    const auto it = std::find_if(requests.begin(), requests.end(), [id](const QueuedRequest &request) {
        return request.m_id == id;
    });
    if (it == requests.end()) {
        return false;
    }
    requests.erase(it);
    --m_size;
    if (requests.empty()) {
        deactivate(workspace, flow->second);
    }
    return true;
}

std::vector<QueuedRequest> FairQueue::removeLate(std::int64_t deadlineMs)
{
    std::vector<QueuedRequest> late;
    for (const std::pair<const std::string, Flow> &entry : m_flows) {
        for (const QueuedRequest &request : entry.second.m_requests) {
            if (request.m_deadlineMs < deadlineMs) {
                late.push_back(request);
            }
        }
    }
    for (const QueuedRequest &request : late) {
        remove(request.m_workspace, request.m_id);
    }
    return late;
}

std::size_t FairQueue::size() const
{
    return m_size;
}

std::size_t FairQueue::waiting(const std::string &workspace) const
{
    const auto flow = m_flows.find(workspace);
    return flow == m_flows.end() ? 0 : flow->second.m_requests.size();
}

int FairQueue::activeWeight() const
{
    return m_activeWeight;
}
}
