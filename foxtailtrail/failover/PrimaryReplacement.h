#pragma once

#include "foxtailtrail/failover/FailoverPlan.h"
#include "foxtailtrail/failover/FleetEvidence.h"
#include "foxtailtrail/failover/PromotionLock.h"
#include "foxtailtrail/failover/ReplacementPlan.h"
#include "foxtailtrail/failover/ReplacementStep.h"
#include "foxtailtrail/failover/SuccessorSelection.h"

#include <optional>
#include <set>
#include <vector>

namespace foxtail {

// What the VM knows about a group beside the statuses of its servers.
class ReplacementContext {
public:
    virtual ~ReplacementContext() = default;
    virtual const ServerDirectory& directory() const = 0;
    // Returns the term that the last primary itself reported, or term 0 while it is not known.
    virtual Term lastPrimaryTerm() const = 0;
    // Returns when the primary was last known to lead.
    virtual TimePoint primaryLedAt() const = 0;
    // Returns the position that a server must have received to lead: the highest one that contains an acknowledged commit, or may contain
    // one, because a replica has reported it.
    virtual std::optional<LogPoint> requiredLogPoint(TimePoint now) const = 0;
    // Returns what the VMs of the fleet have reported about the commits of the group.
    virtual const FleetEvidence& fleetEvidence() const = 0;
    // Returns true when this VM knew all servers of the group at a time at which the primary led.
    virtual bool isGroupKnown() const = 0;
    // Returns when servers that do not run, and the commits that only they hold, count as lost for good.
    virtual TimePoint missingServersLostAt() const = 0;
};

// Replaces the primary of a group during one turn of the promotion lock. A server is promoted only if every log that may hold an
// acknowledged commit is known to be no longer than its own, or is lost.
//
// The driver carries out one step at a time and reports its result by the function named like the step, which returns the next step. The
// replacement itself has no I/O and no clock.
class PrimaryReplacement {
public:
    struct Settings {
        ServiceName service;
        HeldPromotionLock lock;
        FailoverCause cause = FailoverCause::None;
    };

    PrimaryReplacement(Settings, const ReplacementContext&);

    // Begins with the statuses that showed that the primary has to be replaced.
    ReplacementStep start(const std::vector<ProbedStatus>&, TimePoint now);
    ReplacementStep ordersSent(const std::vector<ProbedStatus>&, TimePoint now);
    ReplacementStep directoryRead(bool hasSucceeded, TimePoint now);
    ReplacementStep decisionRecorded(bool hasSucceeded, TimePoint now);
    ReplacementStep promotionOrdered(PromotionOrderOutcome, TimePoint now);
    ReplacementStep waited(TimePoint now);
    ReplacementStep primarySettled(TimePoint now);
    ReplacementStep lockReleased(TimePoint now);
    // Ends the replacement because the promotion lock is held no longer. Called instead of carrying out a step that needs the lock.
    ReplacementStep lockLost(TimePoint now);
    // Whether the next step may be carried out only while the promotion lock is held.
    bool needsLock() const;

    ReplacementResult result() const { return this->state.result; }
    // Whether a resume command had no reply, so that it may still be executed.
    bool isResumeUnanswered() const { return this->state.isResumeUnanswered; }

