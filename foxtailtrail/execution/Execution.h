#pragma once

#include "foxtailtrail/execution/DatabaseError.h"
#include "foxtailtrail/execution/ExecutionEvents.h"
#include "foxtailtrail/execution/RequestTable.h"

namespace foxtail {

// One transaction on one connection, from the queue to the answer. This is the common part of writes, reads and resolutions: the
// connection, the outstanding step, rollback, commit and durability. The driver performs the effects in order, passes events to
// handle() and reports DeadlinePassed at deadline(). A connection that arrives after the end is returned.
//
// Invariants: at most one step is outstanding; a connection is returned only when no step is outstanding and no transaction is
// open; the last effect of an execution is its only Answer or ResolutionResult.
class Execution {
public:
    virtual ~Execution() = default;

    // Starts queueing for a connection. Called once.
    ExecutionEffects start();

    // Handles one event and returns the effects to perform. Events that arrive too late have no effect.
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

    // Called when the connection is ready: runs the first statement.
    virtual void onConnected() = 0;

    // Called with the complete result of a statement: runs the next one, commits or rolls back.
    virtual void onResult(const StatementResult&) = 0;

    // Called after COMMIT succeeded, when no step is outstanding.
    virtual void onCommitted() = 0;

    // Returns the last effect when a majority of the group holds the commit.
    virtual ExecutionEffect durableOutcome(const LogPoint&) = 0;

    // Returns the last effect when the transaction did not run, was rolled back or has an unknown outcome.
    virtual ExecutionEffect failedOutcome(Error) = 0;

    // Returns whether a COMMIT that was sent may have changed data.
    virtual bool commitHasEffect() const = 0;

    // Sends a statement as the next step.
    void run(Statement);

    // Rolls the transaction back, then fails with the error.
    void rollBack(Error);

    // Sends COMMIT.
    void commit();

    // Queries the position of the commit, then returns the connection and waits for durability.
    void readCommitPosition();

    // Returns the connection and waits until a majority of the group holds the log point.
    void returnConnectionAndAwaitDurability(const LogPoint&);

    // Returns the connection and finishes with the effect.
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
    // Closes the connection, which cannot be used any longer, and finishes. A transaction that cannot have committed fails with the
    // error notRun.
    void closeAndFail(Error notRun, bool wasStepSent);
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
