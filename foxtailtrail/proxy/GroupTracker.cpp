#include "foxtailtrail/proxy/GroupTracker.h"

#include "foxtailtrail/proxy/BootClock.h"
#include "foxtailtrail/proxy/StatusQuery.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>
#include <utility>

namespace foxtail {

namespace {

    // A primary that has failed for this long without an answer in between is examined.
    constexpr Duration failureTime = std::chrono::milliseconds(250);
    constexpr uint32_t failuresForExamination = 2;
    // Commits without an answer for this long, while reads are answered, show that no replica receives them.
    constexpr Duration commitStallTime = std::chrono::milliseconds(600);
    // Statements that wait this long for a primary cause an examination.
    constexpr Duration waitBeforeExamination = std::chrono::milliseconds(300);
    // From the loss of a primary to the first statement at its successor.
    constexpr Duration expectedPromotion = std::chrono::milliseconds(1600);
    // A proof of the lease takes one round trip, about 20 ms across regions.
    constexpr Duration hopelessWait = std::chrono::milliseconds(80);
    constexpr Duration verifyTimeout = std::chrono::milliseconds(250);
    constexpr Duration verifyInterval = std::chrono::milliseconds(60);
    // A replica hears of a new primary within this time, unless it receives nothing at all.
    constexpr Duration roundSpacing = std::chrono::milliseconds(150);

}

GroupTracker::GroupTracker(ServiceName service, GroupContext& host)
    : serviceName(std::move(service))
    , groupContext(host)
{
    this->lastPrimaryView = host.directory().findPrimary(this->serviceName);
}

void GroupTracker::recordReply(const BackendServerId& server, const std::optional<LogPoint>& position, TimePoint sentAt, bool isCommit)
{
    if (!this->lastPrimaryView || this->lastPrimaryView->server != server)
        return;
    this->failingSince.reset();
    this->failures = 0;
    // Only an acknowledged commit shows that the server leads in a newer term. A read may come from a former primary that has become a
    // replica of the new one; its status tells.
    if (position && this->knownPrimaryTerm < position->term) {
        this->knownPrimaryTerm = isCommit ? position->term : Term {};
        if (!isCommit) {
            this->lease.revoke();
            return;
        }
    }
    if (isCommit) {
        this->commitsUnansweredSince.reset();
        this->unansweredCommits = 0;
        if (position && this->lastPrimaryView->isSettled && this->serverReportingNotPrimary != server) {
            if (!this->highestAcknowledged || *this->highestAcknowledged < *position)
                this->highestAcknowledged = position;
            this->lease.renew(server, sentAt);
        }
    }
    if (position && this->lease.isHeldBy(server, sentAt))
        this->positionHistory.recordPosition(*position, sentAt);
}

void GroupTracker::recordNotPrimary(const BackendServerId& server)
{
    if (!this->lastPrimaryView || this->lastPrimaryView->server != server || !this->lastPrimaryView->isSettled)
        return;
    this->serverReportingNotPrimary = server;
    this->lease.revoke();
    this->groupContext.examineGroup(this->serviceName, "the primary has been replaced");
}

void GroupTracker::recordFailure(const BackendServerId& server, TimePoint now)
{
    this->readServerSelector.deprioritize(server, now);
    if (!this->lastPrimaryView || this->lastPrimaryView->server != server)
        return;
    if (!this->failingSince)
        this->failingSince = now;
    ++this->failures;
    if (this->failures >= failuresForExamination && now >= *this->failingSince + failureTime)
        this->groupContext.examineGroup(this->serviceName, "the primary does not answer");
}

void GroupTracker::recordUnansweredCommit(const BackendServerId& server, TimePoint now)
{
    if (!this->lastPrimaryView || this->lastPrimaryView->server != server)
        return;
    if (!this->commitsUnansweredSince)
        this->commitsUnansweredSince = now;
    ++this->unansweredCommits;
    this->groupContext.examineGroup(this->serviceName, "a commit has no answer");
}

bool GroupTracker::areCommitsStalled(TimePoint now) const
{
    return this->commitsUnansweredSince && (this->unansweredCommits > 1 || now >= *this->commitsUnansweredSince + commitStallTime);
}

void GroupTracker::applyStatusRound(const std::vector<ProbedStatus>& statuses)
{
    if (!this->hasSettledPrimary() || this->knownPrimaryTerm == Term {})
        return;
    bool isComplete = !this->groupContext.mayMissServers();
    std::optional<TimePoint> askedAt;
    for (const ProbedStatus& status : statuses) {
        if (status.server == this->lastPrimaryView->server || status.isRemoved)
            continue;
        if (status.outcome != ProbeOutcome::Answered) {
            isComplete = false;
            continue;
        }
        if (this->knownPrimaryTerm < status.term) {
            // It follows another primary, or leads itself.
            this->firstRoundAt.reset();
            this->recordNotPrimary(this->lastPrimaryView->server);
            return;
        }
        if (status.isPrimary || status.pausedForTerm != Term {} || status.term != this->knownPrimaryTerm) {
            this->firstRoundAt.reset();
            this->logUnprovenLease(status);
            this->groupContext.examineGroup(this->serviceName, "a replica has stopped to receive");
            return;
        }
        askedAt = std::min(askedAt.value_or(status.requestedAt), status.requestedAt);
    }
    if (!askedAt)
        return;
    if (isComplete) {
        this->lease.renew(this->lastPrimaryView->server, *askedAt);
        this->serveWaiters();
        return;
    }
    // An order of promotion ends the pause of the other replicas, which have the old term until they hear of the new primary. So what they
    // say counts once they say it again.
    if (!this->firstRoundAt) {
        this->firstRoundAt = askedAt;
        return;
    }
    if (*askedAt < *this->firstRoundAt + roundSpacing)
        return;
    this->lease.renew(this->lastPrimaryView->server, *this->firstRoundAt);
    this->firstRoundAt = askedAt;
    this->serveWaiters();
}

void GroupTracker::logUnprovenLease(const ProbedStatus& status) const
{
    logEvent(LogLevel::Info, "lease not proven",
        { { "service", this->serviceName.value }, { "primary", this->lastPrimaryView->server.value }, { "replica", status.server.value },
            { "primaryTerm", this->knownPrimaryTerm.value }, { "replicaTerm", status.term.value },
            { "pausedFor", status.pausedForTerm.value }, { "replicaLeads", status.isPrimary } });
}

void GroupTracker::confirmPrimary(const ProbedStatus& status)
{
    if (!this->lastPrimaryView || this->lastPrimaryView->server != status.server)
        return;
    // It may have refused a statement just before its promotion took effect.
    if (this->serverReportingNotPrimary == status.server) {
        logEvent(LogLevel::Info, "primary confirmed",
            { { "service", this->serviceName.value }, { "server", status.server.value }, { "term", status.term.value } });
        this->serverReportingNotPrimary = BackendServerId();
    }
    this->knownPrimaryTerm = std::max(this->knownPrimaryTerm, status.term);
}

void GroupTracker::directoryChanged()
{
    const std::optional<PrimaryView> leader = this->groupContext.directory().findPrimary(this->serviceName);
    if (leader == this->lastPrimaryView)
        return;
    const bool otherServer = !leader || !this->lastPrimaryView || leader->server != this->lastPrimaryView->server;
    this->lastPrimaryView = leader;
    if (otherServer) {
        this->knownPrimaryTerm = Term {};
        this->firstRoundAt.reset();
        this->lease.revoke();
        this->positionHistory.clear();
        this->failingSince.reset();
        this->failures = 0;
        this->commitsUnansweredSince.reset();
        this->unansweredCommits = 0;
    }
    if (leader && (leader->server != this->serverReportingNotPrimary || leader->isSettled))
        this->serverReportingNotPrimary = BackendServerId();
    this->serveWaiters();
}

std::optional<GroupUpdate> GroupTracker::updateSince(TimePoint newerThan) const
{
    if (!this->hasSettledPrimary() || this->knownPrimaryTerm == Term {})
        return std::nullopt;
    const std::optional<TimePoint> proven = this->lease.lastRenewalAt(this->lastPrimaryView->server);
    const std::optional<PrimaryPositionHistory::Sample> sample = this->positionHistory.newestSample();
    if (!proven || !sample || *proven <= newerThan || sample->logPoint.term != this->knownPrimaryTerm)
        return std::nullopt;
    return GroupUpdate { this->serviceName, this->lastPrimaryView->server, this->knownPrimaryTerm, *proven, sample->logPoint,
        sample->requestSentAt };
}

void GroupTracker::applyUpdate(const GroupUpdate& news)
{
    // News of another primary are left to the directory, which hears of promotions by itself.
    if (!this->hasSettledPrimary() || this->lastPrimaryView->server != news.primaryServer || news.term < this->knownPrimaryTerm)
        return;
    this->knownPrimaryTerm = news.term;
    this->lease.renew(news.primaryServer, news.leaseRenewedAt);
    if (this->lease.isHeldBy(news.primaryServer, news.sampledAt))
        this->positionHistory.recordPosition(news.position, news.sampledAt);
    if (!this->waiters.empty())
        this->serveWaiters();
}

std::optional<LogPoint> GroupTracker::requiredPositionFor(
    TimePoint now, Duration maxStaleness, const std::optional<AcknowledgedCommit>& commit) const
{
    if (!commit)
        return this->positionHistory.requiredPositionFor(now, maxStaleness);
    // A position of an older term may have been numbered anew, so then a sample taken after the commit is needed.
    if (commit->logPoint.term != this->positionHistory.term())
        return this->positionHistory.requiredPositionFor(now, maxStaleness, commit->acknowledgedAt);
    std::optional<LogPoint> floor = this->positionHistory.requiredPositionFor(now, maxStaleness);
    if (floor && *floor < commit->logPoint)
        floor = commit->logPoint;
    return floor;
}

std::vector<ReadCandidate> GroupTracker::readCandidates(const std::string& organisation) const
{
    std::vector<ReadCandidate> candidates;
    const ServerDirectory& directory = this->groupContext.directory();
    for (const ServerEntry* entry : directory.members(this->serviceName)) {
        if (entry->isDraining || directory.isRemoved(entry->id))
            continue;
        const std::shared_ptr<LinkPool> pool = this->groupContext.pool(entry->id);
        if (!pool)
            continue;
        candidates.push_back({ entry->id, this->groupContext.distanceTo(*entry), pool->hasFreeLink(organisation),
            pool->outstandingRequests(), entry->slots });
    }
    return candidates;
}

bool GroupTracker::hasSettledPrimary() const
{
    return this->lastPrimaryView && this->lastPrimaryView->isSettled && this->serverReportingNotPrimary != this->lastPrimaryView->server;
}

std::optional<BackendServerId> GroupTracker::usablePrimary(TimePoint now) const
{
    if (!this->hasSettledPrimary() || !this->lease.isHeldBy(this->lastPrimaryView->server, now))
        return std::nullopt;
    return this->lastPrimaryView->server;
}

uint64_t GroupTracker::whenPrimaryUsable(const std::string& organisation, TimePoint giveUpAt, PrimaryCallback callback)
{
    const TimePoint now = bootNow();
    if (const auto leader = this->usablePrimary(now)) {
        this->noPrimarySince.reset();
        callback(leader);
        return 0;
    }
    if (!this->noPrimarySince)
        this->noPrimarySince = now;
    // A promotion takes less than this. When it takes longer here, another VM may know the new primary, so the caller is told soon.
    const bool isHopeless = now >= *this->noPrimarySince + expectedPromotion || this->groupContext.isIsolated();
    const TimePoint waitUntil = isHopeless ? std::min(giveUpAt, now + hopelessWait) : giveUpAt;
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
        this->noPrimarySince.reset();
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

// The answers of all replicas of a group to one question.
struct GroupTracker::StatusRound {
    std::vector<ProbedStatus> statuses;
    size_t outstanding = 0;
};

void GroupTracker::renewLease(const std::string& organisation, TimePoint now)
{
    // Only statements for a settled primary wait for a proof.
    if (this->isRenewingLease || !this->hasSettledPrimary() || now < this->renewalStartedAt + verifyInterval)
        return;
    std::vector<std::pair<BackendServerId, std::shared_ptr<LinkPool>>> replicas;
    for (const ServerEntry* entry : this->groupContext.directory().members(this->serviceName)) {
        const bool isAsked = entry->id != this->lastPrimaryView->server && !this->groupContext.directory().isRemoved(entry->id);
        if (const auto pool = isAsked ? this->groupContext.pool(entry->id) : nullptr)
            replicas.emplace_back(entry->id, pool);
    }
    if (replicas.empty())
        return;
    this->isRenewingLease = true;
    this->renewalStartedAt = now;
    if (this->knownPrimaryTerm == Term {}) {
        this->queryPrimaryTerm(organisation, now);
        return;
    }
    const auto round = std::make_shared<StatusRound>();
    round->outstanding = replicas.size();
    for (const auto& [id, pool] : replicas) {
        ProbedStatus silent;
        silent.server = id;
        StatusQuery::start(pool, this->groupContext.backendCodec(), organisation, now + verifyTimeout,
            [weak = this->weak_from_this(), round, silent](const std::optional<ProbedStatus>& status) {
                round->statuses.push_back(status.value_or(silent));
                const auto self = weak.lock();
                if (--round->outstanding > 0 || !self)
                    return;
                self->isRenewingLease = false;
                self->applyStatusRound(round->statuses);
            });
    }
}

void GroupTracker::queryPrimaryTerm(const std::string& organisation, TimePoint now)
{
    const std::shared_ptr<LinkPool> pool = this->groupContext.pool(this->lastPrimaryView->server);
    if (!pool) {
        this->isRenewingLease = false;
        return;
    }
    StatusQuery::start(pool, this->groupContext.backendCodec(), organisation, now + verifyTimeout,
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
        });
}

void GroupTracker::sweep(TimePoint now)
{
    std::list<Waiter> late;
    // Statements are told soon when a primary has been missing for long, so the time without one counts, not theirs.
    const bool longWait = !this->waiters.empty() && this->noPrimarySince && *this->noPrimarySince + waitBeforeExamination <= now;
    for (auto waiter = this->waiters.begin(); waiter != this->waiters.end();) {
        const auto next = std::next(waiter);
        if (waiter->giveUpAt <= now)
            late.splice(late.end(), this->waiters, waiter);
        waiter = next;
    }
    if (longWait)
        this->groupContext.examineGroup(this->serviceName, "statements wait for a primary");
    for (Waiter& waiter : late)
        waiter.callback(std::nullopt);
    if (!this->waiters.empty())
        this->renewLease(this->waiters.front().organisation, now);
}

}
