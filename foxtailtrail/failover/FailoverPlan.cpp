#include "foxtailtrail/failover/FailoverPlan.h"

#include <algorithm>
#include <array>

namespace foxtail {

std::string_view probeOutcomeName(ProbeOutcome outcome)
{
    constexpr std::array<std::string_view, 4> names { "answered", "refused", "silent", "full" };
    return names[static_cast<size_t>(outcome)];
}

std::string_view failoverCauseName(FailoverCause cause)
{
    constexpr std::array<std::string_view, 6> names { "none", "primary-lost", "primary-leaving", "commits-stalled", "unfinished",
        "no-primary" };
    return names[static_cast<size_t>(cause)];
}

FailoverCause evaluateFailoverCause(
    const std::vector<ProbedStatus>& statuses, const std::optional<BackendServerId>& leader, bool settled, bool stalled)
{
    if (!leader)
        return FailoverCause::NoPrimary;
    const auto found = std::find_if(statuses.begin(), statuses.end(), [&](const ProbedStatus& status) { return status.server == *leader; });
    if (found == statuses.end())
        return FailoverCause::PrimaryLost;
    const ProbedStatus& primary = *found;
    // A primary that is full works.
    if (primary.outcome == ProbeOutcome::Full)
        return primary.isDraining || primary.isRemoved ? FailoverCause::PrimaryLeaving : FailoverCause::None;
    if (primary.outcome != ProbeOutcome::Answered) {
        const bool othersAnswer = std::any_of(statuses.begin(), statuses.end(),
            [&](const ProbedStatus& status) { return status.server != *leader && status.outcome == ProbeOutcome::Answered; });
        // When nobody answers, this VM is the one that is cut off.
        return othersAnswer ? FailoverCause::PrimaryLost : FailoverCause::None;
    }
    if (!primary.isPrimary)
        return settled ? FailoverCause::PrimaryLost : FailoverCause::Unfinished;
    if (primary.isDraining || primary.isRemoved)
        return FailoverCause::PrimaryLeaving;
    return stalled ? FailoverCause::CommitsStalled : FailoverCause::None;
}

const ProbedStatus* newestPrimary(const std::vector<ProbedStatus>& statuses)
{
    const ProbedStatus* newest = nullptr;
    for (const ProbedStatus& status : statuses) {
        if (status.outcome == ProbeOutcome::Answered && status.isPrimary && (!newest || newest->term < status.term))
            newest = &status;
    }
    return newest;
}

const ProbedStatus* discoverPrimary(const std::vector<ProbedStatus>& statuses, const std::optional<KnownPrimary>& believed)
{
    const ProbedStatus* newest = newestPrimary(statuses);
    if (!newest || !believed)
        return newest;
    if (believed->server == newest->server)
        return believed->isSettled ? nullptr : newest;
    // While a promotion is under way the old primary still leads; only a later promotion ends it.
    if (!believed->isSettled)
        return believed->recordTerm < newest->term ? newest : nullptr;
    const auto own
        = std::find_if(statuses.begin(), statuses.end(), [&](const ProbedStatus& status) { return status.server == believed->server; });
    if (own != statuses.end() && own->outcome == ProbeOutcome::Answered)
        return newest;
    return believed->reportedTerm != Term {} && believed->reportedTerm < newest->term ? newest : nullptr;
}

bool verifyPause(std::vector<ProbedStatus>& replicas, Term& term)
{
    const Term ordered = term;
    bool allPaused = true;
    for (ProbedStatus& replica : replicas) {
        if (replica.outcome != ProbeOutcome::Answered || (replica.pausedForTerm == ordered && !replica.isPrimary))
            continue;
        allPaused = false;
        replica.outcome = ProbeOutcome::Full;
        term = std::max(term, Term { replica.term.value + 1 });
    }
    return allPaused;
}

SuccessorChoice chooseSuccessor(const std::vector<ProbedStatus>& replicas, std::optional<LogPoint> acknowledged, bool missingCountAsLost)
{
    SuccessorChoice choice;
    choice.allReplicasAnswered = true;
    bool liveMissing = false;
    const ProbedStatus* best = nullptr;
    std::optional<LogPoint> highest;
    for (const ProbedStatus& replica : replicas) {
        if (replica.outcome != ProbeOutcome::Answered) {
            choice.allReplicasAnswered = false;
            liveMissing = liveMissing || replica.outcome == ProbeOutcome::Full;
            continue;
        }
        if (!highest || *highest < replica.receivedLogPoint)
            highest = replica.receivedLogPoint;
        // A server that leaves is asked for its log but does not succeed.
        if (replica.isDraining || replica.isRemoved)
            continue;
        if (!best || best->receivedLogPoint < replica.receivedLogPoint)
            best = &replica;
    }
    if (!best)
        return choice;
    // The only holder of the newest commits leaves: the successor has to receive them first.
    if (best->receivedLogPoint < *highest)
        return choice;
    if (acknowledged && best->receivedLogPoint < *acknowledged)
        return choice;
    if (choice.allReplicasAnswered || (missingCountAsLost && !liveMissing))
        choice.successor = best->server;
    return choice;
}

std::optional<ProbedStatus> confirmSuccessor(
    const ProbedStatus& chosen, const std::vector<ProbedStatus>& newcomers, const std::optional<ProbedStatus>& oldPrimary)
{
    ProbedStatus best = chosen;
    bool anySilent = false;
    for (const ProbedStatus& newcomer : newcomers) {
        if (newcomer.outcome != ProbeOutcome::Answered)
            anySilent = true;
        else if (best.receivedLogPoint < newcomer.receivedLogPoint)
            best = newcomer;
    }
    // A server that leaves cannot succeed, and nobody else has what it has.
    if (best.isDraining || best.isRemoved)
        return std::nullopt;
    const bool hasAll = oldPrimary && oldPrimary->outcome == ProbeOutcome::Answered && !oldPrimary->isPrimary
        && oldPrimary->receivedLogPoint <= best.receivedLogPoint;
    if (anySilent && !hasAll)
        return std::nullopt;
    return best;
}

}
