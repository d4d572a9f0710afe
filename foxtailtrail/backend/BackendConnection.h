#pragma once

#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct pg_conn;

namespace foxtail {

class DescriptorWaiter;

// A value in text form, or SQL null.
using SqlValue = std::optional<std::string>;

// The complete result of one statement.
struct QueryResult {
    // Empty for a statement that returns no rows.
    std::vector<std::string> columns;
    std::vector<std::vector<SqlValue>> rows;
    // The number of rows returned, inserted, updated or deleted, as reported by the server.
    uint64_t rowCount = 0;
    // The command tag that the server reports, such as "COMMIT" or "ROLLBACK".
    std::string commandTag;

    // Returns the value of the named column in the first row. Empty if there is no such value or it is null.
    std::optional<std::string_view> firstRowValue(std::string_view column) const;
};

// The address of a backend server and the application name under which the connection is opened.
struct BackendEndpoint {
    // A numeric IP address, because a DNS lookup would block the thread.
    std::string address;
    uint16_t port = 0;
    std::string applicationName;

    // Returns the connection string for libpq.
    std::string connectionString() const;
};

// A connection to a backend server that uses libpq in non-blocking mode on a FiberThread. It stays on that thread and is used by one
// fiber at a time.
class BackendConnection {
public:
    // Connects, blocking the calling fiber. Fails with NotHome if the claim is lost, with Overloaded if the connection cap is
    // reached, else with DeadlineExceeded or PeerUnavailable. No statement has been sent when this fails.
    static Result<std::unique_ptr<BackendConnection>> connect(const BackendEndpoint&, TimePoint deadline);

    // Closes the connection. The server rolls back an open transaction.
    ~BackendConnection();
    BackendConnection(const BackendConnection&) = delete;
    BackendConnection& operator=(const BackendConnection&) = delete;

    // Runs one statement with the values of $1, $2 and so on, and returns when its last row has arrived. The kind of an error that
    // the server reports follows from its SQLSTATE. If the connection breaks or the deadline passes after the statement was sent,
    // the error is OutcomeUnknown and the connection is closed, because the reply could arrive later. On a closed connection the
    // error is PeerUnavailable and the statement is not sent.
    Result<QueryResult> query(const std::string& sql, const std::vector<SqlValue>& parameters, TimePoint deadline);

    // Cancels the wait of the statement that another fiber of the thread runs: query() fails with OutcomeUnknown and closes the
    // connection.
    void interrupt();

    // Returns the SQLSTATE of the last error that the server reported. Empty if there was none.
    const std::string& lastSqlState() const { return this->sqlState; }

    // Returns whether a statement can be sent.
    bool isOpen() const { return this->connection != nullptr; }

    // Returns whether another request may use the connection: it is open, has no outstanding reply and no open transaction, and
    // the server has not closed it.
    bool isReusable();

private:
    struct ConnectionDeleter {
        void operator()(pg_conn*) const;
    };

    explicit BackendConnection(pg_conn*);
    Result<void> finishConnecting(TimePoint deadline);
    bool flush(TimePoint deadline);
    bool awaitResult(TimePoint deadline);
    Result<QueryResult> readResult(TimePoint deadline);
    Result<QueryResult> closeWithUnknownOutcome(std::string_view reason);
    void close();

    std::unique_ptr<pg_conn, ConnectionDeleter> connection;
    // Refers to the socket of the connection, so it is destroyed before the connection.
    std::unique_ptr<DescriptorWaiter> socketWaiter;
    std::string sqlState;
    bool isInterrupted = false;
};

}
