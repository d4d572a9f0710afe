#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace foxtail {

// What one statement of a session asks for.
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

// A parsed statement. The text is kept, as a backend server must receive the caller's words unchanged.
struct SessionStatement {
    StatementKind kind = StatementKind::Malformed;
    std::string text;
    // The value or prepared statement that Set, Prepare, Execute and Close name.
    std::string name;
    // The new value of Set, the shape of Prepare, the arguments of Execute.
    std::string argument;
    // For Prepare: whether the shape writes.
    bool isWrite = false;
};

}
