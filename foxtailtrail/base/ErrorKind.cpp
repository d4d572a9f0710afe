#include "foxtailtrail/base/ErrorKind.h"

#include <array>
#include <cassert>

namespace foxtail {

namespace {

    constexpr std::array<ErrorKindProperties, 35> errorKindTable { {
        { ErrorKind::MalformedRequest, "MalformedRequest", 400, HasRun::No, false, "the request is malformed" },
        { ErrorKind::BodyTooLarge, "BodyTooLarge", 413, HasRun::No, false, "the request body is too large" },
        { ErrorKind::UnknownRoute, "UnknownRoute", 404, HasRun::No, false, "there is no such route" },
        { ErrorKind::MethodNotAllowed, "MethodNotAllowed", 405, HasRun::No, false, "the route does not support this method" },
        { ErrorKind::KeyMissing, "KeyMissing", 401, HasRun::No, false, "the service requires a key" },
        { ErrorKind::KeyUnknown, "KeyUnknown", 401, HasRun::No, false, "the key is not known" },
        { ErrorKind::KeyWithdrawn, "KeyWithdrawn", 401, HasRun::No, false, "the key has been withdrawn" },
        { ErrorKind::NotPermitted, "NotPermitted", 403, HasRun::No, false, "the organisation may not use this service" },
        { ErrorKind::KeyInRequest, "KeyInRequest", 400, HasRun::No, false, "the request body contains the caller's key" },
        { ErrorKind::TokenInvalid, "TokenInvalid", 400, HasRun::No, false, "the consistency token is not valid" },
        { ErrorKind::RateLimited, "RateLimited", 429, HasRun::No, true, "the organisation has exceeded its rate limit" },
        { ErrorKind::LimitUnavailable, "LimitUnavailable", 503, HasRun::No, true, "no tokens of the rate limit are available" },
        { ErrorKind::Overloaded, "Overloaded", 503, HasRun::No, true, "the queue is full" },
        { ErrorKind::DeadlineExceeded, "DeadlineExceeded", 504, HasRun::No, true, "the deadline passed before the request was executed" },
        { ErrorKind::ReadNotCurrent, "ReadNotCurrent", 503, HasRun::No, true, "no backend server is up to date enough for this read" },
        { ErrorKind::NoPrimary, "NoPrimary", 503, HasRun::No, true, "the database has no reachable primary" },
        { ErrorKind::PeerUnavailable, "PeerUnavailable", 503, HasRun::No, true, "the VM that serves this database cannot be reached" },
        { ErrorKind::NotHome, "NotHome", 503, HasRun::No, true, "this VM is not the home of the backend server" },
        { ErrorKind::ConfigurationStale, "ConfigurationStale", 503, HasRun::No, true, "this VM cannot confirm its configuration" },
        { ErrorKind::Stopping, "Stopping", 503, HasRun::No, true, "this VM is stopping" },
        { ErrorKind::StatementFailed, "StatementFailed", 422, HasRun::No, false, "a statement failed and was rolled back" },
        { ErrorKind::Conflict, "Conflict", 409, HasRun::No, true, "the transaction conflicted and was rolled back" },
        { ErrorKind::ExpectationFailed, "ExpectationFailed", 409, HasRun::No, false, "a row count differs from the expected one" },
        { ErrorKind::RequestIdReused, "RequestIdReused", 409, HasRun::No, false,
            "the request id was already used for a different request" },
        { ErrorKind::AnswerTooLarge, "AnswerTooLarge", 500, HasRun::Yes, false, "the response is too large" },
        { ErrorKind::OutcomeUnknown, "OutcomeUnknown", 504, HasRun::Unknown, true, "it is unknown whether the request was executed" },
        { ErrorKind::VersionConflict, "VersionConflict", 409, HasRun::No, true, "another change was accepted first" },
        { ErrorKind::CommandInvalid, "CommandInvalid", 400, HasRun::No, false, "the command is not valid" },
        { ErrorKind::StoreUnavailable, "StoreUnavailable", 503, HasRun::No, true, "the platform's store cannot be reached" },
        { ErrorKind::StoreOutcomeUnknown, "StoreOutcomeUnknown", 504, HasRun::Unknown, true,
            "it is unknown whether the change was stored" },
        { ErrorKind::Internal, "Internal", 500, HasRun::Unknown, false, "internal error" },
        { ErrorKind::TransactionAborted, "TransactionAborted", 409, HasRun::No, true, "the transaction was rolled back" },
        { ErrorKind::UnknownPrepared, "UnknownPrepared", 400, HasRun::No, false, "the session has no prepared statement with this name" },
        { ErrorKind::NotPrimary, "NotPrimary", 503, HasRun::No, true, "the backend server is no longer the primary of its group" },
        { ErrorKind::StatementTimedOut, "StatementTimedOut", 504, HasRun::Unknown, true,
            "the statement received no response within its timeout" },
    } };

    constexpr bool isTableInEnumOrder()
    {
        for (size_t index = 0; index < errorKindTable.size(); ++index) {
            if (static_cast<size_t>(errorKindTable[index].kind) != index)
                return false;
        }
        return true;
    }
    static_assert(isTableInEnumOrder(), "the table must have one row per error kind, in the order of the enumeration");

}

const ErrorKindProperties& errorKindProperties(ErrorKind kind)
{
    const auto index = static_cast<size_t>(kind);
    assert(index < errorKindTable.size());
    return errorKindTable[index];
}

std::optional<ErrorKind> errorKindByName(std::string_view name)
{
    for (const auto& row : errorKindTable) {
        if (row.name == name)
            return row.kind;
    }
    return std::nullopt;
}

std::string_view hasRunName(HasRun ran)
{
    constexpr std::array<std::string_view, 3> names { "no", "yes", "unknown" };
    return names[static_cast<size_t>(ran)];
}

}
