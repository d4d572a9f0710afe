#pragma once

#include "foxtailtrail/execution/Transaction.h"

#include <variant>

namespace foxtail {

// What happened to an execution. Steps are numbered, so that a late reply cannot pass for the reply to another step.

// The queue gave a slot and an idle connection to a backend server of this term.
struct ConnectionReady {
    BackendServerId server;
    Term term;
};

// The queue refused the request or found no server for it.
struct QueueRefused {
    Error error;
};

// The whole reply to a step came.
struct StepSucceeded {
    uint32_t step = 0;
    StatementResult result;
    // The command tag of the reply, such as "COMMIT" or "ROLLBACK".
    std::string commandTag;
};

// The backend server refused a step.
struct StepFailed {
    uint32_t step = 0;
    std::string sqlState;
    std::string message;
};

// The connection ended. Unless sent is false, the outstanding step may have reached the server.
struct ConnectionLost {
    bool mayHaveBeenSent = true;
};

// The deadline of the request passed.
struct DeadlinePassed { };

// A majority of the group holds the point.
struct DurabilityReached {
    LogPoint point;
};

// The group moved to a higher term.
struct TermAdvanced {
    Term term;
};

using ExecutionEvent = std::variant<ConnectionReady, QueueRefused, StepSucceeded, StepFailed, ConnectionLost, DeadlinePassed,
    DurabilityReached, TermAdvanced>;

// What the driver of an execution has to do, in this order.

// Queue for a slot and a connection.
struct AcquireConnection { };

// Send one statement on the connection and report its whole reply.
struct RunStep {
    uint32_t step = 0;
    Statement statement;
};

// Close the connection: its state is not known, so it must not be used again.
struct CloseConnection { };

// Give the connection and the slot back. No step is outstanding and no transaction is open.
struct ReturnConnection { };

// Report when a majority of the group, asked from now on, is in the point's term and holds the point.
struct AwaitDurability {
    LogPoint point;
};

// The execution is over.
struct Answer {
    TransactionOutcome outcome;
};

// A resolution is over. Ran::No says that the request never ran and never will under this id.
struct ResolutionResult {
    HasRun ran = HasRun::Unknown;
    // The first answer. Empty unless the request ran and its answer was kept.
    std::optional<TransactionAnswer> answer;
    std::string detail;
};

using ExecutionEffect
    = std::variant<AcquireConnection, RunStep, CloseConnection, ReturnConnection, AwaitDurability, Answer, ResolutionResult>;
using ExecutionEffects = std::vector<ExecutionEffect>;

}
