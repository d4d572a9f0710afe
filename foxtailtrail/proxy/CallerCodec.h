#pragma once

#include "foxtailtrail/base/ErrorKind.h"
#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/session/SessionState.h"
#include "foxtailtrail/session/SessionStatement.h"

#include <optional>
#include <string>
#include <string_view>

namespace foxtail {

enum class CallerMessageKind : uint8_t {
    Start,
    Query,
    Terminate,
    // The message cannot be read.
    Malformed,
    // The message exceeds the size limit of the protocol; the connection cannot go on.
    TooLarge,
};

// A message of a caller.
struct CallerMessage {
    CallerMessageKind kind = CallerMessageKind::Malformed;
    // Start: the database and the caller's key.
    std::string database;
    std::string key;
    // Query: the request's id and its statement.
    std::string requestId;
    SessionStatement statement;
};

// The protocol between callers and this VM.
class CallerCodec {
public:
    virtual ~CallerCodec() = default;

    // Takes the first whole message off the front of the bytes, or returns nothing while it is incomplete.
    virtual std::optional<CallerMessage> parseMessage(std::string_view& bytes) const = 0;

    virtual void writeReady(std::string& out, TransactionState, const std::optional<LogPoint>&) const = 0;
    virtual void writeRow(std::string& out, std::string_view row) const = 0;
    // The digest is the backend server's, or empty for a statement that this VM answered.
    virtual void writeDone(std::string& out, std::string_view digest) const = 0;
    virtual void writeError(std::string& out, ErrorKind, std::string_view text) const = 0;
};

}
