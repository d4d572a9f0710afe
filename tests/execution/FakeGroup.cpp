#include "tests/execution/FakeGroup.h"

namespace foxtail::test {

namespace {

    const std::string bookSql = "INSERT INTO bookings (slot, holder) VALUES ($1, $2) RETURNING holder";
    const std::string cancelSql = "DELETE FROM bookings WHERE slot = $1 AND holder = $2";
    const std::string lookUpSql = "SELECT holder FROM bookings WHERE slot = $1";

    Reply refusal(const std::string& sqlState)
    {
        Reply reply;
        reply.sqlState = sqlState;
        return reply;
    }

    Reply rows(uint64_t count, std::vector<std::vector<SqlValue>> values = {})
    {
        Reply reply;
        reply.result = { {}, std::move(values), count };
        return reply;
    }

    Reply tagged(const std::string& tag)
    {
        Reply reply;
        reply.tag = tag;
        return reply;
    }

}

void Tables::apply(const LogEntry& entry)
{
    for (const auto& [key, row] : entry.requests)
        this->requests[key] = row;
    for (const std::string& slot : entry.cancelled)
        this->bookings.erase(slot);
    for (const auto& [slot, holder] : entry.bookings)
        this->bookings[slot] = holder;
}

Tables FakeServer::tables() const
{
    Tables result;
    for (const LogEntry& entry : this->log)
        result.apply(entry);
    return result;
}

Reply FakeServer::run(int connection, const Statement& statement)
{
    if (statement.sql == beginWriteStatement().sql || statement.sql == beginReadStatement().sql) {
        const bool nested = this->transactions.contains(connection);
        this->transactions[connection] = {};
        return nested ? refusal("25001") : tagged("BEGIN");
    }
    if (statement.sql == platformPositionStatement().sql)
        return this->positionReply(connection);
    const auto open = this->transactions.find(connection);
    if (open == this->transactions.end())
        return refusal("25P01");
    if (statement.sql == rollbackStatement().sql) {
        this->closed(connection);
        return tagged("ROLLBACK");
    }
    if (statement.sql == commitStatement().sql) {
        const Transaction transaction = open->second;
        this->closed(connection);
        return this->commit(connection, transaction);
    }
    if (open->second.aborted)
        return refusal("25P02");
    Reply reply = this->runInTransaction(connection, open->second, statement);
    open->second.aborted = !reply.sqlState.empty();
    return reply;
}

Reply FakeServer::positionReply(int connection)
{
    const LogPoint point = this->lastCommits[connection];
    Reply reply = rows(1, { { std::to_string(point.position.value), std::to_string(point.term.value) } });
    reply.result.columns = { "position", "term" };
    return reply;
}

void FakeServer::closed(int connection)
{
    this->transactions.erase(connection);
    if (this->lockHolder == connection)
        this->lockHolder = 0;
}

Reply FakeServer::commit(int connection, const Transaction& transaction)
{
    if (transaction.aborted)
        return tagged("ROLLBACK");
    const LogEntry& changes = transaction.changes;
    if (changes.requests.empty() && changes.bookings.empty() && changes.cancelled.empty())
        return tagged("COMMIT");
    if (!this->primary || changes.term != this->promisedTerm)
        return refusal("FT001");
    this->log.push_back(changes);
    this->lastCommits[connection] = { changes.term, Position { this->log.size() } };
    return tagged("COMMIT");
}

Reply FakeServer::runInTransaction(int connection, Transaction& transaction, const Statement& statement)
{
    const auto& params = statement.params;
    if (statement.sql == platformBeginStatement({}, {}).sql) {
        transaction.changes.term = Term { std::stoull(*params[0]) };
        return this->primary && transaction.changes.term == this->promisedTerm ? rows(1) : refusal("FT001");
    }
    if (statement.sql == platformRequireStatement({}).sql) {
        const LogPoint required { Term { std::stoull(*params[0]) }, Position { std::stoull(*params[1]) } };
        return this->logTerm >= required.term && this->log.size() >= required.position.value ? rows(1) : refusal("FT002");
    }
    Tables tables = this->tables();
    tables.apply(transaction.changes);
    if (statement.sql == lookUpSql) {
        const auto found = tables.bookings.find(*params[0]);
        return found == tables.bookings.end() ? rows(0) : rows(1, { { found->second } });
    }
    // Every other statement writes and needs the lock until the transaction ends.
    if (this->lockHolder && this->lockHolder != connection) {
        Reply blocked;
        blocked.blocked = true;
        return blocked;
    }
    this->lockHolder = connection;
    if (statement.sql == bookSql)
        return this->book(transaction, statement);
    if (statement.sql == cancelSql) {
        const auto found = tables.bookings.find(*params[0]);
        if (found == tables.bookings.end() || found->second != *params[1])
            return rows(0);
        transaction.changes.bookings.erase(*params[0]);
        transaction.changes.cancelled.insert(*params[0]);
        return rows(1);
    }
    const std::string key = *params[0] + "/" + *params[1];
    const auto row = tables.requests.find(key);
    const bool present = row != tables.requests.end();
    if (statement.sql == insertRequestStatement({}, {}, {}).sql) {
        if (!present)
            transaction.changes.requests[key] = { *params[2], std::nullopt };
        return rows(present ? 0 : 1);
    }
    if (!present)
        return rows(0);
    RequestRow& changed = transaction.changes.requests[key];
    changed = row->second;
    if (statement.sql == storeAnswerStatement({}, {}, {}).sql) {
        changed.answer = params[2];
        return rows(1);
    }
    return statement.sql == touchRequestStatement({}, {}).sql ? rows(1, { { changed.digest, changed.answer } }) : refusal("42601");
}

Reply FakeServer::book(Transaction& transaction, const Statement& statement)
{
    Tables tables = this->tables();
    tables.apply(transaction.changes);
    const std::string& slot = *statement.params[0];
    if (tables.bookings.contains(slot))
        return refusal("23505");
    transaction.changes.bookings[slot] = *statement.params[1];
    return rows(1, { { *statement.params[1] } });
}

Statement bookStatement(const std::string& slot, const std::string& holder) { return { bookSql, { slot, holder }, {} }; }

Statement cancelStatement(const std::string& slot, const std::string& holder) { return { cancelSql, { slot, holder }, 1 }; }

Statement lookUpStatement(const std::string& slot) { return { lookUpSql, { slot }, {} }; }

}
