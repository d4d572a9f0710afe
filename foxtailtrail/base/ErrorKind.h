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
enum class HasRun : uint8_t {
    No,
    Yes,
    Unknown,
};

// One row of the table from error kind to answer.
struct ErrorKindProperties {
    ErrorKind kind;
    std::string_view name;
    unsigned httpStatus;
    HasRun ran;
    // True when the same request may succeed later without any change by the caller.
    bool isRetryable;
    std::string_view defaultDetail;
};

// The table row of a kind.
const ErrorKindProperties& errorKindProperties(ErrorKind);

// The kind with the given name, or nothing.
std::optional<ErrorKind> errorKindByName(std::string_view);

// "no", "yes" or "unknown".
std::string_view hasRunName(HasRun);

}
