// Problem: a workspace that sends ten times its share must not make the others wait.
// Approach: start-time fair queueing. Each workspace has a flow with a virtual start tag. The flow with the lowest tag is served next, and
// its tag then rises by cost / weight. A flow that becomes non-empty starts at the current virtual time.
// One shared queue serves in order of arrival, so the largest sender would determine how long everyone waits.

#include "kernel/fairqueue.h"

#include <algorithm>

namespace knapweedslip
{
void FairQueue::activate(const std::string &workspace, Line &line)
{
    line.m_tag = std::max(line.m_tag, m_virtualTime);
    m_turns.insert({line.m_tag, workspace});
    m_activeWeight += line.m_weight;
}

void FairQueue::deactivate(const std::string &workspace, const Line &line)
{
    m_turns.erase({line.m_tag, workspace});
    m_activeWeight -= line.m_weight;
}

void FairQueue::push(const QueuedRequest &request, int weight, bool first)
{
    Line &line = m_lines[request.m_workspace];
    if (line.m_requests.empty()) {
        line.m_weight = std::max(1, weight);
        activate(request.m_workspace, line);
    }
    if (first) {
        line.m_requests.push_front(request);
    } else {
        line.m_requests.push_back(request);
    }
    ++m_size;
}

std::vector<QueuedRequest> FairQueue::turns(std::size_t most) const
{
    std::vector<QueuedRequest> requests;
    for (auto it = m_turns.begin(); it != m_turns.end() && requests.size() < most; ++it) {
        requests.push_back(m_lines.at(it->second).m_requests.front());
    }
    return requests;
}

QueuedRequest FairQueue::popFrom(const std::string &workspace)
{
    Line &line = m_lines[workspace];
    deactivate(workspace, line);
    m_virtualTime = std::max(m_virtualTime, line.m_tag);
    QueuedRequest request = line.m_requests.front();
    line.m_requests.pop_front();
    line.m_tag += request.m_cost / line.m_weight;
    --m_size;
    if (!line.m_requests.empty()) {
        activate(workspace, line);
    }
    return request;
}

std::optional<QueuedRequest> FairQueue::pop()
{
    if (m_turns.empty()) {
        return std::nullopt;
    }
    const std::string workspace = m_turns.begin()->second;
    return popFrom(workspace);
}

bool FairQueue::remove(const std::string &workspace, std::uint64_t id)
{
    const auto line = m_lines.find(workspace);
    if (line == m_lines.end()) {
        return false;
    }
    std::deque<QueuedRequest> &requests = line->second.m_requests;
    const auto it = std::find_if(requests.begin(), requests.end(), [id](const QueuedRequest &request) {
        return request.m_id == id;
    });
    if (it == requests.end()) {
        return false;
    }
    requests.erase(it);
    --m_size;
    if (requests.empty()) {
        deactivate(workspace, line->second);
    }
    return true;
}

std::vector<QueuedRequest> FairQueue::removeLate(std::int64_t deadlineMs)
{
    std::vector<QueuedRequest> late;
    for (const std::pair<const std::string, Line> &entry : m_lines) {
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
    const auto line = m_lines.find(workspace);
    return line == m_lines.end() ? 0 : line->second.m_requests.size();
}

int FairQueue::activeWeight() const
{
    return m_activeWeight;
}
}
