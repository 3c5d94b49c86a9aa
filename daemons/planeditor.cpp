// Problem: operators change the plan at the same time, and the reply to a write may be lost after the write took effect.
// Approach: each change has a unique write id. After a write with an unknown outcome the plan is read until the id is found (the write took
// effect) or the index has changed without it (it did not take effect and never will). An outdated base revision is a conflict.
// Writing again without reading could undo another operator's change. Reporting an error would be wrong if the change is in force.

#include "daemons/planeditor.h"

#include "net/logging.h"

#include <algorithm>

namespace knapweedslip
{
namespace
{
constexpr int MaxWriteAttempts = 16;
constexpr std::int64_t ResolveTimeoutMs = 10'000;
constexpr std::int64_t ResolvePauseMs = 100;
constexpr std::int64_t MajorityTimeoutMs = 4'000;
constexpr std::int64_t MajorityPollMs = 10;

struct StoredPlan
{
    std::uint64_t m_modifyIndex = 0;
    std::vector<PlanDocument> m_history;
};

awaitable<Result<StoredPlan>> readStored(Node &node)
{
    const Result<StoreValue> value = co_await storeRead(node.store(), PlanKey);
    if (failed(value)) {
        co_return errorOf(value);
    }
    StoredPlan stored;
    stored.m_modifyIndex = valueOf(value).m_modifyIndex;
    if (valueOf(value).m_found) {
        Result<std::vector<PlanDocument>> history = decodePlanHistory(valueOf(value).m_value);
        if (failed(history)) {
            co_return errorOf(history);
        }
        stored.m_history = std::move(valueOf(history));
    }
    co_return stored;
}

ChangeRefusal makeRefusal(const Error &error)
{
    return ChangeRefusal{error, {}, 0, {}};
}

std::variant<PlanDocument, ChangeRefusal> makeNextDocument(const StoredPlan &stored, const ChangeRequest &planChange)
{
    const PlanDocument current = stored.m_history.empty() ? PlanDocument{} : stored.m_history.front();
    if (planChange.m_baseRevision && *planChange.m_baseRevision != current.m_revision) {
        const std::string detail = "revision " + std::to_string(current.m_revision) + " by " + current.m_author + " (" + current.m_reason + ") is in force";
        return ChangeRefusal{Error{ErrorCode::Conflict, detail}, {}, current.m_revision, current.m_author};
    }
    std::variant<std::string, Findings> yaml = planChange.m_edit(current.m_sheet);
    if (const Findings *findings = std::get_if<Findings>(&yaml)) {
        return ChangeRefusal{Error{ErrorCode::InvalidPlan, describe(*findings)}, *findings, current.m_revision, {}};
    }
    const std::variant<Plan, Findings> plan = parsePlan(std::get<std::string>(yaml), "plan");
    if (const Findings *findings = std::get_if<Findings>(&plan)) {
        return ChangeRefusal{Error{ErrorCode::InvalidPlan, describe(*findings)}, *findings, current.m_revision, {}};
    }
    PlanDocument next;
    next.m_revision = current.m_revision + 1;
    next.m_writeId = toHex(randomId()) + toHex(randomId());
    next.m_author = planChange.m_author;
    next.m_reason = planChange.m_reason;
    next.m_unixSeconds = unixSeconds();
    next.m_sheet = std::move(std::get<std::string>(yaml));
    return next;
}

enum class WriteOutcome {
    Applied,
    NotApplied,
    Unknown,
};

/**
 * Determines whether a write with an unknown outcome took effect, and repeats it while the index is still @p baseIndex. Returns Unknown if the
 * store did not tell within ResolveTimeoutMs.
 */
awaitable<WriteOutcome> resolveWriteOutcome(Node &node, std::string writeId, std::uint64_t baseIndex, std::string value)
{
    const std::int64_t deadlineMs = steadyMs() + ResolveTimeoutMs;
    while (steadyMs() < deadlineMs) {
        const Result<StoredPlan> stored = co_await readStored(node);
        if (!failed(stored)) {
            const std::vector<PlanDocument> &history = valueOf(stored).m_history;
            const bool found = std::any_of(history.begin(), history.end(), [&](const PlanDocument &document) {
                return document.m_writeId == writeId;
            });
            if (found) {
                co_return WriteOutcome::Applied;
            }
            if (valueOf(stored).m_modifyIndex != baseIndex) {
                co_return WriteOutcome::NotApplied;
            }
            // Repeats the same write on the same base index, so at most one of the two can take effect.
            const Result<CasOutcome> again = co_await storeWrite(node.store(), PlanKey, value, baseIndex);
            if (!failed(again) && valueOf(again) == CasOutcome::Written) {
                co_return WriteOutcome::Applied;
            }
        }
        co_await sleepFor(ResolvePauseMs);
    }
    co_return WriteOutcome::Unknown;
}

/** Updates this node's configuration from the store and returns its index, which includes the change. */
awaitable<std::uint64_t> refreshOwnView(Node &node)
{
    const Result<DocumentDelta> delta = co_await storeWatch(node.store(), "knapweedslip/config/", 0, 0);
    if (!failed(delta)) {
        node.updateView(valueOf(delta));
    }
    co_return node.view().m_index;
}

/** Waits until more than half of the daemons report that they have @p index. Returns false after MajorityTimeoutMs. */
awaitable<bool> waitForMajority(Node &node, std::uint64_t index)
{
    const std::int64_t deadlineMs = steadyMs() + MajorityTimeoutMs;
    while (steadyMs() < deadlineMs) {
        if (hasQuorum(Reachability{node.reachability().m_knownDaemons, countHolders(node.membership(), index), index})) {
            co_return true;
        }
        co_await sleepFor(MajorityPollMs);
    }
    co_return false;
}

std::string encodeNextHistory(const StoredPlan &stored, const PlanDocument &next, int keptPlans)
{
    std::vector<PlanDocument> history{next};
    history.insert(history.end(), stored.m_history.begin(), stored.m_history.end());
    history.resize(std::min(history.size(), static_cast<std::size_t>(keptPlans) + 1));
    return encodePlanHistory(history);
}
}

awaitable<Result<std::vector<PlanDocument>>> readPlanHistory(Node &node)
{
    Result<StoredPlan> stored = co_await readStored(node);
    if (failed(stored)) {
        co_return errorOf(stored);
    }
    co_return std::move(valueOf(stored).m_history);
}

awaitable<std::variant<ChangeResult, ChangeRefusal>> changePlan(Node &node, ChangeRequest planChange, int keptPlans)
{
    for (int tries = 0; tries < MaxWriteAttempts; ++tries) {
        const Result<StoredPlan> stored = co_await readStored(node);
        if (failed(stored)) {
            co_return makeRefusal(errorOf(stored));
        }
        const std::variant<PlanDocument, ChangeRefusal> next = makeNextDocument(valueOf(stored), planChange);
        if (const ChangeRefusal *refused = std::get_if<ChangeRefusal>(&next)) {
            co_return *refused;
        }
        const PlanDocument &document = std::get<PlanDocument>(next);
        if (planChange.m_dryRun) {
            co_return ChangeResult{document, 0, false};
        }
        if (!hasQuorum(node.reachability())) {
            co_return makeRefusal(Error{ErrorCode::NoQuorum, "nothing was changed"});
        }
        const std::string value = encodeNextHistory(valueOf(stored), document, keptPlans);
        const Result<CasOutcome> written = co_await storeWrite(node.store(), PlanKey, value, valueOf(stored).m_modifyIndex);
        if (failed(written) && errorOf(written).m_code == ErrorCode::ConnectFailed) {
            co_return makeRefusal(Error{ErrorCode::StoreUnavailable, "nothing was changed"});
        }
        bool accepted = !failed(written) && valueOf(written) == CasOutcome::Written;
        if (failed(written)) {
            const WriteOutcome outcome = co_await resolveWriteOutcome(node, document.m_writeId, valueOf(stored).m_modifyIndex, value);
            if (outcome == WriteOutcome::Unknown) {
                co_return makeRefusal(Error{ErrorCode::StoreUnclear, "write id " + document.m_writeId + ": check the plan history before trying again"});
            }
            accepted = outcome == WriteOutcome::Applied;
        }
        if (accepted) {
            logEvent(LogEvent::PlanAccepted, {{"revision", std::to_string(document.m_revision)}, {"author", document.m_author}, {"reason", document.m_reason}});
            const std::uint64_t index = co_await refreshOwnView(node);
            const bool hasMajority = co_await waitForMajority(node, index);
            co_return ChangeResult{document, index, hasMajority};
        }
        // Another write came first. The next iteration reports a conflict if there is a base revision, and applies the edit again otherwise.
    }
    co_return makeRefusal(Error{ErrorCode::Conflict, "too many concurrent changes"});
}
}
