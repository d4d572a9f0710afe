#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/failover/FailoverPlan.h"
#include "foxtailtrail/session/LinkState.h"
#include "foxtailtrail/session/SessionState.h"

#include <optional>
#include <string>
#include <string_view>

namespace foxtail {

// Why a backend server refused or failed a statement.
enum class BackendErrorCode : uint8_t {
    None,
    // Not run: all slots and the queue are full.
    Busy,
    // Not run: the connection has no prepared statement of that name.
    UnknownPreparedStatement,
    // Not run: the log does not reach the required position.
    Lagging,
    // Not run: the server does not lead its group.
    NotPrimary,
    // The connection is for another server or group than this one.
    Misrouted,
    // The server has its maximum of connections.
    TooManyConnections,
    // Ran and failed.
    Failed,
    // Ran into the server's own time limit.
    TimedOut,
    // The server could not read the statement, or answered a word that is not known.
    Other,
};

// Whether the refusal proves that the statement did not run.
constexpr bool provesNotRun(BackendErrorCode refusal)
{
    return refusal == BackendErrorCode::Busy || refusal == BackendErrorCode::UnknownPreparedStatement
        || refusal == BackendErrorCode::Lagging || refusal == BackendErrorCode::NotPrimary;
}

enum class BackendMessageKind : uint8_t {
    Ready,
    Row,
    Done,
    Error,
    Malformed,
};

// A message of a backend server. The text is a row, a digest or an error text and points into the bytes it was taken from.
struct BackendMessage {
    BackendMessageKind kind = BackendMessageKind::Malformed;
    std::string_view text;
    BackendErrorCode errorCode = BackendErrorCode::None;
    TransactionState transactionState = TransactionState::None;
    std::optional<LogPoint> position;
};

// An order of this VM to a backend server, beside the statements of callers.
enum class BackendCommand : uint8_t {
    Begin,
    BeginRead,
    Rollback,
    Status,
    // Stops a replica from receiving until a promotion or Resume.
    Pause,
    Resume,
    // Makes a primary of a lower term a replica.
    Demote,
};

// The protocol between this VM and backend servers.
class BackendCodec {
public:
    virtual ~BackendCodec() = default;

    // Takes the first whole message off the front of the bytes, or returns nothing while it is incomplete.
    virtual std::optional<BackendMessage> parseMessage(std::string_view& bytes) const = 0;
    // Reads the row that answers Status, Pause and Demote. Returns nothing when it cannot be read.
    virtual std::optional<ProbedStatus> parseStatus(std::string_view row) const = 0;

    virtual void writeStart(std::string& out, const ServiceName&, std::string_view organisation, const BackendServerId&) const = 0;
    // A caller's statement with its id. The floor is a position that the log must reach.
    virtual void writeStatement(
        std::string& out, std::string_view id, std::string_view text, const std::optional<LogPoint>& floor) const = 0;
    // The execution of a prepared statement under its name on the connection.
    virtual void writeExecute(std::string& out, std::string_view id, std::string_view name, std::string_view arguments,
        const std::optional<LogPoint>& floor) const = 0;
    virtual void writeRestore(std::string& out, const RestoreStep&) const = 0;
    virtual void writeCommand(std::string& out, BackendCommand, Term, const std::optional<LogPoint>& floor) const = 0;
    virtual void writeTerminate(std::string& out) const = 0;
};

}
