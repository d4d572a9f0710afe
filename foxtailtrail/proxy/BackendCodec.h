#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/failover/FailoverPlan.h"
#include "foxtailtrail/session/LinkState.h"
#include "foxtailtrail/session/SessionState.h"

#include <optional>
#include <string>
#include <string_view>

namespace foxtail {

// The reason why a backend server rejected a connection or a statement, or why a statement failed.
enum class BackendErrorCode : uint8_t {
    None,
    // Not run: all slots are in use and the queue is full.
    Busy,
    // Not run: the connection has no prepared statement with the given name.
    UnknownPreparedStatement,
    // Not run: the server's log has not reached the required position.
    Lagging,
    // Not run: the server is not the primary of its group.
    NotPrimary,
    // The start message names a server or group other than the one that received it.
    Misrouted,
    // The server has reached its maximum number of connections.
    TooManyConnections,
    // The statement ran and failed.
    Failed,
    // The statement exceeded the server's own time limit.
    TimedOut,
    // The server could not parse the statement, or the error code is not known to this VM.
    Other,
};

// Returns whether the error proves that the statement did not run.
constexpr bool provesNotRun(BackendErrorCode code)
{
    return code == BackendErrorCode::Busy || code == BackendErrorCode::UnknownPreparedStatement || code == BackendErrorCode::Lagging
        || code == BackendErrorCode::NotPrimary;
}

enum class BackendMessageKind : uint8_t {
    Ready,
    Row,
    Done,
    Error,
    Malformed,
};

// A message from a backend server. The text is a row, a digest or an error text and refers to the buffer that was parsed.
struct BackendMessage {
    BackendMessageKind kind = BackendMessageKind::Malformed;
    std::string_view text;
    BackendErrorCode errorCode = BackendErrorCode::None;
    TransactionState transactionState = TransactionState::None;
    std::optional<LogPoint> position;
};

// A command that this VM itself sends to a backend server, in addition to the statements of callers.
enum class BackendCommand : uint8_t {
    Begin,
    BeginRead,
    Rollback,
    Status,
    // Stops a replica from receiving the log until a promotion or Resume.
    Pause,
    Resume,
    // Turns a primary of a lower term into a replica.
    Demote,
};

// Encoder and decoder of the protocol between this VM and backend servers.
class BackendCodec {
public:
    virtual ~BackendCodec() = default;

    // Parses the first complete message and removes it from the front of the bytes. Returns std::nullopt while the message is
    // incomplete.
    virtual std::optional<BackendMessage> parseMessage(std::string_view& bytes) const = 0;
    // Parses the row that a server sends in reply to Status, Pause and Demote. Returns std::nullopt when the row is malformed.
    virtual std::optional<ProbedStatus> parseStatus(std::string_view row) const = 0;

    virtual void writeStart(std::string& out, const ServiceName&, std::string_view organisation, const BackendServerId&) const = 0;
    // Writes a caller's statement with its request id. The server's log must have reached the required position, if there is one.
    virtual void writeStatement(
        std::string& out, std::string_view id, std::string_view text, const std::optional<LogPoint>& requiredPosition) const = 0;
    // Writes the execution of a prepared statement under its name on the connection.
    virtual void writeExecute(std::string& out, std::string_view id, std::string_view name, std::string_view arguments,
        const std::optional<LogPoint>& requiredPosition) const = 0;
    virtual void writeRestore(std::string& out, const RestoreStep&) const = 0;
    virtual void writeCommand(std::string& out, BackendCommand, Term, const std::optional<LogPoint>& requiredPosition) const = 0;
    virtual void writeTerminate(std::string& out) const = 0;
};

}
