#include "foxtailtrail/failover/FailoverPlan.h"

#include "foxtailtrail/replication/PrimaryLease.h"

#include <algorithm>
#include <array>

namespace foxtail {

namespace {

    // A promotion takes about 300 ms from the order until the server is primary.
    constexpr Duration minPromotionDuration = std::chrono::milliseconds(200);

}

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

FailoverCause evaluateFailoverCause(const std::vector<ProbedStatus>& statuses, const std::optional<BackendServerId>& primaryId,
    bool isPrimarySettled, bool areCommitsStalled, bool areLapsedEntriesBack)
{
    if (!primaryId)
        return areLapsedEntriesBack ? FailoverCause::NoPrimary : FailoverCause::None;
    const auto found
        = std::find_if(statuses.begin(), statuses.end(), [&](const ProbedStatus& status) { return status.server == *primaryId; });
    if (found == statuses.end())
        return FailoverCause::PrimaryLost;
    const ProbedStatus& primary = *found;
    // Without a server elsewhere, a primary in an evacuated data centre stays: nothing is sent to it.
    const bool isToHandOver = primary.isEvacuated && std::any_of(statuses.begin(), statuses.end(), [](const ProbedStatus& status) {
        return status.outcome == ProbeOutcome::Answered && !status.isPrimary && !status.isLeaving();
    });
    const bool isLeaving = primary.isDraining || primary.isRemoved || isToHandOver;
    // A primary without free capacity still works.
    if (primary.outcome == ProbeOutcome::Full)
        return isLeaving ? FailoverCause::PrimaryLeaving : FailoverCause::None;
    if (primary.outcome != ProbeOutcome::Answered) {
        const bool hasOtherAnswer = std::any_of(statuses.begin(), statuses.end(),
            [&](const ProbedStatus& status) { return status.server != *primaryId && status.outcome == ProbeOutcome::Answered; });
        // When no server answers, this VM is assumed to be the one that is cut off.
        return hasOtherAnswer ? FailoverCause::PrimaryLost : FailoverCause::None;
    }
    if (!primary.isPrimary)
        return isPrimarySettled ? FailoverCause::PrimaryLost : FailoverCause::Unfinished;
    if (isLeaving)
        return FailoverCause::PrimaryLeaving;
    return areCommitsStalled ? FailoverCause::CommitsStalled : FailoverCause::None;
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

const ProbedStatus* findCurrentPrimary(
    const std::vector<ProbedStatus>& statuses, const std::vector<BackendServerId>& possiblePrimaries, Term lastPrimaryTerm)
{
    const ProbedStatus* newest = newestPrimary(statuses);
    if (!newest)
        return nullptr;
    const bool isNewestTerm = std::all_of(statuses.begin(), statuses.end(),
        [&](const ProbedStatus& status) { return status.outcome != ProbeOutcome::Answered || status.term <= newest->term; });
    const bool mayBeLast = possiblePrimaries.empty()
        || std::find(possiblePrimaries.begin(), possiblePrimaries.end(), newest->server) != possiblePrimaries.end();
    const bool isNewer = lastPrimaryTerm != Term {} && lastPrimaryTerm < newest->term;
    return isNewestTerm && (mayBeLast || isNewer) ? newest : nullptr;
}

std::vector<BackendServerId> supersededPrimaries(const std::vector<ProbedStatus>& statuses)
{
    std::vector<BackendServerId> superseded;
    const ProbedStatus* newest = newestPrimary(statuses);
    for (const ProbedStatus& status : statuses) {
        if (newest && status.outcome == ProbeOutcome::Answered && status.isPrimary && status.term < newest->term)
            superseded.push_back(status.server);
    }
    return superseded;
}

bool isPromotionIncomplete(const std::vector<ProbedStatus>& statuses)
{
    const bool hasPausedReplica = std::any_of(statuses.begin(), statuses.end(), [](const ProbedStatus& status) {
        return status.outcome == ProbeOutcome::Answered && !status.isPrimary && status.pausedForTerm != Term {};
    });
    return hasPausedReplica || !supersededPrimaries(statuses).empty();
}

const ProbedStatus* discoverPrimary(const std::vector<ProbedStatus>& statuses, const std::optional<KnownPrimary>& known)
{
    const ProbedStatus* newest = newestPrimary(statuses);
    if (!newest || !known)
        return newest;
    if (known->server == newest->server)
        return known->isSettled ? nullptr : newest;
    // The old primary still leads while a promotion is in progress, so only a server of a later term proves a new primary.
    if (!known->isSettled)
        return known->recordTerm < newest->term ? newest : nullptr;
    const auto knownStatus
        = std::find_if(statuses.begin(), statuses.end(), [&](const ProbedStatus& status) { return status.server == known->server; });
    if (knownStatus != statuses.end() && knownStatus->outcome == ProbeOutcome::Answered)
        return newest;
    return known->reportedTerm != Term {} && known->reportedTerm < newest->term ? newest : nullptr;
}

bool verifyPause(std::vector<ProbedStatus>& replicas, Term& term)
{
    const Term commandTerm = term;
    bool haveAllPaused = true;
    for (ProbedStatus& replica : replicas) {
        if (replica.outcome != ProbeOutcome::Answered || (replica.pausedForTerm == commandTerm && !replica.isPrimary))
            continue;
        haveAllPaused = false;
        replica.outcome = ProbeOutcome::Full;
        term = std::max(term, Term { replica.term.value + 1 });
    }
    return haveAllPaused;
}

TimePoint earliestPromotionOrder(TimePoint pausedAt) { return pausedAt + primaryLeaseLifetime - minPromotionDuration; }

}
