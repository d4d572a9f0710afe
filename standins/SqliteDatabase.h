#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

struct sqlite3;
struct sqlite3_stmt;

namespace foxtail::standins {

// A value in text form, or SQL null.
using SqlValue = std::optional<std::string>;

// An error that is sent to the client with its SQLSTATE.
class SqlError : public std::runtime_error {
public:
    SqlError(std::string state, const std::string& message)
        : std::runtime_error(message)
        , sqlState(std::move(state))
    {
    }

    const std::string& state() const { return this->sqlState; }

private:
    std::string sqlState;
};

// The result of a statement.
struct StatementOutcome {
    // Empty for a statement that returns no rows.
    std::vector<std::string> columns;
    std::vector<std::vector<SqlValue>> rows;
    // The number of rows inserted, updated or deleted.
    uint64_t changedRows = 0;
    // The command tag of the PostgreSQL protocol. Set by the session.
    std::string tag;
};

// An in-memory SQLite database. Not thread-safe: the owner holds a lock around every call.
class SqliteDatabase {
public:
    // Throws SqlError when the schema is not valid.
    explicit SqliteDatabase(const std::string& schema);
    ~SqliteDatabase();
    SqliteDatabase(const SqliteDatabase&) = delete;
    SqliteDatabase& operator=(const SqliteDatabase&) = delete;

    // Returns whether the statement is read-only. Throws SqlError when it cannot be compiled.
    bool isReadOnly(const std::string& sql);

    // Runs one statement with the values of $1, $2 and so on. platform_organisation() returns the given organisation.
    StatementOutcome execute(const std::string& sql, const std::vector<SqlValue>& parameters, const std::string& organisation);

    void begin() { this->executeInternal("BEGIN"); }
    void commit() { this->executeInternal("COMMIT"); }
    void rollback();

private:
    sqlite3_stmt* prepare(const std::string& sql);
    void executeInternal(const char* sql);
    [[noreturn]] void throwError();
    static int authorize(void* self, int action, const char*, const char*, const char*, const char*);
    static int checkDeadline(void* self);

    sqlite3* handle = nullptr;
    std::string currentOrganisation;
    bool isExecutingInternal = false;
    std::chrono::steady_clock::time_point statementDeadline;
};

}
