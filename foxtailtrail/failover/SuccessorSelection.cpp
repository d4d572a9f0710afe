#include "foxtailtrail/failover/SuccessorSelection.h"

#include <algorithm>

namespace foxtail {

namespace {

    const ProbedStatus* findStatus(const std::vector<ProbedStatus>& statuses, const BackendServerId& server)
    {
        const auto found
            = std::find_if(statuses.begin(), statuses.end(), [&](const ProbedStatus& status) { return status.server == server; });
        return found == statuses.end() ? nullptr : &*found;
    }

    // Returns true when the server acknowledges no commit by itself: it answered, and it is no primary.
    bool isReplica(const ProbedStatus& status) { return status.outcome == ProbeOutcome::Answered && !status.isPrimary; }

    // Returns true when the candidate holds every acknowledged commit, supposing that the given server was the last primary.
    bool holdsAllCommitsOf(const BackendServerId& primary, const ProbedStatus& candidate, const SuccessorEvidence& evidence)
    {
        const ProbedStatus* primaryStatus = findStatus(evidence.statuses, primary);
        if (primaryStatus && isReplica(*primaryStatus) && primary != evidence.stalledPrimary)
            return primaryStatus->receivedLogPoint <= candidate.receivedLogPoint;
        if (evidence.isEveryCommitKnown)
            return true;
        if (!evidence.isGroupKnown && !evidence.canCountDownServersAsLost)
            return false;
        const bool isPrimaryLost = evidence.canCountDownServersAsLost && (!primaryStatus || isDown(*primaryStatus));
        // A leaving server that was removed is gone, unless a partition may separate it from this VM together with the primary.
        const bool mayPartitionHideServers = primaryStatus && primaryStatus->outcome == ProbeOutcome::Silent && !isDown(*primaryStatus);
        return std::all_of(evidence.statuses.begin(), evidence.statuses.end(), [&](const ProbedStatus& status) {
            if (status.server == primary)
                return true;
            if (isReplica(status))
                return status.receivedLogPoint <= candidate.receivedLogPoint;
            const bool isGone = status.outcome == ProbeOutcome::Silent && status.isDraining && status.isRemoved && !mayPartitionHideServers;
            return isPrimaryLost && (isDown(status) || isGone);
        });
    }

    // Returns true when the order to promote the recorded successor may take effect, or has, without this VM's knowledge.
    bool mayRecordedSuccessorLead(const SuccessorEvidence& evidence)
    {
        if (!evidence.recordedSuccessor || evidence.excluded.count(*evidence.recordedSuccessor) > 0)
            return false;
        const ProbedStatus* successor = findStatus(evidence.statuses, *evidence.recordedSuccessor);
        return successor && successor->outcome != ProbeOutcome::Answered && !isDown(*successor);
    }

    bool isSafe(const ProbedStatus& candidate, const SuccessorEvidence& evidence)
    {
        if (evidence.requiredLogPoint && candidate.receivedLogPoint < *evidence.requiredLogPoint)
            return false;
        std::vector<BackendServerId> primaries = evidence.possiblePrimaries;
        if (primaries.empty()) {
            // The last primary may be a server that this VM does not know.
            if (!evidence.isGroupKnown && !evidence.isEveryCommitKnown && !evidence.canCountDownServersAsLost)
                return false;
            for (const ProbedStatus& status : evidence.statuses)
                primaries.push_back(status.server);
        }
        return std::all_of(primaries.begin(), primaries.end(),
            [&](const BackendServerId& primary) { return holdsAllCommitsOf(primary, candidate, evidence); });
    }

}

bool isDown(const ProbedStatus& status)
{
    return status.outcome == ProbeOutcome::Refused || (status.outcome == ProbeOutcome::Silent && status.hasLeft);
}

std::vector<BackendServerId> findCaughtUpReplicas(
    const std::vector<ProbedStatus>& statuses, const ProbedStatus& earlierPrimaryStatus, const std::set<BackendServerId>& excluded)
{
    std::vector<BackendServerId> found;
    for (const ProbedStatus& status : statuses) {
        const bool receives = isReplica(status) && status.pausedForTerm == Term {} && status.term == earlierPrimaryStatus.term;
        const bool canLead = !status.isLeaving() && excluded.count(status.server) == 0;
        if (receives && canLead && earlierPrimaryStatus.receivedLogPoint <= status.receivedLogPoint)
            found.push_back(status.server);
    }
    return found;
}

std::optional<ProbedStatus> selectSuccessor(const SuccessorEvidence& evidence)
{
    const ProbedStatus* recorded = nullptr;
    const ProbedStatus* best = nullptr;
    const ProbedStatus* bestLeaving = nullptr;
    for (const ProbedStatus& status : evidence.statuses) {
        if (!isReplica(status) || evidence.excluded.count(status.server) > 0 || status.server == evidence.stalledPrimary)
            continue;
        if (status.server == evidence.recordedSuccessor)
            recorded = &status;
        const ProbedStatus*& candidate = status.isLeaving() ? bestLeaving : best;
        if (!candidate || candidate->receivedLogPoint < status.receivedLogPoint)
            candidate = &status;
    }
    if (mayRecordedSuccessorLead(evidence))
        return std::nullopt;
    for (const ProbedStatus* candidate : { recorded, best, bestLeaving }) {
        if (candidate && isSafe(*candidate, evidence))
            return *candidate;
    }
    return std::nullopt;
}

}
