#include "foxtailtrail/proxy/GroupTraffic.h"

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

GroupTraffic::GroupTraffic(ServiceName service, GroupHost& host)
    : serviceName(std::move(service))
    , host(host)
{
    this->lastLeader = host.directory().leader(this->serviceName);
}

void GroupTraffic::noteAnswer(const BackendServerId& server, const std::optional<LogPoint>& position, TimePoint sentAt, bool isCommit)
{
    if (!this->lastLeader || this->lastLeader->server != server)
        return;
    this->failingSince.reset();
    this->failures = 0;
    // Only an acknowledged commit shows that the server leads in a newer term. A read may come from a former primary that has become a
    // replica of the new one; its status tells.
    if (position && this->leaderTerm < position->term) {
        this->leaderTerm = isCommit ? position->term : Term {};
        if (!isCommit) {
            this->lease.revoke();
            return;
        }
    }
    if (isCommit) {
        this->commitsUnansweredSince.reset();
        this->unansweredCommits = 0;
        if (position && this->lastLeader->settled && this->deposed != server) {
            if (!this->highestAcknowledged || *this->highestAcknowledged < *position)
                this->highestAcknowledged = position;
            this->lease.prove(server, sentAt);
        }
    }
    if (position && this->lease.covers(server, sentAt))
        this->freshness.note(*position, sentAt);
}

void GroupTraffic::noteNotPrimary(const BackendServerId& server)
{
    if (!this->lastLeader || this->lastLeader->server != server || !this->lastLeader->settled)
        return;
    this->deposed = server;
    this->lease.revoke();
    this->host.examineGroup(this->serviceName, "the primary has been replaced");
}

void GroupTraffic::noteFailure(const BackendServerId& server, TimePoint now)
{
    this->serverChoice.noteTrouble(server, now);
    if (!this->lastLeader || this->lastLeader->server != server)
        return;
    if (!this->failingSince)
        this->failingSince = now;
    ++this->failures;
    if (this->failures >= failuresForExamination && now >= *this->failingSince + failureTime)
        this->host.examineGroup(this->serviceName, "the primary does not answer");
}

void GroupTraffic::noteUnansweredCommit(const BackendServerId& server, TimePoint now)
{
    if (!this->lastLeader || this->lastLeader->server != server)
        return;
    if (!this->commitsUnansweredSince)
        this->commitsUnansweredSince = now;
    ++this->unansweredCommits;
    this->host.examineGroup(this->serviceName, "a commit has no answer");
}

bool GroupTraffic::areCommitsStalled(TimePoint now) const
{
    return this->commitsUnansweredSince && (this->unansweredCommits > 1 || now >= *this->commitsUnansweredSince + commitStallTime);
}

