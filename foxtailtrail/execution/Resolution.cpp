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
            this->resolved = { Ran::No, std::nullopt, "the request did not run and its id is given up" };
            this->commit();
        } else {
            this->run(Stage::ReadRow, touchRequestStatement(this->organisation, this->requestId));
        }
        return;
    case Stage::ReadRow:
        this->onRow(result);
        return;
    }
}

void Resolution::onCommitted() { this->awaitDurability(); }

ExecutionEffect Resolution::durableOutcome(const LogPoint& point)
{
    if (this->resolved.answer) {
        this->resolved.answer->point = point;
        this->resolved.answer->server = this->server();
    }
    return std::move(this->resolved);
}

ExecutionEffect Resolution::failedOutcome(Error error)
{
    const std::string_view name = errorKindRow(error.kind).name;
    return Resolved { Ran::Unknown, std::nullopt, std::string(name) + (error.detail.empty() ? "" : ": ") + error.detail };
}

void Resolution::run(Stage next, Statement statement)
{
    this->stage = next;
    Execution::run(std::move(statement));
}

void Resolution::onRow(const StatementResult& result)
{
    const auto row = requestRowOf(result);
    if (!row) {
        this->rollBack({ ErrorKind::Conflict, "the request id was being used by another transaction" });
        return;
    }
    TransactionOutcome outcome = outcomeOfRow(*row, this->digest.value_or(row->digest));
    if (outcome.has_value()) {
        this->resolved = { Ran::Yes, std::move(outcome.value()), {} };
    } else {
        this->resolved = { errorKindRow(outcome.error().kind).ran, std::nullopt, outcome.error().detail };
    }
    this->commit();
}

}
