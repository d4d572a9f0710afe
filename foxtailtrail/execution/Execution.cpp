#include "foxtailtrail/execution/Execution.h"

#include <cassert>
#include <utility>

namespace foxtail {

ExecutionEffects Execution::start()
{
    assert(this->phase == Phase::Created);
    this->phase = Phase::Queued;
    this->effects.emplace_back(AcquireConnection {});
    return this->takeEffects();
}

ExecutionEffects Execution::handle(const ExecutionEvent& event)
{
    std::visit([this](const auto& each) { this->on(each); }, event);
    return this->takeEffects();
}

void Execution::run(Statement statement)
{
    assert(this->holdsConnection());
    ++this->step;
    this->effects.emplace_back(RunStep { this->step, std::move(statement) });
}

void Execution::rollBack(Error error)
{
    this->phase = Phase::RollingBack;
    this->rollbackReason = std::move(error);
    this->run(rollbackStatement());
}

void Execution::commit()
{
    this->phase = Phase::Committing;
    this->run(commitStatement());
}

void Execution::readCommitPosition()
{
    this->phase = Phase::ReadingPosition;
    this->run(platformPositionStatement());
}

void Execution::returnConnectionAndAwaitDurability(const LogPoint& point)
{
    this->awaitedPoint = point;
    this->phase = Phase::AwaitingDurability;
    this->effects.emplace_back(ReturnConnection {});
    this->effects.emplace_back(AwaitDurability { point });
}

void Execution::returnConnectionAndFinish(ExecutionEffect effect)
{
    this->effects.emplace_back(ReturnConnection {});
    this->finish(std::move(effect));
}

void Execution::on(const ConnectionReady& event)
{
    if (this->phase != Phase::Queued) {
        this->effects.emplace_back(ReturnConnection {});
        return;
    }
    this->phase = Phase::Running;
    this->connectedServer = event.server;
    this->connectedTerm = event.term;
    this->onConnected();
}

void Execution::on(const QueueRefused& event)
{
    if (this->phase == Phase::Queued)
        this->finish(this->failedOutcome(event.error));
}

void Execution::on(const StepSucceeded& event)
{
    if (!this->holdsConnection() || event.step != this->step)
        return;
    switch (this->phase) {
    case Phase::RollingBack:
        this->returnConnectionAndFinish(this->failedOutcome(this->rollbackReason));
        return;
    case Phase::Committing:
        // A server replies to COMMIT with ROLLBACK if the transaction failed before.
        if (event.commandTag == "ROLLBACK") {
            this->returnConnectionAndFinish(this->failedOutcome({ ErrorKind::Conflict, "the server rolled the transaction back" }));
        } else {
            this->onCommitted();
        }
        return;
    case Phase::ReadingPosition:
        this->onCommitPosition(event.result);
        return;
    default:
        this->onResult(event.result);
    }
}

void Execution::on(const StepFailed& event)
{
    if (!this->holdsConnection() || event.step != this->step)
        return;
    const Error error = errorFromFailedStep(event);
    const bool isConnectionEnding = databaseErrorClass(event.sqlState) == DatabaseErrorClass::ConnectionEnding;
    if (isConnectionEnding || this->phase == Phase::RollingBack || this->phase == Phase::ReadingPosition) {
        this->closeAndFail(error, true);
    } else if (this->phase == Phase::Committing) {
        this->returnConnectionAndFinish(this->failedOutcome(error));
    } else {
        this->rollBack(error);
    }
}

void Execution::on(const ConnectionLost& event)
{
    if (this->holdsConnection())
        this->closeAndFail({ ErrorKind::NoPrimary, "the connection to the backend server was lost" }, event.mayHaveBeenSent);
}

void Execution::on(const DeadlinePassed&)
{
    const Error notRun { ErrorKind::DeadlineExceeded, {} };
    if (this->holdsConnection()) {
        this->closeAndFail(notRun, true);
    } else if (this->phase == Phase::AwaitingDurability) {
        this->finish(this->failedOutcome({ ErrorKind::OutcomeUnknown, "no majority of the group confirmed the commit in time" }));
    } else if (!this->isFinished()) {
        this->finish(this->failedOutcome(notRun));
    }
}

void Execution::on(const DurabilityReached& event)
{
    if (this->phase == Phase::AwaitingDurability && event.point == this->awaitedPoint)
        this->finish(this->durableOutcome(event.point));
}

void Execution::on(const TermAdvanced& event)
{
    // Before the commit, the server itself rejects a replaced term, so only an execution that awaits durability is concerned.
    if (this->phase == Phase::AwaitingDurability && event.term > this->connectedTerm)
        this->finish(this->failedOutcome({ ErrorKind::OutcomeUnknown, "the primary was replaced before a majority confirmed the commit" }));
}

bool Execution::holdsConnection() const { return this->phase >= Phase::Running && this->phase <= Phase::ReadingPosition; }

void Execution::onCommitPosition(const StatementResult& result)
{
    const auto point = commitPointOf(result);
    if (!point || point->term != this->connectedTerm) {
        this->closeAndFail({}, true);
        return;
    }
    this->returnConnectionAndAwaitDurability(*point);
}

void Execution::closeAndFail(Error notRun, bool wasStepSent)
{
    const bool wasCommitSent = this->phase == Phase::Committing && wasStepSent;
    const bool hasCommitted = this->phase == Phase::ReadingPosition;
    const bool isOutcomeUnknown = this->commitHasEffect() && (wasCommitSent || hasCommitted);
    if (this->phase == Phase::RollingBack)
        notRun = this->rollbackReason;
    this->effects.emplace_back(CloseConnection {});
    this->finish(
        this->failedOutcome(isOutcomeUnknown ? Error { ErrorKind::OutcomeUnknown, "COMMIT was sent, but the commit could not be confirmed" }
                                             : std::move(notRun)));
}

void Execution::finish(ExecutionEffect effect)
{
    assert(!this->isFinished());
    this->phase = Phase::Finished;
    this->effects.push_back(std::move(effect));
}

ExecutionEffects Execution::takeEffects() { return std::exchange(this->effects, {}); }

}
