#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtail {

// The kind of a session's statement.
enum class StatementKind : uint8_t {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    Set,
    Prepare,
    Execute,
    Close,
    Malformed,
};

// A parsed statement. The text is kept, because a backend server must receive the caller's statement unchanged.
struct SessionStatement {
    StatementKind kind = StatementKind::Malformed;
    std::string text;
    // The variable or prepared statement that Set, Prepare, Execute and Close name.
    std::string name;
    // The new value of Set, the statement template of Prepare, or the arguments of Execute.
    std::string argument;
    // For Prepare: whether the statement template writes.
    bool isWrite = false;
};

}
