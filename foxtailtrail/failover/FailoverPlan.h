#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <optional>
#include <string_view>
#include <vector>

namespace foxtail {

// How a probe of a backend server ended.
enum class ProbeOutcome : uint8_t {
    Answered,
    // The server's machine refused the connection: its process does not run.
    Refused,
    // No answer in time, or the connection broke: nothing is known about the process.
    Silent,
    // The process runs, but takes no further connection or statement now.
    Full,
};

// "answered", "refused", "silent" or "full".
std::string_view probeOutcomeName(ProbeOutcome);

// What a backend server answered to a probe or to an order to pause.
struct ProbedStatus {
    BackendServerId server;
    ProbeOutcome outcome = ProbeOutcome::Silent;
    bool isPrimary = false;
    Term term;
    // The end of its log, applied or not.
    LogPoint receivedLogPoint;
    // The term for which it has stopped receiving, or term 0.
    Term pausedForTerm;
    bool isDraining = false;
    // Its entry has left the shared list.
    bool isRemoved = false;
    // When it was asked: what it says was true at this time or later.
    TimePoint requestedAt {};
};

// Whether and why a primary has to be replaced.
enum class FailoverCause : uint8_t {
    None,
    // The primary answers to nobody here.
    PrimaryLost,
    // The primary leaves, or has left the list.
    PrimaryLeaving,
    // The primary answers, but its commits reach no replica.
    CommitsStalled,
    // A recorded promotion has not been completed.
    Unfinished,
    // No server of the group leads.
    NoPrimary,
};

std::string_view failoverCauseName(FailoverCause);

// Judges a group after probes of all its servers. The stalled flag says that commits at the primary have had no answer for long.
FailoverCause evaluateFailoverCause(
    const std::vector<ProbedStatus>&, const std::optional<BackendServerId>& leader, bool settled, bool stalled);

// The primary of the newest term among the servers that answered, or null.
const ProbedStatus* newestPrimary(const std::vector<ProbedStatus>&);

// What a VM holds to be the primary of a group.
struct KnownPrimary {
    BackendServerId server;
    bool isSettled = false;
    // The order of the record that names it.
    Term recordTerm;
    // The term in which it leads by its own answers, or term 0 while it is not known.
    Term reportedTerm;
};

// The primary that the probes show in place of the believed one, or null when the belief stands or nothing is proved: an old
// primary that answers while its successor is silent proves nothing, nor does one whose successor is being promoted.
const ProbedStatus* discoverPrimary(const std::vector<ProbedStatus>&, const std::optional<KnownPrimary>&);

// Whether all replicas that answered an order to pause have stopped receiving. An order whose term is not above a replica's own does
// nothing; such a replica counts as full, and the term is raised for the next order.
bool verifyPause(std::vector<ProbedStatus>& replicas, Term& term);

// The choice of a successor after the replicas were told to pause.
struct SuccessorChoice {
    // Nothing while no server may be promoted safely.
    std::optional<BackendServerId> successor;
    // Every server that could hold an acknowledged commit has been asked.
    bool allReplicasAnswered = false;
};

// Chooses the replica with the longest log. The statuses are those of the replicas after the order to pause. A commit is
// acknowledged once `synchronousReplicas` replicas hold it, so a replica that could not be asked may hold one that no other
// has. Then a successor is chosen only if its log reaches the highest position that this VM knows to be acknowledged and
// the caller states that the missing replica has been away long enough to count as lost.
SuccessorChoice chooseSuccessor(const std::vector<ProbedStatus>& replicas, std::optional<LogPoint> acknowledged, bool missingCountAsLost);

// Looks at the choice again after the old primary was told to stop: servers that have joined since the pause may hold commits that it
// acknowledged meanwhile. Returns the server to promote, or nothing when a commit may be at a server that does not answer. The old
// primary is given when it has confirmed that it leads no more.
std::optional<ProbedStatus> confirmSuccessor(
    const ProbedStatus& chosen, const std::vector<ProbedStatus>& newcomers, const std::optional<ProbedStatus>& oldPrimary);

}
