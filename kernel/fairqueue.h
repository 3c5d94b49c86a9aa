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
/** A request that waits. */
struct QueuedRequest
{
    std::uint64_t m_id = 0;
    std::string m_workspace;
    std::int64_t m_arrivalMs = 0;
    std::int64_t m_deadlineMs = 0;
    /** Relative work; 1 for an ordinary request. */
    double m_cost = 1.0;
};

/**
 * Start-time fair queue over workspaces: while several workspaces wait, each is served in proportion to its weight; one that was idle
 * gains no credit for it. Push and pop cost O(log workspaces).
 */
class FairQueue
{
public:
    /** Adds at the end of its workspace's line, or at the front when @p first. */
    void push(const QueuedRequest &request, int weight, bool first = false);
    /** The first requests of up to @p most lines, in order of their turns, left in their places. */
    std::vector<QueuedRequest> turns(std::size_t most) const;
    /** Takes the first request of @p workspace's line, which must not be empty, and charges the line for it. */
    QueuedRequest popFrom(const std::string &workspace);
    /** Takes the request whose turn it is, and charges its line for it. */
    std::optional<QueuedRequest> pop();
    /** Takes out @p id wherever it waits. Costs O(length of that workspace's line). */
    bool remove(const std::string &workspace, std::uint64_t id);
    /** Takes out and returns all requests whose deadline is before @p deadlineMs. */
    std::vector<QueuedRequest> removeLate(std::int64_t deadlineMs);
    std::size_t size() const;
    std::size_t waiting(const std::string &workspace) const;
    /** Sum of the weights of the workspaces that wait. */
    int activeWeight() const;

private:
    struct Line
    {
        std::deque<QueuedRequest> m_requests;
        /** Virtual time at which the line's next request starts. */
        double m_tag = 0.0;
        int m_weight = 1;
    };

    void activate(const std::string &workspace, Line &line);
    void deactivate(const std::string &workspace, const Line &line);

    std::map<std::string, Line> m_lines;
    std::set<std::pair<double, std::string>> m_turns;
    double m_virtualTime = 0.0;
    std::size_t m_size = 0;
    int m_activeWeight = 0;
};
}
