#include "foxtailtrail/execution/ReadExecution.h"

#include <utility>

namespace foxtail {

ReadExecution::ReadExecution(TransactionRequest request, const ReadTarget& target, const ExecutionSettings& settings)
    : Execution(request.deadline)
    , request(std::move(request))
    , target(target)
    , settings(settings)
{
}

void ReadExecution::onConnected()
{
    this->answer.server = this->server();
    this->answer.source = this->target.source;
    this->answer.point = this->request.token;
    this->run(beginReadStatement());
}

void ReadExecution::onResult(const StatementResult& result)
{
    switch (this->stage) {
    case Stage::Begin:
        if (this->target.source == AnswerSource::Replica)
            return this->runPointCheck();
        this->stage = Stage::TermCheck;
        return this->run(platformBeginStatement(this->term(), this->request.organisation));
    case Stage::TermCheck:
        return this->runPointCheck();
    case Stage::PointCheck:
        this->stage = Stage::Statements;
        return this->runNextStatement();
    case Stage::Statements:
        return this->onStatementResult(result);
    }
}

void ReadExecution::onCommitted()
{
    // Every server of the term holds position 0, so only the term is confirmed.
    if (this->target.mustConfirmTerm) {
        this->returnConnectionAndAwaitDurability({ this->term(), Position {} });
    } else {
        this->returnConnectionAndFinish(Answer { std::move(this->answer) });
    }
}

ExecutionEffect ReadExecution::durableOutcome(const LogPoint&) { return Answer { std::move(this->answer) }; }

ExecutionEffect ReadExecution::failedOutcome(Error error)
{
    if (error.kind == ErrorKind::OutcomeUnknown)
        error = { ErrorKind::ReadNotCurrent, "the primary's term could not be confirmed" };
    return Answer { fail(error.kind, std::move(error.detail)) };
}

void ReadExecution::runPointCheck()
{
    this->stage = Stage::PointCheck;
    this->run(platformRequireStatement(this->target.requiredPosition.value_or(LogPoint {})));
}

void ReadExecution::onStatementResult(const StatementResult& result)
{
    const size_t index = this->answer.results.size();
    const auto expected = this->request.statements[index].expectRows;
    this->answerBytes += resultBytes(result);
    if (expected && *expected != result.rowCount) {
        this->rollBack({ ErrorKind::ExpectationFailed, "unexpected row count of statement " + std::to_string(index + 1) });
    } else if (this->answerBytes > this->settings.maxAnswerBytes) {
        this->rollBack({ ErrorKind::AnswerTooLarge, {} });
    } else {
        this->answer.results.push_back(result);
        this->runNextStatement();
    }
}

void ReadExecution::runNextStatement()
{
    if (this->answer.results.size() < this->request.statements.size()) {
        this->run(this->request.statements[this->answer.results.size()]);
    } else {
        this->commit();
    }
}

}
