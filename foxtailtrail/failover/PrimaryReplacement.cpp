#include "foxtailtrail/failover/PrimaryReplacement.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace foxtail {

namespace {

    constexpr Duration retryDelay = std::chrono::milliseconds(100);
    // The time from the demotion of a primary until the promotion order: commands to the servers, commits in flight, the record of the
    // decision and the leases on the primary.
    constexpr Duration minTimeForHandOver = std::chrono::milliseconds(1200);
    // Commits that a demoted primary has sent reach its replicas within this time.
    constexpr Duration catchUpTimeout = std::chrono::milliseconds(200);
    constexpr Duration catchUpPollInterval = std::chrono::milliseconds(10);
    constexpr Duration statusPollInterval = std::chrono::milliseconds(40);
    constexpr Duration newPrimaryTimeout = std::chrono::milliseconds(1500);

    bool isPaused(const ProbedStatus& status) { return status.outcome == ProbeOutcome::Answered && status.pausedForTerm != Term {}; }

    bool hasAnswered(const ProbedStatus& status) { return status.outcome == ProbeOutcome::Answered; }

    bool hasSilent(const std::vector<ProbedStatus>& statuses)
    {
        return std::any_of(
            statuses.begin(), statuses.end(), [](const ProbedStatus& status) { return status.outcome == ProbeOutcome::Silent; });
    }

}

PrimaryReplacement::PrimaryReplacement(Settings replacementSettings, const ReplacementContext& replacementContext)
    : settings(std::move(replacementSettings))
    , context(&replacementContext)
{
}

ReplacementStep PrimaryReplacement::start(const std::vector<ProbedStatus>& statuses, TimePoint now)
{
    Term term = this->context->lastPrimaryTerm();
    for (const ProbedStatus& status : statuses)
        term = std::max({ term, status.term, status.pausedForTerm });
    if (const PrimaryRecord* record = this->context->directory().findPrimaryRecord(this->settings.service))
        term = std::max(term, record->term);
    this->state.term = Term { term.value + 1 };
    const std::optional<PrimaryView> primary = this->context->directory().findPrimary(this->settings.service);
    if (this->settings.cause == FailoverCause::CommitsStalled && primary)
        this->state.stalledPrimary = primary->server;
    this->state.isEarlierOrderPossible = this->recordedSuccessor().has_value();
    this->merge(statuses);
    return this->examine(now);
}

const std::vector<PrimaryReplacement::PhaseHandler>& PrimaryReplacement::phaseHandlers()
{
    static const std::vector<PhaseHandler> handlers {
        { Phase::Examining, &PrimaryReplacement::examined },
        { Phase::PausingOtherReplicas, &PrimaryReplacement::otherReplicasPaused },
        { Phase::ResumingReplicas, &PrimaryReplacement::replicasResumed },
        { Phase::CheckingReplicas, &PrimaryReplacement::replicasChecked },
        { Phase::Demoting, &PrimaryReplacement::primaryDemoted },
        { Phase::CatchingUp, &PrimaryReplacement::catchingUp },
        { Phase::FencingAfterDemotion, &PrimaryReplacement::fencedAfterDemotion },
        { Phase::Pausing, &PrimaryReplacement::replicasPaused },
        { Phase::StoppingPrimary, &PrimaryReplacement::primaryStopped },
        { Phase::PausingAgain, &PrimaryReplacement::pausedAgain },
        { Phase::AwaitingPrimary, &PrimaryReplacement::successorProbed },
        { Phase::ResumingAtEnd, &PrimaryReplacement::resumedAtEnd },
        { Phase::DemotingFormerPrimaries, &PrimaryReplacement::formerPrimariesDemoted },
    };
    return handlers;
}

ReplacementStep PrimaryReplacement::ordersSent(const std::vector<ProbedStatus>& statuses, TimePoint now)
{
    const auto& handlers = phaseHandlers();
    const auto found
        = std::find_if(handlers.begin(), handlers.end(), [this](const PhaseHandler& each) { return each.phase == this->state.phase; });
    assert(found != handlers.end());
    return (this->*found->handler)(statuses, now);
}

