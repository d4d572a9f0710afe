#pragma once

#include "foxtailtrail/execution/Execution.h"

namespace foxtail {

// Determines at the current primary whether a write ran. It inserts the request id as abandoned: once that insert is durable, no
// attempt under the id can commit, because every attempt inserts the id first. If the id already exists, the write ran and the
// answer stored with it is the result. A resolution can safely be repeated.
class Resolution final : public Execution {
public:
    // The digest, if given, detects a row that another request inserted under the same id.
    Resolution(OrganisationId, RequestId, std::optional<std::string> digest, TimePoint deadline);

private:
    // The purpose of the outstanding statement.
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
    // The result to report once the commit is durable.
    ResolutionResult resolutionResult;
};

}
