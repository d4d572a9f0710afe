#include "foxtailtrail/proxy/StatementRun.h"

#include "foxtailtrail/proxy/BootClock.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cassert>
#include <utility>

namespace foxtail {

namespace {

    // The fraction of the statement's timeout after which a statement that has not started is rejected, so that the caller still
    // has time to retry.
    constexpr double startTimeoutFraction = 0.8;
    // The fraction of the latency objective after which a read without a reply is retried on another server, and the minimum of
    // that time.
    constexpr double readAttemptFraction = 0.45;
    constexpr Duration minReadAttemptTimeout = std::chrono::milliseconds(150);
    // The maximum number of retries of a read after a lost reply or a failure of the statement.
    constexpr uint32_t maxLostReplies = 2;
    constexpr Duration busyRetryDelay = std::chrono::milliseconds(12);
    // Delay before a cold server that this VM may send a statement at times is tried again.
    constexpr Duration coldRetryDelay = std::chrono::milliseconds(50);
    constexpr Duration unreachableRetryDelay = std::chrono::milliseconds(40);
    // Delay before the candidates are tried again once all of them have been tried.
    constexpr Duration candidateRoundDelay = std::chrono::milliseconds(25);

    Duration scaled(Duration duration, double factor)
    {
        return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
    }

}

std::shared_ptr<StatementRun> StatementRun::start(boost::asio::io_context& context, GroupContext& groupContext,
    std::shared_ptr<GroupTracker> group, const SessionState& session, PooledLink& linkOfTransaction, StatementTask task, Callback callback)
{
    std::shared_ptr<StatementRun> run(
        new StatementRun(context, groupContext, std::move(group), session, linkOfTransaction, std::move(task), std::move(callback)));
    run->startNextAttempt();
    return run;
}

StatementRun::StatementRun(boost::asio::io_context& context, GroupContext& groupContext, std::shared_ptr<GroupTracker> group,
    const SessionState& session, PooledLink& linkOfTransaction, StatementTask task, Callback callback)
    : context(context)
    , groupContext(groupContext)
    , group(std::move(group))
    , session(session)
    , pinnedLink(linkOfTransaction)
    , task(std::move(task))
    , callback(std::move(callback))
{
    this->beginsTransaction = this->inTransaction() && !this->pinnedLink;
    const TimePoint now = bootNow();
    this->giveUpAt = now + scaled(std::min(this->task.deadline, this->task.stopBy) - now, startTimeoutFraction);
}

StatementRun::~StatementRun() { this->endCommit(); }

std::string_view StatementRun::phaseName() const
{
    constexpr std::array<std::string_view, 5> names { "waiting for a primary", "waiting for a connection", "preparing the connection",
        "running on a backend server", "waiting to retry" };
    return names[static_cast<size_t>(this->phase)];
}

bool StatementRun::needsPrimary() const
{
    if (this->inTransaction())
        return !this->session.isReadOnly() || this->task.route.consistency == Consistency::Primary;
    return this->task.writes || this->task.route.consistency == Consistency::Primary;
}

bool StatementRun::isSafeToRetry() const
{
    const bool isRead = !this->task.writes && this->task.statement.kind != StatementKind::Commit;
    return isRead && (!this->inTransaction() || this->beginsTransaction);
}

void StatementRun::startNextAttempt()
{
    if (this->hasFinished)
        return;
    const TimePoint now = bootNow();
    if (this->pinnedLink) {
        this->currentLink = this->pinnedLink;
        this->target = this->currentLink.link->server();
        if (!this->currentLink.link->isUsable()) {
            this->dropLink();
            this->finishWithError(ErrorKind::TransactionAborted, "the transaction's connection was lost");
            return;
        }
        this->currentLink.link->setListener(this);
        this->prepareLink();
        return;
    }
    if (now >= this->giveUpAt) {
        this->finishWithError(this->lastAttemptError, "no backend server could start the statement in time");
        return;
    }
    this->phase = Phase::Choosing;
    this->requiredPosition.reset();
    if (this->needsPrimary())
        this->choosePrimary();
    else
        this->chooseReplica();
}

void StatementRun::chooseReplica()
{
    const TimePoint now = bootNow();
    const std::optional<AcknowledgedCommit> commit
        = this->task.route.consistency == Consistency::ReadYourWrites ? this->session.lastAcknowledgedCommit() : std::nullopt;
    this->requiredPosition = this->group->requiredPositionFor(now, this->task.route.maxStaleness, commit);
    if (!this->requiredPosition) {
        // Without a recent position, only the primary can prove that the read is current; its reply provides the next recent
        // position.
        this->choosePrimary();
        return;
    }
    const auto candidates = this->group->readCandidates(this->task.organisation, this->task.homes, now);
    const std::optional<ReadChoice> choice
        = this->group->selector().chooseByLoad(candidates, this->excludedServers, now, this->groupContext.randomDraw());
    const std::optional<BackendServerId> server = choice ? std::optional(choice->server) : std::nullopt;
    if (choice)
        this->groupContext.recordReadChoice(*choice);
    if (!server && !candidates.empty()) {
        this->excludedServers.clear();
        this->retryAfter(candidateRoundDelay);
        return;
    }
    if (!server) {
        this->lastAttemptError = ErrorKind::NoPrimary;
        this->choosePrimary();
        return;
    }
    this->acquireLink(*server);
}

void StatementRun::choosePrimary()
{
    this->requiredPosition.reset();
    auto self = this->shared_from_this();
    this->primaryTicket
        = this->group->whenPrimaryUsable(this->task.organisation, this->giveUpAt, [self](const std::optional<BackendServerId>& primary) {
              self->primaryTicket = 0;
              if (self->hasFinished)
                  return;
              if (!primary) {
                  self->finishWithError(ErrorKind::NoPrimary, "the group has no usable primary");
                  return;
              }
              self->acquireLink(*primary);
          });
}

void StatementRun::acquireLink(const BackendServerId& server)
{
    this->target = server;
    const std::shared_ptr<LinkPool> pool = this->groupContext.pool(server);
    if (!pool) {
        this->lastAttemptError = ErrorKind::NoPrimary;
        this->excludedServers.push_back(server);
        this->retryAfter(unreachableRetryDelay);
        return;
    }
    // Only the primary can be outside: the other candidates were chosen inside.
    const Placement placement = this->groupContext.placementIn(pool->server().dataCentre, this->task.homes, bootNow());
    if (placement == Placement::OutsideHomes) {
        this->finishWithError(ErrorKind::NoPrimary, std::string(placementDetail(placement)));
        return;
    }
    this->phase = Phase::Acquiring;
    this->currentLink.pool = pool;
    auto self = this->shared_from_this();
    const uint64_t ticket = pool->acquire({ this->task.organisation, this->task.route.priority, this->giveUpAt, this->task.objectiveAt },
        [self](AcquireOutcome outcome, const std::shared_ptr<BackendLink>& link) {
            self->acquireTicket = 0;
            self->handleAcquireOutcome(outcome, link);
        });
    if (this->phase == Phase::Acquiring && !this->currentLink.link)
        this->acquireTicket = ticket;
}

void StatementRun::handleAcquireOutcome(AcquireOutcome outcome, const std::shared_ptr<BackendLink>& link)
{
    if (this->hasFinished) {
        if (link)
            this->currentLink.pool->release(link);
        return;
    }
    if (outcome == AcquireOutcome::Acquired) {
        this->currentLink.link = link;
        link->setListener(this);
        this->prepareLink();
        return;
    }
    const std::shared_ptr<LinkPool> pool = std::exchange(this->currentLink, PooledLink {}).pool;
    if (outcome == AcquireOutcome::Exhausted) {
        this->handleExhausted(pool->nextReturnAt());
        return;
    }
    this->lastAttemptError = ErrorKind::NoPrimary;
    this->group->recordFailure(this->target, bootNow());
    this->excludedServers.push_back(this->target);
    this->retryAfter(this->needsPrimary() ? unreachableRetryDelay : Duration(0));
}

bool StatementRun::endAttemptIfPlacementForbids()
{
    const Placement placement = this->groupContext.placementIn(this->currentLink.pool->server().dataCentre, Homes(), bootNow());
    if (placement != Placement::Evacuated)
        return false;
    const bool isEstablished = this->isTransactionEstablished();
    // The server rolls back the transaction of a closed connection.
    if (this->inTransaction())
        this->dropLink();
    else
        this->releaseLink();
    if (isEstablished) {
        this->finishWithError(ErrorKind::TransactionAborted, std::string(placementDetail(placement)));
        return true;
    }
    this->lastAttemptError = ErrorKind::NoPrimary;
    this->retryAfter(Duration(0));
    return true;
}

bool StatementRun::endAttemptIfServerIsCold()
{
    const TimePoint now = bootNow();
    const ServerEntry& server = this->currentLink.pool->server();
    if (this->groupContext.maySendWhileCold(server, now)) {
        this->groupContext.recordSentWhileCold(server, now);
        return false;
    }
    this->lastAttemptError = ErrorKind::Overloaded;
    if (this->isTransactionEstablished()) {
        if (now + coldRetryDelay < this->giveUpAt) {
            this->currentLink.link->setListener(nullptr);
            this->retryAfter(coldRetryDelay);
            return true;
        }
        this->dropLink();
        this->finishWithError(ErrorKind::TransactionAborted, "the server has just started and takes few statements");
        return true;
    }
    this->excludedServers.push_back(this->target);
    if (this->beginsTransaction && this->phase == Phase::Restoring)
        this->dropLink();
    else
        this->releaseLink();
    this->retryAfter(this->needsPrimary() ? coldRetryDelay : Duration(0));
    return true;
}

void StatementRun::prepareLink()
{
    if (this->endAttemptIfPlacementForbids())
        return;
    const PreparedStatement* executed = this->task.prepared ? &*this->task.prepared : nullptr;
    std::string messages;
    this->restoresOutstanding = 0;
    this->hasRestoreFailed = false;
    for (const RestoreStep& step : this->currentLink.link->state().restore(this->session, executed)) {
        this->groupContext.backendCodec().writeRestore(messages, step);
        ++this->restoresOutstanding;
    }
    if (this->beginsTransaction) {
        const BackendCommand command = this->session.isReadOnly() ? BackendCommand::BeginRead : BackendCommand::Begin;
        this->groupContext.backendCodec().writeCommand(messages, command, Term {}, this->requiredPosition);
        ++this->restoresOutstanding;
    }
    const TimePoint startsBy = std::max(bootNow(), this->currentLink.link->startsBy());
    this->attemptDeadline = this->isSafeToRetry() ? std::min(this->task.deadline,
                                startsBy + std::max(minReadAttemptTimeout, scaled(this->task.route.latencyObjective, readAttemptFraction)))
                                                  : this->task.deadline;
    if (this->restoresOutstanding == 0) {
        this->sendStatement();
        return;
    }
    this->phase = Phase::Restoring;
    this->currentLink.link->sendStatements(messages, this->restoresOutstanding);
}

void StatementRun::sendStatement()
{
    if (this->endAttemptIfPlacementForbids())
        return;
    // The primary lease may have expired while the run waited for the connection and its preparation.
    const bool runsAtPrimary = !this->requiredPosition && !this->pinnedLink;
    if (runsAtPrimary && !this->group->isUsablePrimary(this->target, bootNow())) {
        if (this->beginsTransaction)
            this->dropLink();
        else
            this->releaseLink();
        this->lastAttemptError = ErrorKind::NoPrimary;
        this->retryAfter(Duration(0));
        return;
    }
    if (this->endAttemptIfServerIsCold())
        return;
    if (this->commitsWrite() && this->group->areCommitsHeldBack(bootNow())) {
        // The server rolls back the transaction of a closed connection.
        this->dropLink();
        this->finishWithError(ErrorKind::TransactionAborted, "the primary is being replaced");
        return;
    }
    this->phase = Phase::Running;
    ++this->attempts;
    if (this->commitsWrite()) {
        this->isCommitInFlight = true;
        this->group->recordCommitSent();
    }
    std::string bytes;
    const std::optional<LogPoint> required = this->inTransaction() ? std::nullopt : this->requiredPosition;
    if (this->task.prepared) {
        this->groupContext.backendCodec().writeExecute(bytes, this->task.requestId,
            this->currentLink.link->state().preparedName(*this->task.prepared), this->task.statement.argument, required);
    } else {
        this->groupContext.backendCodec().writeStatement(bytes, this->task.requestId, this->task.statement.text, required);
    }
    this->currentLink.link->sendStatements(bytes, 1);
}

void StatementRun::linkReplied(LinkReply&& reply)
{
    const auto self = this->shared_from_this();
    if (this->phase == Phase::Restoring)
        this->handleRestoreReply(reply);
    else if (this->phase == Phase::Running)
        this->handleStatementReply(std::move(reply));
}

void StatementRun::handleRestoreReply(const LinkReply& reply)
{
    --this->restoresOutstanding;
    const bool isBegin = this->beginsTransaction && this->restoresOutstanding == 0;
    if (!reply.succeeded() && !isBegin)
        this->hasRestoreFailed = true;
    if (this->restoresOutstanding > 0)
        return;
    // A connection in an unknown state is closed; no part of the statement has been sent.
    if (this->hasRestoreFailed) {
        if (!this->beginsTransaction && this->pinnedLink) {
            this->dropLink();
            this->finishWithError(ErrorKind::TransactionAborted, "the transaction's connection could not be prepared");
            return;
        }
        this->dropLink();
        this->retryAfter(busyRetryDelay);
        return;
    }
    if (!reply.succeeded()) {
        this->handleRejection(reply);
        return;
    }
    this->sendStatement();
}

bool StatementRun::commitsWrite() const
{
    return (this->task.statement.kind == StatementKind::Commit && this->session.hasWritten())
        || (this->task.writes && !this->inTransaction());
}

void StatementRun::endCommit()
{
    if (std::exchange(this->isCommitInFlight, false))
        this->group->recordCommitEnded();
}

void StatementRun::handleStatementReply(LinkReply&& reply)
{
    this->endCommit();
    const TimePoint now = bootNow();
    if (!provesNotRun(reply.errorCode))
        this->currentLink.pool->recordServiceTime(now - reply.sentAt, !reply.succeeded());
    if (reply.succeeded()) {
        this->finishWithReply(std::move(reply));
        return;
    }
    if (provesNotRun(reply.errorCode)) {
        this->handleRejection(reply);
        return;
    }
    // The server ran the statement, and it failed. A read is retried on another server; the failure of a write is returned to the
    // caller.
    this->group->selector().deprioritize(this->target, now);
    if (this->isSafeToRetry() && this->lostReplies < maxLostReplies) {
        ++this->lostReplies;
        this->excludedServers.push_back(this->target);
        this->releaseLink();
        this->retryAfter(Duration(0));
        return;
    }
    this->finishWithReply(std::move(reply));
}

void StatementRun::handleRejection(const LinkReply& reply)
{
    const TimePoint now = bootNow();
    const BackendErrorCode code = reply.errorCode;
    this->lastAttemptError = code == BackendErrorCode::Lagging ? ErrorKind::ReadNotCurrent
        : code == BackendErrorCode::NotPrimary                 ? ErrorKind::NotPrimary
                                                               : ErrorKind::Overloaded;
    if (code == BackendErrorCode::Busy)
        this->currentLink.pool->recordBusy();
    if (code == BackendErrorCode::NotPrimary)
        this->group->recordNotPrimary(this->target);
    else if (!this->needsPrimary())
        this->group->selector().deprioritize(this->target, now);

    if (this->isTransactionEstablished()) {
        // Only the transaction's own connection can run the statement.
        if (code == BackendErrorCode::Busy && reply.transactionState == TransactionState::Open && now + busyRetryDelay < this->giveUpAt) {
            this->currentLink.link->setListener(nullptr);
            this->retryAfter(busyRetryDelay);
            return;
        }
        RunResult result;
        result.error = code == BackendErrorCode::NotPrimary ? ErrorKind::TransactionAborted : this->lastAttemptError;
        result.detail = reply.errorText;
        this->dropLink();
        this->finish(std::move(result));
        return;
    }
    // A connection that lacks a statement that should be prepared on it is in an unexpected state and is closed.
    if (code == BackendErrorCode::UnknownPreparedStatement)
        this->dropLink();
    else
        this->releaseLink();
    this->excludedServers.push_back(this->target);
    this->retryAfter(this->needsPrimary() || code == BackendErrorCode::Busy ? busyRetryDelay : Duration(0));
}

void StatementRun::finishWithReply(LinkReply&& reply)
{
    const TimePoint now = bootNow();
    const bool hasSucceeded = reply.succeeded();
    this->currentLink.pool->recordReply(reply.sentAt);
    this->group->recordReply(this->target, reply.position, reply.sentAt, hasSucceeded && this->commitsWrite());
    if (hasSucceeded && !this->task.writes)
        this->group->selector().recordReply(this->target, now - reply.sentAt, now);
    RunResult result;
    result.server = this->target;
    const bool transactionKeepsLink
        = this->inTransaction() && this->task.statement.kind != StatementKind::Commit && reply.transactionState != TransactionState::None;
    if (transactionKeepsLink) {
        this->currentLink.link->setListener(nullptr);
        this->pinnedLink = std::exchange(this->currentLink, PooledLink {});
    } else {
        this->releaseLink();
    }
    result.reply = std::move(reply);
    this->finish(std::move(result));
}

void StatementRun::linkLost()
{
    const auto self = this->shared_from_this();
    if (this->phase == Phase::Running) {
        this->handleLostReply("the connection to the backend server was lost");
        return;
    }
    if (this->phase != Phase::Restoring)
        return;
    const bool isServerFailure = this->currentLink.link->lossIndicatesServerFailure();
    this->dropLink();
    if (this->isTransactionEstablished()) {
        this->finishWithError(ErrorKind::TransactionAborted, "the transaction's connection was lost");
        return;
    }
    this->recordServerFailure(isServerFailure);
    this->excludedServers.push_back(this->target);
    this->retryAfter(Duration(0));
}

void StatementRun::linkDenied(AcquireOutcome outcome)
{
    const auto self = this->shared_from_this();
    const bool isServerFailure = this->currentLink.link->lossIndicatesServerFailure();
    const std::optional<TimePoint> returnAt = this->currentLink.link->returnAt();
    this->dropLink();
    if (outcome == AcquireOutcome::Exhausted) {
        this->handleExhausted(returnAt);
        return;
    }
    this->lastAttemptError = ErrorKind::NoPrimary;
    this->recordServerFailure(isServerFailure);
    // A relay that does not know the server yet answers at once, so a read that tried the same server again would not end.
    if (isServerFailure || outcome == AcquireOutcome::Gone)
        this->excludedServers.push_back(this->target);
    this->retryAfter(this->needsPrimary() ? unreachableRetryDelay : Duration(0));
}

void StatementRun::handleExhausted(std::optional<TimePoint> returnAt)
{
    this->lastAttemptError = ErrorKind::Overloaded;
    this->excludedServers.push_back(this->target);
    const bool isFirstTime = this->exhaustedServers.insert(this->target).second;
    if (returnAt)
        this->roomAt = std::min(*returnAt, this->roomAt.value_or(*returnAt));
    const auto candidates = this->needsPrimary() ? std::vector<ReadCandidate> {}
                                                 : this->group->readCandidates(this->task.organisation, this->task.homes, bootNow());
    const bool canRunElsewhere = isFirstTime && std::any_of(candidates.begin(), candidates.end(), [&](const ReadCandidate& candidate) {
        return this->exhaustedServers.count(candidate.server) == 0;
    });
    if (canRunElsewhere) {
        this->retryAfter(Duration(0));
        return;
    }
    RunResult result;
    result.error = ErrorKind::Overloaded;
    result.retryAt = this->roomAt;
    result.detail = "the statements before it leave no time";
    this->finish(std::move(result));
}

void StatementRun::recordServerFailure(bool isServerFailure)
{
    if (isServerFailure)
        this->group->recordFailure(this->target, bootNow());
}

void StatementRun::handleLostReply(std::string_view reason)
{
    this->endCommit();
    const TimePoint now = bootNow();
    const bool isCommit = this->task.statement.kind == StatementKind::Commit;
    const bool isServerFailure = this->currentLink.link->lossIndicatesServerFailure();
    this->dropLink();
    this->recordServerFailure(isServerFailure);
    if (this->isSafeToRetry()) {
        if (this->lostReplies < maxLostReplies && now < this->task.deadline) {
            ++this->lostReplies;
            this->excludedServers.push_back(this->target);
            this->startNextAttempt();
            return;
        }
        this->finishWithoutReply(reason);
        return;
    }
    const bool isRolledBack = this->inTransaction() && !isCommit;
    if (!isRolledBack && !(isCommit && !this->session.hasWritten()))
        this->group->recordUnansweredCommit(this->target, now);
    this->finishWithoutReply(reason);
}

void StatementRun::finishWithoutReply(std::string_view reason)
{
    const bool isCommit = this->task.statement.kind == StatementKind::Commit;
    ErrorKind error = ErrorKind::OutcomeUnknown;
    if (this->isSafeToRetry() || (isCommit && !this->session.hasWritten()))
        error = ErrorKind::StatementFailed;
    else if (this->inTransaction() && !isCommit)
        // The connection is closed, so the server rolls back a transaction whose commit was not requested.
        error = ErrorKind::TransactionAborted;
    this->finishWithError(error, std::string(reason));
}

void StatementRun::releaseLink()
{
    if (!this->currentLink)
        return;
    const PooledLink formerLink = std::exchange(this->currentLink, PooledLink {});
    if (this->pinnedLink && this->pinnedLink.link == formerLink.link)
        this->pinnedLink = PooledLink {};
    formerLink.pool->release(formerLink.link);
}

void StatementRun::dropLink()
{
    if (!this->currentLink)
        return;
    const PooledLink formerLink = std::exchange(this->currentLink, PooledLink {});
    if (this->pinnedLink && this->pinnedLink.link == formerLink.link)
        this->pinnedLink = PooledLink {};
    formerLink.pool->drop(formerLink.link);
}

void StatementRun::retryAfter(Duration delay)
{
    this->phase = Phase::WaitingToRetry;
    auto self = this->shared_from_this();
    if (delay == Duration(0)) {
        boost::asio::post(this->context, [self] { self->startNextAttempt(); });
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(this->context, delay);
    timer->async_wait([self, timer](const boost::system::error_code&) { self->startNextAttempt(); });
}

void StatementRun::sweep(TimePoint now)
{
    if (this->hasFinished || !this->currentLink.link || now < this->attemptDeadline)
        return;
    const auto self = this->shared_from_this();
    if (this->phase == Phase::Running) {
        this->handleLostReply("the backend server did not reply in time");
    } else if (this->phase == Phase::Restoring) {
        this->dropLink();
        this->group->recordFailure(this->target, now);
        if (this->isTransactionEstablished()) {
            this->finishWithError(ErrorKind::TransactionAborted,
                "the backend server did not reply in time to the preparation of the transaction's connection");
            return;
        }
        this->excludedServers.push_back(this->target);
        this->startNextAttempt();
    }
}

void StatementRun::abandon()
{
    if (this->hasFinished)
        return;
    // A run that has already sent messages continues to its end, so that its connection can be reused.
    if (this->phase == Phase::Running || this->phase == Phase::Restoring)
        return;
    this->cancelWaits();
    RunResult result;
    result.detail = "the caller disconnected";
    this->finish(std::move(result));
}

void StatementRun::cancelWaits()
{
    if (this->acquireTicket != 0 && this->currentLink.pool)
        this->currentLink.pool->cancel(this->acquireTicket);
    if (this->primaryTicket != 0)
        this->group->cancel(this->primaryTicket);
}

void StatementRun::endForStop()
{
    if (this->hasFinished)
        return;
    const auto self = this->shared_from_this();
    if (this->phase == Phase::Running) {
        this->endCommit();
        this->dropLink();
        this->finishWithoutReply("this VM stopped before the backend server replied");
        return;
    }
    this->cancelWaits();
    this->dropLink();
    this->finishWithError(this->isTransactionEstablished() ? ErrorKind::TransactionAborted : ErrorKind::Stopping, "this VM is stopping");
}

void StatementRun::finishWithError(ErrorKind error, std::string detail)
{
    RunResult result;
    result.error = error;
    result.detail = std::move(detail);
    this->finish(std::move(result));
}

void StatementRun::finish(RunResult&& result)
{
    if (std::exchange(this->hasFinished, true))
        return;
    result.attempts = this->attempts;
    if (result.server.empty())
        result.server = this->target;
    // The callback may end the session and destroy this run, so it is called from the event loop.
    boost::asio::post(this->context,
        [onFinished = std::exchange(this->callback, nullptr), result = std::move(result)]() mutable { onFinished(std::move(result)); });
}

}