ReplacementStep PrimaryReplacement::waited(TimePoint now)
{
    if (this->state.phase == Phase::WaitingForLeases)
        return this->orderPromotion(now);
    if (this->state.phase == Phase::CatchingUp)
        return this->send(
            Phase::CatchingUp, this->ordersTo(this->answeringMembersExcept(this->state.plan.primary->server), ReplicationCommand::Status));
    if (this->state.phase == Phase::AwaitingPrimary)
        return this->send(Phase::AwaitingPrimary, { { this->state.record->server, ReplicationCommand::Status } });
    if (this->state.phase == Phase::Ordering)
        return this->orderPromotion(now);
    assert(this->state.phase == Phase::Examining);
    return this->send(Phase::Examining, this->ordersTo(this->members(), ReplicationCommand::Status));
}

ReplacementStep PrimaryReplacement::lockLost(TimePoint now)
{
    return this->giveUp(this->state.mayOrderTakeEffect ? ReplacementResult::OrderUnknown : ReplacementResult::LockEnded, now);
}

bool PrimaryReplacement::needsLock() const { return this->state.phase <= Phase::Ordering; }

ReplacementStep PrimaryReplacement::examined(const std::vector<ProbedStatus>& statuses, TimePoint now)
{
    this->state.statuses.clear();
    this->merge(statuses);
    return this->examine(now);
}

ReplacementStep PrimaryReplacement::examine(TimePoint now)
{
    this->state.plan = this->makePlan();
    this->state.stoppedPrimaries.clear();
    const ReplacementPlan& plan = this->state.plan;
    // Without a cause, only the commands of an ended promotion are completed.
    if (plan.action == ReplacementAction::KeepPrimary || this->settings.cause == FailoverCause::None)
        return this->keepPrimary(now);
    if (plan.action == ReplacementAction::HandOver)
        return this->beginHandOver(now);
    if (plan.action == ReplacementAction::WaitForSuccessor)
        return this->examineAgain(now);
    // The servers that answered the status request were not paused then. A primary that has not responded is not waited for.
    std::erase_if(this->state.statuses, hasAnswered);
    std::vector<BackendServerId> paused = this->members();
    std::erase_if(paused, [this](const BackendServerId& server) { return this->isUnresponsivePrimary(server); });
    ReplacementStep step = this->send(Phase::Pausing, this->ordersTo(paused, ReplicationCommand::Pause));
    step.asksFleet = true;
    step.holdsBackCommits = this->state.needsFleetEvidence;
    return step;
}

ReplacementStep PrimaryReplacement::examineAgain(TimePoint now)
{
    if (this->isPrimaryServingOthers())
        return this->giveUp(ReplacementResult::PrimaryServesOthers, now);
    const TimePoint resumedAt = now + retryDelay;
    // A primary that leads goes on to serve, so the next holder of the lock starts with more time.
    const Duration neededTime = this->makePlan().primary ? minTimeForHandOver : Duration { 0 };
    if (!this->isLockUsable(resumedAt + neededTime))
        return this->giveUp(ReplacementResult::NoSuccessor, now);
    return this->waitUntil(Phase::Examining, resumedAt);
}

ReplacementStep PrimaryReplacement::beginHandOver(TimePoint now)
{
    std::vector<BackendServerId> replicas = this->answeringMembersExcept(this->state.plan.primary->server);
    if (this->state.plan.requiredSuccessor) {
        std::erase(replicas, *this->state.plan.requiredSuccessor);
        return this->send(Phase::PausingOtherReplicas, this->ordersTo(replicas, ReplicationCommand::Pause));
    }
    if (!std::any_of(this->state.statuses.begin(), this->state.statuses.end(), isPaused))
        return this->send(Phase::CheckingReplicas, this->ordersTo(replicas, ReplicationCommand::Status));
    if (!this->settings.lock.mayResumeAt(now))
        return this->giveUp(ReplacementResult::LockEnded, now);
    return this->send(Phase::ResumingReplicas, this->ordersTo(replicas, ReplicationCommand::Resume));
}

ReplacementStep PrimaryReplacement::otherReplicasPaused(const std::vector<ProbedStatus>& statuses, TimePoint now)
{
    if (!this->mergePaused(statuses) || !std::all_of(statuses.begin(), statuses.end(), hasAnswered))
        return this->examineAgain(now);
    if (!this->settings.lock.mayResumeAt(now))
        return this->giveUp(ReplacementResult::LockEnded, now);
    return this->send(Phase::ResumingReplicas, { { *this->state.plan.requiredSuccessor, ReplicationCommand::Resume } });
}

