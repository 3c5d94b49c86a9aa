#pragma once

#include "kernel/routetable.h"
#include "net/node.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace knapweedslip
{
/** An edit of the plan: takes the current YAML and returns the next one, or the findings if the edit cannot be made. */
using PlanEdit = std::function<std::variant<std::string, Findings>(const std::string &yaml)>;

/** A request to change the plan: who asks for it, why, and which revision it is based on. */
struct ChangeRequest
{
    std::string m_author;
    std::string m_reason;
    /** The revision that the operator saw. If it is not set, the change is applied to the current revision. */
    std::optional<std::uint64_t> m_baseRevision;
    PlanEdit m_edit;
    bool m_dryRun = false;
};

/** The result of a change that was not refused. */
struct ChangeResult
{
    PlanDocument m_plan;
    /** Index of the configuration that contains the change; 0 for a dry run. */
    std::uint64_t m_viewIndex = 0;
    /** More than half of the daemons have the change, so every quorum contains at least one of them. */
    bool m_accepted = false;
};

/** Why a change was refused. */
struct ChangeRefusal
{
    Error m_error;
    Findings m_findings;
    /** The current revision, 0 if the refusal does not depend on it. */
    std::uint64_t m_currentRevision = 0;
    /** Author of the current revision; set only for a conflict. */
    std::string m_currentAuthor;
};

/**
 * Reads the plan, applies the edit, checks the result and writes it by compare-and-swap. A change is accepted when it is in the store and
 * more than half of the daemons have it. After a write with an unknown outcome, the plan is read again until the outcome is known.
 */
awaitable<std::variant<ChangeResult, ChangeRefusal>> changePlan(Node &node, ChangeRequest planChange, int keptPlans);

/** Returns the stored plan history, newest first. It is empty before the first plan. */
awaitable<Result<std::vector<PlanDocument>>> readPlanHistory(Node &node);
}
