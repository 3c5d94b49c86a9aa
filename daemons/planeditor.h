#pragma once

#include "kernel/routetable.h"
#include "net/node.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace knapweedslip
{
/** A change of the plan: takes the sheet in force and returns the next one or its findings. */
using SheetEdit = std::function<std::variant<std::string, Findings>(const std::string &sheet)>;

/** Who asks for a change, why, and on what it is based. */
struct ChangeOrder
{
    std::string m_author;
    std::string m_reason;
    /** Revision the operator saw; without it the change is applied to whatever is in force. */
    std::optional<std::uint64_t> m_baseRevision;
    SheetEdit m_edit;
    bool m_dryRun = false;
};

/** What became of a change. */
struct ChangeResult
{
    PlanDocument m_plan;
    /** Index of the configuration at which it is in force; 0 for a dry run. */
    std::uint64_t m_viewIndex = 0;
    /** More than half of the daemons hold it, so that every set of daemons with a quorum holds one that does. */
    bool m_accepted = false;
};

/** Why a change was refused. */
struct ChangeRefusal
{
    Error m_error;
    Findings m_findings;
    /** Revision in force, for a conflict. */
    std::uint64_t m_currentRevision = 0;
    std::string m_currentAuthor;
};

/**
 * Reads the plan, edits, checks and writes it by compare-and-swap. "Accepted" means: it is in the store, and more than half of the daemons
 * hold it. An unclear write is read back until it is known to have taken effect or not.
 */
awaitable<std::variant<ChangeResult, ChangeRefusal>> changePlan(Node &node, ChangeOrder order, int keptPlans);

/** The plan history as stored, newest first; empty before the first plan. */
awaitable<Result<std::vector<PlanDocument>>> readPlanHistory(Node &node);
}
