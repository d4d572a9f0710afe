#pragma once

#include "foxtailtrail/base/ErrorKind.h"
#include "foxtailtrail/base/Time.h"
#include "foxtailtrail/config/RouteTable.h"
#include "foxtailtrail/proxy/BackendLink.h"
#include "foxtailtrail/proxy/GroupTracker.h"
#include "foxtailtrail/proxy/LinkPool.h"
#include "foxtailtrail/session/SessionState.h"
#include "foxtailtrail/session/SessionStatement.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace foxtail {

// A connection and the pool that it must be returned to.
struct PooledLink {
    std::shared_ptr<LinkPool> pool;
    std::shared_ptr<BackendLink> link;
    explicit operator bool() const { return this->link != nullptr; }
};

// The statement that a run executes, with its route and limits.
struct StatementTask {
    std::string requestId;
    SessionStatement statement;
    // Whether the statement writes; for Execute, whether the prepared statement does.
    bool writes = false;
    // The prepared statement that Execute refers to.
    std::optional<PreparedStatement> prepared;
    DatabaseRoute route;
    std::string organisation;
    // The end of the route's statement timeout.
    TimePoint deadline {};
    // When the operation should end by the latency objective of its route.
    TimePoint objectiveAt = TimePoint::max();
    // The regions in which the statement may run.
    Homes homes {};
    // The time at which this VM ends the run because it stops. A statement that has not started shortly before is refused.
    TimePoint stopBy = TimePoint::max();
};

// The outcome of a statement.
struct RunResult {
    // Set when a backend server replied; otherwise the error kind gives the reason.
    std::optional<LinkReply> reply;
    ErrorKind error = ErrorKind::Internal;
    std::string detail;
    // For a refusal: when the caller may return, if that is known.
    std::optional<TimePoint> retryAt;
    BackendServerId server;
    uint32_t attempts = 0;
};

// Runs one statement of a session on a backend server: chooses the server, acquires a connection, restores the session's state on
// it, sends the statement, and retries on another server while that is safe. A statement that may have run is retried only if it is
// a read and its transaction has received no earlier reply.
class StatementRun final : public LinkListener, public std::enable_shared_from_this<StatementRun> {
public:
    using Callback = std::function<void(RunResult&&)>;

    ~StatementRun() override;

    // Starts the run. The session must outlive it. The pooled link is the connection of the open transaction; an empty one is set
    // once the transaction's first statement has run. The callback is called exactly once, and never before start() returns.
    static std::shared_ptr<StatementRun> start(boost::asio::io_context&, GroupContext&, std::shared_ptr<GroupTracker>, const SessionState&,
        PooledLink& linkOfTransaction, StatementTask, Callback);

    // Ends an attempt that has exceeded its time limit, and the run if it may not be retried.
    void sweep(TimePoint now);
    // Stops the run because the caller has disconnected. A run that has already sent messages on its connection continues to its end,
    // so that the connection can be reused.
    void abandon();
    // Ends the run because this VM stops. Without a statement at a backend server the request is refused, as nothing of it is kept;
    // otherwise the caller learns that the statement has no reply.
    void endForStop();
    bool isFinished() const { return this->hasFinished; }
    // Returns whether nothing has been sent to a backend server in the current attempt.
    bool isWaiting() const { return this->phase != Phase::Running && this->phase != Phase::Restoring; }
    // Returns what the run is doing, for logs.
    std::string_view phaseName() const;

private:
    enum class Phase : uint8_t {
        Choosing,
        Acquiring,
        Restoring,
        Running,
        WaitingToRetry,
    };

    StatementRun(
        boost::asio::io_context&, GroupContext&, std::shared_ptr<GroupTracker>, const SessionState&, PooledLink&, StatementTask, Callback);
    bool inTransaction() const { return this->session.currentTransactionState() == TransactionState::Open; }
    // Returns whether only the primary may run the statement.
    bool needsPrimary() const;
    // Returns whether an attempt that may have run can be retried.
    bool isSafeToRetry() const;
    void startNextAttempt();
    void chooseReplica();
    void choosePrimary();
    void acquireLink(const BackendServerId&);
    void handleAcquireOutcome(AcquireOutcome, const std::shared_ptr<BackendLink>&);
    void prepareLink();
    // Ends the attempt when nothing may be sent to the server of the connection any more. Returns whether it did.
    bool endAttemptIfPlacementForbids();
    // Ends the attempt when the server is cold and this VM may send it nothing now. Returns whether it did; otherwise the statement that
    // follows is recorded.
    bool endAttemptIfServerIsCold();
    void sendStatement();
    void linkReplied(LinkReply&&) override;
    void linkLost() override;
    void linkDenied(AcquireOutcome) override;
    // Handles that the queue of the target has no room for the statement in time: another server may run a read, otherwise the run ends.
    void handleExhausted(std::optional<TimePoint> returnAt);
    void handleRestoreReply(const LinkReply&);
    void handleStatementReply(LinkReply&&);
    // Handles an error that proves that the statement did not run.
    void handleRejection(const LinkReply&);
    // Handles a lost reply to a statement that may have run.
    void handleLostReply(std::string_view reason);
    // Returns whether the success of the statement commits a write.
    bool commitsWrite() const;
    void endCommit();
    // Reports to the caller that a statement that may have run has no reply.
    void finishWithoutReply(std::string_view reason);
    // Returns whether the transaction has a connection on which its earlier statements ran.
    bool isTransactionEstablished() const { return this->inTransaction() && !this->beginsTransaction; }
    void cancelWaits();
    // Records a failure of the server, unless the failure lies between this VM and the server.
    void recordServerFailure(bool isServerFailure);
    // Returns the connection to its pool and detaches it from the transaction that it was pinned to.
    void releaseLink();
    // Closes the connection and detaches it from the transaction that it was pinned to.
    void dropLink();
    void retryAfter(Duration delay);
    void finishWithReply(LinkReply&&);
    void finishWithError(ErrorKind, std::string detail);
    void finish(RunResult&&);

    boost::asio::io_context& context;
    GroupContext& groupContext;
    std::shared_ptr<GroupTracker> group;
    const SessionState& session;
    PooledLink& pinnedLink;
    StatementTask task;
    Callback callback;

    Phase phase = Phase::Choosing;
    // The connection of this run: either the pinned one or one that the run has acquired.
    PooledLink currentLink;
    // Whether this is the transaction's first statement, so that the connection does not belong to the transaction yet.
    bool beginsTransaction = false;
    std::optional<LogPoint> requiredPosition;
    std::vector<BackendServerId> excludedServers;
    // The servers whose queues have no room for the statement in time, and the earliest time at which one of them has room.
    std::set<BackendServerId> exhaustedServers;
    std::optional<TimePoint> roomAt;
    BackendServerId target;
    uint64_t acquireTicket = 0;
    uint64_t primaryTicket = 0;
    size_t restoresOutstanding = 0;
    bool hasRestoreFailed = false;
    // The reason why the last attempt did not run; reported when no attempt runs.
    ErrorKind lastAttemptError = ErrorKind::Overloaded;
    TimePoint attemptDeadline {};
    // A statement that no server has started by this time is rejected.
    TimePoint giveUpAt {};
    uint32_t attempts = 0;
    // Includes replies that report a failure of the statement.
    uint32_t lostReplies = 0;
    bool hasFinished = false;
    // Whether a statement whose success commits a write has been sent and has no reply.
    bool isCommitInFlight = false;
};

}
