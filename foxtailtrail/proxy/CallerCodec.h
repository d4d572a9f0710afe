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
    Malformed,
    // The message exceeds the size limit of the protocol; the connection must be closed.
    TooLarge,
};

// A message from a caller.
struct CallerMessage {
    CallerMessageKind kind = CallerMessageKind::Malformed;
    // Start: the database and the caller's API key.
    std::string database;
    std::string key;
    // Query: the request id and the statement.
    std::string requestId;
    SessionStatement statement;
};

// Encoder and decoder of the protocol between callers and this VM.
class CallerCodec {
public:
    virtual ~CallerCodec() = default;

    // Parses the first complete message and removes it from the front of the bytes. Returns std::nullopt while the message is
    // incomplete. An earlier call has found the given number of bytes at the front to be incomplete, so that they are not searched again.
    virtual std::optional<CallerMessage> parseMessage(std::string_view& bytes, size_t incompleteBytes = 0) const = 0;

    virtual void writeReady(std::string& out, TransactionState, const std::optional<LogPoint>&) const = 0;
    virtual void writeRow(std::string& out, std::string_view row) const = 0;
    // Writes the end of a successful reply. The digest comes from the backend server; it is empty for a statement that this VM
    // handled itself.
    virtual void writeDone(std::string& out, std::string_view digest) const = 0;
    virtual void writeError(std::string& out, ErrorKind, std::string_view text) const = 0;
};

}
