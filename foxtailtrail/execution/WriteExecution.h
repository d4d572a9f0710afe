#pragma once

#include "foxtailtrail/execution/Execution.h"

namespace foxtail {

// Bounds that one execution keeps.
struct ExecutionSettings {
    // An answer of more bytes becomes AnswerTooLarge.
    size_t maxAnswerBytes = 4194304;
};

// One attempt at a write at the home of the primary: BEGIN, the term check, the insert of the request id, the
// statements, the answer kept with the id, COMMIT, the position and durability. A repeat of an id receives the first
// answer once it is durable. An error says whether this attempt ran; OutcomeUnknown is left to RetryPolicy.
class WriteExecution final : public Execution {
public:
    WriteExecution(TransactionRequest, const ExecutionSettings&);

private:
    // What the outstanding statement is.
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
    // What the caller receives once the commit is durable.
    TransactionOutcome outcome;
};

// What a row of the request table says to a repeat of the request with the digest: the first answer, or
// RequestIdReused, or AnswerTooLarge when the answer was not kept.
TransactionOutcome outcomeOfRow(const RequestRow&, std::string_view digest);

}
