#include "foxtailtrail/failover/ReplacementPlan.h"

#include "foxtailtrail/failover/SuccessorSelection.h"

#include <algorithm>
#include <array>

namespace foxtail {

std::string_view replacementActionName(ReplacementAction action)
{
    constexpr std::array<std::string_view, 4> names { "keep-primary", "hand-over", "replace-lost-primary", "wait-for-successor" };
    return names[static_cast<size_t>(action)];
}

ReplacementPlan planReplacement(const ReplacementSituation& situation)
{
    ReplacementPlan plan;
    const ProbedStatus* primary = findCurrentPrimary(situation.statuses, situation.possiblePrimaries, situation.lastPrimaryTerm);
    if (!primary || primary->server == situation.stalledPrimary)
        return plan;
    plan.primary = *primary;
    if (situation.recordedSuccessor && *situation.recordedSuccessor != primary->server) {
        const auto successor = std::find_if(situation.statuses.begin(), situation.statuses.end(),
            [&](const ProbedStatus& status) { return status.server == *situation.recordedSuccessor; });
        if (successor != situation.statuses.end() && successor->outcome == ProbeOutcome::Answered) {
            plan.action = ReplacementAction::HandOver;
            plan.requiredSuccessor = successor->server;
            return plan;
        }
        if (successor != situation.statuses.end() && !isDown(*successor)) {
            plan.action = ReplacementAction::WaitForSuccessor;
            return plan;
        }
    }
    plan.action = primary->isLeaving() ? ReplacementAction::HandOver : ReplacementAction::KeepPrimary;
    return plan;
}

}
