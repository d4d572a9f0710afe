#pragma once

#include "foxtailtrail/execution/RequestTable.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace foxtail::test {

// The changes of one committed transaction of the fake database.
struct LogEntry {
    Term term;
    // The index of the call that committed it. Empty for a resolution by the status route.
    std::optional<size_t> callIndex;
    // Rows of foxtail_requests by "organisation/id".
    std::map<std::string, RequestRow> requests;
    // Bookings made, by slot.
    std::map<std::string, std::string> bookings;
    std::set<std::string> cancelled;
};

// The tables of the fake database.
struct Tables {
    std::map<std::string, RequestRow> requests;
    std::map<std::string, std::string> bookings;

    void apply(const LogEntry& entry)
    {
        for (const auto& [key, row] : entry.requests)
            this->requests[key] = row;
        for (const std::string& slot : entry.cancelled)
            this->bookings.erase(slot);
        for (const auto& [slot, holder] : entry.bookings)
            this->bookings[slot] = holder;
    }
};

// The reply of a server to one statement.
struct Reply {
    bool isBlocked = false;
    std::string sqlState;
    StatementResult result;
    std::string commandTag;
};

inline const std::string bookSql = "INSERT INTO bookings (slot, holder) VALUES ($1, $2) RETURNING holder";
inline const std::string cancelSql = "DELETE FROM bookings WHERE slot = $1 AND holder = $2";
inline const std::string lookUpSql = "SELECT holder FROM bookings WHERE slot = $1";

inline Reply errorReply(const std::string& sqlState)
{
    Reply reply;
    reply.sqlState = sqlState;
    return reply;
}

inline Reply rowsReply(uint64_t count, std::vector<std::vector<SqlValue>> values = {})
{
    Reply reply;
    reply.result = { {}, std::move(values), count };
    return reply;
}

inline Reply tagReply(const std::string& tag)
{
    Reply reply;
    reply.commandTag = tag;
    return reply;
}

// One backend server: a log, the tables derived from it, and one lock that a writing transaction holds.
class FakeServer {
public:
    Term promisedTerm { 1 };
    std::vector<LogEntry> log;
    Term logTerm { 1 };
    bool isPrimary = false;

    Tables tables() const
    {
        Tables result;
        for (const LogEntry& entry : this->log)
            result.apply(entry);
        return result;
    }

    LogPoint point() const { return { this->logTerm, Position { this->log.size() } }; }

    // Runs one statement on a connection. A blocked statement has had no effect and is run again later.
    Reply run(int connection, const Statement& statement)
    {
        if (statement.sql == beginWriteStatement().sql || statement.sql == beginReadStatement().sql) {
            const bool isNested = this->transactions.contains(connection);
            this->transactions[connection] = {};
            return isNested ? errorReply("25001") : tagReply("BEGIN");
        }
        if (statement.sql == platformPositionStatement().sql)
            return this->positionReply(connection);
        const auto open = this->transactions.find(connection);
        if (open == this->transactions.end())
            return errorReply("25P01");
        if (statement.sql == rollbackStatement().sql) {
            this->endTransaction(connection);
            return tagReply("ROLLBACK");
        }
        if (statement.sql == commitStatement().sql) {
            const Transaction transaction = open->second;
            this->endTransaction(connection);
            return this->commit(connection, transaction);
        }
        if (open->second.isAborted)
            return errorReply("25P02");
        Reply reply = this->runInTransaction(connection, open->second, statement);
        open->second.isAborted = !reply.sqlState.empty();
        return reply;
    }

    bool hasTransaction(int connection) const { return this->transactions.contains(connection); }

    // Handles the end of a connection or transaction: rolls open changes back and releases the lock.
    void endTransaction(int connection)
    {
        this->transactions.erase(connection);
        if (this->lockHolder == connection)
            this->lockHolder = 0;
    }

private:
    // A transaction that is open on a connection.
    struct Transaction {
        bool isAborted = false;
        LogEntry changes;
    };

