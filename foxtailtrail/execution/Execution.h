#pragma once

#include "foxtailtrail/execution/DatabaseError.h"
#include "foxtailtrail/execution/ExecutionEvents.h"
#include "foxtailtrail/execution/RequestTable.h"

namespace foxtail {

// One transaction on one connection, from the queue to the answer. This is what writes, reads and resolutions share:
// the connection, the outstanding step, rollback, commit and durability. The driver performs the effects in order,
// feeds back the events and reports DeadlinePassed at deadline(). A connection that arrives after the end is returned.
//
// Invariants: at most one step is outstanding; a connection is returned only when no step is outstanding and no
// transaction is open; the last effect of an execution is its one Answer or Resolved.
class Execution {
public:
    virtual ~Execution() = default;

    // Begins by queueing for a connection. Called once.
    ExecutionEffects start();

    // Takes one event and returns what to do. Events that come too late have no effect.
    ExecutionEffects handle(const ExecutionEvent&);

    bool isFinished() const { return this->phase == Phase::Finished; }
    TimePoint deadline() const { return this->requestDeadline; }

protected:
    explicit Execution(TimePoint deadline)
        : requestDeadline(deadline)
    {
    }

    Execution(const Execution&) = default;
    Execution& operator=(const Execution&) = default;

    // Called when the connection is there: runs the first statement.
    virtual void onConnected() = 0;

    // Called with the whole result of a statement: runs the next one, commits or rolls back.
    virtual void onResult(const StatementResult&) = 0;

    // Called when the COMMIT succeeded and the connection has no step outstanding.
    virtual void onCommitted() = 0;

    // The last effect when a majority holds the commit.
    virtual ExecutionEffect durableOutcome(const LogPoint&) = 0;

    // The last effect when the transaction was not run, was rolled back, or has an unknown outcome.
    virtual ExecutionEffect failedOutcome(Error) = 0;

    // Whether a COMMIT that was sent may have changed data.
    virtual bool commitHasEffect() const = 0;

    // Sends a statement as the next step.
    void run(Statement);

    // Ends the transaction without effect and then fails with the error.
    void rollBack(Error);

    // Sends COMMIT.
    void commit();

    // Asks for the position of the commit; returns the connection and waits for durability after that.
    void readCommitPosition();

    // Returns the connection and waits until a majority holds the point.
    void returnConnectionAndAwaitDurability(const LogPoint&);

    // Gives the connection back and ends with the effect.
    void returnConnectionAndFinish(ExecutionEffect);

    const BackendServerId& server() const { return this->connectedServer; }
    Term term() const { return this->connectedTerm; }

private:
    enum class Phase : uint8_t {
        Created,
        Queued,
        Running,
        RollingBack,
        Committing,
        ReadingPosition,
        AwaitingDurability,
        Finished,
    };

    void on(const ConnectionReady&);
    void on(const QueueRefused&);
    void on(const StepSucceeded&);
    void on(const StepFailed&);
    void on(const ConnectionLost&);
    void on(const DeadlinePassed&);
    void on(const DurabilityReached&);
    void on(const TermAdvanced&);

    bool holdsConnection() const;
    void onCommitPosition(const StatementResult&);
    // Ends because the connection cannot be used any longer. A transaction that cannot have committed fails with the
    // given error.
    void closeAndFail(Error notRun, bool outstandingStepSent);
    void finish(ExecutionEffect);

    ExecutionEffects takeEffects();

    Phase phase = Phase::Created;
    TimePoint requestDeadline;
    uint32_t step = 0;
    BackendServerId connectedServer;
    Term connectedTerm;
    LogPoint awaitedPoint;
    // Why the transaction is being rolled back.
    Error rollbackReason;
    ExecutionEffects effects;
};

}
