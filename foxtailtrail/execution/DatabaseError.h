#pragma once

#include "foxtailtrail/execution/ExecutionEvents.h"

namespace foxtail {

// The consequence of an error of a backend server for its connection and transaction.
enum class DatabaseErrorClass : uint8_t {
    // The transaction is aborted and can be rolled back on the same connection.
    Aborted,
    // The server closes the connection. It is unknown whether an outstanding COMMIT took effect.
    ConnectionEnding,
};

// Returns the class of a SQLSTATE.
DatabaseErrorClass databaseErrorClass(std::string_view sqlState);

// Returns the error that a caller receives for a failed step of a transaction that is rolled back.
Error errorFromFailedStep(const StepFailed&);

}
