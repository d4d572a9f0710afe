#include "foxtailtrail/proxy/GroupTracker.h"

#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/proxy/StatusQuery.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>
#include <utility>

namespace foxtail {

namespace {

    // A group is examined when its primary has failed this often and for this long without a reply in between.
    constexpr Duration failureExaminationDelay = std::chrono::milliseconds(250);
    constexpr uint32_t minFailuresForExamination = 2;
    // A commit without a reply for this long while reads are answered indicates that no replica receives commits.
    constexpr Duration commitStallTimeout = std::chrono::milliseconds(600);
    // A group is examined when statements have waited this long for its primary.
    constexpr Duration waitExaminationDelay = std::chrono::milliseconds(300);
    constexpr Duration renewalTimeout = std::chrono::milliseconds(250);
    constexpr Duration renewalInterval = std::chrono::milliseconds(60);
    // A server that works on long statements answers a status request within this time. Connections that go silent for good do not.
    constexpr Duration statusReplyTimeout = std::chrono::milliseconds(1000);
    // Minimum time between two rounds of statuses that renew the lease together. A replica is informed of a new primary within this time
    // unless no messages reach it.
    constexpr Duration minRoundInterval = std::chrono::milliseconds(150);

}

GroupTracker::GroupTracker(ServiceName service, GroupContext& context)
    : serviceName(std::move(service))
    , groupContext(context)
    , followedFrom(bootNow())
{
    this->lastPrimaryView = context.directory().findPrimary(this->serviceName);
}

void GroupTracker::recordReply(const BackendServerId& server, const std::optional<LogPoint>& position, TimePoint sentAt, bool isCommit)
{
    // A commit counts as acknowledged whichever server the directory names by now: its reply may arrive after the decision to replace the
    // server.
    if (isCommit && position) {
        this->highestAcknowledged = std::max(this->highestAcknowledged, position);
        this->commitSentAt = std::max(this->commitSentAt, std::optional(sentAt));
    }
    if (!this->lastPrimaryView || this->lastPrimaryView->server != server)
        return;
    this->firstFailureAt.reset();
    this->consecutiveFailures = 0;
    // Only an acknowledged commit shows that the server is the primary in a newer term. A read may come from a former primary that is now a
    // replica of the new one; its status shows which.
    if (position && this->knownPrimaryTerm < position->term) {
        this->knownPrimaryTerm = isCommit ? position->term : Term {};
        if (!isCommit) {
            this->lease.revoke();
            return;
        }
    }
    if (isCommit) {
        this->firstUnansweredCommitAt.reset();
        this->unansweredCommitCount = 0;
        if (position && this->lastPrimaryView->isSettled && this->serverReportingNotPrimary != server)
            this->lease.renew(server, sentAt);
    }
    if (position && this->lease.isHeldBy(server, sentAt)) {
        this->primaryLedAt = std::max(this->primaryLedAt, sentAt);
        this->positionHistory.recordPosition(*position, sentAt);
    }
}

void GroupTracker::recordNotPrimary(const BackendServerId& server)
{
    if (!this->lastPrimaryView || this->lastPrimaryView->server != server || !this->lastPrimaryView->isSettled)
        return;
    this->serverReportingNotPrimary = server;
    this->lease.revoke();
    this->groupContext.examineGroup(this->serviceName, "the server reports that it is not the primary");
}

void GroupTracker::recordFailure(const BackendServerId& server, TimePoint now)
{
    this->readServerSelector.deprioritize(server, now);
    if (!this->lastPrimaryView || this->lastPrimaryView->server != server)
        return;
    if (!this->firstFailureAt)
        this->firstFailureAt = now;
    ++this->consecutiveFailures;
    if (this->consecutiveFailures >= minFailuresForExamination && now >= *this->firstFailureAt + failureExaminationDelay)
        this->groupContext.examineGroup(this->serviceName, "the primary does not respond");
}

void GroupTracker::recordUnansweredCommit(const BackendServerId& server, TimePoint now)
{
    if (!this->lastPrimaryView || this->lastPrimaryView->server != server)
        return;
    if (!this->firstUnansweredCommitAt)
        this->firstUnansweredCommitAt = now;
    ++this->unansweredCommitCount;
    this->groupContext.examineGroup(this->serviceName, "a commit had no reply");
}

bool GroupTracker::areCommitsStalled(TimePoint now) const
{
    return this->firstUnansweredCommitAt && (this->unansweredCommitCount > 1 || now >= *this->firstUnansweredCommitAt + commitStallTimeout);
}

void GroupTracker::applyStatusRound(const std::vector<ProbedStatus>& statuses)
{
    if (!this->hasSettledPrimary() || this->knownPrimaryTerm == Term {})
        return;
    bool isComplete = !this->groupContext.mayMissServers();
    bool isReplicaUnanswered = false;
    std::optional<TimePoint> earliestRequestAt;
    for (const ProbedStatus& status : statuses) {
        if (status.server == this->lastPrimaryView->server || status.isRemoved)
            continue;
        if (status.outcome != ProbeOutcome::Answered) {
            isComplete = false;
            isReplicaUnanswered = true;
            continue;
        }
        if (this->knownPrimaryTerm < status.term) {
            // The replica follows another primary or is the primary itself.
            this->firstRoundAt.reset();
            this->recordNotPrimary(this->lastPrimaryView->server);
            return;
        }
        if (status.isPrimary && status.term < this->knownPrimaryTerm) {
            // A former primary receives nothing, so it shows no more about the current one than a server without an answer.
            isComplete = false;
            this->groupContext.examineGroup(this->serviceName, "a former primary still leads");
            continue;
        }
        if (status.isPrimary || status.pausedForTerm != Term {} || status.term != this->knownPrimaryTerm) {
            this->firstRoundAt.reset();
            this->logLeaseNotRenewed(status);
            this->groupContext.examineGroup(this->serviceName, "a replica no longer receives from the primary");
            return;
        }
        earliestRequestAt = std::min(earliestRequestAt.value_or(status.requestedAt), status.requestedAt);
    }
    if (!earliestRequestAt)
        return;
    if (isReplicaUnanswered && (this->groupContext.isIsolated() || this->groupContext.mayMissServers())) {
        // The replica may have been promoted. No record of that reaches this VM in time, and the replicas that answer may not have been
        // reached by the new primary.
        this->firstRoundAt.reset();
        logEvent(LogLevel::Info, "lease not renewed: this VM may miss a promotion and a replica does not answer",
            { { "service", this->serviceName.value }, { "primary", this->lastPrimaryView->server.value } });
        return;
    }
    if (isComplete) {
        this->lease.renew(this->lastPrimaryView->server, *earliestRequestAt);
        this->serveWaiters();
        return;
    }
    // A promotion ends the pause of the other replicas, which keep the old term until they are informed of the new primary. Their statuses
    // therefore count only when a second round confirms them.
    if (!this->firstRoundAt) {
        this->firstRoundAt = earliestRequestAt;
        return;
    }
    if (*earliestRequestAt < *this->firstRoundAt + minRoundInterval)
        return;
    this->lease.renew(this->lastPrimaryView->server, *this->firstRoundAt);
    this->firstRoundAt = earliestRequestAt;
    this->serveWaiters();
}

void GroupTracker::logLeaseNotRenewed(const ProbedStatus& status) const
{
    logEvent(LogLevel::Info, "lease not renewed: a replica does not follow the primary",
        { { "service", this->serviceName.value }, { "primary", this->lastPrimaryView->server.value }, { "replica", status.server.value },
            { "primaryTerm", this->knownPrimaryTerm.value }, { "replicaTerm", status.term.value },
            { "pausedFor", status.pausedForTerm.value }, { "replicaLeads", status.isPrimary } });
}

void GroupTracker::confirmPrimary(const ProbedStatus& status)
{
    if (!this->lastPrimaryView || this->lastPrimaryView->server != status.server)
        return;
    // The server may have refused a statement just before its promotion took effect.
    if (this->serverReportingNotPrimary == status.server) {
        logEvent(LogLevel::Info, "primary confirmed",
            { { "service", this->serviceName.value }, { "server", status.server.value }, { "term", status.term.value } });
        this->serverReportingNotPrimary = BackendServerId();
    }
    this->knownPrimaryTerm = std::max(this->knownPrimaryTerm, status.term);
    this->primaryLedAt = std::max(this->primaryLedAt, status.requestedAt);
    // What a primary of a newer term lacks was lost with the servers that held it.
    for (std::optional<LogPoint>* known : { &this->highestAcknowledged, &this->highestReported }) {
        if (*known && status.receivedLogPoint < **known && (*known)->term < status.term)
            *known = status.receivedLogPoint;
    }
}

void GroupTracker::recordReportedLogs(const std::vector<ProbedStatus>& statuses)
{
    for (const ProbedStatus& status : statuses) {
        // A primary's own commits are acknowledged only once a replica has received them. A former primary of an older term holds commits
        // that its successor has rolled back.
        if (status.outcome == ProbeOutcome::Answered && !status.isPrimary && this->knownPrimaryTerm <= status.term)
            this->highestReported = std::max(this->highestReported, std::optional(status.receivedLogPoint));
    }
}

std::optional<LogPoint> GroupTracker::requiredLogPoint(TimePoint now) const
{
    return now < std::max(this->primaryLedAt, this->followedFrom) + lostCommitDelay ? this->highestKnownPoint() : std::nullopt;
}

void GroupTracker::directoryChanged()
{
    const std::optional<PrimaryView> primary = this->groupContext.directory().findPrimary(this->serviceName);
    if (primary == this->lastPrimaryView)
        return;
    const bool isOtherServer = !primary || !this->lastPrimaryView || primary->server != this->lastPrimaryView->server;
    this->lastPrimaryView = primary;
    if (isOtherServer) {
        this->knownPrimaryTerm = Term {};
        this->firstRoundAt.reset();
        this->lease.revoke();
        this->positionHistory.clear();
        this->firstFailureAt.reset();
        this->consecutiveFailures = 0;
        this->firstUnansweredCommitAt.reset();
        this->unansweredCommitCount = 0;
        this->commitsHeldBackUntil = TimePoint {};
    }
    if (primary && (primary->server != this->serverReportingNotPrimary || primary->isSettled))
        this->serverReportingNotPrimary = BackendServerId();
    this->serveWaiters();
}

GroupReport GroupTracker::report(TimePoint now, bool holdsBackCommits)
{
    const bool isUsingPrimary = this->commitsInFlight > 0 || this->usablePrimary(now);
    if (holdsBackCommits && !isUsingPrimary)
        this->commitsHeldBackUntil = std::max(this->commitsHeldBackUntil, now + FleetEvidence::holdBackPeriod);
    GroupReport report;
    report.receivedAt = now;
    if (this->primaryLedAt != TimePoint {})
        report.primaryLedAt = this->primaryLedAt;
    report.commitSentAt = this->commitSentAt;
    if (const std::optional<PrimaryPositionHistory::Sample> sample = this->positionHistory.newestSample()) {
        report.sampledLogPoint = sample->logPoint;
        report.sampledAt = sample->requestSentAt;
    }
    report.acknowledged = this->highestAcknowledged;
    report.holdsBackCommits = holdsBackCommits && !isUsingPrimary;
    return report;
}

std::optional<GroupUpdate> GroupTracker::updateSince(TimePoint newerThan) const
{
    if (!this->hasSettledPrimary() || this->knownPrimaryTerm == Term {})
        return std::nullopt;
    const std::optional<TimePoint> renewedAt = this->lease.lastRenewalAt(this->lastPrimaryView->server);
    const std::optional<PrimaryPositionHistory::Sample> sample = this->positionHistory.newestSample();
    if (!renewedAt || !sample || *renewedAt <= newerThan || sample->logPoint.term != this->knownPrimaryTerm)
        return std::nullopt;
    return GroupUpdate { this->serviceName, this->lastPrimaryView->server, this->knownPrimaryTerm, *renewedAt, sample->logPoint,
        sample->requestSentAt, this->highestAcknowledged };
}

void GroupTracker::applyUpdate(const GroupUpdate& update)
{
    if (this->knownPrimaryTerm <= update.term)
        this->highestAcknowledged = std::max(this->highestAcknowledged, update.acknowledged);
    // Updates about another primary are ignored, because the directory is informed of promotions separately.
    if (!this->hasSettledPrimary() || this->lastPrimaryView->server != update.primaryServer || update.term < this->knownPrimaryTerm)
        return;
    this->knownPrimaryTerm = update.term;
    this->primaryLedAt = std::max(this->primaryLedAt, update.sampledAt);
    this->lease.renew(update.primaryServer, update.leaseRenewedAt);
    if (this->lease.isHeldBy(update.primaryServer, update.sampledAt))
        this->positionHistory.recordPosition(update.position, update.sampledAt);
    if (!this->waiters.empty())
        this->serveWaiters();
}

std::optional<LogPoint> GroupTracker::requiredPositionFor(
    TimePoint now, Duration maxStaleness, const std::optional<AcknowledgedCommit>& commit) const
{
    if (!commit)
        return this->positionHistory.requiredPositionFor(now, maxStaleness);
    // A promotion may have reassigned the positions of an older term, so a sample that was requested after the commit is needed.
    if (commit->logPoint.term != this->positionHistory.term())
        return this->positionHistory.requiredPositionFor(now, maxStaleness, commit->acknowledgedAt);
    std::optional<LogPoint> required = this->positionHistory.requiredPositionFor(now, maxStaleness);
    if (required && *required < commit->logPoint)
        required = commit->logPoint;
    return required;
}

std::vector<ReadCandidate> GroupTracker::readCandidates(const std::string& organisation, const Homes& homes, TimePoint now) const
{
    std::vector<ReadCandidate> candidates;
    const ServerDirectory& directory = this->groupContext.directory();
    for (const ServerEntry* entry : directory.members(this->serviceName)) {
        if (entry->isDraining || directory.isRemoved(entry->id))
            continue;
        if (this->groupContext.placementIn(entry->dataCentre, homes, now) != Placement::Allowed
            || !this->groupContext.maySendWhileCold(*entry, now))
            continue;
        const std::shared_ptr<LinkPool> pool = this->groupContext.pool(entry->id);
        if (!pool)
            continue;
        candidates.push_back({ entry->id, this->groupContext.distanceTo(*entry), pool->hasFreeLink(organisation),
            pool->outstandingRequests(), entry->slots });
        if (this->groupContext.usesReportedLoad(*pool)) {
            ReadCandidate& candidate = candidates.back();
            candidate.load = pool->load();
            candidate.sentSince = pool->sentSinceReport();
            candidate.oldestUnansweredAt = pool->oldestUnansweredAt();
        }
    }
    markPreferred(candidates, organisation);
    return candidates;
}

bool GroupTracker::hasSettledPrimary() const
{
    return this->lastPrimaryView && this->lastPrimaryView->isSettled && this->serverReportingNotPrimary != this->lastPrimaryView->server;
}

std::optional<BackendServerId> GroupTracker::usablePrimary(TimePoint now) const
{
    if (!this->hasSettledPrimary() || !this->lease.isHeldBy(this->lastPrimaryView->server, now) || this->areCommitsHeldBack(now))
        return std::nullopt;
    if (this->groupContext.mayStopSoon(this->lastPrimaryView->server, now))
        return std::nullopt;
    if (this->placementOf(this->lastPrimaryView->server, now) == Placement::Evacuated)
        return std::nullopt;
    return this->lastPrimaryView->server;
}

Placement GroupTracker::placementOf(const BackendServerId& server, TimePoint now) const
{
    const ServerEntry* entry = this->groupContext.directory().find(server);
    return entry ? this->groupContext.placementIn(entry->dataCentre, Homes(), now) : Placement::Allowed;
}

bool GroupTracker::isPrimaryEvacuatedForGood(TimePoint now) const
{
    if (!this->hasSettledPrimary() || this->placementOf(this->lastPrimaryView->server, now) != Placement::Evacuated)
        return false;
    const ServerDirectory& directory = this->groupContext.directory();
    const std::vector<const ServerEntry*> members = directory.members(this->serviceName);
    return std::none_of(members.begin(), members.end(), [&](const ServerEntry* entry) {
        return !entry->isDraining && !directory.isRemoved(entry->id) && this->placementOf(entry->id, now) == Placement::Allowed;
    });
}

uint64_t GroupTracker::whenPrimaryUsable(const std::string& organisation, TimePoint giveUpAt, PrimaryCallback callback)
{
    const TimePoint now = bootNow();
    if (const auto primary = this->usablePrimary(now)) {
        this->absence.recordUsable(now);
        callback(primary);
        return 0;
    }
    if (this->isPrimaryEvacuatedForGood(now)) {
        callback(std::nullopt);
        return 0;
    }
    this->absence.recordMissing(now);
    const TimePoint waitUntil = this->absence.waitUntil(now, giveUpAt, this->groupContext.isIsolated());
    if (waitUntil <= now) {
        this->hasRefusedStatement = true;
        this->renewLease(organisation, now);
        callback(std::nullopt);
        return 0;
    }
    const uint64_t ticket = this->nextTicket++;
    this->waiters.push_back({ ticket, organisation, now, waitUntil, std::move(callback) });
    this->renewLease(organisation, now);
    return ticket;
}

void GroupTracker::cancel(uint64_t ticket)
{
    this->waiters.remove_if([&](const Waiter& waiter) { return waiter.ticket == ticket; });
}

void GroupTracker::serveWaiters()
{
    const TimePoint now = bootNow();
    if (this->usablePrimary(now))
        this->absence.recordUsable(now);
    std::list<Waiter> ready;
    for (auto waiter = this->waiters.begin(); waiter != this->waiters.end();) {
        const auto next = std::next(waiter);
        if (this->usablePrimary(now))
            ready.splice(ready.end(), this->waiters, waiter);
        waiter = next;
    }
    for (Waiter& waiter : ready)
        waiter.callback(this->usablePrimary(now));
}

// The statuses of all replicas of a group from one round of requests.
struct GroupTracker::StatusRound {
    std::vector<ProbedStatus> statuses;
    size_t outstanding = 0;
};

void GroupTracker::renewLease(const std::string& organisation, TimePoint now)
{
    // The lease is renewed only for a settled primary; without one, the promotion has to end first.
    if (this->isRenewingLease || !this->hasSettledPrimary() || now < this->renewalStartedAt + renewalInterval)
        return;
    std::vector<std::pair<BackendServerId, std::shared_ptr<LinkPool>>> replicas;
    for (const ServerEntry* entry : this->groupContext.directory().members(this->serviceName)) {
        const bool isQueried = entry->id != this->lastPrimaryView->server && !this->groupContext.directory().isRemoved(entry->id);
        if (const auto pool = isQueried ? this->groupContext.pool(entry->id) : nullptr)
            replicas.emplace_back(entry->id, pool);
    }
    if (replicas.empty())
        return;
    this->isRenewingLease = true;
    this->renewalStartedAt = now;
    this->renewalEndsAt = now + statusReplyTimeout;
    this->renewalQueries.clear();
    if (this->knownPrimaryTerm == Term {}) {
        this->queryPrimaryTerm(organisation, now);
        return;
    }
    const auto round = std::make_shared<StatusRound>();
    round->outstanding = replicas.size();
    for (const auto& [id, pool] : replicas) {
        ProbedStatus unansweredStatus;
        unansweredStatus.server = id;
        this->renewalQueries.push_back(StatusQuery::start(pool, this->groupContext.backendCodec(), organisation, now + renewalTimeout,
            [weak = this->weak_from_this(), round, unansweredStatus](const std::optional<ProbedStatus>& status) {
                round->statuses.push_back(status.value_or(unansweredStatus));
                const auto self = weak.lock();
                if (--round->outstanding > 0 || !self)
                    return;
                self->isRenewingLease = false;
                self->applyStatusRound(round->statuses);
            }));
    }
}

void GroupTracker::queryPrimaryTerm(const std::string& organisation, TimePoint now)
{
    const std::shared_ptr<LinkPool> pool = this->groupContext.pool(this->lastPrimaryView->server);
    if (!pool) {
        this->isRenewingLease = false;
        return;
    }
    this->renewalQueries.push_back(StatusQuery::start(pool, this->groupContext.backendCodec(), organisation, now + renewalTimeout,
        [weak = this->weak_from_this()](const std::optional<ProbedStatus>& status) {
            const auto self = weak.lock();
            if (!self)
                return;
            self->isRenewingLease = false;
            self->renewalStartedAt = TimePoint {};
            if (!status || !self->lastPrimaryView || status->server != self->lastPrimaryView->server)
                return;
            if (!status->isPrimary) {
                self->recordNotPrimary(status->server);
                return;
            }
            self->knownPrimaryTerm = std::max(self->knownPrimaryTerm, status->term);
            if (!self->waiters.empty())
                self->renewLease(self->waiters.front().organisation, bootNow());
        }));
}

void GroupTracker::giveUpSilentQueries(TimePoint now)
{
    if (!this->isRenewingLease || now < this->renewalEndsAt)
        return;
    // A callback may start the next renewal.
    for (const std::weak_ptr<StatusQuery>& silent : std::exchange(this->renewalQueries, {})) {
        if (const auto query = silent.lock())
            query->giveUp();
    }
}

void GroupTracker::sweep(TimePoint now)
{
    this->giveUpSilentQueries(now);
    std::list<Waiter> expired;
    // Statements get an early result when a primary has been missing for long, so the time without a primary counts, not the time that each
    // statement has waited.
    const bool isWaitingOfNoUse = !this->waiters.empty() && this->isPrimaryEvacuatedForGood(now);
    const bool isPrimaryNeeded = !this->waiters.empty() || std::exchange(this->hasRefusedStatement, false);
    const bool isExaminationDue
        = isPrimaryNeeded && !isWaitingOfNoUse && this->absence.since() && *this->absence.since() + waitExaminationDelay <= now;
    for (auto waiter = this->waiters.begin(); waiter != this->waiters.end();) {
        const auto next = std::next(waiter);
        // A wait that began like one for a lease may turn out to be one for a promotion.
        if (isWaitingOfNoUse || this->absence.waitUntil(now, waiter->giveUpAt, this->groupContext.isIsolated()) <= now)
            expired.splice(expired.end(), this->waiters, waiter);
        waiter = next;
    }
    if (isExaminationDue)
        this->groupContext.examineGroup(this->serviceName, "statements are waiting for a primary");
    for (Waiter& waiter : expired)
        waiter.callback(std::nullopt);
    if (!this->waiters.empty())
        this->renewLease(this->waiters.front().organisation, now);
}

}