ReplacementStep PrimaryReplacement::replicasResumed(const std::vector<ProbedStatus>& statuses, TimePoint)
{
    this->state.isResumeUnanswered = this->state.isResumeUnanswered || hasSilent(statuses);
    return this->send(Phase::CheckingReplicas,
        this->ordersTo(this->answeringMembersExcept(this->state.plan.primary->server), ReplicationCommand::Status));
}

ReplacementStep PrimaryReplacement::replicasChecked(const std::vector<ProbedStatus>& statuses, TimePoint now)
{
    this->merge(statuses);
    if (!this->hasCaughtUp(statuses, *this->state.plan.primary))
        return this->examineAgain(now);
    if (!this->isLockUsable(now + minTimeForHandOver))
        return this->giveUp(ReplacementResult::NoSuccessor, now);
    return this->send(Phase::Demoting, { { this->state.plan.primary->server, ReplicationCommand::Demote } });
}

ReplacementStep PrimaryReplacement::primaryDemoted(const std::vector<ProbedStatus>& statuses, TimePoint now)
{
    this->merge(statuses);
    if (statuses.empty() || !hasAnswered(statuses.front()) || statuses.front().isPrimary) {
        if (!statuses.empty())
            this->state.term = std::max(this->state.term, Term { statuses.front().term.value + 1 });
        return this->examineAgain(now);
    }
    this->state.plan.primary = statuses.front();
    this->state.giveUpAt = now + catchUpTimeout;
    return this->catchingUp({}, now);
}

ReplacementStep PrimaryReplacement::catchingUp(const std::vector<ProbedStatus>& statuses, TimePoint now)
{
    this->merge(statuses);
    if (!this->hasCaughtUp(this->state.statuses, *this->state.plan.primary) && now < this->state.giveUpAt)
        return this->waitUntil(Phase::CatchingUp, now + catchUpPollInterval);
    // A paused replica renews no lease on the demoted primary.
    return this->send(Phase::FencingAfterDemotion,
        this->ordersTo(this->answeringMembersExcept(this->state.plan.primary->server), ReplicationCommand::Pause));
}

ReplacementStep PrimaryReplacement::fencedAfterDemotion(const std::vector<ProbedStatus>& statuses, TimePoint now)
{
    if (!this->mergePaused(statuses) || newestPrimary(statuses))
        return this->examineAgain(now);
    const std::optional<ProbedStatus> successor = this->selectFrom(now);
    return successor ? this->decide(*successor, now) : this->examineAgain(now);
}

ReplacementStep PrimaryReplacement::replicasPaused(const std::vector<ProbedStatus>& statuses, TimePoint now)
{
    if (!this->mergePaused(statuses) || this->makePlan().action != ReplacementAction::ReplaceLostPrimary)
        return this->examineAgain(now);
    if (!this->selectFrom(now)) {
        this->state.needsFleetEvidence = true;
        return this->examineAgain(now);
    }
    for (const ProbedStatus& status : this->state.statuses) {
        if (hasAnswered(status) && status.isPrimary)
            this->state.stoppedPrimaries.insert(status.server);
    }
    if (this->state.stoppedPrimaries.empty())
        return this->readDirectory();
    return this->send(Phase::StoppingPrimary,
        this->ordersTo({ this->state.stoppedPrimaries.begin(), this->state.stoppedPrimaries.end() }, ReplicationCommand::Demote));
}

ReplacementStep PrimaryReplacement::primaryStopped(const std::vector<ProbedStatus>& statuses, TimePoint)
{
    this->merge(statuses);
    return this->readDirectory();
}

ReplacementStep PrimaryReplacement::readDirectory()
{
    this->state.phase = Phase::ReadingDirectory;
    ReplacementStep step;
    step.kind = ReplacementStep::Kind::ReadDirectory;
    return step;
}

