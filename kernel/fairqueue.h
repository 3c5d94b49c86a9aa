#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace knapweedslip
{
/** A waiting request. */
struct QueuedRequest
{
    std::uint64_t m_id = 0;
    std::string m_workspace;
    std::int64_t m_arrivalMs = 0;
    std::int64_t m_deadlineMs = 0;
    /** Relative amount of work; 1 for an ordinary request. */
    double m_cost = 1.0;
};

/**
 * Start-time fair queue with one flow per workspace: workspaces with waiting requests are served in proportion to their weights, and a
 * workspace gains no credit while it is idle. Push and pop cost O(log workspaces).
 */
class FairQueue
{
public:
    /** Adds a request at the end of its workspace's flow, or at the front if @p atFront is true. */
    void push(const QueuedRequest &request, int weight, bool atFront = false);
    /** Returns the first request of each of the next @p maxFlows flows, in the order of service, without removing them. */
    std::vector<QueuedRequest> peek(std::size_t maxFlows) const;
    /** Removes and returns the first request of @p workspace, which must have one, and charges its cost to the flow. */
    QueuedRequest popFrom(const std::string &workspace);
    /** Removes and returns the next request in the order of service, and charges its cost to its flow. Returns nullopt if empty. */
    std::optional<QueuedRequest> pop();
    /** Removes request @p id of @p workspace. Returns false if it is not there. Costs O(length of the flow). */
    bool remove(const std::string &workspace, std::uint64_t id);
    /** Removes and returns all requests whose deadline is before @p deadlineMs. */
    std::vector<QueuedRequest> removeLate(std::int64_t deadlineMs);
    std::size_t size() const;
    /** Returns the number of waiting requests of @p workspace. */
    std::size_t waiting(const std::string &workspace) const;
    /** Returns the sum of the weights of the workspaces that have waiting requests. */
    int activeWeight() const;

private:
    /** Waiting requests of one workspace. */
    struct Flow
    {
        std::deque<QueuedRequest> m_requests;
        /** Virtual time at which the next request of the flow starts. */
        double m_startTag = 0.0;
        int m_weight = 1;
    };

    /** Puts a flow that has become non-empty into the order of service. */
    void activate(const std::string &workspace, Flow &flow);
    void deactivate(const std::string &workspace, const Flow &flow);

    std::map<std::string, Flow> m_flows;
    /** Start tag and workspace of each non-empty flow; the lowest is served next. */
    std::set<std::pair<double, std::string>> m_activeFlows;
    double m_virtualTime = 0.0;
    std::size_t m_size = 0;
    int m_activeWeight = 0;
};
}
