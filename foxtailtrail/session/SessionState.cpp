#include "foxtailtrail/session/SessionState.h"

#include <cassert>

namespace foxtail {

const PreparedStatement* SessionState::findPrepared(const std::string& name) const
{
    const auto found = this->preparedStatements.find(name);
    return found == this->preparedStatements.end() ? nullptr : &found->second;
}

void SessionState::begin(bool isTransactionReadOnly, TimePoint now)
{
    assert(this->state == TransactionState::None);
    this->state = TransactionState::Open;
    this->isTransactionReadOnly = isTransactionReadOnly;
    this->hasTransactionWritten = false;
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
    this->isTransactionReadOnly = false;
    this->hasTransactionWritten = false;
}

}
