#pragma once

#include "foxtailtrail/execution/Execution.h"

namespace foxtail {

// Finds out whether a write ran, at the current primary. It inserts the id as abandoned: when that succeeds and is
// durable, no attempt under the id can commit any more, since each inserts the id first. When the id is there, the
// write ran and its kept answer is the result. Repeating a resolution is harmless.
class Resolution final : public Execution {
public:
    // The digest, when given, tells a row of another request under the same id apart.
    Resolution(OrganisationId, RequestId, std::optional<std::string> digest, TimePoint deadline);

private:
    // What the outstanding statement is.
    enum class Stage : uint8_t {
        Begin,
        TermCheck,
        InsertId,
        ReadExistingRow,
    };

    void onConnected() override;
    void onResult(const StatementResult&) override;
    void onCommitted() override;
    ExecutionEffect durableOutcome(const LogPoint&) override;
    ExecutionEffect failedOutcome(Error) override;
    bool commitHasEffect() const override { return true; }

    void run(Stage, Statement);
    void onExistingRow(const StatementResult&);

    OrganisationId organisation;
    RequestId requestId;
    std::optional<std::string> digest;
    Stage stage = Stage::Begin;
    // The result once the commit is durable.
    ResolutionResult resolutionResult;
};

}
