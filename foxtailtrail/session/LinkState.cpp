#include "foxtailtrail/session/LinkState.h"

#include <cassert>

namespace foxtail {

namespace {

    // A connection that holds more prepared statements than this is reset before the next one, to bound its memory.
    constexpr size_t maxPreparedStatements = 256;
    // The same for the memory of its variables and prepared statements.
    constexpr size_t maxEntriesBytes = size_t { 128 } * 1024;

}

std::string LinkState::preparedKey(const PreparedStatement& prepared)
{
    return (prepared.isWrite ? "w" : "r") + prepared.statementTemplate;
}

std::vector<RestoreStep> LinkState::restore(const SessionState& session, const PreparedStatement* executed)
{
    std::vector<RestoreStep> steps;
    // A variable that the session does not have can only be dropped by a reset, which drops all others too.
    bool needsReset = this->isStateUnknown || this->preparedNames.size() >= maxPreparedStatements || this->entriesBytes >= maxEntriesBytes;
    for (const auto& [name, value] : this->variables)
        needsReset = needsReset || session.sessionVariables().count(name) == 0;
    if (needsReset) {
        steps.push_back({ RestoreStep::Kind::Reset, {}, {}, false });
        this->clear();
    }
    for (const auto& [name, value] : session.sessionVariables()) {
        const auto current = this->variables.find(name);
        if (current != this->variables.end() && current->second == value)
            continue;
        steps.push_back({ RestoreStep::Kind::Set, name, value, false });
        if (current != this->variables.end())
            this->entriesBytes -= SessionState::entryBytes(name, current->second);
        this->entriesBytes += SessionState::entryBytes(name, value);
        this->variables[name] = value;
    }
    if (executed) {
        const std::string key = preparedKey(*executed);
        if (this->preparedNames.count(key) == 0) {
            const std::string name = "p" + std::to_string(this->nextPreparedNumber++);
            steps.push_back({ RestoreStep::Kind::Prepare, name, executed->statementTemplate, executed->isWrite });
            this->entriesBytes += SessionState::entryBytes(name, key);
            this->preparedNames[key] = name;
        }
    }
    return steps;
}

void LinkState::clear()
{
    this->isStateUnknown = false;
    this->variables.clear();
    this->preparedNames.clear();
    this->entriesBytes = 0;
}

const std::string& LinkState::preparedName(const PreparedStatement& prepared) const
{
    const auto found = this->preparedNames.find(preparedKey(prepared));
    assert(found != this->preparedNames.end());
    return found->second;
}

}
