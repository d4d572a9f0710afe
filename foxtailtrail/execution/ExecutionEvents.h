#pragma once

#include "foxtailtrail/execution/Transaction.h"

#include <variant>

namespace foxtail {

// Events of an execution. Steps are numbered, so that a late reply cannot be taken for the reply to another step.

// The queue granted a slot and an idle connection to a backend server of this term.
struct ConnectionReady {
    BackendServerId server;
    Term term;
};

// The queue refused the request or found no server for it.
struct QueueRefused {
    Error error;
};

// The complete reply to a step was received.
struct StepSucceeded {
    uint32_t step = 0;
    StatementResult result;
    // The command tag of the reply, such as "COMMIT" or "ROLLBACK".
    std::string commandTag;
};

// The backend server rejected a step.
struct StepFailed {
    uint32_t step = 0;
    std::string sqlState;
    std::string message;
};

// The connection was lost. If mayHaveBeenSent is false, the outstanding step certainly did not reach the server.
struct ConnectionLost {
    bool mayHaveBeenSent = true;
};

// The deadline of the request passed.
struct DeadlinePassed { };

// A majority of the group holds the log point.
struct DurabilityReached {
    LogPoint point;
};

// The group advanced to a higher term.
struct TermAdvanced {
    Term term;
};

using ExecutionEvent = std::variant<ConnectionReady, QueueRefused, StepSucceeded, StepFailed, ConnectionLost, DeadlinePassed,
    DurabilityReached, TermAdvanced>;

// Effects, which the driver of an execution performs in the given order.

// Queues for a slot and a connection.
struct AcquireConnection { };

// Sends one statement on the connection and reports its complete reply.
struct RunStep {
    uint32_t step = 0;
    Statement statement;
};

// Closes the connection: its state is unknown, so it must not be reused.
struct CloseConnection { };

// Returns the connection and its slot. No step is outstanding and no transaction is open.
struct ReturnConnection { };

// Reports when a majority of the group, queried from now on, is in the term of the log point and holds the log point.
struct AwaitDurability {
    LogPoint point;
};

// Ends an execution of a request with its outcome.
struct Answer {
    TransactionOutcome outcome;
};

// Ends a resolution with its result. HasRun::No means that the request never ran and never will under this id.
struct ResolutionResult {
    HasRun ran = HasRun::Unknown;
    // The answer of the first run. Empty unless the request ran and its answer was stored.
    std::optional<TransactionAnswer> answer;
    std::string detail;
};

using ExecutionEffect
    = std::variant<AcquireConnection, RunStep, CloseConnection, ReturnConnection, AwaitDurability, Answer, ResolutionResult>;
using ExecutionEffects = std::vector<ExecutionEffect>;

}
