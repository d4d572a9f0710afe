#pragma once

#include "foxtailtrail/execution/WriteExecution.h"

namespace foxtail {

// How a read is to be run, as decided by the router.
struct ReadTarget {
    AnswerSource source = AnswerSource::Primary;
    // The log point that the server must hold. This applies to a primary as well: one that was replaced does not know it. Empty if
    // only the staleness matters, which the router has checked.
    std::optional<LogPoint> requiredPosition;
    // If set, the answer waits until a majority of the group reports the server's term after the read ran. This proves that no
    // later primary had acknowledged a write when the request arrived.
    bool mustConfirmTerm = false;
};

// One attempt at a read at the home of one backend server: BEGIN READ ONLY, the term or log point check in the same transaction,
// the statements, COMMIT. A failed read has no effect, so all of its errors mean "not run".
class ReadExecution final : public Execution {
public:
    ReadExecution(TransactionRequest, const ReadTarget&, const ExecutionSettings&);

private:
    // The purpose of the outstanding statement.
    enum class Stage : uint8_t {
        Begin,
        TermCheck,
        PointCheck,
        Statements,
    };

    void onConnected() override;
    void onResult(const StatementResult&) override;
    void onCommitted() override;
    ExecutionEffect durableOutcome(const LogPoint&) override;
    ExecutionEffect failedOutcome(Error) override;
    bool commitHasEffect() const override { return false; }

    void runPointCheck();
    void onStatementResult(const StatementResult&);
    void runNextStatement();

    TransactionRequest request;
    ReadTarget target;
    ExecutionSettings settings;
    Stage stage = Stage::Begin;
    size_t answerBytes = 0;
    TransactionAnswer answer;
};

}
