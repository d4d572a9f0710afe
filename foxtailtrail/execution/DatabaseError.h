#pragma once

#include "foxtailtrail/execution/ExecutionEvents.h"

namespace foxtail {

// What a refusal by a backend server means for its connection and transaction.
enum class DatabaseErrorClass : uint8_t {
    // The transaction is aborted and can be rolled back on the same connection.
    Aborted,
    // The server ends the connection. Whether an outstanding COMMIT took effect is not known.
    ConnectionEnding,
};

// The class of a SQLSTATE.
DatabaseErrorClass databaseErrorClass(std::string_view sqlState);

// The error that a caller receives for a refused step of a transaction that is rolled back.
Error errorFromFailedStep(const StepFailed&);

}
