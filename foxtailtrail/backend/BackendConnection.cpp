#include "foxtailtrail/backend/BackendConnection.h"

#include "foxtailtrail/backend/SqlState.h"
#include "foxtailtrail/net/FiberThread.h"

#include <algorithm>
#include <cstdlib>
#include <libpq-fe.h>
#include <utility>

namespace foxtail {

namespace {

    constexpr size_t sqlStateLength = 5;

    struct ResultDeleter {
        void operator()(PGresult* result) const { PQclear(result); }
    };
    using PostgresResult = std::unique_ptr<PGresult, ResultDeleter>;

    // Quotes a value for a libpq connection string.
    std::string quoteConnectionValue(std::string_view value)
    {
        std::string text = "'";
        for (const char character : value) {
            if (character == '\'' || character == '\\')
                text.push_back('\\');
            text.push_back(character);
        }
        return text + "'";
    }

    std::string trimTrailingSpace(std::string text)
    {
        while (!text.empty() && (text.back() == '\n' || text.back() == ' '))
            text.pop_back();
        return text;
    }

    // Extracts the SQLSTATE from the error of a refused connection. libpq reports it only in its verbose message, for example
    // "FATAL:  53300: ...".
    std::string sqlStateFromMessage(const std::string& message)
    {
        constexpr std::string_view severity = "FATAL:  ";
        const size_t start = message.find(severity);
        if (start == std::string::npos || message.size() <= start + severity.size() + sqlStateLength
            || message[start + severity.size() + sqlStateLength] != ':')
            return {};
        return message.substr(start + severity.size(), sqlStateLength);
    }

