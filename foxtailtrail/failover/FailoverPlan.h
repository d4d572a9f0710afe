#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Time.h"

#include <optional>
#include <string_view>
#include <vector>

namespace foxtail {

// The result of a probe of a backend server.
enum class ProbeOutcome : uint8_t {
    Answered,
    // The server's machine refused the connection, so the server process does not run.
    Refused,
    // No reply in time, or the connection broke. The state of the process is unknown.
    Silent,
    // The process runs but accepts no further connection or statement at present.
    Full,
};

// Returns "answered", "refused", "silent" or "full".
std::string_view probeOutcomeName(ProbeOutcome);

// The reply of a backend server to a probe or to a pause command.
struct ProbedStatus {
    BackendServerId server;
    ProbeOutcome outcome = ProbeOutcome::Silent;
    bool isPrimary = false;
    Term term;
    // The end of the received log, applied or not.
    LogPoint receivedLogPoint;
    // The term for which the server has stopped receiving, or term 0.
    Term pausedForTerm;
    bool isDraining = false;
    // Whether the server's entry has been removed from the shared list.
    bool isRemoved = false;
    // Whether the server has left the group: see ServerDirectory::hasLeft.
    bool hasLeft = false;
    // When the request was sent. The reported values were true at this time or later.
    TimePoint requestedAt {};
    // When the reply was received. A server that was told to stop receiving has stopped by this time.
    TimePoint answeredAt {};
    // Whether the server's data centre is evacuated. The server leads only while no other can.
    bool isEvacuated = false;

    // Returns whether the server is not to lead, if another one can.
    bool isLeaving() const { return this->isDraining || this->isRemoved || this->isEvacuated; }
};

// Why a primary has to be replaced, or None.
enum class FailoverCause : uint8_t {
    None,
    // This VM gets no answer from the primary, or the server no longer leads.
    PrimaryLost,
    // The primary is draining, has been removed from the shared list, or is in an evacuated data centre while a server elsewhere answers.
    PrimaryLeaving,
    // The primary answers, but its commits reach no replica.
    CommitsStalled,
    // A recorded promotion has not been completed.
    Unfinished,
    // No primary is known for the group.
    NoPrimary,
};

std::string_view failoverCauseName(FailoverCause);

// Returns why the primary of a group has to be replaced, or None, after probes of all servers of the group. The primary is
// settled when its promotion is complete. Commits are stalled when they have waited at the primary for a long time without
// a reply. A primary that this VM does not know may be one whose entry lapsed while the store was away, until such entries are back.
FailoverCause evaluateFailoverCause(const std::vector<ProbedStatus>&, const std::optional<BackendServerId>& primaryId,
    bool isPrimarySettled, bool areCommitsStalled, bool areLapsedEntriesBack);

// Returns the primary of the newest term among the servers that answered, or null.
const ProbedStatus* newestPrimary(const std::vector<ProbedStatus>&);

// Returns the server that answered as the current primary of the group, or null: it leads in the newest term that any server reports, and
// either it may have been the last primary as far as this VM knows, or its term is newer than that of the last primary. A former primary
// that missed its demotion is not the current one while its successor does not answer.
const ProbedStatus* findCurrentPrimary(
    const std::vector<ProbedStatus>&, const std::vector<BackendServerId>& possiblePrimaries, Term lastPrimaryTerm);

// Returns the servers that answered as primaries of an older term than the newest primary that answered. Such a server missed
// its demotion.
std::vector<BackendServerId> supersededPrimaries(const std::vector<ProbedStatus>&);

// Returns true when commands of an ended promotion have not reached their servers: a replica is still paused, or a former primary still
// leads. Only the holder of the promotion lock can be sure that no running promotion relies on the pause, or counts the former primary as
// lost.
bool isPromotionIncomplete(const std::vector<ProbedStatus>&);

// The primary of a group as this VM knows it.
struct KnownPrimary {
    BackendServerId server;
    bool isSettled = false;
    // The term of the record that names the server. It orders the records.
    Term recordTerm;
    // The term in which the server leads according to its own reports, or term 0 while unknown.
    Term reportedTerm;
};

// Returns the primary that the probes prove, if it changes what this VM knows, or null. An old primary that answers is no
// proof while its successor is silent or is being promoted.
const ProbedStatus* discoverPrimary(const std::vector<ProbedStatus>&, const std::optional<KnownPrimary>&);

// Returns whether all replicas that answered a pause command have stopped receiving. A pause command has no effect on a
// replica whose own term is not below the term of the command. Such a replica is marked as full, so that it cannot count as
// lost, and the term is raised for the next command.
bool verifyPause(std::vector<ProbedStatus>& replicas, Term& term);

// Returns when the promotion may be ordered: it then takes effect after the leases of all VMs on the old primary have expired. An old
// primary whose process did not run is no exception, because it may answer again, with its log, before they have.
TimePoint earliestPromotionOrder(TimePoint pausedAt);

}
