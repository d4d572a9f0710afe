#pragma once

#include "foxtailtrail/execution/Execution.h"

namespace foxtail {

// Settings of an execution.
struct ExecutionSettings {
    // An answer of more bytes becomes AnswerTooLarge.
    size_t maxAnswerBytes = 4194304;
};

// One attempt at a write at the home of the primary: BEGIN, the term check, the insert of the request id, the statements, the
// update that stores the answer with the id, COMMIT, the commit position and durability. A repeated request receives the first
// answer once that is durable. The kind of an error shows whether this attempt ran; RetryPolicy handles OutcomeUnknown.
class WriteExecution final : public Execution {
public:
    WriteExecution(TransactionRequest, const ExecutionSettings&);

private:
    // The purpose of the outstanding statement.
    enum class Stage : uint8_t {
        Begin,
        TermCheck,
        InsertId,
        ReadExistingRow,
        Statements,
        StoreAnswer,
    };

    void onConnected() override;
    void onResult(const StatementResult&) override;
    void onCommitted() override;
    ExecutionEffect durableOutcome(const LogPoint&) override;
    ExecutionEffect failedOutcome(Error) override;
    bool commitHasEffect() const override { return true; }

    void run(Stage, Statement);
    void onInserted(const StatementResult&);
    void onExistingRow(const StatementResult&);
    void onStatementResult(const StatementResult&);
    void runNextStatement();
    void storeAnswer();

    TransactionRequest request;
    ExecutionSettings settings;
    std::string digest;
    Stage stage = Stage::Begin;
    size_t answerBytes = 0;
    std::vector<StatementResult> results;
    // The outcome that the caller receives once the commit is durable.
    TransactionOutcome outcome;
};

// Returns the outcome of a repeated request with the digest according to its row of the request table: the first answer,
// RequestIdReused, or AnswerTooLarge if the answer was not stored.
TransactionOutcome outcomeOfRow(const RequestRow&, std::string_view digest);

}