    Reply runInTransaction(int connection, Transaction& transaction, const Statement& statement)
    {
        const auto& params = statement.params;
        if (statement.sql == platformBeginStatement({}, {}).sql) {
            transaction.changes.term = Term { std::stoull(*params[0]) };
            return this->isPrimary && transaction.changes.term == this->promisedTerm ? rowsReply(1) : errorReply("FT001");
        }
        if (statement.sql == platformRequireStatement({}).sql) {
            const LogPoint required { Term { std::stoull(*params[0]) }, Position { std::stoull(*params[1]) } };
            return this->logTerm >= required.term && this->log.size() >= required.position.value ? rowsReply(1) : errorReply("FT002");
        }
        Tables tables = this->tables();
        tables.apply(transaction.changes);
        if (statement.sql == lookUpSql) {
            const auto found = tables.bookings.find(*params[0]);
            return found == tables.bookings.end() ? rowsReply(0) : rowsReply(1, { { found->second } });
        }
        // Every other statement writes and needs the lock until the transaction ends.
        if (this->lockHolder && this->lockHolder != connection) {
            Reply blocked;
            blocked.isBlocked = true;
            return blocked;
        }
        this->lockHolder = connection;
        if (statement.sql == bookSql)
            return this->book(transaction, statement);
        if (statement.sql == cancelSql) {
            const auto found = tables.bookings.find(*params[0]);
            if (found == tables.bookings.end() || found->second != *params[1])
                return rowsReply(0);
            transaction.changes.bookings.erase(*params[0]);
            transaction.changes.cancelled.insert(*params[0]);
            return rowsReply(1);
        }
        const std::string key = *params[0] + "/" + *params[1];
        const auto row = tables.requests.find(key);
        const bool isPresent = row != tables.requests.end();
        if (statement.sql == insertRequestStatement({}, {}, {}).sql) {
            if (!isPresent)
                transaction.changes.requests[key] = { *params[2], std::nullopt };
            return rowsReply(isPresent ? 0 : 1);
        }
        if (!isPresent)
            return rowsReply(0);
        RequestRow& changed = transaction.changes.requests[key];
        changed = row->second;
        if (statement.sql == storeAnswerStatement({}, {}, {}).sql) {
            changed.answer = params[2];
            return rowsReply(1);
        }
        return statement.sql == touchRequestStatement({}, {}).sql ? rowsReply(1, { { changed.digest, changed.answer } })
                                                                  : errorReply("42601");
    }

    Reply positionReply(int connection)
    {
        const LogPoint point = this->lastCommits[connection];
        Reply reply = rowsReply(1, { { std::to_string(point.position.value), std::to_string(point.term.value) } });
        reply.result.columns = { "position", "term" };
        return reply;
    }

    Reply commit(int connection, const Transaction& transaction)
    {
        if (transaction.isAborted)
            return tagReply("ROLLBACK");
        const LogEntry& changes = transaction.changes;
        if (changes.requests.empty() && changes.bookings.empty() && changes.cancelled.empty())
            return tagReply("COMMIT");
        if (!this->isPrimary || changes.term != this->promisedTerm)
            return errorReply("FT001");
        this->log.push_back(changes);
        this->lastCommits[connection] = { changes.term, Position { this->log.size() } };
        return tagReply("COMMIT");
    }

    Reply book(Transaction& transaction, const Statement& statement)
    {
        Tables tables = this->tables();
        tables.apply(transaction.changes);
        const std::string& slot = *statement.params[0];
        if (tables.bookings.contains(slot))
            return errorReply("23505");
        transaction.changes.bookings[slot] = *statement.params[1];
        return rowsReply(1, { { *statement.params[1] } });
    }

    std::map<int, Transaction> transactions;
    std::map<int, LogPoint> lastCommits;
    int lockHolder = 0;
};

inline Statement bookStatement(const std::string& slot, const std::string& holder) { return { bookSql, { slot, holder }, {} }; }

inline Statement cancelStatement(const std::string& slot, const std::string& holder) { return { cancelSql, { slot, holder }, 1 }; }

inline Statement lookUpStatement(const std::string& slot) { return { lookUpSql, { slot }, {} }; }

}
