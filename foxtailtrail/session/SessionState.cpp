#include "foxtailtrail/session/SessionState.h"

#include <cassert>

namespace foxtail {

void SessionState::setVariable(const std::string& name, const std::string& value)
{
    const auto [variable, isNew] = this->variables.try_emplace(name);
    if (!isNew)
        this->entriesBytes -= entryBytes(name, variable->second);
    this->entriesBytes += entryBytes(name, value);
    variable->second = value;
}

void SessionState::prepare(const std::string& name, PreparedStatement prepared)
{
    this->closePrepared(name);
    this->entriesBytes += entryBytes(name, prepared.statementTemplate);
    this->preparedStatements.emplace(name, std::move(prepared));
}

void SessionState::closePrepared(const std::string& name)
{
    const auto found = this->preparedStatements.find(name);
    if (found == this->preparedStatements.end())
        return;
    this->entriesBytes -= entryBytes(name, found->second.statementTemplate);
    this->preparedStatements.erase(found);
}

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