// Until now a primary may have acknowledged commits that only a server which has joined received, or a replica whose restart ended its
// pause. So the replicas are paused again, with those that have joined.
ReplacementStep PrimaryReplacement::directoryRead(bool hasSucceeded, TimePoint now)
{
    if (!hasSucceeded)
        return this->examineAgain(now);
    std::vector<ReplicationOrder> orders;
    for (const BackendServerId& server : this->members()) {
        const bool isUnanswered = std::any_of(this->state.statuses.begin(), this->state.statuses.end(),
            [&](const ProbedStatus& status) { return status.server == server && !hasAnswered(status); });
        if (this->isUnresponsivePrimary(server)) {
            orders.push_back({ server, ReplicationCommand::Demote });
            this->state.stoppedPrimaries.insert(server);
        } else if (!isUnanswered && this->state.stoppedPrimaries.count(server) == 0) {
            orders.push_back({ server, ReplicationCommand::Pause });
        }
    }
    return this->send(Phase::PausingAgain, std::move(orders));
}

ReplacementStep PrimaryReplacement::pausedAgain(const std::vector<ProbedStatus>& statuses, TimePoint now)
{
    if (!this->mergePaused(statuses))
        return this->examineAgain(now);
    const std::optional<ProbedStatus> successor = this->selectFrom(now);
    return successor ? this->decide(*successor, now) : this->examineAgain(now);
}

ReplacementStep PrimaryReplacement::decide(const ProbedStatus& successor, TimePoint now)
{
    const ServerDirectory& directory = this->context->directory();
    // Reads at the last primary are not stale when it leads again.
    const bool isLastPrimary = directory.possiblePrimaries(this->settings.service) == std::vector { successor.server };
    this->state.orderAt = isLastPrimary ? now : earliestPromotionOrder(this->state.pausedAt);
    if (!this->isLockUsable(this->state.orderAt))
        return this->giveUp(ReplacementResult::LockEnded, now);
    const std::optional<PrimaryView> primary = directory.findPrimary(this->settings.service);
    const PrimaryRecord* known = directory.findPrimaryRecord(this->settings.service);
    PrimaryRecord record { this->settings.service, this->state.term, successor.server, false };
    record.startPoint = this->knownStartPoint();
    if (primary && primary->isSettled)
        record.predecessor = primary->server;
    else if (known)
        record.predecessor = known->isSettled ? known->server : known->predecessor;
    if (!directory.findPossibleMember(record.predecessor))
        record.predecessor = {};
    record.members = this->members();
    this->state.phase = Phase::Recording;
    this->state.record = record;
    ReplacementStep step;
    step.kind = ReplacementStep::Kind::RecordDecision;
    step.record = record;
    return step;
}

ReplacementStep PrimaryReplacement::decisionRecorded(bool hasSucceeded, TimePoint now)
{
    if (!hasSucceeded)
        return this->examineAgain(now);
    if (this->state.orderAt <= now && !this->state.needsFleetEvidence)
        return this->orderPromotion(now);
    // Recording may have taken so long that the reports of the other VMs count no longer.
    const TimePoint reportsAt = this->state.needsFleetEvidence ? now + retryDelay : now;
    ReplacementStep step = this->waitUntil(Phase::WaitingForLeases, std::max(this->state.orderAt, reportsAt));
    step.asksFleet = true;
    step.holdsBackCommits = this->state.needsFleetEvidence;
    return step;
}

ReplacementStep PrimaryReplacement::orderPromotion(TimePoint now)
{
    // Since the decision, another VM may have reported an acknowledged commit, a promise to hold commits back may have ended, or a server
    // of the group may have been found.
    const std::optional<ProbedStatus> successor = this->selectFrom(now);
    if (!successor || successor->server != this->state.record->server)
        return this->examineAgain(now);
    this->state.phase = Phase::Ordering;
    ReplacementStep step;
    step.kind = ReplacementStep::Kind::OrderPromotion;
    step.record = this->state.record;
    return step;
}

ReplacementStep PrimaryReplacement::promotionOrdered(PromotionOrderOutcome outcome, TimePoint now)
{
    if (outcome == PromotionOrderOutcome::NotRunning) {
        this->state.excluded.insert(this->state.record->server);
        if (!this->state.isEarlierOrderPossible && !this->state.mayOrderTakeEffect)
            this->state.neverLed.insert(this->state.record->server);
        return this->examineAgain(now);
    }
    this->state.mayOrderTakeEffect = true;
    if (outcome == PromotionOrderOutcome::Unknown)
        return this->waitUntil(Phase::Ordering, now + retryDelay);
    this->state.giveUpAt = now + newPrimaryTimeout;
    return this->send(Phase::AwaitingPrimary, { { this->state.record->server, ReplicationCommand::Status } });
}

