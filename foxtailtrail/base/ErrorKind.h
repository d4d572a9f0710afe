#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace foxtail {

// All errors that a caller, an operator or another VM can receive. No other error leaves the process.
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

// Whether the failed request was executed, and so may have had an effect.
enum class HasRun : uint8_t {
    No,
    Yes,
    Unknown,
};

// Properties of an error kind, from which the response to a caller is built.
struct ErrorKindProperties {
    ErrorKind kind;
    std::string_view name;
    unsigned httpStatus;
    HasRun ran;
    // True when the same request may succeed later if the caller repeats it unchanged.
    bool isRetryable;
    // The detail of an error that carries none of its own.
    std::string_view defaultDetail;
};

// Returns the properties of an error kind.
const ErrorKindProperties& errorKindProperties(ErrorKind);

// Returns the error kind with the given name, or std::nullopt if there is none.
std::optional<ErrorKind> errorKindByName(std::string_view);

// Returns "no", "yes" or "unknown".
std::string_view hasRunName(HasRun);

}
