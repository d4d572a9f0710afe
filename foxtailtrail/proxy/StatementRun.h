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
#include <string>
#include <vector>

namespace foxtail {

// A connection that a transaction holds.
struct PooledLink {
    std::shared_ptr<LinkPool> pool;
    std::shared_ptr<BackendLink> link;
    explicit operator bool() const { return this->link != nullptr; }
};

// What a statement run needs of its session.
struct StatementTask {
    std::string requestId;
    SessionStatement statement;
    // Whether the statement writes; for Execute, that of its prepared statement.
    bool writes = false;
    // The prepared statement that Execute names.
    std::optional<PreparedStatement> prepared;
    DatabaseRoute route;
    std::string organisation;
    TimePoint deadline {};
};

// How a statement ended.
struct RunResult {
    // Set when a backend server answered; otherwise the error kind tells what happened.
    std::optional<LinkReply> reply;
    ErrorKind error = ErrorKind::Internal;
    std::string detail;
    BackendServerId server;
    uint32_t attempts = 0;
};

// Runs one statement of a session on a backend server: chooses the server, takes a connection, brings it to the session's state,
// sends the statement, and tries again elsewhere while that is safe. A statement that may have run is repeated only if it reads
// and its transaction has seen no earlier answer.
class StatementRun final : public LinkListener, public std::enable_shared_from_this<StatementRun> {
public:
    using Callback = std::function<void(RunResult&&)>;

    // Starts the run. The session outlives it. The pinned link is that of the open transaction; an empty one is filled when the
    // transaction's first statement has run. The callback is called once, not before start() returns.
    static std::shared_ptr<StatementRun> start(boost::asio::io_context&, GroupContext&, std::shared_ptr<GroupTracker>, const SessionState&,
        PooledLink& pinned, StatementTask, Callback);

    // Ends attempts and the whole run when their time is over.
    void sweep(TimePoint now);
    // The caller is gone: nothing more is tried. The connection is given up if a statement is under way.
    void abandon();
    bool isFinished() const { return this->finished; }

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
    // Whether only the primary may run the statement.
    bool needsPrimary() const;
    // Whether an attempt that may have run can be repeated.
    bool isSafeToRetry() const;
    void startNextAttempt();
    void chooseReplica();
    void choosePrimary();
    void acquireLink(const BackendServerId&);
    void handleAcquireOutcome(AcquireOutcome, const std::shared_ptr<BackendLink>&);
    void prepareLink();
    void sendStatement();
    void linkReplied(LinkReply&&) override;
    void linkLost() override;
    void linkDenied(AcquireOutcome) override;
    void handleRestoreReply(const LinkReply&);
    void handleStatementReply(LinkReply&&);
    // Handles a refusal that proves that the statement did not run.
    void handleRejection(const LinkReply&);
    // Handles the loss of the answer to a statement that may have run.
    void handleLostReply(std::string_view why);
    // Takes note of a failure of the server, unless only what lies between is to blame.
    void recordServerFailure(bool concernsServer);
    // Gives the connection back or closes it, unless the transaction keeps it.
    void releaseLink();
    void dropLink();
    void retryAfter(Duration pause);
    void finishWithReply(LinkReply&&);
    void finishWithError(ErrorKind, std::string detail);
    void finish(RunResult&&);

    boost::asio::io_context& context;
    GroupContext& host;
    std::shared_ptr<GroupTracker> group;
    const SessionState& session;
    PooledLink& pinnedLink;
    StatementTask task;
    Callback callback;

    Phase phase = Phase::Choosing;
    // The connection of this run: the pinned one or one of its own.
    PooledLink currentLink;
    // The transaction's first statement: the connection does not belong to a transaction yet.
    bool beginsTransaction = false;
    std::optional<LogPoint> requiredPosition;
    std::vector<BackendServerId> excluded;
    BackendServerId target;
    uint64_t acquireTicket = 0;
    uint64_t primaryTicket = 0;
    size_t restoresOutstanding = 0;
    bool restoreFailed = false;
    // Why the last attempt did not run, for the refusal if none does.
    ErrorKind lastAttemptError = ErrorKind::Overloaded;
    TimePoint attemptDeadline {};
    // A statement that no server has started by this time is refused.
    TimePoint giveUpAt {};
    uint32_t attempts = 0;
    uint32_t lostReplies = 0;
    bool finished = false;
};

}