ReplacementStep PrimaryReplacement::successorProbed(const std::vector<ProbedStatus>& statuses, TimePoint now)
{
    PrimaryRecord record = *this->state.record;
    if (!statuses.empty() && hasAnswered(statuses.front()) && statuses.front().isPrimary) {
        record.term = std::max(record.term, statuses.front().term);
        this->state.formerTerm = record.term;
        if (!record.predecessor.empty() && record.predecessor != record.server)
            this->state.formerPrimaries.push_back(record.predecessor);
        record.predecessor = {};
        record.isSettled = true;
        if (const std::optional<LogPoint> startPoint = this->startPointOf(statuses.front()))
            record.startPoint = startPoint;
        record.members = this->members();
        this->state.result = ReplacementResult::Replaced;
        return this->settle(record);
    }
    if (now < this->state.giveUpAt && this->context->directory().findPossibleMember(record.server))
        return this->waitUntil(Phase::AwaitingPrimary, now + statusPollInterval);
    if (statuses.empty() || isDown(statuses.front())) {
        this->state.excluded.insert(record.server);
        return this->examineAgain(now);
    }
    // The accepted order may still take effect, so no other server is promoted.
    return hasAnswered(statuses.front()) ? this->orderPromotion(now) : this->examineAgain(now);
}

// An unfinished promotion took no effect, the primary answers again, or commands of an ended promotion have not reached their servers.
ReplacementStep PrimaryReplacement::keepPrimary(TimePoint now)
{
    this->state.result = ReplacementResult::PrimaryKept;
    this->state.record.reset();
    this->state.formerPrimaries = supersededPrimaries(this->state.statuses);
    if (const ProbedStatus* newest = newestPrimary(this->state.statuses))
        this->state.formerTerm = newest->term;
    const std::optional<ProbedStatus>& kept = this->state.plan.primary;
    const std::optional<PrimaryView> known = this->context->directory().findPrimary(this->settings.service);
    if (kept && (!known || !known->isSettled || known->server != kept->server))
        return this->settle({ this->settings.service, std::max(this->state.term, kept->term), kept->server, true, {}, this->members(), 0,
            this->knownStartPoint() });
    return this->resumeReplicas(now);
}

ReplacementStep PrimaryReplacement::settle(const PrimaryRecord& record)
{
    this->state.phase = Phase::ResumingAtEnd;
    this->state.record = record;
    ReplacementStep step;
    step.kind = ReplacementStep::Kind::SettlePrimary;
    step.record = record;
    return step;
}

ReplacementStep PrimaryReplacement::primarySettled(TimePoint now) { return this->resumeReplicas(now); }

ReplacementStep PrimaryReplacement::giveUp(ReplacementResult result, TimePoint now)
{
    this->state.result = result;
    this->state.record.reset();
    return this->resumeReplicas(now);
}

// Resumes all servers except the primary while the lock allows it. The next holder of the lock resumes servers that stay paused. An order
// to promote the recorded successor may still take effect, and a commit that it lacks would then be lost, so no other server receives until
// then.
ReplacementStep PrimaryReplacement::resumeReplicas(TimePoint now)
{
    if (!this->settings.lock.mayResumeAt(now))
        return this->release();
    const std::optional<PrimaryView> primary = this->context->directory().findPrimary(this->settings.service);
    std::vector<BackendServerId> replicas = this->members();
    if (const std::optional<BackendServerId> successor = this->recordedSuccessor())
        replicas = { *successor };
    else if (primary)
        std::erase(replicas, primary->server);
    return this->send(Phase::ResumingAtEnd, this->ordersTo(replicas, ReplicationCommand::Resume));
}

ReplacementStep PrimaryReplacement::resumedAtEnd(const std::vector<ProbedStatus>& statuses, TimePoint)
{
    this->state.isResumeUnanswered = this->state.isResumeUnanswered || hasSilent(statuses);
    return this->release();
}

ReplacementStep PrimaryReplacement::release()
{
    this->state.phase = Phase::Releasing;
    ReplacementStep step;
    step.kind = ReplacementStep::Kind::ReleaseLock;
    step.record = this->state.record;
    return step;
}

