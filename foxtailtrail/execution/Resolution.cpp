#include "foxtailtrail/execution/Resolution.h"

#include "foxtailtrail/execution/WriteExecution.h"

#include <utility>

namespace foxtail {

Resolution::Resolution(OrganisationId organisation, RequestId requestId, std::optional<std::string> digest, TimePoint deadline)
    : Execution(deadline)
    , organisation(std::move(organisation))
    , requestId(std::move(requestId))
    , digest(std::move(digest))
{
}

void Resolution::onConnected() { this->run(Stage::Begin, beginWriteStatement()); }

void Resolution::onResult(const StatementResult& result)
{
    switch (this->stage) {
    case Stage::Begin:
        this->run(Stage::TermCheck, platformBeginStatement(this->term(), this->organisation));
        return;
    case Stage::TermCheck:
        this->run(Stage::InsertId, insertRequestStatement(this->organisation, this->requestId, abandonedDigest));
        return;
    case Stage::InsertId:
        if (result.rowCount == 1) {
            this->resolutionResult = { HasRun::No, std::nullopt, "the request did not run and its id was abandoned" };
            this->commit();
        } else {
            this->run(Stage::ReadExistingRow, touchRequestStatement(this->organisation, this->requestId));
        }
        return;
    case Stage::ReadExistingRow:
        this->onExistingRow(result);
        return;
    }
}

void Resolution::onCommitted() { this->readCommitPosition(); }

ExecutionEffect Resolution::durableOutcome(const LogPoint& point)
{
    if (this->resolutionResult.answer) {
        this->resolutionResult.answer->point = point;
        this->resolutionResult.answer->server = this->server();
    }
    return std::move(this->resolutionResult);
}

ExecutionEffect Resolution::failedOutcome(Error error)
{
    const std::string_view name = errorKindProperties(error.kind).name;
    return ResolutionResult { HasRun::Unknown, std::nullopt, std::string(name) + (error.detail.empty() ? "" : ": ") + error.detail };
}

void Resolution::run(Stage next, Statement statement)
{
    this->stage = next;
    Execution::run(std::move(statement));
}

void Resolution::onExistingRow(const StatementResult& result)
{
    const auto row = requestRowOf(result);
    if (!row) {
        this->rollBack({ ErrorKind::Conflict, "the request id was being used by another transaction" });
        return;
    }
    TransactionOutcome outcome = outcomeOfRow(*row, this->digest.value_or(row->digest));
    if (outcome.has_value()) {
        this->resolutionResult = { HasRun::Yes, std::move(outcome.value()), {} };
    } else {
        this->resolutionResult = { errorKindProperties(outcome.error().kind).ran, std::nullopt, outcome.error().detail };
    }
    this->commit();
}

}