void GroupTraffic::noteRound(const std::vector<ProbedStatus>& statuses)
{
    if (!this->hasSettledLeader() || this->leaderTerm == Term {})
        return;
    bool isComplete = !this->host.mayMissServers();
    std::optional<TimePoint> askedAt;
    for (const ProbedStatus& status : statuses) {
        if (status.server == this->lastLeader->server || status.removed)
            continue;
        if (status.outcome != ProbeOutcome::Answered) {
            isComplete = false;
            continue;
        }
        if (this->leaderTerm < status.term) {
            // It follows another primary, or leads itself.
            this->firstRoundAt.reset();
            this->noteNotPrimary(this->lastLeader->server);
            return;
        }
        if (status.isPrimary || status.pausedFor != Term {} || status.term != this->leaderTerm) {
            this->firstRoundAt.reset();
            this->logUnproven(status);
            this->host.examineGroup(this->serviceName, "a replica has stopped to receive");
            return;
        }
        askedAt = std::min(askedAt.value_or(status.askedAt), status.askedAt);
    }
    if (!askedAt)
        return;
    if (isComplete) {
        this->lease.prove(this->lastLeader->server, *askedAt);
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
    this->lease.prove(this->lastLeader->server, *this->firstRoundAt);
    this->firstRoundAt = askedAt;
    this->serveWaiters();
}

void GroupTraffic::logUnproven(const ProbedStatus& status) const
{
    logEvent(LogLevel::Info, "lease not proven",
        { { "service", this->serviceName.value }, { "primary", this->lastLeader->server.value }, { "replica", status.server.value },
            { "primaryTerm", this->leaderTerm.value }, { "replicaTerm", status.term.value }, { "pausedFor", status.pausedFor.value },
            { "replicaLeads", status.isPrimary } });
}

void GroupTraffic::confirmLeader(const ProbedStatus& status)
{
    if (!this->lastLeader || this->lastLeader->server != status.server)
        return;
    // It may have refused a statement just before its promotion took effect.
    if (this->deposed == status.server) {
        logEvent(LogLevel::Info, "primary confirmed",
            { { "service", this->serviceName.value }, { "server", status.server.value }, { "term", status.term.value } });
        this->deposed = BackendServerId();
    }
    this->leaderTerm = std::max(this->leaderTerm, status.term);
}

void GroupTraffic::directoryChanged()
{
    const std::optional<LeaderView> leader = this->host.directory().leader(this->serviceName);
    if (leader == this->lastLeader)
        return;
    const bool otherServer = !leader || !this->lastLeader || leader->server != this->lastLeader->server;
    this->lastLeader = leader;
    if (otherServer) {
        this->leaderTerm = Term {};
        this->firstRoundAt.reset();
        this->lease.revoke();
        this->freshness.clear();
        this->failingSince.reset();
        this->failures = 0;
        this->commitsUnansweredSince.reset();
        this->unansweredCommits = 0;
    }
    if (leader && (leader->server != this->deposed || leader->settled))
        this->deposed = BackendServerId();
    this->serveWaiters();
}

std::optional<GroupNews> GroupTraffic::news(TimePoint newerThan) const
{
    if (!this->hasSettledLeader() || this->leaderTerm == Term {})
        return std::nullopt;
    const std::optional<TimePoint> proven = this->lease.provenFor(this->lastLeader->server);
    const std::optional<FreshnessHistory::Sample> sample = this->freshness.newest();
    if (!proven || !sample || *proven <= newerThan || sample->point.term != this->leaderTerm)
        return std::nullopt;
    return GroupNews { this->serviceName, this->lastLeader->server, this->leaderTerm, *proven, sample->point, sample->at };
}

void GroupTraffic::takeNews(const GroupNews& news)
{
    // News of another primary are left to the directory, which hears of promotions by itself.
    if (!this->hasSettledLeader() || this->lastLeader->server != news.leader || news.term < this->leaderTerm)
        return;
    this->leaderTerm = news.term;
    this->lease.prove(news.leader, news.provenAt);
    if (this->lease.covers(news.leader, news.sampledAt))
        this->freshness.note(news.position, news.sampledAt);
    if (!this->waiters.empty())
        this->serveWaiters();
}

std::optional<LogPoint> GroupTraffic::floorFor(TimePoint now, Duration maxStaleness, const std::optional<CommitMark>& commit) const
{
    if (!commit)
        return this->freshness.floorFor(now, maxStaleness);
    // A position of an older term may have been numbered anew, so then a sample taken after the commit is needed.
    if (commit->point.term != this->freshness.term())
        return this->freshness.floorFor(now, maxStaleness, commit->acknowledgedAt);
    std::optional<LogPoint> floor = this->freshness.floorFor(now, maxStaleness);
    if (floor && *floor < commit->point)
        floor = commit->point;
    return floor;
}

std::vector<ReadCandidate> GroupTraffic::readCandidates(const std::string& organisation) const
{
    std::vector<ReadCandidate> candidates;
    const ServerDirectory& directory = this->host.directory();
    for (const ServerEntry* entry : directory.members(this->serviceName)) {
        if (entry->draining || directory.isRemoved(entry->id))
            continue;
        const std::shared_ptr<ServerPool> pool = this->host.pool(entry->id);
        if (!pool)
            continue;
        candidates.push_back({ entry->id, this->host.distanceTo(*entry), pool->hasFree(organisation), pool->outstanding(), entry->slots });
    }
    return candidates;
}

bool GroupTraffic::hasSettledLeader() const
{
    return this->lastLeader && this->lastLeader->settled && this->deposed != this->lastLeader->server;
}

std::optional<BackendServerId> GroupTraffic::usableLeader(TimePoint now) const
{
    if (!this->hasSettledLeader() || !this->lease.covers(this->lastLeader->server, now))
        return std::nullopt;
    return this->lastLeader->server;
}

uint64_t GroupTraffic::whenLeader(const std::string& organisation, TimePoint giveUpAt, LeaderCallback callback)
{
    const TimePoint now = bootNow();
    if (const auto leader = this->usableLeader(now)) {
        this->leaderlessSince.reset();
        callback(leader);
        return 0;
    }
    if (!this->leaderlessSince)
        this->leaderlessSince = now;
    // A promotion takes less than this. When it takes longer here, another VM may know the new primary, so the caller is told soon.
    const bool isHopeless = now >= *this->leaderlessSince + expectedPromotion || this->host.isIsolated();
    const TimePoint waitUntil = isHopeless ? std::min(giveUpAt, now + hopelessWait) : giveUpAt;
    const uint64_t ticket = this->nextTicket++;
    this->waiters.push_back({ ticket, organisation, now, waitUntil, std::move(callback) });
    this->verifyLease(organisation, now);
    return ticket;
}

void GroupTraffic::cancel(uint64_t ticket)
{
    this->waiters.remove_if([&](const Waiter& waiter) { return waiter.ticket == ticket; });
}

void GroupTraffic::serveWaiters()
{
    const TimePoint now = bootNow();
    if (this->usableLeader(now))
        this->leaderlessSince.reset();
    std::list<Waiter> ready;
    for (auto waiter = this->waiters.begin(); waiter != this->waiters.end();) {
        const auto next = std::next(waiter);
        if (this->usableLeader(now))
            ready.splice(ready.end(), this->waiters, waiter);
        waiter = next;
    }
    for (Waiter& waiter : ready)
        waiter.callback(this->usableLeader(now));
}

// The answers of all replicas of a group to one question.
struct GroupTraffic::Round {
    std::vector<ProbedStatus> statuses;
    size_t outstanding = 0;
};

void GroupTraffic::verifyLease(const std::string& organisation, TimePoint now)
{
    // Only statements for a settled primary wait for a proof.
    if (this->verifying || !this->hasSettledLeader() || now < this->verifiedAt + verifyInterval)
        return;
    std::vector<std::pair<BackendServerId, std::shared_ptr<ServerPool>>> replicas;
    for (const ServerEntry* entry : this->host.directory().members(this->serviceName)) {
        const bool isAsked = entry->id != this->lastLeader->server && !this->host.directory().isRemoved(entry->id);
        if (const auto pool = isAsked ? this->host.pool(entry->id) : nullptr)
            replicas.emplace_back(entry->id, pool);
    }
    if (replicas.empty())
        return;
    this->verifying = true;
    this->verifiedAt = now;
    if (this->leaderTerm == Term {}) {
        this->learnLeaderTerm(organisation, now);
        return;
    }
    const auto round = std::make_shared<Round>();
    round->outstanding = replicas.size();
    for (const auto& [id, pool] : replicas) {
        ProbedStatus silent;
        silent.server = id;
        StatusQuery::start(pool, this->host.backendCodec(), organisation, now + verifyTimeout,
            [weak = this->weak_from_this(), round, silent](const std::optional<ProbedStatus>& status) {
                round->statuses.push_back(status.value_or(silent));
                const auto self = weak.lock();
                if (--round->outstanding > 0 || !self)
                    return;
                self->verifying = false;
                self->noteRound(round->statuses);
            });
    }
}

void GroupTraffic::learnLeaderTerm(const std::string& organisation, TimePoint now)
{
    const std::shared_ptr<ServerPool> pool = this->host.pool(this->lastLeader->server);
    if (!pool) {
        this->verifying = false;
        return;
    }
    StatusQuery::start(pool, this->host.backendCodec(), organisation, now + verifyTimeout,
        [weak = this->weak_from_this()](const std::optional<ProbedStatus>& status) {
            const auto self = weak.lock();
            if (!self)
                return;
            self->verifying = false;
            self->verifiedAt = TimePoint {};
            if (!status || !self->lastLeader || status->server != self->lastLeader->server)
                return;
            if (!status->isPrimary) {
                self->noteNotPrimary(status->server);
                return;
            }
            self->leaderTerm = std::max(self->leaderTerm, status->term);
            if (!self->waiters.empty())
                self->verifyLease(self->waiters.front().organisation, bootNow());
        });
}

void GroupTraffic::sweep(TimePoint now)
{
    std::list<Waiter> late;
    // Statements are told soon when a primary has been missing for long, so the time without one counts, not theirs.
    const bool longWait = !this->waiters.empty() && this->leaderlessSince && *this->leaderlessSince + waitBeforeExamination <= now;
    for (auto waiter = this->waiters.begin(); waiter != this->waiters.end();) {
        const auto next = std::next(waiter);
        if (waiter->giveUpAt <= now)
            late.splice(late.end(), this->waiters, waiter);
        waiter = next;
    }
    if (longWait)
        this->host.examineGroup(this->serviceName, "statements wait for a primary");
    for (Waiter& waiter : late)
        waiter.callback(std::nullopt);
    if (!this->waiters.empty())
        this->verifyLease(this->waiters.front().organisation, now);
}

}