ReplacementStep PrimaryReplacement::lockReleased(TimePoint now)
{
    if (this->state.formerPrimaries.empty())
        return this->formerPrimariesDemoted({}, now);
    this->state.term = this->state.formerTerm;
    return this->send(Phase::DemotingFormerPrimaries, this->ordersTo(this->state.formerPrimaries, ReplicationCommand::Demote));
}

ReplacementStep PrimaryReplacement::formerPrimariesDemoted(const std::vector<ProbedStatus>&, TimePoint)
{
    this->state.phase = Phase::Ended;
    return {};
}

ReplacementStep PrimaryReplacement::send(Phase phase, std::vector<ReplicationOrder> orders)
{
    this->state.phase = phase;
    ReplacementStep step;
    step.kind = ReplacementStep::Kind::SendOrders;
    step.orders = std::move(orders);
    step.term = this->state.term;
    return step;
}

ReplacementStep PrimaryReplacement::waitUntil(Phase phase, TimePoint time)
{
    this->state.phase = phase;
    ReplacementStep step;
    step.kind = ReplacementStep::Kind::Wait;
    step.waitUntil = time;
    return step;
}

std::vector<ReplicationOrder> PrimaryReplacement::ordersTo(const std::vector<BackendServerId>& servers, ReplicationCommand command) const
{
    std::vector<ReplicationOrder> orders;
    orders.reserve(servers.size());
    for (const BackendServerId& server : servers)
        orders.push_back({ server, command });
    return orders;
}

std::vector<BackendServerId> PrimaryReplacement::members() const
{
    std::vector<BackendServerId> members;
    for (const ServerEntry* entry : this->context->directory().possibleMembers(this->settings.service, this->context->primaryLedAt()))
        members.push_back(entry->id);
    std::sort(members.begin(), members.end());
    return members;
}

std::vector<BackendServerId> PrimaryReplacement::answeringMembersExcept(const BackendServerId& excepted) const
{
    std::vector<BackendServerId> answering = this->members();
    std::erase_if(answering, [&](const BackendServerId& server) {
        return server == excepted
            || std::none_of(this->state.statuses.begin(), this->state.statuses.end(), [&](const ProbedStatus& status) {
                   return status.server == server && (hasAnswered(status) || status.outcome == ProbeOutcome::Full);
               });
    });
    return answering;
}

ReplacementPlan PrimaryReplacement::makePlan() const
{
    return planReplacement({ this->state.statuses, this->possiblePrimaries(), this->context->lastPrimaryTerm(), this->state.stalledPrimary,
        this->recordedSuccessor() });
}

std::optional<BackendServerId> PrimaryReplacement::recordedSuccessor() const
{
    const ServerDirectory& directory = this->context->directory();
    const PrimaryRecord* record = directory.findPrimaryRecord(this->settings.service);
    if (!record || record->isSettled || !directory.findPossibleMember(record->server))
        return std::nullopt;
    const std::optional<PrimaryView> primary = directory.findPrimary(this->settings.service);
    const bool hasReported = primary && primary->isSettled && primary->server == record->server;
    return hasReported ? std::nullopt : std::optional(record->server);
}

std::optional<LogPoint> PrimaryReplacement::knownStartPoint() const
{
    const PrimaryRecord* record = this->context->directory().findPrimaryRecord(this->settings.service);
    return record ? record->startPoint : std::nullopt;
}

std::optional<LogPoint> PrimaryReplacement::startPointOf(const ProbedStatus& newPrimary) const
{
    const auto paused = std::find_if(this->state.statuses.begin(), this->state.statuses.end(),
        [&](const ProbedStatus& status) { return status.server == newPrimary.server && isPaused(status); });
    // A primary whose promotion changed nothing goes on in its own term.
    if (paused == this->state.statuses.end() || newPrimary.term <= paused->receivedLogPoint.term)
        return std::nullopt;
    return paused->receivedLogPoint;
}

std::vector<BackendServerId> PrimaryReplacement::possiblePrimaries() const
{
    std::vector<BackendServerId> possible = this->context->directory().possiblePrimaries(this->settings.service);
    std::erase_if(possible, [this](const BackendServerId& server) { return this->state.neverLed.count(server) > 0; });
    return possible;
}

