#pragma once

#include "foxtailtrail/session/SessionState.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace foxtail {

// A statement that brings a backend connection to the state of a session.
struct RestoreStep {
    enum class Kind : uint8_t {
        // Drops all session variables and prepared statements.
        Reset,
        Set,
        Prepare,
    };
    Kind kind = Kind::Reset;
    std::string name;
    std::string argument;
    bool isWrite = false;
    bool operator==(const RestoreStep&) const = default;
};

// The session variables and prepared statements that a backend connection holds. Prepared statements are renamed by mode
// and statement template, so that sessions whose names collide can share one connection.
class LinkState {
public:
    // Returns the steps that give the connection exactly the session's variables and, when the next statement executes one,
    // its prepared statement. The state assumes that the steps succeed; the connection is closed when one fails.
    std::vector<RestoreStep> restore(const SessionState&, const PreparedStatement* executed);

    // Returns whether the connection holds no state of any session.
    bool isPristine() const { return !this->isStateUnknown && this->variables.empty() && this->preparedNames.empty(); }
    // Records that another VM has used the connection and left variables or prepared statements on it.
    void markUnknown() { this->isStateUnknown = true; }
    // Records that the connection has been reset.
    void clear();

    // Returns the name under which the connection holds a prepared statement. It must have been restored.
    const std::string& preparedName(const PreparedStatement&) const;

private:
    static std::string preparedKey(const PreparedStatement&);

    std::map<std::string, std::string> variables;
    // From mode and statement template to the name on this connection.
    std::map<std::string, std::string> preparedNames;
    // The memory that the variables and prepared statements occupy.
    size_t entriesBytes = 0;
    uint64_t nextPreparedNumber = 1;
    // Whether the state of the connection is unknown, so that it has to be reset first.
    bool isStateUnknown = false;
};

}
