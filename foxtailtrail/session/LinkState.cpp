#include "foxtailtrail/session/LinkState.h"

#include <cassert>

namespace foxtail {

namespace {

    // A connection that holds more prepared statements than this is reset before the next one, to bound its memory.
    constexpr size_t maxPreparedPerLink = 256;

}

std::string LinkState::preparedKey(const PreparedStatement& prepared) { return (prepared.writes ? "w" : "r") + prepared.shape; }

std::vector<RestoreStep> LinkState::restore(const SessionState& session, const PreparedStatement* executed)
{
    std::vector<RestoreStep> steps;
    // A value that the session does not have can only be dropped together with all others.
    bool reset = this->unknown || this->names.size() >= maxPreparedPerLink;
    for (const auto& [name, value] : this->values)
        reset = reset || session.sessionValues().count(name) == 0;
    if (reset) {
        steps.push_back({ RestoreStep::Kind::Reset, {}, {}, false });
        this->clear();
    }
    for (const auto& [name, value] : session.sessionValues()) {
        const auto held = this->values.find(name);
        if (held != this->values.end() && held->second == value)
            continue;
        steps.push_back({ RestoreStep::Kind::Set, name, value, false });
        this->values[name] = value;
    }
    if (executed) {
        const std::string key = preparedKey(*executed);
        if (this->names.count(key) == 0) {
            const std::string name = "p" + std::to_string(this->nextName++);
            steps.push_back({ RestoreStep::Kind::Prepare, name, executed->shape, executed->writes });
            this->names[key] = name;
        }
    }
    return steps;
}

void LinkState::clear()
{
    this->unknown = false;
    this->values.clear();
    this->names.clear();
}

const std::string& LinkState::linkName(const PreparedStatement& prepared) const
{
    const auto found = this->names.find(preparedKey(prepared));
    assert(found != this->names.end());
    return found->second;
}

}
