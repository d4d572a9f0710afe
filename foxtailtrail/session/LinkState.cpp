#include "foxtailtrail/session/LinkState.h"

#include <cassert>

namespace foxtail {

namespace {

    // A connection that holds more prepared statements than this is reset before the next one, to bound its memory.
    constexpr size_t maxPreparedPerLink = 256;

}

std::string LinkState::preparedKey(const PreparedStatement& prepared)
{
    return (prepared.isWrite ? "w" : "r") + prepared.statementTemplate;
}

std::vector<RestoreStep> LinkState::restore(const SessionState& session, const PreparedStatement* executed)
{
    std::vector<RestoreStep> steps;
    // A value that the session does not have can only be dropped together with all others.
    bool reset = this->isStateUnknown || this->preparedNames.size() >= maxPreparedPerLink;
    for (const auto& [name, value] : this->variables)
        reset = reset || session.sessionVariables().count(name) == 0;
    if (reset) {
        steps.push_back({ RestoreStep::Kind::Reset, {}, {}, false });
        this->clear();
    }
    for (const auto& [name, value] : session.sessionVariables()) {
        const auto held = this->variables.find(name);
        if (held != this->variables.end() && held->second == value)
            continue;
        steps.push_back({ RestoreStep::Kind::Set, name, value, false });
        this->variables[name] = value;
    }
    if (executed) {
        const std::string key = preparedKey(*executed);
        if (this->preparedNames.count(key) == 0) {
            const std::string name = "p" + std::to_string(this->nextPreparedNumber++);
            steps.push_back({ RestoreStep::Kind::Prepare, name, executed->statementTemplate, executed->isWrite });
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
}

const std::string& LinkState::preparedName(const PreparedStatement& prepared) const
{
    const auto found = this->preparedNames.find(preparedKey(prepared));
    assert(found != this->preparedNames.end());
    return found->second;
}

}
