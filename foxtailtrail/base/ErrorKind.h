#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace foxtail {

// Every error that a caller, an operator or another VM can receive. The list is closed.
enum class ErrorKind : uint8_t {
    MalformedRequest,
    BodyTooLarge,
    UnknownRoute,
    MethodNotAllowed,
    KeyMissing,
    KeyUnknown,
    KeyWithdrawn,
    NotPermitted,
    KeyInRequest,
    TokenInvalid,
    RateLimited,
    LimitUnavailable,
    Overloaded,
    DeadlineExceeded,
    ReadNotCurrent,
    NoPrimary,
    PeerUnavailable,
    NotHome,
    ConfigurationStale,
    Stopping,
    StatementFailed,
    Conflict,
    ExpectationFailed,
    RequestIdReused,
    AnswerTooLarge,
    OutcomeUnknown,
    VersionConflict,
    CommandInvalid,
    StoreUnavailable,
    StoreOutcomeUnknown,
    Internal,
    TransactionAborted,
    UnknownPrepared,
    NotPrimary,
    StatementTimedOut,
};

// Whether the request that failed had any effect.
enum class Ran : uint8_t {
    No,
    Yes,
    Unknown,
};

// One row of the table from error kind to answer.
struct ErrorKindRow {
    ErrorKind kind;
    std::string_view name;
    unsigned httpStatus;
    Ran ran;
    // True when the same request may succeed later without any change by the caller.
    bool retryCanHelp;
    std::string_view text;
};

// The table row of a kind.
const ErrorKindRow& errorKindRow(ErrorKind);

// The kind with the given name, or nothing.
std::optional<ErrorKind> errorKindByName(std::string_view);

// "no", "yes" or "unknown".
std::string_view ranName(Ran);

}
