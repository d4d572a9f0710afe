#pragma once

#include "foxtailtrail/failover/FailoverPlan.h"

#include <optional>
#include <set>
#include <vector>

namespace foxtail {

// What is known about the logs of a group before a server is promoted.
struct SuccessorEvidence {
    // The newest status of every server of the group, whatever it was before: replica, old primary, or successor of an unfinished
    // promotion. The servers were paused, or demoted, before they reported.
    std::vector<ProbedStatus> statuses;
    // The servers of which one was the last primary. Empty while nothing is known about it, so that it may have been any.
    std::vector<BackendServerId> possiblePrimaries;
    // The servers that are not promoted, because they could not be. Their logs count.
    std::set<BackendServerId> excluded;
    // The successor of a recorded promotion that may still take effect. It is selected whenever its log is long enough, and no other server
    // is while it may be running but does not answer.
    std::optional<BackendServerId> recordedSuccessor;
    // The primary whose commits reach no replica. It acknowledges none and is not promoted.
    std::optional<BackendServerId> stalledPrimary;
    // The position that the selected server must have received.
    std::optional<LogPoint> requiredLogPoint;
    // Whether all servers of the group are known. Otherwise only the log of the last primary shows what was acknowledged.
    bool isGroupKnown = true;
    // Whether no VM has acknowledged a commit beyond the required position, or can. The servers that do not answer do not matter then.
    bool isEveryCommitKnown = false;
    // Whether the servers that are down have been missing for so long that they count as lost with their logs.
    bool canCountDownServersAsLost = false;
};

// Returns true when a server seems to serve neither VMs nor replicas: its machine refuses connections, or it does not respond to this VM
// and has left. Any other server that does not respond may serve VMs and replicas on its side of a partition, also when its entry has
// lapsed. A network may refuse connections in place of a server that runs, so the observation of one VM is no proof.
bool isDown(const ProbedStatus&);

// Returns the replicas to which a primary that answers can be handed over: they receive, and have received all that the primary held at the
// time of an earlier status. Servers that leave, are excluded or are in an evacuated data centre are not among them.
std::vector<BackendServerId> findCaughtUpReplicas(
    const std::vector<ProbedStatus>&, const ProbedStatus& earlierPrimaryStatus, const std::set<BackendServerId>& excluded);

// Returns the status of the server to promote, or std::nullopt while no server can be promoted safely: a server is promoted only if every
// log that may hold an acknowledged commit is known to be no longer than its own, or is lost.
//
// A commit is acknowledged once the primary and a replica hold it. So a log is long enough if it reaches that of the last primary, which
// was demoted. A replica that is not listed yet may hold commits that no listed one has, so the logs of the replicas count only if the last
// primary does not answer, or if its commits reach no replica. A server that does not answer may hold a commit that no other has; it is
// left out only if it may be the last primary and every other server has answered, or if it counts as lost together with the last primary.
// A server that is full still runs and never counts as lost.
//
// A leaving server, or one in an evacuated data centre, is selected only if no other one can be. It keeps its commits, also those of a
// demoted primary whose chosen successor could not be promoted, until a server that stays has received them and replaces it.
std::optional<ProbedStatus> selectSuccessor(const SuccessorEvidence&);

}