SuccessorEvidence PrimaryReplacement::makeEvidence(TimePoint now) const
{
    SuccessorEvidence evidence;
    evidence.statuses = this->state.statuses;
    for (ProbedStatus& status : evidence.statuses) {
        status.isRemoved = this->context->directory().isRemoved(status.server);
        status.hasLeft = this->context->directory().hasLeft(status.server, this->context->primaryLedAt());
    }
    evidence.possiblePrimaries = this->possiblePrimaries();
    evidence.excluded = this->state.excluded;
    evidence.recordedSuccessor = this->recordedSuccessor();
    evidence.stalledPrimary = this->state.stalledPrimary;
    evidence.requiredLogPoint = this->context->requiredLogPoint(now);
    evidence.isGroupKnown = this->context->isGroupKnown();
    return evidence;
}

std::optional<ProbedStatus> PrimaryReplacement::selectFrom(TimePoint now) const
{
    if (this->isPrimaryServingOthers())
        return std::nullopt;
    SuccessorEvidence evidence = this->makeEvidence(now);
    if (std::optional<ProbedStatus> successor = selectSuccessor(evidence))
        return successor;
    const FleetEvidence& fleet = this->context->fleetEvidence();
    if (fleet.isEveryCommitKnown(now)) {
        evidence.requiredLogPoint = std::max(evidence.requiredLogPoint, fleet.highestPossible(this->knownStartPoint()));
        evidence.isEveryCommitKnown = true;
        return selectSuccessor(evidence);
    }
    if (now < this->context->missingServersLostAt())
        return std::nullopt;
    evidence.canCountDownServersAsLost = true;
    return selectSuccessor(evidence);
}

bool PrimaryReplacement::isPrimaryServingOthers() const
{
    return this->state.firstPausedAt != TimePoint {} && this->context->fleetEvidence().hasCommitAfter(this->state.firstPausedAt);
}

bool PrimaryReplacement::hasCaughtUp(const std::vector<ProbedStatus>& statuses, const ProbedStatus& primary) const
{
    const std::vector<BackendServerId> replicas = findCaughtUpReplicas(statuses, primary, this->state.excluded);
    const std::optional<BackendServerId>& required = this->state.plan.requiredSuccessor;
    return required ? std::find(replicas.begin(), replicas.end(), *required) != replicas.end() : !replicas.empty();
}

bool PrimaryReplacement::isUnresponsivePrimary(const BackendServerId& server) const
{
    return this->context->directory().possiblePrimaries(this->settings.service) == std::vector { server }
    && std::any_of(this->state.statuses.begin(), this->state.statuses.end(),
        [&](const ProbedStatus& status) { return status.server == server && status.outcome == ProbeOutcome::Silent; });
}

bool PrimaryReplacement::mergePaused(const std::vector<ProbedStatus>& statuses)
{
    const Term commandTerm = this->state.term;
    std::vector<ProbedStatus> replicas;
    for (const ProbedStatus& status : statuses) {
        if (!hasAnswered(status))
            continue;
        this->state.pausedAt = std::max(this->state.pausedAt, status.answeredAt);
        if (!status.isPrimary && this->state.stoppedPrimaries.count(status.server) == 0)
            replicas.push_back(status);
        else if (status.isPrimary && commandTerm <= status.term)
            this->state.term = std::max(this->state.term, Term { status.term.value + 1 });
    }
    const bool haveAllPaused = verifyPause(replicas, this->state.term);
    this->merge(statuses);
    this->merge(replicas);
    if (!haveAllPaused || this->state.term != commandTerm)
        return false;
    if (this->state.firstPausedAt == TimePoint {})
        this->state.firstPausedAt = this->state.pausedAt;
    return true;
}

void PrimaryReplacement::merge(const std::vector<ProbedStatus>& statuses)
{
    for (const ProbedStatus& status : statuses) {
        const auto known = std::lower_bound(this->state.statuses.begin(), this->state.statuses.end(), status.server,
            [](const ProbedStatus& each, const BackendServerId& server) { return each.server < server; });
        if (known != this->state.statuses.end() && known->server == status.server)
            *known = status;
        else
            this->state.statuses.insert(known, status);
    }
}

}
