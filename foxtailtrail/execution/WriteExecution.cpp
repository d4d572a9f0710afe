#include "foxtailtrail/execution/WriteExecution.h"

#include <utility>

namespace foxtail {

WriteExecution::WriteExecution(TransactionRequest request, const ExecutionSettings& settings)
    : Execution(request.deadline)
    , request(std::move(request))
    , settings(settings)
    , digest(requestDigest(this->request))
    , outcome(fail(ErrorKind::Internal))
{
}

void WriteExecution::onConnected() { this->run(Stage::Begin, beginWriteStatement()); }

void WriteExecution::onResult(const StatementResult& result)
{
    switch (this->stage) {
    case Stage::Begin:
        this->run(Stage::TermCheck, platformBeginStatement(this->term(), this->request.organisation));
        return;
    case Stage::TermCheck:
        this->run(Stage::InsertId, insertRequestStatement(this->request.organisation, this->request.requestId, this->digest));
        return;
    case Stage::InsertId:
        this->onInserted(result);
        return;
    case Stage::ReadExistingRow:
        this->onExistingRow(result);
        return;
    case Stage::Statements:
        this->onStatementResult(result);
        return;
    case Stage::StoreAnswer:
        // Without this row, a repeated request would run again.
        if (result.rowCount == 1)
            this->commit();
        else
            this->rollBack({ ErrorKind::Conflict, "the row of the request id no longer exists" });
        return;
    }
}

void WriteExecution::onCommitted() { this->readCommitPosition(); }

ExecutionEffect WriteExecution::durableOutcome(const LogPoint& point)
{
    if (this->outcome.has_value()) {
        this->outcome.value().point = point;
        this->outcome.value().server = this->server();
    }
    return Answer { std::move(this->outcome) };
}

ExecutionEffect WriteExecution::failedOutcome(Error error) { return Answer { fail(error.kind, std::move(error.detail)) }; }

void WriteExecution::run(Stage next, Statement statement)
{
    this->stage = next;
    Execution::run(std::move(statement));
}

void WriteExecution::onInserted(const StatementResult& result)
{
    if (result.rowCount == 1) {
        this->runNextStatement();
    } else {
        this->run(Stage::ReadExistingRow, touchRequestStatement(this->request.organisation, this->request.requestId));
    }
}

void WriteExecution::onExistingRow(const StatementResult& result)
{
    const auto row = requestRowOf(result);
    if (!row) {
        this->rollBack({ ErrorKind::Conflict, "the request id was being used by another transaction" });
        return;
    }
    this->outcome = outcomeOfRow(*row, this->digest);
    this->commit();
}

void WriteExecution::onStatementResult(const StatementResult& result)
{
    const size_t index = this->results.size();
    const auto expected = this->request.statements[index].expectRows;
    if (expected && *expected != result.rowCount) {
        this->rollBack({ ErrorKind::ExpectationFailed,
            "statement " + std::to_string(index + 1) + " has a row count of " + std::to_string(result.rowCount) + " instead of "
                + std::to_string(*expected) });
        return;
    }
    this->answerBytes += resultBytes(result);
    // Drops the values of an answer that is too large at once, so that they use no memory until the commit.
    this->results.push_back(this->answerBytes > this->settings.maxAnswerBytes ? StatementResult {} : result);
    this->runNextStatement();
}

void WriteExecution::runNextStatement()
{
    if (this->results.size() < this->request.statements.size()) {
        this->run(Stage::Statements, this->request.statements[this->results.size()]);
    } else {
        this->storeAnswer();
    }
}

void WriteExecution::storeAnswer()
{
    SqlValue storedAnswer;
    if (this->answerBytes <= this->settings.maxAnswerBytes) {
        storedAnswer = encodeResults(this->results);
        TransactionAnswer answer;
        answer.results = std::move(this->results);
        this->outcome = std::move(answer);
    } else {
        this->outcome = fail(ErrorKind::AnswerTooLarge);
    }
    this->run(Stage::StoreAnswer, storeAnswerStatement(this->request.organisation, this->request.requestId, storedAnswer));
}

TransactionOutcome outcomeOfRow(const RequestRow& row, std::string_view digest)
{
    if (row.isAbandoned())
        return fail(ErrorKind::RequestIdReused, "the request id was abandoned before the request ran; use a new id");
    if (row.digest != digest)
        return fail(ErrorKind::RequestIdReused);
    if (!row.answer)
        return fail(ErrorKind::AnswerTooLarge, "the request ran; its answer was too large to store");
    auto results = decodeResults(*row.answer);
    if (!results)
        return fail(ErrorKind::Internal, "the stored answer cannot be decoded: " + results.error().detail);
    TransactionAnswer answer;
    answer.results = std::move(results.value());
    return answer;
}

}
