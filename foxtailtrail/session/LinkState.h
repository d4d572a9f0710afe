#pragma once

#include "foxtailtrail/session/SessionState.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace foxtail {

// One statement that brings a backend connection to the state of a session.
struct RestoreStep {
    enum class Kind : uint8_t {
        // Drops all values and prepared statements.
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

// The session values and prepared statements that a backend connection holds. Prepared statements are renamed by mode and
// shape, so that sessions whose names collide can share one connection.
class LinkState {
public:
    // The steps that give the connection exactly the session's values and, when the next statement executes one, its
    // prepared statement. The state assumes that the steps succeed; the connection is closed when one does not.
    std::vector<RestoreStep> restore(const SessionState&, const PreparedStatement* executed);

    // Whether the connection holds nothing of any session.
    bool isPristine() const { return !this->isStateUnknown && this->variables.empty() && this->preparedNames.empty(); }
    // Another VM has used the connection and left values or prepared statements on it.
    void markUnknown() { this->isStateUnknown = true; }
    // The connection has been reset.
    void clear();

    // The name under which the connection holds a prepared statement. It must have been restored.
    const std::string& preparedName(const PreparedStatement&) const;

private:
    static std::string preparedKey(const PreparedStatement&);

    std::map<std::string, std::string> variables;
    // From mode and shape to the name on this connection.
    std::map<std::string, std::string> preparedNames;
    uint64_t nextPreparedNumber = 1;
    // What the connection holds is not known, so it has to be reset first.
    bool isStateUnknown = false;
};

}
