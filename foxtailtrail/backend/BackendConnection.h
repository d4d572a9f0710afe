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

// The whole answer to one statement.
struct QueryResult {
    // Empty for a statement that returns no rows.
    std::vector<std::string> columns;
    std::vector<std::vector<SqlValue>> rows;
    // The rows returned, inserted, updated or deleted, by the server's count.
    uint64_t rowCount = 0;
    // What the server says it did, such as "COMMIT" or "ROLLBACK".
    std::string commandTag;

    // The value of the named column in the first row. Empty when there is no such value or it is null.
    std::optional<std::string_view> firstRowValue(std::string_view column) const;
};

// Where a backend server listens, and under which name the connection is known there.
struct BackendEndpoint {
    // A numeric IP address, as a name look-up would block the thread.
    std::string address;
    uint16_t port = 0;
    std::string applicationName;

    // The connection string of libpq.
    std::string connectionString() const;
};

// One connection to a backend server: libpq without blocking, on a fiber of a FiberThread. It stays on that thread and is used by
// one fiber at a time.
class BackendConnection {
public:
    // Connects, blocking the calling fiber. The statement has not been sent when this fails: NotHome for a lost claim, Overloaded
    // for the connection cap, else DeadlineExceeded or PeerUnavailable.
    static Result<std::unique_ptr<BackendConnection>> connect(const BackendEndpoint&, TimePoint deadline);

    // Closes the connection. The server rolls back what is open.
    ~BackendConnection();
    BackendConnection(const BackendConnection&) = delete;
    BackendConnection& operator=(const BackendConnection&) = delete;

    // Runs one statement with the values of $1, $2 and so on, and returns when its last row is there. An error that the server
    // reports has the kind of its SQLSTATE. When the connection breaks or the deadline passes after the statement was sent, the
    // error is OutcomeUnknown and the connection is closed, as its answer could arrive later. On a closed connection the
    // error is PeerUnavailable and nothing is sent.
    Result<QueryResult> query(const std::string& sql, const std::vector<SqlValue>& parameters, TimePoint deadline);

    // Ends the statement that another fiber of the thread is running: it fails with OutcomeUnknown and the connection is closed.
    void interrupt();

    // The SQLSTATE of the last error that the server reported. Empty when there was none.
    const std::string& lastSqlState() const { return this->sqlState; }

    // Whether the next statement can be sent.
    bool isOpen() const { return this->connection != nullptr; }

    // Whether another request may use the connection: it is open, has no answer outstanding and no transaction, and the server
    // has not closed it.
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
    // Registers the socket of the connection, so it goes first.
    std::unique_ptr<DescriptorWaiter> waiter;
    std::string sqlState;
    bool interrupted = false;
};

}
