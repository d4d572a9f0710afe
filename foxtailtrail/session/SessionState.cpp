#include "foxtailtrail/session/SessionState.h"

#include <cassert>

namespace foxtail {

const PreparedStatement* SessionState::findPrepared(const std::string& name) const
{
    const auto found = this->preparedStatements.find(name);
    return found == this->preparedStatements.end() ? nullptr : &found->second;
}

void SessionState::begin(bool readOnly, TimePoint now)
{
    assert(this->state == TransactionState::None);
    this->state = TransactionState::Open;
    this->readOnly = readOnly;
    this->wrote = false;
    this->startedAt = now;
}

void SessionState::failTransaction()
{
    assert(this->state != TransactionState::None);
    this->state = TransactionState::Failed;
}

void SessionState::endTransaction()
{
    this->state = TransactionState::None;
    this->readOnly = false;
    this->wrote = false;
}

}
