#include "standins/SqliteDatabase.h"

#include "foxtailtrail/execution/RequestTable.h"

#include <array>
#include <cstdlib>
#include <memory>
#include <sqlite3.h>
#include <string_view>

namespace foxtail::standins {

namespace {

    // A statement holds the lock of the database, so one that never ends would also block fencing.
    constexpr std::chrono::seconds statementTimeout { 1 };
    // The number of SQLite bytecode instructions between two checks of the statement's deadline.
    constexpr int progressInstructions = 10000;

    struct SqliteErrorRow {
        int code;
        const char* state;
    };

    constexpr std::array<SqliteErrorRow, 9> errorTable { {
        { SQLITE_CONSTRAINT_UNIQUE, "23505" },
        { SQLITE_CONSTRAINT_PRIMARYKEY, "23505" },
        { SQLITE_CONSTRAINT_NOTNULL, "23502" },
        { SQLITE_CONSTRAINT_FOREIGNKEY, "23503" },
        { SQLITE_CONSTRAINT_CHECK, "23514" },
        { SQLITE_MISMATCH, "42804" },
        { SQLITE_INTERRUPT, "57014" },
        { SQLITE_AUTH, "42501" },
        { SQLITE_ERROR, "42601" },
    } };

    struct StatementDeleter {
        void operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }
    };
    using Statement = std::unique_ptr<sqlite3_stmt, StatementDeleter>;

    void bindParameters(sqlite3_stmt* statement, const std::vector<SqlValue>& parameters)
    {
        for (int index = 1; index <= sqlite3_bind_parameter_count(statement); ++index) {
            const char* name = sqlite3_bind_parameter_name(statement, index);
            // SQLite treats a cast as part of the parameter name ("$1::int"), so only the digits are used.
            const size_t number = name && *name == '$' ? std::strtoul(name + 1, nullptr, 10) : 0;
            if (!number || number > parameters.size())
                throw SqlError("08P01", "parameter " + std::string(name ? name : "?") + " has no value");
            const SqlValue& value = parameters[number - 1];
            if (value)
                sqlite3_bind_text64(statement, index, value->data(), value->size(), SQLITE_TRANSIENT, SQLITE_UTF8);
        }
    }

    std::vector<SqlValue> readRow(sqlite3_stmt* statement, int columns)
    {
        std::vector<SqlValue> row;
        for (int column = 0; column < columns; ++column) {
            const auto* text = reinterpret_cast<const char*>(sqlite3_column_text(statement, column));
            const int size = sqlite3_column_bytes(statement, column);
            row.push_back(text ? SqlValue(std::string(text, static_cast<size_t>(size))) : std::nullopt);
        }
        return row;
    }

    void organisationFunction(sqlite3_context* context, int, sqlite3_value**)
    {
        const auto* organisation = static_cast<const std::string*>(sqlite3_user_data(context));
        sqlite3_result_text(context, organisation->c_str(), -1, SQLITE_TRANSIENT);
    }

}

SqliteDatabase::SqliteDatabase(const std::string& schema)
{
    if (sqlite3_open(":memory:", &this->handle) != SQLITE_OK)
        throw std::runtime_error("cannot open an in-memory database");
    sqlite3_extended_result_codes(this->handle, 1);
    sqlite3_create_function(
        this->handle, "platform_organisation", 0, SQLITE_UTF8, &this->currentOrganisation, organisationFunction, nullptr, nullptr);
    sqlite3_progress_handler(this->handle, progressInstructions, checkDeadline, this);
    this->executeInternal(std::string(requestTableSql).c_str());
    this->executeInternal(schema.c_str());
    sqlite3_set_authorizer(this->handle, authorize, this);
}

SqliteDatabase::~SqliteDatabase() { sqlite3_close_v2(this->handle); }

bool SqliteDatabase::isReadOnly(const std::string& sql)
{
    const Statement statement(this->prepare(sql));
    return sqlite3_stmt_readonly(statement.get());
}

StatementOutcome SqliteDatabase::execute(const std::string& sql, const std::vector<SqlValue>& parameters, const std::string& organisation)
{
    const Statement statement(this->prepare(sql));
    this->currentOrganisation = organisation;
    this->statementDeadline = std::chrono::steady_clock::now() + statementTimeout;
    bindParameters(statement.get(), parameters);
    StatementOutcome outcome;
    const int columns = sqlite3_column_count(statement.get());
    for (int column = 0; column < columns; ++column)
        outcome.columns.emplace_back(sqlite3_column_name(statement.get(), column));
    const int totalBefore = sqlite3_total_changes(this->handle);
    int code = SQLITE_ROW;
    while ((code = sqlite3_step(statement.get())) == SQLITE_ROW)
        outcome.rows.push_back(readRow(statement.get(), columns));
    if (code != SQLITE_DONE)
        this->throwError();
    if (sqlite3_total_changes(this->handle) != totalBefore)
        outcome.changedRows = static_cast<uint64_t>(sqlite3_changes(this->handle));
    return outcome;
}

void SqliteDatabase::rollback()
{
    // After some errors SQLite has already rolled back the transaction.
    if (!sqlite3_get_autocommit(this->handle))
        this->executeInternal("ROLLBACK");
}

sqlite3_stmt* SqliteDatabase::prepare(const std::string& sql)
{
    sqlite3_stmt* statement = nullptr;
    const char* tail = nullptr;
    if (sqlite3_prepare_v2(this->handle, sql.c_str(), static_cast<int>(sql.size()), &statement, &tail) != SQLITE_OK)
        this->throwError();
    Statement owned(statement);
    if (!statement)
        throw SqlError("42601", "the statement is empty");
    if (std::string_view(tail).find_first_not_of(" \t\r\n;") != std::string_view::npos)
        throw SqlError("42601", "cannot run more than one statement");
    return owned.release();
}

void SqliteDatabase::executeInternal(const char* sql)
{
    this->isExecutingInternal = true;
    this->statementDeadline = std::chrono::steady_clock::now() + statementTimeout;
    const int code = sqlite3_exec(this->handle, sql, nullptr, nullptr, nullptr);
    this->isExecutingInternal = false;
    if (code != SQLITE_OK)
        this->throwError();
}

void SqliteDatabase::throwError()
{
    const int code = sqlite3_extended_errcode(this->handle);
    const std::string message = sqlite3_errmsg(this->handle);
    for (const SqliteErrorRow& row : errorTable) {
        if (row.code == code)
            throw SqlError(row.state, message);
    }
    throw SqlError((code & 0xff) == SQLITE_CONSTRAINT ? "23000" : "XX000", message);
}

int SqliteDatabase::authorize(void* self, int action, const char*, const char*, const char*, const char*)
{
    // Clients must not control transactions through SQL, because the server does so, and must not reach other databases or
    // change settings.
    constexpr std::array<int, 5> denied { SQLITE_TRANSACTION, SQLITE_SAVEPOINT, SQLITE_ATTACH, SQLITE_DETACH, SQLITE_PRAGMA };
    if (static_cast<SqliteDatabase*>(self)->isExecutingInternal)
        return SQLITE_OK;
    for (const int each : denied) {
        if (each == action)
            return SQLITE_DENY;
    }
    return SQLITE_OK;
}

int SqliteDatabase::checkDeadline(void* self)
{
    return std::chrono::steady_clock::now() > static_cast<SqliteDatabase*>(self)->statementDeadline;
}

}