    // What the next step is for.
    enum class Phase : uint8_t {
        Examining,
        // Hand-over of a primary that answers.
        PausingOtherReplicas,
        ResumingReplicas,
        CheckingReplicas,
        Demoting,
        CatchingUp,
        FencingAfterDemotion,
        // Replacement of a primary that is lost.
        Pausing,
        StoppingPrimary,
        ReadingDirectory,
        PausingAgain,
        // Promotion.
        Recording,
        WaitingForLeases,
        Ordering,
        AwaitingPrimary,
        // End.
        ResumingAtEnd,
        Releasing,
        DemotingFormerPrimaries,
        Ended,
    };
    // Everything that the next steps depend on, beside the context.
    struct State {
        Phase phase = Phase::Examining;
        ReplacementResult result = ReplacementResult::Running;
        Term term;
        // The newest status of each server, in the order of their ids.
        std::vector<ProbedStatus> statuses;
        // The lost or stalled primaries that were sent the command to stop; they need no pause.
        std::set<BackendServerId> stoppedPrimaries;
        // The servers whose promotion the platform has refused.
        std::set<BackendServerId> excluded;
        // The servers for which the platform has refused every order, so that none of them has led.
        std::set<BackendServerId> neverLed;
        // Whether the record named a successor at the start, which earlier holders of the lock may have ordered.
        bool isEarlierOrderPossible = false;
        std::optional<BackendServerId> stalledPrimary;
        ReplacementPlan plan;
        // When all replicas that answered had stopped receiving.
        TimePoint pausedAt {};
        // When all replicas that answered had first stopped receiving.
        TimePoint firstPausedAt {};
        // Whether the servers that answer do not suffice, so that the VMs have to hold commits back.
        bool needsFleetEvidence = false;
        // When the current wait for a condition ends without it.
        TimePoint giveUpAt {};
        // When the promotion may be ordered.
        TimePoint orderAt {};
        // The decision, and later the settled record of the primary.
        std::optional<PrimaryRecord> record;
        // The primaries that were replaced, which are demoted at the end, and the term of that command.
        std::vector<BackendServerId> formerPrimaries;
        Term formerTerm;
        // Whether the platform has accepted an order, or may have.
        bool mayOrderTakeEffect = false;
        bool isResumeUnanswered = false;
    };
    const State& currentState() const { return this->state; }

private:
    ReplacementStep examine(TimePoint now);
    ReplacementStep examineAgain(TimePoint now);
    ReplacementStep examined(const std::vector<ProbedStatus>&, TimePoint now);
    ReplacementStep beginHandOver(TimePoint now);
    ReplacementStep otherReplicasPaused(const std::vector<ProbedStatus>&, TimePoint now);
    ReplacementStep replicasResumed(const std::vector<ProbedStatus>&, TimePoint now);
    ReplacementStep replicasChecked(const std::vector<ProbedStatus>&, TimePoint now);
    ReplacementStep primaryDemoted(const std::vector<ProbedStatus>&, TimePoint now);
    ReplacementStep catchingUp(const std::vector<ProbedStatus>&, TimePoint now);
    ReplacementStep fencedAfterDemotion(const std::vector<ProbedStatus>&, TimePoint now);
    ReplacementStep replicasPaused(const std::vector<ProbedStatus>&, TimePoint now);
    ReplacementStep primaryStopped(const std::vector<ProbedStatus>&, TimePoint now);
    ReplacementStep readDirectory();
    ReplacementStep pausedAgain(const std::vector<ProbedStatus>&, TimePoint now);
    ReplacementStep decide(const ProbedStatus& successor, TimePoint now);
    ReplacementStep orderPromotion(TimePoint now);
    ReplacementStep successorProbed(const std::vector<ProbedStatus>&, TimePoint now);
    ReplacementStep keepPrimary(TimePoint now);
    ReplacementStep settle(const PrimaryRecord&);
    ReplacementStep giveUp(ReplacementResult, TimePoint now);
    ReplacementStep resumeReplicas(TimePoint now);
    ReplacementStep resumedAtEnd(const std::vector<ProbedStatus>&, TimePoint now);
    ReplacementStep release();
    ReplacementStep formerPrimariesDemoted(const std::vector<ProbedStatus>&, TimePoint now);

    ReplacementStep send(Phase, std::vector<ReplicationOrder>);
    ReplacementStep waitUntil(Phase, TimePoint);
    std::vector<ReplicationOrder> ordersTo(const std::vector<BackendServerId>&, ReplicationCommand) const;
    std::vector<BackendServerId> members() const;
    // Returns the members that answered, except one, at the last status.
    std::vector<BackendServerId> answeringMembersExcept(const BackendServerId&) const;
    ReplacementPlan makePlan() const;
    std::optional<BackendServerId> recordedSuccessor() const;
    // Returns the start point of the record, or an empty optional.
    std::optional<LogPoint> knownStartPoint() const;
    // Returns the log with which a server that leads now took over: what it held while it was paused. Empty when it was not paused, or when
    // it leads in the term of that log.
    std::optional<LogPoint> startPointOf(const ProbedStatus& newPrimary) const;
    std::vector<BackendServerId> possiblePrimaries() const;
    std::optional<ProbedStatus> selectFrom(TimePoint now) const;
    SuccessorEvidence makeEvidence(TimePoint now) const;
    // Returns true when a commit has been acknowledged since the replicas stopped receiving, so that a replica receives which this VM
    // does not know or reach.
    bool isPrimaryServingOthers() const;
    bool hasCaughtUp(const std::vector<ProbedStatus>&, const ProbedStatus& primary) const;
    bool isLockUsable(TimePoint now) const { return now < this->settings.lock.usableUntil; }
    // Returns true when the server is known to be the primary and has not responded to the last command.
    bool isUnresponsivePrimary(const BackendServerId&) const;
    // Merges the replies to pause commands. Returns false when a replica that answered has not stopped receiving; the term is raised then
    // if it was too low.
    bool mergePaused(const std::vector<ProbedStatus>&);
    // Replaces the statuses of servers that have newer ones, and adds those of further servers.
    void merge(const std::vector<ProbedStatus>&);

    using ReplyHandler = ReplacementStep (PrimaryReplacement::*)(const std::vector<ProbedStatus>&, TimePoint now);
    struct PhaseHandler {
        Phase phase;
        ReplyHandler handler;
    };
    static const std::vector<PhaseHandler>& phaseHandlers();

    Settings settings;
    const ReplacementContext* context;
    State state;
};

}
