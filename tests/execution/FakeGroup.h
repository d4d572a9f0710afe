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
    // The call that committed it, by number. Empty for a resolution by the status route.
    std::optional<size_t> call;
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

    void apply(const LogEntry&);
};

// The reply of a server to one statement.
struct Reply {
    bool blocked = false;
    std::string sqlState;
    StatementResult result;
    std::string tag;
};

// One backend server: a log, the tables that follow from it, and one lock that a writing transaction holds.
class FakeServer {
public:
    Term promisedTerm { 1 };
    std::vector<LogEntry> log;
    Term logTerm { 1 };
    bool primary = false;

    Tables tables() const;
    LogPoint point() const { return { this->logTerm, Position { this->log.size() } }; }

    // Runs one statement on a connection. A blocked statement has had no effect and is run again later.
    Reply run(int connection, const Statement&);

    bool hasTransaction(int connection) const { return this->transactions.contains(connection); }

    // The server notices that the connection was closed, and rolls its transaction back.
    void closed(int connection);

private:
    // A transaction that is open on a connection.
    struct Transaction {
        bool aborted = false;
        LogEntry changes;
    };

    Reply runInTransaction(int connection, Transaction&, const Statement&);
    Reply positionReply(int connection);
    Reply commit(int connection, const Transaction&);
    Reply book(Transaction&, const Statement&);

    std::map<int, Transaction> transactions;
    std::map<int, LogPoint> lastCommits;
    int lockHolder = 0;
};

Statement bookStatement(const std::string& slot, const std::string& holder);
Statement cancelStatement(const std::string& slot, const std::string& holder);
Statement lookUpStatement(const std::string& slot);

}