    QueryResult readRows(const PGresult* result)
    {
        QueryResult queryResult;
        const int columns = PQnfields(result);
        const int rows = PQntuples(result);
        for (int column = 0; column < columns; ++column)
            queryResult.columns.emplace_back(PQfname(result, column));
        queryResult.rows.resize(static_cast<size_t>(rows));
        for (int row = 0; row < rows; ++row) {
            std::vector<SqlValue>& values = queryResult.rows[static_cast<size_t>(row)];
            values.resize(static_cast<size_t>(columns));
            for (int column = 0; column < columns; ++column) {
                if (!PQgetisnull(result, row, column))
                    values[static_cast<size_t>(column)].emplace(
                        PQgetvalue(result, row, column), static_cast<size_t>(PQgetlength(result, row, column)));
            }
        }
        const char* affectedRows = PQcmdTuples(const_cast<PGresult*>(result));
        queryResult.commandTag = PQcmdStatus(const_cast<PGresult*>(result));
        queryResult.rowCount = *affectedRows ? std::strtoull(affectedRows, nullptr, 10) : queryResult.rows.size();
        return queryResult;
    }

}

std::optional<std::string_view> QueryResult::firstRowValue(std::string_view column) const
{
    const auto found = std::find(this->columns.begin(), this->columns.end(), column);
    if (found == this->columns.end() || this->rows.empty())
        return std::nullopt;
    const SqlValue& value = this->rows.front()[static_cast<size_t>(found - this->columns.begin())];
    return value ? std::optional<std::string_view>(*value) : std::nullopt;
}

std::string BackendEndpoint::connectionString() const
{
    return "hostaddr=" + quoteConnectionValue(this->address) + " port=" + std::to_string(this->port)
        + " dbname=foxtail user=foxtail sslmode=disable gssencmode=disable client_encoding=UTF8 application_name="
        + quoteConnectionValue(this->applicationName);
}

void BackendConnection::ConnectionDeleter::operator()(pg_conn* connection) const { PQfinish(connection); }

BackendConnection::BackendConnection(pg_conn* newConnection)
    : connection(newConnection)
{
}

BackendConnection::~BackendConnection() { this->close(); }

Result<std::unique_ptr<BackendConnection>> BackendConnection::connect(const BackendEndpoint& endpoint, TimePoint deadline)
{
    std::unique_ptr<BackendConnection> newConnection(new BackendConnection(PQconnectStart(endpoint.connectionString().c_str())));
    BOOST_OUTCOME_TRY(newConnection->finishConnecting(deadline));
    return newConnection;
}

Result<QueryResult> BackendConnection::query(const std::string& sql, const std::vector<SqlValue>& parameters, TimePoint deadline)
{
    this->sqlState.clear();
    if (!this->isOpen() || PQstatus(this->connection.get()) != CONNECTION_OK) {
        this->close();
        return fail(ErrorKind::PeerUnavailable, "the connection to the backend server is closed");
    }
    std::vector<const char*> values;
    values.reserve(parameters.size());
    for (const SqlValue& parameter : parameters)
        values.push_back(parameter ? parameter->c_str() : nullptr);
    // A failed send may have transmitted part of the statement, so from here on the outcome is unknown until a result arrives.
    const bool isSent = PQsendQueryParams(
        this->connection.get(), sql.c_str(), static_cast<int>(values.size()), nullptr, values.data(), nullptr, nullptr, 0);
    if (!isSent || !this->flush(deadline) || !this->awaitResult(deadline))
        return this->closeWithUnknownOutcome(PQerrorMessage(this->connection.get()));
    return this->readResult(deadline);
}

void BackendConnection::interrupt()
{
    this->isInterrupted = true;
    if (this->socketWaiter)
        this->socketWaiter->cancel();
}

bool BackendConnection::isReusable()
{
    if (!this->isOpen() || this->isInterrupted)
        return false;
    // Detects without blocking that the server has closed the connection.
    PQconsumeInput(this->connection.get());
    return PQstatus(this->connection.get()) == CONNECTION_OK && PQtransactionStatus(this->connection.get()) == PQTRANS_IDLE;
}

Result<void> BackendConnection::finishConnecting(TimePoint deadline)
{
    pg_conn* newConnection = this->connection.get();
    if (!newConnection)
        return fail(ErrorKind::Internal, "cannot allocate a connection to the backend server");
    PQsetErrorVerbosity(newConnection, PQERRORS_VERBOSE);
    PostgresPollingStatusType pollingStatus = PQstatus(newConnection) == CONNECTION_BAD ? PGRES_POLLING_FAILED : PGRES_POLLING_WRITING;
    while (pollingStatus == PGRES_POLLING_READING || pollingStatus == PGRES_POLLING_WRITING) {
        // libpq may replace its socket between two steps, so each step registers the current one.
        DescriptorWaiter stepWaiter(PQsocket(newConnection));
        if (!(pollingStatus == PGRES_POLLING_READING ? stepWaiter.waitReadable(deadline) : stepWaiter.waitWritable(deadline)))
            return fail(ErrorKind::DeadlineExceeded, "timed out connecting to the backend server");
        pollingStatus = PQconnectPoll(newConnection);
    }
    if (pollingStatus == PGRES_POLLING_FAILED) {
        const std::string message = trimTrailingSpace(PQerrorMessage(newConnection));
        this->sqlState = sqlStateFromMessage(message);
        return fail(this->sqlState.empty() ? ErrorKind::PeerUnavailable : errorKindOfSqlState(this->sqlState), message);
    }
    PQsetnonblocking(newConnection, 1);
    this->socketWaiter = std::make_unique<DescriptorWaiter>(PQsocket(newConnection));
    return succeed();
}

bool BackendConnection::flush(TimePoint deadline)
{
    while (true) {
        const int flushStatus = PQflush(this->connection.get());
        if (flushStatus <= 0)
            return !flushStatus;
        if (this->isInterrupted || !this->socketWaiter->waitWritable(deadline))
            return false;
    }
}

bool BackendConnection::awaitResult(TimePoint deadline)
{
    while (PQisBusy(this->connection.get())) {
        if (this->isInterrupted || !this->socketWaiter->waitReadable(deadline) || !PQconsumeInput(this->connection.get()))
            return false;
    }
    return true;
}

Result<QueryResult> BackendConnection::readResult(TimePoint deadline)
{
    const PostgresResult result(PQgetResult(this->connection.get()));
    const ExecStatusType status = PQresultStatus(result.get());
    const char* errorState = PQresultErrorField(result.get(), PG_DIAG_SQLSTATE);
    // An error without a SQLSTATE comes from libpq itself: the connection is broken. COPY also ends here, because it would need a
    // second exchange of messages.
    if (status != PGRES_TUPLES_OK && status != PGRES_COMMAND_OK && !errorState)
        return this->closeWithUnknownOutcome(PQresultErrorMessage(result.get()));
    // The result is complete once the server is ready for the next statement.
    if (!this->awaitResult(deadline) || PostgresResult(PQgetResult(this->connection.get())))
        return this->closeWithUnknownOutcome(PQerrorMessage(this->connection.get()));
    if (!errorState)
        return readRows(result.get());
    this->sqlState = errorState;
    const char* primaryMessage = PQresultErrorField(result.get(), PG_DIAG_MESSAGE_PRIMARY);
    return fail(errorKindOfSqlState(this->sqlState), this->sqlState + ": " + (primaryMessage ? primaryMessage : ""));
}

Result<QueryResult> BackendConnection::closeWithUnknownOutcome(std::string_view reason)
{
    Error error { ErrorKind::OutcomeUnknown, "incomplete reply from the backend server: " + trimTrailingSpace(std::string(reason)) };
    // The reply may still arrive, and the next statement must not take it for its own result.
    this->close();
    return error;
}

void BackendConnection::close()
{
    this->socketWaiter.reset();
    this->connection.reset();
}

}
